package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// member is one incarnation of an endpoint, with what this node knows of its state.
type member struct {
	site.Endpoint
	hash            uint64
	incarnation     site.IncarnationHash
	engine          *site.Engine // nil for an endpoint that is not an engine
	missingSince    time.Time    // when it was first no longer listed; zero while listed
	leavingSince    time.Time    // when it was first leaving or missing; zero otherwise
	terminationTime time.Time    // of a leaving or missing endpoint; zero otherwise
	timeReported    bool         // the endpoint has reported its terminationTime itself
	inflight        map[ident.AttemptID]*attempt
	reserved        int // requests of other nodes in flight that spend this node's share
	backlog         backlog
	contextTokens   int // tokens of this node's requests in the KV cache
	peerLoad        Load
	reported        reportedLoad
	cache           cache
	peerPrefixes    map[uint64]time.Time // prefixes that other nodes have sent there, by time of receipt
	health          health
	idleConns       idleConns
}

// attempt is an attempt of this node in flight.
type attempt struct {
	member        *member
	dispatched    time.Time
	prefillWork   int // see the function prefillWork
	contextTokens int
	started       bool // its first event has arrived
	noBacklog     bool // no other prefill was outstanding when it was dispatched
}

// reportedLoad is the load that an endpoint last reported, and the number of this node's
// attempts in flight there at that time.
type reportedLoad struct {
	received time.Time
	running  int // including waiting requests
	inflight int
}

// reportedLoadMaxAge is how long a reported load is used.
const reportedLoadMaxAge = 400 * time.Millisecond

func newMember(e site.Endpoint, engine *site.Engine) *member {
	m := &member{Endpoint: e, incarnation: e.Hash(), hash: xxhash.Sum64String(string(e.ID)), engine: engine, inflight: make(map[ident.AttemptID]*attempt), peerPrefixes: make(map[uint64]time.Time)}
	m.cache.segments = make(map[uint64]cachedSegment)
	if engine != nil {
		m.cache.maxTokens = engine.CacheTokens
	}
	return m
}

// setTerminationTime sets when a leaving or missing endpoint terminates: after the time
// that it reported, or else drainTime after it was first seen as leaving or missing. The
// report may come later than the first sign that it leaves.
func (m *member) setTerminationTime(now time.Time, drainTime time.Duration) {
	switch {
	case !m.Leaving && m.missingSince.IsZero():
		m.leavingSince, m.terminationTime = time.Time{}, time.Time{}
		return
	case m.LeavesIn > 0 && !m.timeReported:
		m.terminationTime, m.timeReported = now.Add(m.LeavesIn), true
	case m.terminationTime.IsZero():
		m.terminationTime = now.Add(drainTime)
	}
	if m.leavingSince.IsZero() {
		m.leavingSince = now
	}
}

// running estimates the number of requests of all nodes at the endpoint.
func (m *member) running(now time.Time) int {
	n := len(m.inflight) + m.peerLoad.Running
	if now.Sub(m.reported.received) < reportedLoadMaxAge {
		n = max(n, m.reported.running+len(m.inflight)-m.reported.inflight)
	}
	return max(n, len(m.inflight))
}

// backlog estimates the prompt tokens of this node whose prefill is outstanding at an
// endpoint.
type backlog struct {
	tokens  float64
	updated time.Time
}

// remaining returns the tokens that remain at now, at a prefill rate in tokens per second.
func (b *backlog) remaining(now time.Time, rate float64) float64 {
	return max(0, b.tokens-rate*now.Sub(b.updated).Seconds())
}

func (b *backlog) add(now time.Time, rate float64, tokens int) {
	b.tokens, b.updated = b.remaining(now, rate)+float64(tokens), now
}

// limit lowers the backlog to at most maxTokens.
func (b *backlog) limit(now time.Time, rate float64, maxTokens float64) {
	b.tokens, b.updated = min(b.remaining(now, rate), maxTokens), now
}

// cachedSegment is a prompt segment in an endpoint's KV cache.
type cachedSegment struct {
	tokens   int
	lastUsed time.Time
}

// cache estimates which segments of this node's requests are in an endpoint's KV cache.
type cache struct {
	segments  map[uint64]cachedSegment
	tokens    int
	maxTokens int
}

// prefixTokens returns the number of tokens of the leading segments that are likely cached.
func (c *cache) prefixTokens(now time.Time, segments []PromptSegment, retention time.Duration) int {
	sum := 0
	for _, s := range segments {
		entry, ok := c.segments[s.ID]
		if !ok || now.Sub(entry.lastUsed) > retention {
			break
		}
		sum += s.Tokens
	}
	return sum
}

// add records that the segments have been used at now.
func (c *cache) add(now time.Time, segments []PromptSegment) {
	for _, s := range segments {
		if _, ok := c.segments[s.ID]; !ok {
			c.tokens += s.Tokens
		}
		c.segments[s.ID] = cachedSegment{s.Tokens, now}
	}
	if c.tokens > c.maxTokens {
		c.evict()
	}
}

// evict removes the segments last used in the older half of the time span of last uses.
func (c *cache) evict() {
	var oldest, newest time.Time
	for _, s := range c.segments {
		if oldest.IsZero() || s.lastUsed.Before(oldest) {
			oldest = s.lastUsed
		}
		if s.lastUsed.After(newest) {
			newest = s.lastUsed
		}
	}
	cutoff := oldest.Add(newest.Sub(oldest) / 2)
	for id, s := range c.segments {
		if !s.lastUsed.After(cutoff) {
			c.tokens -= s.tokens
			delete(c.segments, id)
		}
	}
}

// idleConns estimates the number of idle connections that are open to an endpoint.
type idleConns struct {
	count        int
	lastReturned time.Time // when a connection last became idle
}

// idleConnLifetime is how long an idle connection is assumed to stay open: endpoints close
// idle connections after a few seconds.
const idleConnLifetime = 5 * time.Second

func (c *idleConns) take() { c.count = max(c.count-1, 0) }

func (c *idleConns) put(now time.Time) { c.count, c.lastReturned = c.count+1, now }

// any reports whether an idle connection is likely open.
func (c *idleConns) any(now time.Time) bool {
	return c.count > 0 && now.Sub(c.lastReturned) < idleConnLifetime
}
