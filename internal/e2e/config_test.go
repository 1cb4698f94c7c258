package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

const exampleDir = "../../examples/kallergis"

// copyExample returns a copy of the example folder with old replaced by new in
// all of its files.
func copyExample(t *testing.T, oldText, newText string) string {
	t.Helper()
	dir := t.TempDir()
	names, err := filepath.Glob(filepath.Join(exampleDir, "*.yaml"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no files in %s: %v", exampleDir, err)
	}
	for _, name := range names {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, dir, filepath.Base(name), strings.ReplaceAll(string(raw), oldText, newText))
	}
	return dir
}

func writeFile(t testing.TB, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// applyJSON runs apply and returns its exit code and report.
func (s *site) applyJSON(t *testing.T, dir string) (int, syncer.ApplyResult, string) {
	code, out, stderr := tryCommand("apply", "--platform", s.platform, "--json", dir)
	var result syncer.ApplyResult
	if err := json.Unmarshal(out, &result); err != nil {
		t.Errorf("apply printed %q, %s: %v", out, stderr, err)
	}
	return code, result, string(stderr)
}

// TestConfiguration lets operators race, fail and be killed while nodes and the
// platform go on; no node's revision may revert.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	watch := s.watchRevisions()
	t.Run("bad file", s.applyBadFile)
	t.Run("killed", s.applyKilled)
	t.Run("platform outage", s.applyInOutage)
	watch.check(t)
}

// applyBadFile has a file refused; nothing changes.
func (s *site) applyBadFile(t *testing.T) {
	before := s.accepted(t)
	dir := t.TempDir()
	writeFile(t, dir, "50-bad.yaml", "routes:\n  chat:\n    prefix: /chat\n    class: fastest\n    service: inscription\n")
	writeFile(t, dir, "51-good.yaml", "workspaces:\n  desk: {keys: ["+workspaceKey+"], weight: 9}\n")
	code, result, stderr := s.applyJSON(t, dir)
	st, _ := result.Status.File("50-bad.yaml")
	found := slices.ContainsFunc(st.Diagnostics, func(d config.Diagnostic) bool {
		return d.File == "50-bad.yaml" && d.Line == 4 && d.Field == "routes.chat.class" && d.Severity == config.SeverityError
	})
	if code != 2 || st.State != config.FileRefused || !found || !strings.Contains(stderr, "refused") {
		t.Errorf("exit code %d, status %+v, message %q", code, st, stderr)
	}
	if after := s.accepted(t); after.Revision != before.Revision {
		t.Errorf("revision %d after a refused file, want %d", after.Revision, before.Revision)
	}
}

// startApply begins an apply that is slow, and returns once its first file is stored.
func (s *site) startApply(t *testing.T, mark string) (*exec.Cmd, string) {
	t.Helper()
	s.storeFaults(t, memstore.Faults{Delay: 200 * time.Millisecond})
	dir := copyExample(t, "# ", "# "+mark+" ")
	cmd := exec.Command(binary, "apply", "--platform", s.platform, dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	eventually(t, "first file", func() error {
		o, err := s.object(config.FileKey("10-services.yaml"))
		if err == nil && !strings.Contains(string(o.Value), mark) {
			err = fmt.Errorf("not stored yet")
		}
		return err
	})
	return cmd, dir
}

// applyKilled kills an apply in the middle: what it stored is accepted, and the
// whole apply can be repeated.
func (s *site) applyKilled(t *testing.T) {
	cmd, dir := s.startApply(t, "Killed.")
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	s.storeFaults(t, memstore.Faults{})
	eventually(t, "acceptance by a node", func() error { return s.inForce(t, "Killed.", 1) })
	s.everywhere(t, int64(s.accepted(t).Revision))
	runCommand(t, 0, "apply", "--platform", s.platform, dir)
	if err := s.inForce(t, "Killed.", 3); err != nil {
		t.Error(err)
	}
	s.everywhere(t, int64(s.accepted(t).Revision))
}

// applyInOutage takes the platform away in the middle of an apply.
func (s *site) applyInOutage(t *testing.T) {
	cmd, _ := s.startApply(t, "Outage.")
	s.storeFaults(t, memstore.Faults{Down: true})
	time.Sleep(time.Second)
	s.storeFaults(t, memstore.Faults{})
	if err := cmd.Wait(); err != nil {
		t.Errorf("apply: %v", err)
	}
	if err := s.inForce(t, "Outage.", 3); err != nil {
		t.Error(err)
	}
	s.everywhere(t, int64(s.accepted(t).Revision))
}

// inForce checks that at least n accepted files hold the mark.
func (s *site) inForce(t *testing.T, mark string, n int) error {
	have := 0
	for _, f := range s.accepted(t).Files {
		if strings.Contains(string(f.Data), mark) {
			have++
		}
	}
	if have < n {
		return fmt.Errorf("%d files hold %q, want %d", have, mark, n)
	}
	return nil
}
