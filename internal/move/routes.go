package move

import (
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// routeComparison contains the tests of one route.
type routeComparison struct {
	name                   ident.RouteName
	main                   [3]*Test   // in the order of mainSignals
	strata                 [3]stratum // of main
	overall                stratum    // of the tests over all routes
	slices                 [workspaceSlices]stratum
	oldCounter, newCounter Counter // totals at the last call
	boundsSet              bool
	slow                   int // responses in buckets above this one are slow
	short                  int // responses in buckets below this one are short
}

// routeErrorDivisor and the corrections below divide the error rate: the tests by
// route get half of it, the test over all routes and those by slice a quarter each.
const routeErrorDivisor = 2

// Corrections of Finding.LogEValue: the logarithm of the number of tests divided by
// their fraction of the error rate.
var (
	logOverallTests = math.Log(4)
	logSliceTests   = math.Log(4 * workspaceSlices)
)

func newRouteComparison(name ident.RouteName) *routeComparison {
	r := &routeComparison{name: name}
	r.main[0] = newTest(failurePrior, failureDifferences)
	r.main[1] = newTest(quantilePrior, quantileDifferences)
	r.main[2] = newTest(quantilePrior, quantileDifferences)
	return r
}

// observe adds the requests since the last call to the tests of the route.
func (r *routeComparison) observe(now time.Time, oldCounter, newCounter *Counter) {
	r.test(now, r.main[0], &r.strata[0], oldCounter, newCounter, failuresOf)
	if r.boundsSet {
		r.test(now, r.main[1], &r.strata[1], oldCounter, newCounter, func(c *Counter) ArmCount { return ArmCount{c.complete(), c.slower(r.slow)} })
		r.test(now, r.main[2], &r.strata[2], oldCounter, newCounter, func(c *Counter) ArmCount { return ArmCount{c.complete(), c.smaller(r.short)} })
	}
	r.oldCounter, r.newCounter = *oldCounter, *newCounter
	r.setBounds()
}

func failuresOf(c *Counter) ArmCount { return ArmCount{c.Requests, c.Failures} }

func (r *routeComparison) test(now time.Time, t *Test, s *stratum, oldCounter, newCounter *Counter, arm func(*Counter) ArmCount) {
	t.add(now, s, increase(arm(&r.oldCounter), arm(oldCounter)), increase(arm(&r.newCounter), arm(newCounter)))
}

// increase returns the trials between two totals. Totals never shrink; if one did,
// the result would be empty.
func increase(before, after ArmCount) ArmCount {
	if after.Trials <= before.Trials || after.Events < before.Events {
		return ArmCount{}
	}
	n := after.Trials - before.Trials
	return ArmCount{Trials: n, Events: min(after.Events-before.Events, n)}
}

// setBounds determines the bounds of slow and short responses from the responses
// of the old version, once. These responses are not used as trials.
func (r *routeComparison) setBounds() {
	n := r.oldCounter.complete()
	if r.boundsSet || n < minBoundSamples {
		return
	}
	r.boundsSet = true
	allowed := uint64(tailShare * float64(n))
	for r.slow = 0; r.oldCounter.slower(r.slow) > allowed; r.slow++ {
	}
	for r.short = sizeBuckets - 1; r.oldCounter.smaller(r.short) > allowed; r.short-- {
	}
}

// worst returns the finding of the route with the highest LogEValue.
func (r *routeComparison) worst(logTests float64) Finding {
	worst := r.finding(0, logTests)
	for i := 1; i < len(r.main); i++ {
		if f := r.finding(i, logTests); f.LogEValue > worst.LogEValue {
			worst = f
		}
	}
	return worst
}

func (r *routeComparison) findings(logTests float64) []Finding {
	var out []Finding
	for i, t := range r.main {
		if t.newArm.Trials > 0 {
			out = append(out, r.finding(i, logTests))
		}
	}
	return out
}

// finding returns the finding of mainSignals[i].
func (r *routeComparison) finding(i int, logTests float64) Finding {
	f := newFinding(r.name, mainSignals[i], r.main[i], logTests)
	switch mainSignals[i] {
	case SignalSlow:
		f.Bound = float64(latencyBounds[min(r.slow, len(latencyBounds)-1)]) / float64(time.Millisecond)
	case SignalShort:
		f.Bound = float64(sizeBound(max(r.short-1, 0)))
	}
	return f
}

func newFinding(route ident.RouteName, s Signal, t *Test, logTests float64) Finding {
	f := Finding{Route: route, Signal: s, Old: t.oldArm, New: t.newArm, LogEValue: t.logE() - logTests}
	f.OldRecent, f.NewRecent = t.recentArms()
	return f
}
