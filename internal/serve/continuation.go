package serve

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// maxContinuationTries is the number of times that a stopped run is sent to the engines with
	// its memory.
	maxContinuationTries = 12
	// maxArrivals is the number of these tries that may reach an engine, since each counts as a
	// request there, and maxArrivalsPerCopy that at the same one.
	maxArrivals        = 4
	maxArrivalsPerCopy = 3
	// maxCopyRefusals is the number of refusals after which a copy counts as gone.
	maxCopyRefusals = 2
	// minContinuationPause and maxContinuationPause bound the time between two tries at the same
	// engine, which doubles.
	minContinuationPause = 25 * time.Millisecond
	maxContinuationPause = 400 * time.Millisecond
)

// copyPlace is an engine with the memory of a stopped run.
type copyPlace struct {
	endpoint site.Endpoint
	kvCopy   *KVCopy
	// until is when nothing more may be sent there; zero if that isn't known.
	until     time.Time
	gone      bool // the copy, or the engine, is gone
	refusals  int
	arrivals  int           // of tries
	tried     bool          // at least once
	pause     time.Duration // after the last try there
	notBefore time.Time     // of the next try there
}

// continuationOutcome is how a try to continue a stopped run ended without a stream.
type continuationOutcome uint8

const (
	// continuationNotSent: nothing has reached the engine.
	continuationNotSent continuationOutcome = iota
	// continuationRefused: the engine stated that it did not run the request.
	continuationRefused
	// continuationUnknown: the engine may have continued the run.
	continuationUnknown
	// engineEnded: nothing has reached the engine, and its process has ended.
	engineEnded
	// continuationFailed: the engine continued the run, which failed.
	continuationFailed
)

// continuation decides where a run that was stopped for its migration continues: at the engine to
// which its memory was copied, or at the one that has stopped it and keeps it. An engine takes a
// copy once, so that a try may be repeated there whatever became of the last one. Another engine is
// tried only after the last one has certainly not continued the run, or has ended.
type continuation struct {
	places   []*copyPlace // the preferred one first
	deadline time.Time
	once     bool // each place is tried once
	tries    int
	arrivals int // of tries at all engines
	last     *copyPlace
	// unsure is the engine that may have continued the run; nil for none.
	unsure *copyPlace
	// suspect is the last engine that may have ended under the run; nil for none.
	suspect *copyPlace
	failed  bool
}

// next returns the engine of the next try and the time until then. ok is false if the run can't
// continue.
func (c *continuation) next(now time.Time) (p *copyPlace, wait time.Duration, ok bool) {
	if c.failed || c.tries >= maxContinuationTries || c.arrivals >= maxArrivals {
		return nil, 0, false
	}
	for _, candidate := range c.places {
		at := candidate.notBefore
		if at.Before(now) {
			at = now
		}
		switch {
		case candidate.gone, c.once && candidate.tried, candidate.arrivals >= maxArrivalsPerCopy, c.unsure != nil && c.unsure != candidate,
			!at.Before(c.deadline), !candidate.until.IsZero() && !at.Before(candidate.until):
			continue
		case p == nil, at.Sub(now) < wait:
			p, wait = candidate, at.Sub(now)
		}
	}
	if p == nil {
		return nil, 0, false
	}
	c.last, p.tried = p, true
	c.tries++
	return p, wait, true
}

// record records how the last try ended.
func (c *continuation) record(now time.Time, o continuationOutcome) {
	p := c.last
	p.pause = min(max(2*p.pause, minContinuationPause), maxContinuationPause)
	p.notBefore = now.Add(p.pause)
	switch o {
	case continuationRefused, continuationUnknown, continuationFailed:
		p.arrivals++
		c.arrivals++
	}
	switch o {
	case continuationNotSent:
	case continuationRefused:
		p.refusals++
		if c.unsure == p {
			c.failed = true // the copy was used: the run has continued, and nobody reads it
		}
		p.gone = p.refusals >= maxCopyRefusals
	case continuationUnknown:
		c.unsure, c.suspect = p, p
	case engineEnded:
		p.gone, c.unsure, c.suspect = true, nil, p
	case continuationFailed:
		c.failed = true
	}
}
