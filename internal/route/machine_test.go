package route

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// stateMachine drives a Table with random events and checks its guarantees, under host
// lists that lag, marks from any source, faults, and cache events with gaps.
type stateMachine struct {
	t           *Table
	now         time.Time
	rng         *rand.Rand
	incarnation map[ident.Host]ident.Incarnation // the latest
	marked      map[ident.Host]ident.Incarnation // the latest marked as leaving
	listed      map[ident.EndpointID]platformapi.HostInfo
	inFlight    map[ident.AttemptID]ident.EndpointID
	attempt     int
	events      uint64
}

const hostCount = 8

func (m *stateMachine) host(t *rapid.T) ident.Host {
	return ident.Host(fmt.Sprint("h", rapid.IntRange(0, hostCount-1).Draw(t, "host")))
}

// setHosts applies a host list in which each host may be missing, listed with an old
// incarnation, or listed as live although it is leaving.
func (m *stateMachine) setHosts(t *rapid.T) {
	var hs []platformapi.HostInfo
	for i := range hostCount {
		h := ident.Host(fmt.Sprint("h", i))
		e := platformapi.EndpointInfo{ID: ident.EndpointID(fmt.Sprint("e", i)), Service: "s", Version: ident.Version(fmt.Sprint("v", 1+i%2))}
		info := platformapi.HostInfo{Host: h, DataCentre: dcName(i % 2), Incarnation: m.incarnation[h], State: platformapi.HostLive, Endpoints: []platformapi.EndpointInfo{e}}
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			continue
		case 1:
			info.State = platformapi.HostLeaving
			m.marked[h] = max(m.marked[h], info.Incarnation)
		case 2:
			m.incarnation[h]++
			info.Incarnation++
		case 3:
			info.Incarnation = max(1, info.Incarnation-1)
		}
		hs = append(hs, info)
	}
	if len(hs) == 0 {
		return
	}
	m.t.SetHosts(m.now, hs)
	clear(m.listed)
	for _, h := range hs {
		m.listed[h.Endpoints[0].ID] = h
	}
}

func (m *stateMachine) mark(t *rapid.T) {
	h := m.host(t)
	inc := m.incarnation[h] - ident.Incarnation(rapid.IntRange(0, 1).Draw(t, "old"))
	m.marked[h] = max(m.marked[h], inc)
	m.t.MarkHost(m.now, platformapi.Notice{Host: h, Incarnation: inc, Deadline: m.now.Add(time.Minute)})
}

func (m *stateMachine) pick(t *rapid.T) {
	r := Request{Service: "s", Class: ident.ClassQuick, Shares: []Share{{Version: "v1", Weight: 1}, {Version: "v2", Weight: float64(rapid.IntRange(0, 1).Draw(t, "v2"))}}}
	r.Exclude = []ident.EndpointID{ident.EndpointID(fmt.Sprint("e", rapid.IntRange(0, hostCount-1).Draw(t, "exclude")))}
	r.Chain = chain(fmt.Sprintf("g%d*20,x%d*%d", rapid.IntRange(0, 3).Draw(t, "guide"), rapid.IntRange(0, 9).Draw(t, "text"), rapid.IntRange(0, 20).Draw(t, "n")))
	r.PromptTokens = len(r.Chain) * blockTokens
	c, err := m.t.Pick(m.now, m.rng, r)
	if err != nil {
		return
	}
	h, ok := m.listed[c.Endpoint]
	switch {
	case !ok:
		t.Fatalf("%s is not listed", c.Endpoint)
	case m.marked[h.Host] >= c.Incarnation:
		t.Fatalf("%s in incarnation %d is leaving", c.Endpoint, c.Incarnation)
	case c.Endpoint == r.Exclude[0]:
		t.Fatalf("%s is excluded", c.Endpoint)
	case m.t.endpoints[c.Endpoint].health.ejected(m.now) && m.withinEjectionLimit(c):
		t.Fatalf("%s is ejected", c.Endpoint)
	case r.Shares[1].Weight == 0 && c.Version == "v2":
		t.Fatal("a version of weight zero was picked")
	case c.Estimate.Total() < 0 || c.Estimate.CachedTokens >= r.PromptTokens:
		t.Fatalf("estimate %+v of %d tokens", c.Estimate, r.PromptTokens)
	}
	m.attempt++
	a := ident.AttemptID(fmt.Sprint("a", m.attempt))
	m.t.Dispatched(m.now, Dispatch{Attempt: a, Endpoint: c.Endpoint, Chain: r.Chain, PromptTokens: r.PromptTokens, CachedTokens: c.Estimate.CachedTokens})
	m.inFlight[a] = c.Endpoint
}

