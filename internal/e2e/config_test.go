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

// copyExample returns a copy of the example folder with oldText replaced by newText in
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

// applyJSON runs apply --json and returns its exit code, report and standard error.
func (d *deployment) applyJSON(t *testing.T, dir string) (int, syncer.ApplyResult, string) {
	code, out, stderr := tryCommand("apply", "--platform", d.platform, "--json", dir)
	var result syncer.ApplyResult
	if err := json.Unmarshal(out, &result); err != nil {
		t.Errorf("apply printed %q, %s: %v", out, stderr, err)
	}
	return code, result, string(stderr)
}

// TestConfiguration checks that no node's revision reverts when an apply is refused,
// killed, or interrupted by an outage of the platform.
func TestConfiguration(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	watch := d.startRevisionWatch()
	t.Run("bad file", d.applyBadFile)
	t.Run("killed", d.applyKilled)
	t.Run("platform outage", d.applyDuringOutage)
	watch.check(t)
}

// applyBadFile checks that a refused file leaves the configuration unchanged.
func (d *deployment) applyBadFile(t *testing.T) {
	before := d.accepted(t)
	dir := t.TempDir()
	writeFile(t, dir, "50-bad.yaml", "routes:\n  chat:\n    prefix: /chat\n    class: fastest\n    service: inscription\n")
	writeFile(t, dir, "51-good.yaml", "workspaces:\n  desk: {keys: ["+workspaceKey+"], weight: 9}\n")
	code, result, stderr := d.applyJSON(t, dir)
	st, _ := result.Status.File("50-bad.yaml")
	found := slices.ContainsFunc(st.Diagnostics, func(diag config.Diagnostic) bool {
		return diag.File == "50-bad.yaml" && diag.Line == 4 && diag.Field == "routes.chat.class" && diag.Severity == config.SeverityError
	})
	if code != 2 || st.State != config.FileRefused || !found || !strings.Contains(stderr, "refused") {
		t.Errorf("exit code %d, status %+v, message %q", code, st, stderr)
	}
	if after := d.accepted(t); after.Revision != before.Revision {
		t.Errorf("revision %d after a refused file, want %d", after.Revision, before.Revision)
	}
}

// startApply starts an apply against a slow store, and returns once its first file is
// stored. mark is added to the files' comments.
func (d *deployment) startApply(t *testing.T, mark string) (*exec.Cmd, string) {
	t.Helper()
	d.setStoreFaults(t, memstore.Faults{Delay: 200 * time.Millisecond})
	dir := copyExample(t, "# ", "# "+mark+" ")
	cmd := exec.Command(binary, "apply", "--platform", d.platform, dir)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	eventually(t, "first file", func() error {
		o, err := d.object(config.FileKey("10-services.yaml"))
		if err == nil && !strings.Contains(string(o.Value), mark) {
			err = fmt.Errorf("not stored yet")
		}
		return err
	})
	return cmd, dir
}

// applyKilled kills an apply after its first file: the stored files are accepted, and
// the apply can be repeated.
func (d *deployment) applyKilled(t *testing.T) {
	cmd, dir := d.startApply(t, "Killed.")
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	d.setStoreFaults(t, memstore.Faults{})
	eventually(t, "acceptance by a node", func() error { return d.checkAccepted(t, "Killed.", 1) })
	d.awaitRevision(t, int64(d.accepted(t).Revision))
	runCommand(t, 0, "apply", "--platform", d.platform, dir)
	if err := d.checkAccepted(t, "Killed.", 3); err != nil {
		t.Error(err)
	}
	d.awaitRevision(t, int64(d.accepted(t).Revision))
}

// applyDuringOutage makes the platform's store unavailable for 1 s during an apply.
func (d *deployment) applyDuringOutage(t *testing.T) {
	cmd, _ := d.startApply(t, "Outage.")
	d.setStoreFaults(t, memstore.Faults{Down: true})
	time.Sleep(time.Second)
	d.setStoreFaults(t, memstore.Faults{})
	if err := cmd.Wait(); err != nil {
		t.Errorf("apply: %v", err)
	}
	if err := d.checkAccepted(t, "Outage.", 3); err != nil {
		t.Error(err)
	}
	d.awaitRevision(t, int64(d.accepted(t).Revision))
}

// checkAccepted returns an error if fewer than n accepted files contain the mark.
func (d *deployment) checkAccepted(t *testing.T, mark string, n int) error {
	have := 0
	for _, f := range d.accepted(t).Files {
		if strings.Contains(string(f.Data), mark) {
			have++
		}
	}
	if have < n {
		return fmt.Errorf("%d files contain %q, want at least %d", have, mark, n)
	}
	return nil
}
