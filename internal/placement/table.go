package placement

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Table knows the endpoints and what they do. It is not safe for use by several
// goroutines.
type Table struct {
	opts     Options
	members  map[ident.EndpointID]*member
	services map[ident.Service]*service
	work     map[ident.AttemptID]*work
	byHash   map[uint32]*member
	sent     []sentPrefix // of this node, the oldest first
	nodes    int          // that choose among the same endpoints, this one included
}

// service is what is known of a service as a whole.
type service struct {
	members []*member
	prefill float64 // tokens a second, smoothed
	took    float64 // seconds of a request, smoothed
	long    longShare
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:     opts.withDefaults(),
		members:  make(map[ident.EndpointID]*member),
		services: make(map[ident.Service]*service),
		work:     make(map[ident.AttemptID]*work),
	}
}

// SetEndpoints takes the endpoints that are registered now. Those that are missing
// since some time stand in missing; they are used only where nothing else is left.
func (t *Table) SetEndpoints(now time.Time, listed, missing []site.Endpoint, services map[ident.Service]site.Service) {
	seen := make(map[ident.EndpointID]*member, len(listed)+len(missing))
	keep := func(e site.Endpoint, gone bool) {
		m := t.members[e.ID]
		if m == nil || !m.SameIncarnation(e) {
			m = newMember(e, services[e.Service].Engine)
		}
		// An endpoint that said that it leaves does not come back in the same life.
		e.Leaving = e.Leaving || m.Leaving
		m.Endpoint = e
		switch {
		case !gone:
			m.missing = time.Time{}
		case m.missing.IsZero():
			m.missing = now
		}
		m.setDeparture(now, t.opts.DrainTime)
		seen[e.ID] = m
	}
	for _, e := range missing {
		keep(e, true)
	}
	for _, e := range listed {
		keep(e, false)
	}
	t.members = seen
	t.byHash = make(map[uint32]*member, len(seen))
	for _, m := range seen {
		t.byHash[uint32(m.hash)] = m
	}
	for _, s := range t.services {
		s.members = s.members[:0]
	}
	for _, list := range [][]site.Endpoint{listed, missing} {
		for _, e := range list {
			if m := seen[e.ID]; m.Service == e.Service {
				s := t.service(e.Service)
				s.members = append(s.members, m)
			}
		}
	}
}

func (t *Table) service(name ident.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{prefill: t.opts.PrefillPerSecond, took: t.opts.ServiceTime.Seconds(), long: newLongShare()}
		t.services[name] = s
	}
	return s
}

// SetNodes takes the number of nodes that choose among the same endpoints.
func (t *Table) SetNodes(n int) { t.nodes = n }

// SetPeers takes the load of all other nodes by endpoint.
func (t *Table) SetPeers(loads map[ident.EndpointID]Load) {
	for id, m := range t.members {
		m.peers = loads[id]
	}
}

// Loads returns this node's own load by endpoint.
func (t *Table) Loads(now time.Time) map[ident.EndpointID]Load {
	out := make(map[ident.EndpointID]Load)
	for id, m := range t.members {
		if len(m.inflight) > 0 {
			out[id] = Load{Running: len(m.inflight), PrefillTokens: int(m.prefill.left(now, t.service(m.Service).prefill)), ContextTokens: m.context}
		}
	}
	return out
}

// Dispatched notes that an attempt is sent to the choice made for it.
func (t *Table) Dispatched(now time.Time, id ident.AttemptID, c Choice, p Prompt) {
	m := t.members[c.Endpoint.ID]
	if m == nil {
		return
	}
	s := t.service(m.Service)
	w := &work{m: m, at: now, reading: c.reading, context: p.Tokens(), alone: m.prefill.left(now, s.prefill)+float64(m.peers.PrefillTokens) == 0}
	t.work[id], m.inflight[id] = w, w
	m.context += w.context
	m.prefill.add(now, s.prefill, w.reading)
	s.long.add(now, s.work(c.reading, p.Output), c.long)
	m.cache.use(now, p.Segments)
	t.note(now, m, p)
	m.warm.take()
}

