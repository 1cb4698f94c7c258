package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// callerRetryDelay is the time after which a caller may repeat a request that is still
// running or whose record can't be read.
const callerRetryDelay = time.Second

func errConflict(k Key) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeConflict,
		"idempotency key %q of workspace %q was used with a different request body", k.Name, k.Workspace)
}

func errUnconfirmed(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnconfirmed,
		"request with idempotency key %q may have run; its outcome is not known", k.Name)
}

func errRunning(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnconfirmed,
		"request with idempotency key %q is still running", k.Name).After(callerRetryDelay)
}

// errStore returns the error for a claim that could not be stored. The request may have
// run if another attempt of its key is known.
func (s *shard) errStore(p *op, now time.Time) *verdict.Error {
	v := verdict.NotRun
	if s.otherAttemptKnown(p, now) {
		v = verdict.MayHaveRun
	}
	wait := max(s.retryAt.Sub(now), s.opts.RetryMax)
	return verdict.New(v, verdict.CodeStore, "claim of idempotency key %q could not be stored", p.key.Name).After(wait)
}

// errWaitExpired returns the reply kind and the error for a claim that has waited too
// long: for another attempt if it was parked and the store is available, and for the
// store otherwise.
func (s *shard) errWaitExpired(p *op, now time.Time) (ReplyKind, *verdict.Error) {
	if p.wasParked && !s.storeDown() && s.otherAttemptKnown(p, now) {
		return Wait, errRunning(p.key)
	}
	return Unavailable, s.errStore(p, now)
}

// otherAttemptKnown reports whether another attempt of the claim's key is known, or may
// be recorded in a segment.
func (s *shard) otherAttemptKnown(p *op, now time.Time) bool {
	if e := s.cachedEntry(p.key, now); e != nil && e.Attempt != string(p.attempt) {
		return true
	}
	return s.state != nil && len(s.state.segmentsOf(p.key, now, s.opts)) > 0
}

// grant grants a durable claim. If it is too late to dispatch its request, the claim is
// removed instead.
func (s *shard) grant(p *op, now time.Time) []Action {
	by := p.arrivedAt.Add(s.opts.MaxDispatchDelay)
	if p.claim.Deadline.Before(by) {
		by = p.claim.Deadline
	}
	if p.noReply || !now.Before(by) {
		return s.refuse(p, Unavailable, s.errStore(p, now))
	}
	other, running := s.running[p.key]
	invariant.Check(!running, invariant.OrderEffectAtMostOnce,
		"key %v was granted to attempt %q while %q runs", p.key, p.attempt, other)
	s.running[p.key] = p.attempt
	return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Granted, DispatchBy: by}}
}

// refuse replies to a claim that is not granted. If a write of the claim was sent, it is
// followed by one that removes the claim.
func (s *shard) refuse(p *op, kind ReplyKind, err *verdict.Error) []Action {
	if p.sent {
		s.queue = append(s.queue, &op{
			kind: opRelease, key: p.key, attempt: p.attempt, arrivedAt: p.arrivedAt,
			sent: true, expect: p.expect, noReply: true,
		})
	}
	if p.noReply {
		return nil
	}
	return []Action{s.reply(p, kind, err)}
}

func (s *shard) reply(p *op, kind ReplyKind, err *verdict.Error) Action {
	p.noReply = true
	return Reply{Key: p.key, Attempt: p.attempt, Kind: kind, Err: err}
}

// replay replies to a claim with the recorded response.
func (s *shard) replay(p *op, e *entry) []Action {
	if p.noReply {
		return nil
	}
	if hasExternalBody(e.Answer) {
		return s.readBody(p, e)
	}
	return s.replayWith(p, e, e.Answer.Body)
}

func (s *shard) replayWith(p *op, e *entry, body []byte) []Action {
	if p.noReply {
		return nil
	}
	p.noReply = true
	d := DigestOf(body)
	intact := e.Answer.Omitted || string(d[:]) == string(e.Answer.Digest)
	invariant.Check(intact, invariant.AnswerMatchesRequest, "recorded response of key %v does not match its digest", p.key)
	if !intact {
		return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Wait, Err: errBodyUnreadable(p.key)}}
	}
	return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Replayed, Answer: decodeAnswer(e.Answer, body)}}
}

// errBodyUnreadable returns the error for a request that ran, but whose recorded response
// can't be read now.
func errBodyUnreadable(k Key) *verdict.Error {
	return verdict.New(verdict.Ran, verdict.CodeStore,
		"request with idempotency key %q ran; its recorded response can't be read", k.Name).After(callerRetryDelay)
}

// errRecordUnreadable returns the error for a key whose record can't be read now.
func errRecordUnreadable(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeStore,
		"record of idempotency key %q can't be read", k.Name).After(callerRetryDelay)
}

// recorded completes an op that records an outcome or removes a claim.
func (s *shard) recorded(p *op, stale bool) []Action {
	if s.running[p.key] == p.attempt {
		delete(s.running, p.key)
	}
	if p.noReply {
		return nil
	}
	p.noReply = true
	return []Action{Recorded{Key: p.key, Attempt: p.attempt, Stale: stale}}
}
