package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// Share is the part of a service's requests that an unproved version gets where the
	// operators don't say: a tenth is usual.
	Share = 0.06
	// decideAt is the part of a move's time after which its outcome is reported.
	decideAt = 0.8
	// enough is the number of the target's requests that proves it, where none is
	// worse: of a fault in ten, the chance to see none is one in 65.
	enough = 40
)

// Outcome is what to report of a move.
type Outcome struct {
	Service ident.Service
	Target  ident.Version
	State   site.MoveState
	Reason  string
	// Target's and the others' requests that it rests on.
	TargetCount, BaseCount Count
}

// Gate is one node's view of all moves. It is not safe for use by several goroutines.
type Gate struct {
	share float64
	moves map[ident.Service]*move
	own   Evidence
	peers Evidence
}

type move struct {
	site.VersionMove
	begun time.Time
	bad   bool
}

// NewGate returns a gate without moves; share is the part of a service's requests that an
// unproved version gets.
func NewGate(share float64) *Gate {
	return &Gate{share: share, moves: make(map[ident.Service]*move), own: make(Evidence), peers: make(Evidence)}
}

// SetMoves takes the moves that are asked for now. One that is known goes on.
func (g *Gate) SetMoves(now time.Time, list []site.VersionMove) {
	next := make(map[ident.Service]*move, len(list))
	for _, m := range list {
		known := g.moves[m.Service]
		if known == nil || known.Target != m.Target {
			known = &move{begun: now}
		}
		known.VersionMove = m
		if m.StateTarget != m.Target {
			known.State = site.MoveNotStarted // what was reported is of an earlier move
		}
		known.bad = known.bad || known.State == site.MoveRolledBack
		next[m.Service] = known
	}
	g.moves = next
}

// ChooseVersion returns the version that a request must go to, or else the one to avoid; empty
// for none.
func (g *Gate) ChooseVersion(rng *rand.Rand, s ident.Service) (only, avoid ident.Version) {
	m := g.moves[s]
	switch {
	case m == nil:
		return "", ""
	case m.bad:
		return "", m.Target
	case m.State == site.MoveDone:
		return m.Target, ""
	case rng.Float64() < g.share:
		return m.Target, ""
	default:
		return "", m.Target
	}
}

// Record counts how a request ended while a move of its service is under way.
func (g *Gate) Record(a Arm, fault bool, took time.Duration) {
	if g.moves[a.Service] == nil {
		return
	}
	c := Count{Requests: 1}
	if fault {
		c.Faults = 1
	} else {
		c.LatencyMillis = uint64(took.Milliseconds())
	}
	g.own[a] = g.own[a].plus(c)
}

// LocalEvidence returns this node's evidence of moves under way.
func (g *Gate) LocalEvidence() Evidence {
	out := make(Evidence)
	for a, c := range g.own {
		if g.moves[a.Service] != nil {
			out[a] = c
		}
	}
	return out
}

// SetPeers takes the sum of the other nodes' evidence.
func (g *Gate) SetPeers(e Evidence) { g.peers = e }

// BadVersions returns the versions that were found bad, and MarkBadVersions takes them from others.
func (g *Gate) BadVersions() []Arm {
	var out []Arm
	for _, m := range g.moves {
		if m.bad {
			out = append(out, Arm{Service: m.Service, Version: m.Target})
		}
	}
	return out
}

// MarkBadVersions takes the word of another node that a version is bad.
func (g *Gate) MarkBadVersions(list []Arm) {
	for _, a := range list {
		if m := g.moves[a.Service]; m != nil && m.Target == a.Version && m.State != site.MoveDone {
			m.bad = true
		}
	}
}

// Evaluate compares the versions of all moves under way and returns those that were
// newly found bad.
func (g *Gate) Evaluate() []Outcome {
	var out []Outcome
	for _, m := range g.moves {
		if m.bad || m.State == site.MoveDone {
			continue
		}
		if target, base, found := g.fault(m); found {
			m.bad = true
			out = append(out, g.outcome(m, site.MoveRolledBack, "worse than the other versions", target, base))
		}
	}
	return out
}

// fault looks for a route, or all together, on which the target is worse.
func (g *Gate) fault(m *move) (target, base Count, found bool) {
	targets, bases := g.arms(m)
	var allTarget, allBase Count
	for route, t := range targets {
		if worse(t, bases[route]) {
			return t, bases[route], true
		}
		allTarget, allBase = allTarget.plus(t), allBase.plus(bases[route])
	}
	return allTarget, allBase, failsMore(allTarget, allBase)
}

// arms sums the evidence of a move by route.
func (g *Gate) arms(m *move) (targets, bases map[ident.RouteName]Count) {
	targets, bases = make(map[ident.RouteName]Count), make(map[ident.RouteName]Count)
	for _, e := range []Evidence{g.own, g.peers} {
		for a, c := range e {
			switch {
			case a.Service != m.Service:
			case a.Version == m.Target:
				targets[a.Route] = targets[a.Route].plus(c)
			default:
				bases[a.Route] = bases[a.Route].plus(c)
			}
		}
	}
	return targets, bases
}

func (g *Gate) outcome(m *move, state site.MoveState, reason string, target, base Count) Outcome {
	return Outcome{Service: m.Service, Target: m.Target, State: state, Reason: reason, TargetCount: target, BaseCount: base}
}

// PendingOutcomes returns what the holder of the duties has to report now, ordered by service.
func (g *Gate) PendingOutcomes(now time.Time) []Outcome {
	var out []Outcome
	for _, m := range g.moves {
		if m.State == site.MoveDone || m.State == site.MoveRolledBack {
			continue
		}
		target, base, _ := g.fault(m)
		elapsed := now.Sub(m.begun)
		switch {
		case m.bad:
			out = append(out, g.outcome(m, site.MoveRolledBack, "worse than the other versions", target, base))
		case elapsed < time.Duration(decideAt*float64(m.Within)):
			if m.State == site.MoveNotStarted {
				out = append(out, g.outcome(m, site.MoveRunning, "begun", target, base))
			}
		case target.Requests >= enough:
			out = append(out, g.outcome(m, site.MoveDone, "no worse by its deadline", target, base))
		default:
			out = append(out, g.outcome(m, site.MoveRolledBack, "too few requests by its deadline", target, base))
		}
	}
	slices.SortFunc(out, func(a, b Outcome) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}

// MarkReported notes that the holder has reported an outcome.
func (g *Gate) MarkReported(o Outcome) {
	if m := g.moves[o.Service]; m != nil && m.Target == o.Target {
		m.State, m.StateTarget = o.State, o.Target
	}
}
