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

// machine checks a Table against what its callers may rely on, under host lists
// that lag, marks from any source, faults, and cache events with gaps.
type machine struct {
	t       *Table
	now     time.Time
	rng     *rand.Rand
	life    map[ident.Host]ident.Incarnation // the latest
	marked  map[ident.Host]ident.Incarnation // the latest that is marked
	listed  map[ident.EndpointID]platformapi.HostInfo
	flying  map[ident.AttemptID]ident.EndpointID
	attempt int
	events  uint64
}

const machineHosts = 8

func (m *machine) host(t *rapid.T) ident.Host {
	return ident.Host(fmt.Sprint("h", rapid.IntRange(0, machineHosts-1).Draw(t, "host")))
}

// list sets a host list in which each host may be missing, old, or said to be live
// though it leaves.
func (m *machine) list(t *rapid.T) {
	var hs []platformapi.HostInfo
	for i := range machineHosts {
		h := ident.Host(fmt.Sprint("h", i))
		e := platformapi.EndpointInfo{ID: ident.EndpointID(fmt.Sprint("e", i)), Service: "s", Version: ident.Version(fmt.Sprint("v", 1+i%2))}
		info := platformapi.HostInfo{Host: h, DataCentre: dcName(i % 2), Incarnation: m.life[h], State: platformapi.HostLive, Endpoints: []platformapi.EndpointInfo{e}}
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0:
			continue
		case 1:
			info.State = platformapi.HostLeaving
			m.marked[h] = max(m.marked[h], info.Incarnation)
		case 2:
			m.life[h]++
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

func (m *machine) mark(t *rapid.T) {
	h := m.host(t)
	inc := m.life[h] - ident.Incarnation(rapid.IntRange(0, 1).Draw(t, "old"))
	m.marked[h] = max(m.marked[h], inc)
	m.t.MarkHost(m.now, platformapi.Notice{Host: h, Incarnation: inc, Deadline: m.now.Add(time.Minute)})
}

func (m *machine) pick(t *rapid.T) {
	r := Request{Service: "s", Class: ident.ClassQuick, Shares: []Share{{Version: "v1", Weight: 1}, {Version: "v2", Weight: float64(rapid.IntRange(0, 1).Draw(t, "v2"))}}}
	r.Exclude = []ident.EndpointID{ident.EndpointID(fmt.Sprint("e", rapid.IntRange(0, machineHosts-1).Draw(t, "exclude")))}
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
	case m.t.endpoints[c.Endpoint].health.ejected(m.now) && m.floorHolds(c):
		t.Fatalf("%s is ejected", c.Endpoint)
	case r.Shares[1].Weight == 0 && c.Version == "v2":
		t.Fatal("a version of weight zero was picked")
	case c.Estimate.Total() < 0 || c.Estimate.CachedTokens >= r.PromptTokens:
		t.Fatalf("estimate %+v of %d tokens", c.Estimate, r.PromptTokens)
	}
	m.attempt++
	a := ident.AttemptID(fmt.Sprint("a", m.attempt))
	m.t.Dispatched(m.now, Dispatch{Attempt: a, Endpoint: c.Endpoint, Chain: r.Chain, PromptTokens: r.PromptTokens, CachedTokens: c.Estimate.CachedTokens})
	m.flying[a] = c.Endpoint
}

func (m *machine) finish(t *rapid.T) {
	for i := range m.attempt {
		a := ident.AttemptID(fmt.Sprint("a", m.attempt-i))
		if _, ok := m.flying[a]; ok {
			m.t.Finished(m.now, Finish{Attempt: a, Outcome: Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))})
			delete(m.flying, a)
			return
		}
	}
}

func (m *machine) report(t *rapid.T) {
	id := ident.EndpointID(fmt.Sprint("e", rapid.IntRange(0, machineHosts-1).Draw(t, "e")))
	m.t.Report(m.now, endpoint.LoadReport{Endpoint: id, Running: rapid.IntRange(0, 16).Draw(t, "running"), MaxRunning: 16,
		QueuedTokens: rapid.IntRange(0, 9000).Draw(t, "tokens"), Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond})
	m.events += uint64(rapid.IntRange(0, 2).Draw(t, "jump"))
	m.t.CacheEvents(m.now, id, endpoint.CacheEvents{Gap: rapid.Bool().Draw(t, "gap"), Events: []endpoint.CacheEvent{
		{Seq: m.events, Block: chain("g1*20")[rapid.IntRange(0, 19).Draw(t, "block")], Added: rapid.Bool().Draw(t, "added")}}})
}

// floorHolds tells whether no more than the allowed part of a pool is ejected.
func (m *machine) floorHolds(c Choice) bool {
	usable, ejected := 0, 0
	for _, e := range m.t.pools[poolKey{"s", c.Version}].subset {
		if e != nil && e.usable() {
			usable++
			if e.health.ejected(m.now) {
				ejected++
			}
		}
	}
	return ejected <= m.t.ejectable(usable)
}

func (m *machine) check(t *rapid.T) {
	if len(m.t.work) != len(m.flying) {
		t.Fatalf("%d attempts known of %d", len(m.t.work), len(m.flying))
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
		for b, i := range p.index.slots {
			if e := p.index.entries[i]; e.block != b || e.held == 0 || e.held&^slots != 0 || e.young&^e.held != 0 {
				t.Fatalf("entry %+v of block %d, slots %b", e, b, slots)
			}
		}
	}
}

func TestMachine(t *testing.T) {
	invariant.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: New(Options{Node: "n0", DataCentre: "dc0", PrefixBlocks: 64, Candidates: 3, MaxEjected: 0.5, FaultsInRow: 2}), now: epoch, rng: rand.New(rand.NewPCG(1, 1)),
			life: map[ident.Host]ident.Incarnation{}, marked: map[ident.Host]ident.Incarnation{},
			listed: map[ident.EndpointID]platformapi.HostInfo{}, flying: map[ident.AttemptID]ident.EndpointID{}}
		for i := range machineHosts {
			m.life[ident.Host(fmt.Sprint("h", i))] = 1
		}
		m.list(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "list": m.list, "mark": m.mark, "pick": m.pick, "pick2": m.pick, "finish": m.finish, "report": m.report,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 100000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
