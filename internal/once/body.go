package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// storeObjects issues the writes of large response bodies and of segments, each to its
// own object.
func (s *shard) storeObjects(now time.Time) []Action {
	if now.Before(s.retryAt) {
		return nil
	}
	var acts []Action
	for _, p := range s.toStore {
		id := s.ledger.newCall(call{shard: s, objectOp: p})
		acts = append(acts, StorePut{Call: id, Object: p.object, Value: p.value})
	}
	s.objectPuts += len(s.toStore)
	s.toStore = nil
	return acts
}

// objectPutDone handles the result of storing an object. If the object exists already,
// an earlier write of it took effect, as object names are unique.
func (s *shard) objectPutDone(p *op, r StoreResult, now time.Time) []Action {
	s.objectPuts--
	if r.Err != nil && !errors.Is(r.Err, platformapi.ErrConflict) {
		s.toStore = append(s.toStore, p)
		return s.callFailed(now)
	}
	s.queue = append(s.queue, p)
	return nil
}

// readBody reads the body of a recorded response from its own object.
func (s *shard) readBody(p *op, e *entry) []Action {
	id := s.ledger.newCall(call{shard: s, bodyOp: p, entry: e})
	return []Action{StoreGet{Call: id, Object: s.ledger.bodyObject(e.Attempt)}}
}

func (s *shard) bodyReadDone(c call, r StoreResult) []Action {
	if r.Err != nil {
		return s.refuse(c.bodyOp, Wait, errBodyUnreadable(c.bodyOp.key))
	}
	return s.replayWith(c.bodyOp, c.entry, r.Object.Value)
}
