package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

// sendChats starts n chats on a route, spread over all nodes, and checks their responses.
func (d *deployment) sendChats(t *testing.T, path string, n, tokens int, wg *sync.WaitGroup) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := chat{prompt: strings.Repeat(fmt.Sprintf("letter %d of the family. ", i), 10), seed: uint64(i), tokens: tokens}
			got, reconnects, err := c.stream(path, d.addressesFrom(i))
			if err != nil || got != c.want() {
				t.Errorf("%s %d after %d reconnections: error %v, %d bytes, want %d", path, i, reconnects, err, len(got), len(c.want()))
			}
		}()
	}
}

// TestWholePath sends chats and orders through three nodes while a node and an engine are
// killed. Chats must be complete and orders take effect at most once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	var wg sync.WaitGroup
	d.sendChats(t, "/drafts", 12, 60, &wg)
	d.sendChats(t, "/chat", 12, 10, &wg)
	placed := d.placeOrders(t, 30, &wg)
	time.Sleep(300 * time.Millisecond)
	d.engines[0].kill()
	d.nodeProc[2].kill()
	wg.Wait()

	e := d.effects(t)
	for key, status := range placed {
		n := e.ByKey[key]
		if n > 1 {
			t.Errorf("order %s took effect %d times", key, n)
		}
		if status == http.StatusCreated && n != 1 {
			t.Errorf("order %s was confirmed, and took effect %d times", key, n)
		}
	}
}

// placeOrders starts to place orders, each concurrently at two nodes. It returns the
// status of each key, valid after wg.Wait; StatusCreated takes precedence.
func (d *deployment) placeOrders(t *testing.T, n int, wg *sync.WaitGroup) map[string]int {
	placed := make(map[string]int)
	var mu sync.Mutex
	for i := range n {
		key := fmt.Sprintf("order-%d", i)
		for k := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				status, _, err := sendOrder(d.addressesFrom(i + k)[0], key, `{"plaque":"oak"}`)
				if err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				if placed[key] != http.StatusCreated {
					placed[key] = status
				}
			}()
		}
	}
	return placed
}

// TestPlannedStopCutsNothing checks that the streams of a node that is stopped resume at
// other nodes.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	d.checkDraftsResumeElsewhere(t, 0, d.nodeProc[0].terminate)
}

// TestReclaimOfEntryHost announces the reclaim of a node's own host while the node serves
// long streams: the node must stop by itself, and each stream must resume at another node.
func TestReclaimOfEntryHost(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	const notice = 30 * time.Second
	host := platformapi.HostInfo{Host: "entry-host-0", DataCentre: ident.DataCentre(dataCentres[0]), Incarnation: 1, State: platformapi.HostLive}
	if err := standinplatform.RegisterHost(context.Background(), d.platform, host); err != nil {
		t.Fatal(err)
	}
	d.checkDraftsResumeElsewhere(t, 0, func() {
		postControl(t, d.platform, standinplatform.PathReclaim, standinplatform.Reclaim{Host: host.Host, Notice: notice})
		eventually(t, "the node's end", func() error {
			if d.nodeProc[0].alive() {
				return errors.New("still running")
			}
			return nil
		})
	})
}

// checkDraftsResumeElsewhere streams long drafts through a node while stop ends it. Each
// must be complete, and none may end at that node.
func (d *deployment) checkDraftsResumeElsewhere(t *testing.T, node int, stop func()) {
	t.Helper()
	var wg sync.WaitGroup
	reconnections := make([]int, 9)
	for i := range reconnections {
		wg.Go(func() {
			c := chat{prompt: fmt.Sprintf("a long letter, %d", i), seed: 7, tokens: 150}
			got, reconnects, err := c.stream("/drafts", d.addressesFrom(node))
			if err != nil || got != c.want() {
				t.Errorf("draft %d: error %v, %d bytes, want %d", i, err, len(got), len(c.want()))
			}
			reconnections[i] = reconnects
		})
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	wg.Wait()
	for i, n := range reconnections {
		if n == 0 {
			t.Errorf("draft %d was not handed over", i)
		}
	}
}

// TestStartWithPlatformDown starts a node while the platform is down: it must obtain the
// configuration and the hosts from its peers and serve chats, and refuse orders as not run.
func TestStartWithPlatformDown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, deploymentOptions{})
	d.nodeProc[1].kill()
	d.setStoreFaults(t, memstore.Faults{Down: true})
	d.startNode(t, 1)
	eventually(t, "node 1", checkReady(d.nodes[1]))
	c := chat{prompt: "a line for Eleni", seed: 3, tokens: 8}
	if got, _, err := c.stream("/chat", d.nodes[1:2]); err != nil || got != c.want() {
		t.Errorf("chat = %q, error %v", got, err)
	}
	status, body, err := sendOrder(d.nodes[1], "order-1", `{"plaque":"oak"}`)
	if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(body, `"verdict":"not-run"`) {
		t.Errorf("order: status %d, body %s, error %v", status, body, err)
	}
	if n := d.effects(t).ByKey["order-1"]; n != 0 {
		t.Errorf("an order refused as not run took effect %d times", n)
	}
}
