package directory

import (
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxBatches is the maximum number of batches of changes kept for nodes that watch through
// this one. A node that is further behind gets all objects.
const maxBatches = 512

// changeLog stores the objects of one kind, and their latest changes by position. It does
// no I/O.
type changeLog struct {
	objects        map[platformapi.Key]platformapi.Object
	batches        []batch
	oldestPosition uint64 // all changes after this position are stored
	position       uint64
}

type batch struct {
	position uint64
	objects  []platformapi.Object
}

func newChangeLog() *changeLog {
	return &changeLog{objects: make(map[platformapi.Key]platformapi.Object)}
}

// replaceAll replaces all objects and drops the changes.
func (l *changeLog) replaceAll(position uint64, objects []platformapi.Object) {
	clear(l.objects)
	for _, o := range objects {
		l.objects[o.Key] = o
	}
	l.batches, l.oldestPosition, l.position = nil, position, position
}

// applyChanges records changed objects. An object with version zero was removed.
func (l *changeLog) applyChanges(position uint64, objects []platformapi.Object) {
	l.position = max(l.position, position)
	if len(objects) == 0 {
		return
	}
	for _, o := range objects {
		if o.Version == 0 {
			delete(l.objects, o.Key)
		} else {
			l.objects[o.Key] = o
		}
	}
	l.batches = append(l.batches, batch{position, objects})
	if n := len(l.batches) - maxBatches; n > 0 {
		l.oldestPosition = l.batches[n-1].position
		l.batches = slices.Delete(l.batches, 0, n)
	}
}

// changesAfter returns the changes after a position, and whether they are complete.
func (l *changeLog) changesAfter(after uint64) ([]platformapi.Object, bool) {
	if after < l.oldestPosition {
		return nil, false
	}
	var out []platformapi.Object
	for _, b := range l.batches {
		if b.position > after {
			out = append(out, b.objects...)
		}
	}
	return out, true
}

// allObjects returns all objects, in no particular order.
func (l *changeLog) allObjects() []platformapi.Object {
	out := make([]platformapi.Object, 0, len(l.objects))
	for _, o := range l.objects {
		out = append(out, o)
	}
	return out
}
