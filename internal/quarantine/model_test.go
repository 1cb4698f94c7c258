package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock/simgossip"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

// model is a deployment in virtual time: nodes that exchange reports by gossip with delays and
// losses, and a service of engines. It implements the decision of each node with a Tracker.
type model struct {
	*simclock.Clock
	network *simgossip.Network[Report]
	contact time.Duration
	nodes   []*modelNode
	engines []*modelEngine
	stored  []Hold // in the platform's store
	lastID  uint64

	// fatal is the segment that crashes engines; zero for none.
	fatal      Segment
	crashTimes []time.Time // of engines that fatal has ended
	lateSends  int         // of requests with fatal, later than contact after the fifth crash
	sound      struct{ sent, refused, lateRefused int }
}

type modelNode struct {
	tracker *Tracker
	skew    time.Duration // of its time of day
	// troubledUntil is when the node counts as in touch again after a restart or a cut.
	troubledUntil time.Time
}

type modelEngine struct {
	incarnation site.IncarnationHash
	down        bool
	requests    map[*modelRequest]bool
}

type modelRequest struct {
	node       *modelNode
	segments   []Segment
	dispatched time.Time
	answered   bool
}

// modelStoreDelay is that of a watch on the store.
const modelStoreDelay = 2 * time.Second

func newModel(seed uint64, nodes, engines int, contact time.Duration) *model {
	m := &model{Clock: simclock.New(seed), contact: contact, lastID: 1 << 32}
	for range nodes {
		m.nodes = append(m.nodes, &modelNode{tracker: New(m.Now), skew: m.Within(60*time.Millisecond) - 30*time.Millisecond})
	}
	for range engines {
		e := &modelEngine{}
		m.engines = append(m.engines, e)
		m.startEngine(e)
	}
	m.network = simgossip.New(m.Clock, nodes,
		func(i int) Report { return m.nodes[i].tracker.Report(m.now(m.nodes[i]), nodes) },
		func(to int, r Report) { m.nodes[to].tracker.Merge(m.now(m.nodes[to]), r) })
	m.After(0, m.tick)
	return m
}

func (m *model) newID() uint64 {
	m.lastID++
	return m.lastID
}

// now returns a node's time of day.
func (m *model) now(n *modelNode) time.Time { return m.Now.Add(n.skew) }

// tick runs what nodes do periodically: they apply the store's holds and write their own.
func (m *model) tick() {
	for i, n := range m.nodes {
		n.tracker.Tick(m.now(n), m.network.HeardSince(i).Add(n.skew))
		for _, h := range n.tracker.Holds() {
			m.store(h)
		}
	}
	m.After(100*time.Millisecond, m.tick)
}

func (m *model) store(h Hold) {
	for _, s := range m.stored {
		if s.Segment == h.Segment {
			return
		}
	}
	m.stored = append(m.stored, h)
	m.After(m.Within(modelStoreDelay), func() {
		for _, n := range m.nodes {
			n.tracker.AddHold(m.now(n), h)
		}
	})
}

// restart replaces a node by one that knows only what the store has.
func (m *model) restart(i int) {
	n := m.nodes[i]
	n.tracker = New(m.now(n))
	m.network.Restart(i)
	n.troubledUntil = m.Now.Add(m.contact)
	for _, h := range m.stored {
		n.tracker.AddHold(m.now(n), h)
	}
}

func (m *model) startEngine(e *modelEngine) {
	e.incarnation, e.down, e.requests = site.IncarnationHash(m.newID()), false, make(map[*modelRequest]bool)
}

// crash ends an engine and all requests there.
func (m *model) crash(e *modelEngine) {
	if e.down {
		return
	}
	e.down = true
	for r := range e.requests {
		if r.answered {
			continue
		}
		m.After(m.Within(20*time.Millisecond), func() {
			now := m.now(r.node)
			r.node.tracker.RecordCrash(now, Crash{Endpoint: e.incarnation, Dispatched: r.dispatched, At: now, Segments: r.segments})
		})
	}
	m.After(2*time.Second+m.Within(6*time.Second), func() { m.startEngine(e) })
}

// send sends a request with the segments through a random node to a random engine, whose first
// token takes up to wait. The last segment is not shared with other requests.
func (m *model) send(wait time.Duration, segments ...Segment) {
	n := m.nodes[m.IntN(len(m.nodes))]
	isFatal := false
	for _, s := range segments {
		isFatal = isFatal || s == m.fatal && s != 0
	}
	if !isFatal {
		m.sound.sent++
	}
	if _, held := n.tracker.Held(m.now(n), segments); held {
		if !isFatal {
			m.sound.refused++
			if m.fifthCrashOver(2 * m.contact) {
				m.sound.lateRefused++
			}
		}
		return
	}
	e := m.engines[m.IntN(len(m.engines))]
	for tries := 0; e.down && tries < 20; tries++ {
		e = m.engines[m.IntN(len(m.engines))]
	}
	if e.down {
		return
	}
	if isFatal && m.fifthCrashOver(m.contact) && !m.Now.Before(n.troubledUntil) {
		m.lateSends++
	}
	r := &modelRequest{node: n, segments: segments, dispatched: m.now(n)}
	e.requests[r] = true
	incarnation := e.incarnation
	m.After(30*time.Millisecond+m.Within(wait), func() {
		if e.down || e.incarnation != incarnation {
			return
		}
		if isFatal {
			m.crashTimes = append(m.crashTimes, m.Now)
			m.crash(e)
			return
		}
		r.answered = true
		delete(e.requests, r)
		n.tracker.RecordAnswer(m.now(n), m.now(n), segments)
	})
}

