package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
)

// blockTokens is the number of prompt tokens in one block of the prefix cache.
const blockTokens = endpoint.BlockBytes / endpoint.BytesPerToken

// minDrainFraction is the minimum rate at which a backlog is assumed to shrink, as a
// fraction of the endpoint's prefill speed.
const minDrainFraction = 0.1

// peerActivity is the estimated number of requests that other nodes have sent to an
// endpoint since its load report, and of their requests that have ended since.
type peerActivity struct {
	requests float64
	ended    float64
}

// estimatePeers estimates the other nodes' requests at m. As they receive the same load
// reports, a fraction of their dispatches is assumed to follow this node's; the rest
// is spread evenly over the pool.
func (t *Table) estimatePeers(now time.Time, p *pool, m *member) peerActivity {
	n := t.nodesPerEndpoint(p) - 1
	l := &m.load
	if n <= 0 || l.at.IsZero() {
		return peerActivity{}
	}
	p.rate.decay(now)
	age := max(0, now.Sub(l.at).Seconds())
	same := t.opts.HerdCorrelation
	independent := (1 - same) * age / float64(max(1, p.subsetSize))
	peerRunning := n / (n + 1) * float64(l.report.Running)
	return peerActivity{
		requests: n * (same*float64(l.startedSince) + independent*p.rate.requests),
		ended:    peerRunning * min(1, age/p.serviceTime),
	}
}

// backlogTrend returns how the backlog of m changes, other nodes' dispatches included.
// The backlog always shrinks by at least minDrainFraction of the endpoint's speed: an
// estimate that only grew would exclude the endpoint until its next load report.
func (t *Table) backlogTrend(now time.Time, p *pool, m *member) backlogTrend {
	n := t.nodesPerEndpoint(p) - 1
	p.rate.decay(now)
	perSec := m.prefillPerSec(t.opts.PrefillPerSec)
	same := t.opts.HerdCorrelation
	peerTokens := n * (1 - same) * p.rate.tokens / float64(max(1, p.subsetSize))
	return backlogTrend{
		perSec:         max(perSec-peerTokens, minDrainFraction*perSec),
		dispatchFactor: 1 + n*same,
	}
}

// estimate returns the expected time to first token of r at m.
func (t *Table) estimate(now time.Time, p *pool, m *member, r Request) Estimate {
	perSec := m.prefillPerSec(t.opts.PrefillPerSec)
	wait := m.backlog(now, t.backlogTrend(now, p, m)) / perSec
	wait += t.slotWait(p, m, m.running(t.estimatePeers(now, p, m)))
	cached := t.cachedTokens(p, m, r)
	e := Estimate{
		Wait:         seconds(wait) + time.Duration(m.health.recentFaults(now))*t.opts.FaultPenalty,
		Prefill:      seconds(float64(r.PromptTokens-cached) / perSec),
		CachedTokens: cached,
	}
	if m.dc != t.opts.DataCentre {
		e.Network = t.opts.RemoteRoundTrip
	}
	return e
}

// slotWait returns the estimated seconds until a slot is free, plus the small delay
// caused by the requests already in the batch.
func (t *Table) slotWait(p *pool, m *member, running float64) float64 {
	slots := float64(m.slots(t.slots[m.service], t.opts.Concurrency))
	wait := running / slots * fullBatchDelay.Seconds()
	if running >= slots {
		wait += (running - slots + 1) * p.serviceTime / slots
	}
	return wait
}

// cachedTokens returns how many of the prompt's tokens m is expected to have cached.
// The last token is always computed.
func (t *Table) cachedTokens(p *pool, m *member, r Request) int {
	if len(r.Chain) == 0 {
		return 0
	}
	n, _ := p.index.match(r.Chain, 1<<m.slot)
	return max(0, min(n*blockTokens, r.PromptTokens-1))
}

// loadOf returns the estimated load of m as a fraction of its slots; above one,
// requests are queued.
func (t *Table) loadOf(now time.Time, p *pool, m *member) float64 {
	slots := float64(m.slots(t.slots[m.service], t.opts.Concurrency))
	return m.running(t.estimatePeers(now, p, m)) / slots
}

// poolLoad returns the mean load of the pool's usable endpoints that are not ejected,
// cached for meanLoadMaxAge.
func (t *Table) poolLoad(now time.Time, p *pool) float64 {
	if now.Sub(p.meanLoad.at) < meanLoadMaxAge {
		return p.meanLoad.value
	}
	sum, n := 0.0, 0
	for _, m := range p.subset {
		if m != nil && m.usable() && !m.health.ejected(now) {
			sum += t.loadOf(now, p, m)
			n++
		}
	}
	p.meanLoad = meanLoad{at: now, value: sum / float64(max(1, n))}
	return p.meanLoad.value
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
