package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// homeShare is what the home of a prefix is worth where nobody holds it, as a part of
	// the time of reading it: nodes that have the same prefix at once meet there.
	homeShare = 0.8
	// homeTokens is the least shared prefix that has a home, and that nodes tell each
	// other of: to read it again takes a millisecond or two, and has its price.
	homeTokens = 150
	// contextShare is the part of an engine's memory past which running requests are
	// likely preempted.
	contextShare = 0.85
	// fullCost is added for an engine whose memory is full: about the time of
	// reading a preempted request in again.
	fullCost = 500 * time.Millisecond
	// retryAfterNone is told to callers where a service has no endpoint to choose:
	// a new one boots in some seconds, a lost list is back in one or two.
	retryAfterNone = 700 * time.Millisecond
	// freeNodes is the number of nodes up to which each compares all endpoints. They
	// know of each other's choices some hundred milliseconds late; the more of them
	// choose the best one meanwhile, the fuller it is when they arrive. With more nodes
	// each compares its part of the endpoints only, minSample at least.
	freeNodes = 8
	minSample = 8
	// maxSampled bounds the endpoints compared beside those drawn, of each sort.
	maxSampled = 4
	// dialCost is added at an engine to which no connection is open: a round trip, its
	// time for it, and its share of the connections that it takes. Other services have
	// few endpoints, to which connections are open anyway.
	dialCost = 3 * time.Millisecond
	// tieWindow is the difference of two estimates below which chance decides, so
	// that nodes with the same view don't all choose the same endpoint.
	tieWindow = 500 * time.Microsecond
)

// search is a request for an endpoint, and what is the same for all that are compared.
type search struct {
	Request
	shared  int      // tokens of the prefix that other requests may have
	home    *member  // of that prefix; nil for none
	holders []holder // of that prefix
}

// Pick returns the endpoint with the least estimated cost. The error's verdict is
// NotRun: CodeUnavailable where no endpoint may be chosen, CodeDeadline where the
// estimate passes the deadline.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (Choice, *verdict.Error) {
	s := t.service(r.Service)
	candidates := t.candidates(now, s, r)
	if len(candidates) == 0 {
		return Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"service %q has no usable endpoint among %d", r.Service, len(s.members)).After(retryAfterNone)
	}
	long := s.isLong(r)
	pool, others := t.pool(s, candidates, r.Prompt, long)
	q := search{Request: r, shared: r.Prompt.sharedTokens(), home: t.home(candidates, r.Prompt), holders: t.holders(now, s, r)}
	var best Choice
	var bestCost time.Duration
	for _, m := range t.sample(now, rng, candidates, q) {
		c, cost := t.estimate(now, s, m, q)
		c.long = long
		if !slices.Contains(pool, m) {
			cost += others
		}
		cost += time.Duration(rng.Int64N(int64(tieWindow)))
		if best.Endpoint.ID == "" || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	if late := now.Add(best.EstimatedWait).Sub(r.Deadline); !r.Deadline.IsZero() && late > 0 {
		return Choice{}, verdict.New(verdict.NotRun, verdict.CodeDeadline,
			"service %q: first event in %s at the earliest, %s past the deadline", r.Service, best.EstimatedWait, late).After(late)
	}
	return best, nil
}

