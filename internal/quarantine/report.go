package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

const (
	// reportedCrashAge is how long a node reports a crash: all nodes that can be reached
	// have received it by then.
	reportedCrashAge = 30 * time.Second
	// Largest numbers of entries in a report: those of all nodes together, and those of a
	// node in a small and in a large deployment.
	fleetCrashes, maxReportedCrashes, minReportedCrashes = 64 * maxCrashSize, 6 * maxCrashSize, maxCrashSize * 5 / 4
	fleetAnswers, maxReportedAnswers, minReportedAnswers = 256, 24, 3
	fleetHolds, maxReportedHolds, minReportedHolds       = 256, 12, 2
)

const (
	// The size of a crash in a report, in entries: its segments, and crashOverhead for the rest.
	crashOverhead = 3
	maxCrashSize  = crashOverhead + maxSegments
	// answeringFraction is the divisor of the size of a report that gives the part reserved
	// for crashes of endpoints that were answering.
	answeringFraction = 5
	// sameTime is the time within which crashes have the same rank in a report.
	sameTime = 3 * time.Second
)

// share returns a node's share of a number of entries, within limits.
func share(total, nodes, most, least int) int {
	return max(min(total/max(nodes, 1), most), least)
}

// Report returns what this node sends to the others. Its size is bounded by the number of
// nodes, so that the reports of all nodes together stay small.
func (t *Tracker) Report(now time.Time, nodes int) Report {
	r := Report{Crashes: t.reportedCrashes(now, share(fleetCrashes, nodes, maxReportedCrashes, minReportedCrashes))}
	r.Answers = t.reportedAnswers(now, share(fleetAnswers, nodes, maxReportedAnswers, minReportedAnswers))
	r.Holds = t.Holds()
	r.Holds = r.Holds[:min(len(r.Holds), share(fleetHolds, nodes, maxReportedHolds, minReportedHolds))]
	return r
}

// reportedCrashes returns this node's recent crashes, up to a size. A part of it is reserved for
// crashes of endpoints that were answering: many streams break off at one crash.
func (t *Tracker) reportedCrashes(now time.Time, size int) []Crash {
	var atStart, answering []Crash
	for _, c := range t.crashes {
		switch {
		case c.observer != self || now.Sub(c.At) > reportedCrashAge:
		case c.Answering:
			answering = append(answering, c.Crash)
		default:
			atStart = append(atStart, c.Crash)
		}
	}
	if len(atStart)+len(answering) == 0 {
		return nil
	}
	count := t.crashCounts(now, crashRetention)
	out, left := appendCrashes(nil, atStart, size-size/answeringFraction, count)
	out, _ = appendCrashes(out, answering, size/answeringFraction+left, count)
	return out
}

// appendCrashes appends crashes up to a size: the most recent first, and among those of about the
// same time the ones whose signature is at the most crashes. It returns the size that is left.
func appendCrashes(out, crashes []Crash, size int, count map[Trait]int) (reported []Crash, left int) {
	slices.SortFunc(crashes, func(a, b Crash) int {
		return cmp.Or(b.At.Truncate(sameTime).Compare(a.At.Truncate(sameTime)), cmp.Compare(count[b.Signature], count[a.Signature]),
			b.At.Compare(a.At), cmp.Compare(a.Signature, b.Signature))
	})
	for _, c := range crashes {
		if entries := crashOverhead + len(c.Segments); entries <= size {
			out, size = append(out, c), size-entries
		}
	}
	return out, size
}

// reportedAnswers returns this node's answers to requests with the traits of recent
// crashes: first those that came after all crashes of their trait, and that no other node has
// reported, then those of which no other node has reported any. The others are repeated, in an
// order that changes and differs between nodes, as nodes that start know none.
func (t *Tracker) reportedAnswers(now time.Time, limit int) []Answer {
	if len(t.crashes) == 0 {
		return nil
	}
	crashes := t.crashCounts(now, reportedCrashAge)
	lastCrash := make(map[Trait]time.Time)
	for _, c := range t.crashes {
		for s := range c.traits {
			lastCrash[s] = maxTime(lastCrash[s], c.At)
		}
	}
	rank := func(a Answer) int {
		peer, known := t.peerAnswers[a.Trait]
		last := lastCrash[a.Trait]
		switch {
		case a.Began.After(last) && !peer.After(last):
			return 0
		case !known:
			return 1
		default:
			return 2
		}
	}
	t.reports++
	order := func(s Trait) uint64 {
		return rendezvous.Mix(uint64(s) ^ uint64(t.startedAt.UnixNano()) ^ rendezvous.Mix(t.reports))
	}
	var out []Answer
	for s := range crashes {
		if began := t.ownAnswer(s); now.Sub(began) <= answerRetention {
			out = append(out, Answer{s, began})
		}
	}
	slices.SortFunc(out, func(a, b Answer) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(order(a.Trait), order(b.Trait)))
	})
	return out[:min(len(out), limit)]
}
