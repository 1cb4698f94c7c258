package endpointlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Pattern: few endpoints, many nodes. Where a rate or the room of a few endpoints is divided among
// some nodes, most of many nodes have no share of any. They pass their requests on to one that
// has; the share is spent there.

// Divided reports whether this node knows that what an endpoint takes is divided among nodes. One
// that has just started may not: it sends nothing for others.
func (l *Limits) Divided(now time.Time, endpoint site.IncarnationHash) bool {
	e := l.entries[endpoint]
	return e != nil && e.states() || l.IsCold(now, endpoint)
}

// Senders returns the other live nodes that have a share of what an endpoint with a number of slots
// takes, by all that divides it. It is empty where nothing is divided, and for a node that has a
// share itself: where its share is spent, those of the others most likely are too.
func (l *Limits) Senders(now time.Time, endpoint site.IncarnationHash, slots int) []string {
	count, divided := len(l.nodes), false
	if e := l.entries[endpoint]; e != nil && e.Limited {
		count, divided = min(count, e.senders), true
	}
	if e := l.entries[endpoint]; e != nil && e.Brittle {
		count, divided = min(count, l.brittleSenders(e, slots)), true
	}
	if e := l.cold[endpoint]; e != nil && now.Before(e.until) {
		count, divided = min(count, e.senders), true
	}
	if !divided {
		return nil
	}
	ranked := slices.SortedFunc(slices.Values(l.nodes), func(a, b uint64) int {
		return cmp.Compare(rendezvous.Mix(b^uint64(endpoint)), rendezvous.Mix(a^uint64(endpoint)))
	})
	var out []string
	for _, n := range ranked[:count] {
		if n == l.self {
			return nil
		}
		out = append(out, l.names[n])
	}
	return out
}
