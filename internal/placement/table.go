package placement

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/performance"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Table contains the known endpoints and their estimated load. It is not safe for
// concurrent use.
type Table struct {
	opts         Options
	members      map[ident.EndpointID]*member
	services     map[ident.Service]*service
	attempts     map[ident.AttemptID]*attempt
	byHash       map[uint32]*member
	sentPrefixes []sentPrefix // recently sent by this node, oldest first
	nodeCount    int          // nodes that choose among the same endpoints, including this one
	limits       *endpointlimit.Limits
	evacuated    map[ident.DataCentre]bool
	estimates    *performance.Estimates
	coldEvents   []ColdEvent
	listed       bool // endpoints were listed before
}

// service contains the members and statistics of a service.
type service struct {
	members     []*member
	prefillRate float64 // tokens per second, smoothed
	requestTime float64 // duration of a request in seconds, smoothed
	longShare   longShare
	settings    site.Service
	// statesPace is set once an endpoint of the service has stated how fast its host is.
	statesPace bool
	// gapLog is the logarithm of the time between two events of a stream, of this node's streams
	// at all endpoints; measured is set once there was one.
	gapLog   float64
	measured bool
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:   opts.withDefaults(),
		limits: endpointlimit.New(string(opts.Node)),

		estimates: performance.New(),
		members:   make(map[ident.EndpointID]*member),
		services:  make(map[ident.Service]*service),
		attempts:  make(map[ident.AttemptID]*attempt),
	}
}

// SetEndpoints replaces the endpoints. Those that are no longer registered are passed in
// missing; they are used only where a service has no other.
func (t *Table) SetEndpoints(now time.Time, listed, missing []site.Endpoint, services map[ident.Service]site.Service) {
	seen := make(map[ident.EndpointID]*member, len(listed)+len(missing))
	update := func(e site.Endpoint, isMissing bool) {
		m := t.members[e.ID]
		known := m != nil && m.SameIncarnation(e)
		if !known {
			m = newMember(e, services[e.Service].Engine)
		}
		// A leaving endpoint does not become available again in the same incarnation.
		e.Leaving = e.Leaving || m.Leaving
		if coldFor, why := t.coldFor(m, e, known, isMissing, services[e.Service]); coldFor > 0 {
			t.markCold(now, m, services[e.Service], coldFor, why)
		}
		m.Endpoint = e
		switch {
		case !isMissing:
			m.missingSince = time.Time{}
		case m.missingSince.IsZero():
			m.missingSince = now
		}
		m.setTerminationTime(now, t.opts.DrainTime)
		seen[e.ID] = m
	}
	for _, e := range missing {
		update(e, true)
	}
	for _, e := range listed {
		update(e, false)
	}
	t.members, t.listed = seen, true
	t.byHash = make(map[uint32]*member, len(seen))
	for _, m := range seen {
		t.byHash[uint32(m.hash)] = m
	}
	for name, s := range t.services {
		s.members, s.settings = s.members[:0], services[name]
	}
	for _, list := range [][]site.Endpoint{listed, missing} {
		for _, e := range list {
			if m := seen[e.ID]; m.Service == e.Service {
				s := t.service(e.Service)
				s.members, s.settings = append(s.members, m), services[e.Service]
			}
		}
	}
}

func (t *Table) service(name ident.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{prefillRate: t.opts.PrefillPerSec, requestTime: t.opts.ServiceTime.Seconds(), longShare: newLongShare()}
		t.services[name] = s
	}
	return s
}

// SetNodes sets the number of nodes that choose among the same endpoints, including this
// one.
func (t *Table) SetNodes(n int) { t.nodeCount = n }

// SetPeers sets the total load of all other nodes by endpoint.
func (t *Table) SetPeers(loads map[ident.EndpointID]Load) {
	for id, m := range t.members {
		m.peerLoad = loads[id]
	}
}

// Loads returns this node's own load by endpoint.
func (t *Table) Loads(now time.Time) map[ident.EndpointID]Load {
	out := make(map[ident.EndpointID]Load)
	for id, m := range t.members {
		if len(m.inflight) > 0 {
			out[id] = Load{Running: len(m.inflight), PrefillTokens: int(m.backlog.remaining(now, t.service(m.Service).prefillRate)), ContextTokens: m.contextTokens}
		}
	}
	return out
}

