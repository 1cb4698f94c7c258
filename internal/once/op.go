package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// opKind is the kind of an op.
type opKind uint8

const (
	opClaim       opKind = iota + 1
	opFinish             // record the response
	opUnconfirmed        // record that the request may have run
	opRelease            // remove the claim of a request that is known not to have run
	opSeal               // move finished entries to a segment
)

// op is a change to a bucket. It is applied to the latest state that was read, again
// after each failed write, until a write that contains it has taken effect.
type op struct {
	kind      opKind
	key       Key
	attempt   ident.AttemptID
	claim     Claim // set for opClaim
	answer    Answer
	arrivedAt time.Time // arrival of the event that caused it
	step      uint64    // step of the ledger in which a claim arrived

	// sent is set once a write that contains the change was sent; expect is the
	// version that the latest such write replaces.
	sent   bool
	expect platformapi.Version
	// object and value are the object to be stored before the change is applied.
	object platformapi.Key
	value  []byte
	seal   *seal // set for opSeal
	// segments are those that were read for this op.
	segments []*segment

	// wasParked is set once a claim has had to wait for another attempt of its key.
	wasParked bool
	// noReply is set if no Reply or Recorded is to be returned: nobody waits for one,
	// or it was returned already.
	noReply bool
}

// result is the result of applying an op to a state.
type result uint8

const (
	completed    result = iota // replied to; nothing to write
	staged                     // contained in the next write; replied to once that is durable
	parked                     // waits for another attempt of its key
	needsRead                  // needs a state that was read after it arrived
	needsSegment               // needs a segment that may contain its key
)

// apply applies an op to next, the state to be written. It returns the actions of a
// completed op.
func (s *shard) apply(next *bucket, p *op, now time.Time) (result, []Action) {
	if p.kind == opSeal {
		return s.applySeal(next, p)
	}
	e, unread := s.lookup(next, p, now)
	if unread != "" {
		return needsSegment, nil
	}
	switch p.kind {
	case opClaim:
		return s.applyClaim(next, e, p, now)
	case opFinish, opUnconfirmed:
		return s.applyOutcome(next, e, p, now)
	default:
		return s.applyRelease(next, e, p)
	}
}

func (s *shard) applyClaim(next *bucket, e *entry, p *op, now time.Time) (result, []Action) {
	if e == nil {
		return s.applyNewClaim(next, p, now)
	}
	if p.sent && e.Attempt == string(p.attempt) {
		return completed, s.grant(p, now)
	}
	if sameBody(e, p.claim.Body) && e.State == finished {
		return completed, s.replay(p, e)
	}
	if !s.isLocal(e) && !s.readSince(p.step) {
		return needsRead, nil
	}
	if !sameBody(e, p.claim.Body) {
		return completed, s.refuse(p, Conflict, errConflict(p.key))
	}
	if e.State == unconfirmed {
		return completed, s.refuse(p, Unconfirmed, errUnconfirmed(p.key))
	}
	if s.holderGone(e, now) {
		next.set(p.key, withState(e, unconfirmed, nil, now))
		return completed, s.refuse(p, Unconfirmed, errUnconfirmed(p.key))
	}
	return parked, nil
}

func (s *shard) applyNewClaim(next *bucket, p *op, now time.Time) (result, []Action) {
	e := newEntry(p.claim, now, s.opts)
	if !next.fits(e, s.opts) {
		err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "ledger bucket %q is full", s.object)
		wait := max(next.nextExpiry(s.opts).Sub(now), time.Second)
		return completed, s.refuse(p, Unavailable, err.After(wait))
	}
	next.set(p.key, e)
	return staged, nil
}

func (s *shard) applyOutcome(next *bucket, e *entry, p *op, now time.Time) (result, []Action) {
	if e == nil || e.Attempt != string(p.attempt) {
		return completed, s.recorded(p, true)
	}
	if e.State == finished {
		return completed, s.recorded(p, p.kind != opFinish)
	}
	if p.kind == opUnconfirmed {
		if e.State == unconfirmed {
			return completed, s.recorded(p, false)
		}
		next.set(p.key, withState(e, unconfirmed, nil, now))
		return staged, nil
	}
	next.set(p.key, withState(e, finished, encodeAnswer(p.answer, s.opts.MaxInlineBody), now))
	return staged, nil
}

func (s *shard) applyRelease(next *bucket, e *entry, p *op) (result, []Action) {
	if e != nil && e.Attempt == string(p.attempt) {
		ran := e.State == finished
		invariant.Check(!ran, invariant.NotRunDidNotRun, "attempt %q of key %v was released after it ran", p.attempt, p.key)
		if ran {
			return completed, s.recorded(p, true)
		}
		next.set(p.key, nil)
		return staged, nil
	}
	if p.sent && next.version == p.expect {
		return staged, nil // an earlier write may still take effect: fence it off
	}
	return completed, s.recorded(p, false)
}

// writeTookEffect completes a staged op whose write has taken effect.
func (s *shard) writeTookEffect(p *op, now time.Time) []Action {
	switch p.kind {
	case opClaim:
		return s.grant(p, now)
	case opSeal:
		s.sealing = nil
		return nil
	}
	return s.recorded(p, false)
}
