package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
)

// blockTokens is the number of prompt tokens in one block of the prefix cache.
const blockTokens = endpoint.BlockBytes / endpoint.BytesPerToken

// minDrain is the least part of its speed by which a backlog is taken to fall.
const minDrain = 0.1

// arrivals are the requests that other nodes have likely sent to an endpoint since
// its report, and those of theirs that have likely ended.
type arrivals struct {
	requests float64
	ended    float64
}

// others estimates the other nodes' arrivals at m. They read the same reports, so
// a part of them chose as this node did; the rest spread evenly over the pool.
func (t *Table) others(now time.Time, p *pool, m *member) arrivals {
	n := t.sharers(p) - 1
	l := &m.load
	if n <= 0 || l.at.IsZero() {
		return arrivals{}
	}
	p.rate.decay(now)
	age := max(0, now.Sub(l.at).Seconds())
	same := t.opts.HerdCorrelation
	even := (1 - same) * age / float64(max(1, p.count))
	theirs := n / (n + 1) * float64(l.report.Running)
	return arrivals{
		requests: n * (same*float64(l.sinceCount) + even*p.rate.requests),
		ended:    theirs * min(1, age/p.serviceTime),
	}
}

// drift returns how the backlog of m changes, other nodes' dispatches included. It
// always falls by a part of the endpoint's speed, as an estimate that only grew
// would shut the endpoint out until its next report.
func (t *Table) drift(now time.Time, p *pool, m *member) drift {
	n := t.sharers(p) - 1
	p.rate.decay(now)
	perSec := m.prefillPerSec(t.opts.PrefillPerSec)
	same := t.opts.HerdCorrelation
	others := n * (1 - same) * p.rate.tokens / float64(max(1, p.count))
	return drift{
		perSec:      max(perSec-others, minDrain*perSec),
		perDispatch: 1 + n*same,
	}
}

// estimate returns the expected time to first token of r at m.
func (t *Table) estimate(now time.Time, p *pool, m *member, r Request) Estimate {
	perSec := m.prefillPerSec(t.opts.PrefillPerSec)
	wait := m.backlog(now, t.drift(now, p, m)) / perSec
	wait += t.slotWait(p, m, m.running(t.others(now, p, m)))
	cached := t.cachedTokens(p, m, r)
	e := Estimate{
		Wait:         seconds(wait) + time.Duration(m.health.penalty(now))*t.opts.FaultPenalty,
		Prefill:      seconds(float64(r.PromptTokens-cached) / perSec),
		CachedTokens: cached,
	}
	if m.dc != t.opts.DataCentre {
		e.Network = t.opts.RemoteRoundTrip
	}
	return e
}

// slotWait returns the seconds until a request gets a slot, and the small cost of
// a fuller batch.
func (t *Table) slotWait(p *pool, m *member, running float64) float64 {
	slots := float64(m.slots(t.slots[m.service], t.opts.Concurrency))
	wait := running / slots * slotCost.Seconds()
	if running >= slots {
		wait += (running - slots + 1) * p.serviceTime / slots
	}
	return wait
}

// cachedTokens returns how many of the prompt's tokens m is expected to hold. The
// last token is always computed.
func (t *Table) cachedTokens(p *pool, m *member, r Request) int {
	if len(r.Chain) == 0 {
		return 0
	}
	n, _ := p.index.match(r.Chain, 1<<m.slot)
	return max(0, min(n*blockTokens, r.PromptTokens-1))
}

// loadOf returns the estimated part of its slots that m has in use; above one it
// has a queue.
func (t *Table) loadOf(now time.Time, p *pool, m *member) float64 {
	slots := float64(m.slots(t.slots[m.service], t.opts.Concurrency))
	return m.running(t.others(now, p, m)) / slots
}

// mean returns the mean load of the pool's usable endpoints.
func (t *Table) mean(now time.Time, p *pool) float64 {
	if now.Sub(p.meanLoad.at) < meanLoadAge {
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
