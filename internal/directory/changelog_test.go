package directory

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// bytesOf returns the size of the values that a change log keeps.
func bytesOf(l *changeLog) int {
	n := 0
	for _, c := range l.changes {
		n += len(c.object.Value)
	}
	return n
}

// TestChangeLogMemory guards against a process that runs out of memory since a large configuration
// changes often: only its last version is kept for the nodes that watch through this one.
func TestChangeLogMemory(t *testing.T) {
	const size = 1 << 20
	l := newChangeLog()
	l.replaceAll(1, []platformapi.Object{{Key: "config/main", Version: 1, Value: make([]byte, size)}})
	for v := uint64(2); v < 600; v++ {
		l.applyChanges(v, []platformapi.Object{{Key: "config/main", Version: platformapi.Version(v), Value: make([]byte, size)}})
	}
	if n := bytesOf(l); n != size {
		t.Errorf("%d bytes are kept of an object of %d", n, size)
	}
	if changed, complete := l.changesAfter(1); !complete || len(changed) != 1 || changed[0].Version != 599 {
		t.Errorf("%d changes, complete %t", len(changed), complete)
	}
	for i := range 10 * maxRemovals {
		key := platformapi.Key(fmt.Sprint("config/", i))
		l.applyChanges(uint64(1000+2*i), []platformapi.Object{{Key: key, Version: 1, Value: make([]byte, 1000)}})
		l.applyChanges(uint64(1001+2*i), []platformapi.Object{{Key: key}})
	}
	if n := bytesOf(l); n != size || len(l.changes) > maxRemovals+1 {
		t.Errorf("%d bytes and %d objects are kept", n, len(l.changes))
	}
	if _, complete := l.changesAfter(1000); complete {
		t.Error("the changes are complete though removals were dropped")
	}
}

// TestChangeLogFollowers checks with random changes that a follower that applies the changes after
// its position, or all objects if they are not complete, has the objects of the log.
func TestChangeLogFollowers(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	type follower struct {
		position uint64
		objects  map[platformapi.Key]platformapi.Version
	}
	l, want := newChangeLog(), make(map[platformapi.Key]platformapi.Version)
	l.replaceAll(1, nil)
	followers := make([]follower, 4)
	gaps := 0
	catchUp := func(f *follower) {
		changed, complete := l.changesAfter(f.position)
		if !complete || f.objects == nil {
			changed, f.objects = l.allObjects(), make(map[platformapi.Key]platformapi.Version)
			gaps++
		}
		for _, o := range changed {
			if o.Version == 0 {
				delete(f.objects, o.Key)
			} else {
				f.objects[o.Key] = o.Version
			}
		}
		f.position = l.position
		if !reflect.DeepEqual(f.objects, want) {
			t.Fatalf("at %d: follower has %d objects, the log %d", l.position, len(f.objects), len(want))
		}
	}
	for position := uint64(2); position < 20_000; position++ {
		var batch []platformapi.Object
		for range rng.IntN(4) {
			key := platformapi.Key(fmt.Sprint("k/", rng.IntN(3000)))
			o := platformapi.Object{Key: key, Version: platformapi.Version(position)}
			if rng.IntN(2) == 0 {
				o.Version = 0
				delete(want, key)
			} else {
				want[key] = o.Version
			}
			batch = append(batch, o)
		}
		l.applyChanges(position, batch)
		for i := range followers {
			if rng.IntN(1+1000*i) == 0 {
				catchUp(&followers[i])
			}
		}
	}
	if gaps <= len(followers) {
		t.Errorf("only %d lists, no follower was behind the removals", gaps)
	}
}
