package kernel

import (
	"context"
	"time"
)

// Loop calls a function at intervals in the background. The calls don't overlap.
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

// NewLoop returns a loop that has not started.
func NewLoop(interval time.Duration, f func(ctx context.Context)) *Loop {
	return &Loop{interval: interval, f: f, done: make(chan struct{})}
}

// Start begins the calls, the first one interval from now.
func (l *Loop) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	go l.run(ctx)
	return nil
}

func (l *Loop) run(ctx context.Context) {
	defer close(l.done)
	tick := time.NewTicker(l.interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			l.f(ctx)
		}
	}
}

// Stop ends the calls; it waits for the one under way. A loop that has not started
// stops at once.
func (l *Loop) Stop(context.Context) error {
	if l.cancel == nil {
		return nil
	}
	l.cancel()
	<-l.done
	return nil
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
