package cli

import (
	"bytes"
	stdlog "log"
	"os"
	"strings"
	"testing"
)

// TestLibraryLogs guards against log lines of libraries that are written in any number and past the
// log queue: they count as debug lines.
func TestLibraryLogs(t *testing.T) {
	flags := stdlog.Flags()
	t.Cleanup(func() {
		stdlog.SetOutput(os.Stderr)
		stdlog.SetFlags(flags)
	})
	for level, want := range map[string]bool{"info": false, "debug": true} {
		var out bytes.Buffer
		if _, err := buildLogger(&out, level, "json"); err != nil {
			t.Fatal(err)
		}
		stdlog.Print("line of a library")
		if got := strings.Contains(out.String(), "line of a library"); got != want {
			t.Errorf("level %s: written %t: %s", level, got, out.String())
		}
	}
}
