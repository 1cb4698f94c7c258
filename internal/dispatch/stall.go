package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Bounds of the silence of an endpoint.
const (
	// DefaultStallBetween is the longest silence between two tokens of a stream, and
	// the time between two probes of an engine that has sent none yet.
	DefaultStallTimeout = 3 * time.Second
	// The wait for a first byte is a part of the time left, so that a third attempt
	// still has some; within these bounds.
	firstByteDivisor    = 3
	minFirstByteTimeout = time.Second
	maxFirstByteTimeout = 2 * time.Minute
)

// errStalled ends an attempt whose endpoint went silent without closing its connection.
var errStalled = errors.New("endpoint went silent")

// probeTimeout bounds the question whether an endpoint still answers.
const probeTimeout = time.Second

// stallGuard cancels an attempt when its endpoint is silent for too long.
type stallGuard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	// spoke is set once something of the answer came.
	received atomic.Bool
}

// newStallGuard returns a guard whose context ends after the wait, unless it is
// reset or stopped before.
func newStallGuard(ctx context.Context, wait time.Duration) *stallGuard {
	g := &stallGuard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.timer = time.AfterFunc(wait, func() { g.cancel(errStalled) })
	return g
}

// newProbingGuard returns a guard for an answer that may have to wait in its
// endpoint's queue: up to the limit the first byte may take as long as the endpoint
// answers a probe at each interval.
func newProbingGuard(ctx context.Context, interval, limit time.Duration, probe func(context.Context) error) *stallGuard {
	g := &stallGuard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	end := time.Now().Add(limit)
	ready := make(chan struct{})
	defer close(ready)
	g.timer = time.AfterFunc(interval, func() {
		<-ready // g.timer is set
		if !g.received.Load() && time.Now().Before(end) && g.responds(probe) {
			g.timer.Reset(interval)
			return
		}
		g.cancel(errStalled)
	})
	return g
}

// answers tells whether the endpoint answers the probe, or has spoken meanwhile.
func (g *stallGuard) responds(probe func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	return probe(ctx) == nil || g.received.Load()
}

// reset allows another silence of the wait.
func (g *stallGuard) reset(wait time.Duration) {
	g.received.Store(true)
	g.timer.Reset(wait)
}

// stop ends the guard and its context.
func (g *stallGuard) stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// explain returns err, or that the endpoint stalled where that caused it.
func (g *stallGuard) describeStall(err error) error {
	if err == nil || !errors.Is(context.Cause(g.ctx), errStalled) {
		return err
	}
	return verdict.Wrap(verdict.Of(err), verdict.CodeUpstream, errors.Wrap(errStalled, err.Error()))
}

// firstByteWait returns how long an attempt may wait for a first byte.
func firstByteTimeout(deadline time.Time) time.Duration {
	share := time.Until(deadline) / firstByteDivisor
	return min(max(share, minFirstByteTimeout), maxFirstByteTimeout)
}
