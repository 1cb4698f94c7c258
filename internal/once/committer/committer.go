// Package committer runs the state machine of package once on a platformapi.Store. It
// provides the goroutines, the timer and the lock; all decisions are made by package once.
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
	// CallTimeout is the time-out of one store call. Default: 2s.
	CallTimeout time.Duration
	// Log receives the log messages. Default: slog.Default().
	Log *slog.Logger
	// Metrics that are updated. Default: unregistered metrics.
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

	ctx    context.Context // cancelled by Stop to end store calls
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{} // makes tickLoop compute the next tick
	// drained is closed once nothing is pending while draining.
	drained chan struct{}

	mu struct {
		sync.Mutex
		ledger   *once.Ledger
		replies  map[ident.AttemptID]chan once.Reply
		outcomes map[ident.AttemptID]chan once.Recorded
		waiting  map[ident.AttemptID]once.Claim
		draining bool // new claims are refused
		stopped  bool
	}
}

// New returns a committer and starts its goroutine, which Stop ends.
func New(store platformapi.Store, opts Options) *Committer {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Committer{opts: opts.withDefaults(), store: store, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1), drained: make(chan struct{})}
	c.mu.ledger = once.New(opts.Ledger)
	c.mu.replies = make(map[ident.AttemptID]chan once.Reply)
	c.mu.outcomes = make(map[ident.AttemptID]chan once.Recorded)
	c.mu.waiting = make(map[ident.AttemptID]once.Claim)
	c.wg.Add(1)
	go c.tickLoop()
	return c
}

// Drain refuses new claims, withdraws those that are not granted yet, and waits until
// every granted claim has its outcome and all changes are durable. It returns an error if
// ctx ends before that.
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

// OpenClaims returns the claims in the store that have no recorded response, for
// operators. It fails if the store can't be read.
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

// Stop ends all store calls and goroutines. Waiting calls of Claim and Finish return an
// error.
func (c *Committer) Stop() {
	c.mu.Lock()
	c.mu.stopped = true
	c.mu.Unlock()
	c.cancel()
	c.wg.Wait()
}

// Grant is the permission to dispatch a request once, or its recorded response.
type Grant struct {
	Key     once.Key
	Attempt ident.AttemptID
	// DispatchBy is the time before which the request must be dispatched. It has to be
	// checked with MayDispatch right before the dispatch.
	DispatchBy time.Time
	// Replay is the recorded response of a request that ran before. If it is set, the
	// request must not be dispatched or finished.
	Replay *once.Answer
}

// MayDispatch reports whether the request may still be dispatched. If not, the holder has
// to abandon the grant. It compares wall clock times, as a monotonic clock may stop while
// the machine is suspended.
func (g Grant) MayDispatch(now time.Time) bool {
	return g.Replay == nil && now.Round(0).Before(g.DispatchBy.Round(0))
}

// Claim requests permission to dispatch a request. If it is refused, the error is a
// *verdict.Error: NotRun if this attempt did not run and no other one is known,
// MayHaveRun if another attempt is running or may have run, and Ran if the request ran
// but its recorded response can't be read.
func (c *Committer) Claim(ctx context.Context, claim once.Claim) (Grant, error) {
	ch := make(chan once.Reply, 1)
	if !c.register(claim, ch) {
		return Grant{}, errDraining()
	}
	defer c.unregister(claim.Attempt)
	select {
	case r := <-ch:
		return c.handleReply(r)
	case <-c.ctx.Done():
		return Grant{}, errStopped()
	case <-ctx.Done():
		return c.withdraw(claim, ch)
	}
}

func errStopped() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "idempotency ledger has stopped").After(time.Second)
}

// errDraining returns the error for a claim that was not passed to the ledger because the
// committer is draining or stopped.
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

func (c *Committer) unregister(a ident.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.mu.replies, a)
	delete(c.mu.waiting, a)
}

func (c *Committer) handleReply(r once.Reply) (Grant, error) {
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

// withdraw cancels a claim whose context has ended. A grant that arrived at the same time
// is removed from the ledger.
func (c *Committer) withdraw(claim once.Claim, ch chan once.Reply) (Grant, error) {
	c.step(once.Withdraw{Key: claim.Key, Attempt: claim.Attempt})
	select {
	case r := <-ch:
		if r.Kind == once.Granted {
			break
		}
		return c.handleReply(r)
	default:
	}
	return Grant{}, verdict.New(verdict.NotRun, verdict.CodeDeadline, "claim of idempotency key %q was cancelled", claim.Key.Name)
}

// Finish records the outcome of a granted request and returns once it is durable. If ctx
// ends before that, it returns an error, and the committer continues to record the
// outcome. It fails if the claim is no longer held by the grant's attempt.
func (c *Committer) Finish(ctx context.Context, g Grant, o once.Outcome) error {
	o.Key, o.Attempt = g.Key, g.Attempt
	ch := make(chan once.Recorded, 1)
	c.mu.Lock()
	if c.mu.stopped {
		c.mu.Unlock()
		return errStopped()
	}
	c.mu.outcomes[g.Attempt] = ch
	c.stepLocked(o)
	c.mu.Unlock()
	select {
	case r := <-ch:
		if r.Stale {
			return verdict.New(o.Verdict, verdict.CodeConflict, "claim of idempotency key %q is no longer held by attempt %q", g.Key.Name, g.Attempt)
		}
		return nil
	case <-c.ctx.Done():
		return errStopped()
	case <-ctx.Done():
		return verdict.Wrap(o.Verdict, verdict.CodeStore, ctx.Err())
	}
}

// Abandon removes the claim of a request that is known not to have run, so that its caller
// may repeat it. It fails like Finish.
func (c *Committer) Abandon(ctx context.Context, g Grant) error {
	return c.Finish(ctx, g, once.Outcome{Verdict: verdict.NotRun})
}

// NodeGone reports that an incarnation of a node has presumably ended.
func (c *Committer) NodeGone(n ident.NodeID, inc ident.Incarnation) {
	c.step(once.NodeGone{Node: n, Incarnation: inc})
}

// Bucket returns the number of the bucket to which a key belongs.
func (c *Committer) Bucket(k once.Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.ledger.BucketOf(k)
}
