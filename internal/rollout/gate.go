package rollout

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// Share is the fraction of a service's requests that an unproved version gets if the
	// operators set no limit. Their usual limit is 0.1.
	Share = 0.06
	// decisionFraction is the fraction of a move's time after which its outcome is
	// reported.
	decisionFraction = 0.8
	// minAcceptRequests is the number of requests after which a target that is no worse
	// is accepted: at a fault rate of 10 %, the probability that all of them succeed is
	// about 1.5 %.
	minAcceptRequests = 40
)

// Outcome is the state of a move to report to the platform.
type Outcome struct {
	Service ident.Service
	Target  ident.Version
	State   site.MoveState
	Reason  string
	// TargetCount and BaseCount are the results of the target's and of the other versions'
	// requests that it is based on.
	TargetCount, BaseCount Count
}

// Gate is one node's view of all moves. It is not safe for concurrent use.
type Gate struct {
	share float64
	moves map[ident.Service]*move
	// dropped contains the moves whose order has disappeared recently.
	dropped map[ident.Service]*move
	local   Evidence
	peers   Evidence
}

type move struct {
	site.VersionMove
	startedAt time.Time
	bad       bool
	done      bool      // completed, also if the store lists an earlier state
	droppedAt time.Time // when the order disappeared; zero while it is listed
}

// droppedRetention is how long the verdict on a target is kept after its order disappeared.
// If the store is restored from a copy, the operator writes the order again.
const droppedRetention = 30 * time.Second

// NewGate returns a gate without moves. An unproved version gets the fraction share of a
// service's requests.
func NewGate(share float64) *Gate {
	return &Gate{share: share, moves: make(map[ident.Service]*move), dropped: make(map[ident.Service]*move), local: make(Evidence), peers: make(Evidence)}
}

// SetMoves sets the requested moves. A move with the same target as before continues, and
// an outcome once known stays, whatever earlier state the store lists.
func (g *Gate) SetMoves(now time.Time, list []site.VersionMove) {
	next := make(map[ident.Service]*move, len(list))
	for _, m := range list {
		known := g.known(m)
		if known == nil {
			known = &move{startedAt: now}
		}
		known.VersionMove, known.droppedAt = m, time.Time{}
		if m.StateTarget != m.Target {
			known.State = site.MoveNotStarted // the reported state belongs to an earlier move
		}
		known.done = known.done || known.State == site.MoveDone
		known.bad = known.bad || known.State == site.MoveRolledBack
		next[m.Service] = known
		delete(g.dropped, m.Service)
	}
	for service, m := range g.moves {
		if next[service] == nil {
			m.droppedAt = now
			g.dropped[service] = m
		}
	}
	maps.DeleteFunc(g.dropped, func(_ ident.Service, m *move) bool { return now.Sub(m.droppedAt) > droppedRetention })
	g.moves = next
}

// known returns the move with the service and target of m, or nil.
func (g *Gate) known(m site.VersionMove) *move {
	for _, known := range []*move{g.moves[m.Service], g.dropped[m.Service]} {
		if known != nil && known.Target == m.Target {
			return known
		}
	}
	return nil
}

// ChooseVersion returns the only version that a request may be sent to, or the version
// that it must not be sent to. Either is empty if there is no such restriction.
func (g *Gate) ChooseVersion(rng *rand.Rand, s ident.Service) (only, avoid ident.Version) {
	m := g.moves[s]
	switch {
	case m == nil:
		return "", ""
	case m.bad:
		return "", m.Target
	case m.done:
		return m.Target, ""
	case rng.Float64() < g.share:
		return m.Target, ""
	default:
		return "", m.Target
	}
}

// Record counts the result of an attempt if its service has a move.
func (g *Gate) Record(a Arm, r Result) {
	if g.moves[a.Service] != nil {
		g.local[a] = g.local[a].plus(r.count())
	}
}

// LocalEvidence returns this node's evidence for the services that have a move.
func (g *Gate) LocalEvidence() Evidence {
	out := make(Evidence)
	for a, c := range g.local {
		if g.moves[a.Service] != nil {
			out[a] = c
		}
	}
	return out
}

