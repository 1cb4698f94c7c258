package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// readBucket returns the bucket from the result of a read; it is empty if the object does
// not exist.
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

// bucketCallDone handles the result of the bucket call in flight.
func (s *shard) bucketCallDone(r StoreResult, now time.Time) []Action {
	f := s.inFlight
	s.inFlight = nil
	if f.next == nil {
		return s.bucketReadDone(f, r, now)
	}
	return s.bucketWriteDone(f, r, now)
}

func (s *shard) bucketReadDone(f *bucketCall, r StoreResult, now time.Time) []Action {
	b, err := readBucket(r)
	if err != nil || (s.state != nil && b.version < s.state.version) {
		return s.callFailed(now)
	}
	s.callSucceeded()
	s.state, s.stateStep, s.stale = b, f.step, false
	s.unpark()
	return nil
}

func (s *shard) bucketWriteDone(f *bucketCall, r StoreResult, now time.Time) []Action {
	switch {
	case r.Err == nil:
		s.callSucceeded()
		return s.committed(f, r.Object.Version, now)
	case errors.Is(r.Err, platformapi.ErrConflict):
		s.callSucceeded()
		s.stale = true
		s.requeue(f.ops)
		return nil
	case hadNoEffect(r.Err):
		s.requeue(f.ops)
		return s.callFailed(now)
	default: // the write may have taken effect
		s.stale = true
		s.requeue(f.ops)
		return s.callFailed(now)
	}
}

// hadNoEffect reports whether a failed write is known to have had no effect.
func hadNoEffect(err error) bool {
	return errors.Is(err, platformapi.ErrUnavailable) || errors.Is(err, platformapi.ErrThrottled) ||
		errors.Is(err, platformapi.ErrTooLarge)
}

func (s *shard) committed(f *bucketCall, v platformapi.Version, now time.Time) []Action {
	s.state, s.stateStep, s.stale = f.next, f.step, false
	s.state.version = v
	s.pollDelay = 0
	var acts []Action
	for _, p := range f.ops {
		acts = append(acts, s.writeTookEffect(p, now)...)
	}
	for _, o := range f.unreferenced {
		acts = append(acts, StoreDelete{Object: o})
	}
	s.unpark()
	return acts
}

// requeue puts ops back at the front of the queue. A claim whose caller no longer waits
// becomes a release.
func (s *shard) requeue(ops []*op) {
	queue := make([]*op, 0, len(ops)+len(s.queue))
	for _, p := range ops {
		if p.kind == opClaim && p.noReply {
			p.kind = opRelease
		}
		queue = append(queue, p)
	}
	s.queue = append(queue, s.queue...)
}

func (s *shard) callSucceeded() {
	s.failures = 0
	s.retryAt = time.Time{}
}

// callFailed starts the backoff after a failed store call, and refuses all waiting claims
// if the store is down.
func (s *shard) callFailed(now time.Time) []Action {
	s.retryAt = now.Add(min(s.opts.RetryMin<<min(s.failures, 16), s.opts.RetryMax))
	s.failures++
	if !s.storeDown() {
		return nil
	}
	return s.refuseClaims(now, func(*op) bool { return true })
}
