package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/standin/control"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
)

// site is a small deployment of separate processes.
type site struct {
	platform string
	desk     string
	nodes    []string // callers' addresses
	peers    []string
	ops      []string
	nodeProc []*process
	engines  []*process
	desks    []*process
}

var dataCentres = []string{"kalamaria", "pylaia", "evosmos"}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{platform: freeAddress(t)}
	start(t, "platform", "standin", "platform", "--listen", s.platform)
	eventually(t, "platform", func() error {
		resp, err := http.Get("http://" + s.platform + "/control")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
	for i, dc := range dataCentres {
		s.engines = append(s.engines, start(t, "engine-"+dc, "standin", "engine", "--listen", freeAddress(t),
			"--platform", s.platform, "--data-centre", dc, "--host", fmt.Sprintf("gpu-%d", i), "--service", "inscription", "--version", "v1"))
	}
	s.desk = freeAddress(t)
	s.desks = append(s.desks, start(t, "desk", "standin", "service", "--listen", s.desk,
		"--platform", s.platform, "--data-centre", dataCentres[0], "--host", "desk-0", "--service", "order-desk", "--version", "v1"))
	for range dataCentres {
		s.nodes = append(s.nodes, freeAddress(t))
		s.peers = append(s.peers, freeAddress(t))
		s.ops = append(s.ops, freeAddress(t))
	}
	for i := range dataCentres {
		s.startNode(t, i)
	}
	runCommand(t, 0, "apply", "--platform", s.platform, "../../examples/kallergis")
	for _, n := range s.nodes {
		eventually(t, "node "+n, ready(n))
	}
	eventually(t, "first chat", func() error {
		c := chat{prompt: "warm up", seed: 1, tokens: 2}
		_, _, err := c.stream("/chat", s.nodes)
		return err
	})
	return s
}

func (s *site) startNode(t testing.TB, i int) {
	t.Helper()
	args := []string{"node", "--node-id", fmt.Sprintf("entry-%d", i), "--data-centre", dataCentres[i],
		"--callers", s.nodes[i], "--peers", s.peers[i], "--operators", s.ops[i],
		"--platform", s.platform, "--key", sharedKey, "--drain-delay", "200ms", "--drain-timeout", "500ms"}
	for j, p := range s.peers {
		if j != i {
			args = append(args, "--join", p)
		}
	}
	s.nodeProc = append(s.nodeProc, start(t, fmt.Sprintf("node-%d", i), args...))
}

// from returns the callers' addresses, beginning with node i.
func (s *site) from(i int) []string {
	i %= len(s.nodes)
	return append(append([]string(nil), s.nodes[i:]...), s.nodes[:i]...)
}

func (s *site) effects(t *testing.T) service.Effects {
	t.Helper()
	resp, err := http.Get("http://" + s.desk + service.PathEffects)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var e service.Effects
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		t.Fatal(err)
	}
	return e
}

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
	s := newSite(t)
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
		if status == http.StatusOK && n != 1 {
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
				if placed[key] != http.StatusOK {
					placed[key] = status
				}
			}()
		}
	}
	return placed
}

// TestPlannedStopCutsNothing stops a node while it serves long streams.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := newSite(t)
	var wg sync.WaitGroup
	moved := make([]int, 9)
	for i := range moved {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := chat{prompt: fmt.Sprintf("a long letter, %d", i), seed: 7, tokens: 150}
			got, reconnects, err := c.stream("/drafts", s.from(0))
			if err != nil || got != c.want() {
				t.Errorf("draft %d: error %v, %d bytes, want %d", i, err, len(got), len(c.want()))
			}
			moved[i] = reconnects
		}()
	}
	time.Sleep(500 * time.Millisecond)
	s.nodeProc[0].terminate()
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
	s := newSite(t)
	s.nodeProc[1].kill()
	if err := control.Post(context.Background(), s.platform, control.Path, standinplatform.Faults{Store: memstore.Faults{Down: true}}); err != nil {
		t.Fatal(err)
	}
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
