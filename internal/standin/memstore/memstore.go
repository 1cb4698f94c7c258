// Package memstore is a platformapi.Store in memory, with faults that a test can
// switch on and counts of the calls.
package memstore

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Faults are the failures in force.
type Faults struct {
	// Down refuses every call with ErrUnavailable.
	Down bool `json:"down"`
	// Throttled refuses every call with ErrThrottled.
	Throttled bool `json:"throttled"`
	// Delay is added before each call has its effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswer is the probability that a write takes effect and returns ErrUnknown.
	LoseAnswer float64 `json:"lose_answer"`
	// LoseRequest is the probability that a write has no effect and returns ErrUnknown.
	LoseRequest float64 `json:"lose_request"`
	// Conflict is the probability that a put returns ErrConflict without cause.
	Conflict float64 `json:"conflict"`
	// LoseNext and ConflictNext do the same to that many of the next writes.
	LoseNext     int `json:"lose_next"`
	ConflictNext int `json:"conflict_next"`
	// ReadsPerSecond and WritesPerSecond throttle calls; zero is unlimited.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counts counts the calls, refused ones included. A waiting watch is one call.
type Counts struct {
	Calls   uint64 `json:"calls"`
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Refused uint64 `json:"refused"` // unavailable or throttled
	Bytes   uint64 `json:"bytes"`   // of the values written
}

// Options are the settings of a Store.
type Options struct {
	// Seed of the faults' random source.
	Seed uint64
	// MaxTombstones is how many deletions a watch can tell of. Default: 10000.
	MaxTombstones int
}

type entry struct {
	object   platformapi.Object // Version zero: deleted
	position uint64
}

// tombstone is a deletion that a watch can still tell of.
type tombstone struct {
	key      platformapi.Key
	position uint64
}

// Store is a platformapi.Store in memory.
type Store struct {
	opts Options

	mu struct {
		sync.Mutex
		rng      *rand.Rand
		faults   Faults
		counts   Counts
		reads    *rate.Limiter
		writes   *rate.Limiter
		position uint64
		floor    uint64 // deletions up to here may be forgotten
		entries  map[platformapi.Key]entry
		deleted  []tombstone   // oldest first
		changed  chan struct{} // closed on the next change
	}
}

var _ platformapi.Store = (*Store)(nil)

// New returns an empty store.
func New(opts Options) *Store {
	if opts.MaxTombstones == 0 {
		opts.MaxTombstones = 10000
	}
	s := &Store{opts: opts}
	s.mu.rng = rand.New(rand.NewPCG(opts.Seed, 0))
	s.mu.entries = make(map[platformapi.Key]entry)
	s.mu.changed = make(chan struct{})
	return s
}

// SetFaults puts faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.faults = f
	s.mu.reads = limiter(f.ReadsPerSecond)
	s.mu.writes = limiter(f.WritesPerSecond)
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.faults
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.counts
}

