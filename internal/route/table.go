package route

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// poolKey identifies the pool of endpoints of one version of a service.
type poolKey struct {
	service ident.Service
	version ident.Version
}

// mark is a leaving mark. It applies to its incarnation and all earlier ones.
type mark struct {
	incarnation     ident.Incarnation
	terminationTime time.Time
	markedAt        time.Time
}

// Table contains the state of all known endpoints and selects one for each request.
type Table struct {
	opts  Options
	nodes Nodes

	endpoints     map[ident.EndpointID]*member
	pools         map[poolKey]*pool
	hostMarks     map[ident.Host]mark
	endpointMarks map[ident.EndpointID]mark
	slots         map[ident.Service]int
	attempts      map[ident.AttemptID]*inflightAttempt
	listCount     uint64 // host lists applied
	stats         Stats

	scratch  scratch
	replicas map[uint64]*prefixReplicas // by the block hash that determines the homes
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:          opts.withDefaults(),
		nodes:         Nodes{Live: 1},
		endpoints:     make(map[ident.EndpointID]*member),
		pools:         make(map[poolKey]*pool),
		hostMarks:     make(map[ident.Host]mark),
		endpointMarks: make(map[ident.EndpointID]mark),
		slots:         make(map[ident.Service]int),
		attempts:      make(map[ident.AttemptID]*inflightAttempt),
		replicas:      make(map[uint64]*prefixReplicas),
	}
}

// SetNodes sets the live nodes. The estimate of other nodes' dispatches and the
// choice of this node's endpoint subset depend on them.
func (t *Table) SetNodes(n Nodes) {
	n.Live = max(n.Live, len(n.Local), 1)
	n.Local = slices.Clone(n.Local)
	slices.Sort(n.Local)
	if n.Live == t.nodes.Live && slices.Equal(n.Local, t.nodes.Local) {
		return
	}
	t.nodes = n
	for _, p := range t.pools {
		p.dirty = true
	}
}

// SetSlots sets the number of requests that an endpoint of service serves at once.
// It applies to endpoints that do not report their own number.
func (t *Table) SetSlots(service ident.Service, slots int) {
	t.slots[service] = slots
}

// SetHosts applies the platform's host list, which lags. A host listed as live stays
// leaving if its incarnation is marked. An endpoint that is no longer listed gets no
// new requests and is removed once its attempts have ended. An empty list is treated
// as a failure of the platform and changes nothing.
func (t *Table) SetHosts(now time.Time, hosts []platformapi.HostInfo) {
	if len(hosts) == 0 {
		return
	}
	t.listCount++
	for i := range hosts {
		h := &hosts[i]
		if h.State == platformapi.HostLeaving {
			t.MarkHost(now, platformapi.Notice{Host: h.Host, Incarnation: h.Incarnation, Deadline: h.Deadline})
		}
		for _, info := range h.Endpoints {
			t.setEndpoint(now, h, info)
		}
	}
	for _, m := range t.endpoints {
		if m.lastList != t.listCount {
			t.unlist(m)
		}
	}
	t.expireMarks(now)
}

// setEndpoint adds or updates one endpoint of a host. An endpoint listed with another
// incarnation, host, service or version replaces the old one; an earlier incarnation
// on the same host is ignored.
func (t *Table) setEndpoint(now time.Time, h *platformapi.HostInfo, info platformapi.EndpointInfo) {
	m := t.endpoints[info.ID]
	if m != nil && h.Incarnation < m.incarnation && h.Host == m.host {
		m.lastList = t.listCount // the list lags behind the known incarnation
		return
	}
	if m != nil && m.sameIncarnation(h, info) {
		m.listed, m.lastList = true, t.listCount
		m.address = info.Address
		m.price = h.PricePerHour
		t.applyMark(m)
		return
	}
	if m != nil {
		t.remove(m)
	}
	m = newMember(h, info, xxhash.Sum64String(string(info.ID)))
	m.lastList = t.listCount
	if t.listCount > 1 {
		m.slowStartEnd = now.Add(t.opts.SlowStart)
	}
	t.endpoints[info.ID] = m
	p := t.pool(poolKey{info.Service, info.Version})
	p.all = append(p.all, m)
	p.dirty = true
	t.applyMark(m)
}

func (t *Table) pool(k poolKey) *pool {
	p := t.pools[k]
	if p == nil {
		p = newPool(k, &t.opts)
		t.pools[k] = p
	}
	return p
}

// unlist stops new requests to an endpoint that is missing from the host list, and
// removes it if it has no attempts in flight.
func (t *Table) unlist(m *member) {
	m.listed = false
	if len(m.inflight) == 0 {
		t.remove(m)
	}
}

