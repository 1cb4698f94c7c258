package config

import (
	"fmt"
	"math"
	"regexp"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Default values of optional fields.
const (
	defaultWeight               = 1
	defaultRatePerSecond        = 50.0
	defaultWorkspaceConcurrency = 64
	defaultEngineConcurrency    = 16
	defaultPlainConcurrency     = 64
	defaultBake                 = 30 * time.Minute
)

// Limits of the fields.
const (
	maxWeight        = 1000
	maxConcurrency   = 100_000
	minRatePerSecond = 0.01
	maxRatePerSecond = 1e6
	minDeadline      = 100 * time.Millisecond
	maxDeadline      = 24 * time.Hour
	maxBake          = 7 * 24 * time.Hour
	minKeyLen        = 8
	maxKeyLen        = 256
	maxKeys          = 32
	maxPrefixLen     = 1024
	minYear          = 2000
	maxYear          = 9000 // time.Time can't be encoded as JSON after the year 9999
)

// defaultDeadlines are the deadlines of routes that set none.
var defaultDeadlines = map[ident.Class]time.Duration{
	ident.ClassQuick:  10 * time.Second,
	ident.ClassLookup: 5 * time.Second,
	ident.ClassOrder:  30 * time.Second,
	ident.ClassLong:   10 * time.Minute,
}

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	keyPattern     = regexp.MustCompile(`^[!-~]+$`)
	prefixPattern  = regexp.MustCompile(`^(/|(/[A-Za-z0-9._~-]+)+)$`)
)

// Descriptions of allowed values in diagnostics.
const (
	nameAllowed    = "1 to 63 of a-z, 0-9 and -, beginning with a letter or digit"
	versionAllowed = "a version of 1 to 63 letters, digits, '.', '_' and '-'"
)

var methodNames = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// field describes one field of an object of type T.
type field[T any] struct {
	name     string
	allowed  string
	required bool
	secret   bool // omit the value from diagnostics
	set      func(*T, ast.Node) error
}

func fieldNames[T any](fields []field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.name
	}
	return strings.Join(names, ", ")
}

var routeFields = []field[Route]{
	{"prefix", "a path such as /chat, without a slash at its end,", true, false, func(r *Route, n ast.Node) error {
		return decodeMatching(n, prefixPattern, maxPrefixLen, &r.Prefix)
	}},
	{"methods", "a list of " + strings.Join(methodNames, ", "), false, false, func(r *Route, n ast.Node) error {
		return decodeListOf(n, methodNames, &r.Methods)
	}},
	{"service", "the name of a service", true, false, func(r *Route, n ast.Node) error {
		return decodeMatching(n, namePattern, maxKeyLen, &r.Service)
	}},
	{"class", "one of " + strings.Join(ident.ClassNames(), ", "), true, false, func(r *Route, n ast.Node) error {
		var s string
		if err := decodeScalar(n, &s); err != nil {
			return err
		}
		c, err := ident.ParseClass(s)
		r.Class = c
		return err
	}},
	{"idempotent", "true or false", false, false, func(r *Route, n ast.Node) error { return decodeScalar(n, &r.Idempotent) }},
	{"require_key", "true or false", false, false, func(r *Route, n ast.Node) error { return decodeScalar(n, &r.RequireKey) }},
	{"deadline", durationAllowed(minDeadline, maxDeadline), false, false, func(r *Route, n ast.Node) error {
		return decodeDuration(n, minDeadline, maxDeadline, &r.Deadline)
	}},
}

var serviceFields = []field[Service]{
	{"kind", "one of engine, plain", true, false, func(s *Service, n ast.Node) error {
		return decodeOneOf(n, []platformapi.EndpointKind{platformapi.KindEngine, platformapi.KindPlain}, &s.Kind)
	}},
	{"version", versionAllowed, true, false, func(s *Service, n ast.Node) error {
		return decodeMatching(n, versionPattern, maxKeyLen, &s.Version)
	}},
	{"drops_duplicates", "true or false", false, false, func(s *Service, n ast.Node) error { return decodeScalar(n, &s.DropsDuplicates) }},
	{"checks_fence", "true or false", false, false, func(s *Service, n ast.Node) error { return decodeScalar(n, &s.ChecksFence) }},
	{"concurrency", countAllowed(maxConcurrency), false, false, func(s *Service, n ast.Node) error {
		return decodeCount(n, maxConcurrency, &s.Concurrency)
	}},
	{"fleet", "a mapping of " + fieldNames(fleetFields), false, false, func(s *Service, n ast.Node) error {
		s.Fleet = newFleet()
		return nested(n, fleetFields, s.Fleet)
	}},
}

