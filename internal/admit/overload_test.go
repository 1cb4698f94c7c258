package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

const (
	slots = 40 // one of 8 nodes before 20 engines of 16 slots
	// firstToken is the target for 95 of 100 quick requests; prefill is the part
	// of it that follows the queue.
	firstToken = 530 * time.Millisecond
	prefill    = 200 * time.Millisecond
)

func wide(names ...ident.Workspace) map[ident.Workspace]config.WorkspaceConfig {
	m := map[ident.Workspace]config.WorkspaceConfig{}
	for _, n := range names {
		m[n] = config.WorkspaceConfig{RatePerSecond: 1e6, Concurrency: 1e6}
	}
	return m
}

func controller(capacity int, ws map[ident.Workspace]config.WorkspaceConfig) *Controller {
	c := New(Options{})
	c.SetWorkspaces(epoch, ws)
	c.SetCapacity(epoch, "s", capacity)
	return c
}

func mixed(load float64) []stream {
	// Half of the work is quick, half long; orders and look-ups are small.
	return []stream{
		{"a", ident.ClassQuick, load * slots / 2 / 2, 2 * time.Second, 10 * time.Second},
		{"a", ident.ClassLong, load * slots / 2 / 10, 10 * time.Second, 10 * time.Minute},
		{"a", ident.ClassOrder, 0.5, 200 * time.Millisecond, 30 * time.Second},
		{"a", ident.ClassLookup, 2, 50 * time.Millisecond, 5 * time.Second},
	}
}

func TestOverload(t *testing.T) {
	invariant.SetFatal(true)
	const length = 10 * time.Minute
	for _, load := range []float64{0.5, 0.9, 2, 10} {
		w := newWorld(controller(slots, wide("a")), 1, mixed(load)...).run(length)
		goodput := w.busy.Seconds() / (slots * length.Seconds())
		t.Logf("load %v goodput %.3f", load, goodput)
		for i, o := range w.out {
			t.Logf("  %-6s offered %6d refused %6d done %6d late %d p95 wait %v longest refusal %v", w.streams[i].class, o.offered, o.refused, o.done, o.late, o.p95(), o.toAnswer)
		}
	}
	_ = fmt.Sprint
}

func TestLargeAndSmall(t *testing.T) {
	for _, large := range []float64{0.001, 40} {
		streams := []stream{{"large", ident.ClassQuick, large, 2 * time.Second, 10 * time.Second}}
		for _, n := range []ident.Workspace{"s1", "s2", "s3", "s4"} {
			streams = append(streams, stream{n, ident.ClassQuick, 1.5, 2 * time.Second, 10 * time.Second})
		}
		w := newWorld(controller(slots, wide("large", "s1", "s2", "s3", "s4")), 1, streams...).run(10 * time.Minute)
		for i, o := range w.out {
			t.Logf("  %-6s offered %6d refused %6d done %6d late %d p95 wait %v", w.streams[i].ws, o.offered, o.refused, o.done, o.late, o.p95())
		}
	}
}

func TestLongFinishes(t *testing.T) {
	w := newWorld(controller(slots, wide("a")), 1, stream{"a", ident.ClassQuick, slots, 2 * time.Second, 10 * time.Second},
		stream{"a", ident.ClassLong, 0.3, 10 * time.Second, 10 * time.Minute}).run(20 * time.Minute)
	for i, o := range w.out {
		t.Logf("  %-6s offered %6d refused %6d done %6d late %d p95 wait %v", w.streams[i].class, o.offered, o.refused, o.done, o.late, o.p95())
	}
}
