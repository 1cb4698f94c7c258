package e2e

import (
	"testing"
	"time"

	standinplatform "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

const (
	// settleTime passes before the measurement: nodes that have just started all read from
	// the platform.
	settleTime = 20 * time.Second
	idleTime   = 20 * time.Second
)

// BenchmarkIdle reports the cost of three idle nodes: processor time and memory of the
// first node, and the platform calls of all nodes.
//
//	go test ./internal/e2e -run '^$' -bench Idle -benchtime 1x
func BenchmarkIdle(b *testing.B) {
	d := newDeployment(b, deploymentOptions{})
	time.Sleep(settleTime)
	var before, after standinplatform.Status
	getStatus(b, d.platform, &before)
	cost := d.scrape(b)
	for b.Loop() {
		time.Sleep(idleTime)
	}
	now := d.scrape(b)
	getStatus(b, d.platform, &after)
	seconds := idleTime.Seconds() * float64(b.N)
	b.ReportMetric(100*(now.cpu-cost.cpu)/seconds, "%core/node")
	rss, err := metric(d.ops[0], "process_resident_memory_bytes")
	if err != nil {
		b.Fatal(err)
	}
	heap, err := metric(d.ops[0], "go_memstats_heap_inuse_bytes")
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(rss/(1<<20), "MB-resident/node")
	b.ReportMetric(heap/(1<<20), "MB-heap/node")
	b.ReportMetric(float64(after.HostCalls-before.HostCalls)/seconds, "host-calls/s")
	b.ReportMetric(float64(after.Store.Writes-before.Store.Writes)/seconds, "store-writes/s")
	b.ReportMetric(float64(after.Store.Reads-before.Store.Reads)/seconds, "store-reads/s")
}
