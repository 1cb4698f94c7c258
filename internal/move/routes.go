package move

import (
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// routeComparison holds the tests of one route.
type routeComparison struct {
	name       ident.RouteName
	main       [3]*Test   // in the order of mainSignals
	strata     [3]stratum // of main
	all        stratum    // of the tests over all routes
	slices     [workspaceSlices]stratum
	old, fresh Counter // totals at the last call
	pinned     bool
	slow       int // answers in buckets above this one are slow
	short      int // answers in buckets below this one are short
}

// The tests by route have half of the error rate, the one over all routes and
// those of the slices a quarter each.
const routeShare = 2

var (
	overallTests = math.Log(4)
	sliceTests   = math.Log(4 * workspaceSlices)
)

func newRouteComparison(name ident.RouteName) *routeComparison {
	r := &routeComparison{name: name}
	r.main[0] = newTest(failurePrior, failureDifferences)
	r.main[1] = newTest(quantilePrior, quantileDifferences)
	r.main[2] = newTest(quantilePrior, quantileDifferences)
	return r
}

// observe adds what was counted since the last call to the tests.
func (r *routeComparison) observe(now time.Time, old, fresh *Counter) {
	r.test(now, r.main[0], &r.strata[0], old, fresh, failuresOf)
	if r.pinned {
		r.test(now, r.main[1], &r.strata[1], old, fresh, func(c *Counter) Arm { return Arm{c.whole(), c.slower(r.slow)} })
		r.test(now, r.main[2], &r.strata[2], old, fresh, func(c *Counter) Arm { return Arm{c.whole(), c.smaller(r.short)} })
	}
	r.old, r.fresh = *old, *fresh
	r.pin()
}

func failuresOf(c *Counter) Arm { return Arm{c.Requests, c.Failures} }

func (r *routeComparison) test(now time.Time, t *Test, s *stratum, old, fresh *Counter, arm func(*Counter) Arm) {
	t.add(now, s, grown(arm(&r.old), arm(old)), grown(arm(&r.fresh), arm(fresh)))
}

// grown returns the trials since before. Totals never shrink; were they to, the
// block would be empty.
func grown(before, after Arm) Arm {
	if after.Trials <= before.Trials || after.Events < before.Events {
		return Arm{}
	}
	n := after.Trials - before.Trials
	return Arm{Trials: n, Events: min(after.Events-before.Events, n)}
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

// worst returns the finding of the route with the highest odds.
func (r *routeComparison) worst(tests float64) Finding {
	worst := r.finding(0, tests)
	for i := 1; i < len(r.main); i++ {
		if f := r.finding(i, tests); f.Odds > worst.Odds {
			worst = f
		}
	}
	return worst
}

func (r *routeComparison) findings(tests float64) []Finding {
	var out []Finding
	for i, t := range r.main {
		if t.fresh.Trials > 0 {
			out = append(out, r.finding(i, tests))
		}
	}
	return out
}

// finding returns that of a main signal.
func (r *routeComparison) finding(i int, tests float64) Finding {
	f := newFinding(r.name, mainSignals[i], r.main[i], tests)
	switch mainSignals[i] {
	case SignalSlow:
		f.Bound = float64(latencyBounds[min(r.slow, len(latencyBounds)-1)]) / float64(time.Millisecond)
	case SignalShort:
		f.Bound = float64(sizeBound(max(r.short-1, 0)))
	}
	return f
}

func newFinding(route ident.RouteName, s Signal, t *Test, tests float64) Finding {
	f := Finding{Route: route, Signal: s, Old: t.old, New: t.fresh, Odds: t.logE() - tests}
	f.OldLately, f.NewLately = t.lately()
	return f
}