// SetPeers replaces the sum of the other nodes' evidence.
func (g *Gate) SetPeers(e Evidence) { g.peers = e }

// BadVersions returns the targets that were found bad, as arms without a route.
func (g *Gate) BadVersions() []Arm {
	var out []Arm
	for _, m := range g.moves {
		if m.bad {
			out = append(out, Arm{Service: m.Service, Version: m.Target})
		}
	}
	return out
}

// MarkBadVersions marks the targets that another node has found bad, except those of
// moves that are done.
func (g *Gate) MarkBadVersions(list []Arm) {
	for _, a := range list {
		if m := g.moves[a.Service]; m != nil && m.Target == a.Version && !m.done {
			m.bad = true
		}
	}
}

// CompletedVersions returns the targets of completed moves, as arms without a route.
func (g *Gate) CompletedVersions() []Arm {
	var out []Arm
	for _, m := range g.moves {
		if m.done {
			out = append(out, Arm{Service: m.Service, Version: m.Target})
		}
	}
	return out
}

// MarkCompletedVersions marks the targets to which another node knows that the move was
// completed, except those found bad.
func (g *Gate) MarkCompletedVersions(list []Arm) {
	for _, a := range list {
		if m := g.moves[a.Service]; m != nil && m.Target == a.Version && !m.bad {
			m.done = true
		}
	}
}

// Evaluate compares the versions of all running moves and returns an outcome for each
// target that was newly found bad.
func (g *Gate) Evaluate() []Outcome {
	var out []Outcome
	for _, m := range g.moves {
		if m.bad || m.done {
			continue
		}
		if target, base, found := g.findRegression(m); found {
			m.bad = true
			out = append(out, g.outcome(m, site.MoveRolledBack, "worse than the other versions", target, base))
		}
	}
	return out
}

// findRegression returns the counts of a route on which the target is worse, if any. Else
// it returns the counts of all routes together, and whether the target is worse there: routes
// with few requests count together.
func (g *Gate) findRegression(m *move) (target, base Count, found bool) {
	targets, bases := g.countsByRoute(m)
	var allTarget, allBase Count
	var all pace
	for route, t := range targets {
		if isWorse(t, bases[route]) {
			return t, bases[route], true
		}
		allTarget, allBase = allTarget.plus(t), allBase.plus(bases[route])
		all.add(t, bases[route])
	}
	return allTarget, allBase, hasMoreFaults(allTarget, allBase) || all.isSlow()
}

// countsByRoute returns the counts of a move's target and of the other versions by route,
// summed over all nodes.
func (g *Gate) countsByRoute(m *move) (targets, bases map[ident.RouteName]Count) {
	targets, bases = make(map[ident.RouteName]Count), make(map[ident.RouteName]Count)
	for _, e := range []Evidence{g.local, g.peers} {
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

// PendingOutcomes returns the outcomes that the holder of the duties must report now,
// ordered by service.
func (g *Gate) PendingOutcomes(now time.Time) []Outcome {
	var out []Outcome
	for _, m := range g.moves {
		if m.State == site.MoveDone || m.State == site.MoveRolledBack {
			continue
		}
		target, base, _ := g.findRegression(m)
		elapsed := now.Sub(m.startedAt)
		switch {
		case m.bad:
			out = append(out, g.outcome(m, site.MoveRolledBack, "worse than the other versions", target, base))
		case m.done:
			out = append(out, g.outcome(m, site.MoveDone, "completed before the store was restored", target, base))
		case elapsed < time.Duration(decisionFraction*float64(m.Within)):
			if m.State == site.MoveNotStarted {
				out = append(out, g.outcome(m, site.MoveRunning, "begun", target, base))
			}
		case target.Requests >= minAcceptRequests:
			out = append(out, g.outcome(m, site.MoveDone, "no worse than the other versions by its deadline", target, base))
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

// MarkReported records that the holder of the duties has reported an outcome.
func (g *Gate) MarkReported(o Outcome) {
	if m := g.moves[o.Service]; m != nil && m.Target == o.Target {
		m.State, m.StateTarget = o.State, o.Target
		m.done = m.done || o.State == site.MoveDone
		m.bad = m.bad || o.State == site.MoveRolledBack
	}
}
