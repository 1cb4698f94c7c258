package controller

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

// releaseTimeout bounds the time for giving a lease up.
const releaseTimeout = 2 * time.Second

func leaseName(s ident.Service) string { return "fleet/" + string(s) }

// candidacy seeks the lease of one service while it is asked to. It is used from
// one goroutine.
type candidacy struct {
	opts    *Options
	service ident.Service
	holder  *holder.Holder // nil while not a candidate
	cancel  context.CancelFunc
	done    chan struct{}
}

var _ right = (*candidacy)(nil)

func newCandidacy(opts *Options, s ident.Service) *candidacy {
	return &candidacy{opts: opts, service: s}
}

// Held implements right.
func (c *candidacy) Held() (ident.Epoch, bool) {
	if c.holder == nil {
		return 0, false
	}
	return c.holder.Held()
}

// Settled implements right.
func (c *candidacy) Settled() bool { return c.holder != nil && c.holder.Settled() }

// follow begins or ends the candidacy.
func (c *candidacy) follow(wanted bool) {
	switch {
	case wanted && c.holder == nil:
		c.begin()
	case !wanted && c.holder != nil:
		c.stop()
	}
}

func (c *candidacy) begin() {
	h, err := holder.New(holder.Options{
		Store: c.opts.Store, Name: leaseName(c.service), Owner: c.opts.Self, Lease: c.opts.Lease,
		Metrics: c.opts.Leases, Log: c.opts.Log,
	})
	if err != nil {
		c.opts.Log.Error("fleet: Lease options are not safe.", "error", err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.holder, c.cancel, c.done = h, cancel, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		_ = h.Run(ctx)
	}(c.done)
}

// stop gives the lease up. No act is under way, as the steps run in the caller's
// goroutine; what the platform has of them may still take effect.
func (c *candidacy) stop() {
	if c.holder == nil {
		return
	}
	c.holder.Release(false)
	t := time.NewTimer(releaseTimeout)
	defer t.Stop()
	select {
	case <-c.done:
	case <-t.C:
	}
	c.cancel()
	<-c.done
	c.holder = nil
}
