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

// streamDraftsWithStrayChunks starts to stream drafts while all engines duplicate chunks
// and insert chunks of other requests. It returns the engines, the busiest first.
func (d *deployment) streamDraftsWithStrayChunks(t *testing.T, wg *sync.WaitGroup) []*engineProcess {
	t.Helper()
	const drafts = 12
	for _, e := range d.engines {
		postControl(t, e.addr, control.Path, engine.Faults{CrossRate: 0.2, DuplicateRate: 0.2})
	}
	before := startedRequests(d.engines)
	d.streamDrafts(t, drafts, 150, wg)
	eventually(t, "start of all drafts", func() error {
		if n := len(startedRequests(d.engines)) - len(before); n < drafts {
			return fmt.Errorf("%d started", n)
		}
		return nil
	})
	return slices.SortedFunc(slices.Values(d.engines), func(a, b *engineProcess) int { return len(b.attempts()) - len(a.attempts()) })
}

// TestPausedEngine pauses an engine's process (SIGSTOP) during its streams for a short
// time: callers must still receive their own chunks, completely and in order.
func TestPausedEngine(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	var wg sync.WaitGroup
	busiest := d.streamDraftsWithStrayChunks(t, &wg)[0]
	for range 3 {
		busiest.pause(t)
		time.Sleep(500 * time.Millisecond)
		busiest.resume(t)
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
}

// TestFrozenEngine pauses an engine's process until other engines have taken over a
// stream of it: what the engine sends afterwards must not reach callers.
func TestFrozenEngine(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	var wg sync.WaitGroup
	engines := d.streamDraftsWithStrayChunks(t, &wg)
	paused, others := engines[0], engines[1:]
	startedAtPaused := startedRequests(engines[:1])
	paused.pause(t)
	eventually(t, "takeover of a draft", func() error {
		for id := range startedRequests(others) {
			if startedAtPaused[id] {
				return nil
			}
		}
		return errors.New("none")
	})
	paused.resume(t)
	wg.Wait()
	d.streamDrafts(t, 6, 20, &wg)
	wg.Wait()
}

// TestFrozenNode pauses a node's process while a revision that removes a workspace's key
// is accepted. Once resumed, the node must reach that revision, and must never serve the
// key again after it has first refused it.
func TestFrozenNode(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	watch := d.startRevisionWatch()
	dir := t.TempDir()
	changed := "workspaces:\n  desk: {keys: [another-desk-key]}\n"
	if err := os.WriteFile(filepath.Join(dir, "50-key.yaml"), []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	d.nodeProc[1].pause(t)
	pausedAt := time.Now()
	runCommand(t, 0, "apply", "--platform", d.platform, dir)
	want := int64(d.accepted(t).Revision)
	for _, i := range []int{0, 2} {
		eventually(t, fmt.Sprintf("refusal at node %d", i), func() error { return d.refusesOldKey(i) })
	}
	time.Sleep(time.Until(pausedAt.Add(pauseTime)))
	d.nodeProc[1].resume(t)
	eventually(t, "refusal at node 1", func() error {
		err := d.refusesOldKey(1)
		if errors.Is(err, errServedOldKey) {
			t.Errorf("after the pause: %v", err)
		}
		return err
	})
	for i := range 60 {
		if err := d.refusesOldKey(i % 3); err != nil {
			t.Errorf("after all nodes refused: %v", err)
		}
	}
	d.awaitRevision(t, want)
	watch.check(t)
}

// pauseTime is longer than the pause after which a node detects that it was paused.
const pauseTime = 4 * time.Second

var errServedOldKey = errors.New("the old key was served")

// refusesOldKey returns an error unless node i refuses the test workspace's key;
// errServedOldKey if it served it.
func (d *deployment) refusesOldKey(i int) error {
	c := chat{prompt: "a line", seed: 1, tokens: 1}
	got, _, err := c.stream("/chat", d.nodes[i:i+1])
	if err == nil {
		return fmt.Errorf("node %d: %w: %q", i, errServedOldKey, got)
	}
	if !strings.Contains(err.Error(), "status 401") {
		return err
	}
	return nil
}

// revisionWatch polls the nodes' revisions until check is called.
type revisionWatch struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup
	errs   []error // by node
}

// startRevisionWatch starts to check that no node's revision reverts.
func (d *deployment) startRevisionWatch() *revisionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &revisionWatch{cancel: cancel, errs: make([]error, len(d.nodes))}
	for i := range d.nodes {
		w.wg.Go(func() {
			var highest int64
			for ctx.Err() == nil {
				st, err := d.status(i)
				if err != nil {
					continue // paused or killed
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
