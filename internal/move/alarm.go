package move

import (
	"math"
	"time"
)

// alarm lowers the share for a while: where a test finds the new version doubtful,
// and at a burst of its failures. The latter is quicker than the tests and not as
// sure: it takes the
// new version's requests against a fixed rate, by the cumulative sum of E. S. Page,
// "Continuous inspection schemes", Biometrika 41 (1954), and keeps still where the
// old version has a burst as well.
type alarm struct {
	old, fresh float64 // cumulative sums
	until      time.Time
	raises     int // since the begin
}

// The rates that the cumulative sums compare, and the sums at which they speak.
const (
	usualRate = 0.02
	burstRate = 0.3
	freshSum  = 7.0
	oldSum    = 2.0
	// alarmFor is how long an alarm lasts after its last cause.
	alarmFor = time.Minute
	// sureRaises are as good as a test's finding.
	sureRaises = 3
)

// add takes the requests since the last call.
func (a *alarm) add(now time.Time, old, fresh Arm) {
	a.old = cumulate(a.old, old)
	a.fresh = cumulate(a.fresh, fresh)
	if a.fresh < freshSum {
		return
	}
	a.fresh = 0
	if a.old < oldSum {
		a.raise(now)
	}
}

// raise begins an alarm, or makes one last longer.
func (a *alarm) raise(now time.Time) {
	if !a.raised(now) {
		a.raises++
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

// sure tells whether the alarm came back each time that it had ended.
func (a *alarm) sure() bool { return a.raises >= sureRaises }
