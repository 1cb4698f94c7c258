package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Dispatched records that an attempt was sent. The prompt's blocks are assumed to be
// cached at the endpoint from now on.
func (t *Table) Dispatched(now time.Time, d Dispatch) {
	m := t.endpoints[d.Endpoint]
	if m == nil || t.attempts[d.Attempt] != nil {
		return
	}
	a := &inflightAttempt{
		id:             d.Attempt,
		m:              m,
		at:             now,
		uncachedTokens: float64(max(0, d.PromptTokens-d.CachedTokens)),
	}
	t.attempts[d.Attempt] = a
	p := t.poolOf(m)
	m.dispatched(a, t.backlogTrend(now, p, m))
	p.rate.add(now, a.uncachedTokens)
	if m.slot == noSlot {
		return
	}
	p.index.rotate(now)
	for _, b := range d.Chain {
		p.index.add(b, m.slot)
	}
}

// Finished records that an attempt has ended. A second call for the same attempt has
// no effect.
func (t *Table) Finished(now time.Time, f Finish) {
	a := t.attempts[f.Attempt]
	if a == nil {
		return
	}
	delete(t.attempts, f.Attempt)
	m := a.m
	m.finished(a)
	t.recordOutcome(now, m, f.Outcome)
	if f.Outcome == OutcomeOK {
		p := t.poolOf(m)
		p.serviceTime += serviceTimeGain * (now.Sub(a.at).Seconds() - p.serviceTime)
	}
	if !m.listed && len(m.inflight) == 0 && t.endpoints[m.id] == m {
		t.remove(m)
	}
}

// CacheEvents applies an endpoint's cache events to the prefix index. Events with an
// already processed sequence number are dropped; missing sequence numbers count as a
// gap.
func (t *Table) CacheEvents(now time.Time, id ident.EndpointID, evs endpoint.CacheEvents) {
	m := t.endpoints[id]
	if m == nil || m.slot == noSlot {
		return
	}
	x := t.poolOf(m).index
	x.rotate(now)
	if evs.Gap {
		x.handleGap(m.slot)
	}
	for i, e := range evs.Events {
		last := x.lastSeq[m.slot]
		if e.Seq <= last {
			x.staleEvents++
			continue
		}
		jump := last != 0 && e.Seq != last+1
		if jump && (i > 0 || !evs.Gap) {
			x.handleGap(m.slot)
		}
		x.lastSeq[m.slot] = e.Seq
		if e.Added {
			x.add(e.Block, m.slot)
		} else {
			x.remove(e.Block, m.slot)
		}
	}
}

// InFlight returns the attempts in flight on an endpoint, oldest first.
func (t *Table) InFlight(id ident.EndpointID) []RunningAttempt {
	m := t.endpoints[id]
	if m == nil {
		return nil
	}
	out := make([]RunningAttempt, 0, len(m.inflight))
	for _, a := range m.inflight {
		out = append(out, RunningAttempt{Attempt: a.id, Endpoint: id, Since: a.at})
	}
	return out
}

// Leaving returns the attempts in flight on leaving endpoints, ordered by deadline
// and endpoint.
func (t *Table) Leaving() []LeavingAttempts {
	var out []LeavingAttempts
	for id, m := range t.endpoints {
		if !m.leaving || len(m.inflight) == 0 {
			continue
		}
		lw := LeavingAttempts{Endpoint: id, Deadline: m.terminationTime}
		for _, a := range m.inflight {
			lw.Attempts = append(lw.Attempts, a.id)
		}
		out = append(out, lw)
	}
	slices.SortFunc(out, func(a, b LeavingAttempts) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
	return out
}

// IsLeaving reports whether an endpoint is known and marked as leaving.
func (t *Table) IsLeaving(id ident.EndpointID) bool {
	m := t.endpoints[id]
	return m != nil && m.leaving
}
