package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// readBucket returns the state that a read found.
func readBucket(r StoreResult) (*bucket, error) {
	switch {
	case r.Err == nil:
		return decodeBucket(r.Object)
	case errors.Is(r.Err, platformapi.ErrNotFound):
		return newBucket(), nil
	default:
		return nil, r.Err
	}
}

// landed takes the result of the bucket call under way.
func (s *shard) landed(r StoreResult, now time.Time) []Action {
	f := s.flight
	s.flight = nil
	if f.next == nil {
		return s.landedRead(f, r, now)
	}
	return s.landedWrite(f, r, now)
}

func (s *shard) landedRead(f *flight, r StoreResult, now time.Time) []Action {
	b, err := readBucket(r)
	if err != nil || (s.base != nil && b.version < s.base.version) {
		return s.failed(now)
	}
	s.recovered()
	s.base, s.asOf, s.stale = b, f.step, false
	s.unpark()
	return nil
}

func (s *shard) landedWrite(f *flight, r StoreResult, now time.Time) []Action {
	switch {
	case r.Err == nil:
		s.recovered()
		return s.committed(f, r.Object.Version, now)
	case errors.Is(r.Err, platformapi.ErrConflict):
		s.recovered()
		s.stale = true
		s.requeue(f.ops)
		return nil
	case didNothing(r.Err):
		s.requeue(f.ops)
		return s.failed(now)
	default: // the write may have taken effect
		s.stale = true
		s.requeue(f.ops)
		return s.failed(now)
	}
}

// didNothing tells whether a failed write is known to have had no effect.
func didNothing(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable) || errors.Is(err, platformapi.ErrThrottled) ||
		errors.Is(err, platformapi.ErrTooLarge)
}

func (s *shard) committed(f *flight, v platformapi.Version, now time.Time) []Action {
	s.base, s.asOf, s.stale = f.next, f.step, false
	s.base.version = v
	s.pollGap = 0
	var acts []Action
	for _, p := range f.ops {
		acts = append(acts, s.durable(p, now)...)
	}
	for _, o := range f.gone {
		acts = append(acts, StoreDelete{Object: o})
	}
	s.unpark()
	return acts
}

// requeue puts ops back in front. A claim that nobody waits for any more becomes
// a release.
func (s *shard) requeue(ops []*op) {
	queue := make([]*op, 0, len(ops)+len(s.queue))
	for _, p := range ops {
		if p.kind == opClaim && p.silent {
			p.kind = opRelease
		}
		queue = append(queue, p)
	}
	s.queue = append(queue, s.queue...)
}

func (s *shard) recovered() {
	s.fails = 0
	s.retryAt = time.Time{}
}

// failed backs off, and refuses all claims where the store is down.
func (s *shard) failed(now time.Time) []Action {
	s.retryAt = now.Add(min(s.opts.RetryMin<<min(s.fails, 16), s.opts.RetryMax))
	s.fails++
	if !s.down() {
		return nil
	}
	return s.refuseClaims(now, func(*op) bool { return true })
}
