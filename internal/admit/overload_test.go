package admit

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

const (
	slots = 40 // share of one of 8 nodes in 20 engines with 16 slots each
	// firstTokenTarget is the target for the 95th percentile of quick requests; prefillTime is the
	// time after the queue in this model, which counts towards the target.
	firstTokenTarget = 530 * time.Millisecond
	prefillTime      = 200 * time.Millisecond
	// minServedShare is the minimum fraction of order requests, and of the requests of
	// small workspaces, that must be served.
	minServedShare = 0.95
)

func unlimited(names ...ident.Workspace) map[ident.Workspace]config.WorkspaceConfig {
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

// mixedStreams returns streams that offer load × capacity, one half of it quick and one
// half long requests, and a few orders and lookups.
func mixedStreams(load float64) []stream {
	return []stream{
		{"a", ident.ClassQuick, load * slots / 2 / 2, 2 * time.Second, 10 * time.Second},
		{"a", ident.ClassLong, load * slots / 2 / 10, 10 * time.Second, 10 * time.Minute},
		{"a", ident.ClassOrder, 0.5, 200 * time.Millisecond, 30 * time.Second},
		{"a", ident.ClassLookup, 2, 50 * time.Millisecond, 5 * time.Second},
	}
}

// TestOverload offers up to ten times the capacity. Goodput stays above nine tenths of
// the capacity, quick requests keep their latency target, orders are served, and no
// refusal comes later than the class's maximum wait. A node with one FIFO queue misses
// the latency target under overload.
func TestOverload(t *testing.T) {
	const length = 10 * time.Minute
	for _, load := range []float64{0.5, 0.9, 2, 10} {
		w := newSimulation(controller(slots, unlimited("a")), 1, mixedStreams(load)...).run(length)
		goodput := w.inTime.Seconds() / (slots * length.Seconds())
		baseline := fifo(1, length, mixedStreams(load))
		t.Logf("load %v: goodput %.3f, FIFO in time %.3f, FIFO quick p95 wait %v", load, goodput, baseline.inTime, baseline.quick.p95())
		for i, o := range w.outcomes {
			t.Logf("  %-6s offered %6d refused %6d done %6d p95 wait %v", w.streams[i].class, o.offered, o.refused, o.done, o.p95())
			if maxWait := DefaultClasses()[w.streams[i].class].MaxWait; maxWait > 0 && o.maxRefusalDelay > maxWait {
				t.Errorf("load %v: class %s was refused after %v", load, w.streams[i].class, o.maxRefusalDelay)
			}
		}
		if p := w.outcomes[0].p95() + prefillTime; p > firstTokenTarget {
			t.Errorf("load %v: quick first token %v", load, p)
		}
		if o := w.outcomes[2]; float64(o.refused) > (1-minServedShare)*float64(o.offered) {
			t.Errorf("load %v: %d of %d orders refused", load, o.refused, o.offered)
		}
		if load > 1 && (goodput < 0.9 || baseline.quick.p95()+prefillTime <= firstTokenTarget) {
			t.Errorf("load %v: goodput %.3f, FIFO quick p95 wait %v", load, goodput, baseline.quick.p95())
		}
	}
}

// TestLargeAndSmall checks that four small workspaces are served within the latency
// target, with and without a large workspace that offers twice the capacity.
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
		w := newSimulation(controller(slots, unlimited(append(small, "large")...)), 1, streams...).run(10 * time.Minute)
		for i, o := range w.outcomes {
			t.Logf("large %v/s: %-6s offered %6d refused %6d p95 wait %v", large, streams[i].ws, o.offered, o.refused, o.p95())
			if i < len(small) && (o.p95()+prefillTime > firstTokenTarget || float64(o.refused) > (1-minServedShare)*float64(o.offered)) {
				t.Errorf("workspace %s: %d of %d refused, p95 wait %v", streams[i].ws, o.refused, o.offered, o.p95())
			}
		}
	}
}

// TestLongFinishes checks that long requests are served while quick requests offer twice
// the capacity. Without ageing, strict priority would never start them.
func TestLongFinishes(t *testing.T) {
	quick := stream{"a", ident.ClassQuick, slots, 2 * time.Second, 10 * time.Second}
	long := stream{"a", ident.ClassLong, 0.3, 10 * time.Second, 10 * time.Minute}
	w := newSimulation(controller(slots, unlimited("a")), 1, quick, long).run(20 * time.Minute)
	q, l := w.outcomes[0], w.outcomes[1]
	inFlight := w.c.service("s").lanes[ident.ClassLong]
	t.Logf("quick refused %d of %d; long refused %d of %d, late %d, p95 wait %v", q.refused, q.offered, l.refused, l.offered, l.late, l.p95())
	if l.refused+l.late > 0 || l.done+inFlight.inflight+inFlight.queued != l.offered {
		t.Errorf("long: %+v, %d in flight, %d queued", l.done, inFlight.inflight, inFlight.queued)
	}
	if q.p95()+prefillTime > firstTokenTarget {
		t.Errorf("quick first token %v", q.p95()+prefillTime)
	}
}

// TestPartition partitions eight nodes. Together they admit at most MaxOvershoot times
// the limit, plus one request per node, as shares are rounded up.
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
