// Package committer drives the ledger of package once on a platformapi.Store. It
// owns the goroutines, the timer and the lock; it decides nothing.
package committer

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Options are the settings of a Committer.
type Options struct {
	Ledger once.Options
	// CallTimeout bounds one store call. Default: 2s.
	CallTimeout time.Duration
	// Log of the part. Default: slog.Default().
	Log *slog.Logger
	// Metrics to count in. Default: unregistered ones.
	Metrics *Metrics
}

func (o Options) withDefaults() Options {
	if o.CallTimeout == 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	return o
}

// Committer is a ledger that is safe for concurrent use.
type Committer struct {
	opts  Options
	store platformapi.Store

	ctx    context.Context // ends store calls on Stop
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}
	// drained is closed once nothing is pending while draining.
	drained chan struct{}

	mu struct {
		sync.Mutex
		ledger   *once.Ledger
		replies  map[ident.AttemptID]chan once.Reply
		ends     map[ident.AttemptID]chan once.Recorded
		waiting  map[ident.AttemptID]once.Claim
		draining bool // refuses new claims
		stopped  bool
	}
}

// New returns a committer and starts its goroutine; Stop ends it.
func New(store platformapi.Store, opts Options) *Committer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Committer{opts: opts.withDefaults(), store: store, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), drained: make(chan struct{})}
	c.mu.ledger = once.New(opts.Ledger)
	c.mu.replies = make(map[ident.AttemptID]chan once.Reply)
	c.mu.ends = make(map[ident.AttemptID]chan once.Recorded)
	c.mu.waiting = make(map[ident.AttemptID]once.Claim)
	c.wg.Add(1)
	go c.tickLoop()
	return c
}

// Drain refuses new claims, ends the wait of those that were not granted yet, and
// returns once every granted claim has its outcome and all is durable, or ctx ends.
func (c *Committer) Drain(ctx context.Context) error {
	c.mu.Lock()
	if !c.mu.draining {
		c.mu.draining = true
		c.withdrawAllLocked()
	}
	c.mu.Unlock()
	c.step(once.Tick{})
	select {
	case <-c.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Committer) withdrawAllLocked() {
	for _, a := range slices.Sorted(maps.Keys(c.mu.waiting)) {
		if claim, ok := c.mu.waiting[a]; ok {
			c.stepLocked(once.Withdraw{Key: claim.Key, Attempt: a})
		}
	}
}

// OpenClaims lists the claims without outcome in the store, for operators.
func (c *Committer) OpenClaims(ctx context.Context) ([]once.OpenClaim, error) {
	c.mu.Lock()
	prefix := c.mu.ledger.BucketPrefix()
	c.mu.Unlock()
	objects, err := c.store.List(ctx, prefix)
	if err != nil {
		return nil, err
	}
	var all []once.OpenClaim
	for _, o := range objects {
		open, err := once.OpenClaims(o)
		if err != nil {
			return nil, err
		}
		all = append(all, open...)
	}
	return all, nil
}

// Stop ends all store calls and goroutines. Calls that wait return an error.
func (c *Committer) Stop() {
	c.mu.Lock()
	c.mu.stopped = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

// Grant is the right to dispatch a request once, or its recorded answer.
type Grant struct {
	Key     once.Key
	Attempt ident.AttemptID
	// DispatchBy bounds the dispatch; check it right before.
	DispatchBy time.Time
	// Replay is the recorded answer of a request that ran before. Where it is set
	// there is nothing to dispatch or to finish.
	Replay *once.Answer
}

// MayDispatch tells whether the request may still be dispatched. Where it may
// not, the holder abandons the grant. It compares wall clocks, because a monotonic
// clock may stand still while the machine is suspended.
func (g Grant) MayDispatch(now time.Time) bool {
	return g.Replay == nil && now.Round(0).Before(g.DispatchBy.Round(0))
}

// Claim asks for the right to dispatch a request. It returns a *verdict.Error
// where there is none: NotRun where the caller may ask again, MayHaveRun where
// another attempt runs or may have run.
func (c *Committer) Claim(ctx context.Context, claim once.Claim) (Grant, error) {
	ch := make(chan once.Reply, 1)
	if !c.register(claim, ch) {
		return Grant{}, errDraining()
	}
	defer c.forget(claim.Attempt)
	select {
	case r := <-ch:
		return c.granted(r)
	case <-c.ctx.Done():
		return Grant{}, errStopped()
	case <-ctx.Done():
		return c.withdraw(claim, ch)
	}
}

func errStopped() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "ledger has stopped").After(time.Second)
}

