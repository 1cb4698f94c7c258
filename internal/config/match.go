package config

import (
	"slices"
	"sort"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// maxNamesShown is the maximum number of names that a diagnostic lists.
const maxNamesShown = 12

func joinNames(names []string) string {
	if len(names) <= maxNamesShown {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxNamesShown], ", ") + ", …"
}

// lookup contains the indexes for Match and WorkspaceByKey. It is built once.
type lookup struct {
	routes map[string][]Route // by prefix, ordered by name
	keys   map[string]ident.Workspace
}

// buildLookup builds the indexes and replaces nil sections by empty ones.
func (c *Config) buildLookup() {
	if c.Routes == nil {
		c.Routes = make(map[ident.RouteName]Route)
	}
	if c.Services == nil {
		c.Services = make(map[ident.Service]Service)
	}
	if c.Workspaces == nil {
		c.Workspaces = make(map[ident.Workspace]WorkspaceConfig)
	}
	if c.Moves == nil {
		c.Moves = make(map[ident.MoveName]Move)
	}
	l := &lookup{routes: make(map[string][]Route), keys: make(map[string]ident.Workspace)}
	for _, r := range c.Routes {
		l.routes[r.Prefix] = append(l.routes[r.Prefix], r)
	}
	for _, rs := range l.routes {
		sort.Slice(rs, func(i, j int) bool { return rs[i].Name < rs[j].Name })
	}
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			if cur, taken := l.keys[key]; !taken || w.Name < cur {
				l.keys[key] = w.Name
			}
		}
	}
	c.lookup = l
}

// Match returns the route for the method with the longest prefix of path. Prefixes end
// on segment boundaries: "/chat" matches "/chat" and "/chat/1" but not "/chats". A
// longer prefix with other methods does not hide a shorter one.
func (c *Config) Match(method, path string) (Route, bool) {
	if c.lookup == nil || !strings.HasPrefix(path, "/") {
		return Route{}, false
	}
	prefix := path
	for {
		for _, r := range c.lookup.routes[prefix] {
			if len(r.Methods) == 0 || slices.Contains(r.Methods, method) {
				return r, true
			}
		}
		if prefix == "/" {
			return Route{}, false
		}
		prefix = prefix[:strings.LastIndexByte(prefix, '/')]
		if prefix == "" {
			prefix = "/"
		}
	}
}

// WorkspaceByKey returns the workspace of an API key.
func (c *Config) WorkspaceByKey(key string) (WorkspaceConfig, bool) {
	if c.lookup == nil {
		return WorkspaceConfig{}, false
	}
	name, ok := c.lookup.keys[key]
	if !ok {
		return WorkspaceConfig{}, false
	}
	return c.Workspaces[name], true
}

// ActiveMove returns the move of a service that is not superseded by a later one.
func (c *Config) ActiveMove(service ident.Service) (Move, bool) {
	var found Move
	for _, m := range c.Moves {
		if m.Service == service && m.SupersededBy == "" && (found.Name == "" || m.Name < found.Name) {
			found = m
		}
	}
	return found, found.Name != ""
}
