package jsonvalue

import (
	"strings"
	"testing"
)

// TestClearNested checks that values that are nested too deeply, and only these, become null.
func TestClearNested(t *testing.T) {
	nested := func(n int) string { return strings.Repeat(`[`, n) + strings.Repeat(`]`, n) }
	for name, c := range map[string]struct {
		raw, want string
		level     int
	}{
		"none":              {`{"a":[{"b":"]["}],"c":1e999}`, `{"a":[{"b":"]["}],"c":1e999}`, 1},
		"member":            {`{"a":` + nested(20_000) + `,"c":1}`, `{"a":null,"c":1}`, 1},
		"object":            {`{"a": {"x":` + nested(20_000) + `} , "c":1}`, `{"a": null , "c":1}`, 1},
		"two entries":       {`{"e":[` + nested(2000) + `,{"a":1},` + nested(2000) + `]}`, `{"e":[null,{"a":1},null]}`, 2},
		"member of entries": {`{"e":[{"a":` + nested(2000) + `}]}`, `{"e":[{"a":null}]}`, 3},
		"not too deep":      {nested(900), nested(900), 0},
		"cut off":           {`{"a":` + nested(2000) + `,"b":[`, `{"a":null,"b":[`, 1},
	} {
		got, found := ClearNested([]byte(c.raw), c.level)
		if string(got) != c.want || found != (c.raw != c.want) {
			t.Errorf("%s: %.80s, found %t", name, got, found)
		}
	}
}
