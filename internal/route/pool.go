package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// Rebuild of a subset waits this long after the last one unless half is unusable.
const rebuildInterval = time.Second

// rateWindow is the time constant of the dispatch rates.
const rateWindow = 5 * time.Second

// serviceTimeGain is the weight of one finished request in the mean service time.
const serviceTimeGain = 0.05

// pool holds the endpoints of one version of a service and the bounded subset
// that this node uses.
type pool struct {
	key     poolKey
	all     []*member
	subset  []*member // by slot; nil where free
	count   int       // members in the subset
	dirty   bool
	builtAt time.Time
	index   *prefixIndex

	rate        rate    // of own dispatches
	serviceTime float64 // seconds, smoothed
	meanLoad    meanLoad
}

// meanLoad caches the mean share of slots in use.
type meanLoad struct {
	at    time.Time
	value float64
}

// rate is an exponentially smoothed rate of requests and of prompt tokens a second.
type rate struct {
	at       time.Time
	requests float64
	tokens   float64
}

func (r *rate) add(now time.Time, tokens float64) {
	r.decay(now)
	r.requests += 1 / rateWindow.Seconds()
	r.tokens += tokens / rateWindow.Seconds()
}

func (r *rate) decay(now time.Time) {
	if dt := now.Sub(r.at); dt > 0 {
		f := math.Exp(-dt.Seconds() / rateWindow.Seconds())
		r.requests *= f
		r.tokens *= f
		r.at = now
	}
}

func newPool(k poolKey, o *Options) *pool {
	return &pool{
		key:         k,
		index:       newPrefixIndex(o.PrefixBlocks, o.PrefixDecay),
		serviceTime: o.ServiceTime.Seconds(),
	}
}

// sharers estimates how many nodes use one endpoint of the pool, this one included.
func (t *Table) sharers(p *pool) float64 {
	if len(p.all) == 0 {
		return 1
	}
	part := float64(p.count) / float64(len(p.all))
	return max(1, float64(t.nodes.Live)*part)
}

// refresh rebuilds the subset where it is out of date.
func (t *Table) refresh(now time.Time, p *pool) {
	if !p.dirty {
		return
	}
	usable := 0
	for _, m := range p.subset {
		if m != nil && m.usable() {
			usable++
		}
	}
	recent := !p.builtAt.IsZero() && now.Sub(p.builtAt) < rebuildInterval
	if recent && usable > 0 && 2*usable >= p.count && p.count == min(len(p.all), t.opts.Candidates) {
		return
	}
	t.rebuild(now, p)
}

// rebuild chooses the subset and gives its new members slots. A member that stays
// keeps its slot, and with it its part of the prefix index.
func (t *Table) rebuild(now time.Time, p *pool) {
	p.dirty, p.builtAt = false, now
	p.meanLoad = meanLoad{}
	chosen := t.chooseSubset(p)
	keep := make(map[*member]bool, len(chosen))
	for _, m := range chosen {
		keep[m] = true
	}
	var freed uint64
	for i, m := range p.subset {
		if m != nil && !keep[m] {
			m.slot, p.subset[i] = noSlot, nil
			freed |= 1 << i
		}
	}
	p.index.clear(freed)
	for _, m := range chosen {
		if m.slot == noSlot {
			p.takeSlot(m)
		}
	}
	p.count = len(chosen)
}

func (p *pool) takeSlot(m *member) {
	i := slices.Index(p.subset, nil)
	if i < 0 {
		i = len(p.subset)
		p.subset = append(p.subset, nil)
	}
	p.subset[i], m.slot = m, i
}

// chooseSubset returns at most Candidates usable members: a slice of this data
// centre's, shared with the nodes of the same slice so that they agree on prefix
// homes, and others by rendezvous hash.
func (t *Table) chooseSubset(p *pool) []*member {
	var local, remote []*member
	for _, m := range p.all {
		switch {
		case !m.usable():
		case m.dc == t.opts.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
	}
	if len(local)+len(remote) <= t.opts.Candidates {
		return append(local, remote...)
	}
	nLocal := min(len(local), int(float64(t.opts.Candidates)*t.opts.LocalShare))
	nRemote := min(len(remote), t.opts.Candidates-nLocal)
	nLocal = min(len(local), t.opts.Candidates-nRemote)
	return append(t.slice(local, nLocal, true), t.slice(remote, nRemote, false)...)
}

// slice returns this node's n members of ms. The members are ordered by a hash
// common to all nodes of the data centre and cut into slices of n; the nodes take
// slices in turn, so that every slice has a node while there are nodes enough.
func (t *Table) slice(ms []*member, n int, local bool) []*member {
	if n >= len(ms) {
		return ms
	}
	if n == 0 {
		return nil
	}
	seed := hashString(string(t.opts.DataCentre))
	slices.SortFunc(ms, func(a, b *member) int {
		if c := cmp.Compare(rendezvous.Mix(a.hash^seed), rendezvous.Mix(b.hash^seed)); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	slicesOf := (len(ms) + n - 1) / n
	first := t.turn(local) % slicesOf * n
	out := make([]*member, 0, n)
	for i := range n {
		out = append(out, ms[(first+i)%len(ms)])
	}
	return out
}

// turn returns this node's place among the nodes of its data centre.
func (t *Table) turn(local bool) int {
	if i, ok := slices.BinarySearch(t.nodes.Local, t.opts.Node); ok && local {
		return i
	}
	return int(hashString(string(t.opts.Node)) >> 1)
}

// Slots returns the number of requests of a service that this node may have in
// flight: its own now, and its part of the free slots. Where the nodes together
// have more in flight than there are slots, each gives up its part of the excess.
func (t *Table) Slots(now time.Time, service ident.Service) int {
	var free, own, total, busy float64
	for _, p := range t.sortedPools(service) {
		t.refresh(now, p)
		poolFree := 0.0
		for _, m := range p.subset {
			if m == nil {
				continue
			}
			own += float64(len(m.inflight))
			if m.usable() && !m.health.ejected(now) {
				slots := float64(m.slots(t.slots[service], t.opts.Concurrency))
				running := m.running(t.others(now, p, m))
				total += slots
				busy += running
				poolFree += max(0, slots-running)
			}
		}
		free += poolFree / t.sharers(p)
	}
	if busy > total {
		return int(own * total / busy)
	}
	return int(own + math.Ceil(free))
}
