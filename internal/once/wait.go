package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// park lets a claim wait for another attempt.
func (s *shard) park(p *op, now time.Time) {
	if len(s.parked) == 0 {
		s.pollGap = min(max(2*s.pollGap, s.opts.PollInterval), s.opts.PollMax)
		s.pollAt = now.Add(s.pollGap)
	}
	p.waited = true
	s.parked = append(s.parked, p)
}

// unpark lets parked claims look at a new state.
func (s *shard) unpark() {
	s.queue = append(s.queue, s.parked...)
	s.parked = nil
}

// poll reads the bucket again where parked claims wait for other nodes.
func (s *shard) poll(now time.Time) {
	if s.flight != nil || now.Before(s.pollAt) || !s.waitsForOthers() {
		return
	}
	s.stale = true
	s.unpark()
}

func (s *shard) waitsForOthers() bool {
	for _, p := range s.parked {
		if _, here := s.live[p.key]; !here {
			return true
		}
	}
	return false
}

// refuseClaims refuses the waiting claims that due selects.
func (s *shard) refuseClaims(now time.Time, due func(*op) bool) []Action {
	var acts []Action
	queue := s.queue
	s.queue = nil
	for _, p := range queue {
		if p.kind == opClaim && due(p) {
			kind, err := s.errExpired(p, now)
			acts = append(acts, s.refuse(p, kind, err)...)
			continue
		}
		s.queue = append(s.queue, p)
	}
	for _, p := range s.away() {
		if p.kind == opClaim && !p.silent && due(p) {
			kind, err := s.errExpired(p, now)
			acts = append(acts, s.reply(p, kind, err))
		}
	}
	return acts
}

// away returns the ops whose call is under way.
func (s *shard) away() []*op {
	var ops []*op
	if s.flight != nil {
		ops = append(ops, s.flight.ops...)
	}
	for _, r := range s.reads {
		ops = append(ops, r.ops...)
	}
	return ops
}

// expireWaits answers the claims that have waited for as long as they may.
func (s *shard) expireWaits(now time.Time) []Action {
	acts := s.refuseClaims(now, func(p *op) bool {
		return !now.Before(p.since.Add(s.opts.DispatchBound))
	})
	return append(acts, s.refuseParked(func(p *op) bool { return !now.Before(p.claim.Deadline) })...)
}

// refuseParked answers the parked claims that due selects.
func (s *shard) refuseParked(due func(*op) bool) []Action {
	var acts []Action
	kept := s.parked[:0]
	for _, p := range s.parked {
		if !due(p) {
			kept = append(kept, p)
			continue
		}
		acts = append(acts, s.refuse(p, Wait, errRunning(p.key))...)
	}
	s.parked = kept
	return acts
}

// withdraw ends the wait of a claim. One that was granted already is removed: its
// grant was not received.
func (s *shard) withdraw(k Key, a ident.AttemptID, now time.Time) []Action {
	if s.live[k] == a {
		s.queue = append(s.queue, &op{kind: opRelease, key: k, attempt: a, since: now, silent: true})
		return nil
	}
	mine := func(p *op) bool { return p.attempt == a }
	acts := s.refuseClaims(now, mine)
	return append(acts, s.refuseParked(mine)...)
}

// next returns when the shard needs a Tick; zero where it needs none.
func (s *shard) next() time.Time {
	var first time.Time
	at := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	if s.flight == nil && (s.hasWork(s.used) || len(s.toStore) > 0) {
		at(s.retryAt)
	}
	if s.flight == nil && s.waitsForOthers() {
		at(s.pollAt)
	}
	s.eachWaiting(func(p *op) { at(p.since.Add(s.opts.DispatchBound)) })
	for _, p := range s.parked {
		at(p.claim.Deadline)
	}
	return first
}

// eachWaiting calls f for the claims that wait for the store.
func (s *shard) eachWaiting(f func(*op)) {
	each := func(ops []*op) {
		for _, p := range ops {
			if p.kind == opClaim && !p.silent {
				f(p)
			}
		}
	}
	each(s.queue)
	each(s.away())
}

// pending counts what must not be lost.
func (s *shard) pending() int {
	n := len(s.live) + len(s.parked)
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
	return n + s.storing + len(s.away())
}

// idle tells whether the shard's state may be dropped.
func (s *shard) idle(now time.Time) bool {
	busy := s.flight != nil || len(s.queue)+len(s.parked)+len(s.toStore)+len(s.live)+len(s.reads)+s.storing > 0
	return !busy && now.After(s.used.Add(s.opts.IdleAfter))
}
