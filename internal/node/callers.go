package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
)

const (
	// handOverBudget is the time for handing all running answers to other nodes.
	handOverBudget = 5 * time.Second
	// shutdownBudget is the time for the last responses to be written.
	shutdownBudget = 5 * time.Second
	expireInterval = 5 * time.Second
)

// callers is the callers' listener with its drain.
type callers struct {
	*listener
	opts    *Options
	reclaim *reclaim
	log     *slog.Logger
	entry   *entry.Server
	loop    *kernel.Loop
}

var (
	_ kernel.Starter = (*callers)(nil)
	_ kernel.Drainer = (*callers)(nil)
	_ kernel.Stopper = (*callers)(nil)
)

func newCallers(opts *Options, s *entry.Server, r *reclaim, log *slog.Logger) *callers {
	l := newListener("callers", opts.Callers, s, log)
	l.server.MaxHeaderBytes = entry.MaxReadHeaderBytes // the entry refuses what exceeds its limit
	return &callers{
		listener: l,
		opts:     opts, reclaim: r, log: log, entry: s,
		loop: kernel.NewLoop(expireInterval, func(context.Context) { s.ExpireAnswers(time.Now()) }),
	}
}

// Start serves callers and forgets old answers now and then.
func (c *callers) Start(ctx context.Context) error {
	if err := c.listener.Start(ctx); err != nil {
		return err
	}
	return c.loop.Start(ctx)
}

// Drain makes the balancer move on, then ends or hands over what runs.
func (c *callers) Drain(ctx context.Context) error {
	c.entry.MarkUnready()
	delay, timeout := c.reclaim.drainTimes(c.opts, time.Now())
	sleep(ctx, delay)
	running, cancel := context.WithTimeout(ctx, timeout)
	moved, lost := c.entry.FinishOrHandOver(running, handOverBudget)
	cancel()
	c.log.Info("node: Drained.", "handed_over", moved, "lost", lost)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownBudget)
	defer cancel()
	return c.server.Shutdown(closing)
}

// Stop ends the listener.
func (c *callers) Stop(ctx context.Context) error {
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
