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

// TestOneReaderPerEndpoint checks that the nodes of a data centre divide its endpoints
// among them, also after a node has gone: each endpoint is read by one node, and none
// of another data centre is read.
func TestOneReaderPerEndpoint(t *testing.T) {
	list := append(hosts(40, "here", "a"), hosts(10, "there", "b")...)
	for _, nodes := range [][]ident.NodeID{{"a", "b", "c"}, {"a", "c"}} {
		readers := make(map[ident.EndpointID]int)
		for _, n := range nodes {
			o := New(Options{Node: n, DataCentre: "here"}, slog.New(slog.DiscardHandler), nil)
			o.SetHosts(list)
			o.SetNodes(nodes)
			for _, target := range o.targets() {
				readers[target.id]++
			}
		}
		if len(readers) != 40 {
			t.Errorf("%d nodes read %d endpoints, want 40", len(nodes), len(readers))
		}
		for id, n := range readers {
			if n != 1 {
				t.Errorf("endpoint %s is read by %d nodes, want 1", id, n)
			}
		}
	}
}

// TestInterval checks that the interval is extended to stay within BytesPerSecond.
func TestInterval(t *testing.T) {
	o := New(Options{BytesPerSecond: 2 * bytesPerRead}, slog.New(slog.DiscardHandler), nil)
	for targets, want := range map[int]time.Duration{0: time.Second, 2: time.Second, 20: 10 * time.Second} {
		if got := o.interval(targets); got != want {
			t.Errorf("interval of %d targets = %s, want %s", targets, got, want)
		}
	}
}

// recorder is a consumer that counts what it receives.
type recorder struct {
	mu      sync.Mutex
	reports map[ident.EndpointID]int
	leaving map[ident.EndpointID]bool
	events  int
}

func (s *recorder) Report(r endpoint.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[r.Endpoint]++
}

func (s *recorder) CacheEvents(_ ident.EndpointID, evs endpoint.CacheEvents) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events += len(evs.Events)
}

func (s *recorder) MarkEndpoint(id ident.EndpointID, st endpoint.LeavingState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[id] = st.Leaving
}

// TestReads checks that load and drain state of a draining engine are read, and that
// nothing is reported of an unreachable endpoint.
func TestReads(t *testing.T) {
	e := engine.New(engine.Options{ID: "here-0", Version: "v1"})
	e.SetLeaving(endpoint.LeavingState{Leaving: true, Incarnation: 1, Deadline: time.Now().Add(time.Minute)})
	srv := httptest.NewServer(e.Handler())
	client := endpoint.NewClient()
	s := &recorder{reports: make(map[ident.EndpointID]int), leaving: make(map[ident.EndpointID]bool)}
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
		t.Errorf("an unreachable endpoint was reported: %v", s.reports)
	}
	client.Close()
	srv.Close()
	goleak.VerifyNone(t)
}
