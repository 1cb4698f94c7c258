package sharing_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
)

func life(node string, n uint64) quota.NodeIncarnation {
	return quota.NodeIncarnation{Node: ident.NodeID(node), Incarnation: ident.Incarnation(n)}
}

// TestRowsNeverGoBack: an older row that comes late changes nothing.
func TestRowsNeverGoBack(t *testing.T) {
	now := time.Unix(1000, 0)
	rows := sharing.NewStateTable(life("self", 5))
	take := func(want int, list ...sharing.NodeState) {
		t.Helper()
		if fresh := rows.Merge(now, list); len(fresh) != want {
			t.Errorf("%d rows were new, want %d", len(fresh), want)
		}
	}
	take(1, sharing.NodeState{Incarnation: life("a", 2), Heartbeat: 7})
	take(0, sharing.NodeState{Incarnation: life("a", 2), Heartbeat: 7}, sharing.NodeState{Incarnation: life("a", 1), Heartbeat: 99})
	take(1, sharing.NodeState{Incarnation: life("a", 3), Heartbeat: 1})
	take(0, sharing.NodeState{Incarnation: life("self", 4), Heartbeat: 1000}) // a former life of this node
	take(0, sharing.NodeState{Incarnation: life("self", 5), Heartbeat: 1})
	if got := rows.Peers(now, time.Second); len(got) != 1 || got[0].Incarnation != life("a", 3) {
		t.Errorf("others are %+v", got)
	}
	rows.Expire(now.Add(sharing.StateRetention + time.Second))
	if got := rows.All(); len(got) != 0 {
		t.Errorf("after a long silence: %+v", got)
	}
}

// TestDigestAsksForWhatIsNewer: a row that the caller has is not sent again.
func TestDigestAsksForWhatIsNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := sharing.NewStateTable(life("1", 1)), sharing.NewStateTable(life("2", 1))
	one.Merge(now, []sharing.NodeState{{Incarnation: life("a", 1), Heartbeat: 3}, {Incarnation: life("b", 1), Heartbeat: 3}})
	two.Merge(now, []sharing.NodeState{{Incarnation: life("a", 1), Heartbeat: 3}, {Incarnation: life("b", 2), Heartbeat: 1}})
	if got := two.MissingFrom(one.Digest()); len(got) != 1 || got[0].Incarnation != life("b", 2) {
		t.Errorf("lacking are %+v", got)
	}
}

// nodes are some services on loopback.
type nodes struct {
	services []*sharing.Service
	heard    []atomic.Int64 // rows of others
	joined   []atomic.Int64
	times    []atomic.Int64 // that others told as of now
}

// ahead is what the nodes' time is off by.
const ahead = time.Hour

// newNodes starts services of which only the first knows an address: that of the last.
func newNodes(t *testing.T, n int) *nodes {
	t.Helper()
	f := &nodes{heard: make([]atomic.Int64, n), joined: make([]atomic.Int64, n), times: make([]atomic.Int64, n)}
	var first string
	for i := range n {
		srv := httptest.NewUnstartedServer(nil)
		address := srv.Listener.Addr().String()
		opts := sharing.Options{
			Self: life(fmt.Sprint("n", i), 1), Address: address, Seeds: []string{first}, Interval: 10 * time.Millisecond,
			Log: slog.New(slog.DiscardHandler), Metrics: prometheus.NewRegistry(),
			LocalState: func() sharing.NodeState {
				return sharing.NodeState{Spent: quota.Spending{"w": float64(i)}, Windows: map[int64]map[ident.Workspace]uint64{7: {"w": uint64(i)}}}
			},
			Now: func() time.Time { return time.Now().Add(ahead) },
			OnTime: func(node ident.NodeID, told time.Time) {
				if d := time.Until(told); node != "" && d > ahead-10*time.Second && d <= ahead {
					f.times[i].Add(1)
				}
			},
			OnStates: func(_ time.Time, fresh []sharing.NodeState) { f.heard[i].Add(int64(len(fresh))) },
			Config:   func() []byte { return []byte("config") },
			OnConfig: func(raw []byte, _ string) {
				if string(raw) != "config" {
					t.Errorf("configuration is %q", raw)
				}
			},
			Levels:     func() map[ident.Workspace]float64 { return map[ident.Workspace]float64{"w": 5} },
			InitLevels: func(levels map[ident.Workspace]float64) { f.joined[i].Add(int64(levels["w"])) },
			Changes: func(_ context.Context, kind platformapi.Key, after uint64, _ time.Duration) (platformapi.WatchResult, error) {
				if kind != "servers" {
					return platformapi.WatchResult{}, errors.New("not followed here")
				}
				o := platformapi.Object{Key: "servers/a", Version: 3, Value: []byte("{}")}
				return platformapi.WatchResult{Position: after + 1, Changed: []platformapi.Object{o}}, nil
			},
		}
		if i == 0 {
			first = address
		}
		s := sharing.New(opts)
		mux := http.NewServeMux()
		mux.Handle(s.Handler())
		srv.Config.Handler = mux
		srv.Start()
		t.Cleanup(srv.Close)
		f.services = append(f.services, s)
	}
	for _, s := range f.services {
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Stop(context.Background()) })
	}
	return f
}

// TestRowsReachAll: every node comes to know every other one from a single address.
func TestRowsReachAll(t *testing.T) {
	const n = 12
	f := newNodes(t, n)
	end := time.Now().Add(20 * time.Second)
	for i := 0; i < n; {
		if rows := f.services[i].Peers(time.Minute); len(rows) == n-1 {
			for _, r := range rows {
				if want := r.Spent["w"]; r.Windows[7]["w"] != uint64(want) {
					t.Errorf("row of %s has %v and %v", r.Incarnation.Node, r.Spent, r.Windows)
				}
			}
			i++
		} else if time.Now().After(end) {
			t.Fatalf("node %d knows %d others", i, len(rows))
		} else {
			time.Sleep(5 * time.Millisecond)
		}
	}
	for i := range n {
		if got := f.joined[i].Load(); got != 5 {
			t.Errorf("node %d joined with levels %d, want those of one node", i, got)
		}
	}
}

// TestNodesTellEachOtherTheTime: each node hears from others what they take for the
// time.
func TestNodesTellEachOtherTheTime(t *testing.T) {
	f := newNodes(t, 3)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		heard := 0
		for i := range f.times {
			if f.times[i].Load() > 0 {
				heard++
			}
		}
		if heard == len(f.times) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d nodes have heard of the time", heard, len(f.times))
		}
	}
}

// TestChangesOfTheStore: a node that does not follow it says so.
func TestChangesOfTheStore(t *testing.T) {
	f := newNodes(t, 2)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
	ctx := context.Background()
	for f.services[1].Peers(time.Minute) == nil {
		time.Sleep(time.Millisecond)
	}
	address := f.services[1].Peers(time.Minute)[0].Address
	r, err := f.services[1].ChangesFrom(ctx, address, "servers", 8, time.Second)
	if err != nil || r.Position != 9 || len(r.Changed) != 1 || r.Changed[0].Version != 3 {
		t.Errorf("changes are %+v, error %v", r, err)
	}
	if _, err := f.services[1].ChangesFrom(ctx, address, "config", 8, time.Second); err == nil {
		t.Error("a node that follows nothing gave changes")
	}
	if _, err := f.services[1].ChangesFrom(ctx, ln.Addr().String(), "servers", 8, time.Second); err == nil {
		t.Error("nobody gave changes")
	}
}
