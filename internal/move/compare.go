package move

import (
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Signal is a kind of event whose rates on both versions are compared.
type Signal string

// Signals of a comparison.
const (
	// SignalFailure is a failed request.
	SignalFailure Signal = "failures"
	// SignalSlow is a complete response slower than 90% of the old version's responses.
	SignalSlow Signal = "slow answers"
	// SignalShort is a complete response shorter than 90% of the old version's
	// responses, such as an error message within a successful response.
	SignalShort Signal = "short answers"
	// SignalSlice is a failed request of a subset of the workspaces.
	SignalSlice Signal = "failures of some workspaces"
)

var mainSignals = []Signal{SignalFailure, SignalSlow, SignalShort}

// Differences between the rates of both versions that the tests detect. An increase
// of the rate by less than half of the smallest difference is not detected.
var (
	failureDifferences  = []float64{0.01, 0.03, 0.1, 0.3, 0.9}
	quantileDifferences = []float64{0.15, 0.3, 0.6, 0.85}
)

// Pseudo-trials of the old arm, which determine its estimated rate until it has
// enough trials.
var (
	failurePrior  = ArmCount{Trials: 100, Events: 1}
	quantilePrior = ArmCount{Trials: 20, Events: 2}
)

// minBoundSamples is the number of responses of the old version from which the
// bounds of slow and short responses are determined.
const minBoundSamples = 30

// tailShare is the maximum fraction of the old version's responses beyond each bound.
const tailShare = 0.1

// Comparison compares two versions of a service route by route. It is not safe
// for concurrent use.
type Comparison struct {
	routes   map[ident.RouteName]*routeComparison
	names    []ident.RouteName // sorted
	worst    Finding
	hasWorst bool // whether worst is set
	alarm    alarm
	// Tests over all routes: of failures, and of failures by slice of the workspaces.
	overall *Test
	slices  [workspaceSlices]*Test
	// logRouteTests is the correction of Finding.LogEValue for the tests by route; see
	// routeErrorDivisor.
	logRouteTests float64
}

// NewComparison returns a comparison without evidence.
func NewComparison() *Comparison {
	c := &Comparison{routes: make(map[ident.RouteName]*routeComparison)}
	c.overall = newTest(failurePrior, failureDifferences)
	for i := range c.slices {
		c.slices[i] = newTest(failurePrior, failureDifferences)
	}
	return c
}

// SetBaseline sets the totals from which later ones are compared. The requests in
// them are not evidence: they ended before the move started or before this node
// began to compare.
func (c *Comparison) SetBaseline(oldTotals, newTotals Totals) {
	c.addRoutes(oldTotals)
	c.addRoutes(newTotals)
	for _, name := range c.names {
		r := c.routes[name]
		r.oldCounter, r.newCounter = *oldTotals.route(name), *newTotals.route(name)
		r.setBounds()
	}
}

// Observe adds the totals of both versions at the same time. The requests since the
// last call are simultaneous trials. The error rate is divided among the given
// number of routes.
func (c *Comparison) Observe(now time.Time, routes int, oldTotals, newTotals Totals) {
	c.addRoutes(oldTotals)
	c.addRoutes(newTotals)
	c.logRouteTests = math.Log(routeErrorDivisor * float64(len(mainSignals)*max(routes, len(c.names), 1)))
	var all [2]ArmCount
	for _, name := range c.names {
		r := c.routes[name]
		a, b := oldTotals.route(name), newTotals.route(name)
		before := [2]ArmCount{{r.oldCounter.Requests, r.oldCounter.Failures}, {r.newCounter.Requests, r.newCounter.Failures}}
		all[0].add(increase(before[0], ArmCount{a.Requests, a.Failures}))
		all[1].add(increase(before[1], ArmCount{b.Requests, b.Failures}))
		c.observe(now, r, a, b)
	}
	c.alarm.add(now, all[0], all[1])
	c.findWorst()
}

// observe adds the requests of a route since the last call to all tests.
func (c *Comparison) observe(now time.Time, r *routeComparison, oldCounter, newCounter *Counter) {
	r.test(now, c.overall, &r.overall, oldCounter, newCounter, failuresOf)
	for i, t := range c.slices {
		r.test(now, t, &r.slices[i], oldCounter, newCounter, func(c *Counter) ArmCount { return c.Slices[i] })
	}
	r.observe(now, oldCounter, newCounter)
}

func (c *Comparison) findWorst() {
	c.worst, c.hasWorst = c.overallFinding(), len(c.names) > 0
	if f := c.worstSlice(); f.LogEValue > c.worst.LogEValue {
		c.worst = f
	}
	for _, name := range c.names {
		if f := c.routes[name].worst(c.logRouteTests); f.LogEValue > c.worst.LogEValue {
			c.worst = f
		}
	}
}

func (c *Comparison) overallFinding() Finding {
	return newFinding("", SignalFailure, c.overall, logOverallTests)
}

func (c *Comparison) worstSlice() Finding {
	worst := c.slices[0]
	for _, t := range c.slices {
		if t.logE() > worst.logE() {
			worst = t
		}
	}
	return newFinding("", SignalSlice, worst, logSliceTests)
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

// Findings returns the findings of all signals, ordered by route, and that of the
// worst slice of the workspaces if it has failures.
func (c *Comparison) Findings() []Finding {
	var out []Finding
	for _, name := range c.names {
		out = append(out, c.routes[name].findings(c.logRouteTests)...)
	}
	if f := c.worstSlice(); f.New.Events > 0 {
		out = append(out, f)
	}
	return out
}

// Worst returns the finding with the strongest evidence against the new version. It
// returns false if there is none yet.
func (c *Comparison) Worst() (Finding, bool) { return c.worst, c.hasWorst }

// InDoubt reports whether the new version is in doubt at a time; see alarm.
func (c *Comparison) InDoubt(now time.Time) bool { return c.alarm.raised(now) }

// Compared returns the number of compared requests of the new version.
func (c *Comparison) Compared() uint64 {
	return c.overall.newArm.Trials
}

// markThreshold returns the Finding.LogEValue from which a version is marked as bad,
// such that the probability to mark a good version is at most alpha over all
// evaluating nodes. Finding.LogEValue is already corrected for the number of tests.
func markThreshold(alpha float64, evaluators int) float64 {
	return math.Log(float64(max(evaluators, 1)) / alpha)
}
