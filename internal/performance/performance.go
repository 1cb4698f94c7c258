// Package performance estimates how fast each endpoint of a service works, compared with the
// service as a whole.
//
// The estimate is the slowness of an endpoint: the time between the events of its streams, as a
// multiple of what is usual for the service. All nodes share their measurements, since with many
// nodes each sends an endpoint one request in some seconds.
//
// Pattern: uneven endpoints. Endpoints differ in speed, some slow down long before they are full,
// and neighbours on their hosts slow them for a time. Fixed weights fit none of that.
//
// Estimates is a deterministic state machine. A single measurement, or a wrong one, moves an
// estimate by a bounded factor. Without measurements an estimate returns to neutral, so that an
// endpoint that has recovered is asked again. A new incarnation starts neutral.
package performance

import (
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/quota"
)

const (
	// quantile is the part of the measurements that are below an estimate: the others include
	// pauses for the prompts of other requests.
	quantile = 0.25
	// step is how far one measurement moves the logarithm of an estimate at most.
	step = 0.2
	// deadBand is the logarithm up to which an estimate counts as neutral. All nodes learn the same:
	// without it all would turn to the endpoint that seems a little faster.
	deadBand = 0.25
	// maxSlowness bounds an estimate in both directions.
	maxSlowness = 4
	// memory is the time in which an estimate without measurements returns most of the way to
	// neutral.
	memory = 15 * time.Second
	// reportTime is how long a node reports a measurement, which is several rounds of exchanges,
	// and maxReported the number of those that it reports at once.
	reportTime  = 2 * time.Second
	maxReported = 48
	// maxEndpoints bounds the estimates; retention is how long one is kept.
	maxEndpoints = 1 << 14
	retention    = time.Minute
)

// Endpoint identifies an incarnation of an endpoint between nodes.
type Endpoint uint32

// Measurement is the pace of a stream of an endpoint, as a multiple of the usual time between
// two events.
type Measurement struct {
	Endpoint Endpoint
	Ratio    float64
}

// Report contains the recent measurements of one node, in order.
type Report struct {
	// First is the number of the first measurement among all of the node's incarnation, from 1.
	First        uint64
	Measurements []Measurement
}

// Estimates are the estimates of a node. They are not safe for concurrent use.
type Estimates struct {
	estimates map[Endpoint]*estimate
	own       []ownMeasurement
	next      uint64                           // number of the next own measurement
	seen      map[quota.NodeIncarnation]uint64 // number of the next measurement of each other node
}

type ownMeasurement struct {
	Measurement
	at time.Time
}

// estimate is the logarithm of an endpoint's slowness.
type estimate struct {
	log     float64
	updated time.Time
}

// Quantile moves a logarithm towards the quantile of the measurements that it is compared with.
func Quantile(log, measured float64) float64 {
	if measured > log {
		return log + min(step*quantile, measured-log)
	}
	return log - min(step*(1-quantile), log-measured)
}

// New returns estimates that are all neutral.
func New() *Estimates {
	return &Estimates{estimates: make(map[Endpoint]*estimate), next: 1, seen: make(map[quota.NodeIncarnation]uint64)}
}

// Observe records a measurement of this node.
func (e *Estimates) Observe(now time.Time, m Measurement) {
	if !e.add(now, m) {
		return
	}
	e.own = append(e.own, ownMeasurement{m, now})
	e.next++
	e.dropReported(now)
}

// dropReported drops own measurements that need not be reported any more.
func (e *Estimates) dropReported(now time.Time) {
	drop := max(len(e.own)-maxReported, 0)
	for drop < len(e.own) && now.Sub(e.own[drop].at) > reportTime {
		drop++
	}
	e.own = e.own[drop:]
}

// Report returns this node's recent measurements, for the other nodes.
func (e *Estimates) Report(now time.Time) Report {
	e.dropReported(now)
	r := Report{First: e.next - uint64(len(e.own))}
	for _, m := range e.own {
		r.Measurements = append(r.Measurements, m.Measurement)
	}
	return r
}

// Merge records those measurements of another node that are new.
func (e *Estimates) Merge(now time.Time, from quota.NodeIncarnation, r Report) {
	if len(r.Measurements) == 0 || len(r.Measurements) > maxReported {
		return
	}
	next := e.seen[from]
	for i, m := range r.Measurements {
		if r.First+uint64(i) >= next {
			e.add(now, m)
		}
	}
	if len(e.seen) >= maxEndpoints {
		clear(e.seen) // nodes come and go; some measurements count twice then
	}
	e.seen[from] = max(next, r.First+uint64(len(r.Measurements)))
}

// add adds a measurement to the estimate of its endpoint.
func (e *Estimates) add(now time.Time, m Measurement) bool {
	if !(m.Ratio > 0) || math.IsInf(m.Ratio, 0) {
		return false
	}
	est := e.estimates[m.Endpoint]
	if est == nil {
		if len(e.estimates) >= maxEndpoints {
			e.expire(now)
		}
		est = &estimate{updated: now}
		e.estimates[m.Endpoint] = est
	}
	est.log, est.updated = Quantile(est.at(now), math.Log(m.Ratio)), now
	return true
}

// at returns the logarithm at a time: it returns to neutral without measurements.
func (e *estimate) at(now time.Time) float64 {
	return e.log * math.Exp(-max(now.Sub(e.updated).Seconds(), 0)/memory.Seconds())
}

// expire drops estimates without recent measurements, or all if there are none.
func (e *Estimates) expire(now time.Time) {
	for endpoint, est := range e.estimates {
		if now.Sub(est.updated) > retention {
			delete(e.estimates, endpoint)
		}
	}
	if len(e.estimates) >= maxEndpoints {
		clear(e.estimates)
	}
}

// Slowness returns how long work takes at an endpoint, as a multiple of the usual time; 1 if
// nothing is known of it.
func (e *Estimates) Slowness(now time.Time, endpoint Endpoint) float64 {
	est := e.estimates[endpoint]
	if est == nil {
		return 1
	}
	log := est.at(now)
	if math.Abs(log) <= deadBand {
		return 1
	}
	return min(max(math.Exp(log-math.Copysign(deadBand, log)), 1.0/maxSlowness), maxSlowness)
}
