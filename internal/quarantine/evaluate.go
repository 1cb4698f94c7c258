package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

// endpointSet is a set of endpoints.
type endpointSet map[site.IncarnationHash]bool

// evidence are the crashes that count for a trait.
type evidence struct {
	crashes []knownCrash
	known   bool // a request with the segment was answered before these crashes
	// signature reports whether the trait is the signature of a request.
	signature bool
}

// enough returns how many crashes one after the other make the trait suspected.
func (e evidence) enough() int {
	if e.known {
		return knownSegmentCrashes
	}
	return newTraitCrashes
}

// early returns the crashes at which the endpoint had at most begun to answer.
func early(crashes []knownCrash) []knownCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c knownCrash) bool { return c.Answering })
}

// evaluate decides anew which traits are suspected.
func (t *Tracker) evaluate(now time.Time) {
	t.changed = false
	t.crashes = slices.DeleteFunc(t.crashes, func(c knownCrash) bool {
		expired := now.Sub(c.At) > crashRetention
		if expired {
			delete(t.crashKeys, c.key())
		}
		return expired
	})
	byTrait := t.evidence(now)
	heldAt := t.endpointsWith(func(s Trait) bool { _, ok := t.holds[s]; return ok })
	crashTimes := t.crashTimes(heldAt)
	suspects := make(map[Trait]endpointSet) // the crashed endpoints that count for each
	for s, e := range byTrait {
		_, relapsed := t.ended[s]
		crashes := early(unexplained(e.crashes, heldAt))
		if relapsed && len(crashes) > 0 || !e.known && isSuspect(crashes, e.signature, newTraitCrashes, manyCrashes) && (!e.signature || dominates(crashes, crashTimes)) {
			suspects[s] = endpointsOf(crashes)
		}
	}
	// Weaker evidence counts only for crashes that no other suspect explains: sound requests
	// share all other segments of those that crash endpoints, and a stream that is resumed
	// after each crash is at the next one, too.
	explained := t.endpointsWith(func(s Trait) bool {
		_, held := t.holds[s]
		return held || len(suspects[s]) > 0
	})
	crashTimes = t.crashTimes(explained)
	for s, e := range byTrait {
		if crashes := unexplained(e.crashes, explained); len(suspects[s]) == 0 && isSuspect(crashes, e.signature, e.enough(), 0) && (!e.signature || dominates(crashes, crashTimes)) {
			suspects[s] = endpointsOf(crashes)
		}
	}
	t.apply(now, suspects, t.segmentsThatCover(byTrait, suspects))
}

// segmentsThatCover returns, for each signature among the suspects, the segments at whose crashes it
// was: they may have caused these, also where they are not suspected yet. Different requests may have
// one signature and other segments. A repeat of the request that the signature stands for has all of
// these segments.
func (t *Tracker) segmentsThatCover(byTrait map[Trait]evidence, suspects map[Trait]endpointSet) map[Trait][]Trait {
	out := make(map[Trait][]Trait)
	for s, own := range suspects {
		if !byTrait[s].signature {
			continue
		}
		for other, e := range byTrait {
			if !e.signature && covers(endpointsOf(e.crashes), own) {
				out[s] = append(out[s], other)
			}
		}
	}
	return out
}

// covers reports whether a set contains all endpoints of another one.
func covers(all, some endpointSet) bool {
	for e := range some {
		if !all[e] {
			return false
		}
	}
	return true
}

// apply changes the suspected traits to the given ones, with the crashed endpoints that count for
// them, and with the segments that may be the cause instead of a signature.
func (t *Tracker) apply(now time.Time, suspects map[Trait]endpointSet, covering map[Trait][]Trait) {
	t.alternatives = alternatives(suspects)
	for s, segments := range covering {
		for _, other := range segments {
			if !slices.Contains(t.alternatives[s], other) {
				t.alternatives[s] = append(t.alternatives[s], other)
			}
		}
	}
	for s := range t.suspected {
		if len(suspects[s]) == 0 {
			delete(t.suspected, s)
			t.events = append(t.events, Event{Trait: s, Kind: EventCleared})
		}
	}
	for s, endpoints := range suspects {
		if _, known := t.suspected[s]; !known && !t.holds[s].After(now) {
			t.suspected[s] = now
			t.events = append(t.events, Event{Trait: s, Kind: EventSuspected, Crashes: len(endpoints), Alternatives: len(t.alternatives[s])})
		}
	}
}

// alternatives returns, for each of several suspects, those that the crashes can't distinguish from
// it: nearly the same ones count for them.
func alternatives(suspects map[Trait]endpointSet) map[Trait][]Trait {
	out := make(map[Trait][]Trait)
	for s, own := range suspects {
		for other, endpoints := range suspects {
			if other != s && sameEvidence(own, endpoints) {
				out[s] = append(out[s], other)
			}
		}
	}
	return out
}

// sameEvidence reports whether the endpoints that count for two suspects are the same, up to one
// that has crashed for another reason.
func sameEvidence(a, b endpointSet) bool {
	common := 0
	for e := range a {
		if b[e] {
			common++
		}
	}
	most := max(len(a), len(b))
	return common == most || common >= 2 && common == most-1
}

