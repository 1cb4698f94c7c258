package placement

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// member is one life of an endpoint.
type member struct {
	site.Endpoint
	hash     uint64
	engine   *site.Engine // nil at a plain service
	missing  time.Time    // since when the list lacks it; zero while listed
	leaves   time.Time    // when it ends, for one that leaves; zero otherwise
	inflight map[ident.AttemptID]*work
	prefill  backlog
	context  int // tokens of own requests in memory
	peers    Load
	said     saidLoad
	cache    cache
	told     map[uint64]time.Time // prefixes that other nodes have sent there
	health   health
	warm     warm
}

// work is one attempt of this node under way.
type work struct {
	m       *member
	at      time.Time
	reading int // tokens of work, see readingWork
	context int
	first   bool // its first event has come
	alone   bool // no prefill was ahead of it
}

// saidLoad is what an endpoint last said of its load, beside what this node then
// had in flight there.
type saidLoad struct {
	at       time.Time
	running  int
	inflight int
}

// saidFor is how long an endpoint's own word of its load counts.
const saidFor = 400 * time.Millisecond

func newMember(e site.Endpoint, engine *site.Engine) *member {
	m := &member{Endpoint: e, hash: xxhash.Sum64String(string(e.ID)), engine: engine, inflight: make(map[ident.AttemptID]*work), told: make(map[uint64]time.Time)}
	m.cache.parts = make(map[uint64]cached)
	if engine != nil {
		m.cache.limit = engine.CacheTokens
	}
	return m
}

// setDeparture notes when a leaving endpoint ends: at the time that it tells, or some
// time after it was first seen to leave, or to be gone from the list.
func (m *member) setDeparture(now time.Time, drain time.Duration) {
	switch {
	case !m.Leaving && m.missing.IsZero():
		m.leaves = time.Time{}
	case m.leaves.IsZero():
		m.leaves = now.Add(cmp.Or(m.LeavesIn, drain))
	}
}

// running estimates the requests at the endpoint.
func (m *member) running(now time.Time) int {
	n := len(m.inflight) + m.peers.Running
	if now.Sub(m.said.at) < saidFor {
		n = max(n, m.said.running+len(m.inflight)-m.said.inflight)
	}
	return max(n, len(m.inflight))
}

// backlog estimates the prompt tokens of this node that an endpoint has not read.
type backlog struct {
	tokens float64
	at     time.Time
}

// left returns the tokens left at now, at a speed in tokens a second.
func (b *backlog) left(now time.Time, speed float64) float64 {
	return max(0, b.tokens-speed*now.Sub(b.at).Seconds())
}

func (b *backlog) add(now time.Time, speed float64, tokens int) {
	b.tokens, b.at = b.left(now, speed)+float64(tokens), now
}

// drop takes tokens off that were read, or never will be.
func (b *backlog) drop(now time.Time, speed float64, most float64) {
	b.tokens, b.at = min(b.left(now, speed), most), now
}

// cached is a part in an endpoint's cache.
type cached struct {
	tokens int
	used   time.Time
}

// cache is what this node's requests have likely left in an endpoint's cache.
type cache struct {
	parts  map[uint64]cached
	tokens int
	limit  int
}

// prefix returns how many tokens of the leading parts are likely cached.
func (c *cache) prefix(now time.Time, parts []PromptSegment, memory time.Duration) int {
	sum := 0
	for _, p := range parts {
		have, ok := c.parts[p.ID]
		if !ok || now.Sub(have.used) > memory {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// use notes that the parts are in the cache now.
func (c *cache) use(now time.Time, parts []PromptSegment) {
	for _, p := range parts {
		if _, ok := c.parts[p.ID]; !ok {
			c.tokens += p.Tokens
		}
		c.parts[p.ID] = cached{p.Tokens, now}
	}
	if c.tokens > c.limit {
		c.shrink()
	}
}

// shrink drops the least recently used half of the time span.
func (c *cache) shrink() {
	var oldest, newest time.Time
	for _, p := range c.parts {
		if oldest.IsZero() || p.used.Before(oldest) {
			oldest = p.used
		}
		if p.used.After(newest) {
			newest = p.used
		}
	}
	cut := oldest.Add(newest.Sub(oldest) / 2)
	for id, p := range c.parts {
		if !p.used.After(cut) {
			c.tokens -= p.tokens
			delete(c.parts, id)
		}
	}
}

// warm counts the connections to an endpoint that are likely open and idle.
type warm struct {
	idle int
	last time.Time // when one was put back
}

// warmFor is how long an idle connection is taken to stay open: endpoints close theirs
// after some seconds.
const warmFor = 5 * time.Second

func (w *warm) take() { w.idle = max(w.idle-1, 0) }

func (w *warm) put(now time.Time) { w.idle, w.last = w.idle+1, now }

// any tells whether there is such a connection.
func (w *warm) any(now time.Time) bool { return w.idle > 0 && now.Sub(w.last) < warmFor }
