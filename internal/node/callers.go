package node

import (
	"context"
	"log/slog"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/callerconn"
	"github.com/jujubeshed/jujubeshed/internal/drain"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
)

const (
	// handoverBudget is the time for handing over all running responses to other nodes.
	handoverBudget = 5 * time.Second
	// shutdownBudget is the time for writing the last responses.
	shutdownBudget       = 5 * time.Second
	answerExpiryInterval = 5 * time.Second
	// idleCheckInterval is how often a stopping node closes the connections that have become idle.
	idleCheckInterval = 20 * time.Millisecond
)

const (
	// callerIdleTimeout is how long a caller's connection may be open without a request.
	callerIdleTimeout = 2 * time.Minute
	// Shares of the process's descriptors that are taken by idle and by all connections of callers, by
	// those of other nodes and by those of operators. The rest is for connections to endpoints, other
	// nodes and the platform.
	callerConnectionsShare      = 0.75
	callerTotalConnectionsShare = 0.8
	peerConnectionsShare        = 0.1
	operatorConnectionsShare    = 0.05
)

// connectionShare returns the limits of connections of which all, and those that are idle, take shares
// of the process's descriptors.
func connectionShare(total, idle float64) callerconn.Limits {
	limits := callerconn.Limits{Idle: callerIdleTimeout}
	var files syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		n := float64(min(files.Cur, math.MaxInt32))
		limits.Connections, limits.Total = int(idle*n), int(total*n)
	}
	return limits
}

// callerLimits returns the limits of callers' connections.
func callerLimits() callerconn.Limits {
	return connectionShare(callerTotalConnectionsShare, callerConnectionsShare)
}

// peerLimits returns the limits of the connections of other nodes.
func peerLimits() callerconn.Limits {
	return connectionShare(peerConnectionsShare, peerConnectionsShare)
}

// operatorLimits returns the limits of operators' connections.
func operatorLimits() callerconn.Limits {
	return connectionShare(operatorConnectionsShare, operatorConnectionsShare)
}

// callerListener serves callers and drains their requests.
type callerListener struct {
	*listener
	opts    *Options
	reclaim *reclaimTracker
	log     *slog.Logger
	entry   *entry.Server
	loop    *kernel.Loop
}

var (
	_ kernel.Starter = (*callerListener)(nil)
	_ kernel.Drainer = (*callerListener)(nil)
	_ kernel.Stopper = (*callerListener)(nil)
)

func newCallerListener(opts *Options, s *entry.Server, connections *callerconn.Tracker, r *reclaimTracker, log *slog.Logger) *callerListener {
	l := newListener("callers", opts.Callers, s, connections, opts.queueBytes(), log)
	l.server.MaxHeaderBytes = entry.MaxReadHeaderBytes // the entry server enforces its own limit
	return &callerListener{
		listener: l,
		opts:     opts, reclaim: r, log: log, entry: s,
		loop: kernel.NewLoop(answerExpiryInterval, func(context.Context) { s.ExpireAnswers(time.Now()) }),
	}
}

// Start starts serving callers and removing expired answers periodically.
func (c *callerListener) Start(ctx context.Context) error {
	if err := c.listener.Start(ctx); err != nil {
		return err
	}
	return c.loop.Start(ctx)
}

// Drain makes the readiness check fail and waits for the drain delay, so that load
// balancers stop sending requests to this node. Then it waits up to the drain timeout
// for the running chat completions and hands over the rest to other nodes. Requests to plain
// services have as long, and shutdownBudget at least; those that may not end by then are refused.
func (c *callerListener) Drain(ctx context.Context) error {
	now := time.Now()
	delay, timeout := c.reclaim.drainTimes(c.opts, now)
	plan := drain.Plan{Begin: now, Close: now.Add(delay)}
	plan.End = plan.Close.Add(max(timeout, shutdownBudget))
	plan.Exit = plan.End.Add(shutdownBudget)
	c.entry.BeginStop(plan)
	terminate := time.AfterFunc(time.Until(plan.End), c.entry.TerminateRequests)
	defer terminate.Stop()
	sleep(ctx, delay)
	finishCtx, cancel := context.WithTimeout(ctx, timeout)
	handedOver, lost := c.entry.FinishOrHandOver(finishCtx, handoverBudget)
	cancel()
	c.log.Info("node: Drained.", "handed_over", handedOver, "lost", lost)
	shutdownCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), plan.Exit)
	defer cancel()
	return c.shutdown(shutdownCtx)
}

// shutdown stops accepting connections, closes the idle ones and waits for the running requests.
// Shutdown alone would drop requests that have arrived on idle connections without a response.
func (c *callerListener) shutdown(ctx context.Context) error {
	if err := c.ln.Close(); err != nil {
		return errors.Wrap(err, "close the listener for callers")
	}
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for c.connections.CloseIdle(time.Now()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	if err := c.server.Shutdown(ctx); err != nil && !errors.Is(err, net.ErrClosed) { // the listener is closed already
		return err
	}
	return nil
}

// Stop closes the listener and ends the removal of expired answers.
func (c *callerListener) Stop(ctx context.Context) error {
	return errors.CombineErrors(c.loop.Stop(ctx), c.listener.Stop(ctx))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
