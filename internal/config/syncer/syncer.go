// Package syncer drives the configuration on one node: it watches the store,
// accepts operators' files, takes revisions from peers and hands the one in force
// to the rest of the node.
//
// A few nodes in each data centre watch; the others are told by peers. Every
// path ends in config.Holder, which takes only higher revisions, so that paths
// may be late, repeated or crossed.
package syncer

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Options are the settings of a Syncer.
type Options struct {
	Store platformapi.Store
	// OnChange is called with each new configuration in force, one call at a
	// time, revisions growing; some may be skipped.
	OnChange func(*config.Config)
	// FromPeers asks a peer for what leads from revision since to its own; it
	// returns nil where the peer has nothing newer. Default: none.
	FromPeers func(ctx context.Context, since ident.Revision) ([]byte, error)
	// Resync is the time between two listings of the store, which find what a
	// watch skipped. Default: 3s.
	Resync time.Duration
	// ResyncBytesPerSecond stretches Resync where the configuration is large.
	// Default: 4096.
	ResyncBytesPerSecond int
	// CallTimeout bounds one call to the store. Default: 2s.
	CallTimeout time.Duration
	// AcceptSpread is the longest random wait before a watching node accepts
	// files that nobody accepted yet. Default: 500ms.
	AcceptSpread time.Duration
	// Seed of the jitter.
	Seed uint64
	// Clock returns the time. Default: time.Now.
	Clock func() time.Time
	// Metrics is optional.
	Metrics *Metrics
	// Log is optional.
	Log *slog.Logger
}

func (o *Options) setDefaults() {
	o.Resync = cmp.Or(o.Resync, 3*time.Second)
	o.ResyncBytesPerSecond = cmp.Or(o.ResyncBytesPerSecond, 4096)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2*time.Second)
	o.AcceptSpread = cmp.Or(o.AcceptSpread, 500*time.Millisecond)
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
}

// Syncer keeps the configuration of one node current.
type Syncer struct {
	opts Options

	mu struct {
		sync.Mutex
		holder   config.Holder
		rng      *rand.Rand
		watching bool
	}
	notify struct {
		sync.Mutex
		last ident.Revision
	}
	wake chan struct{} // tells Run that watching changed
}

// New returns a Syncer that does not watch yet.
func New(opts Options) *Syncer {
	opts.setDefaults()
	s := &Syncer{opts: opts, wake: make(chan struct{}, 1)}
	s.mu.rng = rand.New(rand.NewPCG(opts.Seed, 1))
	return s
}

// Current returns the configuration in force, nil where there is none.
func (s *Syncer) Current() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Current()
}

// Revision returns the revision in force, zero where there is none.
func (s *Syncer) Revision() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Revision()
}

// SetWatching makes this node one of those that watch the store and accept files.
func (s *Syncer) SetWatching(on bool) {
	s.mu.Lock()
	changed := s.mu.watching != on
	s.mu.watching = on
	s.mu.Unlock()
	if changed {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// Message returns what a peer with revision since needs; nil where nothing.
func (s *Syncer) Message(since ident.Revision) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Message(since)
}

// Offer takes a message of a peer whose revision in force is rev. It returns
// config.ErrNeedFull where the sender should send the message for revision zero.
func (s *Syncer) Offer(rev ident.Revision, message []byte) error {
	now := s.opts.Clock()
	if rev <= s.Revision() {
		return nil
	}
	s.mu.Lock()
	changed, err := s.mu.holder.Receive(message)
	if err == nil {
		s.mu.holder.Confirm(now)
	}
	s.mu.Unlock()
	if err != nil {
		s.opts.Metrics.offersRefused.Inc()
		return err
	}
	if changed {
		s.opts.Metrics.fromPeers.Inc()
		s.changed()
	}
	return nil
}

// ObserveRevision takes a peer's revision in force, which the peer confirmed an age ago. A
// node that does not watch stays confirmed by it.
func (s *Syncer) ObserveRevision(rev ident.Revision, age time.Duration) {
	if rev == s.Revision() {
		s.confirm(s.opts.Clock().Add(-age))
	}
}

// StaleFor returns how long ago the revision in force was last confirmed.
func (s *Syncer) StaleFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.StaleFor(s.opts.Clock())
}

// CatchUp reads the newest revision from the store or else from a peer. A node
// that starts, or is back from a pause, calls it before it serves.
func (s *Syncer) CatchUp(ctx context.Context) error {
	err := s.fromStore(ctx)
	if err == nil {
		return nil
	}
	if s.opts.FromPeers == nil {
		return err
	}
	if peerErr := s.CatchUpFromPeers(ctx); peerErr != nil {
		return errors.CombineErrors(peerErr, err)
	}
	return nil
}

func (s *Syncer) fromStore(ctx context.Context) error {
	start := s.opts.Clock()
	object, err := s.get(ctx, config.KeyAccepted)
	if err != nil {
		return err
	}
	return s.take(object.Value, start)
}

// CatchUpFromPeers reads the newest revision from a peer, as a node does that
// heard of one it lacks. It asks twice where the first answer's deltas do not fit.
func (s *Syncer) CatchUpFromPeers(ctx context.Context) error {
	since := s.Revision()
	for {
		start := s.opts.Clock()
		message, err := s.opts.FromPeers(ctx, since)
		if err != nil {
			return errors.Wrap(err, "ask a peer for the configuration")
		}
		if message == nil {
			s.confirm(start)
			return nil
		}
		err = s.Offer(s.Revision()+1, message)
		if !errors.Is(err, config.ErrNeedFull) || since == 0 {
			return err
		}
		since = 0
	}
}

// take puts an encoded accepted object in force, read by a call begun at start.
func (s *Syncer) take(value []byte, start time.Time) error {
	accepted, err := config.DecodeAccepted(value)
	if err != nil {
		return err
	}
	s.put(accepted.Config, start)
	return nil
}

func (s *Syncer) put(cfg *config.Config, start time.Time) {
	s.mu.Lock()
	changed := s.mu.holder.Offer(cfg)
	s.mu.holder.Confirm(start)
	s.mu.Unlock()
	if changed {
		s.opts.Metrics.fromStore.Inc()
		s.changed()
	}
}

func (s *Syncer) confirm(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.holder.Confirm(start)
}

// changed hands the configuration in force on, unless a later one was already.
func (s *Syncer) changed() {
	s.notify.Lock()
	defer s.notify.Unlock()
	cfg := s.Current()
	if cfg.Revision <= s.notify.last {
		return
	}
	s.notify.last = cfg.Revision
	s.opts.Metrics.revision.Set(float64(cfg.Revision))
	s.opts.Log.Info("config: Revision in force.", "revision", cfg.Revision)
	if s.opts.OnChange != nil {
		s.opts.OnChange(cfg)
	}
}

// get reads one object; an absent one has version zero.
func (s *Syncer) get(ctx context.Context, key platformapi.Key) (platformapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	object, err := s.opts.Store.Get(ctx, key)
	if errors.Is(err, platformapi.ErrNotFound) {
		return platformapi.Object{Key: key}, nil
	}
	return object, errors.Wrapf(err, "get object %q", key)
}

func (s *Syncer) list(ctx context.Context, prefix platformapi.Key) ([]platformapi.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opts.CallTimeout)
	defer cancel()
	objects, err := s.opts.Store.List(ctx, prefix)
	return objects, errors.Wrapf(err, "list objects under %q", prefix)
}

// jitter returns a random part of d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.mu.rng.Int64N(int64(d) + 1))
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
