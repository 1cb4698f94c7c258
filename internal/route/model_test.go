package route

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// The model simulates engines with a serial prefill queue, slots and an LRU prefix
// cache, and nodes that receive their load reports late. It runs in virtual time.

type event struct {
	at time.Time
	f  func()
}

// prompt is one request of the workload.
type prompt struct {
	class  ident.Class
	chain  []uint64
	output int // tokens
}

func (p prompt) tokens() int { return len(p.chain) * blockTokens }

// chooser is a balancing strategy on one node.
type chooser interface {
	choose(now time.Time, p prompt) int
	report(now time.Time, r endpoint.LoadReport)
	cacheEvents(now time.Time, id ident.EndpointID, e endpoint.CacheEvents)
	done(now time.Time, a ident.AttemptID)
}

type modelOptions struct {
	seed                      uint64
	nodes, engines, dcs       int
	slots, cacheBlocks        int
	prefillPerSec             float64 // tokens per second
	timePerToken              time.Duration
	reportInterval, reportLag time.Duration
	gapInterval               int // on average, one of that many reports of cache events has a gap
	dropCacheEvents           bool
	rate                      float64
	duration, warmup          time.Duration
	workload                  func(rng *rand.Rand) func() prompt
	newChooser                func(m *model, node int) chooser
}

func defaults() modelOptions {
	return modelOptions{
		seed: 1, nodes: 8, engines: 20, dcs: 4, slots: 16, cacheBlocks: 2048,
		prefillPerSec: 8000, timePerToken: 30 * time.Millisecond, reportInterval: time.Second, reportLag: time.Second,
		gapInterval: 20, rate: 30, duration: 4 * time.Minute, warmup: time.Minute,
	}
}

type model struct {
	modelOptions
	rng            *rand.Rand
	now            time.Time
	queue          []event // by time, then by order of scheduling
	engineList     []*engine
	nodeList       []chooser
	computedBlocks map[uint64]bool // blocks computed anywhere

	ttft                             *hdrhistogram.Histogram // microseconds
	quickTTFT                        *hdrhistogram.Histogram
	computedTokens, recomputedTokens int
	requests, attempt                int
	perEngine                        []int
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newModel(o modelOptions) *model {
	m := &model{modelOptions: o, rng: rand.New(rand.NewPCG(o.seed, 7)), now: epoch, computedBlocks: map[uint64]bool{},
		ttft: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3), perEngine: make([]int, o.engines)}
	m.quickTTFT = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	for i := range o.engines {
		m.engineList = append(m.engineList, &engine{m: m, id: engineID(i), cache: map[uint64]*list.Element{}, lru: list.New()})
	}
	for i := range o.nodes {
		m.nodeList = append(m.nodeList, o.newChooser(m, i))
	}
	return m
}

func engineID(i int) ident.EndpointID { return ident.EndpointID(fmt.Sprintf("e%03d", i)) }

