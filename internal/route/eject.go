package route

import (
	"time"
)

// health is an endpoint's recent outcomes and its ejection state.
type health struct {
	faults               int // consecutive ones, counted from the last success or ejection
	lastFaultAt          time.Time
	ejectedUntil         time.Time
	consecutiveEjections int    // ejections without a recovery between them
	requests             window // recent requests by outcome
}

// window counts outcomes over the current and the previous interval.
type window struct {
	start             time.Time
	current, previous outcomeCounts
	started           bool
}

type outcomeCounts struct {
	requests int
	faults   int
}

// An endpoint is an outlier by fault rate if it has at least outlierMinRequests
// outcomes in the last one to two windows of length outcomeWindow and its fault rate
// exceeds that of the rest of its pool by more than outlierExcess.
const (
	outcomeWindow      = 10 * time.Second
	outlierMinRequests = 10
	outlierExcess      = 0.3
)

func (w *window) add(now time.Time, fault bool) {
	if d := now.Sub(w.start); !w.started || d >= outcomeWindow {
		w.previous = outcomeCounts{}
		if w.started && d < 2*outcomeWindow {
			w.previous = w.current
		}
		w.current, w.start, w.started = outcomeCounts{}, now, true
	}
	w.current.requests++
	if fault {
		w.current.faults++
	}
}

// sum returns the outcome counts of the last one to two windows.
func (w *window) sum(now time.Time) outcomeCounts {
	if now.Sub(w.start) >= 2*outcomeWindow {
		return outcomeCounts{}
	}
	return outcomeCounts{w.current.requests + w.previous.requests, w.current.faults + w.previous.faults}
}

func (h *health) ejected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}

// recentFaults returns the number of consecutive faults while the last one is recent, zero
// afterwards: an endpoint that gets no requests cannot show that it has recovered.
func (h *health) recentFaults(now time.Time) int {
	if now.Sub(h.lastFaultAt) >= outcomeWindow {
		return 0
	}
	return h.faults
}

// recordOutcome records how an attempt ended. It ejects the endpoint if it is an
// outlier and the limit on ejections allows it.
func (t *Table) recordOutcome(now time.Time, m *member, o Outcome) {
	h := &m.health
	switch o {
	case OutcomeOK:
		h.faults = 0
		if !h.ejected(now) && h.requests.sum(now).faults == 0 {
			h.consecutiveEjections = 0
		}
	case OutcomeFault:
		h.faults++
		h.lastFaultAt = now
	default:
		return
	}
	h.requests.add(now, o == OutcomeFault)
	if o == OutcomeFault && !h.ejected(now) && t.isOutlier(now, m) {
		t.eject(now, m)
	}
}

// isOutlier reports whether a member has too many consecutive faults or a much higher
// fault rate than the rest of its pool.
func (t *Table) isOutlier(now time.Time, m *member) bool {
	if m.health.faults >= t.opts.ConsecutiveFaults {
		return true
	}
	own := m.health.requests.sum(now)
	if own.requests < outlierMinRequests {
		return false
	}
	var rest outcomeCounts
	for _, o := range t.poolOf(m).subset {
		if o != nil && o != m {
			s := o.health.requests.sum(now)
			rest.requests += s.requests
			rest.faults += s.faults
		}
	}
	return own.rate() > rest.rate()+outlierExcess
}

func (a outcomeCounts) rate() float64 {
	if a.requests == 0 {
		return 0
	}
	return float64(a.faults) / float64(a.requests)
}

// eject ejects a member for a limited time, unless too many of its pool are ejected
// already. Leaving endpoints count neither as usable nor as ejected.
func (t *Table) eject(now time.Time, m *member) {
	usable, ejected := 0, 0
	for _, o := range t.poolOf(m).subset {
		if o == nil || !o.usable() {
			continue
		}
		usable++
		if o.health.ejected(now) {
			ejected++
		}
	}
	if ejected+1 > t.maxEjectable(usable) {
		t.stats.EjectionsSkipped++
		return
	}
	d := min(t.opts.EjectionTime<<min(m.health.consecutiveEjections, 16), t.opts.MaxEjectionTime)
	m.health.ejectedUntil = now.Add(d)
	m.health.consecutiveEjections++
	m.health.faults = 0
	m.health.requests = window{}
	m.slowStartEnd = m.health.ejectedUntil.Add(t.opts.SlowStart)
	t.stats.Ejections++
}

// maxEjectable returns how many of a pool's usable endpoints may be ejected at once.
func (t *Table) maxEjectable(usable int) int {
	return int(t.opts.MaxEjected * float64(usable))
}

func (t *Table) poolOf(m *member) *pool {
	if p := t.pools[poolKey{m.service, m.version}]; p != nil {
		return p
	}
	return &pool{}
}