// Dispatched records that an attempt is sent to the endpoint chosen for it.
func (t *Table) Dispatched(now time.Time, id ident.AttemptID, c Choice, p Prompt) {
	m := t.members[c.Endpoint.ID]
	if m == nil {
		return
	}
	s := t.service(m.Service)
	a := &attempt{member: m, dispatched: now, prefillWork: c.prefillWork, contextTokens: p.Tokens(), noBacklog: m.backlog.remaining(now, s.prefillRate)+float64(m.peerLoad.PrefillTokens) == 0}
	t.attempts[id], m.inflight[id] = a, a
	m.contextTokens += a.contextTokens
	m.backlog.add(now, s.prefillRate, a.prefillWork)
	s.longShare.add(now, s.engineTime(c.prefillWork, p.Output), c.long)
	m.cache.add(now, p.Segments)
	t.recordSentPrefix(now, m, p)
	m.idleConns.take()
	if len(c.Through) == 0 {
		t.limits.Spend(now, m.incarnation)
	}
}

// Limits returns the limits that endpoints have named.
func (t *Table) Limits() *endpointlimit.Limits { return t.limits }

// FirstEvent records that the response to an attempt has started.
func (t *Table) FirstEvent(now time.Time, id ident.AttemptID) {
	a := t.attempts[id]
	if a == nil || a.started {
		return
	}
	a.started = true
	s := t.service(a.member.Service)
	t.limitBacklog(now, a.member, s)
	s.updatePrefillRate(now, a)
}

// minMeasuredTokens is the smallest prefill from which an engine's rate is measured, and
// measurementWeight the weight of one measurement in the smoothed value.
const (
	minMeasuredTokens = 4000
	measurementWeight = 0.05
)

// updatePrefillRate updates the prefill rate from a request that waited for no other
// prefill.
func (s *service) updatePrefillRate(now time.Time, a *attempt) {
	elapsed := now.Sub(a.dispatched).Seconds()
	if !a.noBacklog || a.prefillWork < minMeasuredTokens || elapsed <= 0 {
		return
	}
	s.prefillRate += measurementWeight * (float64(a.prefillWork)/elapsed - s.prefillRate)
}

// limitBacklog limits a member's backlog to the prefill of its attempts that have had no
// event yet.
func (t *Table) limitBacklog(now time.Time, m *member, s *service) {
	limit := 0.0
	for _, a := range m.inflight {
		if !a.started {
			limit += float64(a.prefillWork)
		}
	}
	m.backlog.limit(now, s.prefillRate, limit)
}

// SetReportedLoad records the numbers of running and waiting requests that an endpoint
// reported.
func (t *Table) SetReportedLoad(now time.Time, id ident.EndpointID, running, waiting int) {
	if m := t.members[id]; m != nil {
		m.reported = reportedLoad{received: now, running: running + waiting, inflight: len(m.inflight)}
	}
}

// Finished records the end of an attempt. A second call for the same attempt has no effect.
func (t *Table) Finished(now time.Time, id ident.AttemptID, o Outcome) {
	a := t.attempts[id]
	if a == nil {
		return
	}
	delete(t.attempts, id)
	m := a.member
	delete(m.inflight, id)
	m.contextTokens -= a.contextTokens
	s := t.service(m.Service)
	t.limitBacklog(now, m, s)
	switch o {
	case OutcomeSuccess:
		m.idleConns.put(now)
		s.requestTime += measurementWeight * (now.Sub(a.dispatched).Seconds() - s.requestTime)
		m.health.record(now, false)
	case OutcomeFault:
		if m.health.record(now, true) && t.mayEject(now, s) {
			m.health.eject(now, t.opts.EjectionTime)
		}
	case OutcomeUnreachable:
		m.health.record(now, true)
		if t.mayEject(now, s) {
			m.health.eject(now, t.opts.EjectionTime)
		}
		// It may have ended, or be cut off, and return cold.
		t.markCold(now, m, s.settings, t.opts.EjectionTime+s.settings.ColdTime, EvidenceUnreachable)
	case OutcomeFull:
		m.health.fullUntil = now.Add(t.opts.FullBackoff)
		t.limits.Refused(now, m.incarnation, m.Slots)
	}
}

