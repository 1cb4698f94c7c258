// Package jsonvalue makes JSON documents readable whose parts come from different writers.
package jsonvalue

import (
	"bytes"
	"encoding/json"
)

// maxNesting is the number of nested objects and arrays from which a value counts as unreadable.
// JSON decoders reject a document with 10,000 of them as a whole.
const maxNesting = 1000

// ClearNested replaces each value that has level objects and arrays around it and contains more
// than maxNesting of its own by null, and reports whether there is any.
func ClearNested(raw []byte, level int) (cleared []byte, found bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber() // numbers may be too large for any type
	copied, begin := 0, 0
	depth, deepest := 0, 0
	for {
		token, err := d.Token()
		if err != nil {
			return append(cleared, raw[copied:]...), found // at the end, or where the document is invalid
		}
		switch token {
		case json.Delim('{'), json.Delim('['):
			if depth == level {
				begin, deepest = int(d.InputOffset())-1, depth
			}
			depth++
			deepest = max(deepest, depth)
		case json.Delim('}'), json.Delim(']'):
			depth--
			if depth == level && deepest-level > maxNesting {
				cleared = append(append(cleared, raw[copied:begin]...), "null"...)
				copied, found = int(d.InputOffset()), true
			}
		}
	}
}
