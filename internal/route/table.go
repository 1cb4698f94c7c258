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

// poolKey names the endpoints of one version of a service.
type poolKey struct {
	service ident.Service
	version ident.Version
}

// mark is a leaving mark. It holds for its incarnation and all before.
type mark struct {
	incarnation ident.Incarnation
	deadline    time.Time
	at          time.Time
}

// Table knows the endpoints and chooses among them.
type Table struct {
	opts  Options
	nodes Nodes

	endpoints map[ident.EndpointID]*member
	pools     map[poolKey]*pool
	hostMarks map[ident.Host]mark
	endMarks  map[ident.EndpointID]mark
	slots     map[ident.Service]int
	work      map[ident.AttemptID]*work
	lists     uint64 // host lists taken
	stats     Stats

	scratch  scratch
	replicas map[uint64]*replicas // by the hash that names the homes
}

// New returns an empty table.
func New(opts Options) *Table {
	return &Table{
		opts:      opts.withDefaults(),
		nodes:     Nodes{Live: 1},
		endpoints: make(map[ident.EndpointID]*member),
		pools:     make(map[poolKey]*pool),
		hostMarks: make(map[ident.Host]mark),
		endMarks:  make(map[ident.EndpointID]mark),
		slots:     make(map[ident.Service]int),
		work:      make(map[ident.AttemptID]*work),
		replicas:  make(map[uint64]*replicas),
	}
}

// SetNodes takes the live nodes; other nodes' dispatches and the slice of
// endpoints that this node uses are worked out from them.
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

// SetSlots sets the number of requests that an endpoint of service serves at
// once, for endpoints that do not report it.
func (t *Table) SetSlots(service ident.Service, slots int) {
	t.slots[service] = slots
}

// SetHosts takes the platform's lagging list. A host that says "live" stays
// leaving where its incarnation is marked. An endpoint that is no longer listed
// gets no new work and is forgotten once its work has ended. An empty list is taken
// for a failure of the platform where endpoints are known, and changes nothing.
func (t *Table) SetHosts(now time.Time, hosts []platformapi.HostInfo) {
	if len(hosts) == 0 {
		return
	}
	t.lists++
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
		if m.listedIn != t.lists {
			t.unlist(m)
		}
	}
	t.forgetMarks(now)
}

// setEndpoint adds or updates one endpoint of a host. A later incarnation, another
// host or another version is a new endpoint in the place of the old one.
func (t *Table) setEndpoint(now time.Time, h *platformapi.HostInfo, info platformapi.EndpointInfo) {
	m := t.endpoints[info.ID]
	if m != nil && h.Incarnation < m.incarnation && h.Host == m.host {
		m.listedIn = t.lists // by a list that lags
		return
	}
	if m != nil && m.sameLife(h, info) {
		m.listed, m.listedIn = true, t.lists
		m.address = info.Address
		m.price = h.PricePerHour
		t.applyMark(m)
		return
	}
	if m != nil {
		t.remove(m)
	}
	m = newMember(h, info, xxhash.Sum64String(string(info.ID)))
	m.listedIn = t.lists
	if t.lists > 1 {
		m.warmAt = now.Add(t.opts.SlowStart)
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

// unlist stops new work to an endpoint that the host list no longer has.
func (t *Table) unlist(m *member) {
	m.listed = false
	if len(m.inflight) == 0 {
		t.remove(m)
	}
}

// remove forgets an endpoint. Its work in flight stays known until it ends.
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

// grow returns the mark after word of leaving in an incarnation. It never goes back
// to an earlier incarnation, nor to a later deadline.
func (k mark) grow(now time.Time, inc ident.Incarnation, deadline time.Time) (mark, bool) {
	if !k.at.IsZero() && inc < k.incarnation {
		return k, false
	}
	if k.at.IsZero() || inc > k.incarnation {
		return mark{incarnation: inc, deadline: deadline, at: now}, true
	}
	d := earlier(k.deadline, deadline)
	changed := !d.Equal(k.deadline)
	k.deadline = d
	return k, changed
}

// MarkHost marks a host and its endpoints as leaving. The mark grows only.
func (t *Table) MarkHost(now time.Time, n platformapi.Notice) {
	k, grown := t.hostMarks[n.Host].grow(now, n.Incarnation, n.Deadline)
	if !grown {
		return
	}
	t.hostMarks[n.Host] = k
	for _, m := range t.endpoints {
		if m.host == n.Host {
			t.applyMark(m)
		}
	}
}

// MarkEndpoint takes an endpoint's own word that it leaves. The mark grows only.
func (t *Table) MarkEndpoint(now time.Time, id ident.EndpointID, s endpoint.LeavingState) {
	if !s.Leaving {
		return
	}
	k, grown := t.endMarks[id].grow(now, s.Incarnation, s.Deadline)
	if !grown {
		return
	}
	t.endMarks[id] = k
	if m := t.endpoints[id]; m != nil {
		t.applyMark(m)
	}
}

// applyMark sets a member's leaving state from the marks of its incarnation.
func (t *Table) applyMark(m *member) {
	was := m.leaving
	for _, mk := range []mark{t.hostMarks[m.host], t.endMarks[m.id]} {
		if !mk.at.IsZero() && mk.incarnation >= m.incarnation {
			m.leaving = true
			m.deadline = earlier(m.deadline, mk.deadline)
		}
	}
	invariant.Check(m.leaving || !was, invariant.LeavingMarkGrows, "endpoint %q lost its mark", m.id)
	if m.leaving && !was {
		t.pool(poolKey{m.service, m.version}).dirty = true
	}
}

// forgetMarks drops old marks of hosts and endpoints that are gone.
func (t *Table) forgetMarks(now time.Time) {
	if len(t.hostMarks)+len(t.endMarks) == 0 {
		return
	}
	hosts := make(map[ident.Host]bool, len(t.endpoints))
	for _, m := range t.endpoints {
		hosts[m.host] = true
	}
	for h, mk := range t.hostMarks {
		if !hosts[h] && now.Sub(mk.at) > t.opts.MarkRetention {
			delete(t.hostMarks, h)
		}
	}
	for id, mk := range t.endMarks {
		if t.endpoints[id] == nil && now.Sub(mk.at) > t.opts.MarkRetention {
			delete(t.endMarks, id)
		}
	}
}

// Report takes an endpoint's load report. A report older than the last one is
// dropped.
func (t *Table) Report(now time.Time, r endpoint.LoadReport) {
	if m := t.endpoints[r.Endpoint]; m != nil {
		m.setReport(now, r, t.drift(now, t.poolOf(m), m))
	}
}

// Stats returns the counts so far.
func (t *Table) Stats() Stats {
	s := t.stats
	s.Endpoints = len(t.endpoints)
	for _, p := range t.pools {
		s.PrefixBlocks += p.index.len()
		s.Gaps += p.index.gaps
		s.StaleEvents += p.index.stale
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
