package move

import (
	"fmt"
	"maps"
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
)

var signals = []Signal{SignalFailure, SignalSlow, SignalShort}

// The differences that the tests look for. A version whose rate is above the old
// one's by less than half of the least difference is not told from a good one.
var (
	failureDifferences  = []float64{0.02, 0.05, 0.15, 0.4, 0.9}
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

// Finding is the comparison of one route by one signal, in numbers.
type Finding struct {
	Route  ident.RouteName `json:"route"`
	Signal Signal          `json:"signal"`
	// Old and New count since the start of the move, OldLately and NewLately over
	// the last minute or two.
	Old       Arm `json:"old"`
	New       Arm `json:"new"`
	OldLately Arm `json:"old_lately"`
	NewLately Arm `json:"new_lately"`
	// Bound of slow or short answers: milliseconds, or tokens or bytes.
	Bound float64 `json:"bound,omitempty"`
	// LogE is the natural logarithm of the e-value; the higher, the worse for the
	// new version.
	LogE float64 `json:"log_e"`
}

// String returns the finding as a clause for operators.
func (f Finding) String() string {
	old, fresh := f.OldLately, f.NewLately
	if fresh.Trials == 0 {
		old, fresh = f.Old, f.New
	}
	bound := ""
	switch f.Signal {
	case SignalSlow:
		bound = fmt.Sprintf(" (over %v)", time.Duration(f.Bound*float64(time.Millisecond)).Round(time.Millisecond))
	case SignalShort:
		bound = fmt.Sprintf(" (up to %.0f tokens or bytes)", f.Bound)
	}
	return fmt.Sprintf("route %q, %s%s: %d of %d on the new version, %d of %d on the old one",
		f.Route, f.Signal, bound, fresh.Events, fresh.Trials, old.Events, old.Trials)
}

// Comparison compares two versions of a service route by route. It is not safe
// for concurrent use.
type Comparison struct {
	routes map[ident.RouteName]*routeComparison
}

// routeComparison holds the tests of one route.
type routeComparison struct {
	tests      map[Signal]*Test
	old, fresh Counter // totals at the last call
	pinned     bool
	slow       int // answers in buckets above this one are slow
	short      int // answers in buckets below this one are short
}

// NewComparison returns a comparison without evidence.
func NewComparison() *Comparison {
	return &Comparison{routes: make(map[ident.RouteName]*routeComparison)}
}

// Observe takes the totals of both versions at one time. The difference to the
// last call makes a block of simultaneous trials.
func (c *Comparison) Observe(now time.Time, old, fresh Totals) {
	for _, route := range c.routeNames(old, fresh) {
		r := c.routes[route]
		if r == nil {
			r = newRouteComparison()
			c.routes[route] = r
		}
		a, b := old[route], fresh[route]
		r.observe(now, &a, &b)
	}
}

func (c *Comparison) routeNames(old, fresh Totals) []ident.RouteName {
	names := make(map[ident.RouteName]bool, len(old)+len(fresh))
	for name := range old {
		names[name] = true
	}
	for name := range fresh {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func newRouteComparison() *routeComparison {
	return &routeComparison{tests: map[Signal]*Test{
		SignalFailure: newTest(failurePrior, failureDifferences),
		SignalSlow:    newTest(quantilePrior, quantileDifferences),
		SignalShort:   newTest(quantilePrior, quantileDifferences),
	}}
}

func (r *routeComparison) observe(now time.Time, old, fresh *Counter) {
	r.test(now, SignalFailure, old, fresh, func(c *Counter) Arm { return Arm{c.Requests, c.Failures} })
	if r.pinned {
		r.test(now, SignalSlow, old, fresh, func(c *Counter) Arm { return Arm{c.whole(), c.slower(r.slow)} })
		r.test(now, SignalShort, old, fresh, func(c *Counter) Arm { return Arm{c.whole(), c.smaller(r.short)} })
	}
	r.old, r.fresh = *old, *fresh
	r.pin()
}

// test adds what a signal counted since the last call.
func (r *routeComparison) test(now time.Time, s Signal, old, fresh *Counter, arm func(*Counter) Arm) {
	r.tests[s].add(now, grown(arm(&r.old), arm(old)), grown(arm(&r.fresh), arm(fresh)))
}

// grown returns the trials since before. Totals never shrink; were they to, the
// block would be empty.
func grown(before, after Arm) Arm {
	if after.Trials <= before.Trials || after.Events < before.Events {
		return Arm{}
	}
	return Arm{Trials: after.Trials - before.Trials, Events: min(after.Events-before.Events, after.Trials-before.Trials)}
}

// pin sets the bounds of slow and short from the old version's answers, once. The
// trials that set them are not tested.
func (r *routeComparison) pin() {
	n := r.old.whole()
	if r.pinned || n < minPinned {
		return
	}
	r.pinned = true
	allowed := uint64(tailShare * float64(n))
	for r.slow = 0; r.old.slower(r.slow) > allowed; r.slow++ {
	}
	for r.short = sizeBuckets - 1; r.old.smaller(r.short) > allowed; r.short-- {
	}
}

// Findings returns all comparisons, ordered by route and signal.
func (c *Comparison) Findings() []Finding {
	var out []Finding
	for _, route := range slices.Sorted(maps.Keys(c.routes)) {
		r := c.routes[route]
		for _, s := range signals {
			if t := r.tests[s]; t.fresh.Trials > 0 {
				out = append(out, r.finding(route, s, t))
			}
		}
	}
	return out
}

func (r *routeComparison) finding(route ident.RouteName, s Signal, t *Test) Finding {
	f := Finding{Route: route, Signal: s, Old: t.old, New: t.fresh, LogE: t.logE()}
	f.OldLately, f.NewLately = t.lately()
	switch s {
	case SignalSlow:
		f.Bound = float64(latencyBounds[min(r.slow, len(latencyBounds)-1)]) / float64(time.Millisecond)
	case SignalShort:
		f.Bound = float64(sizeBound(max(r.short-1, 0)))
	}
	return f
}

// Worst returns the finding that speaks most against the new version.
func (c *Comparison) Worst() (Finding, bool) {
	var worst Finding
	found := false
	for _, f := range c.Findings() {
		if !found || f.LogE > worst.LogE {
			worst, found = f, true
		}
	}
	return worst, found
}

// Compared returns the number of the new version's requests that were compared.
func (c *Comparison) Compared() uint64 {
	var n uint64
	for _, r := range c.routes {
		n += r.tests[SignalFailure].fresh.Trials
	}
	return n
}

// brakeLogE returns the logarithm of the e-value at which the tests of a move
// brake, such that they brake a good version with a probability of at most alpha,
// over all routes, signals and evaluating nodes.
func brakeLogE(alpha float64, routes, evaluators int) float64 {
	return math.Log(float64(max(routes, 1)*len(signals)*max(evaluators, 1)) / alpha)
}