// FirstEvent notes that an attempt's answer has begun.
func (t *Table) FirstEvent(now time.Time, id ident.AttemptID) {
	w := t.work[id]
	if w == nil || w.first {
		return
	}
	w.first = true
	s := t.service(w.m.Service)
	t.settle(now, w.m, s)
	s.measure(now, w)
}

// measuredTokens is the least prefill that tells of an engine's speed, and
// measureGain the weight of one measurement.
const (
	measuredTokens = 4000
	measureGain    = 0.05
)

// measure learns the speed of prefill from a request that had it for itself.
func (s *service) measure(now time.Time, w *work) {
	took := now.Sub(w.at).Seconds()
	if !w.alone || w.reading < measuredTokens || took <= 0 {
		return
	}
	s.prefill += measureGain * (float64(w.reading)/took - s.prefill)
}

// settle bounds a member's backlog by what its attempts without an event have left.
func (t *Table) settle(now time.Time, m *member, s *service) {
	most := 0.0
	for _, w := range m.inflight {
		if !w.first {
			most += float64(w.reading)
		}
	}
	m.prefill.drop(now, s.prefill, most)
}

// SetReportedLoad notes what an endpoint said of its load.
func (t *Table) SetReportedLoad(now time.Time, id ident.EndpointID, running, waiting int) {
	if m := t.members[id]; m != nil {
		m.said = saidLoad{at: now, running: running + waiting, inflight: len(m.inflight)}
	}
}

// Finished notes the end of an attempt. A second call for it does nothing.
func (t *Table) Finished(now time.Time, id ident.AttemptID, o Outcome) {
	w := t.work[id]
	if w == nil {
		return
	}
	delete(t.work, id)
	m := w.m
	delete(m.inflight, id)
	m.context -= w.context
	s := t.service(m.Service)
	t.settle(now, m, s)
	switch o {
	case Success:
		m.warm.put(now)
		s.took += measureGain * (now.Sub(w.at).Seconds() - s.took)
		m.health.record(now, false)
	case Fault:
		if m.health.record(now, true) && t.mayEject(now, s) {
			m.health.eject(now, t.opts.EjectionTime)
		}
	case Unreachable:
		m.health.record(now, true)
		if t.mayEject(now, s) {
			m.health.eject(now, t.opts.EjectionTime)
		}
	case Full:
		m.health.full = now.Add(t.opts.FullBackoff)
	}
}

// mayEject tells whether one more endpoint of a service may be left out.
func (t *Table) mayEject(now time.Time, s *service) bool {
	out := 0
	for _, m := range s.members {
		if m.health.out(now) {
			out++
		}
	}
	return float64(out+1) <= t.opts.MaxEjected*float64(len(s.members))
}

// Leaving tells whether an endpoint is known to leave, or to be gone.
func (t *Table) Leaving(id ident.EndpointID) bool {
	m := t.members[id]
	return m == nil || m.Leaving || !m.missing.IsZero()
}

// TerminationTime returns when an endpoint ends that leaves, and whether it does.
func (t *Table) TerminationTime(id ident.EndpointID) (time.Time, bool) {
	m := t.members[id]
	if m == nil || m.leaves.IsZero() {
		return time.Time{}, false
	}
	return m.leaves, true
}

// Usage is how busy a service is.
type Usage struct {
	// Endpoints that may be chosen, by data centre and kind.
	Endpoints map[CapacityPool]int
	// Running requests of all nodes, and the slots of the endpoints.
	Running, Slots int
	// PrefillTokens is the number of prompt tokens of all nodes that are not yet read.
	PrefillTokens int
}

// CapacityPool is a data centre and whether endpoints there may be taken away.
type CapacityPool struct {
	DataCentre  ident.DataCentre
	Reclaimable bool
}

// Usage returns how busy a service is.
func (t *Table) Usage(now time.Time, name ident.Service) Usage {
	u := Usage{Endpoints: make(map[CapacityPool]int)}
	s := t.service(name)
	for _, m := range s.members {
		if m.Leaving || !m.missing.IsZero() {
			continue
		}
		u.Endpoints[CapacityPool{m.DataCentre, m.Reclaimable}]++
		u.Running += m.running(now)
		u.Slots += m.Slots
		u.PrefillTokens += int(m.prefill.left(now, s.prefill)) + m.peers.PrefillTokens
	}
	return u
}
