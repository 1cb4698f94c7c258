package directory

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

const (
	// relayWait is the maximum wait of a watch at a relay.
	relayWait = 20 * time.Second
	// DefaultStoreWatchWait is the maximum wait of a watch at the store, on which the other
	// nodes depend: a watch may miss changes for as long as it waits, and a configuration
	// must be in force within 2 s.
	DefaultStoreWatchWait = time.Second
	// minRetryDelay and maxRetryDelay limit the backoff after failed calls: a configuration
	// must be in force within 2 s, and each call has a cost.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Listener receives the objects of one kind.
type Listener interface {
	// Replace is called with all objects after a list.
	Replace(objects []platformapi.Object)
	// Change is called with changed objects. An object with version zero was removed.
	Change(objects []platformapi.Object)
}

// Source provides objects and their changes: the store, or a relay, that is, a node that
// watches the store.
type Source interface {
	Snapshot(ctx context.Context, prefix platformapi.Key) (platformapi.Snapshot, error)
	Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error)
}

// ErrNotWatching is returned for a request for changes to a node that does not watch the
// store.
var ErrNotWatching = errors.New("this node does not watch the store")

// WatcherOptions are the settings of a Watcher.
type WatcherOptions struct {
	// Store is the platform's store, and Relay the nodes that watch it.
	Store, Relay Source
	// Prefix is the kind of the objects.
	Prefix   platformapi.Key
	Listener Listener
	// WatchesStore reports whether this node must watch the store itself, as a relay for
	// the other nodes.
	WatchesStore func() bool
	// RelayLost reports whether the relay that this node waits at is no longer heard of. Its
	// connection may stay open for seconds without a response. Default: never.
	RelayLost func() bool
	// Era returns the era of the store that this node knows of. When it rises, the objects
	// are listed again. Default: always zero.
	Era func() platformapi.Era
	// StoreWatchWait is the maximum wait of a watch at the store. Default:
	// DefaultStoreWatchWait.
	StoreWatchWait time.Duration
	Log            *slog.Logger
}

// Watcher watches the objects of one kind and notifies a Listener. Some nodes watch the
// store directly and relay the changes; the others watch through a relay.
type Watcher struct {
	opts WatcherOptions
	log  *slog.Logger

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		lastVersion   platformapi.Version // highest version of any object received
		cancelWait    context.CancelFunc  // cancels the watch in progress; nil if there is none
		waitsAtRelay  bool                // that watch is at a relay
		queryStore    bool                // whether the next call goes to the store in any case
		position      platformapi.Version // of the watch in progress
		watchingStore bool                // this node can serve as a relay: its last call was to the store and succeeded
		unreachable   bool
		history       *changeLog
		changed       chan struct{} // closed at the next change
	}
}

// NewWatcher returns a watcher that has not started.
func NewWatcher(o WatcherOptions) *Watcher {
	o.StoreWatchWait = cmp.Or(o.StoreWatchWait, DefaultStoreWatchWait)
	if o.Era == nil {
		o.Era = func() platformapi.Era { return 0 }
	}
	if o.RelayLost == nil {
		o.RelayLost = func() bool { return false }
	}
	w := &Watcher{opts: o, log: o.Log.With("kind", string(o.Prefix)), done: make(chan struct{})}
	w.mu.history, w.mu.changed = newChangeLog(), make(chan struct{})
	return w
}

// LastVersion returns the highest version of any object received.
func (w *Watcher) LastVersion() platformapi.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.lastVersion
}

// SourceUnreachable reports whether the last call to the source failed.
func (w *Watcher) SourceUnreachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mu.unreachable
}

// NotifyVersion is called when another node has received an object of a version. If it is
// higher than LastVersion, the watcher cancels its watch and queries the store.
func (w *Watcher) NotifyVersion(version platformapi.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version > w.mu.lastVersion && w.mu.cancelWait != nil {
		w.mu.queryStore = true
		w.mu.cancelWait()
	}
}

// Recheck cancels a watch at a relay if this node must now watch the store itself or the
// relay is lost, and any watch from a position of an earlier era.
func (w *Watcher) Recheck() {
	leavesRelay := w.opts.WatchesStore() || w.opts.RelayLost()
	era := w.opts.Era()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.mu.cancelWait != nil && (leavesRelay && w.mu.waitsAtRelay || w.mu.position.Era() < era) {
		w.mu.cancelWait()
	}
}

// Changes returns the changes after a position, for a node that watches through this one.
// It waits up to wait for the first change. A position of zero requests all objects. The
// error is ErrNotWatching if this node does not watch the store, or is an era behind.
func (w *Watcher) Changes(ctx context.Context, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		watchingStore, changed := w.mu.watchingStore, w.mu.changed
		if !watchingStore {
			w.mu.Unlock()
			return platformapi.WatchResult{}, ErrNotWatching
		}
		r := platformapi.WatchResult{Position: w.mu.history.position}
		if platformapi.Version(after).Era() > platformapi.Version(r.Position).Era() {
			w.mu.Unlock()
			return platformapi.WatchResult{}, ErrNotWatching // this node has yet to list the restored store
		}
		complete := true
		if after == 0 {
			r.Changed = w.mu.history.allObjects()
		} else {
			r.Changed, complete = w.mu.history.changesAfter(after)
		}
		w.mu.Unlock()
		r.Gap = !complete
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

// Start starts watching in the background.
func (w *Watcher) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go func() {
		defer close(w.done)
		w.run(ctx)
	}()
	return nil
}