func dcName(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc%d", i)) }

func (m *model) hosts() []platformapi.HostInfo {
	var hs []platformapi.HostInfo
	for i := range m.engines {
		hs = append(hs, platformapi.HostInfo{Host: ident.Host(fmt.Sprint("h", i)), DataCentre: dcName(i % m.dcs),
			Incarnation: 1, State: platformapi.HostLive, PricePerHour: 1, Endpoints: []platformapi.EndpointInfo{
				{ID: engineID(i), Kind: platformapi.KindEngine, Service: "s", Version: "v1"}}})
	}
	return hs
}

func (m *model) schedule(d time.Duration, f func()) {
	at := m.now.Add(d)
	i := sort.Search(len(m.queue), func(i int) bool { return m.queue[i].at.After(at) })
	m.queue = slices.Insert(m.queue, i, event{at, f})
}

func (m *model) run() *model {
	next := m.workload(m.rng)
	var arrive func()
	arrive = func() {
		m.send(m.rng.IntN(m.nodes), next())
		m.schedule(seconds(m.rng.ExpFloat64()/m.rate), arrive)
	}
	arrive()
	for _, e := range m.engineList {
		m.schedule(seconds(m.rng.Float64()*m.reportInterval.Seconds()), e.report)
	}
	for end := epoch.Add(m.duration); m.now.Before(end) && len(m.queue) > 0; {
		e := m.queue[0]
		m.queue, m.now = m.queue[1:], e.at
		e.f()
	}
	return m
}

// send dispatches a request from a node. The one-way network delay is 0.1 ms within a
// data centre and 1 ms between data centres.
func (m *model) send(node int, p prompt) {
	i := m.nodeList[node].choose(m.now, p)
	m.attempt++
	net := 100 * time.Microsecond
	if i%m.dcs != node%m.dcs {
		net = time.Millisecond
	}
	j := &job{prompt: p, at: m.now, net: net, node: node, attempt: ident.AttemptID(fmt.Sprint(m.attempt))}
	if t, ok := m.nodeList[node].(*tableChooser); ok {
		t.dispatched(m.now, j.attempt, p)
	}
	m.schedule(net, func() { m.engineList[i].arrive(j) })
	if m.now.Sub(epoch) > m.warmup {
		m.requests++
		m.perEngine[i]++
	}
}

type job struct {
	prompt
	at      time.Time
	net     time.Duration
	node    int
	attempt ident.AttemptID
}

type engine struct {
	m             *model
	id            ident.EndpointID
	queue         []*job
	running       int
	prefilling    bool
	cache         map[uint64]*list.Element
	lru           *list.List // front: most recently used
	pendingEvents []endpoint.CacheEvent
	seq           uint64
}

func (e *engine) arrive(j *job) {
	e.queue = append(e.queue, j)
	e.step()
}

// step starts the next prefill if none is running and a slot is free.
func (e *engine) step() {
	if e.prefilling || e.running >= e.m.slots || len(e.queue) == 0 {
		return
	}
	j := e.queue[0]
	e.queue = e.queue[1:]
	e.running++
	e.prefilling = true
	uncached := len(j.chain) - e.cached(j.chain)
	m := e.m
	if m.now.Sub(epoch) > m.warmup {
		for _, b := range j.chain[len(j.chain)-uncached:] {
			m.computedTokens += blockTokens
			if m.computedBlocks[b] {
				m.recomputedTokens += blockTokens
			}
		}
	}
	m.schedule(seconds(float64(max(1, uncached*blockTokens))/m.prefillPerSec), func() { e.firstToken(j) })
}

func (e *engine) firstToken(j *job) {
	m := e.m
	e.prefilling = false
	e.store(j.chain)
	if j.at.Sub(epoch) > m.warmup {
		t := (m.now.Sub(j.at) + j.net).Microseconds()
		_ = m.ttft.RecordValue(t)
		if j.class == ident.ClassQuick {
			_ = m.quickTTFT.RecordValue(t)
		}
	}
	m.schedule(time.Duration(j.output)*m.timePerToken, func() {
		e.running--
		m.schedule(j.net, func() { m.nodeList[j.node].done(m.now, j.attempt) })
		e.step()
	})
	e.step()
}

func (e *engine) cached(chain []uint64) int {
	for i, b := range chain {
		if e.cache[b] == nil {
			return i
		}
	}
	return len(chain)
}

// store caches a chain and evicts the least recently used blocks, the last block of a
// chain first.
func (e *engine) store(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := chain[i]
		e.m.computedBlocks[b] = true
		if el := e.cache[b]; el != nil {
			e.lru.MoveToFront(el)
			continue
		}
		e.cache[b] = e.lru.PushFront(b)
		e.event(b, true)
	}
	for e.lru.Len() > e.m.cacheBlocks {
		el := e.lru.Back()
		b := e.lru.Remove(el).(uint64)
		delete(e.cache, b)
		e.event(b, false)
	}
}

