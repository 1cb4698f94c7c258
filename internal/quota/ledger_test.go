package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	testRate  = 1000.0
	testBurst = 1000.0
)

var testLimits = []site.Workspace{{Name: "w", Rate: testRate, Burst: testBurst}}

// fleet is a number of nodes that exchange their spending. Nodes can be isolated.
type fleet struct {
	now          time.Time
	ledgers      []*Ledger
	incarnations []NodeIncarnation
	isolated     map[int]bool // nodes cut off from all others
	admitted     []spend
}

type spend struct {
	at   time.Time
	cost float64
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), isolated: make(map[int]bool)}
	for i := range n {
		id := NodeIncarnation{Node: ident.NodeID(fmt.Sprint("n", i)), Incarnation: 1}
		f.incarnations = append(f.incarnations, id)
		f.ledgers = append(f.ledgers, New(Options{Self: id, Overshoot: overshoot - 1}))
		f.ledgers[i].SetWorkspaces(f.now, testLimits)
	}
	return f
}

// exchange reports the spending of all nodes that are not isolated to each other.
func (f *fleet) exchange() {
	for i, l := range f.ledgers {
		for j, o := range f.ledgers {
			if i != j && !f.isolated[i] && !f.isolated[j] {
				l.RecordPeerSpending(f.now, f.incarnations[j], f.now, copyOf(o.Spent()))
			}
		}
		l.Tick(f.now)
	}
}

// runLoad offers every node its share of demand, a multiple of the limit, for d.
func (f *fleet) runLoad(rng *rand.Rand, d time.Duration, shares []float64, demand float64) {
	const step, cost = 10 * time.Millisecond, 5.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, l := range f.ledgers {
			wanted := demand * testRate * shares[i] * step.Seconds() / cost
			for wanted > 0 {
				if rng.Float64() < wanted {
					if _, ok := l.Take(f.now, "w", cost); ok {
						f.admitted = append(f.admitted, spend{f.now, cost})
					}
				}
				wanted--
			}
		}
		if f.now.UnixMilli()%200 == 0 {
			f.exchange()
		}
	}
}

// maxAdmitted returns the largest amount admitted in any window of that length.
func (f *fleet) maxAdmitted(window time.Duration) float64 {
	highest, sum, first := 0.0, 0.0, 0
	for _, s := range f.admitted {
		sum += s.cost
		for s.at.Sub(f.admitted[first].at) > window {
			sum -= f.admitted[first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

const testWindow = 8 * time.Second

// overshoot is the factor on rate x window + burst that the operators allow.
const overshoot = 1.1

var unevenShares = []float64{0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05}

// A workspace that sends many times its limit through all nodes stays within the limit and
// gets most of it.
func TestHotWorkspace(t *testing.T) {
	f := newFleet(8)
	rng := rand.New(rand.NewPCG(1, 2))
	f.runLoad(rng, 5*time.Second, unevenShares, 0.5)
	f.runLoad(rng, 12*time.Second, unevenShares, 5)
	limit := (testRate*testWindow.Seconds() + testBurst) * overshoot
	if got := f.maxAdmitted(testWindow); got > limit {
		t.Errorf("%.0f admitted in %s, limit %.0f", got, testWindow, limit)
	}
	if got := f.maxAdmitted(testWindow); got < testRate*testWindow.Seconds()*0.9 {
		t.Errorf("only %.0f admitted in %s of a limit of %.0f", got, testWindow, testRate*testWindow.Seconds())
	}
}

// Both sides of a network partition together stay within the limit, whichever nodes are
// isolated.
func TestIsolatedNodesKeepTheirShare(t *testing.T) {
	for _, isolated := range [][]int{{0}, {7}, {0, 1, 2}, {1, 3, 5, 7}, {0, 1, 2, 3, 4, 5, 6, 7}} {
		f := newFleet(8)
		rng := rand.New(rand.NewPCG(3, uint64(len(isolated))))
		f.runLoad(rng, 6*time.Second, unevenShares, 0.6)
		for _, i := range isolated {
			f.isolated[i] = true
		}
		f.runLoad(rng, 10*time.Second, unevenShares, 5)
		clear(f.isolated)
		f.runLoad(rng, 5*time.Second, unevenShares, 5)
		limit := (testRate*testWindow.Seconds() + testBurst) * overshoot
		// Spending between the partition and its detection is unknown to the other nodes.
		limit += 5 * testRate * DefaultSilenceTimeout.Seconds()
		if got := f.maxAdmitted(testWindow); got > limit {
			t.Errorf("nodes %v isolated: %.0f admitted in %s, limit %.0f", isolated, got, testWindow, limit)
		}
	}
}

// A lowered limit applies at once: the old burst can no longer be spent.
func TestLowerLimitAppliesAtOnce(t *testing.T) {
	l := New(Options{})
	now := time.Unix(1000, 0)
	l.SetWorkspaces(now, testLimits)
	l.SetWorkspaces(now, []site.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	if _, ok := l.Take(now, "w", 5); !ok {
		t.Error("request within the new burst refused")
	}
	if retryAfter, ok := l.Take(now, "w", 10); ok || retryAfter <= 0 {
		t.Errorf("request beyond the new burst admitted, or no retry delay: %s", retryAfter)
	}
}

// A node that starts while a workspace has used up its limit does not add a full burst.
func TestStartedNodeAdoptsLevels(t *testing.T) {
	now := time.Unix(1000, 0)
	running := New(Options{Self: NodeIncarnation{"a", 1}})
	running.SetWorkspaces(now, testLimits)
	if _, ok := running.Take(now, "w", testBurst); !ok {
		t.Fatal("a full bucket refused its burst")
	}
	started := New(Options{Self: NodeIncarnation{"b", 1}})
	started.SetWorkspaces(now, testLimits)
	started.InitLevels(now, running.Levels(now))
	if _, ok := started.Take(now, "w", testBurst/2); ok {
		t.Error("the started node admitted what was spent already")
	}
}

func TestRefund(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	l.SetWorkspaces(now, testLimits)
	l.Take(now, "w", testBurst)
	l.Refund(now, "w", testBurst)
	if _, ok := l.Take(now, "w", testBurst); !ok || l.Spent()["w"] != testBurst {
		t.Errorf("after a refund: spent %v, or the refunded burst is refused", l.Spent())
	}
}
