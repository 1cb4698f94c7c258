package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// newSegmentCrashes is the number of crashes, one after the other, from which a segment
	// without an earlier answer is suspected, and knownSegmentCrashes that for a segment
	// with one. The platform allows five.
	newSegmentCrashes   = 3
	knownSegmentCrashes = 5
	// manyCrashes is the number of crashed endpoints from which two crashes one after the
	// other are enough for a new segment: requests with it come close together.
	manyCrashes = 5
	// clockTolerance is how far the clocks of two nodes may differ.
	clockTolerance = 100 * time.Millisecond
	// settleTime is the shortest time for which a segment is suspected before it is held.
	settleTime = 2 * time.Second
	// learningTime is the time after its start in which a node counts all segments as
	// answered before: it doesn't know yet which ones were.
	learningTime = 5 * time.Second
	// HoldTime is how long a segment is held. It is not prolonged by requests with it, so that
	// a wrong decision ends by itself.
	HoldTime = 10 * time.Minute
	// relapseTime is how long after the end of a hold a single crash is enough to suspect the
	// segment again.
	relapseTime = time.Hour
	// crashRetention is how long a crash counts, and answerRetention how long an answer.
	crashRetention  = 10 * time.Minute
	answerRetention = 10 * time.Minute
	// maxCrashes, maxAnswers and maxHolds bound the memory of a tracker; maxSegments bounds
	// the segments of a crash.
	maxCrashes  = 256
	maxAnswers  = 1 << 14
	maxHolds    = 256
	maxSegments = 12
)

// Tracker is the state of a node. It is not safe for concurrent use.
type Tracker struct {
	crashes     []knownCrash
	answers     map[Segment]time.Time // latest answer seen by this node
	peerAnswers map[Segment]time.Time // latest answer reported by other nodes
	suspected   map[Segment]time.Time // since when
	holds       map[Segment]time.Time // until when
	ended       map[Segment]time.Time // when the last hold ended
	events      []Event
	changed     bool // there are new facts since the last evaluation
	startedAt   time.Time
	// heardSince is the time since which all known nodes have sent a report.
	heardSince time.Time
}

type knownCrash struct {
	Crash
	own bool // seen by this node
}

// New returns a tracker that knows nothing.
func New(now time.Time) *Tracker {
	return &Tracker{
		startedAt: now, answers: make(map[Segment]time.Time), peerAnswers: make(map[Segment]time.Time),
		suspected: make(map[Segment]time.Time), holds: make(map[Segment]time.Time), ended: make(map[Segment]time.Time),
	}
}

// HoldsAny reports whether any segment is held back.
func (t *Tracker) HoldsAny() bool { return len(t.suspected) > 0 || len(t.holds) > 0 }

// Empty reports whether the tracker knows of no crash and holds back no segment.
func (t *Tracker) Empty() bool { return len(t.crashes) == 0 && len(t.holds) == 0 }

// Held returns the first of the segments that is held back.
func (t *Tracker) Held(now time.Time, segments []Segment) (Segment, bool) {
	if !t.HoldsAny() {
		return 0, false
	}
	for _, s := range segments {
		if _, ok := t.suspected[s]; ok {
			return s, true
		}
		if now.Before(t.holds[s]) {
			return s, true
		}
	}
	return 0, false
}

// RecordCrash records the crash of an endpoint that this node has seen.
func (t *Tracker) RecordCrash(now time.Time, c Crash) {
	if t.addCrash(now, c, true) {
		t.evaluate(now)
	}
}

func (t *Tracker) addCrash(now time.Time, c Crash, own bool) bool {
	c.Segments = c.Segments[max(0, len(c.Segments)-maxSegments):] // the first ones are the most common
	if len(c.Segments) == 0 || now.Sub(c.At) > crashRetention {
		return false
	}
	if slices.ContainsFunc(t.crashes, func(k knownCrash) bool { return k.same(c) }) {
		return false
	}
	t.crashes = append(t.crashes, knownCrash{c, own})
	if len(t.crashes) > maxCrashes {
		t.crashes = slices.Delete(t.crashes, 0, len(t.crashes)-maxCrashes)
	}
	return true
}

