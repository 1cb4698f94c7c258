package config

import (
	"fmt"
	"sort"
	"strings"
)

// Severity tells whether a diagnostic keeps its file from being accepted.
type Severity string

// The severities.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Diagnostic is one finding about an operator's file.
type Diagnostic struct {
	File string `json:"file"`
	// Line counts from 1; zero where the finding concerns the file as a whole.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, for example "routes.chat.prefix".
	Field string `json:"field,omitempty"`
	// Value is the value found, shortened.
	Value string `json:"value,omitempty"`
	// Message says what is wrong and what is allowed.
	Message  string   `json:"message"`
	Severity Severity `json:"severity"`
	// OtherFile is the second file concerned, for example the one overridden.
	OtherFile string `json:"other_file,omitempty"`

	// local marks an error that the file has by itself, whatever the others say.
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

// HasErrors tells whether any of the diagnostics is an error.
func HasErrors(ds []Diagnostic) bool {
	for _, d := range ds {
		if d.Severity == SeverityError {
			return true
		}
	}
	return false
}

// maxValueLen is the number of bytes of a value that a diagnostic shows.
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
