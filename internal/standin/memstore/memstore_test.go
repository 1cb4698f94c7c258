package memstore

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// TestAgainstMap applies the same calls to the store and to a map. A watcher that
// lists the objects again after a gap must end with the contents of the map.
func TestAgainstMap(t *testing.T) {
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		s := New(Options{Seed: rapid.Uint64().Draw(t, "seed"), MaxTombstones: rapid.IntRange(1, 4).Draw(t, "tombstones")})
		s.SetFaults(Faults{
			LoseAnswer:  rapid.Float64Range(0, 0.5).Draw(t, "lose answer"),
			LoseRequest: rapid.Float64Range(0, 0.5).Draw(t, "lose request"),
			Conflict:    rapid.Float64Range(0, 0.5).Draw(t, "conflict"),
		})
		model := make(map[platformapi.Key]platformapi.Object)
		seen, position := make(map[platformapi.Key]platformapi.Object), uint64(0)
		watch := func() {
			r, err := s.Watch(ctx, "k", position, 0)
			if err != nil {
				t.Fatal(err)
			}
			if r.Gap {
				clear(seen)
				r.Changed, _ = s.List(ctx, "k")
			}
			for _, o := range r.Changed {
				if seen[o.Key] = o; o.Version == 0 {
					delete(seen, o.Key)
				}
			}
			position = r.Position
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			key := platformapi.Key(fmt.Sprint("k", rapid.IntRange(0, 5).Draw(t, "key")))
			old := model[key]
			expect := old.Version + platformapi.Version(rapid.IntRange(0, 1).Draw(t, "off"))
			value := []byte(fmt.Sprint(i))
			var err error
			if rapid.Bool().Draw(t, "delete") {
				value, err = nil, s.Delete(ctx, key, expect)
			} else {
				_, err = s.Put(ctx, key, value, expect)
			}
			got, getErr := s.Get(ctx, key)
			if getErr != nil && !errors.Is(getErr, platformapi.ErrNotFound) {
				t.Fatal(getErr)
			}
			done := got.Version != old.Version
			switch {
			case err == nil && !done, done && err != nil && !errors.Is(err, platformapi.ErrUnknown), done && expect != old.Version:
				t.Fatalf("expect %d of %d: error %v, now %+v", expect, old.Version, err, got)
			case done && string(got.Value) != string(value):
				t.Fatalf("value %q, want %q", got.Value, value)
			}
			if model[key] = got; got.Version == 0 {
				delete(model, key)
			}
			if rapid.Bool().Draw(t, "watch") {
				watch()
			}
		}
		watch()
		if fmt.Sprint(seen) != fmt.Sprint(model) {
			t.Errorf("watcher has %v, store has %v", seen, model)
		}
	})
}

func TestRatesAndCancel(t *testing.T) {
	s := New(Options{})
	s.SetFaults(Faults{WritesPerSecond: 0.001})
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := s.Put(ctx, "a", nil, 0); err != nil {
		t.Errorf("first write: %v", err)
	}
	if _, err := s.Put(ctx, "b", nil, 0); !errors.Is(err, platformapi.ErrThrottled) {
		t.Errorf("write above the rate: %v", err)
	}
	s.SetFaults(Faults{Delay: time.Hour})
	cancel()
	if _, err := s.Put(ctx, "c", nil, 0); !errors.Is(err, platformapi.ErrUnknown) {
		t.Errorf("cancelled write: %v", err)
	}
	if _, err := s.Get(ctx, "a"); !errors.Is(err, platformapi.ErrUnavailable) {
		t.Errorf("cancelled read: %v", err)
	}
	if c := s.Counts(); c != (Counts{Calls: 4, Reads: 1, Writes: 3, Refused: 1}) {
		t.Errorf("counts = %+v", c)
	}
}
