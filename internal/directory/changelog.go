package directory

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxRemovals is the maximum number of removed objects that are kept for nodes that watch through
// this one. A node that is further behind gets all objects.
const maxRemovals = 512

// changeLog stores the objects of one kind with the position of their latest change, and the
// latest removals. Of several changes of an object, it keeps the last: its memory does not grow with
// their number. It does no I/O.
type changeLog struct {
	changes        map[platformapi.Key]change
	removals       int    // number of changes that are removals
	oldestPosition uint64 // all removals after this position are stored
	position       uint64
}

// change is the latest state of an object; its version is zero if it was removed.
type change struct {
	position uint64
	object   platformapi.Object
}

func newChangeLog() *changeLog {
	return &changeLog{changes: make(map[platformapi.Key]change)}
}

// replaceAll replaces all objects and drops the changes.
func (l *changeLog) replaceAll(position uint64, objects []platformapi.Object) {
	clear(l.changes)
	l.removals, l.oldestPosition, l.position = 0, position, position
	for _, o := range objects {
		l.changes[o.Key] = change{position, o}
	}
}

// applyChanges records changed objects. An object with version zero was removed.
func (l *changeLog) applyChanges(position uint64, objects []platformapi.Object) {
	l.position = max(l.position, position)
	for _, o := range objects {
		if old, ok := l.changes[o.Key]; ok && old.object.Version == 0 {
			l.removals--
		}
		if o.Version == 0 {
			l.removals++
			o = platformapi.Object{Key: o.Key}
		}
		l.changes[o.Key] = change{position, o}
	}
	if l.removals > maxRemovals {
		l.dropOldRemovals()
	}
}

// dropOldRemovals drops the older half of the removals.
func (l *changeLog) dropOldRemovals() {
	var removed []change
	for _, c := range l.changes {
		if c.object.Version == 0 {
			removed = append(removed, c)
		}
	}
	slices.SortFunc(removed, func(a, b change) int { return cmp.Compare(a.position, b.position) })
	l.oldestPosition = removed[len(removed)/2].position
	maps.DeleteFunc(l.changes, func(_ platformapi.Key, c change) bool {
		return c.object.Version == 0 && c.position <= l.oldestPosition
	})
	l.removals = 0
	for _, c := range l.changes {
		if c.object.Version == 0 {
			l.removals++
		}
	}
}

// changesAfter returns the latest changes of the objects that have changed after a position, in
// their order, and whether they are complete.
func (l *changeLog) changesAfter(after uint64) ([]platformapi.Object, bool) {
	if after < l.oldestPosition {
		return nil, false
	}
	var changed []change
	for _, c := range l.changes {
		if c.position > after {
			changed = append(changed, c)
		}
	}
	slices.SortFunc(changed, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.object.Key, b.object.Key))
	})
	out := make([]platformapi.Object, 0, len(changed))
	for _, c := range changed {
		out = append(out, c.object)
	}
	return out, true
}

// allObjects returns all objects, in no particular order.
func (l *changeLog) allObjects() []platformapi.Object {
	out := make([]platformapi.Object, 0, len(l.changes))
	for _, c := range l.changes {
		if c.object.Version != 0 {
			out = append(out, c.object)
		}
	}
	return out
}