// sample returns the endpoints to compare: all where few nodes choose among them, and
// else some drawn at random, those that hold the prefix or are its home, and some to
// which a connection is open.
func (t *Table) sample(now time.Time, rng *rand.Rand, candidates []*member, q search) []*member {
	n := max(len(candidates)*freeNodes/max(t.nodes, 1), minSample)
	if n >= len(candidates) {
		return candidates
	}
	var out []*member
	add := func(m *member) {
		if m != nil && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	add(q.home)
	for _, h := range q.holders[:min(len(q.holders), maxSampled)] {
		if slices.Contains(candidates, h.member) {
			add(h.member)
		}
	}
	order := rng.Perm(len(candidates))
	for _, i := range order[:n] {
		add(candidates[i])
	}
	warm := 0
	for _, i := range order[n:] {
		if m := candidates[i]; warm < maxSampled && m.warm.any(now) {
			add(m)
			warm++
		}
	}
	return out
}

// candidates returns the endpoints that may be chosen: the best of some tiers that
// is not empty.
func (t *Table) candidates(now time.Time, s *service, r Request) []*member {
	var good, tired, gone []*member
	for _, m := range s.members {
		switch {
		case m.Leaving || slices.Contains(r.Exclude, m.ID):
		case r.Version != "" && m.Version != r.Version:
		case r.AvoidVersion != "" && m.Version == r.AvoidVersion:
		case !m.missing.IsZero():
			if !r.Imported {
				gone = append(gone, m)
			}
		case m.health.out(now) || m.health.busy(now):
			tired = append(tired, m)
		default:
			good = append(good, m)
		}
	}
	for _, tier := range [][]*member{good, tired, gone} {
		if len(tier) > 0 {
			return tier
		}
	}
	return nil
}

// home returns the endpoint that a prompt's shared prefix goes to where nobody is known
// to hold it: the same at all nodes.
func (t *Table) home(candidates []*member, p Prompt) *member {
	if p.sharedTokens() < homeTokens {
		return nil
	}
	key := p.prefix()
	var best *member
	for _, m := range candidates {
		if best == nil || rendezvous.Mix(m.hash^key) > rendezvous.Mix(best.hash^key) {
			best = m
		}
	}
	return best
}

// estimate returns the choice of a member and its cost: the time to the first
// event, and what the choice takes from others.
func (t *Table) estimate(now time.Time, s *service, m *member, q search) (Choice, time.Duration) {
	running := m.running(now)
	wait := t.opts.RunningCost * time.Duration(running)
	if over := running + 1 - m.Slots; over > 0 {
		wait += seconds(s.took * float64(over) / float64(m.Slots))
	}
	if m.DataCentre != t.opts.DataCentre {
		wait += t.opts.RemoteCost
	}
	cost := seconds(t.opts.FaultCost.Seconds() * m.health.faults(now))
	if m.engine == nil {
		return Choice{Endpoint: m.Endpoint, EstimatedWait: wait}, wait + cost
	}
	c, engineWait, engineCost := t.estimateEngine(now, s, m, q, running)
	c.EstimatedWait = wait + engineWait
	return c, c.EstimatedWait + cost + engineCost
}

// estimateEngine returns what an engine has to read of a prompt, the time of that, and
// what it costs others.
func (t *Table) estimateEngine(now time.Time, s *service, m *member, q search, running int) (c Choice, wait, cost time.Duration) {
	p := q.Prompt
	cachedTokens := t.cachedTokens(now, m, p)
	from, fetched := m.fetch(q.holders, cachedTokens)
	c = Choice{Endpoint: m.Endpoint, UncachedTokens: max(p.Input-cachedTokens-fetched, 1)}
	if from != nil {
		c.FetchFrom = from.Address
		wait += m.fetchTime(from, fetched)
	}
	if q.Imported {
		c.UncachedTokens = 1
	}
	ahead := m.prefill.left(now, s.prefill) + float64(m.peers.PrefillTokens)
	c.reading = readingWork(p.Input-c.UncachedTokens, c.UncachedTokens)
	reading := seconds((ahead + float64(c.reading)) / s.prefill)
	wait += reading
	if reading > q.longestRead() {
		cost += pauseCost * time.Duration(running)
	}
	if m.context+m.peers.ContextTokens+p.Tokens() > int(contextShare*float64(m.engine.CacheTokens)) {
		cost += fullCost
	}
	if !m.warm.any(now) {
		cost += dialCost
	}
	if q.home == m && len(q.holders) == 0 {
		cost -= seconds((1 + t.opts.RecomputeWeight) * homeShare * float64(q.shared) / s.prefill)
	}
	if !q.Imported {
		again := float64(max(q.shared-cachedTokens-fetched, 0)) + fetchWeight*float64(fetched)
		cost += seconds(t.opts.RecomputeWeight * again / s.prefill)
	}
	return c, wait, cost
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
