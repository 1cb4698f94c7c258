package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Usage is what a version's endpoints serve, and could.
type Usage struct {
	Version ident.Version
	// Slots of the usable endpoints, and the requests estimated to be in them.
	Slots, Running float64
}

// Usage returns the usage of each version of a service, ordered by version. It
// covers all endpoints that the table knows; where no report of an endpoint came,
// only this node's requests count as running.
func (t *Table) Usage(now time.Time, service ident.Service) []Usage {
	var out []Usage
	for _, p := range t.sortedPools(service) {
		u := Usage{Version: p.key.version}
		for _, m := range p.all {
			u.Running += m.running(t.others(now, p, m))
			if m.usable() && !m.health.ejected(now) {
				u.Slots += float64(m.slots(t.slots[service], t.opts.Concurrency))
			}
		}
		out = append(out, u)
	}
	return out
}
