package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock/simgossip"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// model is a deployment in virtual time whose nodes may be cut off from all endpoints. Nodes
// exchange by gossip with delays and losses which of them have lost their paths.
type model struct {
	*simclock.Clock
	network   *simgossip.Network[bool]
	rng       *rand.Rand
	nodes     []*modelNode
	endpoints []*modelEndpoint
	contact   time.Duration

	sound, late outcomes // requests at nodes that are linked, and at others after the time of contact
	relayed     int      // at the node that relays the most
	probes      int
}

type outcomes struct{ sent, served int }

type modelNode struct {
	paths     *Paths
	relays    *Relays
	lostNodes map[int]bool // as reported by gossip
	cutSince  time.Time    // zero if it is linked
	excused   time.Time    // until when, after a restart
	relaying  int
}

type modelEndpoint struct {
	site.Endpoint
	downUntil, silentUntil time.Time
}

func newModel(seed uint64, nodes, endpoints int, contact time.Duration) *model {
	m := &model{Clock: simclock.New(seed), rng: rand.New(rand.NewPCG(seed, 1)), contact: contact}
	for range nodes {
		m.nodes = append(m.nodes, &modelNode{paths: NewPaths(m.Now), relays: NewRelays(), lostNodes: make(map[int]bool)})
	}
	for i := range endpoints {
		m.endpoints = append(m.endpoints, &modelEndpoint{Endpoint: site.Endpoint{ID: ident.EndpointID(fmt.Sprint("e", i)), Address: fmt.Sprint(i)}})
	}
	m.network = simgossip.New(m.Clock, nodes,
		func(i int) bool { return m.nodes[i].paths.Lost() },
		func(to, from int, lost bool) { m.nodes[to].lostNodes[from] = lost })
	m.After(0, m.tick)
	return m
}

// tick probes where that is due, as a node does ten times a second.
func (m *model) tick() {
	for _, n := range m.nodes {
		if !n.paths.ProbeDue(m.Now) {
			continue
		}
		var all []site.Endpoint
		for _, e := range m.endpoints {
			all = append(all, e.Endpoint)
		}
		targets := n.paths.Probes(m.Now, m.rng, all)
		m.probes += len(targets)
		m.After(20*time.Millisecond+m.Within(380*time.Millisecond), func() {
			connected := 0
			for _, target := range targets {
				for _, e := range m.endpoints {
					if e.ID == target.ID && m.reaches(n, e) {
						connected++
					}
				}
			}
			n.paths.Probed(m.Now, connected, len(targets))
		})
	}
	m.After(100*time.Millisecond, m.tick)
}

func (m *model) reaches(n *modelNode, e *modelEndpoint) bool {
	return n.cutSince.IsZero() && !m.Now.Before(e.downUntil)
}

// send sends a request through a random node, and once through another one if its paths are lost
// or doubtful.
func (m *model) send() {
	i := m.IntN(len(m.nodes))
	n := m.nodes[i]
	if m.Now.Before(n.excused) {
		return
	}
	var e *modelEndpoint
	for range 20 { // as endpoints that are down are soon ejected
		if e = m.endpoints[m.IntN(len(m.endpoints))]; !m.Now.Before(e.downUntil) {
			break
		}
	}
	served := false
	if !n.paths.Lost() {
		served = m.sendDirect(n, e)
	}
	if !served && n.paths.Doubtful(m.Now) {
		served = m.relay(i, e)
	}
	switch {
	case n.cutSince.IsZero():
		m.sound.sent++
		if served {
			m.sound.served++
		}
	case m.Now.Sub(n.cutSince) >= m.contact:
		m.late.sent++
		if served {
			m.late.served++
		}
	}
}

// sendDirect sends a request over a node's own paths. Where its packets are lost, it waits on an
// open connection or for a new one.
func (m *model) sendDirect(n *modelNode, e *modelEndpoint) bool {
	id := n.paths.Begin(m.Now, e.Hash())
	if m.reaches(n, e) {
		wait := 10*time.Millisecond + m.Within(600*time.Millisecond)
		if silent := e.silentUntil.Sub(m.Now); silent > 0 {
			wait += silent
		}
		m.After(wait, func() { n.paths.End(m.Now, id, Heard) })
		return true
	}
	if m.Chance(50) {
		m.After(time.Second, func() { n.paths.End(m.Now, id, Unknown) })
		return false
	}
	n.paths.End(m.Now, id, NotConnected)
	return false
}

// relay sends a request through up to two other nodes.
func (m *model) relay(i int, e *modelEndpoint) bool {
	n := m.nodes[i]
	var candidates []string
	for _, other := range m.network.HeardOf(i, 3*time.Second) {
		if !n.lostNodes[other] {
			candidates = append(candidates, fmt.Sprint(other))
		}
	}
	for _, address := range n.relays.Choose(m.Now, m.rng, candidates, 2) {
		var other int
		_, _ = fmt.Sscan(address, &other)
		if m.reaches(m.nodes[other], e) {
			m.nodes[other].relaying++
			m.relayed = max(m.relayed, m.nodes[other].relaying)
			return true
		}
		n.relays.Failed(m.Now, address)
	}
	return false
}

