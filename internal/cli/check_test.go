package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckCommand(t *testing.T) {
	bad := t.TempDir()
	for name, data := range map[string]string{
		"10-a.yaml": "services:\n  desk: {kind: plain, version: v1, colour: red}\n",
		"notes.txt": "not a configuration file",
	} {
		if err := os.WriteFile(filepath.Join(bad, name), []byte(data), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name, dir, want string
		code            int
	}{
		{"example", "../../examples/kallergis", "inscription", ExitOK},
		{"unknown field", bad, `10-a.yaml:2: error: services.desk.colour: unknown field "colour"; allowed are kind,`, ExitUsage},
		{"empty directory", t.TempDir(), "contains no .yaml or .yml file", ExitUsage},
		{"no directory", "", "missing argument DIR", ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			args := strings.Fields("jujubeshed check " + c.dir)
			if code := Run(context.Background(), args, &out, &out); code != c.code || !strings.Contains(out.String(), c.want) {
				t.Errorf("exit code %d, output %q; want %d, %q", code, out.String(), c.code, c.want)
			}
		})
	}
	var out bytes.Buffer
	code := Run(context.Background(), []string{"jujubeshed", "check", "--json", bad}, &out, &bytes.Buffer{})
	var report checkReport
	if err := json.Unmarshal(out.Bytes(), &report); err != nil || code != ExitUsage || report.Errors != 1 || len(report.Files) != 1 {
		t.Errorf("exit code %d, report %+v, error %v", code, report, err)
	}
}
