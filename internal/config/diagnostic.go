package config

import (
	"fmt"
	"sort"
	"strings"
)

// Severity is the severity of a diagnostic. A file with an error is not accepted.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Diagnostic is an error or warning about an operator's file.
type Diagnostic struct {
	File string `json:"file"`
	// Line is the line number from 1; zero if the diagnostic concerns the entire file.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, for example "routes.chat.prefix".
	Field string `json:"field,omitempty"`
	// Value is the offending value, truncated.
	Value string `json:"value,omitempty"`
	// Message describes the problem and the allowed values.
	Message  string   `json:"message"`
	Severity Severity `json:"severity"`
	// OtherFile is the second file involved, for example the overridden one.
	OtherFile string `json:"other_file,omitempty"`

	// local marks an error that does not depend on other files.
	local bool
}

// String returns the diagnostic in the "file:line: message" form of compilers.
func (d Diagnostic) String() string {
	var b strings.Builder
	b.WriteString(d.File)
	if d.Line > 0 {
		fmt.Fprintf(&b, ":%d", d.Line)
	}
	fmt.Fprintf(&b, ": %s: ", d.Severity)
	if d.Field != "" {
		fmt.Fprintf(&b, "%s: ", d.Field)
	}
	b.WriteString(d.Message)
	return b.String()
}

// HasErrors reports whether any of the diagnostics is an error.
func HasErrors(ds []Diagnostic) bool {
	for _, d := range ds {
		if d.Severity == SeverityError {
			return true
		}
	}
	return false
}

// maxValueLen is the maximum number of bytes of a value in a diagnostic.
const maxValueLen = 80

func shorten(s string) string {
	if len(s) <= maxValueLen {
		return s
	}
	return strings.ToValidUTF8(s[:maxValueLen], "") + "…"
}

func sortDiagnostics(ds []Diagnostic) {
	sort.SliceStable(ds, func(i, j int) bool {
		a, b := ds[i], ds[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Field < b.Field
	})
}
