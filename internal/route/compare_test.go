package route

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ttftTarget is the target of the 95th percentile of the time to first token of quick
// requests.
const ttftTarget = 530 * time.Millisecond

// result sums the model runs of one balancing strategy over all seeds.
type result struct {
	p95, quickP95                    time.Duration // mean over the seeds
	worstQuickP95                    time.Duration // of the seed with the highest
	computedTokens, recomputedTokens int           // prompt tokens
	requests                         int
}

// seedCount returns the number of seeds set in JUJUBESHED_SEEDS; default: one.
func seedCount() uint64 {
	n, _ := strconv.Atoi(os.Getenv("JUJUBESHED_SEEDS"))
	return uint64(max(n, 1))
}

func runModels(t *testing.T, name string, o modelOptions, choosers func(*model, int) chooser) result {
	var r result
	o.newChooser = choosers
	for seed := range seedCount() {
		o.seed = seed + 1
		m := newModel(o).run()
		r.p95 += time.Duration(m.ttft.ValueAtQuantile(95)) * time.Microsecond / time.Duration(seedCount())
		r.quickP95 += time.Duration(m.quickTTFT.ValueAtQuantile(95)) * time.Microsecond / time.Duration(seedCount())
		r.worstQuickP95 = max(r.worstQuickP95, time.Duration(m.quickTTFT.ValueAtQuantile(95))*time.Microsecond)
		r.computedTokens += m.computedTokens
		r.recomputedTokens += m.recomputedTokens
		r.requests += m.requests
	}
	n := r.requests
	t.Logf("%-14s p95 %8v quick p95 %8v; tokens a request: computed %5d, recomputed %5d", name,
		r.p95.Round(time.Millisecond), r.quickP95.Round(time.Millisecond), r.computedTokens/n, r.recomputedTokens/n)
	return r
}

// TestAgainstBaselines compares the table with round robin and least reported load, on
// the workloads of two deployments and on one with many workspaces.
func TestAgainstBaselines(t *testing.T) {
	for _, shape := range []struct {
		name     string
		workload func(*rand.Rand) func() prompt
		rate     float64
	}{{"letters", letters, 30}, {"designs", designs, 30}, {"many", manyWorkspaces, 30}} {
		t.Run(shape.name, func(t *testing.T) {
			o := defaults()
			o.workload, o.rate, o.duration = shape.workload, shape.rate, 80*time.Second
			o.warmup = 30 * time.Second
			rr := runModels(t, "round robin", o, newRoundRobin)
			least := runModels(t, "least reported", o, newLeastReported)
			own := runModels(t, "estimate", o, newTableChooser(Options{}))
			if own.worstQuickP95 > ttftTarget {
				t.Errorf("quick p95 %v", own.worstQuickP95)
			}
			if own.recomputedTokens > min(rr.recomputedTokens, least.recomputedTokens) || own.quickP95 > min(rr.quickP95, least.quickP95) {
				t.Error("a baseline strategy did better")
			}
		})
	}
}

// TestHerding uses load reports up to four seconds old and prompts without a common
// prefix. Least reported load then sends all requests to one endpoint. So does an
// estimate that ignores the other nodes' dispatches.
func TestHerding(t *testing.T) {
	o := defaults()
	o.warmup, o.duration, o.reportInterval, o.reportLag, o.rate = 10*time.Second, 40*time.Second, 2*time.Second, 2*time.Second, 40
	o.workload = func(rng *rand.Rand) func() prompt {
		return func() prompt { return prompt{ident.ClassQuick, appendBlocks(rng, nil, 1600), 40} }
	}
	least := runModels(t, "least reported", o, newLeastReported)
	runModels(t, "round robin", o, newRoundRobin)
	own := runModels(t, "estimate", o, newTableChooser(Options{}))
	uncorrected := runModels(t, "no correction", o, func(m *model, node int) chooser {
		c := newTableChooser(Options{})(m, node).(*tableChooser)
		c.t.SetNodes(Nodes{Live: 1})
		return c
	})
	if least.quickP95 < ttftTarget {
		t.Errorf("least reported load did not herd: quick p95 %v", least.quickP95)
	}
	if own.worstQuickP95 > ttftTarget || own.quickP95 > uncorrected.quickP95 {
		t.Errorf("herding: quick p95 %v, without correction for other nodes %v", own.quickP95, uncorrected.quickP95)
	}
}

// TestLostCacheEvents drops all cache events. With homes, the nodes still send a prefix
// to the same endpoint; without homes, each node uses endpoints of its own.
func TestLostCacheEvents(t *testing.T) {
	o := defaults()
	o.workload, o.rate, o.dropCacheEvents, o.warmup, o.duration = manyWorkspaces, 45, true, 10*time.Second, 40*time.Second
	none := runModels(t, "no homes", o, newTableChooser(Options{Homes: -1}))
	if homes := runModels(t, "homes", o, newTableChooser(Options{})); homes.recomputedTokens > none.recomputedTokens/2 || homes.worstQuickP95 > ttftTarget {
		t.Errorf("recomputed %d tokens, without homes %d; quick p95 %v", homes.recomputedTokens, none.recomputedTokens, homes.worstQuickP95)
	}
}
