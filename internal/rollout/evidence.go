package rollout

import (
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Arm identifies the requests of one route that one version of a service handled.
type Arm struct {
	Service ident.Service
	Version ident.Version
	Route   ident.RouteName
}

// Count contains the results of an arm's requests. It only grows.
type Count struct {
	Requests, Faults uint64
	// LatencyMillis is the sum of the times to the start of the response, in milliseconds,
	// over the requests without a fault.
	LatencyMillis uint64 `json:"Millis"`
	// Streams is the number of streams with two events or more, Gaps that of the gaps between
	// their events, and GapMillis the sum of these gaps, in milliseconds. Streams that did not
	// end are included.
	Streams   uint64 `json:",omitempty"`
	Gaps      uint64 `json:",omitempty"`
	GapMillis uint64 `json:",omitempty"`
}

func (c Count) plus(o Count) Count {
	return Count{
		Requests: c.Requests + o.Requests, Faults: c.Faults + o.Faults, LatencyMillis: c.LatencyMillis + o.LatencyMillis,
		Streams: c.Streams + o.Streams, Gaps: c.Gaps + o.Gaps, GapMillis: c.GapMillis + o.GapMillis,
	}
}

// Result describes how an attempt ended.
type Result struct {
	// Counts is set if the end is evidence about the version, and Fault if it was a fault.
	// An attempt that its caller has cancelled counts only by its events.
	Counts, Fault bool
	// Latency is the time to the start of the response; it is ignored for a fault.
	Latency time.Duration
	// Events is the number of events of a stream, and Streaming the time from the first to
	// the last one.
	Events    int
	Streaming time.Duration
}

// count returns the count of one result.
func (r Result) count() Count {
	var c Count
	if r.Counts {
		c.Requests = 1
		if r.Fault {
			c.Faults = 1
		} else {
			c.LatencyMillis = uint64(r.Latency.Milliseconds())
		}
	}
	if r.Events >= 2 {
		c.Streams, c.Gaps, c.GapMillis = 1, uint64(r.Events-1), uint64(r.Streaming.Milliseconds())
	}
	return c
}

// Evidence contains counts by arm.
type Evidence map[Arm]Count

// Add adds the counts of o.
func (e Evidence) Add(o Evidence) {
	for a, c := range o {
		e[a] = e[a].plus(c)
	}
}

const (
	// minRequests is the minimum number of a version's requests, on a route or on all
	// routes together, for a comparison of fault rates.
	minRequests = 8
	// minFaults is the minimum number of faults that count against a version: two faults
	// in a few requests occur by chance, as the arms are compared repeatedly.
	minFaults = 4
	// minFaultExcess and minFaultDeviations are how far the fault rate must exceed that of
	// the other versions, as an absolute difference and in standard deviations.
	minFaultExcess     = 0.05
	minFaultDeviations = 4.0
	// minFaultRate is the lowest fault rate assumed for the other versions, so that any
	// version may have it.
	minFaultRate = 0.03
	// slowFactor is the ratio of mean latencies, or of mean gaps between events, above which a
	// version is bad, and minLatencySamples the minimum number of responses or streams of each
	// side for this comparison.
	slowFactor        = 2.0
	minLatencySamples = 15
)

// isWorse reports whether the target has significantly more faults than the base, or is
// much slower.
func isWorse(target, base Count) bool {
	return hasMoreFaults(target, base) || isSlower(target, base)
}

func hasMoreFaults(target, base Count) bool {
	if target.Requests < minRequests || target.Faults < minFaults {
		return false
	}
	n := float64(target.Requests)
	// One fault and minRequests requests are added to the base, so that a small base does
	// not count as free of faults.
	p := (float64(base.Faults) + 1) / (float64(base.Requests) + minRequests)
	p = min(max(p, minFaultRate), 1)
	excess := float64(target.Faults)/n - p
	return excess > minFaultExcess && excess > minFaultDeviations*math.Sqrt(p*(1-p)/n)
}

// isSlower reports whether the target's responses begin much later, or the events of its streams
// come much more slowly. A version whose engines have little load may begin in time and still
// be several times slower.
func isSlower(target, base Count) bool {
	var p pace
	p.add(target, base)
	return p.isSlow()
}

// pace compares the times of a target with those that its requests would have had at the base.
type pace struct {
	responses, streams   uint64
	latency, baseLatency float64 // milliseconds
	gaps, baseGaps       float64 // milliseconds
}

// add adds the requests of a route, if the base has enough of them.
func (p *pace) add(target, base Count) {
	succeeded, baseSucceeded := target.Requests-target.Faults, base.Requests-base.Faults
	if baseSucceeded >= minLatencySamples {
		p.responses += succeeded
		p.latency += float64(target.LatencyMillis)
		p.baseLatency += float64(succeeded) * float64(base.LatencyMillis) / float64(baseSucceeded)
	}
	if base.Streams >= minLatencySamples && base.Gaps > 0 {
		p.streams += target.Streams
		p.gaps += float64(target.GapMillis)
		p.baseGaps += float64(target.Gaps) * float64(base.GapMillis) / float64(base.Gaps)
	}
}

func (p *pace) isSlow() bool {
	return p.responses >= minLatencySamples && p.latency > slowFactor*p.baseLatency ||
		p.streams >= minLatencySamples && p.gaps > slowFactor*p.baseGaps
}
