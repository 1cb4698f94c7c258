package config

import (
	"fmt"
	"maps"
	"slices"
	"sort"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// merger contains the effective object of each name while files are merged.
type merger struct {
	routes     map[string]object[Route]
	services   map[string]object[Service]
	workspaces map[string]object[WorkspaceConfig]
	moves      map[string]object[Move]
	moveOrder  map[string]int // position of the effective declaration
	moveCount  int
	diags      []Diagnostic
}

// Merge parses the files, merges them in the order of their names, object by
// object, and validates the result. The last declaration of an object wins;
// overriding an object of another file gives a warning.
//
// The configuration contains what could be parsed. If HasErrors reports true for the
// diagnostics, it must not be put in force. The result does not depend on the order
// of files.
func Merge(files []File) (*Config, []Diagnostic) {
	ordered := slices.Clone(files)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Name < ordered[j].Name })
	m := &merger{
		routes:     make(map[string]object[Route]),
		services:   make(map[string]object[Service]),
		workspaces: make(map[string]object[WorkspaceConfig]),
		moves:      make(map[string]object[Move]),
		moveOrder:  make(map[string]int),
	}
	for _, f := range ordered {
		m.add(f)
	}
	m.applyDefaults()
	m.check()
	sortDiagnostics(m.diags)
	return m.config(), m.diags
}

func (m *merger) add(f File) {
	objects, diags := parseFile(f)
	m.diags = append(m.diags, diags...)
	for _, o := range objects.services {
		declareObject(m, sectionServices, m.services, string(o.value.Name), o)
	}
	for _, o := range objects.routes {
		declareObject(m, sectionRoutes, m.routes, string(o.value.Name), o)
	}
	for _, o := range objects.workspaces {
		declareObject(m, sectionWorkspaces, m.workspaces, string(o.value.Name), o)
	}
	for _, o := range objects.moves {
		declareObject(m, sectionMoves, m.moves, string(o.value.Name), o)
		m.moveCount++
		m.moveOrder[string(o.value.Name)] = m.moveCount
	}
}

// declareObject stores an object under its name and adds a warning if it was declared before.
func declareObject[T any](m *merger, section string, into map[string]object[T], name string, o object[T]) {
	if old, taken := into[name]; taken {
		m.diags = append(m.diags, Diagnostic{
			File: o.declaredAt.file, Line: o.declaredAt.line, Field: section + "." + name, Severity: SeverityWarning,
			Message: fmt.Sprintf("overrides the whole of %q in %s:%d; rename it if it was copied from there",
				name, old.declaredAt.file, old.declaredAt.line),
			OtherFile: old.declaredAt.file,
		})
	}
	into[name] = o
}

func (m *merger) applyDefaults() {
	for name, o := range m.routes {
		if !o.set["deadline"] {
			o.value.Deadline = defaultDeadlines[o.value.Class]
		}
		if !o.set["idempotent"] {
			o.value.Idempotent = o.value.Class != ident.ClassOrder
		}
		m.routes[name] = o
	}
	for name, o := range m.services {
		if !o.set["concurrency"] {
			o.value.Concurrency = defaultPlainConcurrency
			if o.value.Kind == platformapi.KindEngine {
				o.value.Concurrency = defaultEngineConcurrency
			}
		}
		m.services[name] = o
	}
}

func (m *merger) config() *Config {
	c := &Config{
		Routes:     make(map[ident.RouteName]Route, len(m.routes)),
		Services:   make(map[ident.Service]Service, len(m.services)),
		Workspaces: make(map[ident.Workspace]WorkspaceConfig, len(m.workspaces)),
		Moves:      make(map[ident.MoveName]Move, len(m.moves)),
	}
	for _, o := range m.routes {
		c.Routes[o.value.Name] = o.value
	}
	for _, o := range m.services {
		c.Services[o.value.Name] = o.value
	}
	for _, o := range m.workspaces {
		c.Workspaces[o.value.Name] = o.value
	}
	for _, o := range m.moves {
		c.Moves[o.value.Name] = o.value
	}
	c.buildLookup()
	return c
}

// sortedNames returns the names of a section in ascending order.
func sortedNames[T any](objects map[string]object[T]) []string {
	return slices.Sorted(maps.Keys(objects))
}
