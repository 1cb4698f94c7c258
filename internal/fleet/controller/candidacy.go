package controller

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
)

// releaseTimeout limits the time for releasing a lease.
const releaseTimeout = 2 * time.Second

func leaseName(s ident.Service) string { return "fleet/" + string(s) }

// candidacy tries to acquire and hold the lease of one service while this node is a
// candidate. It is used from one goroutine.
type candidacy struct {
	opts    *Options
	service ident.Service
	holder  *holder.Holder // nil while not a candidate
	cancel  context.CancelFunc
	done    chan struct{}
}

var _ leaseStatus = (*candidacy)(nil)

func newCandidacy(opts *Options, s ident.Service) *candidacy {
	return &candidacy{opts: opts, service: s}
}

// Held implements leaseStatus.
func (c *candidacy) Held() (ident.Epoch, bool) {
	if c.holder == nil {
		return 0, false
	}
	return c.holder.Held()
}

// Settled implements leaseStatus.
func (c *candidacy) Settled() bool { return c.holder != nil && c.holder.Settled() }

// setCandidate starts or ends the candidacy.
func (c *candidacy) setCandidate(candidate bool) {
	switch {
	case candidate && c.holder == nil:
		c.start()
	case !candidate && c.holder != nil:
		c.stop()
	}
}

func (c *candidacy) start() {
	h, err := holder.New(holder.Options{
		Store: c.opts.Store, Name: leaseName(c.service), Owner: c.opts.Self, Lease: c.opts.Lease,
		Metrics: c.opts.LeaseMetrics, Log: c.opts.Log,
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

// stop releases the lease. No action is in progress, because the steps run in the
// caller's goroutine; calls that already reached the platform may still take effect.
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
