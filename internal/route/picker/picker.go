// Package picker shares a route.Table between goroutines.
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
	// Seed of the random choices. Nodes should have different ones.
	Seed uint64
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Picker is a goroutine-safe route.Table.
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

// Pick chooses an endpoint and notes the dispatch of attempt d to it in one step,
// so that the next Pick knows of it. The caller must tell of its end by
// route.Table.Finished. The error's verdict is NotRun.
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

// Update runs f on the table: to tell of an event, or to read. f must not keep the
// table nor wait.
func (p *Picker) Update(f func(now time.Time, t *route.Table)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.now(), p.mu.table)
}
