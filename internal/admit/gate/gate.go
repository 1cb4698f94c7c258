// Package gate wraps an admit.Controller for concurrent use: goroutines block until
// their request is admitted or refused.
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
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

// Gate is a Controller with a timer. It is safe for concurrent use.
type Gate struct {
	now func() time.Time

	mu struct {
		sync.Mutex
		ctl     *admit.Controller
		waiters map[admit.Ticket]chan *verdict.Error // buffered; receives nil for a grant
		timer   *time.Timer
		closed  bool
	}
}

// New returns a Gate. Close stops its timer.
func New(opts Options) *Gate {
	g := &Gate{now: opts.Now}
	if g.now == nil {
		g.now = time.Now
	}
	g.mu.ctl = admit.New(opts.Admit)
	g.mu.waiters = make(map[admit.Ticket]chan *verdict.Error)
	return g
}

// SetWorkspaces applies the accepted configuration of the workspaces.
func (g *Gate) SetWorkspaces(ws map[ident.Workspace]config.WorkspaceConfig) {
	g.update(func(now time.Time) { g.mu.ctl.SetWorkspaces(now, ws) })
}

// SetLiveNodes sets the number of live nodes, including this one.
func (g *Gate) SetLiveNodes(n int) {
	g.update(func(now time.Time) { g.mu.ctl.SetLiveNodes(now, n) })
}

// SetCapacity sets how many requests of a service may be in flight.
func (g *Gate) SetCapacity(service ident.Service, slots int) {
	g.update(func(now time.Time) { g.mu.ctl.SetCapacity(now, service, slots) })
}

// Stats returns the controller's counters.
func (g *Gate) Stats() admit.Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.ctl.Stats()
}

// Acquire waits until the request is admitted and returns the function that ends it,
// which may be called more than once. The error is a *verdict.Error with verdict
// NotRun; it wraps the error of ctx if ctx ended first.
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
	g.update(func(now time.Time) {
		if d = g.mu.ctl.Offer(now, r); d.Kind == admit.Queued {
			g.mu.waiters[d.Ticket] = ch
		}
	})
	return d, ch
}

// abandon ends the wait, or the request if it was granted in the meantime.
func (g *Gate) abandon(t admit.Ticket) {
	g.update(func(now time.Time) {
		delete(g.mu.waiters, t)
		g.mu.ctl.Cancel(now, t)
	})
}

// releaser returns the function that ends an admitted request. Only its first call has
// an effect.
func (g *Gate) releaser(t admit.Ticket) func() {
	granted := g.now()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.update(func(now time.Time) { g.mu.ctl.Done(now, t, now.Sub(granted)) })
		})
	}
}

// update calls f with the lock held, then delivers the controller's events to the waiters
// and sets the timer for the next tick.
func (g *Gate) update(f func(now time.Time)) {
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
		g.mu.timer = time.AfterFunc(wake.Sub(now), func() { g.update(func(time.Time) {}) })
	}
}

// Close stops the timer. Waiters still return when their contexts end.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.closed = true
	if g.mu.timer != nil {
		g.mu.timer.Stop()
	}
}
