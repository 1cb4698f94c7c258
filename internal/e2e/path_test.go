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

// traffic sends chats of a class through all nodes at once.
func (s *site) traffic(t *testing.T, path string, n, tokens int, wg *sync.WaitGroup) {
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := chat{prompt: strings.Repeat(fmt.Sprintf("letter %d of the family. ", i), 10), seed: uint64(i), tokens: tokens}
			got, reconnects, err := c.stream(path, s.from(i))
			if err != nil || got != c.want() {
				t.Errorf("%s %d after %d reconnections: error %v, %d bytes, want %d", path, i, reconnects, err, len(got), len(c.want()))
			}
		}()
	}
}

// TestWholePath serves chats and orders through three nodes while a node and an
// engine are killed.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	var wg sync.WaitGroup
	s.traffic(t, "/drafts", 12, 60, &wg)
	s.traffic(t, "/chat", 12, 10, &wg)
	placed := s.orders(t, 30, &wg)
	time.Sleep(300 * time.Millisecond)
	s.engines[0].kill()
	s.nodeProc[2].kill()
	wg.Wait()

	e := s.effects(t)
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

// orders places orders through all nodes, each twice at once at two nodes, and
// returns the last status of each key.
func (s *site) orders(t *testing.T, n int, wg *sync.WaitGroup) map[string]int {
	placed := make(map[string]int)
	var mu sync.Mutex
	for i := range n {
		key := fmt.Sprintf("order-%d", i)
		for k := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				status, _, err := order(s.from(i + k)[0], key, `{"plaque":"oak"}`)
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

// TestPlannedStopCutsNothing stops a node while it serves long streams.
func TestPlannedStopCutsNothing(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	s.draftsMoveFrom(t, 0, s.nodeProc[0].terminate)
}

// TestReclaimOfEntryHost announces the end of a node's own host while it serves
// long streams: it stops by itself, and each goes on at another node.
func TestReclaimOfEntryHost(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	const notice = 30 * time.Second
	host := platformapi.HostInfo{Host: "entry-host-0", DataCentre: ident.DataCentre(dataCentres[0]), Incarnation: 1, State: platformapi.HostLive}
	if err := standinplatform.RegisterHost(context.Background(), s.platform, host); err != nil {
		t.Fatal(err)
	}
	s.draftsMoveFrom(t, 0, func() {
		post(t, s.platform, standinplatform.PathReclaim, standinplatform.Reclaim{Host: host.Host, Notice: notice})
		eventually(t, "the node's end", func() error {
			if s.nodeProc[0].alive() {
				return errors.New("it still runs")
			}
			return nil
		})
	})
}

// draftsMoveFrom streams long drafts through a node while stop ends it. Each must
// be whole, and none may end there.
func (s *site) draftsMoveFrom(t *testing.T, node int, stop func()) {
	t.Helper()
	var wg sync.WaitGroup
	moved := make([]int, 9)
	for i := range moved {
		wg.Go(func() {
			c := chat{prompt: fmt.Sprintf("a long letter, %d", i), seed: 7, tokens: 150}
			got, reconnects, err := c.stream("/drafts", s.from(node))
			if err != nil || got != c.want() {
				t.Errorf("draft %d: error %v, %d bytes, want %d", i, err, len(got), len(c.want()))
			}
			moved[i] = reconnects
		})
	}
	time.Sleep(500 * time.Millisecond)
	stop()
	wg.Wait()
	for i, n := range moved {
		if n == 0 {
			t.Errorf("draft %d was not handed over", i)
		}
	}
}

// TestStartWithPlatformDown starts a node while the platform is down: it takes
// configuration and hosts from its peers, and serves chats; an order is refused
// as not run.
func TestStartWithPlatformDown(t *testing.T) {
	t.Parallel()
	s := newSite(t, siteOptions{})
	s.nodeProc[1].kill()
	s.storeFaults(t, memstore.Faults{Down: true})
	s.startNode(t, 1)
	eventually(t, "node 1", ready(s.nodes[1]))
	c := chat{prompt: "a line for Eleni", seed: 3, tokens: 8}
	if got, _, err := c.stream("/chat", s.nodes[1:2]); err != nil || got != c.want() {
		t.Errorf("chat = %q, error %v", got, err)
	}
	status, body, err := order(s.nodes[1], "order-1", `{"plaque":"oak"}`)
	if err != nil || status != http.StatusServiceUnavailable || !strings.Contains(body, `"verdict":"not-run"`) {
		t.Errorf("order: status %d, body %s, error %v", status, body, err)
	}
	if n := s.effects(t).ByKey["order-1"]; n != 0 {
		t.Errorf("an order refused as not run took effect %d times", n)
	}
}
