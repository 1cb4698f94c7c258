package move

import (
	"math"
	"time"
)

// alarm watches for a burst of failures of the new version. It is quicker than the
// tests and not as sure, so that it only lowers the share for a while: it takes the
// new version's requests against a fixed rate, by the cumulative sum of E. S. Page,
// "Continuous inspection schemes", Biometrika 41 (1954), and keeps still where the
// old version has a burst as well.
type alarm struct {
	old, fresh float64 // cumulative sums
	until      time.Time
	bursts     int // since the begin
}

// The rates that the cumulative sums compare, and the sums at which they speak.
const (
	usualRate = 0.02
	burstRate = 0.3
	freshSum  = 7.0
	oldSum    = 2.0
	// alarmFor is how long an alarm lasts after the last burst.
	alarmFor = time.Minute
	// sureBursts of the new version alone are as good as a test's finding.
	sureBursts = 3
)

// add takes the requests since the last call.
func (a *alarm) add(now time.Time, old, fresh Arm) {
	a.old = cumulate(a.old, old)
	a.fresh = cumulate(a.fresh, fresh)
	if a.fresh < freshSum {
		return
	}
	alone := a.old < oldSum
	a.fresh = 0
	if !alone {
		return
	}
	if !a.raised(now) {
		a.bursts++
	}
	a.until = now.Add(alarmFor)
}

// cumulate adds requests to a sum. It is bounded, so that a long burst is soon
// forgotten.
func cumulate(sum float64, a Arm) float64 {
	ratio := float64(a.Events)*math.Log(burstRate/usualRate) +
		float64(a.Trials-a.Events)*math.Log((1-burstRate)/(1-usualRate))
	return min(max(0, sum+ratio), 2*freshSum)
}

func (a *alarm) raised(now time.Time) bool { return now.Before(a.until) }

// sure tells whether bursts came back each time that the share was raised again.
func (a *alarm) sure() bool { return a.bursts >= sureBursts }
