package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// minFirstEventTimeout is the shortest timeout for the first event of a resumable
	// stream; a longer estimated wait extends it.
	minFirstEventTimeout = 1500 * time.Millisecond
	// firstEventTimeoutFactor is the timeout for the first event as a multiple of the
	// estimated wait at the endpoint.
	firstEventTimeoutFactor = 4
	// stallGapFactor is the stall timeout between two events as a multiple of the
	// route's maximum inter-event gap. Callers disconnect after eight times that gap.
	stallGapFactor = 3
	// minStallTimeout is the shortest stall timeout, and that of a route without a maximum
	// gap: a sound endpoint may be silent for a second and go on.
	minStallTimeout = 1500 * time.Millisecond
)

// watchdog cancels an attempt whose endpoint sends no event in time, if another endpoint
// can resume the stream. Other requests have no watchdog, as they must not run twice; nor has
// the last attempt that a request may make, since a slow stream is better than none. The
// methods of a nil watchdog do nothing.
type watchdog struct {
	cancel       context.CancelFunc
	timer        *time.Timer
	stallTimeout time.Duration
	fired        atomic.Bool
}

// mayResumeElsewhere reports whether another attempt may resume the stream.
func (c *call) mayResumeElsewhere() bool {
	return c.route.Kind == site.KindStream && c.route.Resumable && c.attempts.count() < max(c.route.MaxAttempts, 1)
}

// startWatchdog returns the context of an attempt and the watchdog that cancels it; the
// watchdog is nil for requests that can't be resumed.
func (c *call) startWatchdog(ctx context.Context, id ident.AttemptID) (context.Context, *watchdog) {
	if !c.mayResumeElsewhere() {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &watchdog{cancel: cancel, stallTimeout: max(stallGapFactor*c.route.MaxGap, minStallTimeout)}
	firstTimeout := max(minFirstEventTimeout, firstEventTimeoutFactor*c.attempts.choice(id).EstimatedWait)
	d.timer = time.AfterFunc(firstTimeout, func() {
		if c.mayStart() != nil {
			return // no other attempt could take its place
		}
		d.fired.Store(true)
		cancel()
	})
	return ctx, d
}

// reset restarts the timer after an event, with the stall timeout.
func (d *watchdog) reset() {
	if d != nil {
		d.timer.Reset(d.stallTimeout)
	}
}

// wrapError returns err, wrapped as a time-out of the endpoint if the watchdog has fired
// and the request may have run.
func (d *watchdog) wrapError(err error) error {
	if d == nil || !d.fired.Load() {
		return err
	}
	if verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.CodeUpstream, errors.Wrap(err, "endpoint sent no event in time"))
}

func (d *watchdog) stop() {
	if d != nil {
		d.timer.Stop()
		d.cancel()
	}
}