// Stop stops watching and waits until the background goroutine has ended.
func (w *Watcher) Stop(context.Context) error {
	if w.cancel != nil {
		w.cancel()
		<-w.done
	}
	return nil
}

func (w *Watcher) run(ctx context.Context) {
	var position uint64
	delay := minRetryDelay
	for ctx.Err() == nil {
		next, err := w.step(ctx, position)
		if ctx.Err() != nil {
			return
		}
		if w.recordResult(err) {
			w.log.Info("directory: Source of changes became unreachable or is back.", "lost", err != nil, "position", position, "error", err)
		}
		if err == nil {
			position, delay = next, minRetryDelay
			continue
		}
		if errors.Is(err, bytebudget.ErrTooLarge) {
			position = 0 // the changes since then do not fit into a response, but all objects may
		}
		kernel.Sleep(ctx, delay/2+rand.N(delay/2+1))
		delay = min(2*delay, maxRetryDelay)
	}
}

// recordResult records the result of a call, and reports whether the source became
// unreachable or reachable by it.
func (w *Watcher) recordResult(err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed := w.mu.unreachable != (err != nil)
	w.mu.unreachable = err != nil
	if err != nil {
		w.releaseFollowers()
	}
	return changed
}

// releaseFollowers ends the watches of nodes that watch through this one, so that they turn
// to another relay. The caller holds the lock.
func (w *Watcher) releaseFollowers() {
	if w.mu.watchingStore {
		w.mu.watchingStore = false
		close(w.mu.changed)
		w.mu.changed = make(chan struct{})
	}
}

// source returns the source for the next call, and whether that is the store.
func (w *Watcher) source() (Source, bool) {
	watchesStore := w.opts.WatchesStore()
	w.mu.Lock()
	defer w.mu.Unlock()
	fromStore := watchesStore || w.mu.queryStore
	w.mu.queryStore = false
	if !watchesStore {
		w.releaseFollowers()
	}
	if fromStore {
		return w.opts.Store, true
	}
	return w.opts.Relay, false
}

// step lists the objects if the position is zero, and else watches for changes after it.
// It returns the next position; zero means that the objects must be listed again.
func (w *Watcher) step(ctx context.Context, position uint64) (uint64, error) {
	source, fromStore := w.source()
	if position != 0 && platformapi.Version(position).Era() < w.opts.Era() {
		w.log.Info("directory: Store was restored; listing again.", "position", position, "era", uint64(w.opts.Era()))
		position = 0
	}
	if position == 0 {
		snap, err := source.Snapshot(ctx, w.opts.Prefix)
		if err != nil {
			return 0, err
		}
		w.recordObjects(snap.Position, snap.Objects, fromStore, true)
		w.opts.Listener.Replace(snap.Objects)
		return snap.Position, nil
	}
	r, interrupted, err := w.watch(ctx, source, fromStore, position)
	if interrupted {
		return position, nil
	}
	if err != nil {
		return 0, errors.Wrapf(err, "position %d", position)
	}
	if r.Gap {
		w.log.Info("directory: Source has dropped the change history; listing again.", "position", position)
		return 0, nil
	}
	w.recordObjects(r.Position, r.Changed, fromStore, false)
	if len(r.Changed) > 0 {
		w.opts.Listener.Change(r.Changed)
	}
	return r.Position, nil
}

// recordObjects records received objects, for the nodes that watch through this one. They
// are all objects if snapshot is true, and changes otherwise.
func (w *Watcher) recordObjects(position uint64, objects []platformapi.Object, fromStore, snapshot bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range objects {
		w.mu.lastVersion = max(w.mu.lastVersion, o.Version)
	}
	if snapshot {
		w.mu.history.replaceAll(position, objects)
	} else {
		w.mu.history.applyChanges(position, objects)
	}
	w.mu.watchingStore = fromStore && w.opts.WatchesStore()
	if snapshot || len(objects) > 0 {
		close(w.mu.changed)
		w.mu.changed = make(chan struct{})
	}
}

// watch waits for changes. It reports whether NotifyVersion or Recheck cancelled the wait.
func (w *Watcher) watch(ctx context.Context, source Source, fromStore bool, position uint64) (platformapi.WatchResult, bool, error) {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	wait := relayWait
	if fromStore {
		wait = w.opts.StoreWatchWait
	}
	w.mu.Lock()
	w.mu.cancelWait, w.mu.waitsAtRelay, w.mu.position = cancel, !fromStore, platformapi.Version(position)
	w.mu.Unlock()
	r, err := source.Watch(waiting, w.opts.Prefix, position, wait)
	w.mu.Lock()
	w.mu.cancelWait = nil
	w.mu.Unlock()
	return r, err != nil && waiting.Err() != nil && ctx.Err() == nil, err
}