func (e *engine) event(b uint64, added bool) {
	e.seq++
	e.pendingEvents = append(e.pendingEvents, endpoint.CacheEvent{Seq: e.seq, Block: b, Added: added})
}

// report sends the engine's load and cache events to all nodes, with a delay of
// reportLag.
func (e *engine) report() {
	m := e.m
	r := endpoint.LoadReport{Endpoint: e.id, Version: "v1", Running: e.running, Queued: len(e.queue),
		MaxRunning: m.slots, PrefillPerSec: m.prefillPerSec}
	for _, j := range e.queue {
		r.QueuedTokens += (len(j.chain) - e.cached(j.chain)) * blockTokens
	}
	ce := endpoint.CacheEvents{Events: e.pendingEvents}
	e.pendingEvents = nil
	if m.rng.IntN(m.gapInterval) == 0 {
		ce.Gap, ce.Events = true, ce.Events[len(ce.Events)/2:]
	}
	m.schedule(m.reportLag, func() {
		r.Age = m.reportLag
		for _, n := range m.nodeList {
			n.report(m.now, r)
			if !m.dropCacheEvents {
				n.cacheEvents(m.now, e.id, ce)
			}
		}
	})
	m.schedule(m.reportInterval, e.report)
}

// tableChooser is the strategy under test: a Table.
type tableChooser struct {
	t    *Table
	rng  *rand.Rand
	last Choice
}

func newTableChooser(opts Options) func(*model, int) chooser {
	return func(m *model, node int) chooser {
		o := opts
		o.Node, o.DataCentre = ident.NodeID(fmt.Sprint("n", node)), dcName(node%m.dcs)
		t := New(o)
		t.SetNodes(Nodes{Live: m.nodes})
		t.SetHosts(epoch, m.hosts())
		return &tableChooser{t: t, rng: rand.New(rand.NewPCG(m.seed, uint64(node)))}
	}
}

var onlyV1 = []Share{{Version: "v1", Weight: 1}}

func (c *tableChooser) choose(now time.Time, p prompt) int {
	ch, err := c.t.Pick(now, c.rng, Request{Service: "s", Class: p.class, Shares: onlyV1, Chain: p.chain, PromptTokens: p.tokens()})
	if err != nil {
		panic(err)
	}
	c.last = ch
	var i int
	_, _ = fmt.Sscanf(string(ch.Endpoint), "e%d", &i)
	return i
}

func (c *tableChooser) dispatched(now time.Time, a ident.AttemptID, p prompt) {
	c.t.Dispatched(now, Dispatch{Attempt: a, Endpoint: c.last.Endpoint, Chain: p.chain,
		PromptTokens: p.tokens(), CachedTokens: c.last.Estimate.CachedTokens})
}

func (c *tableChooser) report(now time.Time, r endpoint.LoadReport) { c.t.Report(now, r) }
func (c *tableChooser) cacheEvents(now time.Time, id ident.EndpointID, e endpoint.CacheEvents) {
	c.t.CacheEvents(now, id, e)
}
func (c *tableChooser) done(now time.Time, a ident.AttemptID) {
	c.t.Finished(now, Finish{Attempt: a, Outcome: OutcomeOK})
}

// The baseline strategies.
type roundRobin struct{ next, n int }

func (c *roundRobin) choose(time.Time, prompt) int                                  { c.next++; return c.next % c.n }
func (c *roundRobin) report(time.Time, endpoint.LoadReport)                         {}
func (c *roundRobin) cacheEvents(time.Time, ident.EndpointID, endpoint.CacheEvents) {}
func (c *roundRobin) done(time.Time, ident.AttemptID)                               {}

type leastReported struct {
	roundRobin
	load []int
}

func (c *leastReported) choose(time.Time, prompt) int {
	c.next++
	best := c.next % len(c.load)
	for i := range c.load {
		if j := (c.next + i) % len(c.load); c.load[j] < c.load[best] {
			best = j
		}
	}
	return best
}

