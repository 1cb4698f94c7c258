package syncer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Limits of the backoff after a failed store call.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// nonWatchingResyncFactor is the interval between two reads of the store on a node that does
// not watch it, as a multiple of Options.Resync.
const nonWatchingResyncFactor = 10

// storeView is a watching node's copy of the store's objects.
type storeView struct {
	position uint64 // of the watch
	synced   bool   // false until the first listing, and after a gap in the watch
	listedAt time.Time
	accepted platformapi.Object
	status   platformapi.Object
	files    map[string][]byte
	acceptAt time.Time // when this node accepts pending files; zero if there are none
}

// Run keeps the configuration up to date until ctx ends. It returns the error of ctx.
func (s *Syncer) Run(ctx context.Context) error {
	if err := s.CatchUp(ctx); err != nil {
		s.opts.Log.Warn("config: Initial catch-up failed.", "error", err)
	}
	v := &storeView{}
	backoff := minBackoff
	for ctx.Err() == nil {
		if !s.isWatching() {
			v = &storeView{}
			s.waitWhileNotWatching(ctx)
			continue
		}
		if err := s.step(ctx, v); err != nil {
			s.opts.Log.Warn("config: Store call failed.", "error", err)
			_ = sleep(ctx, backoff/2+s.jitter(backoff/2))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
	}
	return ctx.Err()
}

func (s *Syncer) isWatching() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.watching
}

// waitWhileNotWatching waits until this node starts watching or a periodic read of the store is
// due, and performs that read.
func (s *Syncer) waitWhileNotWatching(ctx context.Context) {
	t := time.NewTimer(nonWatchingResyncFactor * s.opts.Resync)
	defer t.Stop()
	select {
	case <-s.watchingChanged:
	case <-ctx.Done():
	case <-t.C:
		if err := s.CatchUp(ctx); err != nil {
			s.opts.Log.Warn("config: Periodic catch-up failed.", "error", err)
		}
	}
}

// step performs one watch call or one listing and handles the result.
func (s *Syncer) step(ctx context.Context, v *storeView) error {
	if !v.synced {
		// The position is read before the listing, so that no change in between is lost.
		r, err := s.watch(ctx, 0, 0)
		if err != nil {
			return err
		}
		v.position = r.Position
	}
	if wait := s.untilListing(v); v.synced && wait > 0 {
		if !v.acceptAt.IsZero() {
			wait = max(0, min(wait, v.acceptAt.Sub(s.opts.Clock())))
		}
		r, err := s.watch(ctx, v.position, wait)
		if err != nil {
			return err
		}
		if r.Gap {
			s.opts.Metrics.watchGaps.Inc()
			v.synced = false
			return nil
		}
		v.position = r.Position
		v.update(r.Changed)
	} else if err := s.relist(ctx, v); err != nil {
		return err
	}
	return s.reconcile(ctx, v)
}

// untilListing returns the time left until the next listing is due.
func (s *Syncer) untilListing(v *storeView) time.Duration {
	size := len(v.accepted.Value) + len(v.status.Value)
	for _, data := range v.files {
		size += len(data)
	}
	stretched := time.Duration(size) * time.Second / time.Duration(s.opts.ResyncBytesPerSecond)
	return v.listedAt.Add(max(s.opts.Resync, stretched)).Sub(s.opts.Clock())
}

func (s *Syncer) watch(ctx context.Context, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.opts.CallTimeout)
	defer cancel()
	return s.opts.Store.Watch(ctx, config.KeyPrefix, after, wait)
}

// relist replaces the view by a new listing of all objects.
func (s *Syncer) relist(ctx context.Context, v *storeView) error {
	start := s.opts.Clock()
	objects, err := s.list(ctx, config.KeyPrefix)
	if err != nil {
		return err
	}
	old := v.accepted.Version
	*v = storeView{position: v.position, synced: true, listedAt: start, acceptAt: v.acceptAt}
	v.update(objects)
	if old != 0 && v.accepted.Version != old {
		s.opts.Metrics.watchSkips.Inc()
	}
	return nil
}

func (v *storeView) update(objects []platformapi.Object) {
	if v.files == nil {
		v.files = make(map[string][]byte)
	}
	for _, o := range objects {
		switch {
		case o.Key == config.KeyAccepted:
			v.accepted = o
		case o.Key == config.KeyStatus:
			v.status = o
		case !strings.HasPrefix(string(o.Key), string(config.KeyFilesPrefix)):
		case o.Version == 0:
			delete(v.files, fileName(o.Key))
		default:
			v.files[fileName(o.Key)] = o.Value
		}
	}
}

func fileName(key platformapi.Key) string {
	return strings.TrimPrefix(string(key), string(config.KeyFilesPrefix))
}

// reconcile puts the accepted revision in force, and accepts files that are still pending.
func (s *Syncer) reconcile(ctx context.Context, v *storeView) error {
	accepted, err := config.DecodeAccepted(v.accepted.Value)
	if err != nil {
		return err
	}
	if accepted.Revision > s.Revision() {
		s.activate(accepted.Config, v.listedAt)
	}
	s.confirm(v.listedAt)
	status, err := config.DecodeStatus(v.status.Value)
	if err == nil && status.Matches(v.list(), accepted.Revision) {
		v.acceptAt = time.Time{}
		return nil
	}
	return s.acceptWhenDue(ctx, v)
}

// acceptWhenDue runs an acceptance round after a random delay, which leaves time for the
// round of the operator's own Apply.
func (s *Syncer) acceptWhenDue(ctx context.Context, v *storeView) error {
	now := s.opts.Clock()
	if v.acceptAt.IsZero() {
		v.acceptAt = now.Add(s.jitter(s.opts.MaxAcceptDelay))
	}
	if now.Before(v.acceptAt) {
		return nil
	}
	v.acceptAt = time.Time{}
	ctx, cancel := context.WithTimeout(ctx, 2*s.opts.CallTimeout)
	defer cancel()
	_, _, err := s.Accept(ctx)
	return err
}

func (v *storeView) list() []config.File {
	files := make([]config.File, 0, len(v.files))
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		files = append(files, config.File{Name: name, Data: v.files[name]})
	}
	return files
}
