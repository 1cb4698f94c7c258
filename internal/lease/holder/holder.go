// Package holder drives a lease on the platform's store.
package holder

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Options are the settings of a Holder.
type Options struct {
	Store platformapi.Store
	// Name of the lease, for example "move/inscription".
	Name  string
	Owner lease.Owner
	Lease lease.Options
	// Candidate tells whether this node seeks the lease while it does not hold it.
	// Default: always. A few candidates are enough, and each look has its price.
	Candidate func() bool
	// CallTimeout bounds one call to the store. Default: 1/10 of the term.
	CallTimeout time.Duration
	// Clock reads both clocks. Default: those of the process.
	Clock func() lease.Instant
	// Metrics is optional.
	Metrics *Metrics
	// Log is optional.
	Log *slog.Logger
}

// Metrics are the metrics of the leases of a node.
type Metrics struct {
	held  *prometheus.GaugeVec
	calls *prometheus.CounterVec
}

// NewMetrics registers the metrics with reg, which may be nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		held:  prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "lease_epoch_held", Help: "Epoch held; 0 for none."}, []string{"lease"}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "lease_store_calls_total", Help: "Calls to the store."}, []string{"lease"}),
	}
	if reg != nil {
		reg.MustRegister(m.held, m.calls)
	}
	return m
}

// Holder is one node's candidacy for one lease.
type Holder struct {
	opts Options
	wake chan struct{}

	mu struct {
		sync.Mutex
		lease *lease.Lease
	}
}

// New returns a Holder, or an error for options that are not safe.
func New(opts Options) (*Holder, error) {
	opts.Lease = opts.Lease.WithDefaults()
	if err := opts.Lease.Validate(); err != nil {
		return nil, err
	}
	if opts.CallTimeout == 0 {
		opts.CallTimeout = opts.Lease.Term / 10
	}
	if opts.Clock == nil {
		opts.Clock = processClock()
	}
	if opts.Metrics == nil {
		opts.Metrics = NewMetrics(nil)
	}
	if opts.Candidate == nil {
		opts.Candidate = func() bool { return true }
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	h := &Holder{opts: opts, wake: make(chan struct{}, 1)}
	h.mu.lease = lease.New(opts.Owner, opts.Lease)
	return h, nil
}

// processClock returns a reader of the process's clocks. The wall clock is read
// apart, as a machine's suspension may stop the monotonic one.
func processClock() func() lease.Instant {
	start := time.Now()
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// Held returns the fencing number and whether the right is in force now. It must
// be asked right before each act.
func (h *Holder) Held() (ident.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.lease.Held(h.opts.Clock())
}

// Settled tells whether endpoints that ignore the fencing number may be given orders.
func (h *Holder) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.lease.Settled(h.opts.Clock())
}

// Release gives the lease up, so that the next holder need not wait for the term.
// Run returns once that is written. Idle tells that no act of this holder is
// under way.
func (h *Holder) Release(idle bool) {
	h.mu.Lock()
	h.mu.lease.Release(idle)
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run seeks and renews the lease until ctx ends or Release has come to its end.
func (h *Holder) Run(ctx context.Context) error {
	var last ident.Epoch
	for ctx.Err() == nil {
		if h.standsBack() {
			h.wait(ctx, h.opts.Lease.RetryDelay)
			h.report(&last)
			continue
		}
		action, released := h.next()
		if released {
			h.report(&last)
			return nil
		}
		switch a := action.(type) {
		case lease.ReadAction:
			h.read(ctx)
		case lease.PutAction:
			h.put(ctx, a)
		case lease.WaitAction:
			h.wait(ctx, a.Delay)
		}
		h.report(&last)
	}
	return ctx.Err()
}

// standsBack tells whether this node leaves the lease to others. What it knows of
// the record grows old meanwhile; an update on it then meets a conflict.
func (h *Holder) standsBack() bool {
	if _, held := h.Held(); held || h.opts.Candidate() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.mu.lease.Releasing()
}

func (h *Holder) next() (lease.Action, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	action := h.mu.lease.Next(h.opts.Clock())
	return action, h.mu.lease.Released()
}

func (h *Holder) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	h.opts.Metrics.calls.WithLabelValues(h.opts.Name).Inc()
	object, err := h.opts.Store.Get(ctx, lease.Key(h.opts.Name))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.lease.Read(h.opts.Clock(), object, err)
}

func (h *Holder) put(ctx context.Context, a lease.PutAction) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	h.opts.Metrics.calls.WithLabelValues(h.opts.Name).Inc()
	version, err := h.opts.Store.Put(ctx, lease.Key(h.opts.Name), a.Value, a.Expect)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.lease.Wrote(h.opts.Clock(), version, err)
}

func (h *Holder) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

// report logs and counts changes of the right.
func (h *Holder) report(last *ident.Epoch) {
	epoch, _ := h.Held()
	if epoch == *last {
		return
	}
	if epoch == 0 {
		h.opts.Log.Info("lease: Lost.", "lease", h.opts.Name, "epoch", *last)
	} else {
		h.opts.Log.Info("lease: Acquired.", "lease", h.opts.Name, "epoch", epoch)
	}
	h.opts.Metrics.held.WithLabelValues(h.opts.Name).Set(float64(epoch))
	*last = epoch
}
