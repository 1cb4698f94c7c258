// Package memstore is an in-memory platformapi.Store with injectable faults and
// counts of its calls.
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

// Faults are the injected failures.
type Faults struct {
	// Down fails every call with ErrUnavailable.
	Down bool `json:"down"`
	// Throttled fails every call with ErrThrottled.
	Throttled bool `json:"throttled"`
	// Delay is the time before each call takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswer is the probability that a write takes effect and returns ErrUnknown.
	LoseAnswer float64 `json:"lose_answer"`
	// LoseRequest is the probability that a write has no effect and returns ErrUnknown.
	LoseRequest float64 `json:"lose_request"`
	// Conflict is the probability that a write returns ErrConflict regardless of the version.
	Conflict float64 `json:"conflict"`
	// LoseNext is the number of next writes that take effect and return ErrUnknown;
	// ConflictNext is the number of next writes that return ErrConflict.
	LoseNext     int `json:"lose_next"`
	ConflictNext int `json:"conflict_next"`
	// ReadsPerSecond (watches included) and WritesPerSecond are rate limits; zero is unlimited.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Counts are the numbers of calls, including refused ones. A waiting watch is one call.
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
	// Seed is the seed of the random source of faults.
	Seed uint64
	// MaxTombstones is the number of deletions that are kept for watches. Default: 10000.
	MaxTombstones int
}

type entry struct {
	object   platformapi.Object // Version is zero if deleted
	position uint64
}

// tombstone is a deletion that watches can still report.
type tombstone struct {
	key      platformapi.Key
	position uint64
}

// Store is an in-memory platformapi.Store.
type Store struct {
	opts Options

	mu struct {
		sync.Mutex
		rng        *rand.Rand
		faults     Faults
		counts     Counts
		reads      *rate.Limiter
		writes     *rate.Limiter
		position   uint64
		trimmedTo  uint64 // position of the last tombstone trimmed; watches from before it get a gap
		entries    map[platformapi.Key]entry
		tombstones []tombstone   // oldest first
		changed    chan struct{} // closed on the next change
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

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.faults = f
	s.mu.reads = newLimiter(f.ReadsPerSecond)
	s.mu.writes = newLimiter(f.WritesPerSecond)
}

// Faults returns the injected faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.faults
}

// Counts returns the numbers of calls so far.
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
	if after > s.mu.position || after < s.mu.trimmedTo {
		return platformapi.WatchResult{Position: s.mu.position, Gap: true}, s.mu.changed
	}
	list := s.changedLocked(prefix, after, true)
	return platformapi.WatchResult{Position: s.mu.position, Changed: list}, s.mu.changed
}

// changedLocked returns the objects under prefix that changed after a position,
// ordered by key, including deleted ones if withDeleted is set.
func (s *Store) changedLocked(prefix platformapi.Key, after uint64, withDeleted bool) []platformapi.Object {
	var out []platformapi.Object
	for key, e := range s.mu.entries {
		if e.position <= after || !strings.HasPrefix(string(key), string(prefix)) {
			continue
		}
		if e.object.Version != 0 || withDeleted {
			out = append(out, clone(e.object))
		}
	}
	slices.SortFunc(out, func(a, b platformapi.Object) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// writeLocked writes or deletes an object if its version is expect.
func (s *Store) writeLocked(key platformapi.Key, value []byte, expect platformapi.Version, remove bool) (platformapi.Version, error) {
	if s.chanceLocked(s.mu.faults.LoseRequest) {
		return 0, errors.Wrapf(platformapi.ErrUnknown, "object %q", key)
	}
	if s.decrementLocked(&s.mu.faults.ConflictNext) || s.chanceLocked(s.mu.faults.Conflict) {
		return 0, errors.Wrapf(platformapi.ErrConflict, "object %q", key)
	}
	if have := s.mu.entries[key].object.Version; have != expect {
		return 0, errors.Wrapf(platformapi.ErrConflict, "object %q has version %d, not %d", key, have, expect)
	}
	if remove && expect == 0 {
		return 0, errors.Wrapf(platformapi.ErrNotFound, "object %q", key)
	}
	version := s.applyLocked(key, value, remove)
	if s.decrementLocked(&s.mu.faults.LoseNext) || s.chanceLocked(s.mu.faults.LoseAnswer) {
		return 0, errors.Wrapf(platformapi.ErrUnknown, "object %q", key)
	}
	return version, nil
}

// applyLocked applies a change and wakes the watches. A version is the position of
// its change, so that an object that is created again never reuses a version.
func (s *Store) applyLocked(key platformapi.Key, value []byte, remove bool) platformapi.Version {
	s.mu.position++
	s.mu.counts.Bytes += uint64(len(value))
	o := platformapi.Object{Key: key, Value: value}
	if remove {
		s.mu.tombstones = append(s.mu.tombstones, tombstone{key, s.mu.position})
	} else {
		o.Version = platformapi.Version(s.mu.position)
	}
	s.mu.entries[key] = entry{object: o, position: s.mu.position}
	s.trimLocked()
	close(s.mu.changed)
	s.mu.changed = make(chan struct{})
	return o.Version
}

// trimLocked drops the oldest tombstones beyond MaxTombstones.
func (s *Store) trimLocked() {
	for len(s.mu.tombstones) > s.opts.MaxTombstones {
		oldest := s.mu.tombstones[0]
		s.mu.tombstones = s.mu.tombstones[1:]
		if s.mu.entries[oldest.key].position == oldest.position {
			delete(s.mu.entries, oldest.key)
		}
		s.mu.trimmedTo = oldest.position
	}
}

func (s *Store) chanceLocked(p float64) bool {
	return p > 0 && s.mu.rng.Float64() < p
}

func (s *Store) decrementLocked(n *int) bool {
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

// begin counts a call, then refuses or delays it according to the faults.
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
		return errors.CombineErrors(noResponseError(kind), ctx.Err())
	}
}

// noResponseError returns the error of a call that got no response in time.
func noResponseError(kind callKind) error {
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

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func clone(o platformapi.Object) platformapi.Object {
	o.Value = slices.Clone(o.Value)
	return o
}
