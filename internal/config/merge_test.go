package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// splitFiles splits "-- name" sections into files.
func splitFiles(input string) []File {
	var files []File
	for _, part := range strings.Split("\n"+input, "\n-- ")[1:] {
		name, data, _ := strings.Cut(part, "\n")
		files = append(files, File{Name: strings.TrimSpace(name), Data: []byte(data + "\n")})
	}
	return files
}

// TestMerge runs scripts that merge files and look up routes and keys in the result.
func TestMerge(t *testing.T) {
	datadriven.Walk(t, "testdata/merge", func(t *testing.T, path string) {
		var cfg *Config
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var b strings.Builder
			switch d.Cmd {
			case "merge":
				var diags []Diagnostic
				cfg, diags = Merge(splitFiles(d.Input))
				for _, diag := range diags {
					fmt.Fprintln(&b, diag)
				}
				if !HasErrors(diags) {
					b.WriteString(describe(t, cfg))
				}
			case "match":
				for _, line := range strings.Split(d.Input, "\n") {
					f := strings.Fields(line)
					r, ok := cfg.Match(f[0], f[1])
					fmt.Fprintf(&b, "%s: %s %t\n", line, r.Name, ok)
				}
			case "key":
				w, ok := cfg.WorkspaceByKey(d.Input)
				fmt.Fprintf(&b, "%s %t\n", w.Name, ok)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return b.String()
		})
	})
}

func describe(t *testing.T, c *Config) string {
	var b strings.Builder
	section := func(name string, v any) {
		raw, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if string(raw) != "{}" {
			fmt.Fprintf(&b, "%s %s\n", name, raw)
		}
	}
	section("routes", c.Routes)
	section("services", c.Services)
	section("workspaces", c.Workspaces)
	section("moves", c.Moves)
	return b.String()
}

// TestMergeLastFileWins compares the merge of random folders with a simple reference.
func TestMergeLastFileWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringMatching(`[0-9]{2}-[a-c]\.yaml`), 1, 6, rapid.ID).Draw(t, "names")
		want := make(map[ident.Workspace]int)
		last := make(map[ident.Workspace]string)
		overrides := 0
		files := make([]File, 0, len(names))
		for _, name := range names {
			var b strings.Builder
			b.WriteString("workspaces:\n")
			for _, ws := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID).Draw(t, "workspaces") {
				weight := rapid.IntRange(1, maxWeight).Draw(t, "weight")
				w := ident.Workspace(fmt.Sprintf("w%d", ws))
				fmt.Fprintf(&b, "  %s: {keys: [key-of-%s], weight: %d}\n", w, w, weight)
				if last[w] != "" {
					overrides++
				}
				if name > last[w] {
					want[w], last[w] = weight, name
				}
			}
			files = append(files, File{Name: name, Data: []byte(b.String())})
		}
		cfg, diags := Merge(rapid.Permutation(files).Draw(t, "order"))
		if HasErrors(diags) || len(diags) != overrides {
			t.Fatalf("%d overrides gave %v", overrides, diags)
		}
		got := make(map[ident.Workspace]int)
		for w, ws := range cfg.Workspaces {
			got[w] = ws.Weight
		}
		if !maps.Equal(got, want) {
			t.Fatalf("weights %v; want %v", got, want)
		}
	})
}

// TestExamples checks that the example folders, which operators copy, merge without
// diagnostics.
func TestExamples(t *testing.T) {
	for _, dir := range []string{"kallergis", "kaptaan"} {
		cfg, diags := Merge(readFiles(t, dir))
		if len(diags) != 0 || len(cfg.Workspaces) != 5 || len(cfg.Routes) != 4 {
			t.Errorf("%s: %d workspaces, %d routes, diagnostics %v", dir, len(cfg.Workspaces), len(cfg.Routes), diags)
		}
	}
}

// readFiles reads the files of an example.
func readFiles(t testing.TB, example string) []File {
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", example, "*.yaml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("example %q has no files: %v", example, err)
	}
	files := make([]File, 0, len(paths))
	for _, p := range paths {
		data, err := os.ReadFile(p)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, File{Name: filepath.Base(p), Data: data})
	}
	return files
}

// FuzzMerge checks that Merge reports malformed files as diagnostics only, and that
// every diagnostic names its file.
func FuzzMerge(f *testing.F) {
	for _, file := range readFiles(f, "*") {
		f.Add(file.Data, []byte("moves: {m: {service: a, from: v1, to: v2, finish_by: 2026-12-04T06:00:00Z}}"))
	}
	f.Add([]byte("moves: {m: {service: a, from: v1, to: v2, finish_by: 9999-12-31T23:59:59-01:00}}"), []byte(""))
	f.Add([]byte("a: &x\n  b: *x\n<<: *x"), []byte("? [a]\n: |-\n  b"))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		cfg, diags := Merge([]File{{Name: "b.yaml", Data: b}, {Name: "a.yaml", Data: a}})
		for _, d := range diags {
			if d.File != "a.yaml" && d.File != "b.yaml" || d.Message == "" {
				t.Fatalf("diagnostic %+v has no file or no message", d)
			}
		}
		_ = cfg.digest() // encodes every object
		for _, r := range cfg.Routes {
			if got, ok := cfg.Match("POST", r.Prefix); ok && got.Prefix != r.Prefix && len(r.Methods) == 0 {
				t.Fatalf("match %q gave %q", r.Prefix, got.Prefix)
			}
		}
	})
}