// remove deletes an endpoint from the table. Its attempts in flight are tracked until
// they end.
func (t *Table) remove(m *member) {
	m.listed = false
	if t.endpoints[m.id] == m {
		delete(t.endpoints, m.id)
	}
	k := poolKey{m.service, m.version}
	p := t.pools[k]
	p.all = slices.DeleteFunc(p.all, func(o *member) bool { return o == m })
	p.dirty = true
	if len(p.all) == 0 {
		delete(t.pools, k)
	}
}

// merge returns the mark updated by a leaving notice for an incarnation, and whether it
// changed. Notices for an earlier incarnation are ignored; for the same incarnation, the
// termination time can only be brought forward.
func (k mark) merge(now time.Time, inc ident.Incarnation, terminationTime time.Time) (mark, bool) {
	if !k.markedAt.IsZero() && inc < k.incarnation {
		return k, false
	}
	if k.markedAt.IsZero() || inc > k.incarnation {
		return mark{incarnation: inc, terminationTime: terminationTime, markedAt: now}, true
	}
	d := earlier(k.terminationTime, terminationTime)
	changed := !d.Equal(k.terminationTime)
	k.terminationTime = d
	return k, changed
}

// MarkHost marks a host and its endpoints as leaving. Later calls can only raise the
// incarnation or bring the deadline forward.
func (t *Table) MarkHost(now time.Time, n platformapi.Notice) {
	k, changed := t.hostMarks[n.Host].merge(now, n.Incarnation, n.Deadline)
	if !changed {
		return
	}
	t.hostMarks[n.Host] = k
	for _, m := range t.endpoints {
		if m.host == n.Host {
			t.applyMark(m)
		}
	}
}

// MarkEndpoint records an endpoint's own report that it is leaving. Later calls can
// only raise the incarnation or bring the deadline forward.
func (t *Table) MarkEndpoint(now time.Time, id ident.EndpointID, s endpoint.LeavingState) {
	if !s.Leaving {
		return
	}
	k, changed := t.endpointMarks[id].merge(now, s.Incarnation, s.Deadline)
	if !changed {
		return
	}
	t.endpointMarks[id] = k
	if m := t.endpoints[id]; m != nil {
		t.applyMark(m)
	}
}

// applyMark sets a member's leaving state and termination time from the marks that
// apply to its incarnation.
func (t *Table) applyMark(m *member) {
	was := m.leaving
	for _, mk := range []mark{t.hostMarks[m.host], t.endpointMarks[m.id]} {
		if !mk.markedAt.IsZero() && mk.incarnation >= m.incarnation {
			m.leaving = true
			m.terminationTime = earlier(m.terminationTime, mk.terminationTime)
		}
	}
	invariant.Check(m.leaving || !was, invariant.LeavingMarkGrows, "endpoint %q lost its leaving mark", m.id)
	if m.leaving && !was {
		t.pool(poolKey{m.service, m.version}).dirty = true
	}
}

// expireMarks drops marks older than MarkRetention of hosts and endpoints that are no
// longer known.
func (t *Table) expireMarks(now time.Time) {
	if len(t.hostMarks)+len(t.endpointMarks) == 0 {
		return
	}
	hosts := make(map[ident.Host]bool, len(t.endpoints))
	for _, m := range t.endpoints {
		hosts[m.host] = true
	}
	for h, mk := range t.hostMarks {
		if !hosts[h] && now.Sub(mk.markedAt) > t.opts.MarkRetention {
			delete(t.hostMarks, h)
		}
	}
	for id, mk := range t.endpointMarks {
		if t.endpoints[id] == nil && now.Sub(mk.markedAt) > t.opts.MarkRetention {
			delete(t.endpointMarks, id)
		}
	}
}

// Report records an endpoint's load report. A report older than the last one is
// dropped.
func (t *Table) Report(now time.Time, r endpoint.LoadReport) {
	if m := t.endpoints[r.Endpoint]; m != nil {
		m.setReport(now, r, t.backlogTrend(now, t.poolOf(m), m))
	}
}

// Stats returns the current counters.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Endpoints = len(t.endpoints)
	for _, p := range t.pools {
		s.PrefixBlocks += p.index.len()
		s.Gaps += p.index.gaps
		s.StaleEvents += p.index.staleEvents
	}
	return s
}

// sortedPools returns the pools of a service ordered by version.
func (t *Table) sortedPools(service ident.Service) []*pool {
	var ps []*pool
	for k, p := range t.pools {
		if k.service == service {
			ps = append(ps, p)
		}
	}
	slices.SortFunc(ps, func(a, b *pool) int {
		return strings.Compare(string(a.key.version), string(b.key.version))
	})
	return ps
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
