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

// TestTwoOperators has two operators apply copies of one example at once, each with
// another change in two files. Who was overridden is told, or can see it.
func TestTwoOperators(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	watch := s.watchRevisions()
	defer watch.check(t)
	s.applyBetween(t)
	for round := range 4 {
		var dirs [2]string
		var codes [2]int
		var results [2]syncer.ApplyResult
		var messages [2]string
		var wg sync.WaitGroup
		for i := range dirs {
			dirs[i] = copyExample(t, "# ", fmt.Sprintf("# Operator %d, change %d. ", i, round))
			wg.Go(func() { codes[i], results[i], messages[i] = s.applyJSON(t, dirs[i]) })
		}
		wg.Wait()
		s.everywhere(t, int64(s.accepted(t).Revision))
		for i := range dirs {
			s.wantTold(t, dirs[i], codes[i], results[i], messages[i])
		}
	}
}

// wantTold checks that an operator whose apply ended well has his files in force,
// or that his report names the revision that had them and a later one overrides it;
// and that one who was told of another operator has a file that is not in force.
func (s *site) wantTold(t *testing.T, dir string, code int, result syncer.ApplyResult, message string) {
	t.Helper()
	overridden := 0
	for _, f := range s.accepted(t).Files {
		raw, err := os.ReadFile(filepath.Join(dir, f.Name))
		if err != nil {
			t.Fatal(err)
		}
		mine := config.File{Name: f.Name, Data: raw}.Digest()
		if f.Digest() == mine {
			continue
		}
		overridden++
		reported, _ := result.Status.File(f.Name)
		if code == 0 && (reported.Digest != mine || reported.Revision >= f.Since) {
			t.Errorf("%s: apply exited with 0 and reported %+v, but revision %d has another content, since revision %d",
				f.Name, reported, s.accepted(t).Revision, f.Since)
		}
	}
	if code != 0 && (code != 1 || overridden == 0 || !strings.Contains(message, "somebody else changed")) {
		t.Errorf("apply exited with %d, %q, and %d of its files are not in force", code, message, overridden)
	}
}

// applyBetween begins a second operator's apply between the last write of a first
// one's and its acceptance. The second waits: the first one's files are in force as
// a whole before it, and its own after it.
func (s *site) applyBetween(t *testing.T) {
	first := copyExample(t, "# ", "# First. ")
	second := copyExample(t, "# ", "# Second. ")
	var code int
	var result syncer.ApplyResult
	var message string
	s.storeFaults(t, memstore.Faults{Delay: 500 * time.Millisecond})
	var wg sync.WaitGroup
	wg.Go(func() { code, result, message = s.applyJSON(t, first) })
	eventually(t, "the first operator's last file", func() error {
		o, err := s.object(config.FileKey("30-workspaces.yaml"))
		if err == nil && !strings.Contains(string(o.Value), "First.") {
			err = errors.New("not stored yet")
		}
		return err
	})
	s.storeFaults(t, memstore.Faults{})
	runCommand(t, 0, "apply", "--platform", s.platform, second)
	wg.Wait()
	s.wantTold(t, first, code, result, message)
	if code != 0 {
		t.Errorf("the first operator's apply exited with %d, %q, want 0", code, message)
	}
	for _, f := range s.accepted(t).Files {
		raw, err := os.ReadFile(filepath.Join(second, f.Name))
		if err != nil {
			t.Fatal(err)
		}
		if mine := (config.File{Name: f.Name, Data: raw}).Digest(); f.Digest() != mine {
			t.Errorf("%s: the second operator's content is not in force", f.Name)
		}
	}
}
