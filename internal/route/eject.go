package route

import (
	"time"
)

// health is an endpoint's record of faults.
type health struct {
	faults   int // in a row
	faultAt  time.Time
	until    time.Time
	inARow   int // ejections without a success between
	requests window
}

// window counts outcomes over the current and the last interval.
type window struct {
	start      time.Time
	now, last  tally
	hadOutcome bool
}

type tally struct {
	requests int
	faults   int
}

// Outliers by rate are judged over windows of this length, with at least that many
// requests, and where the rate of faults passes the pool's by that much.
const (
	outcomeWindow   = 10 * time.Second
	outlierRequests = 10
	outlierExcess   = 0.3
)

func (w *window) add(now time.Time, fault bool) {
	if d := now.Sub(w.start); !w.hadOutcome || d >= outcomeWindow {
		w.last = tally{}
		if w.hadOutcome && d < 2*outcomeWindow {
			w.last = w.now
		}
		w.now, w.start, w.hadOutcome = tally{}, now, true
	}
	w.now.requests++
	if fault {
		w.now.faults++
	}
}

// sum returns the outcomes of the last one to two windows.
func (w *window) sum(now time.Time) tally {
	if now.Sub(w.start) >= 2*outcomeWindow {
		return tally{}
	}
	return tally{w.now.requests + w.last.requests, w.now.faults + w.last.faults}
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.until)
}

// penalty returns the faults in a row while the last is recent. It ends, as an
// endpoint that gets no requests can't prove that it has recovered.
func (h *health) penalty(now time.Time) int {
	if now.Sub(h.faultAt) >= outcomeWindow {
		return 0
	}
	return h.faults
}

// outcome records how an attempt ended and ejects the endpoint where it is an
// outlier and the floor allows it.
func (t *Table) outcome(now time.Time, m *member, o Outcome) {
	h := &m.health
	switch o {
	case OutcomeOK:
		h.faults = 0
		if !h.ejected(now) && h.requests.sum(now).faults == 0 {
			h.inARow = 0
		}
	case OutcomeFault:
		h.faults++
		h.faultAt = now
	default:
		return
	}
	h.requests.add(now, o == OutcomeFault)
	if o == OutcomeFault && !h.ejected(now) && t.outlier(now, m) {
		t.eject(now, m)
	}
}

// outlier tells whether a member fails in a row, or much more often than the rest
// of its pool.
func (t *Table) outlier(now time.Time, m *member) bool {
	if m.health.faults >= t.opts.FaultsInRow {
		return true
	}
	own := m.health.requests.sum(now)
	if own.requests < outlierRequests {
		return false
	}
	var rest tally
	for _, o := range t.poolOf(m).subset {
		if o != nil && o != m {
			s := o.health.requests.sum(now)
			rest.requests += s.requests
			rest.faults += s.faults
		}
	}
	return own.rate() > rest.rate()+outlierExcess
}

func (a tally) rate() float64 {
	if a.requests == 0 {
		return 0
	}
	return float64(a.faults) / float64(a.requests)
}

// eject takes a member out of use for a time, unless too many of its pool are out
// already. Leaving endpoints count neither as usable nor as ejected.
func (t *Table) eject(now time.Time, m *member) {
	usable, out := 0, 0
	for _, o := range t.poolOf(m).subset {
		if o == nil || !o.usable() {
			continue
		}
		usable++
		if o.health.ejected(now) {
			out++
		}
	}
	if out+1 > t.ejectable(usable) {
		t.stats.EjectSpared++
		return
	}
	d := min(t.opts.EjectionTime<<min(m.health.inARow, 16), t.opts.MaxEjectionTime)
	m.health.until = now.Add(d)
	m.health.inARow++
	m.health.faults = 0
	m.health.requests = window{}
	m.warmAt = m.health.until.Add(t.opts.SlowStart)
	t.stats.Ejections++
}

// ejectable returns how many of a pool's usable endpoints may be ejected at once.
func (t *Table) ejectable(usable int) int {
	return int(t.opts.MaxEjected * float64(usable))
}

func (t *Table) poolOf(m *member) *pool {
	if p := t.pools[poolKey{m.service, m.version}]; p != nil {
		return p
	}
	return &pool{}
}
