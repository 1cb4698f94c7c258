package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// suspectFailures is the number of different endpoints that could not be connected to
	// since the last probe from which the paths are suspected. Answers on connections that
	// were open before don't count against it. unheardFailures is the number of attempts, also
	// at one endpoint, for which no connection was made since the last byte from any; one is
	// enough once no byte has come for silenceTime, as a node with few requests has no more.
	suspectFailures = 3
	unheardFailures = 3
	// suspectWaiting is the number of different endpoints at which requests have waited for
	// silenceTime from which the paths are suspected, if no byte came from any endpoint; one
	// is enough after longSilenceTime.
	suspectWaiting  = 2
	silenceTime     = 300 * time.Millisecond
	longSilenceTime = 800 * time.Millisecond
	// probeTargets is the number of endpoints that are probed in a round, and probeInterval
	// the shortest time between two rounds.
	probeTargets  = 3
	probeInterval = 500 * time.Millisecond
	// openTime is how long after the last byte on an open connection lost paths still count
	// as open for the connections that exist.
	openTime = time.Second
	// maxFailures bounds the endpoints that are remembered as not connected to.
	maxFailures = 256
)

// Paths is what a node knows of its paths to the endpoints of a service. It is not safe for
// concurrent use.
type Paths struct {
	lost     bool
	heard    time.Time // of the last byte from an endpoint, or the last new connection
	failures map[site.IncarnationHash]bool
	unheard  int // attempts without a connection since heard
	waiting  map[uint64]wait
	lastID   uint64
	alerted  bool // the paths to another service were lost since the last probe
	probing  bool
	probedAt time.Time // when the last round of probes began
}

// wait is a request that waits for bytes from its endpoint.
type wait struct {
	endpoint site.IncarnationHash
	since    time.Time
}

// NewPaths returns the paths of a node that has just started.
func NewPaths(now time.Time) *Paths {
	return &Paths{heard: now, failures: make(map[site.IncarnationHash]bool), waiting: make(map[uint64]wait)}
}

// Lost reports whether no endpoint can be connected to.
func (p *Paths) Lost() bool { return p.lost }

// OpenConnections reports whether connections that are open still work, as far as is known.
func (p *Paths) OpenConnections(now time.Time) bool { return !p.lost || now.Sub(p.heard) < openTime }

// Begin records that a request waits for bytes from its endpoint. End has to be called with
// the result.
func (p *Paths) Begin(now time.Time, e site.IncarnationHash) (id uint64) {
	p.lastID++
	p.waiting[p.lastID] = wait{e, now}
	return p.lastID
}

// Result is how a wait for bytes from an endpoint ended.
type Result uint8

// The results.
const (
	// Unknown says nothing about the path: the request was cancelled, or its connection
	// ended.
	Unknown Result = iota
	// Heard means that bytes came from the endpoint.
	Heard
	// NotConnected means that the endpoint could not be connected to.
	NotConnected
)

// End records how a wait for bytes from an endpoint ended.
func (p *Paths) End(now time.Time, id uint64, r Result) {
	w, ok := p.waiting[id]
	if !ok {
		return
	}
	delete(p.waiting, id)
	switch r {
	case Heard:
		p.heard, p.unheard = now, 0
		delete(p.failures, w.endpoint)
	case NotConnected:
		p.unheard++
		if len(p.failures) < maxFailures {
			p.failures[w.endpoint] = true
		}
	}
}

// suspected reports whether the paths may be lost.
func (p *Paths) suspected(now time.Time) bool {
	if len(p.failures) >= suspectFailures || p.unheard >= unheardFailures || p.Doubtful(now) {
		return true
	}
	if now.Sub(p.heard) < silenceTime {
		return false
	}
	silent := make(map[site.IncarnationHash]bool)
	for _, w := range p.waiting {
		if now.Sub(w.since) >= longSilenceTime && now.Sub(p.heard) >= longSilenceTime {
			return true
		}
		if now.Sub(w.since) >= silenceTime {
			silent[w.endpoint] = true
		}
	}
	return len(silent) >= suspectWaiting
}

// Doubtful reports whether an endpoint could not be connected to and none was heard of since or
// shortly before: it may be this node's path, and another node may reach the endpoint.
func (p *Paths) Doubtful(now time.Time) bool {
	return p.lost || p.unheard > 0 && now.Sub(p.heard) >= silenceTime
}

// Alert makes a probe due, since the paths to another service were lost.
func (p *Paths) Alert() { p.alerted = true }

// ProbeDue reports whether endpoints have to be probed now. It has to be called several times a
// second.
func (p *Paths) ProbeDue(now time.Time) bool {
	return !p.probing && now.Sub(p.probedAt) >= probeInterval && (p.lost || p.alerted || p.suspected(now))
}

// Probes returns which of the given endpoints to probe when that is due; Probed has to be called
// with the result, unless there are none.
func (p *Paths) Probes(now time.Time, rng *rand.Rand, endpoints []site.Endpoint) []site.Endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	p.probing, p.alerted, p.probedAt = true, false, now
	return p.sample(rng, endpoints, probeTargets)
}

// sample returns up to n endpoints at random, those without a failure first.
func (p *Paths) sample(rng *rand.Rand, endpoints []site.Endpoint, n int) []site.Endpoint {
	out := slices.Clone(endpoints)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b site.Endpoint) int {
		return boolInt(p.failures[a.Hash()]) - boolInt(p.failures[b.Hash()])
	})
	return out[:min(len(out), n)]
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Probed records how many of the probed endpoints could be connected to. Paths are lost if it is
// none, and back if it is more than half: a node that reaches few endpoints would overload them.
// It reports whether they were lost or are back with that.
func (p *Paths) Probed(now time.Time, connected, probed int) (changed bool) {
	p.probing = false
	lost := connected == 0 || p.lost && 2*connected <= probed
	changed, p.lost = lost != p.lost, lost
	if !lost {
		p.heard, p.unheard = now, 0
		clear(p.failures)
		// What waits now has done so before; it does not count again.
		for id, w := range maps.All(p.waiting) {
			p.waiting[id] = wait{w.endpoint, now}
		}
	}
	return changed
}
