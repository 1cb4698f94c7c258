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
	// randomChoices is the number of endpoints drawn at random for each request. With
	// two, the estimate has too few to choose from: see docs/design/route.md.
	randomChoices = 4
	// maxHolders is the maximum number of compared endpoints that have the longest
	// prefix cached.
	maxHolders = 2
	// minSlowStartWeight is the fraction of its random draws that an endpoint accepts
	// at the beginning of its slow start.
	minSlowStartWeight = 0.1
	// homePreference is the fraction of a prompt's prefill time by which a home may be
	// slower and still be chosen, if no endpoint is known to have the prefix cached.
	homePreference = 0.5
	// fullBatchDelay is the time that a full batch adds to the time to first token.
	fullBatchDelay = 5 * time.Millisecond
	// meanLoadMaxAge is how long a pool's cached mean load is used.
	meanLoadMaxAge = 20 * time.Millisecond
)

// scratch contains buffers that are reused between picks.
type scratch struct {
	shares []Share
}

// candidates are the slots compared for one request, as bits.
type candidates struct {
	slots uint64
	// homes is set for a prompt whose prefix no endpoint is known to have cached.
	// Homes are preferred, as other nodes send the same prefix there.
	homes uint64
	salt  uint64 // randomises the order of equal candidates
}

// candidate is an endpoint compared for one request.
type candidate struct {
	m        *member
	estimate Estimate
	rank     time.Duration // the estimated total, minus the preference for a home
	tieBreak uint64
}

// Pick returns the endpoint with the lowest estimated time to first token among a few
// candidates. The error's verdict is NotRun; its code is CodeUnavailable if no
// endpoint may be used, CodeDeadline if the estimate exceeds the deadline.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (Choice, *verdict.Error) {
	t.stats.Picks++
	best, err := t.pick(now, rng, r)
	if err != nil && err.Code == verdict.CodeDeadline {
		// Another version may be faster than the one drawn: try the fallbacks.
		if other, otherErr := t.pick(now, rng, fallbacksOnly(r)); otherErr == nil {
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

// pick returns the best candidate of a version drawn at random by share.
func (t *Table) pick(now time.Time, rng *rand.Rand, r Request) (candidate, *verdict.Error) {
	p, eligible := t.pickVersion(now, rng, r)
	if p == nil {
		return candidate{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"service %q has no usable endpoint of an allowed version", r.Service).After(t.opts.RetryAfter)
	}
	p.index.rotate(now)
	best := t.best(now, p, r, t.candidates(now, rng, p, r, eligible))
	if overrun := t.overrun(now, r, best.estimate); overrun > 0 {
		return candidate{}, verdict.New(verdict.NotRun, verdict.CodeDeadline,
			"service %q: estimated first token after %s passes the deadline", r.Service, best.estimate.Total()).After(overrun)
	}
	return best, nil
}

// fallbacksOnly returns the request restricted to versions marked as a fallback.
func fallbacksOnly(r Request) Request {
	r.Shares = slices.DeleteFunc(slices.Clone(r.Shares), func(s Share) bool { return !s.Fallback })
	return r
}

// overrun returns by how much an estimate exceeds the request's deadline; zero or less
// if it does not.
func (t *Table) overrun(now time.Time, r Request, e Estimate) time.Duration {
	if r.Deadline.IsZero() {
		return 0
	}
	return now.Add(e.Total()).Sub(r.Deadline)
}

// pickVersion draws a version by its share and returns its pool and the slots of its
// eligible endpoints. If the version has none, it draws among the fallbacks.
func (t *Table) pickVersion(now time.Time, rng *rand.Rand, r Request) (*pool, uint64) {
	shares := t.scratch.shares[:0]
	for _, s := range r.Shares {
		if s.Weight > 0 {
			shares = append(shares, s)
		}
	}
	t.scratch.shares = shares
	for len(shares) > 0 {
		i := drawShare(rng, shares)
		if p, eligible := t.eligible(now, r, shares[i]); eligible != 0 {
			return p, eligible
		}
		shares = slices.DeleteFunc(slices.Delete(shares, i, i+1), func(s Share) bool { return !s.Fallback })
	}
	return nil, 0
}

// drawShare returns the index of a share drawn by weight.
func drawShare(rng *rand.Rand, shares []Share) int {
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

// eligible returns the pool of a version and the slots of the endpoints that may be
// picked for r: usable, not ejected and not excluded.
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
	if bits.OnesCount64(ejected) > t.maxEjectable(bits.OnesCount64(usable)) {
		ejected = 0 // the pool has shrunk since the ejections
	}
	return p, usable &^ ejected &^ excluded
}

// candidates returns the slots to compare: random ones, and those homes and holders
// of the prompt's prefix whose load is within the limit.
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
		local := homes(p, key, t.preferLocal(p, eligible), t.localHomes(now, key))
		c.slots |= t.usableHomes(now, rng, p, local)
	}
	c.slots |= t.withinLoadLimit(now, p, sample(rng, holders, maxHolders))
	return c
}

