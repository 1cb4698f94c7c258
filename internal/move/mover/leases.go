package mover

import (
	"context"
	"slices"
	"sync"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

func leaseName(s ident.Service) string { return "move/" + string(s) }

// leases are this node's candidacies, one a service.
type leases struct {
	opts *Options
	mu   sync.Mutex
	held map[ident.Service]*candidacy
	wg   sync.WaitGroup
}

type candidacy struct {
	holder *holder.Holder
	cancel context.CancelFunc
}

// get returns the fencing number of a service's moves, if it is held now.
func (l *leases) get(s ident.Service) (ident.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.held[s]
	if c == nil {
		return 0, false
	}
	return c.holder.Held()
}

// seek makes this node a candidate for exactly the services wanted.
func (l *leases) seek(ctx context.Context, wanted []ident.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, c := range l.held {
		if !slices.Contains(wanted, s) {
			c.holder.Release(true)
			delete(l.held, s)
		}
	}
	for _, s := range wanted {
		if l.held[s] == nil {
			l.addLocked(ctx, s)
		}
	}
}

func (l *leases) addLocked(ctx context.Context, s ident.Service) {
	h, err := holder.New(holder.Options{
		Store: l.opts.Store, Name: leaseName(s), Owner: l.opts.Self, Lease: l.opts.Lease,
		Metrics: l.opts.Metrics.leases, Log: l.opts.Log,
	})
	if err != nil {
		l.opts.Log.Error("move: Lease options are not safe.", "error", err)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l.held[s] = &candidacy{holder: h, cancel: cancel}
	l.wg.Go(func() {
		defer cancel()
		_ = h.Run(ctx)
	})
}

// stop ends all candidacies; the leases lapse.
func (l *leases) stop() {
	l.mu.Lock()
	for _, c := range l.held {
		c.cancel()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
