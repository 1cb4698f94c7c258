// Package holder runs the state machine of package lease on the platform's store.
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
	// Name is the name of the lease, for example "move/inscription".
	Name  string
	Owner lease.Owner
	Lease lease.Options
	// Candidate reports whether this node tries to acquire the lease while it does not
	// hold it. Default: always. A few candidates are enough, as each read of the record
	// costs a store call.
	Candidate func() bool
	// CallTimeout is the timeout of one store call. Default: 1/10 of the term.
	CallTimeout time.Duration
	// Clock reads the monotonic and the wall clock. Default: the clocks of the process.
	Clock func() lease.Instant
	// Era returns the era of the store that this node knows of. Default: always zero, for
	// a store that is never restored from a copy.
	Era func() platformapi.Era
	// Metrics is optional.
	Metrics *Metrics
	// Log is optional.
	Log *slog.Logger
}

// Metrics contains the metrics of the leases of a node.
type Metrics struct {
	held  *prometheus.GaugeVec
	calls *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with reg unless it is nil.
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

// Holder acquires and renews one lease for one node. It is safe for concurrent use.
type Holder struct {
	opts   Options
	wakeUp chan struct{}

	mu struct {
		sync.Mutex
		lease *lease.Lease
	}
}

// New returns a Holder, or an error if opts.Lease does not pass Validate.
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
	if opts.Era == nil {
		opts.Era = func() platformapi.Era { return 0 }
	}
	if opts.Log == nil {
		opts.Log = slog.New(slog.DiscardHandler)
	}
	h := &Holder{opts: opts, wakeUp: make(chan struct{}, 1)}
	h.mu.lease = lease.New(opts.Owner, opts.Lease)
	return h, nil
}

// processClock returns a function that reads the clocks of the process. The monotonic
// reading is stripped from the wall time, as the monotonic clock may stop while the
// machine is suspended.
func processClock() func() lease.Instant {
	start := time.Now()
	return func() lease.Instant {
		now := time.Now()
		return lease.Instant{Monotonic: now.Sub(start), Wall: now.Round(0)}
	}
}

// Held returns the fencing token and whether this node holds the lease now. Call it
// immediately before each action that requires the lease.
func (h *Holder) Held() (ident.Epoch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.lease.Held(h.observeEra())
}

// observeEra passes the era of the store to the lease and returns the time. The caller
// holds the lock.
func (h *Holder) observeEra() lease.Instant {
	now := h.opts.Clock()
	h.mu.lease.HandleEra(now, h.opts.Era())
	return now
}

// Settled reports whether orders may be sent to endpoints that ignore the fencing token.
func (h *Holder) Settled() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.lease.Settled(h.observeEra())
}

// Confirmed reports whether this node holds the lease and the store has just said so, so that a
// call can be sent that a partition must not hold up.
func (h *Holder) Confirmed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.mu.lease.Confirmed(h.observeEra())
}

// Release releases the lease, so that the next holder need not wait for the term. Run
// returns once the release is written. Set idle if no action of this holder is in progress.
func (h *Holder) Release(idle bool) {
	h.mu.Lock()
	h.mu.lease.Release(idle)
	h.mu.Unlock()
	select {
	case h.wakeUp <- struct{}{}:
	default:
	}
}

// Run acquires and renews the lease until ctx ends or a release is complete.
func (h *Holder) Run(ctx context.Context) error {
	var last ident.Epoch
	for ctx.Err() == nil {
		if h.standsBy() {
			h.wait(ctx, h.opts.Lease.RetryDelay)
			h.reportChange(&last)
			continue
		}
		action, released := h.next()
		if released {
			h.reportChange(&last)
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
		h.reportChange(&last)
	}
	return ctx.Err()
}

// standsBy reports whether this node makes no attempt to acquire the lease. Its copy of
// the record may become stale meanwhile; an update based on it then fails with a conflict.
func (h *Holder) standsBy() bool {
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
	action := h.mu.lease.Next(h.observeEra())
	return action, h.mu.lease.Released()
}

func (h *Holder) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	h.opts.Metrics.calls.WithLabelValues(h.opts.Name).Inc()
	object, err := h.opts.Store.Get(ctx, lease.Key(h.opts.Name))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.lease.HandleRead(h.observeEra(), object, err)
}

func (h *Holder) put(ctx context.Context, a lease.PutAction) {
	ctx, cancel := context.WithTimeout(ctx, h.opts.CallTimeout)
	defer cancel()
	h.opts.Metrics.calls.WithLabelValues(h.opts.Name).Inc()
	version, err := h.opts.Store.Put(ctx, lease.Key(h.opts.Name), a.Value, a.Expect)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mu.lease.HandleWrite(h.observeEra(), version, err)
}

func (h *Holder) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wakeUp:
	case <-ctx.Done():
	}
}

// reportChange logs and records in the metrics when the lease is acquired or lost.
func (h *Holder) reportChange(last *ident.Epoch) {
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
