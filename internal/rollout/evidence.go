package rollout

import (
	"math"

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
}

func (c Count) plus(o Count) Count {
	return Count{c.Requests + o.Requests, c.Faults + o.Faults, c.LatencyMillis + o.LatencyMillis}
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
	// slowFactor is the ratio of mean latencies above which a version is bad, and
	// minLatencySamples the minimum number of responses of each side for this comparison.
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

func isSlower(target, base Count) bool {
	succeeded, baseSucceeded := target.Requests-target.Faults, base.Requests-base.Faults
	if succeeded < minLatencySamples || baseSucceeded < minLatencySamples {
		return false
	}
	return float64(target.LatencyMillis)/float64(succeeded) > slowFactor*float64(base.LatencyMillis)/float64(baseSucceeded)
}
