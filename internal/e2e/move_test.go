package e2e

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

const (
	moveName = "inscription-v2"
	moveFile = `workspaces:
  desk: {keys: [` + workspaceKey + `], rate_per_second: 100000, concurrency: 10000}
moves:
  ` + moveName + `: {service: inscription, from: v1, to: v2, finish_by: %q}
`
)

// TestBadVersion moves a service to a version that fails every request. Callers
// get whole answers all the time, every node says that the move was undone, and
// nothing starts it again: not the end of any node, and not the same file.
func TestBadVersion(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{engine: []string{"--speed", "20"}})
	bad := []*engineProcess{}
	for _, dc := range dataCentres[:2] {
		bad = append(bad, s.startEngine(t, dc, "v2", "--speed", "20", "--faults", toJSON(engine.Faults{FailRate: 1})))
	}
	for _, e := range bad {
		s.awaitEndpoint(t, e.host, "live")
	}
	dir := t.TempDir()
	writeFile(t, dir, "40-move.yaml", fmt.Sprintf(moveFile, finishBy(time.Hour)))
	runCommand(t, 0, "apply", "--platform", s.platform, dir)

	stop := s.steadyChats(t)
	eventually(t, "undo of the move", func() error { return s.wantUndone() })
	stop()
	if len(begun(bad)) == 0 {
		t.Error("the new version got no request")
	}
	settled := len(begun(bad))
	for i, p := range s.nodeProc {
		p.kill()
		s.startNode(t, i)
		eventually(t, "restarted node", ready(s.nodes[i]))
	}
	eventually(t, "undone move at the new nodes", func() error { return s.wantUndone() })
	runCommand(t, 0, "apply", "--platform", s.platform, dir)
	writeFile(t, dir, "41-move-again.yaml", fmt.Sprintf(moveFile, finishBy(time.Minute)))
	runCommand(t, 0, "apply", "--platform", s.platform, dir)
	s.everywhere(t, int64(s.accepted(t).Revision))
	for range 4 {
		if err := s.wantUndone(); err != nil {
			t.Errorf("after the same file: %v", err)
		}
		var wg sync.WaitGroup
		s.traffic(t, "/chat", 100, 2, &wg)
		wg.Wait()
	}
	if n := len(begun(bad)); n != settled {
		t.Errorf("the undone version got %d further requests", n-settled)
	}
}

func finishBy(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339) }

// wantUndone returns an error where a node doesn't say that the move was undone, and why.
func (s *site) wantUndone() error {
	for i := range s.nodes {
		moves, err := s.moves(i)
		if err != nil {
			return err
		}
		if len(moves) != 1 || moves[0].Name != moveName || moves[0].State != string(move.StateUndone) || moves[0].Share != 0 || moves[0].Reason == "" {
			return fmt.Errorf("node %d says %+v", i, moves)
		}
	}
	return nil
}

// steadyChats sends chats through all nodes, each to be answered whole on its
// first connection, until stop.
func (s *site) steadyChats(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent atomic.Uint64
	for i := range 12 {
		wg.Go(func() {
			for ctx.Err() == nil {
				n := sent.Add(1)
				c := chat{prompt: fmt.Sprintf("question %d", n), seed: n, tokens: 2}
				if got, err := c.streamOnce("/chat", s.from(i)[0]); err != nil || got != c.want() {
					t.Errorf("chat %d: %q, error %v", n, got, err)
				}
				sleep(ctx)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}
