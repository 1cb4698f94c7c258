// Package oncetest provides in-memory stores for tests of the ledger.
package oncetest

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Store is an in-memory platformapi.Store whose calls are delayed and may fail. It
// implements only Get, Put, Delete and List.
type Store struct {
	platformapi.Store
	// Delay of each call except List.
	Delay time.Duration
	// UnknownResultRate is the fraction of writes that return platformapi.ErrUnknown; half
	// of these take effect.
	UnknownResultRate float64

	mu struct {
		sync.Mutex
		rng     *rand.Rand
		objects map[platformapi.Key]platformapi.Object
		version platformapi.Version
		down    bool
		counts  Counts
	}
}

// Counts are the numbers of calls that a store has handled.
type Counts struct {
	Gets, Puts, Bytes int // Bytes is the total size of the values of all Puts
	// BucketPuts is the number of Puts to bucket objects.
	BucketPuts int
}

// New returns an empty store. The seed determines which writes return
// platformapi.ErrUnknown.
func New(seed uint64) *Store {
	s := &Store{}
	s.mu.rng = rand.New(rand.NewPCG(seed, 3))
	s.mu.objects = make(map[platformapi.Key]platformapi.Object)
	return s
}

// SetDown sets whether Get and Put fail with platformapi.ErrUnavailable.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.down = down
}

// Counts returns the numbers of calls handled so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.counts
}

func (s *Store) wait(ctx context.Context) error {
	t := time.NewTimer(s.Delay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements platformapi.Store.
func (s *Store) Get(ctx context.Context, key platformapi.Key) (platformapi.Object, error) {
	if err := s.wait(ctx); err != nil {
		return platformapi.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.counts.Gets++
	o, ok := s.mu.objects[key]
	switch {
	case s.mu.down:
		return platformapi.Object{}, platformapi.ErrUnavailable
	case !ok:
		return platformapi.Object{}, platformapi.ErrNotFound
	}
	return o, nil
}

// Put implements platformapi.Store.
func (s *Store) Put(ctx context.Context, key platformapi.Key, value []byte, expect platformapi.Version) (platformapi.Version, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.counts.Puts++
	s.mu.counts.Bytes += len(value)
	if strings.Contains(string(key), "/bucket/") {
		s.mu.counts.BucketPuts++
	}
	unknown := s.mu.rng.Float64() < s.UnknownResultRate
	switch {
	case s.mu.down:
		return 0, platformapi.ErrUnavailable
	case unknown && s.mu.rng.IntN(2) == 0:
		return 0, platformapi.ErrUnknown
	case s.mu.objects[key].Version != expect:
		return 0, platformapi.ErrConflict
	}
	s.mu.version++
	s.mu.objects[key] = platformapi.Object{Key: key, Version: s.mu.version, Value: value}
	if unknown {
		return 0, platformapi.ErrUnknown
	}
	return s.mu.version, nil
}

// List implements platformapi.Store.
func (s *Store) List(_ context.Context, prefix platformapi.Key) ([]platformapi.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platformapi.Object
	for _, k := range slices.Sorted(maps.Keys(s.mu.objects)) {
		if strings.HasPrefix(string(k), string(prefix)) {
			found = append(found, s.mu.objects[k])
		}
	}
	return found, nil
}

// Delete implements platformapi.Store.
func (s *Store) Delete(ctx context.Context, key platformapi.Key, expect platformapi.Version) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.objects[key].Version != expect {
		return platformapi.ErrConflict
	}
	delete(s.mu.objects, key)
	return nil
}