// errDraining refuses a claim that was never handed to the ledger.
func errDraining() error {
	return verdict.New(verdict.NotRun, verdict.CodeStopping, "node is stopping").After(time.Second)
}

func (c *Committer) register(claim once.Claim, ch chan once.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mu.stopped || c.mu.draining {
		return false
	}
	c.mu.replies[claim.Attempt] = ch
	c.mu.waiting[claim.Attempt] = claim
	c.stepLocked(claim)
	return true
}

func (c *Committer) forget(a ident.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.mu.replies, a)
	delete(c.mu.waiting, a)
}

func (c *Committer) granted(r once.Reply) (Grant, error) {
	c.opts.Metrics.Replies.WithLabelValues(r.Kind.String()).Inc()
	g := Grant{Key: r.Key, Attempt: r.Attempt, DispatchBy: r.DispatchBy}
	switch r.Kind {
	case once.Granted:
		return g, nil
	case once.Replayed:
		g.Replay = &r.Answer
		return g, nil
	default:
		return Grant{}, r.Err
	}
}

// withdraw ends a wait whose context ended. A grant that came at the same moment
// is given back.
func (c *Committer) withdraw(claim once.Claim, ch chan once.Reply) (Grant, error) {
	c.step(once.Withdraw{Key: claim.Key, Attempt: claim.Attempt})
	select {
	case r := <-ch:
		if r.Kind == once.Granted {
			break
		}
		return c.granted(r)
	default:
	}
	return Grant{}, verdict.New(verdict.NotRun, verdict.CodeDeadline, "claim of key %q was given up", claim.Key.Name)
}

// Finish records the outcome of a granted request. It returns once that is
// durable. Where ctx ends before, the committer goes on to record it.
func (c *Committer) Finish(ctx context.Context, g Grant, o once.Outcome) error {
	o.Key, o.Attempt = g.Key, g.Attempt
	ch := make(chan once.Recorded, 1)
	c.mu.Lock()
	if c.mu.stopped {
		c.mu.Unlock()
		return errStopped()
	}
	c.mu.ends[g.Attempt] = ch
	c.stepLocked(o)
	c.mu.Unlock()
	select {
	case r := <-ch:
		if r.Stale {
			return verdict.New(o.Verdict, verdict.CodeConflict, "claim of key %q is not held by attempt %q any more", g.Key.Name, g.Attempt)
		}
		return nil
	case <-c.ctx.Done():
		return errStopped()
	case <-ctx.Done():
		return verdict.Wrap(o.Verdict, verdict.CodeStore, ctx.Err())
	}
}

// Abandon removes the claim of a request that is proved not to have run, so that
// its caller may ask again.
func (c *Committer) Abandon(ctx context.Context, g Grant) error {
	return c.Finish(ctx, g, once.Outcome{Verdict: verdict.NotRun})
}

// NodeGone tells that a node's life has ended, as far as the caller knows.
func (c *Committer) NodeGone(n ident.NodeID, inc ident.Incarnation) {
	c.step(once.NodeGone{Node: n, Incarnation: inc})
}

// Bucket returns the number of the bucket that a key belongs to.
func (c *Committer) Bucket(k once.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.ledger.BucketOf(k)
}
