package move

import (
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Signal is the kind of event that a comparison looks at.
type Signal string

// The signals.
const (
	// SignalFailure: the request failed.
	SignalFailure Signal = "failures"
	// SignalSlow: a whole answer took longer than nine in ten of the old version's.
	SignalSlow Signal = "slow answers"
	// SignalShort: a whole answer was shorter than nine in ten of the old
	// version's, as errors inside a success are.
	SignalShort Signal = "short answers"
	// SignalSlice: the request failed, among those of a slice of the workspaces.
	SignalSlice Signal = "failures of some workspaces"
)

var mainSignals = []Signal{SignalFailure, SignalSlow, SignalShort}

// The differences that the tests look for. A version whose rate is above the old
// one's by less than half of the least difference is not told from a good one.
var (
	failureDifferences  = []float64{0.01, 0.03, 0.1, 0.3, 0.9}
	quantileDifferences = []float64{0.15, 0.3, 0.6, 0.85}
)

// Pseudo-trials of the old arm, before it has many of its own.
var (
	failurePrior  = Arm{Trials: 100, Events: 1}
	quantilePrior = Arm{Trials: 20, Events: 2}
)

// minPinned is the number of the old version's answers that set the bounds of
// slow and short.
const minPinned = 30

// tailShare is the share of the old version's answers past the bounds.
const tailShare = 0.1

// Comparison compares two versions of a service route by route. It is not safe
// for concurrent use.
type Comparison struct {
	routes map[ident.RouteName]*routeComparison
	names  []ident.RouteName // sorted
	worst  Finding
	any    bool // worst is set
	alarm  alarm
}

// NewComparison returns a comparison without evidence.
func NewComparison() *Comparison {
	return &Comparison{routes: make(map[ident.RouteName]*routeComparison)}
}

// Observe takes the totals of both versions at one time. The difference to the
// last call makes a block of simultaneous trials.
func (c *Comparison) Observe(now time.Time, old, fresh Totals) {
	c.addRoutes(old)
	c.addRoutes(fresh)
	var all [2]Arm
	c.any = false
	for _, name := range c.names {
		r := c.routes[name]
		a, b := old.of(name), fresh.of(name)
		before := [2]Arm{{r.old.Requests, r.old.Failures}, {r.fresh.Requests, r.fresh.Failures}}
		all[0].add(grown(before[0], Arm{a.Requests, a.Failures}))
		all[1].add(grown(before[1], Arm{b.Requests, b.Failures}))
		r.observe(now, a, b)
		if f := r.worst(); !c.any || f.Odds > c.worst.Odds {
			c.worst, c.any = f, true
		}
	}
	c.alarm.add(now, all[0], all[1])
}

func (c *Comparison) addRoutes(t Totals) {
	for name := range t {
		if c.routes[name] == nil {
			c.routes[name] = newRouteComparison(name)
			c.names = append(c.names, name)
		}
	}
	slices.Sort(c.names)
}

// Findings returns the comparisons of the main signals, ordered by route, and of
// the worst slice of the workspaces of each.
func (c *Comparison) Findings() []Finding {
	var out []Finding
	for _, name := range c.names {
		out = append(out, c.routes[name].findings()...)
	}
	return out
}

// Worst returns the finding that speaks most against the new version.
func (c *Comparison) Worst() (Finding, bool) { return c.worst, c.any }

// Alarmed tells whether the new version fails much more than it should right now;
// see alarm.
func (c *Comparison) Alarmed(now time.Time) bool { return c.alarm.raised(now) }

// Compared returns the number of the new version's requests that were compared.
func (c *Comparison) Compared() uint64 {
	var n uint64
	for _, r := range c.routes {
		n += r.main[0].fresh.Trials
	}
	return n
}

// brakeOdds returns the odds at which the tests of a move brake, such that they
// brake a good version with a probability of at most alpha, over all routes and
// evaluating nodes; the number of tests of a route is in Finding.Odds.
func brakeOdds(alpha float64, routes, evaluators int) float64 {
	return math.Log(float64(max(routes, 1)*max(evaluators, 1)) / alpha)
}
