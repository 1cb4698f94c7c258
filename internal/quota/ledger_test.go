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

// fleet is some nodes that exchange what they spend through a lossy network.
type fleet struct {
	now     time.Time
	ledgers []*Ledger
	lives   []NodeIncarnation
	cut     map[int]bool // from all others
	taken   []spend
}

type spend struct {
	at   time.Time
	cost float64
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cut: make(map[int]bool)}
	for i := range n {
		life := NodeIncarnation{Node: ident.NodeID(fmt.Sprint("n", i)), Incarnation: 1}
		f.lives = append(f.lives, life)
		f.ledgers = append(f.ledgers, New(Options{Self: life, Overshoot: overshoot - 1}))
		f.ledgers[i].SetWorkspaces(f.now, testLimits)
	}
	return f
}

// exchange lets all nodes that are not cut off hear of each other.
func (f *fleet) exchange() {
	for i, l := range f.ledgers {
		for j, o := range f.ledgers {
			if i != j && !f.cut[i] && !f.cut[j] {
				l.RecordPeerSpending(f.now, f.lives[j], f.now, copyOf(o.Spent()))
			}
		}
		l.Tick(f.now)
	}
}

// run lets every node be asked for its part of demand, a multiple of the limit.
func (f *fleet) run(rng *rand.Rand, d time.Duration, parts []float64, demand float64) {
	const step, cost = 10 * time.Millisecond, 5.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, l := range f.ledgers {
			wanted := demand * testRate * parts[i] * step.Seconds() / cost
			for wanted > 0 {
				if rng.Float64() < wanted {
					if _, ok := l.Take(f.now, "w", cost); ok {
						f.taken = append(f.taken, spend{f.now, cost})
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

// most returns the most that was taken in any span of that length.
func (f *fleet) most(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, s := range f.taken {
		sum += s.cost
		for s.at.Sub(f.taken[first].at) > window {
			sum -= f.taken[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

const testWindow = 8 * time.Second

// overshoot is what the operators allow beyond rate x window + burst.
const overshoot = 1.1

var unevenParts = []float64{0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05}

// TestHotWorkspace answers the pattern of a workspace that sends many times its
// limit through all nodes.
func TestHotWorkspace(t *testing.T) {
	f := newFleet(8)
	rng := rand.New(rand.NewPCG(1, 2))
	f.run(rng, 5*time.Second, unevenParts, 0.5)
	f.run(rng, 12*time.Second, unevenParts, 5)
	bound := (testRate*testWindow.Seconds() + testBurst) * overshoot
	if got := f.most(testWindow); got > bound {
		t.Errorf("%.0f were taken in %s, %.0f are allowed", got, testWindow, bound)
	}
	if got := f.most(testWindow); got < testRate*testWindow.Seconds()*0.9 {
		t.Errorf("only %.0f were taken in %s of a limit of %.0f", got, testWindow, testRate*testWindow.Seconds())
	}
}

// TestCutNodesKeepTheirPart: nodes that lost each other stay within the limit
// together, whichever are cut off.
func TestCutNodesKeepTheirPart(t *testing.T) {
	for _, cut := range [][]int{{0}, {7}, {0, 1, 2}, {1, 3, 5, 7}, {0, 1, 2, 3, 4, 5, 6, 7}} {
		f := newFleet(8)
		rng := rand.New(rand.NewPCG(3, uint64(len(cut))))
		f.run(rng, 6*time.Second, unevenParts, 0.6)
		for _, i := range cut {
			f.cut[i] = true
		}
		f.run(rng, 10*time.Second, unevenParts, 5)
		clear(f.cut)
		f.run(rng, 5*time.Second, unevenParts, 5)
		bound := (testRate*testWindow.Seconds() + testBurst) * overshoot
		// What is spent between the cut and its notice is not known to the others.
		bound += 5 * testRate * DefaultSilenceTimeout.Seconds()
		if got := f.most(testWindow); got > bound {
			t.Errorf("nodes %v cut off: %.0f were taken in %s, %.0f are allowed", cut, got, testWindow, bound)
		}
	}
}

// TestLowerLimitHoldsAtOnce: a limit far below what a workspace sends binds from the
// change on, without the old burst.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	l := New(Options{})
	now := time.Unix(1000, 0)
	l.SetWorkspaces(now, testLimits)
	l.SetWorkspaces(now, []site.Workspace{{Name: "w", Rate: 10, Burst: 10}})
	if _, ok := l.Take(now, "w", 5); !ok {
		t.Error("refused within the new burst")
	}
	if after, ok := l.Take(now, "w", 10); ok || after <= 0 {
		t.Errorf("taken beyond the new burst, come back after %s", after)
	}
}

// TestStartedNodeJoins: a node that starts while a workspace is past its limit does
// not bring a full burst along.
func TestStartedNodeJoins(t *testing.T) {
	now := time.Unix(1000, 0)
	old := New(Options{Self: NodeIncarnation{"a", 1}})
	old.SetWorkspaces(now, testLimits)
	if _, ok := old.Take(now, "w", testBurst); !ok {
		t.Fatal("a full bucket refuses its burst")
	}
	started := New(Options{Self: NodeIncarnation{"b", 1}})
	started.SetWorkspaces(now, testLimits)
	started.InitLevels(now, old.Levels(now))
	if _, ok := started.Take(now, "w", testBurst/2); ok {
		t.Error("a node that just started spent what was spent already")
	}
}

func TestGiveBack(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(Options{})
	l.SetWorkspaces(now, testLimits)
	l.Take(now, "w", testBurst)
	l.Refund(now, "w", testBurst)
	if _, ok := l.Take(now, "w", testBurst); !ok || l.Spent()["w"] != testBurst {
		t.Errorf("after a request that did not run, %v is spent", l.Spent())
	}
}
