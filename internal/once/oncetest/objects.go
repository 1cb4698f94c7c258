package oncetest

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Objects is an in-memory store that carries out the store actions of a ledger.
type Objects map[platformapi.Key]platformapi.Object

// Do carries out a StoreGet or StorePut. It panics on other actions.
func (o Objects) Do(a once.Action) once.StoreResult {
	switch a := a.(type) {
	case once.StoreGet:
		obj, ok := o[a.Object]
		if !ok {
			return once.StoreResult{Call: a.Call, Err: platformapi.ErrNotFound}
		}
		return once.StoreResult{Call: a.Call, Object: obj}
	case once.StorePut:
		if o[a.Object].Version != a.Expect {
			return once.StoreResult{Call: a.Call, Err: platformapi.ErrConflict}
		}
		obj := platformapi.Object{Key: a.Object, Version: a.Expect + 1, Value: a.Value}
		o[a.Object] = obj
		return once.StoreResult{Call: a.Call, Object: platformapi.Object{Version: obj.Version}}
	}
	panic(fmt.Sprintf("%T is not a store call", a))
}

// Settle passes an event to a ledger and carries out all resulting store calls, including
// those that follow from their results. It returns the replies and the recorded outcomes.
func (o Objects) Settle(l *once.Ledger, now time.Time, ev once.Event) (replies []once.Reply, recorded []once.Recorded) {
	queue := []once.Event{ev}
	for len(queue) > 0 {
		acts := l.Step(now, queue[0])
		queue = queue[1:]
		for _, a := range acts {
			switch a := a.(type) {
			case once.Reply:
				replies = append(replies, a)
			case once.Recorded:
				recorded = append(recorded, a)
			case once.StoreDelete:
				delete(o, a.Object)
			default:
				queue = append(queue, o.Do(a))
			}
		}
	}
	return replies, recorded
}
