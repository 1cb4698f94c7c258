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

// Bounds of the pause after a call that the store did not answer.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// idleResyncs is how many resync times a node that does not watch waits between
// two reads of the store.
const idleResyncs = 10

// view is what a watching node knows of the store's objects.
type view struct {
	position uint64
	synced   bool
	listed   time.Time
	accepted platformapi.Object
	status   platformapi.Object
	files    map[string][]byte
	acceptAt time.Time // when this node accepts files that nobody did; zero: none
}

// Run keeps the configuration current until ctx ends. It returns ctx's error.
func (s *Syncer) Run(ctx context.Context) error {
	if err := s.CatchUp(ctx); err != nil {
		s.opts.Log.Warn("config: No revision at start.", "error", err)
	}
	v := &view{}
	backoff := minBackoff
	for ctx.Err() == nil {
		if !s.isWatching() {
			v = &view{}
			s.idle(ctx)
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

// idle waits until this node watches or a read of the store is due.
func (s *Syncer) idle(ctx context.Context) {
	t := time.NewTimer(idleResyncs * s.opts.Resync)
	defer t.Stop()
	select {
	case <-s.wake:
	case <-ctx.Done():
	case <-t.C:
		if err := s.CatchUp(ctx); err != nil {
			s.opts.Log.Warn("config: No news of the configuration.", "error", err)
		}
	}
}

// step waits for one watch or makes one listing, and acts on what it brought.
func (s *Syncer) step(ctx context.Context, v *view) error {
	if !v.synced {
		// The position is read before the listing, so that no change is lost between.
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
	} else if err := s.listing(ctx, v); err != nil {
		return err
	}
	return s.act(ctx, v)
}

// untilListing returns the time left until the next listing is due.
func (s *Syncer) untilListing(v *view) time.Duration {
	size := len(v.accepted.Value) + len(v.status.Value)
	for _, data := range v.files {
		size += len(data)
	}
	stretched := time.Duration(size) * time.Second / time.Duration(s.opts.ResyncBytesPerSecond)
	return v.listed.Add(max(s.opts.Resync, stretched)).Sub(s.opts.Clock())
}

func (s *Syncer) watch(ctx context.Context, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+s.opts.CallTimeout)
	defer cancel()
	return s.opts.Store.Watch(ctx, config.KeyPrefix, after, wait)
}

// listing replaces the view by all objects of the store.
func (s *Syncer) listing(ctx context.Context, v *view) error {
	start := s.opts.Clock()
	objects, err := s.list(ctx, config.KeyPrefix)
	if err != nil {
		return err
	}
	old := v.accepted.Version
	*v = view{position: v.position, synced: true, listed: start, acceptAt: v.acceptAt}
	v.update(objects)
	if old != 0 && v.accepted.Version != old {
		s.opts.Metrics.watchSkips.Inc()
	}
	return nil
}

func (v *view) update(objects []platformapi.Object) {
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

// act puts the accepted revision in force, and accepts files where nobody did.
func (s *Syncer) act(ctx context.Context, v *view) error {
	accepted, err := config.DecodeAccepted(v.accepted.Value)
	if err != nil {
		return err
	}
	if accepted.Revision > s.Revision() {
		s.put(accepted.Config, v.listed)
	}
	s.confirm(v.listed)
	status, err := config.DecodeStatus(v.status.Value)
	if err == nil && status.Judges(v.list(), accepted.Revision) {
		v.acceptAt = time.Time{}
		return nil
	}
	return s.acceptLater(ctx, v)
}

// acceptLater leaves time to the operator's own round, then runs one.
func (s *Syncer) acceptLater(ctx context.Context, v *view) error {
	now := s.opts.Clock()
	if v.acceptAt.IsZero() {
		v.acceptAt = now.Add(s.jitter(s.opts.AcceptSpread))
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

func (v *view) list() []config.File {
	files := make([]config.File, 0, len(v.files))
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		files = append(files, config.File{Name: name, Data: v.files[name]})
	}
	return files
}
