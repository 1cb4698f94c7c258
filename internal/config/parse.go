package config

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// MaxFileBytes is the maximum size of a configuration file in bytes.
const MaxFileBytes = 256 << 10

// File is one configuration file of the operator's folder.
type File struct {
	// Name is the file name, for example "20-routes.yaml". Files are merged in the
	// order of their names.
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Sections of a file.
const (
	sectionRoutes     = "routes"
	sectionServices   = "services"
	sectionWorkspaces = "workspaces"
	sectionMoves      = "moves"
)

var sectionNames = []string{sectionMoves, sectionRoutes, sectionServices, sectionWorkspaces}

// origin is the position where an object or field was declared.
type origin struct {
	file string
	line int
}

// object is one declared object with the positions of its fields.
type object[T any] struct {
	value      T
	declaredAt origin
	fields     map[string]origin
	set        map[string]bool // fields present in the file
}

// parsed is the objects of one file in the order of their lines.
type parsed struct {
	routes     []object[Route]
	services   []object[Service]
	workspaces []object[WorkspaceConfig]
	moves      []object[Move]
}

// fileParser parses one file and collects its diagnostics.
type fileParser struct {
	file  string
	diags []Diagnostic
}

// parseFile parses one file. Objects with errors are omitted.
func parseFile(f File) (out parsed, diags []Diagnostic) {
	p := &fileParser{file: f.Name}
	defer func() {
		// The YAML parser panics on some malformed documents.
		if r := recover(); r != nil {
			p.errorf(0, "", "", "not a YAML document: %v", r)
			out, diags = parsed{}, p.diags
		}
	}()
	if len(f.Data) > MaxFileBytes {
		p.errorf(0, "", "", "file has %d bytes; at most %d are allowed", len(f.Data), MaxFileBytes)
		return out, p.diags
	}
	doc, err := parser.ParseBytes(f.Data, 0)
	if err != nil {
		p.addSyntaxError(err)
		return out, p.diags
	}
	if len(doc.Docs) > 1 {
		p.errorf(0, "", "", "file has %d YAML documents; one is allowed", len(doc.Docs))
		return out, p.diags
	}
	if len(doc.Docs) == 1 && doc.Docs[0].Body != nil {
		p.sections(doc.Docs[0].Body, &out)
	}
	return out, p.diags
}

func (p *fileParser) addSyntaxError(err error) {
	var ye yaml.Error
	if errors.As(err, &ye) && ye.GetToken() != nil {
		p.errorf(ye.GetToken().Position.Line, "", "", "not a YAML document: %s", ye.GetMessage())
		return
	}
	p.errorf(0, "", "", "not a YAML document: %v", err)
}

func (p *fileParser) sections(body ast.Node, out *parsed) {
	values, ok := p.mapping(body, "")
	if !ok {
		return
	}
	for _, v := range values {
		switch name := keyOf(v); name {
		case sectionRoutes:
			out.routes = parseObjects(p, name, v.Value, routeFields, newRoute)
		case sectionServices:
			out.services = parseObjects(p, name, v.Value, serviceFields, newService)
		case sectionWorkspaces:
			out.workspaces = parseObjects(p, name, v.Value, workspaceFields, newWorkspace)
		case sectionMoves:
			out.moves = parseObjects(p, name, v.Value, moveFields, newMove)
		default:
			p.errorf(lineOf(v), name, "", "unknown section %q; allowed are %s", shorten(name), strings.Join(sectionNames, ", "))
		}
	}
}

// mapping returns the entries of a mapping node; an empty value has none.
func (p *fileParser) mapping(n ast.Node, field string) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	case *ast.NullNode, *ast.CommentGroupNode, nil:
		return nil, true
	default:
		p.errorf(lineOf(n), field, nodeText(n), "%s found; a mapping of names is allowed", strings.ToLower(n.Type().String()))
		return nil, false
	}
}

// parseObjects parses the objects of one section.
func parseObjects[T any](p *fileParser, section string, n ast.Node, fields []field[T], newObject func(name string) T) []object[T] {
	entries, ok := p.mapping(n, section)
	if !ok {
		return nil
	}
	out := make([]object[T], 0, len(entries))
	for _, e := range entries {
		name := keyOf(e)
		path := section + "." + name
		if !namePattern.MatchString(name) {
			p.errorf(lineOf(e), path, name, "name %q is not allowed; %s", shorten(name), nameAllowed)
			continue
		}
		if o, ok := parseObject(p, path, e, fields, newObject(name)); ok {
			out = append(out, o)
		}
	}
	return out
}

