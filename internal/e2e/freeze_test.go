package e2e

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

// crossedDrafts streams drafts while all engines send chunks twice and chunks of
// other requests between them. It returns the engines, the busiest first.
func (s *site) crossedDrafts(t *testing.T, wg *sync.WaitGroup) []*engineProcess {
	t.Helper()
	const drafts = 12
	for _, e := range s.engines {
		post(t, e.addr, control.Path, engine.Faults{CrossRate: 0.2, DuplicateRate: 0.2})
	}
	before := begun(s.engines)
	s.uncut(t, drafts, 150, wg)
	eventually(t, "start of all drafts", func() error {
		if n := len(begun(s.engines)) - len(before); n < drafts {
			return fmt.Errorf("%d began", n)
		}
		return nil
	})
	return slices.SortedFunc(slices.Values(s.engines), func(a, b *engineProcess) int { return len(b.runs()) - len(a.runs()) })
}

// TestPausedEngine stops an engine's process in the middle of its streams and lets
// it go on soon: its late chunks are the callers' own, whole and in order.
func TestPausedEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	var wg sync.WaitGroup
	busiest := s.crossedDrafts(t, &wg)[0]
	for range 3 {
		busiest.freeze(t)
		time.Sleep(500 * time.Millisecond)
		busiest.thaw(t)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// TestFrozenEngine lets the engine go on only when other engines have taken its
// streams over: what it then sends must not reach callers.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	var wg sync.WaitGroup
	engines := s.crossedDrafts(t, &wg)
	frozen, others := engines[0], engines[1:]
	held := begun(engines[:1])
	frozen.freeze(t)
	eventually(t, "take-over of a draft", func() error {
		for id := range begun(others) {
			if held[id] {
				return nil
			}
		}
		return errors.New("none")
	})
	frozen.thaw(t)
	wg.Wait()
	s.uncut(t, 6, 20, &wg)
	wg.Wait()
}

// TestFrozenNode stops a node's process while a revision is accepted that takes a
// workspace's key away. Once it goes on it must come to that revision, and after
// its first refusal by it never serve the key again.
func TestFrozenNode(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	watch := s.watchRevisions()
	dir := t.TempDir()
	changed := "workspaces:\n  desk: {keys: [another-desk-key]}\n"
	if err := os.WriteFile(filepath.Join(dir, "50-key.yaml"), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	s.nodeProc[1].freeze(t)
	frozen := time.Now()
	runCommand(t, 0, "apply", "--platform", s.platform, dir)
	want := int64(s.accepted(t).Revision)
	for _, i := range []int{0, 2} {
		eventually(t, fmt.Sprintf("refusal at node %d", i), func() error { return s.refusesOldKey(i) })
	}
	time.Sleep(time.Until(frozen.Add(frozenFor)))
	s.nodeProc[1].thaw(t)
	eventually(t, "refusal at node 1", func() error {
		err := s.refusesOldKey(1)
		if errors.Is(err, errServedOldKey) {
			t.Errorf("after the pause: %v", err)
		}
		return err
	})
	for i := range 60 {
		if err := s.refusesOldKey(i % 3); err != nil {
			t.Errorf("after all nodes refused: %v", err)
		}
	}
	s.everywhere(t, want)
	watch.check(t)
}

// frozenFor is longer than the pause that a node notices.
const frozenFor = 4 * time.Second

var errServedOldKey = errors.New("the old key was served")

// refusesOldKey returns an error where node i serves the test workspace's key.
func (s *site) refusesOldKey(i int) error {
	c := chat{prompt: "a line", seed: 1, tokens: 1}
	got, _, err := c.stream("/chat", s.nodes[i:i+1])
	if err == nil {
		return fmt.Errorf("node %d: %w: %q", i, errServedOldKey, got)
	}
	if !strings.Contains(err.Error(), "status 401") {
		return err
	}
	return nil
}

// revisionWatch polls the nodes' revisions until check.
type revisionWatch struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	errs   []error // by node
}

// watchRevisions begins to look for a revision that reverts on any node. A node
// that is restarted begins anew.
func (s *site) watchRevisions() *revisionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &revisionWatch{cancel: cancel, errs: make([]error, len(s.nodes))}
	for i := range s.nodes {
		w.wg.Go(func() {
			var highest int64
			for ctx.Err() == nil {
				st, err := s.status(i)
				if err != nil {
					continue // frozen or killed
				}
				if st.Revision < highest {
					w.errs[i] = fmt.Errorf("node %d reverted from revision %d to %d", i, highest, st.Revision)
				}
				highest = st.Revision
				sleep(ctx)
			}
		})
	}
	return w
}

func (w *revisionWatch) check(t *testing.T) {
	t.Helper()
	w.cancel()
	w.wg.Wait()
	if err := errors.Join(w.errs...); err != nil {
		t.Error(err)
	}
}
