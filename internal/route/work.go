package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Dispatched notes that an attempt was sent. The prompt's blocks count as cached
// at the endpoint from now on.
func (t *Table) Dispatched(now time.Time, d Dispatch) {
	m := t.endpoints[d.Endpoint]
	if m == nil || t.work[d.Attempt] != nil {
		return
	}
	w := &work{
		attempt: d.Attempt,
		m:       m,
		at:      now,
		tokens:  float64(max(0, d.PromptTokens-d.CachedTokens)),
	}
	t.work[d.Attempt] = w
	p := t.poolOf(m)
	m.dispatched(w, t.drift(now, p, m))
	p.rate.add(now, w.tokens)
	if m.slot == noSlot {
		return
	}
	p.index.rotate(now)
	for _, b := range d.Chain {
		p.index.add(b, m.slot)
	}
}

// Finished notes that an attempt has ended. A second call for it does nothing.
func (t *Table) Finished(now time.Time, f Finish) {
	w := t.work[f.Attempt]
	if w == nil {
		return
	}
	delete(t.work, f.Attempt)
	m := w.m
	m.finished(w)
	t.outcome(now, m, f.Outcome)
	if f.Outcome == OutcomeOK {
		p := t.poolOf(m)
		p.serviceTime += serviceTimeGain * (now.Sub(w.at).Seconds() - p.serviceTime)
	}
	if !m.listed && len(m.inflight) == 0 && t.endpoints[m.id] == m {
		t.remove(m)
	}
}

// CacheEvents takes an endpoint's cache events. Events seen before are dropped; a
// jump in their numbers counts as a gap.
func (t *Table) CacheEvents(now time.Time, id ident.EndpointID, evs endpoint.CacheEvents) {
	m := t.endpoints[id]
	if m == nil || m.slot == noSlot {
		return
	}
	x := t.poolOf(m).index
	x.rotate(now)
	if evs.Gap {
		x.gap(m.slot)
	}
	for i, e := range evs.Events {
		last := x.seq[m.slot]
		if e.Seq <= last {
			x.stale++
			continue
		}
		jump := last != 0 && e.Seq != last+1
		if jump && (i > 0 || !evs.Gap) {
			x.gap(m.slot)
		}
		x.seq[m.slot] = e.Seq
		if e.Added {
			x.add(e.Block, m.slot)
		} else {
			x.remove(e.Block, m.slot)
		}
	}
}

// InFlight returns the attempts in flight on an endpoint, oldest first.
func (t *Table) InFlight(id ident.EndpointID) []Work {
	m := t.endpoints[id]
	if m == nil {
		return nil
	}
	out := make([]Work, 0, len(m.inflight))
	for _, w := range m.inflight {
		out = append(out, Work{Attempt: w.attempt, Endpoint: id, Since: w.at})
	}
	return out
}

// Leaving returns the work in flight on leaving endpoints, ordered by deadline and
// endpoint.
func (t *Table) Leaving() []LeavingWork {
	var out []LeavingWork
	for id, m := range t.endpoints {
		if !m.leaving || len(m.inflight) == 0 {
			continue
		}
		lw := LeavingWork{Endpoint: id, Deadline: m.deadline}
		for _, w := range m.inflight {
			lw.Attempts = append(lw.Attempts, w.attempt)
		}
		out = append(out, lw)
	}
	slices.SortFunc(out, func(a, b LeavingWork) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return cmp.Compare(a.Endpoint, b.Endpoint)
	})
	return out
}

// IsLeaving tells whether an endpoint carries a leaving mark.
func (t *Table) IsLeaving(id ident.EndpointID) bool {
	m := t.endpoints[id]
	return m != nil && m.leaving
}
