package e2e

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

// TestTwoOperators has two operators apply different copies of one example concurrently.
// An operator whose files were overridden must see it in the exit code or the report.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	watch := d.startRevisionWatch()
	defer watch.check(t)
	d.applyBetweenWriteAndAcceptance(t)
	for round := range 4 {
		var dirs [2]string
		var codes [2]int
		var results [2]syncer.ApplyResult
		var messages [2]string
		var wg sync.WaitGroup
		for i := range dirs {
			dirs[i] = copyExample(t, "# ", fmt.Sprintf("# Operator %d, change %d. ", i, round))
			wg.Go(func() { codes[i], results[i], messages[i] = d.applyJSON(t, dirs[i]) })
		}
		wg.Wait()
		d.awaitRevision(t, int64(d.accepted(t).Revision))
		for i := range dirs {
			d.checkOperatorInformed(t, dirs[i], codes[i], results[i], messages[i])
		}
	}
}

// checkOperatorInformed checks that after a successful apply the operator's files are in
// force, or the report names the revision that had them and a later one overrides it. If
// apply reports another operator's change, at least one file must not be in force.
func (d *deployment) checkOperatorInformed(t *testing.T, dir string, code int, result syncer.ApplyResult, message string) {
	t.Helper()
	overridden := 0
	for _, f := range d.accepted(t).Files {
		raw, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			t.Fatal(err)
		}
		own := config.File{Name: f.Name, Data: raw}.Digest()
		if f.Digest() == own {
			continue
		}
		overridden++
		reported, _ := result.Status.File(f.Name)
		if code == 0 && (reported.Digest != own || reported.Revision >= f.Since) {
			t.Errorf("%s: apply exited with 0 and reported %+v, but revision %d has different content, since revision %d",
				f.Name, reported, d.accepted(t).Revision, f.Since)
		}
	}
	if code != 0 && (code != 1 || overridden == 0 || !strings.Contains(message, "somebody else changed")) {
		t.Errorf("apply exited with %d, %q, and %d of its files are not in force", code, message, overridden)
	}
}

// applyBetweenWriteAndAcceptance starts a second operator's apply between the last write
// of a first operator's apply and its acceptance. The second must wait until all of the
// first one's files are in force; afterwards its own must be.
func (d *deployment) applyBetweenWriteAndAcceptance(t *testing.T) {
	first := copyExample(t, "# ", "# First. ")
	second := copyExample(t, "# ", "# Second. ")
	var code int
	var result syncer.ApplyResult
	var message string
	d.setStoreFaults(t, memstore.Faults{Delay: 500 * time.Millisecond})
	var wg sync.WaitGroup
	wg.Go(func() { code, result, message = d.applyJSON(t, first) })
	eventually(t, "the first operator's last file", func() error {
		o, err := d.object(config.FileKey("30-workspaces.yaml"))
		if err == nil && !strings.Contains(string(o.Value), "First.") {
			err = errors.New("not stored yet")
		}
		return err
	})
	d.setStoreFaults(t, memstore.Faults{})
	runCommand(t, 0, "apply", "--platform", d.platform, second)
	wg.Wait()
	d.checkOperatorInformed(t, first, code, result, message)
	if code != 0 {
		t.Errorf("the first operator's apply exited with %d, %q, want 0", code, message)
	}
	for _, f := range d.accepted(t).Files {
		raw, err := os.ReadFile(filepath.Join(second, f.Name))
		if err != nil {
			t.Fatal(err)
		}
		if own := (config.File{Name: f.Name, Data: raw}).Digest(); f.Digest() != own {
			t.Errorf("%s: the second operator's content is not in force", f.Name)
		}
	}
}
