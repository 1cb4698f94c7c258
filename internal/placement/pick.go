package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// homeDiscount is the discount for the home endpoint of a prefix with no known location,
	// as a fraction of the cost of computing the prefix: nodes that get requests with the
	// same new prefix at the same time then choose the same endpoint.
	homeDiscount = 0.8
	// minPrefixTokens is the length from which a shared prefix has a home endpoint and is
	// advertised to other nodes: recomputing it takes 1 to 2 ms and is charged.
	minPrefixTokens = 150
	// cacheFullShare is the fraction of an engine's KV cache beyond which running requests
	// are likely preempted.
	cacheFullShare = 0.85
	// cacheFullCost is added for an engine whose KV cache is full: about the time to
	// recompute the cache of a preempted request.
	cacheFullCost = 500 * time.Millisecond
	// noEndpointRetryAfter is the retry delay where a service has no usable endpoint: a new
	// endpoint starts within several seconds, a list that could not be read is available
	// again within one or two.
	noEndpointRetryAfter = 700 * time.Millisecond
	// minReturnSpread is the shortest time over which the return of refused callers is
	// spread where the endpoints of a service want no calls.
	minReturnSpread = 500 * time.Millisecond
	// maxFullSearchNodes is the number of nodes up to which each compares all endpoints.
	// Nodes learn of each other's choices with a delay of some hundred milliseconds; the
	// more nodes choose the same best endpoint in that time, the more it is overloaded.
	// With more nodes each compares a sample of the endpoints, inversely proportional to
	// the number of nodes but at least minSample.
	maxFullSearchNodes = 8
	minSample          = 8
	// maxExtraSamples limits the endpoints added to the random sample because they have the
	// prefix, and likewise those added because a connection is open.
	maxExtraSamples = 4
	// dialCost is added for an engine to which no connection is open: a round trip, the
	// engine's time to accept, and the use of one of its limited connections. It does not
	// apply to other services, which have few endpoints with connections open anyway.
	dialCost = 3 * time.Millisecond
	// tieWindow is the maximum random addition to an estimate, so that nodes with the same
	// data don't all choose the same endpoint.
	tieWindow = 500 * time.Microsecond
)

// query is a request with the values that are the same for all compared endpoints.
type query struct {
	Request
	prefixTokens int        // length of the shared prefix
	home         *member    // home endpoint of that prefix; nil for none
	cacheHits    []cacheHit // endpoints that likely cache that prefix
}

