package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Usage is the capacity and the load of a version's endpoints.
type Usage struct {
	Version ident.Version
	// Slots is the number of slots of the usable endpoints that are not ejected.
	// Running is the estimated number of requests running or queued at all endpoints.
	Slots, Running float64
}

// Usage returns the usage of each version of a service, ordered by version. It
// covers all endpoints in the table. For an endpoint without a load report, Running
// is estimated from this node's dispatches alone.
func (t *Table) Usage(now time.Time, service ident.Service) []Usage {
	var out []Usage
	for _, p := range t.sortedPools(service) {
		u := Usage{Version: p.key.version}
		for _, m := range p.all {
			u.Running += m.running(t.estimatePeers(now, p, m))
			if m.usable() && !m.health.ejected(now) {
				u.Slots += float64(m.slots(t.slots[service], t.opts.Concurrency))
			}
		}
		out = append(out, u)
	}
	return out
}
