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

// TestBadVersion moves a service to a version that fails every request. Callers must
// always receive complete responses, every node must report that the move was rolled
// back, and neither a node's restart nor applying the same file may start it again.
func TestBadVersion(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{engine: []string{"--speed", "20"}})
	bad := []*engineProcess{}
	for _, dc := range dataCentres[:2] {
		bad = append(bad, d.startEngine(t, dc, "v2", "--speed", "20", "--faults", toJSON(engine.Faults{FailRate: 1})))
	}
	for _, e := range bad {
		d.awaitEndpoint(t, e.host, "live")
	}
	dir := t.TempDir()
	writeFile(t, dir, "40-move.yaml", fmt.Sprintf(moveFile, finishBy(time.Hour)))
	runCommand(t, 0, "apply", "--platform", d.platform, dir)

	stop := d.sendSteadyChats(t)
	eventually(t, "rollback of the move", func() error { return d.checkRolledBack() })
	stop()
	if len(startedRequests(bad)) == 0 {
		t.Error("the new version got no request")
	}
	startedBefore := len(startedRequests(bad))
	for i, p := range d.nodeProc {
		p.kill()
		d.startNode(t, i)
		eventually(t, "restarted node", checkReady(d.nodes[i]))
	}
	eventually(t, "rolled-back move at the restarted nodes", func() error { return d.checkRolledBack() })
	runCommand(t, 0, "apply", "--platform", d.platform, dir)
	writeFile(t, dir, "41-move-again.yaml", fmt.Sprintf(moveFile, finishBy(time.Minute)))
	runCommand(t, 0, "apply", "--platform", d.platform, dir)
	d.awaitRevision(t, int64(d.accepted(t).Revision))
	for range 4 {
		if err := d.checkRolledBack(); err != nil {
			t.Errorf("after the same file: %v", err)
		}
		var wg sync.WaitGroup
		d.sendChats(t, "/chat", 100, 2, &wg)
		wg.Wait()
	}
	if n := len(startedRequests(bad)); n != startedBefore {
		t.Errorf("the rolled-back version got %d further requests", n-startedBefore)
	}
}

func finishBy(d time.Duration) string { return time.Now().Add(d).UTC().Format(time.RFC3339) }

// checkRolledBack returns an error unless every node reports that the move was rolled back,
// with a reason.
func (d *deployment) checkRolledBack() error {
	for i := range d.nodes {
		moves, err := d.moves(i)
		if err != nil {
			return err
		}
		if len(moves) != 1 || moves[0].Name != moveName || moves[0].State != string(move.StateRolledBack) || moves[0].Share != 0 || moves[0].Reason == "" {
			return fmt.Errorf("node %d reports moves %+v", i, moves)
		}
	}
	return nil
}

// sendSteadyChats sends chats through all nodes until stop is called. Each must receive
// its complete response on its first connection.
func (d *deployment) sendSteadyChats(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent atomic.Uint64
	for i := range 12 {
		wg.Go(func() {
			for ctx.Err() == nil {
				n := sent.Add(1)
				c := chat{prompt: fmt.Sprintf("question %d", n), seed: n, tokens: 2}
				if got, err := c.streamOnce("/chat", d.addressesFrom(i)[0]); err != nil || got != c.want() {
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
