package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// newTraitCrashes is the number of crashes, one after the other, from which a segment
	// without an earlier answer or a signature is suspected, and knownSegmentCrashes that
	// for a segment with one. The platform allows five for segments and three for
	// signatures, and some more within the time of contact.
	newTraitCrashes     = 3
	knownSegmentCrashes = 5
	// manyCrashes is the number of crashed endpoints from which two crashes one after the
	// other are enough for a new trait: requests with it come close together.
	manyCrashes = 5
	// clockTolerance is how far the clocks of two nodes may differ.
	clockTolerance = 100 * time.Millisecond
	// settleTime is the shortest time for which a trait is suspected before it is held.
	settleTime = 2 * time.Second
	// sharedSettleTime is the same for suspects that the crashes can't distinguish.
	sharedSettleTime = 8 * time.Second
	// learningTime is the time after its start in which a node counts all segments as
	// answered before: it doesn't know yet which ones were.
	learningTime = 5 * time.Second
	// HoldTime is how long a trait is held. It is not prolonged by requests with it, so that
	// a wrong decision ends by itself.
	HoldTime = 10 * time.Minute
	// relapseTime is how long after the end of a hold a single crash is enough to suspect the
	// trait again.
	relapseTime = time.Hour
	// crashRetention is how long a crash counts, and answerRetention how long an answer.
	crashRetention  = 10 * time.Minute
	answerRetention = 10 * time.Minute
	// maxCrashes, maxAnswers, maxCompletions and maxHolds bound the memory of a tracker;
	// maxSegments bounds the segments of a crash.
	maxCrashes     = 512
	maxAnswers     = 1 << 14
	maxCompletions = 1 << 12
	maxHolds       = 256
	maxSegments    = 12
)

// Tracker is the state of a node. It is not safe for concurrent use.
type Tracker struct {
	crashes     []knownCrash
	crashKeys   map[crashKey]bool   // of crashes
	answers     map[Trait]time.Time // latest answer seen by this node, by segment
	completions map[Trait]time.Time // latest completed request of this node, by signature
	peerAnswers map[Trait]time.Time // latest answer or completion reported by other nodes
	suspected   map[Trait]time.Time // since when
	// alternatives are, for a suspected trait, the others that the crashes can't distinguish from it.
	alternatives map[Trait][]Trait
	holds        map[Trait]time.Time // until when
	ended        map[Trait]time.Time // when the last hold ended
	events       []Event
	changed      bool // there are new facts since the last evaluation
	startedAt    time.Time
	reports      uint64 // number of reports made
	// heardSince is the time since which all known nodes have sent a report.
	heardSince time.Time
}

// Observer identifies the incarnation of a node that has seen a crash. It is not zero.
type Observer uint64

// self stands for this node among the observers.
const self Observer = 0

type knownCrash struct {
	Crash
	observer Observer
}

// New returns a tracker that knows nothing.
func New(now time.Time) *Tracker {
	return &Tracker{
		startedAt: now, crashKeys: make(map[crashKey]bool), answers: make(map[Trait]time.Time), completions: make(map[Trait]time.Time), peerAnswers: make(map[Trait]time.Time),
		suspected: make(map[Trait]time.Time), holds: make(map[Trait]time.Time), ended: make(map[Trait]time.Time),
	}
}

// Empty reports whether the tracker knows of no crash and holds back no requests.
func (t *Tracker) Empty() bool { return len(t.crashes) == 0 && len(t.holds) == 0 }

// Held returns the first of the traits of a request that is held back.
func (t *Tracker) Held(now time.Time, traits []Trait) (Trait, bool) {
	if t.changed {
		t.evaluate(now)
	}
	for _, s := range traits {
		if _, ok := t.suspected[s]; ok && t.hasAlternatives(s, traits) {
			return s, true
		}
		if now.Before(t.holds[s]) {
			return s, true
		}
	}
	return 0, false
}

