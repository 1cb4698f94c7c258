package move

import (
	"math"
	"time"
)

// alarm temporarily lowers the share of the new version. It is raised when a test
// puts the version in doubt and on a burst of failures. Bursts are detected faster
// than by the tests, but with less certainty: the failures of the new version are
// compared with a fixed rate by the cumulative sum (CUSUM) of E. S. Page,
// "Continuous inspection schemes", Biometrika 41 (1954). A burst that the old
// version has as well is ignored.
type alarm struct {
	oldSum, newSum float64 // cumulative sums
	until          time.Time
	raises         int // since the start of the move
}

// Failure rates that the cumulative sums compare, and the sums that signal a burst.
const (
	usualRate    = 0.02
	burstRate    = 0.3
	newThreshold = 7.0
	oldThreshold = 2.0
	// alarmDuration is how long an alarm lasts after it was last raised.
	alarmDuration = time.Minute
	// minRepeatedRaises is the number of separate alarms that suffice to mark the
	// version as bad, as a finding of the tests does.
	minRepeatedRaises = 3
)

// add adds the requests since the last call and raises the alarm on a burst.
func (a *alarm) add(now time.Time, oldArm, newArm ArmCount) {
	a.oldSum = cusumStep(a.oldSum, oldArm)
	a.newSum = cusumStep(a.newSum, newArm)
	if a.newSum < newThreshold {
		return
	}
	a.newSum = 0
	if a.oldSum < oldThreshold {
		a.raise(now)
	}
}

// raise starts an alarm, or extends the current one.
func (a *alarm) raise(now time.Time) {
	if !a.raised(now) {
		a.raises++
	}
	a.until = now.Add(alarmDuration)
}

// cusumStep returns the cumulative sum after more requests. The sum is limited, so
// that it falls soon after a long burst has ended.
func cusumStep(sum float64, a ArmCount) float64 {
	ratio := float64(a.Events)*math.Log(burstRate/usualRate) +
		float64(a.Trials-a.Events)*math.Log((1-burstRate)/(1-usualRate))
	return min(max(0, sum+ratio), 2*newThreshold)
}

func (a *alarm) raised(now time.Time) bool { return now.Before(a.until) }

// repeated reports whether enough separate alarms were raised to mark the version.
func (a *alarm) repeated() bool { return a.raises >= minRepeatedRaises }
