package rollout

import (
	"math"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Arm names the requests of one route at one version of a service.
type Arm struct {
	Service ident.Service
	Version ident.Version
	Route   ident.RouteName
}

// Count is what became of an arm's requests. It only grows.
type Count struct {
	Requests, Faults uint64
	// LatencyMillis is the sum of the times to the beginning of the answers that came.
	LatencyMillis uint64 `json:"Millis"`
}

func (c Count) plus(o Count) Count {
	return Count{c.Requests + o.Requests, c.Faults + o.Faults, c.LatencyMillis + o.LatencyMillis}
}

// Evidence holds counts by arm.
type Evidence map[Arm]Count

// Add adds the counts of another evidence.
func (e Evidence) Add(o Evidence) {
	for a, c := range o {
		e[a] = e[a].plus(c)
	}
}

const (
	// minRequests is the least number of a version's requests on a route, or on all
	// routes, that is judged.
	minRequests = 8
	// minFaults is the least number of faults that is held against a version: two of a
	// few requests come about by chance, as the arms are compared again and again.
	minFaults = 4
	// faultExcess and faultSigma are how far the part of faults must pass the other
	// version's: by that much, and by that many standard deviations.
	faultExcess = 0.05
	faultSigma  = 4.0
	// minRate is the part of faults that any version is granted.
	minRate = 0.03
	// slowFactor is how many times slower a bad version is, and slowRequests the
	// least number of its answers that is judged by their time.
	slowFactor   = 2.0
	slowRequests = 15
)

// worse tells whether an arm is worse than the other version's.
func worse(target, base Count) bool {
	return failsMore(target, base) || slower(target, base)
}

func failsMore(target, base Count) bool {
	if target.Requests < minRequests || target.Faults < minFaults {
		return false
	}
	n := float64(target.Requests)
	// The rate of the base is taken to be at least that of one fault more.
	p := (float64(base.Faults) + 1) / (float64(base.Requests) + minRequests)
	p = min(max(p, minRate), 1)
	excess := float64(target.Faults)/n - p
	return excess > faultExcess && excess > faultSigma*math.Sqrt(p*(1-p)/n)
}

func slower(target, base Count) bool {
	good, baseGood := target.Requests-target.Faults, base.Requests-base.Faults
	if good < slowRequests || baseGood < slowRequests {
		return false
	}
	return float64(target.LatencyMillis)/float64(good) > slowFactor*float64(base.LatencyMillis)/float64(baseGood)
}
