package directory

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

const (
	// idleWait is how long a node that serves as source keeps a watch waiting.
	idleWait = 20 * time.Second
	// DefaultStoreWatchWait is the wait of a watch at the store, on which the other nodes
	// rely: a watch may hear nothing of changes for as long as it waits, and a
	// configuration has to be in force within 2 s.
	DefaultStoreWatchWait = time.Second
	// retryMin and retryMax bound the pause after a failed call: the operators'
	// bound for a configuration is 2 s, and each call has its price.
	retryMin = 100 * time.Millisecond
	retryMax = 800 * time.Millisecond
)

// Listener takes the objects of one kind.
type Listener interface {
	// Replace takes all objects.
	Replace(objects []platformapi.Object)
	// Change takes changed objects; one with version zero was removed.
	Change(objects []platformapi.Object)
}

// Source is where objects and their changes come from: the store, or a node that
// follows it.
type Source interface {
	Snapshot(ctx context.Context, prefix platformapi.Key) (platformapi.Snapshot, error)
	Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error)
}

// ErrNotWatching is returned to nodes that ask one which does not follow the store.
var ErrNotWatching = errors.New("this node does not follow the store")

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Store is the platform's store, and Relay the nodes that follow it.
	Store, Relay Source
	// Prefix is the kind of the objects.
	Prefix   platformapi.Key
	Listener Listener
	// WatchesStore tells whether the other nodes rely on this one.
	WatchesStore func() bool
	// StoreWatchWait is the wait of a watch at the store. Default: DefaultStoreWatchWait.
	StoreWatchWait time.Duration
	Log            *slog.Logger
}

// Watcher follows the objects of one kind. A node that is alert follows the store
// itself and tells the others; the rest follow a relay.
type Watcher struct {
	opts WatcherOptions
	log  *slog.Logger

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		seen    platformapi.Version // the latest of all objects
		again   context.CancelFunc  // ends the watch that waits; nil while none does
		idle    bool                // that watch waits at a relay
		direct  bool                // the next call goes to the store
		follows bool                // the last call was to the store, and went well
		lost    bool
		log     *changeLog
		changed chan struct{} // closed at the next change
	}
}

// NewWatcher returns a watcher that has not started.
func NewWatcher(o WatcherOptions) *Watcher {
	o.StoreWatchWait = cmp.Or(o.StoreWatchWait, DefaultStoreWatchWait)
	w := &Watcher{opts: o, log: o.Log.With("kind", string(o.Prefix)), done: make(chan struct{})}
	w.mu.log, w.mu.changed = newChangeLog(), make(chan struct{})
	return w
}

// LastVersion returns the latest version of any object that was seen.
func (w *Watcher) LastVersion() platformapi.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.seen
}

// SourceUnreachable tells whether the last call failed.
func (w *Watcher) SourceUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.lost
}

// NotifyVersion tells that another node has seen an object of that version. Where this one
// has not, it asks the store itself.
func (w *Watcher) NotifyVersion(seen platformapi.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if seen > w.mu.seen && w.mu.again != nil {
		w.mu.direct = true
		w.mu.again()
	}
}

// Recheck ends a wait at a relay where the other nodes have come to rely on this one.
func (w *Watcher) Recheck() {
	alert := w.opts.WatchesStore()
	w.mu.Lock()
	defer w.mu.Unlock()
	if alert && w.mu.idle && w.mu.again != nil {
		w.mu.again()
	}
}

// Changes returns the changes after a position to a node that follows this one; a
// position of zero asks for all objects.
func (w *Watcher) Changes(ctx context.Context, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		follows, changed := w.mu.follows, w.mu.changed
		if !follows {
			w.mu.Unlock()
			return platformapi.WatchResult{}, ErrNotWatching
		}
		r := platformapi.WatchResult{Position: w.mu.log.position}
		known := true
		if after == 0 {
			r.Changed = w.mu.log.all()
		} else {
			r.Changed, known = w.mu.log.since(after)
		}
		w.mu.Unlock()
		r.Gap = !known
		if after == 0 || r.Gap || len(r.Changed) > 0 {
			return r, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			r.Position = max(r.Position, after)
			return r, nil
		case <-ctx.Done():
			return platformapi.WatchResult{}, ctx.Err()
		}
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
		if ctx.Err() != nil {
			return
		}
		if w.ended(err) {
			w.log.Info("directory: Source of changes is lost or back.", "lost", err != nil, "position", position, "error", err)
		}
		if err == nil {
			position, pause = next, retryMin
			continue
		}
		kernel.Sleep(ctx, pause/2+rand.N(pause/2+1))
		pause = min(2*pause, retryMax)
	}
}

// ended notes how a call ended, and tells whether that is a change.
func (w *Watcher) ended(err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.mu.lost != (err != nil)
	w.mu.lost = err != nil
	if err != nil {
		w.release()
	}
	return changed
}

// release sends the nodes that follow this one elsewhere. The lock is held.
func (w *Watcher) release() {
	if w.mu.follows {
		w.mu.follows = false
		close(w.mu.changed)
		w.mu.changed = make(chan struct{})
	}
}

// source returns where the next call goes, and whether that is the store.
func (w *Watcher) source() (Source, bool) {
	alert := w.opts.WatchesStore()
	w.mu.Lock()
	defer w.mu.Unlock()
	direct := alert || w.mu.direct
	w.mu.direct = false
	if !alert {
		w.release()
	}
	if direct {
		return w.opts.Store, true
	}
	return w.opts.Relay, false
}

// step lists where the position is zero, and else watches from it. It returns the
// next position; zero asks for a list.
func (w *Watcher) step(ctx context.Context, position uint64) (uint64, error) {
	source, direct := w.source()
	if position == 0 {
		snap, err := source.Snapshot(ctx, w.opts.Prefix)
		if err != nil {
			return 0, err
		}
		w.took(snap.Position, snap.Objects, direct, true)
		w.opts.Listener.Replace(snap.Objects)
		return snap.Position, nil
	}
	r, nudged, err := w.watch(ctx, source, direct, position)
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
	w.took(r.Position, r.Changed, direct, false)
	if len(r.Changed) > 0 {
		w.opts.Listener.Change(r.Changed)
	}
	return r.Position, nil
}

// took notes objects that came, for the nodes that follow this one.
func (w *Watcher) took(position uint64, objects []platformapi.Object, direct, whole bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		w.mu.seen = max(w.mu.seen, o.Version)
	}
	if whole {
		w.mu.log.replace(position, objects)
	} else {
		w.mu.log.change(position, objects)
	}
	w.mu.follows = direct && w.opts.WatchesStore()
	if whole || len(objects) > 0 {
		close(w.mu.changed)
		w.mu.changed = make(chan struct{})
	}
}

// watch waits for changes. It tells whether a nudge ended the wait.
func (w *Watcher) watch(ctx context.Context, source Source, direct bool, position uint64) (platformapi.WatchResult, bool, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := idleWait
	if direct {
		wait = w.opts.StoreWatchWait
	}
	w.mu.Lock()
	w.mu.again, w.mu.idle = cancel, !direct
	w.mu.Unlock()
	r, err := source.Watch(waiting, w.opts.Prefix, position, wait)
	w.mu.Lock()
	w.mu.again = nil
	w.mu.Unlock()
	return r, err != nil && waiting.Err() != nil && ctx.Err() == nil, err
}
