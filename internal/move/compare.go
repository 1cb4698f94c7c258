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
	// Over all routes: failures, and failures by slice of the workspaces.
	all    *Test
	slices [workspaceSlices]*Test
	// routeTests is the logarithm of the number of tests by route; see routeShare.
	routeTests float64
}

// NewComparison returns a comparison without evidence.
func NewComparison() *Comparison {
	c := &Comparison{routes: make(map[ident.RouteName]*routeComparison)}
	c.all = newTest(failurePrior, failureDifferences)
	for i := range c.slices {
		c.slices[i] = newTest(failurePrior, failureDifferences)
	}
	return c
}

// Observe takes the totals of both versions at one time. The difference to the
// last call makes a block of simultaneous trials. Routes is the number of routes
// that the error rate is shared by.
func (c *Comparison) Observe(now time.Time, routes int, old, fresh Totals) {
	c.addRoutes(old)
	c.addRoutes(fresh)
	c.routeTests = math.Log(routeShare * float64(len(mainSignals)*max(routes, len(c.names), 1)))
	var all [2]Arm
	for _, name := range c.names {
		r := c.routes[name]
		a, b := old.of(name), fresh.of(name)
		before := [2]Arm{{r.old.Requests, r.old.Failures}, {r.fresh.Requests, r.fresh.Failures}}
		all[0].add(grown(before[0], Arm{a.Requests, a.Failures}))
		all[1].add(grown(before[1], Arm{b.Requests, b.Failures}))
		c.observe(now, r, a, b)
	}
	c.alarm.add(now, all[0], all[1])
	c.findWorst()
}

// observe adds what was counted on a route since the last call to all tests.
func (c *Comparison) observe(now time.Time, r *routeComparison, old, fresh *Counter) {
	r.test(now, c.all, &r.all, old, fresh, failuresOf)
	for i, t := range c.slices {
		r.test(now, t, &r.slices[i], old, fresh, func(c *Counter) Arm { return c.Slices[i] })
	}
	r.observe(now, old, fresh)
}

func (c *Comparison) findWorst() {
	c.worst, c.any = c.overall(), len(c.names) > 0
	if f := c.worstSlice(); f.Odds > c.worst.Odds {
		c.worst = f
	}
	for _, name := range c.names {
		if f := c.routes[name].worst(c.routeTests); f.Odds > c.worst.Odds {
			c.worst = f
		}
	}
}

func (c *Comparison) overall() Finding {
	return newFinding("", SignalFailure, c.all, overallTests)
}

func (c *Comparison) worstSlice() Finding {
	worst := c.slices[0]
	for _, t := range c.slices {
		if t.logE() > worst.logE() {
			worst = t
		}
	}
	return newFinding("", SignalSlice, worst, sliceTests)
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

// Findings returns the comparisons of the signals, ordered by route, and of the
// worst slice of the workspaces.
func (c *Comparison) Findings() []Finding {
	var out []Finding
	for _, name := range c.names {
		out = append(out, c.routes[name].findings(c.routeTests)...)
	}
	if f := c.worstSlice(); f.New.Events > 0 {
		out = append(out, f)
	}
	return out
}

// Worst returns the finding that speaks most against the new version.
func (c *Comparison) Worst() (Finding, bool) { return c.worst, c.any }

// Alarmed tells whether the new version is in doubt; see alarm.
func (c *Comparison) Alarmed(now time.Time) bool { return c.alarm.raised(now) }

// Compared returns the number of the new version's requests that were compared.
func (c *Comparison) Compared() uint64 {
	return c.all.fresh.Trials
}

// brakeOdds returns the odds at which the tests of a move brake, such that they
// brake a good version with a probability of at most alpha, over all evaluating
// nodes; the number of tests is in Finding.Odds.
func brakeOdds(alpha float64, evaluators int) float64 {
	return math.Log(float64(max(evaluators, 1)) / alpha)
}