var workspaceFields = []field[WorkspaceConfig]{
	{"keys", fmt.Sprintf("a list of 1 to %d keys of %d to %d visible characters", maxKeys, minKeyLen, maxKeyLen), true, true, func(w *WorkspaceConfig, n ast.Node) error {
		return decodeKeys(n, &w.Keys)
	}},
	{"weight", countAllowed(maxWeight), false, false, func(w *WorkspaceConfig, n ast.Node) error {
		return decodeCount(n, maxWeight, &w.Weight)
	}},
	{"rate_per_second", fmt.Sprintf("a number from %v to %v", minRatePerSecond, maxRatePerSecond), false, false, func(w *WorkspaceConfig, n ast.Node) error {
		return decodeNumber(n, minRatePerSecond, maxRatePerSecond, &w.RatePerSecond)
	}},
	{"concurrency", countAllowed(maxConcurrency), false, false, func(w *WorkspaceConfig, n ast.Node) error {
		return decodeCount(n, maxConcurrency, &w.Concurrency)
	}},
}

var moveFields = []field[Move]{
	{"service", "the name of a service", true, false, func(m *Move, n ast.Node) error {
		return decodeMatching(n, namePattern, maxKeyLen, &m.Service)
	}},
	{"from", versionAllowed, true, false, func(m *Move, n ast.Node) error { return decodeMatching(n, versionPattern, maxKeyLen, &m.From) }},
	{"to", versionAllowed, true, false, func(m *Move, n ast.Node) error { return decodeMatching(n, versionPattern, maxKeyLen, &m.To) }},
	{"finish_by", "a time with its zone such as 2026-12-04T06:00:00+02:00", true, false, func(m *Move, n ast.Node) error {
		var s string
		if err := decodeScalar(n, &s); err != nil {
			return err
		}
		t, err := time.Parse(time.RFC3339, s)
		if err != nil || t.Year() < minYear || t.Year() > maxYear {
			return errNotAllowed
		}
		m.FinishBy = t.UTC()
		return nil
	}},
	{"bake", durationAllowed(0, maxBake), false, false, func(m *Move, n ast.Node) error {
		return decodeDuration(n, 0, maxBake, &m.Bake)
	}},
}

func durationAllowed(lo, hi time.Duration) string {
	return fmt.Sprintf("a duration such as 90s or 10m, from %v to %v,", lo, hi)
}

func countAllowed(hi int) string {
	return fmt.Sprintf("a whole number from 1 to %d", hi)
}

// errNotAllowed is returned for a value that is not allowed. The diagnostic describes
// the allowed values.
var errNotAllowed = fmt.Errorf("value is not allowed")

// decodeScalar decodes a scalar node into target, which must have the node's type.
func decodeScalar(n ast.Node, target any) error {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return yaml.NodeToValue(n, target)
	default:
		return errNotAllowed
	}
}

func decodeMatching[S ~string](n ast.Node, pattern *regexp.Regexp, maxLen int, target *S) error {
	var s string
	if err := decodeScalar(n, &s); err != nil {
		return err
	}
	if len(s) > maxLen || !pattern.MatchString(s) {
		return errNotAllowed
	}
	*target = S(s)
	return nil
}

func decodeOneOf[S ~string](n ast.Node, allowed []S, target *S) error {
	var s string
	if err := decodeScalar(n, &s); err != nil {
		return err
	}
	for _, a := range allowed {
		if S(s) == a {
			*target = a
			return nil
		}
	}
	return errNotAllowed
}

// listElements returns the elements of a non-empty sequence node.
func listElements(n ast.Node) ([]ast.Node, error) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok || len(seq.Values) == 0 {
		return nil, errNotAllowed
	}
	return seq.Values, nil
}

func decodeListOf(n ast.Node, allowed []string, target *[]string) error {
	values, err := listElements(n)
	if err != nil {
		return err
	}
	out := make([]string, len(values))
	for i, v := range values {
		if err := decodeOneOf(v, allowed, &out[i]); err != nil {
			return err
		}
	}
	*target = out
	return nil
}

func decodeKeys(n ast.Node, target *[]string) error {
	values, err := listElements(n)
	if err != nil || len(values) > maxKeys {
		return errNotAllowed
	}
	out := make([]string, len(values))
	for i, v := range values {
		if err := decodeMatching(v, keyPattern, maxKeyLen, &out[i]); err != nil {
			return err
		}
		if len(out[i]) < minKeyLen {
			return errNotAllowed
		}
	}
	*target = out
	return nil
}

func decodeCount(n ast.Node, hi int, target *int) error {
	if _, ok := n.(*ast.IntegerNode); !ok {
		return errNotAllowed
	}
	var v int
	if err := yaml.NodeToValue(n, &v); err != nil {
		return err
	}
	if v < 1 || v > hi {
		return errNotAllowed
	}
	*target = v
	return nil
}

func decodeNumber(n ast.Node, lo, hi float64, target *float64) error {
	var v float64
	if err := decodeScalar(n, &v); err != nil {
		return err
	}
	if math.IsNaN(v) || v < lo || v > hi {
		return errNotAllowed
	}
	*target = v
	return nil
}

func decodeDuration(n ast.Node, lo, hi time.Duration, target *time.Duration) error {
	var s string
	if err := decodeScalar(n, &s); err != nil {
		return err
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < lo || d > hi {
		return errNotAllowed
	}
	*target = d
	return nil
}
