package config

import (
	"fmt"
	"sort"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// check adds the diagnostics that involve more than one object or field.
func (m *merger) check() {
	m.checkFleets()
	m.checkRoutes()
	m.checkPrefixes()
	m.checkKeys()
	m.checkMoves()
	m.markSuperseded()
}

func (m *merger) checkRoutes() {
	for _, name := range sortedNames(m.routes) {
		o := m.routes[name]
		if _, ok := m.services[string(o.value.Service)]; !ok {
			addDiagnostic(m, SeverityError, sectionRoutes, name, "service", o, string(o.value.Service),
				"service %q does not exist; %s", o.value.Service, m.knownServices())
		}
		if o.value.Class == ident.ClassOrder && o.value.Idempotent {
			addDiagnostic(m, SeverityError, sectionRoutes, name, "idempotent", o, "true",
				"a route of class order runs at most once; only false is allowed")
		}
		if o.value.Idempotent && o.value.RequireKey {
			addDiagnostic(m, SeverityWarning, sectionRoutes, name, "require_key", o, "true",
				"has no effect, as requests of this route may be repeated")
		}
	}
}

func (m *merger) knownServices() string {
	names := sortedNames(m.services)
	if len(names) == 0 {
		return "no service is declared"
	}
	return "allowed are " + joinNames(names)
}

// checkPrefixes adds an error for routes that match the same requests.
func (m *merger) checkPrefixes() {
	names := sortedNames(m.routes)
	for i, name := range names {
		for _, other := range names[:i] {
			a, b := m.routes[other], m.routes[name]
			if a.value.Prefix != b.value.Prefix || !methodsOverlap(a.value.Methods, b.value.Methods) {
				continue
			}
			later, earlier, laterName, earlierName := b, a, name, other
			if declaredBefore(b.declaredAt, a.declaredAt) {
				later, earlier, laterName, earlierName = a, b, other, name
			}
			addDiagnostic(m, SeverityError, sectionRoutes, laterName, "prefix", later, later.value.Prefix,
				"route %q in %s:%d has the same prefix and overlapping methods; another prefix or other methods are allowed",
				earlierName, earlier.declaredAt.file, earlier.declaredAt.line)
		}
	}
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

// checkKeys adds an error for an API key of more than one workspace.
func (m *merger) checkKeys() {
	names := sortedNames(m.workspaces)
	sort.SliceStable(names, func(i, j int) bool {
		return declaredBefore(m.workspaces[names[i]].declaredAt, m.workspaces[names[j]].declaredAt)
	})
	owner := make(map[string]string)
	for _, name := range names {
		o := m.workspaces[name]
		for _, key := range o.value.Keys {
			first, taken := owner[key]
			if !taken {
				owner[key] = name
				continue
			}
			at := m.workspaces[first].declaredAt
			addDiagnostic(m, SeverityError, sectionWorkspaces, name, "keys", o, maskKey(key),
				"key is already used by workspace %q in %s:%d; a key must belong to one workspace", first, at.file, at.line)
		}
	}
}

// maskKey hides most of an API key.
func maskKey(key string) string {
	const shown = 4
	if len(key) <= shown {
		return "…"
	}
	return key[:shown] + "…"
}

func (m *merger) checkMoves() {
	targets := make(map[ident.Service]map[ident.Version]bool)
	for _, name := range sortedNames(m.moves) {
		v := m.moves[name].value
		if targets[v.Service] == nil {
			targets[v.Service] = make(map[ident.Version]bool)
		}
		targets[v.Service][v.To] = true
	}
	for _, name := range sortedNames(m.moves) {
		m.checkMove(name, targets)
	}
}

func (m *merger) checkMove(name string, targets map[ident.Service]map[ident.Version]bool) {
	o := m.moves[name]
	v := o.value
	s, ok := m.services[string(v.Service)]
	if !ok {
		addDiagnostic(m, SeverityError, sectionMoves, name, "service", o, string(v.Service),
			"service %q does not exist; %s", v.Service, m.knownServices())
		return
	}
	if v.From == v.To {
		addDiagnostic(m, SeverityError, sectionMoves, name, "to", o, string(v.To),
			"moves from %q to itself; another version is allowed", v.From)
		return
	}
	serves := s.value.Version
	if v.From != serves && v.To != serves && !targets[v.Service][v.From] {
		addDiagnostic(m, SeverityWarning, sectionMoves, name, "from", o, string(v.From),
			"will not start, as service %q serves version %q and no move leads to %q", v.Service, serves, v.From)
	}
}

// markSuperseded sets SupersededBy of each move to the last move of its service, unless it is
// that move.
func (m *merger) markSuperseded() {
	last := make(map[ident.Service]string)
	for _, name := range sortedNames(m.moves) {
		s := m.moves[name].value.Service
		if cur, ok := last[s]; !ok || m.moveOrder[name] > m.moveOrder[cur] {
			last[s] = name
		}
	}
	for _, name := range sortedNames(m.moves) {
		o := m.moves[name]
		winner := last[o.value.Service]
		if winner == name {
			continue
		}
		o.value.SupersededBy = ident.MoveName(winner)
		m.moves[name] = o
		w := m.moves[winner]
		addDiagnostic(m, SeverityWarning, sectionMoves, name, "", o, "",
			"superseded by move %q in %s:%d, which comes later for service %q", winner, w.declaredAt.file, w.declaredAt.line, o.value.Service)
	}
}

// addDiagnostic adds a diagnostic for a field of an object, or for the object itself.
func addDiagnostic[T any](m *merger, sev Severity, section, name, field string, o object[T], value, format string, args ...any) {
	at := o.declaredAt
	path := section + "." + name
	if field != "" {
		path += "." + field
	}
	if f, ok := o.fields[field]; ok {
		at = f
	}
	m.diags = append(m.diags, Diagnostic{
		File: at.file, Line: at.line, Field: path, Value: shorten(value),
		Message: fmt.Sprintf(format, args...), Severity: sev,
	})
}

// declaredBefore reports whether a is merged before b.
func declaredBefore(a, b origin) bool {
	if a.file != b.file {
		return a.file < b.file
	}
	return a.line < b.line
}
