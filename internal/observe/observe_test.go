package observe

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

func hosts(n int, dc ident.DataCentre, addr string) []platformapi.HostInfo {
	var out []platformapi.HostInfo
	for i := range n {
		e := platformapi.EndpointInfo{ID: ident.EndpointID(fmt.Sprintf("%s-%d", dc, i)), Address: addr, Kind: platformapi.KindEngine}
		out = append(out, platformapi.HostInfo{Host: ident.Host(e.ID), DataCentre: dc, Endpoints: []platformapi.EndpointInfo{e}})
	}
	return out
}

// TestShares lets three nodes share the endpoints of their data centre: each is read
// by one, also after a node has gone, and none of another data centre.
func TestShares(t *testing.T) {
	list := append(hosts(40, "here", "a"), hosts(10, "there", "b")...)
	for _, nodes := range [][]ident.NodeID{{"a", "b", "c"}, {"a", "c"}} {
		seen := make(map[ident.EndpointID]int)
		for _, n := range nodes {
			o := New(Options{Node: n, DataCentre: "here"}, slog.New(slog.DiscardHandler), nil)
			o.SetHosts(list)
			o.SetNodes(nodes)
			for _, target := range o.targets() {
				seen[target.id]++
			}
		}
		if len(seen) != 40 {
			t.Errorf("%d nodes read %d endpoints, want 40", len(nodes), len(seen))
		}
		for id, n := range seen {
			if n != 1 {
				t.Errorf("endpoint %s is read by %d nodes", id, n)
			}
		}
	}
}

// TestInterval stretches the interval so that the traffic keeps its bound.
func TestInterval(t *testing.T) {
	o := New(Options{BytesPerSecond: 2 * bytesPerRead}, slog.New(slog.DiscardHandler), nil)
	for targets, want := range map[int]time.Duration{0: time.Second, 2: time.Second, 20: 10 * time.Second} {
		if got := o.interval(targets); got != want {
			t.Errorf("interval of %d targets = %s, want %s", targets, got, want)
		}
	}
}

type sink struct {
	mu      sync.Mutex
	reports map[ident.EndpointID]int
	leaving map[ident.EndpointID]bool
	events  int
}

func (s *sink) Report(r endpoint.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[r.Endpoint]++
}

func (s *sink) CacheEvents(_ ident.EndpointID, evs endpoint.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events += len(evs.Events)
}

func (s *sink) MarkEndpoint(id ident.EndpointID, st endpoint.LeavingState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[id] = st.Leaving
}

// TestReads reads an engine that leaves, beside an endpoint that is not there.
func TestReads(t *testing.T) {
	e := engine.New(engine.Options{ID: "here-0", Version: "v1"})
	e.SetLeaving(endpoint.LeavingState{Leaving: true, Incarnation: 1, Deadline: time.Now().Add(time.Minute)})
	srv := httptest.NewServer(e.Handler())
	client := endpoint.NewClient()
	s := &sink{reports: make(map[ident.EndpointID]int), leaving: make(map[ident.EndpointID]bool)}
	o := New(Options{Node: "n", DataCentre: "here", Interval: 10 * time.Millisecond, BytesPerSecond: 1 << 30}, slog.New(slog.DiscardHandler), client, s)
	list := hosts(2, "here", strings.TrimPrefix(srv.URL, "http://"))
	list[1].Endpoints[0].Address = "127.0.0.1:1"
	o.SetHosts(list)
	if err := o.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	for done := false; !done; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		done = s.reports["here-0"] >= 2 && s.leaving["here-0"]
		s.mu.Unlock()
	}
	if err := o.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if s.reports["here-1"] != 0 || s.leaving["here-1"] {
		t.Errorf("an endpoint that is not there was reported: %v", s.reports)
	}
	client.Close()
	srv.Close()
	goleak.VerifyNone(t)
}
