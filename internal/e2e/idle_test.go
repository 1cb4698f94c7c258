package e2e

import (
	"testing"
	"time"

	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

const (
	// settleFor passes before idleFor: nodes that have just started all read the platform.
	settleFor = 20 * time.Second
	idleFor   = 20 * time.Second
)

// BenchmarkIdle reports what three nodes without callers cost: processor time and
// memory of the first, and the platform calls of all.
//
//	go test ./internal/e2e -run '^$' -bench Idle -benchtime 1x
func BenchmarkIdle(b *testing.B) {
	s := newSite(b, siteOptions{})
	time.Sleep(settleFor)
	var before, after standinplatform.Status
	get(b, s.platform, &before)
	cost := s.scrape(b)
	for b.Loop() {
		time.Sleep(idleFor)
	}
	now := s.scrape(b)
	get(b, s.platform, &after)
	seconds := idleFor.Seconds() * float64(b.N)
	b.ReportMetric(100*(now.cpu-cost.cpu)/seconds, "%core/node")
	rss, err := metric(s.ops[0], "process_resident_memory_bytes")
	if err != nil {
		b.Fatal(err)
	}
	heap, err := metric(s.ops[0], "go_memstats_heap_inuse_bytes")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(rss/(1<<20), "MB-resident/node")
	b.ReportMetric(heap/(1<<20), "MB-heap/node")
	b.ReportMetric(float64(after.HostCalls-before.HostCalls)/seconds, "host-calls/s")
	b.ReportMetric(float64(after.Store.Writes-before.Store.Writes)/seconds, "store-writes/s")
	b.ReportMetric(float64(after.Store.Reads-before.Store.Reads)/seconds, "store-reads/s")
}
