package admit

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

const (
	slots = 40 // one of 8 nodes before 20 engines of 16 slots
	// firstToken is the target for 95 of 100 quick requests; prefill is the part
	// of it that follows the queue in this model.
	firstToken = 530 * time.Millisecond
	prefill    = 200 * time.Millisecond
	// enough is the share of small workspaces' and of order requests to be served.
	enough = 0.95
)

func wide(names ...ident.Workspace) map[ident.Workspace]config.WorkspaceConfig {
	m := map[ident.Workspace]config.WorkspaceConfig{}
	for _, n := range names {
		m[n] = config.WorkspaceConfig{RatePerSecond: 1e6, Concurrency: 1e6}
	}
	return m
}

func controller(capacity int, ws map[ident.Workspace]config.WorkspaceConfig) *Controller {
	invariant.SetFatal(true)
	c := New(Options{})
	c.SetWorkspaces(epoch, ws)
	c.SetCapacity(epoch, "s", capacity)
	return c
}

// mixed offers load × capacity: half of the work quick, half long.
func mixed(load float64) []stream {
	return []stream{
		{"a", ident.ClassQuick, load * slots / 2 / 2, 2 * time.Second, 10 * time.Second},
		{"a", ident.ClassLong, load * slots / 2 / 10, 10 * time.Second, 10 * time.Minute},
		{"a", ident.ClassOrder, 0.5, 200 * time.Millisecond, 30 * time.Second},
		{"a", ident.ClassLookup, 2, 50 * time.Millisecond, 5 * time.Second},
	}
}

// TestOverload offers more than the capacity. Goodput stays within a tenth of it,
// quick requests keep their latency, orders are served, and a refusal never waits
// longer than the class's longest wait. A node that queues everything fails both.
func TestOverload(t *testing.T) {
	const length = 10 * time.Minute
	for _, load := range []float64{0.5, 0.9, 2, 10} {
		w := newWorld(controller(slots, wide("a")), 1, mixed(load)...).run(length)
		goodput := w.inTime.Seconds() / (slots * length.Seconds())
		naive := fifo(1, length, mixed(load))
		t.Logf("load %v: goodput %.3f, naive in time %.3f, naive quick p95 wait %v", load, goodput, naive.inTime, naive.quick.p95())
		for i, o := range w.out {
			t.Logf("  %-6s offered %6d refused %6d done %6d p95 wait %v", w.streams[i].class, o.offered, o.refused, o.done, o.p95())
			if maxWait := DefaultClasses()[w.streams[i].class].MaxWait; maxWait > 0 && o.toAnswer > maxWait {
				t.Errorf("load %v: class %s was refused after %v", load, w.streams[i].class, o.toAnswer)
			}
		}
		if p := w.out[0].p95() + prefill; p > firstToken {
			t.Errorf("load %v: quick first token %v", load, p)
		}
		if o := w.out[2]; float64(o.refused) > (1-enough)*float64(o.offered) {
			t.Errorf("load %v: %d of %d orders refused", load, o.refused, o.offered)
		}
		if load > 1 && (goodput < 0.9 || naive.quick.p95()+prefill <= firstToken) {
			t.Errorf("load %v: goodput %.3f, naive quick p95 wait %v", load, goodput, naive.quick.p95())
		}
	}
}

// TestLargeAndSmall runs four small workspaces with and without a large one that
// offers twice the capacity.
func TestLargeAndSmall(t *testing.T) {
	small := []ident.Workspace{"s1", "s2", "s3", "s4"}
	for _, large := range []float64{0, 40} {
		var streams []stream
		for _, n := range small {
			streams = append(streams, stream{n, ident.ClassQuick, 1.5, 2 * time.Second, 10 * time.Second})
		}
		if large > 0 {
			streams = append(streams, stream{"large", ident.ClassQuick, large, 2 * time.Second, 10 * time.Second})
		}
		w := newWorld(controller(slots, wide(append(small, "large")...)), 1, streams...).run(10 * time.Minute)
		for i, o := range w.out {
			t.Logf("large %v/s: %-6s offered %6d refused %6d p95 wait %v", large, streams[i].ws, o.offered, o.refused, o.p95())
			if i < len(small) && (o.p95()+prefill > firstToken || float64(o.refused) > (1-enough)*float64(o.offered)) {
				t.Errorf("workspace %s: %d of %d refused, p95 wait %v", streams[i].ws, o.refused, o.offered, o.p95())
			}
		}
	}
}

// TestLongFinishes runs long work under twice the capacity of quick work. Strict
// priority would never start it.
func TestLongFinishes(t *testing.T) {
	quick := stream{"a", ident.ClassQuick, slots, 2 * time.Second, 10 * time.Second}
	long := stream{"a", ident.ClassLong, 0.3, 10 * time.Second, 10 * time.Minute}
	w := newWorld(controller(slots, wide("a")), 1, quick, long).run(20 * time.Minute)
	q, l := w.out[0], w.out[1]
	inFlight := w.c.service("s").lanes[ident.ClassLong]
	t.Logf("quick refused %d of %d; long refused %d of %d, late %d, p95 wait %v", q.refused, q.offered, l.refused, l.offered, l.late, l.p95())
	if l.refused+l.late > 0 || l.done+inFlight.inflight+inFlight.queued != l.offered {
		t.Errorf("long: %+v, %d in flight, %d queued", l.done, inFlight.inflight, inFlight.queued)
	}
	if q.p95()+prefill > firstToken {
		t.Errorf("quick first token %v", q.p95()+prefill)
	}
}

// TestPartition cuts eight nodes off from each other. Together they admit at most
// MaxOvershoot times the limit, and what rounding up adds.
func TestPartition(t *testing.T) {
	const nodes, limit = 8, 64
	for alive := 1; alive <= nodes; alive++ {
		inflight, tokens := 0, 0.0
		for range nodes {
			c := controller(1000, nil)
			c.SetWorkspaces(epoch, map[ident.Workspace]config.WorkspaceConfig{"a": {Concurrency: limit, RatePerSecond: limit}})
			c.SetLiveNodes(epoch, nodes)
			c.SetLiveNodes(epoch.Add(time.Second), alive)
			for range 2 * limit {
				c.Offer(epoch.Add(time.Minute), Request{Workspace: "a", Class: ident.ClassQuick, Service: "s"})
			}
			w := c.workspaces["a"]
			inflight += w.inflight
			tokens += float64(w.bucket.Limit())
		}
		if inflight > MaxOvershoot*limit+nodes || tokens > MaxOvershoot*limit {
			t.Errorf("%d of %d nodes visible: %d in flight, %.0f a second of %d", alive, nodes, inflight, tokens, limit)
		}
	}
}
