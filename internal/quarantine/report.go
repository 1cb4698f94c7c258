package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportedCrashAge is how long a node reports a crash: all nodes that can be reached
	// have received it by then.
	reportedCrashAge = 30 * time.Second
	// Largest numbers of entries in a report: those of all nodes together, and those of a
	// node in a small and in a large deployment.
	fleetCrashes, maxReportedCrashes, minReportedCrashes = 64, 6, 1
	fleetAnswers, maxReportedAnswers, minReportedAnswers = 256, 24, 3
	fleetHolds, maxReportedHolds, minReportedHolds       = 256, 12, 2
)

// share returns a node's share of a number of entries, within limits.
func share(total, nodes, most, least int) int {
	return max(min(total/max(nodes, 1), most), least)
}

// Report returns what this node sends to the others. Its size is bounded by the number of
// nodes, so that the reports of all nodes together stay small.
func (t *Tracker) Report(now time.Time, nodes int) Report {
	var r Report
	for i := len(t.crashes) - 1; i >= 0 && len(r.Crashes) < share(fleetCrashes, nodes, maxReportedCrashes, minReportedCrashes); i-- {
		if c := t.crashes[i]; c.own && now.Sub(c.At) <= reportedCrashAge {
			r.Crashes = append(r.Crashes, c.Crash)
		}
	}
	r.Answers = t.reportedAnswers(now, share(fleetAnswers, nodes, maxReportedAnswers, minReportedAnswers))
	r.Holds = t.Holds()
	r.Holds = r.Holds[:min(len(r.Holds), share(fleetHolds, nodes, maxReportedHolds, minReportedHolds))]
	return r
}

// reportedAnswers returns this node's answers to requests with the segments of recent
// crashes: first those that no other node has reported, then those with the most crashes. The
// others are repeated, as nodes that start know none.
func (t *Tracker) reportedAnswers(now time.Time, limit int) []Answer {
	if len(t.crashes) == 0 {
		return nil
	}
	crashes := make(map[Segment]int)
	for _, c := range t.crashes {
		if now.Sub(c.At) <= reportedCrashAge {
			for _, s := range c.Segments {
				crashes[s]++
			}
		}
	}
	var out []Answer
	for s := range crashes {
		if began, ok := t.answers[s]; ok && now.Sub(began) <= answerRetention {
			out = append(out, Answer{s, began})
		}
	}
	slices.SortFunc(out, func(a, b Answer) int {
		_, aKnown := t.peerAnswers[a.Segment]
		_, bKnown := t.peerAnswers[b.Segment]
		if aKnown != bKnown {
			return map[bool]int{false: -1, true: 1}[aKnown]
		}
		return cmp.Or(cmp.Compare(crashes[b.Segment], crashes[a.Segment]), cmp.Compare(a.Segment, b.Segment))
	})
	return out[:min(len(out), limit)]
}