func (m *model) fifthCrashOver(d time.Duration) bool {
	return len(m.crashTimes) >= 5 && m.Now.After(m.crashTimes[4].Add(d))
}

// each calls f at random times, perSecond times a second on average.
func (m *model) each(perSecond float64, f func()) {
	interval := time.Duration(2 / perSecond * float64(time.Second))
	m.After(m.Within(interval), func() {
		f()
		m.each(perSecond, f)
	})
}

// Segments of the sound requests: all have first, and each one of the tenants' and one of the
// documents', of which few are asked for often.
const (
	firstSegment  Segment = 1
	tenantSegment Segment = 10
	docSegment    Segment = 1000
)

func (m *model) sendSound(wait time.Duration) {
	doc := min(m.IntN(400), m.IntN(400))
	m.send(wait, firstSegment, tenantSegment+Segment(doc%5), docSegment+Segment(doc), Segment(m.newID()))
}

// TestFatalSegment: at 8, 76 and 195 nodes, with random rates, delays, losses, restarts and
// nodes that are cut off from the others, no more than three requests with the segment are
// sent later than the time of contact after the fifth crash, and the sound requests that
// share all their other segments are served.
func TestFatalSegment(t *testing.T) {
	for _, size := range []struct {
		nodes, engines, seeds int
		contact               time.Duration
	}{{8, 18, 30, 3 * time.Second}, {76, 60, 4, 3 * time.Second}, {195, 78, 2, 5 * time.Second}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) {
			for seed := range max(size.seeds, simclock.LongSeeds()*size.seeds/30) {
				m := newModel(uint64(seed), size.nodes, size.engines, size.contact)
				wait := 50*time.Millisecond + m.Within(600*time.Millisecond)
				rate := 0.4 + float64(m.IntN(60))/10 // fatal requests a second
				m.each(60+float64(m.IntN(300)), func() { m.sendSound(wait) })
				m.each(0.15, func() { m.restart(m.IntN(size.nodes)) })
				m.each(0.15, func() { m.network.Cut(m.IntN(size.nodes), m.Within(6*time.Second)) })
				m.each(0.1, func() { m.crash(m.engines[m.IntN(size.engines)]) })
				const fatal, otherFatal = 777, 778
				m.After(5*time.Second, func() {
					m.fatal = fatal
					m.each(rate, func() { m.send(wait, firstSegment, tenantSegment, docSegment, m.fatal, Segment(m.newID())) })
				})
				m.After(30*time.Second, func() { // a second segment, as the first one is held
					m.check(t, seed, rate)
					m.fatal, m.crashTimes, m.lateSends = otherFatal, nil, 0
				})
				m.Run(60 * time.Second)
				m.check(t, seed, rate)
			}
		})
	}
}

func (m *model) check(t *testing.T, seed int, rate float64) {
	t.Helper()
	if m.lateSends > 3 {
		t.Errorf("seed %d, %.1f/s: %d requests with the segment were sent late, after %d crashes", seed, rate, m.lateSends, len(m.crashTimes))
	}
	if len(m.crashTimes) < 3 {
		t.Errorf("seed %d, %.1f/s: %d crashes", seed, rate, len(m.crashTimes))
	}
	if m.sound.lateRefused > 0 || m.sound.refused*100 > m.sound.sent {
		t.Errorf("seed %d, %.1f/s: of %d sound requests %d were refused, %d of them late", seed, rate, m.sound.sent, m.sound.refused, m.sound.lateRefused)
	}
}

// TestCrashesOfOtherCauses: engines that crash at the same moment or in turn, for reasons that
// are not in the requests, hold back no segment, also where all nodes have just started and
// know no answers.
func TestCrashesOfOtherCauses(t *testing.T) {
	for name, crashes := range map[string]func(m *model){
		"all at once": func(m *model) {
			m.each(0.15, func() {
				for _, e := range m.engines {
					m.crash(e)
				}
			})
		},
		"one after the other": func(m *model) {
			next := 0
			m.each(3, func() { m.crash(m.engines[next%len(m.engines)]); next++ })
		},
		"all after a restart of all nodes": func(m *model) {
			m.each(0.2, func() {
				for i := range m.nodes {
					m.restart(i)
				}
				m.After(m.Within(500*time.Millisecond), func() {
					for _, e := range m.engines {
						m.crash(e)
					}
				})
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range max(8, simclock.LongSeeds()/3) {
				m := newModel(uint64(seed), 8, 18, 3*time.Second)
				wait := 50*time.Millisecond + m.Within(600*time.Millisecond)
				m.each(150, func() { m.sendSound(wait) })
				m.After(5*time.Second, func() { crashes(m) })
				m.Run(60 * time.Second)
				if m.sound.refused*1000 > m.sound.sent || len(m.stored) > 0 {
					t.Errorf("seed %d: of %d sound requests %d were refused; %d segments were held", seed, m.sound.sent, m.sound.refused, len(m.stored))
				}
			}
		})
	}
}