func (c *leastReported) report(_ time.Time, r endpoint.LoadReport) {
	var i int
	_, _ = fmt.Sscanf(string(r.Endpoint), "e%d", &i)
	c.load[i] = r.Running + r.Queued
}

func newRoundRobin(m *model, node int) chooser { return &roundRobin{next: node * 3, n: m.engines} }
func newLeastReported(m *model, _ int) chooser { return &leastReported{load: make([]int, m.engines)} }

// Workloads.

// appendBlocks appends unique blocks of n tokens in total to a prefix.
func appendBlocks(rng *rand.Rand, prefix []uint64, n int) []uint64 {
	chain := append([]uint64(nil), prefix...)
	for range n / blockTokens {
		chain = append(chain, rng.Uint64())
	}
	return chain
}

// workspaceGuides returns the style guides of five workspaces, and a function that draws
// a workspace; two of them get 80% of the requests.
func workspaceGuides(rng *rand.Rand) (guides [][]uint64, drawWorkspace func() int) {
	for i := range 5 {
		guides = append(guides, appendBlocks(rng, nil, 1500+300*i))
	}
	return guides, func() int {
		switch x := rng.IntN(100); {
		case x < 40:
			return 0
		case x < 80:
			return 1
		default:
			return 2 + x%3
		}
	}
}

// letters returns a workload of letter drafts with long prompts, quick questions on
// wording, and short tagging of orders.
func letters(rng *rand.Rand) func() prompt {
	guides, drawWorkspace := workspaceGuides(rng)
	return func() prompt {
		g := guides[drawWorkspace()]
		switch x := rng.IntN(100); {
		case x < 25:
			return prompt{ident.ClassLong, appendBlocks(rng, g, 1500+rng.IntN(2500)), 250}
		case x < 90:
			return prompt{ident.ClassQuick, appendBlocks(rng, g, 64+rng.IntN(200)), 60}
		default:
			return prompt{ident.ClassQuick, appendBlocks(rng, g, 400), 8}
		}
	}
}

// designs returns a workload of long design sessions and quick chats on fit with several
// turns. The prompt of each turn contains all previous turns.
func designs(rng *rand.Rand) func() prompt {
	guides, drawWorkspace := workspaceGuides(rng)
	type session struct {
		chain []uint64
		turns int
		class ident.Class
	}
	var sessions []*session
	return func() prompt {
		const openSessions = 150 // at the same time
		if len(sessions) < openSessions {
			s := &session{chain: guides[drawWorkspace()], turns: 3 + rng.IntN(4), class: ident.ClassQuick}
			if rng.IntN(100) < 35 {
				s.turns, s.class = 8+rng.IntN(6), ident.ClassLong
			}
			sessions = append(sessions, s)
		}
		i := rng.IntN(len(sessions))
		s := sessions[i]
		turn, out := 100, 60
		if s.class == ident.ClassLong {
			turn, out = 400, 200
		}
		s.chain = appendBlocks(rng, s.chain, turn)
		p := prompt{s.class, s.chain, out}
		s.chain = appendBlocks(rng, s.chain, out)
		if s.turns--; s.turns == 0 {
			sessions = append(sessions[:i], sessions[i+1:]...)
		}
		return p
	}
}

// manyWorkspaces returns a workload of quick requests of 120 workspaces, whose style
// guides together are six times the size of one engine's cache.
func manyWorkspaces(rng *rand.Rand) func() prompt {
	var guides [][]uint64
	for range 120 {
		guides = append(guides, appendBlocks(rng, nil, 1600))
	}
	zipf := rand.NewZipf(rng, 1.1, 4, uint64(len(guides)-1))
	return func() prompt {
		return prompt{ident.ClassQuick, appendBlocks(rng, guides[zipf.Uint64()], 64+rng.IntN(200)), 60}
	}
}
