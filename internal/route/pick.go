package route

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// randomChoices is the number of endpoints drawn at random for each request.
	// At two the estimate had too little to choose from: see docs/design/route.md.
	randomChoices = 4
	// maxHolders is the number of holders of the longest prefix that are compared.
	maxHolders = 2
	// minSlowStart is the part of draws that an endpoint takes at its very start.
	minSlowStart = 0.1
	// homePreference is the part of a prompt's prefill that a longer queue at the
	// home may cost, where no endpoint is known to hold the prefix.
	homePreference = 0.5
	// slotCost is the time that a full batch adds to the first token.
	slotCost = 5 * time.Millisecond
	// meanLoadAge is how long the mean load of a pool is used.
	meanLoadAge = 20 * time.Millisecond
)

// scratch is reused between picks.
type scratch struct {
	shares []Share
}

// candidates are the slots compared for one request.
type candidates struct {
	slots uint64
	// homes of a prompt that no endpoint is known to hold; they are preferred, as
	// other nodes send the same prefix there.
	homes uint64
	salt  uint64 // orders equal candidates
}

// candidate is an endpoint compared for one request.
type candidate struct {
	m        *member
	estimate Estimate
	rank     time.Duration // the estimate, less the preference for a home
	tie      uint64
}

// Pick returns the endpoint with the least estimated time to first token among a
// few candidates. The error's verdict is NotRun: CodeUnavailable where no endpoint
// may be used, CodeDeadline where the estimate passes the deadline.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (Choice, *verdict.Error) {
	t.stats.Picks++
	best, err := t.pick(now, rng, r)
	if err != nil && err.Code == verdict.CodeDeadline {
		// The version drawn may be the slow one: a fallback may be in time.
		if other, otherErr := t.pick(now, rng, fallbacks(r)); otherErr == nil {
			best, err = other, nil
		}
	}
	if err != nil {
		t.stats.Refused++
		return Choice{}, err
	}
	m := best.m
	return Choice{
		Endpoint:    m.id,
		Address:     m.address,
		Version:     m.version,
		DataCentre:  m.dc,
		Incarnation: m.incarnation,
		Estimate:    best.estimate,
	}, nil
}

// pick returns the best candidate of a version drawn by its share.
func (t *Table) pick(now time.Time, rng *rand.Rand, r Request) (candidate, *verdict.Error) {
	p, eligible := t.pickVersion(now, rng, r)
	if p == nil {
		return candidate{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"service %q has no usable endpoint of an allowed version", r.Service).After(t.opts.RetryAfter)
	}
	p.index.rotate(now)
	best := t.best(now, p, r, t.candidates(now, rng, p, r, eligible))
	if late := t.late(now, r, best.estimate); late > 0 {
		return candidate{}, verdict.New(verdict.NotRun, verdict.CodeDeadline,
			"service %q: estimated first token after %s passes the deadline", r.Service, best.estimate.Total()).After(late)
	}
	return best, nil
}

// fallbacks returns the request with the versions that take others' work only.
func fallbacks(r Request) Request {
	r.Shares = slices.DeleteFunc(slices.Clone(r.Shares), func(s Share) bool { return !s.Fallback })
	return r
}

// late returns by how much an estimate passes the request's deadline.
func (t *Table) late(now time.Time, r Request, e Estimate) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return now.Add(e.Total()).Sub(r.Deadline)
}

// pickVersion draws a version by its share and returns its pool and the slots of
// its eligible endpoints. A version without any passes the request to a fallback.
func (t *Table) pickVersion(now time.Time, rng *rand.Rand, r Request) (*pool, uint64) {
	shares := t.scratch.shares[:0]
	for _, s := range r.Shares {
		if s.Weight > 0 {
			shares = append(shares, s)
		}
	}
	t.scratch.shares = shares
	for len(shares) > 0 {
		i := draw(rng, shares)
		if p, eligible := t.eligible(now, r, shares[i]); eligible != 0 {
			return p, eligible
		}
		shares = slices.DeleteFunc(slices.Delete(shares, i, i+1), func(s Share) bool { return !s.Fallback })
	}
	return nil, 0
}

