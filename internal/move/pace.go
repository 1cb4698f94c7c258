package move

import (
	"time"
)

// pacing is one step of the share, due at a fraction of the time from the begin
// of a move to its time to finish. Half of the time is spent at small shares, as a
// fault may come late; the last tenth is kept for trouble.
type pacing struct {
	share Share
	due   float64
}

var steps = []pacing{{10, 0}, {50, 0.1}, {100, 0.5}, {250, 0.6}, {500, 0.7}, {750, 0.8}, {FullShare, 0.9}}

// nextStep returns the first step above a share, and when it is due. Late is the
// time from which it no longer waits for more requests.
func nextStep(r Record) (share Share, due, late time.Time) {
	window := r.FinishBy.Sub(r.Begun)
	at := func(f float64) time.Time { return r.Begun.Add(time.Duration(f * float64(window))) }
	for i, s := range steps {
		if s.share <= r.Share {
			continue
		}
		late := r.FinishBy
		if i+1 < len(steps) {
			late = at(steps[i+1].due)
		}
		return s.share, at(s.due), late
	}
	return FullShare, r.FinishBy, r.FinishBy
}

// dwell returns the least time between two steps of a move.
func dwell(r Record, least time.Duration) time.Duration {
	const shortest = 40 // parts of the window
	return min(least, r.FinishBy.Sub(r.Begun)/shortest)
}

// lead returns how long before its time to finish a move decides on its end, so
// that the end is recorded and spread in time.
func lead(r Record) time.Duration {
	const (
		longest  = 30 * time.Second
		shortest = 40 // parts of the window
	)
	return min(longest, r.FinishBy.Sub(r.Begun)/shortest)
}