// Get implements platformapi.Store.
func (s *Store) Get(ctx context.Context, key platformapi.Key) (platformapi.Object, error) {
	if err := s.begin(ctx, read); err != nil {
		return platformapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.mu.entries[key]
	if !ok || e.object.Version == 0 {
		return platformapi.Object{}, errors.Wrapf(platformapi.ErrNotFound, "object %q", key)
	}
	return clone(e.object), nil
}

// List implements platformapi.Store.
func (s *Store) List(ctx context.Context, prefix platformapi.Key) ([]platformapi.Object, error) {
	if err := s.begin(ctx, read); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changedLocked(prefix, 0, false), nil
}

// Put implements platformapi.Store.
func (s *Store) Put(ctx context.Context, key platformapi.Key, value []byte, expect platformapi.Version) (platformapi.Version, error) {
	if len(value) > platformapi.MaxObjectBytes {
		return 0, errors.Wrapf(platformapi.ErrTooLarge, "object %q", key)
	}
	if err := s.begin(ctx, write); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(key, slices.Clone(value), expect, false)
}

// Delete implements platformapi.Store.
func (s *Store) Delete(ctx context.Context, key platformapi.Key, expect platformapi.Version) error {
	if err := s.begin(ctx, write); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.writeLocked(key, nil, expect, true)
	return err
}

// Watch implements platformapi.Store.
func (s *Store) Watch(ctx context.Context, prefix platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	if err := s.begin(ctx, watch); err != nil {
		return platformapi.WatchResult{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		result, changed := s.poll(prefix, after)
		if result.Gap || len(result.Changed) > 0 || wait <= 0 {
			return result, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			result, _ = s.poll(prefix, after)
			return result, nil
		case <-ctx.Done():
			return platformapi.WatchResult{}, errors.CombineErrors(platformapi.ErrUnavailable, ctx.Err())
		}
	}
}

func (s *Store) poll(prefix platformapi.Key, after uint64) (platformapi.WatchResult, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > s.mu.position || after < s.mu.floor {
		return platformapi.WatchResult{Position: s.mu.position, Gap: true}, s.mu.changed
	}
	list := s.changedLocked(prefix, after, true)
	return platformapi.WatchResult{Position: s.mu.position, Changed: list}, s.mu.changed
}

// changedLocked returns the objects under prefix that changed after a position,
// ordered by key; deleted ones too where tombstones is set.
func (s *Store) changedLocked(prefix platformapi.Key, after uint64, tombstones bool) []platformapi.Object {
	var out []platformapi.Object
	for key, e := range s.mu.entries {
		if e.position <= after || !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if e.object.Version != 0 || tombstones {
			out = append(out, clone(e.object))
		}
	}
	slices.SortFunc(out, func(a, b platformapi.Object) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// writeLocked writes or deletes an object where its version is expect.
func (s *Store) writeLocked(key platformapi.Key, value []byte, expect platformapi.Version, remove bool) (platformapi.Version, error) {
	if s.chanceLocked(s.mu.faults.LoseRequest) {
		return 0, errors.Wrapf(platformapi.ErrUnknown, "object %q", key)
	}
	if s.takeLocked(&s.mu.faults.ConflictNext) || s.chanceLocked(s.mu.faults.Conflict) {
		return 0, errors.Wrapf(platformapi.ErrConflict, "object %q", key)
	}
	if have := s.mu.entries[key].object.Version; have != expect {
		return 0, errors.Wrapf(platformapi.ErrConflict, "object %q has version %d, not %d", key, have, expect)
	}
	if remove && expect == 0 {
		return 0, errors.Wrapf(platformapi.ErrNotFound, "object %q", key)
	}
	version := s.applyLocked(key, value, remove)
	if s.takeLocked(&s.mu.faults.LoseNext) || s.chanceLocked(s.mu.faults.LoseAnswer) {
		return 0, errors.Wrapf(platformapi.ErrUnknown, "object %q", key)
	}
	return version, nil
}

// applyLocked makes a change and wakes the watches. A version is the position of
// its change, so that an object created anew never has an old version again.
func (s *Store) applyLocked(key platformapi.Key, value []byte, remove bool) platformapi.Version {
	s.mu.position++
	s.mu.counts.Bytes += uint64(len(value))
	o := platformapi.Object{Key: key, Value: value}
	if remove {
		s.mu.deleted = append(s.mu.deleted, tombstone{key, s.mu.position})
	} else {
		o.Version = platformapi.Version(s.mu.position)
	}
	s.mu.entries[key] = entry{object: o, position: s.mu.position}
	s.trimLocked()
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
	return o.Version
}

// trimLocked forgets the oldest deletions.
func (s *Store) trimLocked() {
	for len(s.mu.deleted) > s.opts.MaxTombstones {
		oldest := s.mu.deleted[0]
		s.mu.deleted = s.mu.deleted[1:]
		if s.mu.entries[oldest.key].position == oldest.position {
			delete(s.mu.entries, oldest.key)
		}
		s.mu.floor = oldest.position
	}
}

func (s *Store) chanceLocked(p float64) bool {
	return p > 0 && s.mu.rng.Float64() < p
}

func (s *Store) takeLocked(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

type callKind int

const (
	read callKind = iota
	write
	watch
)

// begin counts a call, refuses it where a fault says so, and delays it.
func (s *Store) begin(ctx context.Context, kind callKind) error {
	delay, err := s.admit(kind)
	if err != nil || delay <= 0 {
		return err
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.CombineErrors(lostError(kind), ctx.Err())
	}
}

// lostError is the error of a call whose answer did not come in time.
func lostError(kind callKind) error {
	if kind == write {
		return platformapi.ErrUnknown
	}
	return platformapi.ErrUnavailable
}

func (s *Store) admit(kind callKind) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.mu.counts
	c.Calls++
	limit := s.mu.reads
	switch kind {
	case read:
		c.Reads++
	case watch:
		c.Watches++
	case write:
		c.Writes++
		limit = s.mu.writes
	}
	if s.mu.faults.Down {
		c.Refused++
		return 0, platformapi.ErrUnavailable
	}
	if s.mu.faults.Throttled || limit != nil && !limit.Allow() {
		c.Refused++
		return 0, platformapi.ErrThrottled
	}
	return s.mu.faults.Delay, nil
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func clone(o platformapi.Object) platformapi.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
