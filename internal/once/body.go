package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// storeObjects stores the large bodies of outcomes, and segments, in objects of
// their own.
func (s *shard) storeObjects(now time.Time) []Action {
	if now.Before(s.retryAt) {
		return nil
	}
	var acts []Action
	for _, p := range s.toStore {
		id := s.ledger.newCall(call{shard: s, store: p})
		acts = append(acts, StorePut{Call: id, Object: p.object, Value: p.value})
	}
	s.storing += len(s.toStore)
	s.toStore = nil
	return acts
}

// objectStored takes the result of storing an object. One that exists already is
// this object: its name is given once.
func (s *shard) objectStored(p *op, r StoreResult, now time.Time) []Action {
	s.storing--
	if r.Err != nil && !errors.Is(r.Err, platformapi.ErrConflict) {
		s.toStore = append(s.toStore, p)
		return s.failed(now)
	}
	s.queue = append(s.queue, p)
	return nil
}

// fetchBody reads the body of a recorded answer.
func (s *shard) fetchBody(p *op, e *entry) []Action {
	id := s.ledger.newCall(call{shard: s, fetch: p, entry: e})
	return []Action{StoreGet{Call: id, Object: s.ledger.bodyObject(e.Attempt)}}
}

func (s *shard) bodyFetched(c call, r StoreResult) []Action {
	if r.Err != nil {
		return s.refuse(c.fetch, Wait, errBody(c.fetch.key))
	}
	return s.replayWith(c.fetch, c.entry, r.Object.Value)
}