// mayEject reports whether one more endpoint of a service may be ejected.
func (t *Table) mayEject(now time.Time, s *service) bool {
	ejected := 0
	for _, m := range s.members {
		if m.health.ejected(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= t.opts.MaxEjected*float64(len(s.members))
}

// Leaving reports whether an endpoint is leaving, missing or unknown.
func (t *Table) Leaving(id ident.EndpointID) bool {
	m := t.members[id]
	return m == nil || m.Leaving || !m.missingSince.IsZero()
}

// BackOff records that an incarnation of an endpoint wants no calls for d.
func (t *Table) BackOff(now time.Time, e site.Endpoint, d time.Duration) {
	if m := t.members[e.ID]; m != nil && m.SameIncarnation(e) {
		m.health.backOff(now, d)
	}
}

// BackingOff reports whether an endpoint wants no calls at present.
func (t *Table) BackingOff(now time.Time, id ident.EndpointID) bool {
	m := t.members[id]
	return m != nil && m.health.backingOff(now)
}

// Services returns the services that have endpoints, in no particular order.
func (t *Table) Services() []ident.Service {
	var out []ident.Service
	for name, s := range t.services {
		if len(s.members) > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Usable returns the endpoints of a service that are neither leaving, missing nor evacuated.
func (t *Table) Usable(name ident.Service) []site.Endpoint {
	var out []site.Endpoint
	for _, m := range t.service(name).members {
		if !m.Leaving && m.missingSince.IsZero() && !t.evacuated[m.DataCentre] {
			out = append(out, m.Endpoint)
		}
	}
	return out
}

// MaySend returns an error if nothing, or nothing of a kind, may be sent to an incarnation of an
// endpoint now. An endpoint that is no longer known has left.
func (t *Table) MaySend(now time.Time, e site.Endpoint, kind SendKind) *verdict.Error {
	m := t.members[e.ID]
	known := m != nil && m.SameIncarnation(e)
	switch {
	case t.evacuated[e.DataCentre] || known && t.evacuated[m.DataCentre]:
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "data centre %q of endpoint %q is evacuated", e.DataCentre, e.ID)
	case known && m.health.backingOff(now):
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "endpoint %q wants no calls for %s", e.ID, m.health.backoffUntil.Sub(now))
	case kind == SendRequest && (!known || m.Leaving):
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "endpoint %q is leaving or has left", e.ID)
	case kind == SendContinuation:
		if until, accepts := t.AcceptsUntil(e); !accepts || !until.IsZero() && !now.Before(until) {
			return verdict.New(verdict.NotRun, verdict.CodeNotSent, "endpoint %q continues no request any more", e.ID)
		}
	}
	return nil
}

// TerminationTime returns when a leaving or missing endpoint terminates, or false for any
// other endpoint.
func (t *Table) TerminationTime(id ident.EndpointID) (time.Time, bool) {
	m := t.members[id]
	if m == nil || m.terminationTime.IsZero() {
		return time.Time{}, false
	}
	return m.terminationTime, true
}

// acceptsShare is the fraction of the drain time for which requests that have started may be sent
// to a leaving endpoint. The rest is left for the time that its report takes to this node.
const acceptsShare = 0.9

// AcceptsUntil returns until when what continues a request may be sent to an incarnation of an
// endpoint, or the zero time if it neither leaves nor is missing. known is false for an unknown one.
func (t *Table) AcceptsUntil(e site.Endpoint) (until time.Time, known bool) {
	m := t.members[e.ID]
	if m == nil || !m.SameIncarnation(e) {
		return time.Time{}, false
	}
	if m.leavingSince.IsZero() {
		return time.Time{}, true
	}
	until = m.leavingSince.Add(seconds(acceptsShare * t.opts.DrainTime.Seconds()))
	if m.terminationTime.Before(until) {
		until = m.terminationTime
	}
	return until, true
}

// Usage is the capacity and load of a service.
type Usage struct {
	// Endpoints is the number of endpoints that are neither leaving nor missing, by pool.
	Endpoints map[CapacityPool]int
	// Running is the number of requests of all nodes, Slots the number of slots of these
	// endpoints.
	Running, Slots int
	// PrefillTokens is the number of prompt tokens of all nodes whose prefill is
	// outstanding.
	PrefillTokens int
	// Evacuated are the data centres to whose endpoints nothing is sent.
	Evacuated map[ident.DataCentre]bool
}

// CapacityPool is a data centre and whether the hosts of the endpoints are reclaimable.
type CapacityPool struct {
	DataCentre  ident.DataCentre
	Reclaimable bool
}

// Usage returns the capacity and load of a service.
func (t *Table) Usage(now time.Time, name ident.Service) Usage {
	u := Usage{Endpoints: make(map[CapacityPool]int), Evacuated: t.evacuated}
	s := t.service(name)
	for _, m := range s.members {
		if m.Leaving || !m.missingSince.IsZero() {
			continue
		}
		if t.evacuated[m.DataCentre] {
			u.Running += m.running(now) // their callers come to the other data centres
			continue
		}
		u.Endpoints[CapacityPool{m.DataCentre, m.Reclaimable}]++
		u.Running += m.running(now)
		u.Slots += m.Slots
		u.PrefillTokens += int(m.backlog.remaining(now, s.prefillRate)) + m.peerLoad.PrefillTokens
	}
	return u
}
