package placement

import (
	"math/rand/v2"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// throughOthers returns a healthy endpoint of which only other nodes have a share, and these nodes.
// A migrated request is not passed on: its KV copy would expire.
func (t *Table) throughOthers(now time.Time, rng *rand.Rand, s *service, r Request) (Choice, bool) {
	if r.Imported {
		return Choice{}, false
	}
	var best Choice
	found := 0
	for _, m := range s.members {
		if !t.fits(m, r) || !m.missingSince.IsZero() || m.health.ejected(now) || m.health.full(now) || m.health.backingOff(now) {
			continue
		}
		senders := t.limits.Senders(now, m.incarnation, m.Slots)
		if len(senders) == 0 {
			continue
		}
		if found++; rng.IntN(found) > 0 {
			continue // each of those found is chosen with the same probability
		}
		best = Choice{Endpoint: m.Endpoint, EstimatedWait: t.opts.RemoteCost, UncachedTokens: max(r.Prompt.Input, 1)}
		best.prefillWork = prefillWork(0, best.UncachedTokens)
		for _, name := range senders {
			best.Through = append(best.Through, ident.NodeID(name))
		}
	}
	return best, found > 0
}

// Reserve takes this node's share of what an endpoint takes, for a request of another node that has
// none. The error's verdict is NotRun. Release must be called when the request has ended.
func (t *Table) Reserve(now time.Time, e site.Endpoint) *verdict.Error {
	if err := t.MaySend(now, e, SendRequest); err != nil {
		return err
	}
	m := t.members[e.ID]
	if !t.limits.Divided(now, m.incarnation) || t.wait(now, m) > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "this node has no share of endpoint %q left", e.ID)
	}
	m.reserved++
	t.limits.Spend(now, m.incarnation)
	return nil
}

// Release records that a request for which Reserve succeeded has ended.
func (t *Table) Release(e site.Endpoint) {
	if m := t.members[e.ID]; m != nil && m.SameIncarnation(e) {
		m.reserved = max(m.reserved-1, 0)
	}
}