// usableHomes returns the homes that are not skipped for their slow start and whose
// load is within the limit.
func (t *Table) usableHomes(now time.Time, rng *rand.Rand, p *pool, homes uint64) uint64 {
	return t.withinLoadLimit(now, p, t.passSlowStart(now, rng, p, homes))
}

// withinLoadLimit returns those of slots whose load is at most MaxLoadFactor times the
// pool's mean load, plus loadSlack.
func (t *Table) withinLoadLimit(now time.Time, p *pool, slots uint64) uint64 {
	limit := t.opts.MaxLoadFactor*t.poolLoad(now, p) + t.loadSlack()
	for s := slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		if t.loadOf(now, p, p.subset[i]) > limit {
			slots &^= 1 << i
		}
	}
	return slots
}

// loadSlack returns the load allowed even if the pool's mean load is zero: one of
// Options.Concurrency slots.
func (t *Table) loadSlack() float64 {
	return 1 / float64(t.opts.Concurrency)
}

// drawSlots draws endpoints at random. One in its slow start is skipped with a
// probability that falls as the slow start proceeds. If all are skipped, it returns
// all eligible endpoints.
func (t *Table) drawSlots(now time.Time, rng *rand.Rand, p *pool, eligible uint64) uint64 {
	var chosen uint64
	left := eligible
	for n := 0; n < randomChoices && left != 0; {
		bit := uint64(1) << nthBit(left, rng.IntN(bits.OnesCount64(left)))
		left &^= bit
		if t.passSlowStart(now, rng, p, bit) != 0 {
			chosen |= bit
			n++
		}
	}
	if chosen == 0 {
		return eligible
	}
	return chosen
}

// passSlowStart returns those of slots that are not skipped for their slow start.
func (t *Table) passSlowStart(now time.Time, rng *rand.Rand, p *pool, slots uint64) uint64 {
	for s := slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		if w := t.slowStartWeight(now, p.subset[i]); w < 1 && rng.Float64() >= w {
			slots &^= 1 << i
		}
	}
	return slots
}

// slowStartWeight returns the probability with which a draw of the endpoint is accepted.
func (t *Table) slowStartWeight(now time.Time, m *member) float64 {
	left := m.slowStartEnd.Sub(now)
	if left <= 0 {
		return 1
	}
	return max(minSlowStartWeight, 1-left.Seconds()/t.opts.SlowStart.Seconds())
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

// best returns the candidate with the lowest rank; within the tie window the cheaper
// one is preferred.
func (t *Table) best(now time.Time, p *pool, r Request, cs candidates) candidate {
	var best candidate
	for s := cs.slots; s != 0; s &= s - 1 {
		i := bits.TrailingZeros64(s)
		c := candidate{m: p.subset[i], estimate: t.estimate(now, p, p.subset[i], r)}
		c.rank, c.tieBreak = c.estimate.Total(), rendezvous.Mix(c.m.hash^cs.salt)
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
	return a.tieBreak < b.tieBreak
}

// sample returns n random bits of set, or set itself if it has at most n bits.
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
