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
	// minFirstSilence is the least time that an endpoint may take to the first event of
	// a stream that can go on elsewhere; a queue may make it longer.
	minFirstSilence = 1500 * time.Millisecond
	// firstSilenceFactor is that time as a multiple of the estimate.
	firstSilenceFactor = 4
	// silenceGaps is the longest silence between two events, as a multiple of the
	// longest pause that is on time: callers leave after eight of these.
	silenceGaps = 3
	// defaultSilence is the longest silence where no pause is stated.
	defaultSilence = 1500 * time.Millisecond
)

// watchdog ends an attempt at an endpoint that has gone silent, where the stream can
// go on elsewhere. The silence of any other request is waited out: it may not run
// twice. A nil watchdog watches nothing.
type watchdog struct {
	cancel  context.CancelFunc
	timer   *time.Timer
	silence time.Duration
	barked  atomic.Bool
}

// watch returns the context of an attempt.
func (c *call) watch(ctx context.Context, id ident.AttemptID) (context.Context, *watchdog) {
	if c.route.Kind != site.KindStream || !c.route.Resumable {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &watchdog{cancel: cancel, silence: firstOf(silenceGaps*c.route.MaxGap, defaultSilence)}
	first := max(minFirstSilence, firstSilenceFactor*c.attempts.choice(id).EstimatedWait)
	d.timer = time.AfterFunc(first, func() {
		d.barked.Store(true)
		cancel()
	})
	return ctx, d
}

// heard notes a sign of life.
func (d *watchdog) heard() {
	if d != nil {
		d.timer.Reset(d.silence)
	}
}

// explain returns the error of an attempt that was ended for its silence.
func (d *watchdog) explain(err error) error {
	if d == nil || !d.barked.Load() {
		return err
	}
	if verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.CodeUpstream, errors.Wrap(err, "endpoint has gone silent"))
}

func (d *watchdog) stop() {
	if d != nil {
		d.timer.Stop()
		d.cancel()
	}
}
