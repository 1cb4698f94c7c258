package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Limits for the time without data from an endpoint.
const (
	// DefaultStallTimeout is the maximum time between two tokens of a stream, and the
	// interval of probes to an engine that has not sent any token yet.
	DefaultStallTimeout = 3 * time.Second
	// The first-byte timeout is the remaining time divided by firstByteDivisor, so that
	// there is time for a third attempt, limited to the range from minFirstByteTimeout to
	// maxFirstByteTimeout.
	firstByteDivisor    = 3
	minFirstByteTimeout = time.Second
	maxFirstByteTimeout = 2 * time.Minute
)

// errStalled is the cause of cancelling an attempt whose endpoint sends nothing but keeps
// its connection open.
var errStalled = errors.New("endpoint stalled")

// probeTimeout is the timeout of a probe to an endpoint.
const probeTimeout = time.Second

// stallGuard cancels an attempt if its endpoint sends nothing for too long.
type stallGuard struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu struct {
		sync.Mutex
		timer    *time.Timer
		expires  time.Time // when the timer fires
		received bool      // data of the response has arrived
		disarmed bool
	}
}

// newStallGuard returns a guard that cancels its context after wait, unless it is reset
// or stopped before.
func newStallGuard(ctx context.Context, wait time.Duration) *stallGuard {
	g := &stallGuard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	g.startTimer(wait, g.cancelIfExpired)
	return g
}

// newProbingGuard returns a guard for a request that may wait in its endpoint's queue. At
// each interval without a first byte, it probes the endpoint, and it cancels its context if
// the probe fails or limit has passed. Once reset, it no longer probes.
func newProbingGuard(ctx context.Context, interval, limit time.Duration, probe func(context.Context) error) *stallGuard {
	g := &stallGuard{}
	g.ctx, g.cancel = context.WithCancelCause(ctx)
	end := time.Now().Add(limit)
	g.startTimer(interval, func() {
		if !g.hasReceived() && time.Now().Before(end) && g.responds(probe) {
			g.rearm(interval)
			return
		}
		g.cancelIfExpired()
	})
	return g
}

func (g *stallGuard) startTimer(wait time.Duration, f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.expires = time.Now().Add(wait)
	g.mu.timer = time.AfterFunc(wait, f)
}

// cancelIfExpired cancels the context unless the timeout has been restarted since the timer
// fired: data may arrive before its function runs.
func (g *stallGuard) cancelIfExpired() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mu.disarmed && !time.Now().Before(g.mu.expires) {
		g.cancel(errStalled)
	}
}

// rearm restarts the timer after a successful probe, unless data has arrived, which
// restarted it already.
func (g *stallGuard) rearm(interval time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mu.received {
		g.restartLocked(interval)
	}
}

func (g *stallGuard) restartLocked(wait time.Duration) {
	if g.mu.disarmed {
		return
	}
	g.mu.expires = time.Now().Add(wait)
	g.mu.timer.Reset(wait)
}

// hasReceived reports whether data of the response has arrived.
func (g *stallGuard) hasReceived() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mu.received
}

// responds reports whether the probe succeeds or data of the response has arrived in the
// meantime.
func (g *stallGuard) responds(probe func(context.Context) error) bool {
	ctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
	defer cancel()
	return probe(ctx) == nil || g.hasReceived()
}

// reset restarts the timeout after data has arrived.
func (g *stallGuard) reset(wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.received = true
	g.restartLocked(wait)
}

// disarm stops the timer. The context is no longer cancelled for a stall.
func (g *stallGuard) disarm() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.timer.Stop()
	g.mu.disarmed = true
}

// stop stops the timer and cancels the context.
func (g *stallGuard) stop() {
	g.disarm()
	g.cancel(nil)
}

// describeStall returns err, wrapped in errStalled if the guard caused it.
func (g *stallGuard) describeStall(err error) error {
	if err == nil || !errors.Is(context.Cause(g.ctx), errStalled) {
		return err
	}
	return verdict.Wrap(verdict.Of(err), verdict.CodeUpstream, errors.Wrap(errStalled, err.Error()))
}

// firstByteTimeout returns how long an attempt may wait for the first byte.
func firstByteTimeout(deadline time.Time) time.Duration {
	share := time.Until(deadline) / firstByteDivisor
	return min(max(share, minFirstByteTimeout), maxFirstByteTimeout)
}
