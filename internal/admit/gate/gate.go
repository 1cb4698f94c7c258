// Package gate lets goroutines wait for an admit.Controller.
package gate

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/admit"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Options are the settings of a Gate.
type Options struct {
	Admit admit.Options
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

// Gate is a goroutine-safe Controller with timers.
type Gate struct {
	now func() time.Time

	mu struct {
		sync.Mutex
		ctl     *admit.Controller
		waiters map[admit.Ticket]chan *verdict.Error // buffered; nil is a grant
		timer   *time.Timer
		closed  bool
	}
}

// New returns a Gate. Close it to stop its timer.
func New(opts Options) *Gate {
	g := &Gate{now: opts.Now}
	if g.now == nil {
		g.now = time.Now
	}
	g.mu.ctl = admit.New(opts.Admit)
	g.mu.waiters = make(map[admit.Ticket]chan *verdict.Error)
	return g
}

// SetWorkspaces takes the accepted configuration of the workspaces.
func (g *Gate) SetWorkspaces(ws map[ident.Workspace]config.WorkspaceConfig) {
	g.do(func(now time.Time) { g.mu.ctl.SetWorkspaces(now, ws) })
}

// SetLiveNodes takes the number of live nodes, this one included.
func (g *Gate) SetLiveNodes(n int) {
	g.do(func(now time.Time) { g.mu.ctl.SetLiveNodes(now, n) })
}

// SetCapacity sets how many requests of a service may be in flight.
func (g *Gate) SetCapacity(service ident.Service, slots int) {
	g.do(func(now time.Time) { g.mu.ctl.SetCapacity(now, service, slots) })
}

// Stats returns the controller's counts.
func (g *Gate) Stats() admit.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.ctl.Stats()
}

// Acquire waits until the request is admitted, and returns the function that ends
// it; that may be called more than once. The error is a *verdict.Error with verdict
// NotRun, or of ctx.
func (g *Gate) Acquire(ctx context.Context, r admit.Request) (release func(), err error) {
	d, ch := g.offer(r)
	switch d.Kind {
	case admit.Refused:
		return nil, d.Err
	case admit.Admitted:
		return g.releaser(d.Ticket), nil
	}
	select {
	case refused := <-ch:
		if refused != nil {
			return nil, refused
		}
		return g.releaser(d.Ticket), nil
	case <-ctx.Done():
		g.abandon(d.Ticket)
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeDeadline, ctx.Err())
	}
}

func (g *Gate) offer(r admit.Request) (admit.Decision, chan *verdict.Error) {
	var d admit.Decision
	ch := make(chan *verdict.Error, 1)
	g.do(func(now time.Time) {
		if d = g.mu.ctl.Offer(now, r); d.Kind == admit.Queued {
			g.mu.waiters[d.Ticket] = ch
		}
	})
	return d, ch
}

// abandon ends the wait or, where the grant came meanwhile, the request.
func (g *Gate) abandon(t admit.Ticket) {
	g.do(func(now time.Time) {
		delete(g.mu.waiters, t)
		g.mu.ctl.Cancel(now, t)
	})
}

// releaser returns the function that ends an admitted request, once.
func (g *Gate) releaser(t admit.Ticket) func() {
	granted := g.now()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.do(func(now time.Time) { g.mu.ctl.Done(now, t, now.Sub(granted)) })
		})
	}
}

// do runs f on the controller, then tells the waiters of their events and sets the
// timer for the next tick.
func (g *Gate) do(f func(now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	f(now)
	g.tickLocked(now)
}

func (g *Gate) tickLocked(now time.Time) {
	for _, e := range g.mu.ctl.Tick(now) {
		if ch := g.mu.waiters[e.Ticket]; ch != nil {
			delete(g.mu.waiters, e.Ticket)
			ch <- e.Err
		}
	}
	if g.mu.timer != nil {
		g.mu.timer.Stop()
		g.mu.timer = nil
	}
	wake, ok := g.mu.ctl.Wake(now)
	if ok && !g.mu.closed {
		g.mu.timer = time.AfterFunc(wake.Sub(now), func() { g.do(func(time.Time) {}) })
	}
}

// Close stops the timer. Waiters end by their contexts.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.closed = true
	if g.mu.timer != nil {
		g.mu.timer.Stop()
	}
}