func parseObject[T any](p *fileParser, path string, e *ast.MappingValueNode, fields []field[T], value T) (object[T], bool) {
	o := object[T]{
		value:      value,
		declaredAt: origin{p.file, lineOf(e)},
		fields:     make(map[string]origin),
		set:        make(map[string]bool),
	}
	return o, parseFields(p, path, e.Value, fields, &o)
}

func parseFields[T any](p *fileParser, path string, n ast.Node, fields []field[T], o *object[T]) bool {
	entries, ok := p.mapping(n, path)
	if !ok {
		return false
	}
	valid := true
	for _, v := range entries {
		valid = parseField(p, path, v, fields, o) && valid
	}
	for _, f := range fields {
		if f.required && !o.set[f.name] {
			p.errorf(o.declaredAt.line, path+"."+f.name, "", "field is missing; %s is required", f.allowed)
			valid = false
		}
	}
	return valid
}

// nestedError contains the diagnostics of a mapping inside an object. Their fields
// are relative to the mapping, and the line is zero if a field is missing.
type nestedError struct{ diags []Diagnostic }

// Error implements error.
func (e *nestedError) Error() string { return fmt.Sprintf("mapping has %d errors", len(e.diags)) }

// nested parses a mapping inside an object into target. The error is a *nestedError.
func nested[T any](n ast.Node, fields []field[T], target *T) error {
	p := &fileParser{}
	o := object[T]{value: *target, fields: make(map[string]origin), set: make(map[string]bool)}
	if !parseFields(p, "", n, fields, &o) {
		return &nestedError{p.diags}
	}
	*target = o.value
	return nil
}

// addNested adds the diagnostics of a nested mapping with the path and line of the mapping.
func (p *fileParser) addNested(e *nestedError, line int, path string) {
	for _, d := range e.diags {
		d.File, d.Field = p.file, path+d.Field
		if d.Line == 0 {
			d.Line = line
		}
		p.diags = append(p.diags, d)
	}
}

func parseField[T any](p *fileParser, path string, v *ast.MappingValueNode, fields []field[T], o *object[T]) bool {
	name := keyOf(v)
	for _, f := range fields {
		if f.name != name {
			continue
		}
		o.fields[name] = origin{p.file, lineOf(v)}
		o.set[name] = true
		err := f.set(&o.value, v.Value)
		var inner *nestedError
		if errors.As(err, &inner) {
			p.addNested(inner, lineOf(v), path+"."+name)
			return false
		}
		if err != nil {
			p.badValue(lineOf(v), path+"."+name, nodeText(v.Value), f.allowed, f.secret)
			return false
		}
		return true
	}
	p.errorf(lineOf(v), path+"."+name, nodeText(v.Value), "unknown field %q; allowed are %s", shorten(name), fieldNames(fields))
	return false
}

func (p *fileParser) badValue(line int, field, value, allowed string, secret bool) {
	if secret {
		p.errorf(line, field, "", "value is not allowed; %s is allowed", allowed)
		return
	}
	p.errorf(line, field, value, "value %q is not allowed; %s is allowed", shorten(value), allowed)
}

func (p *fileParser) errorf(line int, field, value, format string, args ...any) {
	p.diags = append(p.diags, Diagnostic{
		File: p.file, Line: line, Field: shorten(field), Value: shorten(value),
		Message: fmt.Sprintf(format, args...), Severity: SeverityError,
		local: true,
	})
}

func keyOf(v *ast.MappingValueNode) string {
	if t := v.Key.GetToken(); t != nil {
		return t.Value
	}
	return ""
}

func lineOf(n ast.Node) int {
	if v, ok := n.(*ast.MappingValueNode); ok {
		n = v.Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 0
}

func nodeText(n ast.Node) string {
	switch n := n.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		return n.Value
	default:
		return strings.TrimSpace(n.String())
	}
}

// newRoute returns a route with its name. It and the functions below set the defaults
// that do not depend on other fields.
func newRoute(name string) Route { return Route{Name: ident.RouteName(name)} }

func newService(name string) Service { return Service{Name: ident.Service(name)} }

func newWorkspace(name string) WorkspaceConfig {
	return WorkspaceConfig{
		Name: ident.Workspace(name), Weight: defaultWeight,
		RatePerSecond: defaultRatePerSecond, Concurrency: defaultWorkspaceConcurrency,
	}
}

func newMove(name string) Move { return Move{Name: ident.MoveName(name), Bake: defaultBake} }