// mostSpecific reports whether a suspect is the one of its alternatives that the fewest requests
// have: a signature, or the segment that comes last in prompts.
func (t *Tracker) mostSpecific(s Trait) bool {
	position := make(map[Trait]int)
	for _, c := range t.crashes {
		for i, segment := range c.Segments {
			position[segment] = max(position[segment], i)
		}
		position[c.Signature] = maxSegments
	}
	return !slices.ContainsFunc(t.alternatives[s], func(other Trait) bool {
		return cmp.Or(cmp.Compare(position[other], position[s]), cmp.Compare(other, s)) > 0
	})
}

// settle holds the traits that have been suspected for settleTime, if all other nodes have
// reported since. Of suspects that can't be distinguished, it holds the most specific one, later: until
// then, answers to requests with some of them may still distinguish them.
func (t *Tracker) settle(now time.Time) {
	for s, since := range t.suspected {
		wait := settleTime
		if len(t.alternatives[s]) > 0 {
			if !t.mostSpecific(s) {
				continue
			}
			wait = sharedSettleTime
		}
		if now.Sub(since) >= wait && t.heardSince.Sub(since) >= settleTime/2 {
			t.setHold(s, now.Add(HoldTime))
		}
	}
}

// evidence returns the crashes since the last answer, and since the end of the last hold, of
// all traits with two or more crashes, or with an earlier hold.
func (t *Tracker) evidence(now time.Time) map[Trait]evidence {
	count := t.crashCounts(now, crashRetention)
	out := make(map[Trait]evidence)
	for _, c := range t.crashes {
		for s := range c.traits {
			ended, relapsed := t.ended[s]
			if count[s] < 2 && !relapsed {
				continue
			}
			if last := t.lastAnswer(now, s); c.At.After(last) && c.At.After(ended) {
				e := out[s]
				e.signature = s == c.Signature
				e.known = !e.signature && (!last.IsZero() || now.Sub(t.startedAt) < learningTime)
				e.crashes = append(e.crashes, c)
				out[s] = e
			}
		}
	}
	return out
}

// crashCounts returns the number of crashes at most age ago by trait.
func (t *Tracker) crashCounts(now time.Time, age time.Duration) map[Trait]int {
	out := make(map[Trait]int)
	for _, c := range t.crashes {
		if now.Sub(c.At) <= age {
			for s := range c.traits {
				out[s]++
			}
		}
	}
	return out
}

// crashTimes returns when the endpoints crashed whose crash is not explained, in order.
func (t *Tracker) crashTimes(explained endpointSet) []time.Time {
	first := make(map[site.IncarnationHash]time.Time)
	for _, c := range t.crashes {
		if at, ok := first[c.Endpoint]; !explained[c.Endpoint] && (!ok || c.At.Before(at)) {
			first[c.Endpoint] = c.At
		}
	}
	return slices.SortedFunc(maps.Values(first), time.Time.Compare)
}

// dominates reports whether the crashes of a request are a large part of all from the first to
// the last of them, or many. Where endpoints keep crashing for other reasons, a sound request
// that comes often meets some crashes in turn.
func dominates(crashes []knownCrash, all []time.Time) bool {
	n := len(endpointsOf(crashes))
	if n >= manyCrashes {
		return true
	}
	from, to := crashes[0].At, crashes[0].At
	for _, c := range crashes {
		from, to = minTime(from, c.At), maxTime(to, c.At)
	}
	begin, _ := slices.BinarySearchFunc(all, from.Add(-clockTolerance), time.Time.Compare)
	end, _ := slices.BinarySearchFunc(all, to.Add(clockTolerance), time.Time.Compare)
	if n <= newTraitCrashes {
		return end-begin <= n+1
	}
	return end-begin <= 2*n
}

// endpointsWith returns the crashed endpoints at which a request with one of certain traits
// was.
func (t *Tracker) endpointsWith(includes func(Trait) bool) endpointSet {
	out := make(endpointSet)
	for _, c := range t.crashes {
		for s := range c.traits {
			if includes(s) {
				out[c.Endpoint] = true
			}
		}
	}
	return out
}

func unexplained(crashes []knownCrash, explained endpointSet) []knownCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c knownCrash) bool { return explained[c.Endpoint] })
}

func endpointsOf(crashes []knownCrash) endpointSet {
	out := make(endpointSet)
	for _, c := range crashes {
		out[c.Endpoint] = true
	}
	return out
}

// isSuspect reports whether there are enough crashes one after the other, or many crashed
// endpoints and two crashes one after the other. If many is zero, that does not apply.
func isSuspect(crashes []knownCrash, sameRequest bool, enough, many int) bool {
	if len(crashes) < 2 {
		return false
	}
	n := sequenceLength(crashes, sameRequest)
	return n >= enough || many > 0 && n >= 2 && len(endpointsOf(crashes)) >= many
}

// sequenceLength returns the largest number of the crashes that came one after the other: the
// request of each was dispatched after the crash before. The clocks of different nodes may
// disagree on that. One node's order is certain for the repeats of one request; other requests
// with a segment may have been under way when an endpoint crashed, and met the next crash of the
// same wave.
func sequenceLength(crashes []knownCrash, sameRequest bool) int {
	crashes = slices.Clone(crashes)
	slices.SortFunc(crashes, func(a, b knownCrash) int { return a.At.Compare(b.At) })
	n := 0
	var last knownCrash
	for _, c := range crashes {
		after := last.At
		if !sameRequest || c.observer != last.observer {
			after = after.Add(clockTolerance)
		}
		if n == 0 || !c.Dispatched.Before(after) {
			n, last = n+1, c
		}
	}
	return n
}
