package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// rebuildInterval is the minimum time between two rebuilds of a subset, unless more
// than half of its members are unusable or its size is out of date.
const rebuildInterval = time.Second

// rateWindow is the time constant of the smoothed dispatch rates.
const rateWindow = 5 * time.Second

// serviceTimeGain is the weight of one finished request in the smoothed service time.
const serviceTimeGain = 0.05

// pool contains the endpoints of one version of a service and the subset of limited
// size that this node uses.
type pool struct {
	key        poolKey
	all        []*member
	subset     []*member // by slot; nil if the slot is free
	subsetSize int       // members in the subset
	dirty      bool
	builtAt    time.Time
	index      *prefixIndex

	rate        rate    // of this node's dispatches
	serviceTime float64 // seconds, smoothed
	meanLoad    meanLoad
}

// meanLoad caches the mean load of a pool, as a fraction of slots in use.
type meanLoad struct {
	at    time.Time
	value float64
}

// rate is an exponentially smoothed rate of requests and of uncached prompt tokens per
// second.
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

// nodesPerEndpoint estimates how many nodes use each endpoint of the pool, this one
// included.
func (t *Table) nodesPerEndpoint(p *pool) float64 {
	if len(p.all) == 0 {
		return 1
	}
	fraction := float64(p.subsetSize) / float64(len(p.all))
	return max(1, float64(t.nodes.Live)*fraction)
}

// refresh rebuilds the subset if it is out of date and a rebuild is due.
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
	if recent && usable > 0 && 2*usable >= p.subsetSize && p.subsetSize == min(len(p.all), t.opts.Candidates) {
		return
	}
	t.rebuild(now, p)
}

// rebuild chooses the subset and assigns slots to its new members. A member that
// remains keeps its slot and its entries in the prefix index.
func (t *Table) rebuild(now time.Time, p *pool) {
	p.dirty, p.builtAt = false, now
	p.meanLoad = meanLoad{}
	chosen := t.chooseSubset(p)
	remaining := make(map[*member]bool, len(chosen))
	for _, m := range chosen {
		remaining[m] = true
	}
	var freed uint64
	for i, m := range p.subset {
		if m != nil && !remaining[m] {
			m.slot, p.subset[i] = noSlot, nil
			freed |= 1 << i
		}
	}
	p.index.clear(freed)
	for _, m := range chosen {
		if m.slot == noSlot {
			p.assignSlot(m)
		}
	}
	p.subsetSize = len(chosen)
}

func (p *pool) assignSlot(m *member) {
	i := slices.Index(p.subset, nil)
	if i < 0 {
		i = len(p.subset)
		p.subset = append(p.subset, nil)
	}
	p.subset[i], m.slot = m, i
}

// chooseSubset returns all usable members if they are at most Candidates, otherwise a
// shard of those in this data centre and a shard of the others. Nodes that use the same
// local shard agree on prefix homes.
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
	return append(t.shard(local, nLocal, true), t.shard(remote, nRemote, false)...)
}

// shard returns this node's n members of ms. The members are ordered by a hash
// common to all nodes of the data centre and divided into shards of n. Local shards
// are assigned to the nodes round robin, so that every shard is used if there are at
// least as many nodes as shards.
func (t *Table) shard(ms []*member, n int, local bool) []*member {
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
	shardCount := (len(ms) + n - 1) / n
	first := t.nodeIndex(local) % shardCount * n
	out := make([]*member, 0, n)
	for i := range n {
		out = append(out, ms[(first+i)%len(ms)])
	}
	return out
}

// nodeIndex returns this node's index among the nodes of its data centre if local is set
// and the node is listed; otherwise a hash of its ID.
func (t *Table) nodeIndex(local bool) int {
	if i, ok := slices.BinarySearch(t.nodes.Local, t.opts.Node); ok && local {
		return i
	}
	return int(hashString(string(t.opts.Node)) >> 1)
}

// Slots returns the number of requests of a service that this node may have in
// flight: its current ones plus its share of the free slots. If all nodes together
// have more requests in flight than there are slots, each node's number is reduced in
// proportion.
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
				running := m.running(t.estimatePeers(now, p, m))
				total += slots
				busy += running
				poolFree += max(0, slots-running)
			}
		}
		free += poolFree / t.nodesPerEndpoint(p)
	}
	if busy > total {
		return int(own * total / busy)
	}
	return int(own + math.Ceil(free))
}