// RecordAnswer records that an endpoint began to answer a request with the segments at a
// time, and went on with the answer.
func (t *Tracker) RecordAnswer(now, began time.Time, segments []Segment) {
	changed := false
	for _, s := range segments {
		if began.After(t.answers[s]) {
			t.answers[s] = began
		}
		_, suspected := t.suspected[s]
		changed = changed || suspected
	}
	if len(t.answers) > maxAnswers {
		expireHalf(t.answers)
	}
	if changed {
		t.evaluate(now)
	}
}

// expireHalf removes the entries in the older half of the time span of all.
func expireHalf(m map[Segment]time.Time) {
	times := slices.SortedFunc(maps.Values(m), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(m, func(_ Segment, at time.Time) bool { return !at.After(middle) })
}

// Merge records the report of another node. It takes effect with the next Tick.
func (t *Tracker) Merge(now time.Time, r Report) {
	for _, h := range r.Holds {
		t.AddHold(now, h)
	}
	for _, c := range r.Crashes {
		t.changed = t.addCrash(now, c, false) || t.changed
	}
	for _, a := range r.Answers {
		if a.Began.After(t.peerAnswers[a.Segment]) {
			t.peerAnswers[a.Segment] = a.Began
			_, suspected := t.suspected[a.Segment]
			t.changed = t.changed || suspected
		}
	}
	if len(t.peerAnswers) > maxAnswers {
		expireHalf(t.peerAnswers)
	}
}

// AddHold records a decision of another node or of the store.
func (t *Tracker) AddHold(now time.Time, h Hold) {
	h.Until = minTime(h.Until, now.Add(HoldTime)) // from a clock that is ahead
	if !now.Before(h.Until) || !h.Until.After(t.holds[h.Segment]) {
		return
	}
	t.setHold(h.Segment, h.Until)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (t *Tracker) setHold(s Segment, until time.Time) {
	if _, known := t.holds[s]; !known {
		t.events = append(t.events, Event{Segment: s, Kind: EventHeld})
		t.changed = true // it may explain crashes that count for other segments
	}
	delete(t.suspected, s)
	t.holds[s] = until
	if len(t.holds) > maxHolds {
		expireHalf(t.holds)
	}
}

// Tick ends holds and settling times. It must be called several times a second. All other
// known nodes have sent a report since heardSince: a suspicion settles only with the answers
// that all of them have seen, so that a node that is cut off doesn't decide for the others.
func (t *Tracker) Tick(now, heardSince time.Time) {
	t.heardSince = heardSince
	for s, until := range t.holds {
		if !now.Before(until) {
			delete(t.holds, s)
			t.ended[s] = until
		}
	}
	maps.DeleteFunc(t.ended, func(_ Segment, at time.Time) bool { return now.Sub(at) > relapseTime })
	if len(t.ended) > maxHolds {
		expireHalf(t.ended)
	}
	if t.changed {
		t.evaluate(now)
	}
	t.settle(now)
}

// Events returns the changes since the last call, by segment.
func (t *Tracker) Events() []Event {
	out := t.events
	t.events = nil
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.Segment, b.Segment) })
	return out
}

// Holds returns all holds, the longest first.
func (t *Tracker) Holds() []Hold {
	out := make([]Hold, 0, len(t.holds))
	for s, until := range t.holds {
		out = append(out, Hold{s, until})
	}
	slices.SortFunc(out, func(a, b Hold) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Segment, b.Segment)) })
	return out
}

// lastAnswer returns the latest known answer to a request with a segment; zero for none.
func (t *Tracker) lastAnswer(now time.Time, s Segment) time.Time {
	at := t.answers[s]
	if peer := t.peerAnswers[s]; peer.After(at) {
		at = peer
	}
	if now.Sub(at) > answerRetention {
		return time.Time{}
	}
	return at
}
