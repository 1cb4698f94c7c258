package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Bounds of the silence of an endpoint.
const (
	// DefaultStallBetween is the longest silence between two tokens of a stream.
	DefaultStallBetween = 3 * time.Second
	// The wait for a first byte is a part of the time left, so that a third attempt
	// still has some; within these bounds.
	firstByteParts   = 3
	minFirstByteWait = time.Second
	maxFirstByteWait = 2 * time.Minute
)

// errStalled ends an attempt whose endpoint went silent without closing its connection.
var errStalled = errors.New("endpoint went silent")

// stallGuard cancels an attempt when its endpoint is silent for too long.
type stallGuard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// newStallGuard returns a guard whose context ends after the wait, unless it is
// reset or stopped before.
func newStallGuard(ctx context.Context, wait time.Duration) *stallGuard {
	g := &stallGuard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.timer = time.AfterFunc(wait, func() { g.cancel(errStalled) })
	return g
}

// reset allows another silence of the wait.
func (g *stallGuard) reset(wait time.Duration) {
	g.timer.Reset(wait)
}

// stop ends the guard and its context.
func (g *stallGuard) stop() {
	g.timer.Stop()
	g.cancel(nil)
}

// explain returns err, or that the endpoint stalled where that caused it.
func (g *stallGuard) explain(err error) error {
	if err == nil || !errors.Is(context.Cause(g.ctx), errStalled) {
		return err
	}
	return verdict.Wrap(verdict.Of(err), verdict.CodeUpstream, errors.Wrap(errStalled, err.Error()))
}

// firstByteWait returns how long an attempt may wait for a first byte.
func firstByteWait(deadline time.Time) time.Duration {
	part := time.Until(deadline) / firstByteParts
	return min(max(part, minFirstByteWait), maxFirstByteWait)
}