// linked returns the number of nodes that are not cut off.
func (m *model) linked() int {
	n := 0
	for _, node := range m.nodes {
		if node.cutSince.IsZero() {
			n++
		}
	}
	return n
}

// each calls f at random times, perSecond times a second on average.
func (m *model) each(perSecond float64, f func()) {
	m.After(m.Within(time.Duration(2/perSecond*float64(time.Second))), func() {
		f()
		m.each(perSecond, f)
	})
}

// TestPartitionedNodesUseOthers: at 8, 76 and 195 nodes, some or most of which are cut off from
// all endpoints in turn, with losses, restarts, endpoints that crash and sound ones that are
// silent for a second, requests at the cut nodes are served nearly as often as at the others from
// the time of contact on, the load is spread over the others, and few probes are sent.
func TestPartitionedNodesUseOthers(t *testing.T) {
	for _, size := range []struct {
		nodes, endpoints, seeds int
		contact                 time.Duration
	}{{8, 22, 30, 3 * time.Second}, {76, 65, 4, 4 * time.Second}, {195, 84, 3, 5 * time.Second}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			for seed := range max(size.seeds, simclock.LongSeeds()*size.seeds/30) {
				m := newModel(uint64(seed), size.nodes, size.endpoints, size.contact)
				m.each(float64(size.nodes)*(4+float64(m.IntN(30))), m.send)
				m.each(0.3, func() {
					e := m.endpoints[m.IntN(size.endpoints)]
					e.downUntil = m.Now.Add(2*time.Second + m.Within(4*time.Second))
				})
				m.each(1, func() {
					e := m.endpoints[m.IntN(size.endpoints)]
					e.silentUntil = m.Now.Add(time.Second + m.Within(300*time.Millisecond))
				})
				m.each(0.1, func() {
					i := m.IntN(size.nodes)
					m.nodes[i].paths, m.nodes[i].excused = NewPaths(m.Now), m.Now.Add(size.contact)
					m.network.Restart(i)
				})
				share := 10 + m.IntN(60) // percent of the nodes
				m.each(0.05, func() {
					for _, n := range m.nodes {
						if m.Chance(share) && n.cutSince.IsZero() && m.linked() > 2 { // nobody could serve otherwise
							n.cutSince = m.Now
							m.After(12*time.Second, func() { n.cutSince = time.Time{} })
						}
					}
				})
				m.Run(120 * time.Second)
				if m.late.served*20 < m.late.sent*19 || m.late.sent == 0 {
					t.Errorf("seed %d: %d of %d requests were served at the cut nodes", seed, m.late.served, m.late.sent)
				}
				if m.sound.served*100 < m.sound.sent*97 {
					t.Errorf("seed %d: %d of %d requests were served at the linked nodes", seed, m.sound.served, m.sound.sent)
				}
				if limit := size.nodes * 120 * probeTargets; m.probes > limit {
					t.Errorf("seed %d: %d probes, more than %d", seed, m.probes, limit)
				}
			}
		})
	}
}

// TestSilentEndpointIsNoLostPath: a sound endpoint that is silent for a second, the only one at
// which requests wait, causes probes and nothing else.
func TestSilentEndpointIsNoLostPath(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	p := NewPaths(now)
	e := site.Endpoint{ID: "e1", Address: "a"}
	p.Begin(now, e.Hash())
	for range 13 {
		now = now.Add(100 * time.Millisecond)
		if p.ProbeDue(now) {
			if got := p.Probes(now, rand.New(rand.NewPCG(1, 2)), []site.Endpoint{e}); len(got) != 1 {
				t.Fatalf("probes %v", got)
			}
			if p.Probed(now, 1, 1) || p.Lost() {
				t.Fatal("the paths are lost")
			}
		}
		if !p.OpenConnections(now) || p.Doubtful(now) {
			t.Fatal("the paths are in doubt")
		}
	}
}

// TestFewReachableEndpoints: a node that has lost its paths does not take them for back while it
// reaches only few of the endpoints.
func TestFewReachableEndpoints(t *testing.T) {
	p := NewPaths(time.Unix(1_800_000_000, 0))
	for _, c := range []struct {
		connected int
		lost      bool
	}{{1, false}, {0, true}, {1, true}, {2, false}} {
		p.Probed(time.Unix(1_800_000_001, 0), c.connected, 3)
		if p.Lost() != c.lost {
			t.Errorf("after %d of 3 probes: lost %t", c.connected, p.Lost())
		}
	}
}

// TestOneFailureAtQuietNodeIsProbed guards against a cut node that takes its paths for sound for
// seconds, as it has few requests: it probes after the first attempt without a connection, unless
// it has just heard of an endpoint.
func TestOneFailureAtQuietNodeIsProbed(t *testing.T) {
	for _, c := range []struct {
		heardBefore time.Duration // the failure
		due         bool
	}{{10 * time.Millisecond, false}, {time.Second, true}} {
		now := time.Unix(1_800_000_000, 0)
		p := NewPaths(now)
		now = now.Add(c.heardBefore)
		p.End(now, p.Begin(now, site.Endpoint{ID: "e1", Address: "a"}.Hash()), NotConnected)
		if due := p.ProbeDue(now); due != c.due {
			t.Errorf("endpoint heard of %s before the failure: probe due %t", c.heardBefore, due)
		}
	}
}
