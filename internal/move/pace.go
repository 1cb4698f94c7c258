package move

import (
	"time"
)

// paceStep is one step of the share. It is due once the given fraction of the time
// between the start of a move and its finish time has passed.
type paceStep struct {
	share Share
	due   float64
}

// paceSteps is the schedule of a move. Half of the time is spent at small shares,
// because a fault may show late; the last tenth is reserved for delays.
var paceSteps = []paceStep{{10, 0}, {50, 0.1}, {100, 0.5}, {250, 0.6}, {500, 0.7}, {750, 0.8}, {FullShare, 0.9}}

// nextStep returns the share of the next step, the time at which the step is due,
// and the time from which it is overdue and no longer waits for
// Options.StepRequests.
func nextStep(r Record) (share Share, due, overdue time.Time) {
	window := r.FinishBy.Sub(r.Begun)
	at := func(f float64) time.Time { return r.Begun.Add(time.Duration(f * float64(window))) }
	for i, s := range paceSteps {
		if s.share <= r.Share {
			continue
		}
		overdue := r.FinishBy
		if i+1 < len(paceSteps) {
			overdue = at(paceSteps[i+1].due)
		}
		return s.share, at(s.due), overdue
	}
	return FullShare, r.FinishBy, r.FinishBy
}

// minDwell returns the minimum time between two steps of a move: the configured
// one, but at most 1/40 of the time between its start and its finish time.
func minDwell(r Record, configured time.Duration) time.Duration {
	const windowDivisor = 40 // 1/40 of the time of the move
	return min(configured, r.FinishBy.Sub(r.Begun)/windowDivisor)
}

// decisionLead returns how long before its finish time the outcome of a move is
// decided, so that it is recorded and has reached all nodes by then.
func decisionLead(r Record) time.Duration {
	const (
		maxLead       = 30 * time.Second
		windowDivisor = 40 // 1/40 of the time of the move
	)
	return min(maxLead, r.FinishBy.Sub(r.Begun)/windowDivisor)
}