// Pick returns the endpoint with the least estimated cost. The error's verdict is
// NotRun: CodeUnavailable where no endpoint may be chosen, CodeDeadline where the
// estimate passes the deadline.
func (t *Table) Pick(now time.Time, rng *rand.Rand, r Request) (Choice, *verdict.Error) {
	s := t.service(r.Service)
	candidates := t.candidates(now, s, r)
	if len(candidates) == 0 {
		if c, ok := t.throughOthers(now, rng, s, r); ok {
			return c, nil
		}
		return Choice{}, t.noCandidate(now, rng, s, r)
	}
	long := s.isLong(r)
	preferred, otherPenalty := t.preferredCandidates(s, candidates, r.Prompt, long)
	q := query{Request: r, prefixTokens: r.Prompt.sharedTokens(), home: t.home(candidates, r.Prompt), cacheHits: t.cacheHits(now, s, r)}
	var best Choice
	var bestCost time.Duration
	for _, m := range t.sample(now, rng, candidates, q) {
		c, cost := t.estimate(now, s, m, q)
		c.long = long
		if !slices.Contains(preferred, m) {
			cost += otherPenalty
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

// wait returns how long an endpoint wants no calls from this node, for a time that it has asked
// for or by its limit.
func (t *Table) wait(now time.Time, m *member) time.Duration {
	return max(m.health.backoffUntil.Sub(now), t.limits.Wait(now, m.incarnation), t.limits.Room(now, m.incarnation, len(m.inflight)+m.reserved, m.Slots), 0)
}

// noCandidate returns the error where no endpoint may be chosen. If endpoints want no calls
// for some time, the caller is to return when the first of them accepts calls again.
//
// Pattern: herd after a shed. All callers that were refused meanwhile would return at that
// moment, from all nodes, and be shed again. Their return is spread over as long as the
// endpoint asked for, so that at most the callers of twice that time arrive in it.
func (t *Table) noCandidate(now time.Time, rng *rand.Rand, s *service, r Request) *verdict.Error {
	var first *member
	var shortest time.Duration
	for _, m := range s.members {
		if wait := t.wait(now, m); wait > 0 && t.fits(m, r) && (first == nil || wait < shortest) {
			first, shortest = m, wait
		}
	}
	if first == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"service %q has no usable endpoint among %d", r.Service, len(s.members)).After(noEndpointRetryAfter)
	}
	spread := max(shortest, minReturnSpread)
	if first.health.backingOff(now) {
		spread = max(first.health.backoffTime, minReturnSpread)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"all usable endpoints of service %q want no calls now, the first one for another %s", r.Service, shortest).After(shortest + time.Duration(rng.Int64N(int64(spread))))
}

// fits reports whether an endpoint may be chosen for a request by what is asked for.
func (t *Table) fits(m *member, r Request) bool {
	switch {
	case m.Leaving || slices.Contains(r.Exclude, m.ID):
		return false
	case t.evacuated[m.DataCentre] || !t.opts.Regions.Allow(r.Homes, m.DataCentre):
		return false
	case r.Version != "" && m.Version != r.Version:
		return false
	default:
		return r.AvoidVersion == "" || m.Version != r.AvoidVersion
	}
}

// sample returns the endpoints to compare. Up to maxFullSearchNodes nodes these are all;
// otherwise a random sample, the home endpoint of the prefix, and some endpoints that have
// the prefix or an open connection.
func (t *Table) sample(now time.Time, rng *rand.Rand, candidates []*member, q query) []*member {
	n := max(len(candidates)*maxFullSearchNodes/max(t.nodeCount, 1), minSample)
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
	for _, h := range q.cacheHits[:min(len(q.cacheHits), maxExtraSamples)] {
		if slices.Contains(candidates, h.member) {
			add(h.member)
		}
	}
	order := rng.Perm(len(candidates))
	for _, i := range order[:n] {
		add(candidates[i])
	}
	connected := 0
	for _, i := range order[n:] {
		if m := candidates[i]; connected < maxExtraSamples && m.idleConns.any(now) {
			add(m)
			connected++
		}
	}
	return out
}

// candidates returns the endpoints that may be chosen: the first non-empty of the healthy,
// the ejected or full, and the missing ones. Endpoints that want no calls at present are left
// out.
func (t *Table) candidates(now time.Time, s *service, r Request) []*member {
	var healthy, unhealthy, missing []*member
	for _, m := range s.members {
		switch {
		case !t.fits(m, r) || t.wait(now, m) > 0:
		case !m.missingSince.IsZero():
			if !r.Imported {
				missing = append(missing, m)
			}
		case m.health.ejected(now) || m.health.full(now):
			unhealthy = append(unhealthy, m)
		default:
			healthy = append(healthy, m)
		}
	}
	for _, tier := range [][]*member{healthy, unhealthy, missing} {
		if len(tier) > 0 {
			return tier
		}
	}
	return nil
}

// home returns the endpoint for a prompt's shared prefix where no location of the prefix is
// known. All nodes compute the same one. It is nil for a short prefix.
func (t *Table) home(candidates []*member, p Prompt) *member {
	if p.sharedTokens() < minPrefixTokens {
		return nil
	}
	key := p.prefixID()
	var best *member
	for _, m := range candidates {
		if best == nil || rendezvous.Mix(m.hash^key) > rendezvous.Mix(best.hash^key) {
			best = m
		}
	}
	return best
}

// estimate returns the choice of a member and its cost: the time to the first event, and
// penalties for the effect on other requests and for recent faults.
func (t *Table) estimate(now time.Time, s *service, m *member, q query) (Choice, time.Duration) {
	running := m.running(now)
	wait := t.opts.RunningCost * time.Duration(running)
	if over := running + 1 - m.Slots; over > 0 {
		wait += seconds(s.requestTime * float64(over) / float64(m.Slots))
	}
	if m.DataCentre != t.opts.DataCentre {
		wait += t.opts.RemoteCost
	}
	cost := seconds(t.opts.FaultCost.Seconds() * m.health.recentFaultRate(now))
	if m.engine == nil {
		return Choice{Endpoint: m.Endpoint, EstimatedWait: wait}, wait + cost
	}
	c, engineWait, engineCost := t.estimateEngine(now, s, m, q, running)
	c.EstimatedWait = time.Duration(float64(wait+engineWait) * t.slowness(now, s, m))
	return c, c.EstimatedWait + cost + engineCost
}

// estimateEngine returns the choice of an engine without EstimatedWait, the time for the
// prefill and the fetch, and the additional cost.
func (t *Table) estimateEngine(now time.Time, s *service, m *member, q query, running int) (c Choice, wait, cost time.Duration) {
	p := q.Prompt
	cachedTokens := t.cachedTokens(now, m, p)
	source, fetched := m.fetchSource(q.cacheHits, cachedTokens)
	c = Choice{Endpoint: m.Endpoint, UncachedTokens: max(p.Input-cachedTokens-fetched, 1)}
	if source != nil {
		c.FetchFrom = source.Address
		wait += m.fetchTime(source, fetched)
	}
	if q.Imported {
		c.UncachedTokens = 1
	}
	backlog := m.backlog.remaining(now, s.prefillRate) + float64(m.peerLoad.PrefillTokens)
	c.prefillWork = prefillWork(p.Input-c.UncachedTokens, c.UncachedTokens)
	prefillTime := seconds((backlog + float64(c.prefillWork)) / s.prefillRate)
	wait += prefillTime
	if prefillTime > q.maxPrefillTime() {
		cost += streamDelayCost * time.Duration(running)
	}
	if m.contextTokens+m.peerLoad.ContextTokens+p.Tokens() > int(cacheFullShare*float64(m.engine.CacheTokens)) {
		cost += cacheFullCost
	}
	if !m.idleConns.any(now) {
		cost += dialCost
	}
	if q.home == m && len(q.cacheHits) == 0 {
		cost -= seconds((1 + t.opts.RecomputeWeight) * homeDiscount * float64(q.prefixTokens) / s.prefillRate)
	}
	if !q.Imported {
		recomputed := float64(max(q.prefixTokens-cachedTokens-fetched, 0)) + fetchWeight*float64(fetched)
		cost += seconds(t.opts.RecomputeWeight * recomputed / s.prefillRate)
	}
	return c, wait, cost
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
