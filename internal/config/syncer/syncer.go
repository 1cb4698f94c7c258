// Package syncer keeps the configuration of one node up to date: it watches the store,
// accepts operators' files, receives revisions from peers and passes the revision in
// force to the rest of the node.
//
// A few nodes in each data centre watch the store; the others receive revisions from
// peers. All revisions go through config.Holder, which accepts only higher ones, so
// they may arrive late, repeatedly or out of order.
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
	// OnChange is called with each new configuration in force, one call at a time and
	// with increasing revisions; some revisions may be skipped.
	OnChange func(*config.Config)
	// FromPeers requests from a peer the message that updates revision since to the
	// peer's own. It returns nil if the peer has no newer revision. Default: none.
	FromPeers func(ctx context.Context, since ident.Revision) ([]byte, error)
	// Resync is the time between two listings of the store, which find changes that
	// a watch missed. Default: 3s.
	Resync time.Duration
	// ResyncBytesPerSecond is the maximum mean rate of bytes read by listings. A large
	// configuration is listed less often than each Resync. Default: 4096.
	ResyncBytesPerSecond int
	// CallTimeout is the timeout of one call to the store. Default: 2s.
	CallTimeout time.Duration
	// MaxAcceptDelay is the maximum random delay before a watching node accepts files
	// that are stored but not accepted yet. Default: 500ms.
	MaxAcceptDelay time.Duration
	// Seed seeds the random jitter.
	Seed uint64
	// Clock returns the current time. Default: time.Now.
	Clock func() time.Time
	// Metrics default to unregistered ones.
	Metrics *Metrics
	// Log defaults to a logger that discards its output.
	Log *slog.Logger
}

func (o *Options) setDefaults() {
	o.Resync = cmp.Or(o.Resync, 3*time.Second)
	o.ResyncBytesPerSecond = cmp.Or(o.ResyncBytesPerSecond, 4096)
	o.CallTimeout = cmp.Or(o.CallTimeout, 2*time.Second)
	o.MaxAcceptDelay = cmp.Or(o.MaxAcceptDelay, 500*time.Millisecond)
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

// Syncer keeps the configuration of one node up to date. It is safe for concurrent use.
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
	watchingChanged chan struct{} // wakes Run after a change of mu.watching
}

// New returns a Syncer that does not watch yet.
func New(opts Options) *Syncer {
	opts.setDefaults()
	s := &Syncer{opts: opts, watchingChanged: make(chan struct{}, 1)}
	s.mu.rng = rand.New(rand.NewPCG(opts.Seed, 1))
	return s
}

// Current returns the configuration in force, or nil if there is none.
func (s *Syncer) Current() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Current()
}

// Revision returns the revision in force, or zero if there is none.
func (s *Syncer) Revision() ident.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Revision()
}

// SetWatching sets whether this node watches the store and accepts files.
func (s *Syncer) SetWatching(on bool) {
	s.mu.Lock()
	changed := s.mu.watching != on
	s.mu.watching = on
	s.mu.Unlock()
	if changed {
		select {
		case s.watchingChanged <- struct{}{}:
		default:
		}
	}
}

// Message returns the message that updates a peer from revision since to the revision
// in force, or nil if since is not older.
func (s *Syncer) Message(since ident.Revision) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.Message(since)
}

// Offer applies a message of a peer whose revision in force is rev. It returns
// config.ErrNeedFull if the sender should send the message for revision zero instead.
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
		s.notifyChange()
	}
	return nil
}

// ObserveRevision records a peer's revision in force, which the peer confirmed age ago.
// If it equals this node's revision, it confirms that one too. Nodes that do not watch
// the store rely on this.
func (s *Syncer) ObserveRevision(rev ident.Revision, age time.Duration) {
	if rev == s.Revision() {
		s.confirm(s.opts.Clock().Add(-age))
	}
}

// StaleFor returns the time since the revision in force was last confirmed.
func (s *Syncer) StaleFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.holder.StaleFor(s.opts.Clock())
}

// CatchUp reads the newest revision from the store, or from a peer if the store fails. A
// node calls it before it serves, after its start and after a pause.
func (s *Syncer) CatchUp(ctx context.Context) error {
	err := s.catchUpFromStore(ctx)
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

func (s *Syncer) catchUpFromStore(ctx context.Context) error {
	start := s.opts.Clock()
	object, err := s.get(ctx, config.KeyAccepted)
	if err != nil {
		return err
	}
	return s.activateEncoded(object.Value, start)
}

// CatchUpFromPeers reads the newest revision from a peer, for use when a peer advertises
// a higher revision. If the deltas of the first response do not apply, it requests the
// full configuration.
func (s *Syncer) CatchUpFromPeers(ctx context.Context) error {
	since := s.Revision()
	for {
		start := s.opts.Clock()
		message, err := s.opts.FromPeers(ctx, since)
		if err != nil {
			return errors.Wrap(err, "request the configuration from a peer")
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

// activateEncoded puts an encoded accepted object in force. It was read by a call that
// began at start.
func (s *Syncer) activateEncoded(value []byte, start time.Time) error {
	accepted, err := config.DecodeAccepted(value)
	if err != nil {
		return err
	}
	s.activate(accepted.Config, start)
	return nil
}

func (s *Syncer) activate(cfg *config.Config, start time.Time) {
	s.mu.Lock()
	changed := s.mu.holder.Offer(cfg)
	s.mu.holder.Confirm(start)
	s.mu.Unlock()
	if changed {
		s.opts.Metrics.fromStore.Inc()
		s.notifyChange()
	}
}

func (s *Syncer) confirm(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.holder.Confirm(start)
}

// notifyChange passes the configuration in force to OnChange, unless a later revision was
// passed already.
func (s *Syncer) notifyChange() {
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

// get reads one object; the version is zero if it does not exist.
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

// jitter returns a random duration from zero to d.
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
