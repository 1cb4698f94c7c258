package kernel

import (
	"context"
	"time"
)

// processStart is the time from which the calls of all loops are timed.
var processStart = time.Now()

// Loop calls a function periodically in the background. Calls don't overlap. The calls of all
// loops of a process fall on multiples of their intervals since its start, so that one wake-up
// serves several loops.
type Loop struct {
	interval time.Duration
	f        func(ctx context.Context)
	cancel   context.CancelFunc
	done     chan struct{}
}

var (
	_ Starter = (*Loop)(nil)
	_ Stopper = (*Loop)(nil)
)

// NewLoop returns a loop that calls f at the given interval once it is started.
func NewLoop(interval time.Duration, f func(ctx context.Context)) *Loop {
	return &Loop{interval: interval, f: f, done: make(chan struct{})}
}

// Start starts the loop. The first call is made within two intervals, and not before one.
func (l *Loop) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	Sleep(ctx, untilMultiple(time.Since(processStart), l.interval))
	ticker := time.NewTicker(l.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.f(ctx)
		}
	}
}

// untilMultiple returns the time until the next multiple of interval.
func untilMultiple(elapsed, interval time.Duration) time.Duration {
	return (interval - elapsed%interval) % interval
}

// Stop ends the loop: it cancels the context of the running call, if any, and waits
// for the call to return. It does nothing if the loop was not started.
func (l *Loop) Stop(context.Context) error {
	if l.cancel == nil {
		return nil
	}
	l.cancel()
	<-l.done
	return nil
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
