package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// waitAgain is when a caller may ask again for a request that still runs.
const waitAgain = time.Second

func errConflict(k Key) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeConflict,
		"idempotency key %q of workspace %q was used with another body", k.Name, k.Workspace)
}

func errUnconfirmed(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnconfirmed,
		"request with idempotency key %q may have run; its outcome is not known", k.Name)
}

func errRunning(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnconfirmed,
		"request with idempotency key %q is still running", k.Name).After(waitAgain)
}

// errStore refuses a claim that could not be stored. Where an earlier attempt of
// the same key is known, the request may have run through that one.
func (s *shard) errStore(p *op, now time.Time) *verdict.Error {
	v := verdict.NotRun
	if s.knowsOther(p, now) {
		v = verdict.MayHaveRun
	}
	wait := max(s.retryAt.Sub(now), s.opts.RetryMax)
	return verdict.New(v, verdict.CodeStore, "claim of idempotency key %q could not be stored", p.key.Name).After(wait)
}

// errExpired refuses a claim that has waited for too long: for another attempt
// where it met one and the store answers, for the store otherwise.
func (s *shard) errExpired(p *op, now time.Time) (ReplyKind, *verdict.Error) {
	if p.waited && !s.down() && s.knowsOther(p, now) {
		return Wait, errRunning(p.key)
	}
	return Unavailable, s.errStore(p, now)
}

// knowsOther tells whether another attempt of the claim's key is known, or may
// stand in a segment that was not read.
func (s *shard) knowsOther(p *op, now time.Time) bool {
	if e := s.known(p.key, now); e != nil && e.Attempt != string(p.attempt) {
		return true
	}
	return s.base != nil && len(s.base.segmentsOf(p.key, now, s.opts)) > 0
}

// grant answers a claim that is durable. Where it came too late to be
// dispatched, the claim is removed instead.
func (s *shard) grant(p *op, now time.Time) []Action {
	by := p.since.Add(s.opts.DispatchBound)
	if p.claim.Deadline.Before(by) {
		by = p.claim.Deadline
	}
	if p.silent || !now.Before(by) {
		return s.refuse(p, Unavailable, s.errStore(p, now))
	}
	other, running := s.live[p.key]
	invariant.Check(!running, invariant.OrderEffectAtMostOnce,
		"key %v was granted to attempt %q while %q runs", p.key, p.attempt, other)
	s.live[p.key] = p.attempt
	return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Granted, DispatchBy: by}}
}

// refuse answers a claim that isn't granted. A write of it that may have taken
// effect is undone.
func (s *shard) refuse(p *op, kind ReplyKind, err *verdict.Error) []Action {
	if p.sent {
		s.queue = append(s.queue, &op{
			kind: opRelease, key: p.key, attempt: p.attempt, since: p.since,
			sent: true, expect: p.expect, silent: true,
		})
	}
	if p.silent {
		return nil
	}
	return []Action{s.reply(p, kind, err)}
}

func (s *shard) reply(p *op, kind ReplyKind, err *verdict.Error) Action {
	p.silent = true
	return Reply{Key: p.key, Attempt: p.attempt, Kind: kind, Err: err}
}

// replay answers a claim with the recorded answer.
func (s *shard) replay(p *op, e *entry) []Action {
	if p.silent {
		return nil
	}
	if external(e.Answer) {
		return s.fetchBody(p, e)
	}
	return s.replayWith(p, e, e.Answer.Body)
}

func (s *shard) replayWith(p *op, e *entry, body []byte) []Action {
	if p.silent {
		return nil
	}
	p.silent = true
	d := DigestOf(body)
	whole := e.Answer.Omitted || string(d[:]) == string(e.Answer.Digest)
	invariant.Check(whole, invariant.AnswerMatchesRequest, "recorded answer of key %v has another digest", p.key)
	if !whole {
		return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Wait, Err: errBody(p.key)}}
	}
	return []Action{Reply{Key: p.key, Attempt: p.attempt, Kind: Replayed, Answer: givenAnswer(e.Answer, body)}}
}

// errBody tells that the request ran and that its answer can't be read now.
func errBody(k Key) *verdict.Error {
	return verdict.New(verdict.Ran, verdict.CodeStore,
		"request with idempotency key %q ran; its recorded answer can't be read", k.Name).After(waitAgain)
}

// errUnread tells that what is recorded of a key can't be read now.
func errUnread(k Key) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeStore,
		"record of idempotency key %q can't be read", k.Name).After(waitAgain)
}

// recorded answers an outcome.
func (s *shard) recorded(p *op, stale bool) []Action {
	if s.live[p.key] == p.attempt {
		delete(s.live, p.key)
	}
	if p.silent {
		return nil
	}
	p.silent = true
	return []Action{Recorded{Key: p.key, Attempt: p.attempt, Stale: stale}}
}
