package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// opKind is the kind of a change that waits for a write.
type opKind uint8

const (
	opClaim       opKind = iota + 1
	opFinish             // record an answer
	opUnconfirmed        // record that it may have run
	opRelease            // remove the claim: proved not run
	opSeal               // move finished entries to a segment
)

// op is a change to a bucket. It is applied to whatever state was read last, as
// often as needed, until it stands in the store.
type op struct {
	kind    opKind
	key     Key
	attempt ident.AttemptID
	claim   Claim // of opClaim
	answer  Answer
	since   time.Time // when it arrived
	step    uint64    // the step of the ledger in which it arrived

	// sent is set once the change was part of a write; expect is the version that
	// the latest such write replaces.
	sent   bool
	expect platformapi.Version
	// object and value are to be stored before the change is applied.
	object platformapi.Key
	value  []byte
	seal   *seal // of opSeal
	// segments that were read for this op.
	segments []*segmentEntries

	// waited is set once a claim has met another attempt of its key.
	waited bool
	// silent ops have nobody who waits for their end.
	silent bool
}

// result is what applying an op to a state came to.
type result uint8

const (
	ended  result = iota // answered; nothing to write
	staged               // answered once the write is durable
	parked               // waits for another attempt
	reread               // needs a state read after it arrived
	fetch                // needs the segment that names its key
)

// apply applies an op to the state next, which is to be written. It returns the
// actions of an op that ended.
func (s *shard) apply(next *bucket, p *op, now time.Time) (result, []Action) {
	if p.kind == opSeal {
		return s.applySeal(next, p)
	}
	e, unread := s.lookup(next, p, now)
	if unread != "" {
		return fetch, nil
	}
	switch p.kind {
	case opClaim:
		return s.applyClaim(next, e, p, now)
	case opFinish, opUnconfirmed:
		return s.applyEnd(next, e, p, now)
	default:
		return s.applyRelease(next, e, p)
	}
}

func (s *shard) applyClaim(next *bucket, e *entry, p *op, now time.Time) (result, []Action) {
	if e == nil {
		return s.applyNewClaim(next, p, now)
	}
	if p.sent && e.Attempt == string(p.attempt) {
		return ended, s.grant(p, now)
	}
	if sameBody(e, p.claim.Body) && e.State == finished {
		return ended, s.replay(p, e)
	}
	if !s.isMine(e) && !s.seenSince(p.step) {
		return reread, nil
	}
	if !sameBody(e, p.claim.Body) {
		return ended, s.refuse(p, Conflict, errConflict(p.key))
	}
	if e.State == unconfirmed {
		return ended, s.refuse(p, Unconfirmed, errUnconfirmed(p.key))
	}
	if s.isLost(e, now) {
		next.set(p.key, withState(e, unconfirmed, nil, now))
		return ended, s.refuse(p, Unconfirmed, errUnconfirmed(p.key))
	}
	return parked, nil
}

func (s *shard) applyNewClaim(next *bucket, p *op, now time.Time) (result, []Action) {
	e := newEntry(p.claim, now, s.opts)
	if !next.fits(e, s.opts) {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "ledger bucket %q is full", s.object)
		wait := max(next.nextFree(s.opts).Sub(now), time.Second)
		return ended, s.refuse(p, Unavailable, err.After(wait))
	}
	next.set(p.key, e)
	return staged, nil
}

func (s *shard) applyEnd(next *bucket, e *entry, p *op, now time.Time) (result, []Action) {
	if e == nil || e.Attempt != string(p.attempt) {
		return ended, s.recorded(p, true)
	}
	if e.State == finished {
		return ended, s.recorded(p, p.kind != opFinish)
	}
	if p.kind == opUnconfirmed {
		if e.State == unconfirmed {
			return ended, s.recorded(p, false)
		}
		next.set(p.key, withState(e, unconfirmed, nil, now))
		return staged, nil
	}
	next.set(p.key, withState(e, finished, storedAnswer(p.answer, s.opts.MaxInlineBody), now))
	return staged, nil
}

func (s *shard) applyRelease(next *bucket, e *entry, p *op) (result, []Action) {
	if e != nil && e.Attempt == string(p.attempt) {
		ran := e.State == finished
		invariant.Check(!ran, invariant.NotRunDidNotRun, "attempt %q of key %v was released after it ran", p.attempt, p.key)
		if ran {
			return ended, s.recorded(p, true)
		}
		next.set(p.key, nil)
		return staged, nil
	}
	if p.sent && next.version == p.expect {
		return staged, nil // an earlier write may be under way still: fence it off
	}
	return ended, s.recorded(p, false)
}

// durable returns the actions of a staged op whose write took effect.
func (s *shard) durable(p *op, now time.Time) []Action {
	switch p.kind {
	case opClaim:
		return s.grant(p, now)
	case opSeal:
		s.sealing = nil
		return nil
	}
	return s.recorded(p, false)
}
