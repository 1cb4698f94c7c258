package mover

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// fleet is a set of nodes with one store and a simulated clock.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	store    *memstore.Store
	cfg      *config.Config
	rng      *rand.Rand
	nodes    []*Mover
	failRate float64 // fraction of the requests of version v2 that fail

	mu  sync.Mutex
	now time.Time
}

var members = []ident.NodeID{"n0", "n1", "n2"}

func newFleet(t *testing.T, failRate float64) *fleet {
	start := time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)
	files := fmt.Sprintf(`
services: {model: {kind: engine, version: v1}}
routes: {chat: {prefix: /chat, service: model, class: quick}}
moves: {up: {service: model, from: v1, to: v2, bake: 5m, finish_by: "%s"}}
`, start.Add(20*time.Minute).Format(time.RFC3339))
	cfg, diags := config.Merge([]config.File{{Name: "10-a.yaml", Data: []byte(files)}})
	if len(diags) > 0 {
		t.Fatal(diags)
	}
	cfg.Revision = 1
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{t: t, ctx: ctx, store: memstore.New(memstore.Options{Seed: 4}), cfg: cfg, rng: rand.New(rand.NewPCG(3, 3)), failRate: failRate, now: start}
	for _, id := range members {
		f.nodes = append(f.nodes, f.node(id))
	}
	t.Cleanup(func() {
		cancel()
		for _, m := range f.nodes {
			m.leases.stop()
			m.calls.Wait()
		}
	})
	return f
}

func (f *fleet) node(id ident.NodeID) *Mover {
	return New(Options{
		Store: f.store, Self: lease.Owner{Node: id, Incarnation: 1},
		Config:   func() *config.Config { return f.cfg },
		Members:  func() []ident.NodeID { return members },
		Capacity: func(ident.Service, ident.Version) move.Share { return move.FullShare },
		Lease:    lease.Options{Term: 2 * time.Second},
		Clock: func() time.Time {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.now
		},
	})
}

// second advances the clock by one second, sends requests through all nodes and ticks
// them, and delivers their messages to the others.
func (f *fleet) second() {
	f.mu.Lock()
	f.now = f.now.Add(time.Second)
	f.mu.Unlock()
	for i, m := range f.nodes {
		for range 4 {
			f.request(m)
		}
		m.Tick(f.ctx)
		m.calls.Wait()
		b, err := m.Delta()
		if err != nil {
			f.t.Fatal(err)
		}
		if b == nil {
			continue
		}
		for j, other := range f.nodes {
			if err := other.Receive(b); i != j && err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

func (f *fleet) request(m *Mover) {
	split, _ := m.Split("model")
	o := move.Outcome{Service: "model", Version: split.From, Route: "chat", Workspace: "a", Latency: time.Second, Size: 50}
	if move.Share(f.rng.IntN(int(move.FullShare))) < split.Share {
		o.Version = split.To
		if f.rng.Float64() < f.failRate {
			o.Result = move.Failed
		}
	}
	m.Record(o)
}

// until advances the clock until every node meets the condition, for at most an hour.
func (f *fleet) until(condition string, met func(move.Status) bool) {
	f.t.Helper()
	for range 3600 {
		all := true
		for _, m := range f.nodes {
			s := m.Statuses()
			all = all && len(s) == 1 && met(s[0])
		}
		if all {
			return
		}
		f.second()
		if split, _ := f.nodes[0].Split("model"); split.To == "" {
			time.Sleep(time.Millisecond) // leases use the real clock
		}
	}
	f.t.Fatalf("condition %q not met within an hour: %+v", condition, f.nodes[0].Statuses())
}

// TestBad checks that all nodes stop sending requests to a bad version while the
// store is down, and that the move is recorded as rolled back afterwards.
func TestBad(t *testing.T) {
	f := newFleet(t, 0.8)
	f.store.SetFaults(memstore.Faults{LoseAnswer: 0.2, LoseRequest: 0.1, Conflict: 0.1})
	f.until("advancing", func(s move.Status) bool { return s.State == move.StateAdvancing })
	f.store.SetFaults(memstore.Faults{Down: true})
	f.until("undone but not recorded", func(s move.Status) bool { return s.State == move.StateRolledBack && s.Share == 0 && !s.Recorded })
	for _, m := range f.nodes {
		if split, ok := m.Split("model"); !ok || split.From != "v1" || split.Share != 0 {
			t.Errorf("split is %+v, want all requests on v1", split)
		}
	}
	f.store.SetFaults(memstore.Faults{LoseAnswer: 0.5})
	f.until("recorded", func(s move.Status) bool { return s.State == move.StateRolledBack && s.Recorded })
	f.nodes = append(f.nodes, f.node("n3"))
	f.until("known to a new node", func(s move.Status) bool { return s.State == move.StateRolledBack && s.Recorded })
}

// TestGood checks that the move to a good version is done, and that a new node sends
// requests to that version though the store is down.
func TestGood(t *testing.T) {
	f := newFleet(t, 0)
	f.until("baking", func(s move.Status) bool { return s.State == move.StateBaking && s.Share == move.FullShare })
	if f.now.After(f.cfg.Moves["up"].FinishBy) {
		t.Errorf("all requests go to the new version at %v, after the finish time", f.now)
	}
	f.until("done", func(s move.Status) bool { return s.State == move.StateDone })
	f.store.SetFaults(memstore.Faults{Down: true})
	newNode := f.node("n3")
	full, err := f.nodes[0].Full()
	if err == nil {
		err = newNode.Receive(full)
	}
	if split, _ := newNode.Split("model"); err != nil || split.From != "v2" {
		t.Errorf("a new node has split %+v, error %v", split, err)
	}
}

// BenchmarkDelta reports the size of the message that one node sends after requests on
// both versions on each of four routes of a service.
func BenchmarkDelta(b *testing.B) {
	m := New(Options{Self: lease.Owner{Node: "n0"}})
	m.splits.Store(&map[ident.Service]move.Split{"model": {From: "v1", To: "v2"}})
	rng := rand.New(rand.NewPCG(1, 1))
	size := 0
	for b.Loop() {
		for i := range 400 {
			m.Record(move.Outcome{
				Service: "model", Version: ident.Version(fmt.Sprint("v", 1+i%2)), Route: ident.RouteName(fmt.Sprint("route-", i%4)),
				Workspace: ident.Workspace(fmt.Sprint(rng.IntN(5))), Latency: time.Duration(rng.ExpFloat64() * float64(time.Second)), Size: rng.IntN(1000),
			})
		}
		d, err := m.Delta()
		if err != nil {
			b.Fatal(err)
		}
		size = len(d)
	}
	b.ReportMetric(float64(size), "B")
}