// draw returns the index of a share drawn by weight.
func draw(rng *rand.Rand, shares []Share) int {
	if len(shares) == 1 {
		return 0
	}
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	x := rng.Float64() * sum
	for i, s := range shares {
		if x -= s.Weight; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// eligible returns the pool of a version and the slots of the endpoints that may
// be picked for r.
func (t *Table) eligible(now time.Time, r Request, s Share) (*pool, uint64) {
	p := t.pools[poolKey{r.Service, s.Version}]
	if p == nil {
		return nil, 0
	}
	t.refresh(now, p)
	var usable, ejected, excluded uint64
	for i, m := range p.subset {
		if m == nil || !m.usable() {
			continue
		}
		usable |= 1 << i
		if m.health.ejected(now) {
			ejected |= 1 << i
		}
		if slices.Contains(r.Exclude, m.id) {
			excluded |= 1 << i
		}
	}
	if bits.OnesCount64(ejected) > t.ejectable(bits.OnesCount64(usable)) {
		ejected = 0 // the pool has shrunk since
	}
	return p, usable &^ ejected &^ excluded
}

// candidates returns the slots to compare: random ones, and those homes and
// holders of the prompt's prefix whose load is bounded.
func (t *Table) candidates(now time.Time, rng *rand.Rand, p *pool, r Request, eligible uint64) candidates {
	c := candidates{slots: t.drawSlots(now, rng, p, eligible), salt: rng.Uint64()}
	if len(r.Chain) == 0 {
		return c
	}
	depth := min(len(r.Chain), t.opts.HomeBlocks)
	key := r.Chain[depth-1]
	n, holders := p.index.match(r.Chain, eligible)
	if n < depth {
		c.homes = t.usableHomes(now, rng, p, homes(p, key, eligible, t.opts.Homes))
		c.slots |= c.homes
	} else {
		local := homes(p, key, t.local(p, eligible), t.localHomes(now, key))
		c.slots |= t.usableHomes(now, rng, p, local)
	}
	c.slots |= t.bounded(now, p, sample(rng, holders, maxHolders))
	return c
}

// usableHomes returns the homes that are warm and whose load is bounded.
func (t *Table) usableHomes(now time.Time, rng *rand.Rand, p *pool, homes uint64) uint64 {
	return t.bounded(now, p, t.warm(now, rng, p, homes))
}

// bounded returns those of slots whose load is not far above the pool's mean.
func (t *Table) bounded(now time.Time, p *pool, slots uint64) uint64 {
	bound := t.opts.LoadBound*t.mean(now, p) + t.loadSlack()
	for s := slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		if t.loadOf(now, p, p.subset[i]) > bound {
			slots &^= 1 << i
		}
	}
	return slots
}

// loadSlack is the share of slots that a home may have in use whatever the mean.
func (t *Table) loadSlack() float64 {
	return 1 / float64(t.opts.Concurrency)
}

// drawSlots draws endpoints at random. One in its slow start is passed over with a
// chance that falls as it warms.
func (t *Table) drawSlots(now time.Time, rng *rand.Rand, p *pool, eligible uint64) uint64 {
	var chosen uint64
	left := eligible
	for n := 0; n < randomChoices && left != 0; {
		bit := uint64(1) << nthBit(left, rng.IntN(bits.OnesCount64(left)))
		left &^= bit
		if t.warm(now, rng, p, bit) != 0 {
			chosen |= bit
			n++
		}
	}
	if chosen == 0 {
		return eligible
	}
	return chosen
}

// warm returns those of slots that are not passed over for their slow start.
func (t *Table) warm(now time.Time, rng *rand.Rand, p *pool, slots uint64) uint64 {
	for s := slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		if w := t.warmth(now, p.subset[i]); w < 1 && rng.Float64() >= w {
			slots &^= 1 << i
		}
	}
	return slots
}

// warmth returns the part of its draws that an endpoint takes.
func (t *Table) warmth(now time.Time, m *member) float64 {
	left := m.warmAt.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minSlowStart, 1-left.Seconds()/t.opts.SlowStart.Seconds())
}

// homes returns the n slots with the highest rendezvous scores for a prefix.
func homes(p *pool, key uint64, eligible uint64, n int) uint64 {
	var chosen uint64
	for range n {
		best, top := -1, uint64(0)
		for s := eligible &^ chosen; s != 0; s &= s - 1 {
			i := bits.TrailingZeros64(s)
			if score := rendezvous.Mix(key ^ p.subset[i].hash); best < 0 || score > top {
				best, top = i, score
			}
		}
		if best >= 0 {
			chosen |= 1 << best
		}
	}
	return chosen
}

// best compares candidates by their estimates; within the tie window the cheaper
// one wins.
func (t *Table) best(now time.Time, p *pool, r Request, cs candidates) candidate {
	var best candidate
	for s := cs.slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		c := candidate{m: p.subset[i], estimate: t.estimate(now, p, p.subset[i], r)}
		c.rank, c.tie = c.estimate.Total(), rendezvous.Mix(c.m.hash^cs.salt)
		if cs.homes>>i&1 != 0 {
			c.rank -= time.Duration(homePreference * float64(c.estimate.Prefill))
		}
		if best.m == nil || t.better(c, best) {
			best = c
		}
	}
	return best
}

func (t *Table) better(a, b candidate) bool {
	d := a.rank - b.rank
	if d.Abs() <= t.opts.TieWindow && a.m.price != b.m.price {
		return a.m.price < b.m.price
	}
	if d != 0 {
		return d < 0
	}
	return a.tie < b.tie
}

// sample returns n random bits of set, or all of them where they are fewer.
func sample(rng *rand.Rand, set uint64, n int) uint64 {
	if bits.OnesCount64(set) <= n {
		return set
	}
	var out uint64
	for range n {
		left := set &^ out
		out |= 1 << nthBit(left, rng.IntN(bits.OnesCount64(left)))
	}
	return out
}

// nthBit returns the position of the n-th set bit of x, from zero.
func nthBit(x uint64, n int) int {
	for range n {
		x &= x - 1
	}
	return bits.TrailingZeros64(x)
}
