// Package picker makes a route.Table safe for concurrent use.
package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/route"
)

// Options are the settings of a Picker.
type Options struct {
	Route route.Options
	// Seed of the random choices. Each node should have its own.
	Seed uint64
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Picker is a route.Table that is safe for concurrent use.
type Picker struct {
	now func() time.Time

	mu struct {
		sync.Mutex
		table *route.Table
		rng   *rand.Rand
	}
}

// New returns a Picker with an empty table.
func New(opts Options) *Picker {
	p := &Picker{now: opts.Now}
	if p.now == nil {
		p.now = time.Now
	}
	p.mu.table = route.New(opts.Route)
	p.mu.rng = rand.New(rand.NewPCG(opts.Seed, 0))
	return p
}

// Pick chooses an endpoint and records the dispatch of attempt d to it atomically, so
// that the next Pick takes it into account. The caller must report the end of the
// attempt with route.Table.Finished. The error's verdict is NotRun.
func (p *Picker) Pick(r route.Request, d route.Dispatch) (route.Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	c, err := p.mu.table.Pick(now, p.mu.rng, r)
	if err != nil {
		return route.Choice{}, err
	}
	d.Endpoint, d.CachedTokens = c.Endpoint, c.Estimate.CachedTokens
	p.mu.table.Dispatched(now, d)
	return c, nil
}

// Update runs f on the table, to apply an event or to read state. It holds the lock
// meanwhile: f must neither retain the table nor block.
func (p *Picker) Update(f func(now time.Time, t *route.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now(), p.mu.table)
}
