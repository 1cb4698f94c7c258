package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platform"
)

// storeBodies sends the large bodies of outcomes to objects of their own.
func (s *shard) storeBodies(now time.Time) []Action {
	if now.Before(s.retryAt) {
		return nil
	}
	var acts []Action
	for _, p := range s.bodies {
		id := s.ledger.newCall(call{shard: s, store: p})
		acts = append(acts, StorePut{Call: id, Object: s.ledger.bodyObject(string(p.attempt)), Value: p.answer.Body})
	}
	s.storing += len(s.bodies)
	s.bodies = nil
	return acts
}

// bodyStored takes the result of storing a body. An object that exists already
// is this body: the attempt ID names it.
func (s *shard) bodyStored(p *op, r StoreResult, now time.Time) []Action {
	s.storing--
	if r.Err != nil && !errors.Is(r.Err, platform.ErrConflict) {
		s.bodies = append(s.bodies, p)
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
