package directory

import (
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxBatches bounds the changes kept for nodes that follow this one; a node that is
// further behind takes all objects.
const maxBatches = 512

// changeLog keeps the objects of one kind, and their latest changes by position. It
// does no I/O.
type changeLog struct {
	objects  map[platformapi.Key]platformapi.Object
	batches  []batch
	oldest   uint64 // the position from which all batches are kept
	position uint64
}

type batch struct {
	position uint64
	objects  []platformapi.Object
}

func newChangeLog() *changeLog {
	return &changeLog{objects: make(map[platformapi.Key]platformapi.Object)}
}

// replace takes all objects.
func (l *changeLog) replace(position uint64, objects []platformapi.Object) {
	clear(l.objects)
	for _, o := range objects {
		l.objects[o.Key] = o
	}
	l.batches, l.oldest, l.position = nil, position, position
}

// change takes changed objects; one with version zero was removed.
func (l *changeLog) change(position uint64, objects []platformapi.Object) {
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
		l.oldest = l.batches[n-1].position
		l.batches = slices.Delete(l.batches, 0, n)
	}
}

// since returns the changes after a position, and whether they are all known.
func (l *changeLog) since(after uint64) ([]platformapi.Object, bool) {
	if after < l.oldest {
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

// all returns all objects.
func (l *changeLog) all() []platformapi.Object {
	out := make([]platformapi.Object, 0, len(l.objects))
	for _, o := range l.objects {
		out = append(out, o)
	}
	return out
}
