package placement

import (
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/performance"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

// StatesPace records that an endpoint states how fast its host is. From then on its service's
// endpoints count as uneven, and their speeds are learned. The stated value is not used: it changes
// many times a second, is old when it arrives, and all nodes would act on it alike.
func (t *Table) StatesPace(id ident.EndpointID) {
	if m := t.members[id]; m != nil && !t.opts.IgnoreSpeed {
		t.service(m.Service).statesPace = true
	}
}

// slowness returns how long work takes at an endpoint, as a multiple of the usual time.
func (t *Table) slowness(now time.Time, s *service, m *member) float64 {
	if !s.statesPace {
		return 1
	}
	return t.estimates.Slowness(now, speedKey(m))
}

func speedKey(m *member) performance.Endpoint { return performance.Endpoint(m.incarnation) }

// Streamed records the mean time between the events of an attempt's stream, before the attempt has
// finished. It shows the speed of an engine better than the time to the first event, which is
// mostly a wait behind requests of other nodes.
func (t *Table) Streamed(now time.Time, id ident.AttemptID, gap time.Duration) {
	a := t.attempts[id]
	if a == nil || gap <= 0 {
		return
	}
	s := t.service(a.member.Service)
	if !s.statesPace {
		return
	}
	log := math.Log(gap.Seconds())
	if !s.measured {
		s.gapLog, s.measured = log, true
	}
	t.estimates.Observe(now, performance.Measurement{Endpoint: speedKey(a.member), Ratio: math.Exp(log - s.gapLog)})
	s.gapLog = performance.Quantile(s.gapLog, log)
}

// SpeedReport returns this node's recent measurements, for the other nodes.
func (t *Table) SpeedReport(now time.Time) performance.Report { return t.estimates.Report(now) }

// MergeSpeeds records the measurements of another node.
func (t *Table) MergeSpeeds(now time.Time, from quota.NodeIncarnation, r performance.Report) {
	t.estimates.Merge(now, from, r)
}

// Uneven returns the slowness of each endpoint whose speed differs from the usual one by a factor
// of at least threshold, in either direction.
func (t *Table) Uneven(now time.Time, threshold float64) map[ident.EndpointID]float64 {
	out := make(map[ident.EndpointID]float64)
	for _, s := range t.services {
		for _, m := range s.members {
			if x := t.slowness(now, s, m); x >= threshold || x <= 1/threshold {
				out[m.ID] = x
			}
		}
	}
	return out
}