// hasAlternatives reports whether all suspects that can't be distinguished from s are among the traits
// of a request. A request that lacks one of them may be sound, and its answer or crash distinguishes them.
func (t *Tracker) hasAlternatives(s Trait, traits []Trait) bool {
	for _, other := range t.alternatives[s] {
		if !slices.Contains(traits, other) {
			return false
		}
	}
	return true
}

// RecordCrash records the crash of an endpoint that this node has seen.
func (t *Tracker) RecordCrash(now time.Time, c Crash) { t.addCrash(now, c, self) }

func (t *Tracker) addCrash(now time.Time, c Crash, observer Observer) {
	c.Segments = c.Segments[max(0, len(c.Segments)-maxSegments):] // the first ones are the most common
	if now.Sub(c.At) > crashRetention || t.crashKeys[c.key()] {
		return
	}
	t.crashKeys[c.key()] = true
	t.crashes = append(t.crashes, knownCrash{c, observer})
	if len(t.crashes) > maxCrashes {
		oldest := max(slices.IndexFunc(t.crashes, func(k knownCrash) bool { return k.Answering }), 0)
		delete(t.crashKeys, t.crashes[oldest].key())
		t.crashes = slices.Delete(t.crashes, oldest, oldest+1)
	}
	t.changed = true
}

// RecordCompletion records that an endpoint has just completed a request with a signature.
func (t *Tracker) RecordCompletion(now time.Time, signature Trait) {
	t.completions[signature] = now
	if len(t.completions) > maxCompletions {
		expireHalf(t.completions)
	}
	if _, suspected := t.suspected[signature]; suspected {
		t.evaluate(now)
	}
}

// RecordAnswer records that an endpoint began to answer a request with the segments at a
// time, and went on with the answer.
func (t *Tracker) RecordAnswer(now, began time.Time, segments []Trait) {
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
func expireHalf(m map[Trait]time.Time) {
	times := slices.SortedFunc(maps.Values(m), time.Time.Compare)
	middle := times[len(times)/2]
	maps.DeleteFunc(m, func(_ Trait, at time.Time) bool { return !at.After(middle) })
}

// Merge records the report of another node.
func (t *Tracker) Merge(now time.Time, from Observer, r Report) {
	for _, h := range r.Holds {
		t.AddHold(now, h)
	}
	for _, c := range r.Crashes {
		t.addCrash(now, c, from)
	}
	for _, a := range r.Answers {
		if a.Began.After(t.peerAnswers[a.Trait]) {
			t.peerAnswers[a.Trait] = a.Began
			_, suspected := t.suspected[a.Trait]
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
	if !now.Before(h.Until) || !h.Until.After(t.holds[h.Trait]) {
		return
	}
	t.setHold(h.Trait, h.Until)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *Tracker) setHold(s Trait, until time.Time) {
	if _, known := t.holds[s]; !known {
		t.events = append(t.events, Event{Trait: s, Kind: EventHeld})
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
	maps.DeleteFunc(t.ended, func(_ Trait, at time.Time) bool { return now.Sub(at) > relapseTime })
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
	slices.SortStableFunc(out, func(a, b Event) int { return cmp.Compare(a.Trait, b.Trait) })
	return out
}

// Holds returns all holds, the longest first.
func (t *Tracker) Holds() []Hold {
	out := make([]Hold, 0, len(t.holds))
	for s, until := range t.holds {
		out = append(out, Hold{s, until})
	}
	slices.SortFunc(out, func(a, b Hold) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Trait, b.Trait)) })
	return out
}

// ownAnswer returns the latest answer of this node to a request with a trait; zero for none.
func (t *Tracker) ownAnswer(s Trait) time.Time {
	if at, ok := t.answers[s]; ok {
		return at
	}
	return t.completions[s]
}

// lastAnswer returns the latest known answer to a request with a trait; zero for none.
func (t *Tracker) lastAnswer(now time.Time, s Trait) time.Time {
	at := t.ownAnswer(s)
	if peer := t.peerAnswers[s]; peer.After(at) {
		at = peer
	}
	if now.Sub(at) > answerRetention {
		return time.Time{}
	}
	return at
}