func (m *stateMachine) finish(t *rapid.T) {
	for i := range m.attempt {
		a := ident.AttemptID(fmt.Sprint("a", m.attempt-i))
		if _, ok := m.inFlight[a]; ok {
			m.t.Finished(m.now, Finish{Attempt: a, Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))})
			delete(m.inFlight, a)
			return
		}
	}
}

func (m *stateMachine) report(t *rapid.T) {
	id := ident.EndpointID(fmt.Sprint("e", rapid.IntRange(0, hostCount-1).Draw(t, "e")))
	m.t.Report(m.now, endpoint.LoadReport{Endpoint: id, Running: rapid.IntRange(0, 16).Draw(t, "running"), MaxRunning: 16,
		QueuedTokens: rapid.IntRange(0, 9000).Draw(t, "tokens"), Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond})
	m.events += uint64(rapid.IntRange(0, 2).Draw(t, "jump"))
	m.t.CacheEvents(m.now, id, endpoint.CacheEvents{Gap: rapid.Bool().Draw(t, "gap"), Events: []endpoint.CacheEvent{
		{Seq: m.events, Block: chain("g1*20")[rapid.IntRange(0, 19).Draw(t, "block")], Added: rapid.Bool().Draw(t, "added")}}})
}

// withinEjectionLimit reports whether at most the allowed fraction of a pool is ejected.
func (m *stateMachine) withinEjectionLimit(c Choice) bool {
	usable, ejected := 0, 0
	for _, e := range m.t.pools[poolKey{"s", c.Version}].subset {
		if e != nil && e.usable() {
			usable++
			if e.health.ejected(m.now) {
				ejected++
			}
		}
	}
	return ejected <= m.t.maxEjectable(usable)
}

func (m *stateMachine) check(t *rapid.T) {
	if len(m.t.attempts) != len(m.inFlight) {
		t.Fatalf("the table has %d attempts in flight, want %d", len(m.t.attempts), len(m.inFlight))
	}
	for _, p := range m.t.pools {
		var slots uint64
		for i, e := range p.subset {
			if e != nil {
				slots |= 1 << i
			}
		}
		if p.index.len() > m.t.opts.PrefixBlocks || bits.OnesCount64(slots) > m.t.opts.Candidates {
			t.Fatalf("pool %v has %d blocks, %d members", p.key, p.index.len(), bits.OnesCount64(slots))
		}
		for b, i := range p.index.entryOf {
			if e := p.index.entries[i]; e.block != b || e.holders == 0 || e.holders&^slots != 0 || e.recent&^e.holders != 0 {
				t.Fatalf("entry %+v of block %d, slots %b", e, b, slots)
			}
		}
	}
}

func TestTableStateMachine(t *testing.T) {
	invariant.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{t: New(Options{Node: "n0", DataCentre: "dc0", PrefixBlocks: 64, Candidates: 3, MaxEjected: 0.5, ConsecutiveFaults: 2}), now: epoch, rng: rand.New(rand.NewPCG(1, 1)),
			incarnation: map[ident.Host]ident.Incarnation{}, marked: map[ident.Host]ident.Incarnation{},
			listed: map[ident.EndpointID]platformapi.HostInfo{}, inFlight: map[ident.AttemptID]ident.EndpointID{}}
		for i := range hostCount {
			m.incarnation[ident.Host(fmt.Sprint("h", i))] = 1
		}
		m.setHosts(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "list": m.setHosts, "mark": m.mark, "pick": m.pick, "pick2": m.pick, "finish": m.finish, "report": m.report,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 100000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
