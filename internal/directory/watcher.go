package directory

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platform"
)

const (
	// idleWait is how long the store keeps a watch waiting; a silent connection is
	// found by its keep-alive probes, not by the end of the wait.
	idleWait = 20 * time.Second
	// alertWait is the wait of a watch on which the other nodes rely: a watch may
	// hear nothing of changes for as long as it waits, and a configuration has to be
	// in force within 2 s.
	alertWait = 700 * time.Millisecond
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
	alert    func() bool

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		seen  platform.Version // the latest of all objects
		again context.CancelFunc // ends the watch that waits; nil while none does
		idle  bool               // that watch waits for long
		lost  bool
	}
}

// NewWatcher returns a watcher that has not started. Alert tells whether the other
// nodes rely on this one to notice changes that a waiting watch does not hear of.
func NewWatcher(store platform.Feed, prefix platform.Key, l Listener, alert func() bool, log *slog.Logger) *Watcher {
	return &Watcher{
		store: store, prefix: prefix, listener: l, alert: alert, log: log.With("kind", string(prefix)), done: make(chan struct{}),
	}
}

// Seen returns the latest version of any object that was seen.
func (w *Watcher) Seen() platform.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.seen
}

// Lost tells whether the last call failed.
func (w *Watcher) Lost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.lost
}

// setLost notes how the last call ended, and tells whether that is a change.
func (w *Watcher) setLost(lost bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.mu.lost != lost
	w.mu.lost = lost
	return changed
}

// Nudge tells that another node has seen an object of that version. Where this one
// has not, it asks the store again.
func (w *Watcher) Nudge(seen platform.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen > w.mu.seen && w.mu.again != nil {
		w.mu.again()
	}
}

// Recheck ends a long wait where the other nodes have come to rely on this one
// meanwhile.
func (w *Watcher) Recheck() {
	alert := w.alert()
	w.mu.Lock()
	defer w.mu.Unlock()
	if alert && w.mu.idle && w.mu.again != nil {
		w.mu.again()
	}
}

func (w *Watcher) saw(objects []platform.Object) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		w.mu.seen = max(w.mu.seen, o.Version)
	}
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
	for ctx.Err() == nil {
		next, err := w.step(ctx, position)
		if err == nil {
			if w.setLost(false) {
				w.log.Info("directory: Store is back.", "position", next)
			}
			position, pause = next, retryMin
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if w.setLost(true) {
			w.log.Warn("directory: Store is lost.", "position", position, "error", err)
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
		w.saw(snap.Objects)
		w.listener.Replace(snap.Objects)
		return snap.Position, nil
	}
	r, nudged, err := w.watch(ctx, position)
	if nudged {
		return position, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "position %d", position)
	}
	if r.Gap {
		w.log.Info("directory: History is gone, list again.", "position", position)
		return 0, nil
	}
	if len(r.Changed) > 0 {
		w.saw(r.Changed)
		w.listener.Change(r.Changed)
	}
	return r.Position, nil
}

// watch waits for changes. It tells whether a nudge ended the wait.
func (w *Watcher) watch(ctx context.Context, position uint64) (platform.WatchResult, bool, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := idleWait
	if w.alert() {
		wait = alertWait
	}
	w.mu.Lock()
	w.mu.again, w.mu.idle = cancel, wait == idleWait
	w.mu.Unlock()
	r, err := w.store.Watch(waiting, w.prefix, position, wait)
	w.mu.Lock()
	w.mu.again = nil
	w.mu.Unlock()
	return r, err != nil && waiting.Err() != nil && ctx.Err() == nil, err
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
