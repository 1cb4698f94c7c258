package config

import (
	"fmt"
	"sort"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// check adds the findings that need more than one object.
func (m *merger) check() {
	m.checkFleets()
	m.checkRoutes()
	m.checkPrefixes()
	m.checkKeys()
	m.checkMoves()
	m.supersede()
}

func (m *merger) checkRoutes() {
	for _, name := range sortedNames(m.routes) {
		o := m.routes[name]
		if _, ok := m.services[string(o.value.Service)]; !ok {
			report(m, SeverityError, sectionRoutes, name, "service", o, string(o.value.Service),
				"service %q does not exist; %s", o.value.Service, m.knownServices())
		}
		if o.value.Class == ident.ClassOrder && o.value.Idempotent {
			report(m, SeverityError, sectionRoutes, name, "idempotent", o, "true",
				"a route of class order runs at most once; only false is allowed")
		}
		if o.value.Idempotent && o.value.RequireKey {
			report(m, SeverityWarning, sectionRoutes, name, "require_key", o, "true",
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

// checkPrefixes refuses two routes that take the same requests.
func (m *merger) checkPrefixes() {
	names := sortedNames(m.routes)
	for i, name := range names {
		for _, other := range names[:i] {
			a, b := m.routes[other], m.routes[name]
			if a.value.Prefix != b.value.Prefix || !methodsMeet(a.value.Methods, b.value.Methods) {
				continue
			}
			late, early, lateName, earlyName := b, a, name, other
			if before(b.at, a.at) {
				late, early, lateName, earlyName = a, b, other, name
			}
			report(m, SeverityError, sectionRoutes, lateName, "prefix", late, late.value.Prefix,
				"route %q in %s:%d takes the same prefix and methods; another prefix or other methods are allowed",
				earlyName, early.at.file, early.at.line)
		}
	}
}

func methodsMeet(a, b []string) bool {
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

// checkKeys refuses a key that names two workspaces.
func (m *merger) checkKeys() {
	names := sortedNames(m.workspaces)
	sort.SliceStable(names, func(i, j int) bool {
		return before(m.workspaces[names[i]].at, m.workspaces[names[j]].at)
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
			at := m.workspaces[first].at
			report(m, SeverityError, sectionWorkspaces, name, "keys", o, maskKey(key),
				"key is used by workspace %q in %s:%d already; a key names one workspace", first, at.file, at.line)
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
	reached := make(map[ident.Service]map[ident.Version]bool)
	for _, name := range sortedNames(m.moves) {
		v := m.moves[name].value
		if reached[v.Service] == nil {
			reached[v.Service] = make(map[ident.Version]bool)
		}
		reached[v.Service][v.To] = true
	}
	for _, name := range sortedNames(m.moves) {
		m.checkMove(name, reached)
	}
}

func (m *merger) checkMove(name string, reached map[ident.Service]map[ident.Version]bool) {
	o := m.moves[name]
	v := o.value
	s, ok := m.services[string(v.Service)]
	if !ok {
		report(m, SeverityError, sectionMoves, name, "service", o, string(v.Service),
			"service %q does not exist; %s", v.Service, m.knownServices())
		return
	}
	if v.From == v.To {
		report(m, SeverityError, sectionMoves, name, "to", o, string(v.To),
			"moves from %q to itself; another version is allowed", v.From)
		return
	}
	serves := s.value.Version
	if v.From != serves && v.To != serves && !reached[v.Service][v.From] {
		report(m, SeverityWarning, sectionMoves, name, "from", o, string(v.From),
			"will not start, as service %q serves version %q and no move leads to %q", v.Service, serves, v.From)
	}
}

// supersede names, for each move, the later move of its service if there is one.
func (m *merger) supersede() {
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
		report(m, SeverityWarning, sectionMoves, name, "", o, "",
			"superseded by move %q in %s:%d, which comes later for service %q", winner, w.at.file, w.at.line, o.value.Service)
	}
}

// report adds a finding at a field of an object, or at the object itself.
func report[T any](m *merger, sev Severity, section, name, field string, o object[T], value, format string, args ...any) {
	at := o.at
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

// before orders declarations as the merge does.
func before(a, b origin) bool {
	if a.file != b.file {
		return a.file < b.file
	}
	return a.line < b.line
}
