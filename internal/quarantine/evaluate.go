package quarantine

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

// evidence are the crashes that count for a segment.
type evidence struct {
	crashes []Crash
	known   bool // a request with the segment was answered before these crashes
}

// evaluate decides anew which segments are suspected.
func (t *Tracker) evaluate(now time.Time) {
	t.changed = false
	t.crashes = slices.DeleteFunc(t.crashes, func(c knownCrash) bool { return now.Sub(c.At) > crashRetention })
	bySegment := t.evidence(now)
	heldAt := t.endpointsWith(func(s Segment) bool { _, ok := t.holds[s]; return ok })
	suspects := make(map[Segment]int) // number of crashed endpoints
	for s, e := range bySegment {
		_, relapsed := t.ended[s]
		if crashes := unexplained(e.crashes, heldAt); relapsed && len(crashes) > 0 || !e.known && isSuspect(crashes, newSegmentCrashes, manyCrashes) {
			suspects[s] = len(endpointsOf(crashes))
		}
	}
	// A segment that was answered before is suspected only for crashes that no new segment
	// explains: sound requests share all other segments of those that crash endpoints.
	explained := t.endpointsWith(func(s Segment) bool {
		_, held := t.holds[s]
		return held || suspects[s] > 0
	})
	for s, e := range bySegment {
		if crashes := unexplained(e.crashes, explained); e.known && isSuspect(crashes, knownSegmentCrashes, 0) {
			suspects[s] = len(endpointsOf(crashes))
		}
	}
	t.apply(now, suspects)
}

// apply changes the suspected segments to the given ones, with the number of crashed endpoints.
func (t *Tracker) apply(now time.Time, suspects map[Segment]int) {
	for s := range t.suspected {
		if suspects[s] == 0 {
			delete(t.suspected, s)
			t.events = append(t.events, Event{Segment: s, Kind: EventCleared})
		}
	}
	for s, crashes := range suspects {
		if _, known := t.suspected[s]; !known && !t.holds[s].After(now) {
			t.suspected[s] = now
			t.events = append(t.events, Event{Segment: s, Kind: EventSuspected, Crashes: crashes})
		}
	}
}

// settle holds the segments that have been suspected for settleTime, if all other nodes have
// reported since.
func (t *Tracker) settle(now time.Time) {
	for s, since := range t.suspected {
		if now.Sub(since) >= settleTime && t.heardSince.Sub(since) >= settleTime/2 {
			t.setHold(s, now.Add(HoldTime))
		}
	}
}

// evidence returns the crashes since the last answer, and since the end of the last hold, of
// all segments with two or more crashes, or with an earlier hold.
func (t *Tracker) evidence(now time.Time) map[Segment]evidence {
	count := make(map[Segment]int)
	for _, c := range t.crashes {
		for _, s := range c.Segments {
			count[s]++
		}
	}
	out := make(map[Segment]evidence)
	for _, c := range t.crashes {
		for _, s := range c.Segments {
			ended, relapsed := t.ended[s]
			if count[s] < 2 && !relapsed {
				continue
			}
			if last := t.lastAnswer(now, s); c.At.After(last) && c.At.After(ended) {
				e := out[s]
				e.known = !last.IsZero() || now.Sub(t.startedAt) < learningTime
				e.crashes = append(e.crashes, c.Crash)
				out[s] = e
			}
		}
	}
	return out
}

// endpointsWith returns the crashed endpoints at which a request with one of certain segments
// was.
func (t *Tracker) endpointsWith(includes func(Segment) bool) map[site.IncarnationHash]bool {
	out := make(map[site.IncarnationHash]bool)
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.Segments, includes) {
			out[c.Endpoint] = true
		}
	}
	return out
}

func unexplained(crashes []Crash, explained map[site.IncarnationHash]bool) []Crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return explained[c.Endpoint] })
}

func endpointsOf(crashes []Crash) map[site.IncarnationHash]bool {
	out := make(map[site.IncarnationHash]bool)
	for _, c := range crashes {
		out[c.Endpoint] = true
	}
	return out
}

// isSuspect reports whether there are enough crashes one after the other, or many crashed
// endpoints and two crashes one after the other. If many is zero, that does not apply.
func isSuspect(crashes []Crash, enough, many int) bool {
	if len(crashes) < 2 {
		return false
	}
	n := sequenceLength(crashes)
	return n >= enough || many > 0 && n >= 2 && len(endpointsOf(crashes)) >= many
}

// sequenceLength returns the largest number of the crashes that came one after the other: the
// request of each was dispatched after the crash before.
func sequenceLength(crashes []Crash) int {
	crashes = slices.Clone(crashes)
	slices.SortFunc(crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	n := 0
	var last time.Time
	for _, c := range crashes {
		if n == 0 || c.Dispatched.After(last.Add(clockTolerance)) {
			n, last = n+1, c.At
		}
	}
	return n
}
