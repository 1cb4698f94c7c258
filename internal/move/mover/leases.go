package mover

import (
	"context"
	"slices"
	"sync"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

func leaseName(s ident.Service) string { return "move/" + string(s) }

// leases contains the candidacies of this node for leases, one per service.
type leases struct {
	opts        *Options
	mu          sync.Mutex
	candidacies map[ident.Service]*candidacy
	wg          sync.WaitGroup
}

type candidacy struct {
	holder *holder.Holder
	cancel context.CancelFunc
}

// get returns the fencing epoch of the lease of a service, and whether this node
// holds the lease now.
func (l *leases) get(s ident.Service) (ident.Epoch, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.candidacies[s]
	if c == nil {
		return 0, false
	}
	return c.holder.Held()
}

// setCandidacies makes this node a candidate for the leases of exactly the given
// services.
func (l *leases) setCandidacies(ctx context.Context, services []ident.Service) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s, c := range l.candidacies {
		if !slices.Contains(services, s) {
			c.holder.Release(true)
			delete(l.candidacies, s)
		}
	}
	for _, s := range services {
		if l.candidacies[s] == nil {
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
	l.candidacies[s] = &candidacy{holder: h, cancel: cancel}
	l.wg.Go(func() {
		defer cancel()
		_ = h.Run(ctx)
	})
}

// stop ends all candidacies. Leases are not released but expire.
func (l *leases) stop() {
	l.mu.Lock()
	for _, c := range l.candidacies {
		c.cancel()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
