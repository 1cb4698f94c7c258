package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platform"
)

const (
	// watchWait is how long the store keeps a watch waiting; a silent connection is
	// found by its keep-alive probes, not by the end of the wait.
	watchWait = 20 * time.Second
	// retryMin and retryMax bound the pause after a failed call: the operators'
	// bound for a configuration is 2 s, and each call has its price.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// Listener takes the objects of one kind.
type Listener interface {
	// Replace takes all objects.
	Replace(objects []platform.Object)
	// Change takes changed objects; one with version zero was removed.
	Change(objects []platform.Object)
}

// Watcher follows the objects of one kind.
type Watcher struct {
	store    platform.Feed
	prefix   platform.Key
	listener Listener
	log      *slog.Logger

	cancel context.CancelFunc
	done   chan struct{}
}

// NewWatcher returns a watcher that has not started.
func NewWatcher(store platform.Feed, prefix platform.Key, l Listener, log *slog.Logger) *Watcher {
	return &Watcher{store: store, prefix: prefix, listener: l, log: log.With("kind", string(prefix)), done: make(chan struct{})}
}

// Start begins to follow in the background.
func (w *Watcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return nil
}

// Stop ends that.
func (w *Watcher) Stop(context.Context) error {
	if w.cancel != nil {
		w.cancel()
		<-w.done
	}
	return nil
}

func (w *Watcher) run(ctx context.Context) {
	var position uint64
	pause := retryMin
	lost := false
	for ctx.Err() == nil {
		next, err := w.step(ctx, position)
		if err == nil {
			if lost {
				w.log.Info("directory: Store is back.", "position", next)
			}
			position, pause, lost = next, retryMin, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !lost {
			w.log.Warn("directory: Store is lost.", "position", position, "error", err)
			lost = true
		}
		sleep(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, retryMax)
	}
}

// step lists where the position is zero, and else watches from it. It returns the
// next position; zero asks for a list.
func (w *Watcher) step(ctx context.Context, position uint64) (uint64, error) {
	if position == 0 {
		snap, err := w.store.Snapshot(ctx, w.prefix)
		if err != nil {
			return 0, err
		}
		w.listener.Replace(snap.Objects)
		return snap.Position, nil
	}
	r, err := w.store.Watch(ctx, w.prefix, position, watchWait)
	if err != nil {
		return 0, errors.Wrapf(err, "position %d", position)
	}
	if r.Gap {
		w.log.Info("directory: History is gone, list again.", "position", position)
		return 0, nil
	}
	if len(r.Changed) > 0 {
		w.listener.Change(r.Changed)
	}
	return r.Position, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
