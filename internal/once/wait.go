package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// park makes a claim wait for another attempt of its key.
func (s *shard) park(p *op, now time.Time) {
	if len(s.parked) == 0 {
		s.pollDelay = min(max(2*s.pollDelay, s.opts.PollInterval), s.opts.PollMax)
		s.pollAt = now.Add(s.pollDelay)
	}
	p.wasParked = true
	s.parked = append(s.parked, p)
}

// unpark queues the parked claims to be applied again to a new state.
func (s *shard) unpark() {
	s.queue = append(s.queue, s.parked...)
	s.parked = nil
}

// poll requests a new read of the bucket if parked claims wait for other nodes.
func (s *shard) poll(now time.Time) {
	if s.inFlight != nil || now.Before(s.pollAt) || !s.waitsForOtherNodes() {
		return
	}
	s.stale = true
	s.unpark()
}

func (s *shard) waitsForOtherNodes() bool {
	for _, p := range s.parked {
		if _, local := s.running[p.key]; !local {
			return true
		}
	}
	return false
}

// refuseClaims refuses the claims that match and wait for the store.
func (s *shard) refuseClaims(now time.Time, match func(*op) bool) []Action {
	var acts []Action
	queue := s.queue
	s.queue = nil
	for _, p := range queue {
		if p.kind == opClaim && match(p) {
			kind, err := s.errWaitExpired(p, now)
			acts = append(acts, s.refuse(p, kind, err)...)
			continue
		}
		s.queue = append(s.queue, p)
	}
	for _, p := range s.opsInFlight() {
		if p.kind == opClaim && !p.noReply && match(p) {
			kind, err := s.errWaitExpired(p, now)
			acts = append(acts, s.reply(p, kind, err))
		}
	}
	return acts
}

// opsInFlight returns the ops that wait for a bucket write or a segment read in flight.
func (s *shard) opsInFlight() []*op {
	var ops []*op
	if s.inFlight != nil {
		ops = append(ops, s.inFlight.ops...)
	}
	for _, r := range s.reads {
		ops = append(ops, r.ops...)
	}
	return ops
}

// expireWaitingClaims refuses the claims that have waited for the store for
// Options.MaxDispatchDelay, and the parked claims whose deadline has passed.
func (s *shard) expireWaitingClaims(now time.Time) []Action {
	acts := s.refuseClaims(now, func(p *op) bool {
		return !now.Before(p.arrivedAt.Add(s.opts.MaxDispatchDelay))
	})
	return append(acts, s.refuseParked(func(p *op) bool { return !now.Before(p.claim.Deadline) })...)
}

// refuseParked refuses the parked claims that match.
func (s *shard) refuseParked(match func(*op) bool) []Action {
	var acts []Action
	kept := s.parked[:0]
	for _, p := range s.parked {
		if !match(p) {
			kept = append(kept, p)
			continue
		}
		acts = append(acts, s.refuse(p, Wait, errRunning(p.key))...)
	}
	s.parked = kept
	return acts
}

// withdraw cancels a waiting claim. A claim that was already granted is removed, as its
// grant was not received.
func (s *shard) withdraw(k Key, a ident.AttemptID, now time.Time) []Action {
	if s.running[k] == a {
		s.queue = append(s.queue, &op{kind: opRelease, key: k, attempt: a, arrivedAt: now, noReply: true})
		return nil
	}
	sameAttempt := func(p *op) bool { return p.attempt == a }
	acts := s.refuseClaims(now, sameAttempt)
	return append(acts, s.refuseParked(sameAttempt)...)
}

// next returns when the shard needs a Tick, or the zero time if it needs none.
func (s *shard) next() time.Time {
	var first time.Time
	consider := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	if s.inFlight == nil && (s.hasWork(s.lastUsed) || len(s.toStore) > 0) {
		consider(s.retryAt)
	}
	if s.inFlight == nil && s.waitsForOtherNodes() {
		consider(s.pollAt)
	}
	s.eachStoreClaim(func(p *op) { consider(p.arrivedAt.Add(s.opts.MaxDispatchDelay)) })
	for _, p := range s.parked {
		consider(p.claim.Deadline)
	}
	return first
}

// eachStoreClaim calls f for each claim that waits for the store.
func (s *shard) eachStoreClaim(f func(*op)) {
	each := func(ops []*op) {
		for _, p := range ops {
			if p.kind == opClaim && !p.noReply {
				f(p)
			}
		}
	}
	each(s.queue)
	each(s.opsInFlight())
}

// pending returns the number of granted claims without outcome and of ops that have not
// completed, except seals.
func (s *shard) pending() int {
	n := len(s.running) + len(s.parked)
	for _, p := range s.queue {
		if p.kind != opSeal {
			n++
		}
	}
	for _, p := range s.toStore {
		if p.kind != opSeal {
			n++
		}
	}
	return n + s.objectPuts + len(s.opsInFlight())
}

// idle reports whether the shard has no work and was not used for Options.IdleTimeout,
// so that it can be dropped from memory.
func (s *shard) idle(now time.Time) bool {
	busy := s.inFlight != nil || len(s.queue)+len(s.parked)+len(s.toStore)+len(s.running)+len(s.reads)+s.objectPuts > 0
	return !busy && now.After(s.lastUsed.Add(s.opts.IdleTimeout))
}
