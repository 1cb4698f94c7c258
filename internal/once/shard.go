package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxFailures is the number of consecutive failed store calls after which the store is
// considered down and claims are refused immediately.
const maxFailures = 3

// shard is the state machine of one bucket. At most one call for the bucket object is in
// flight; changes that arrive meanwhile are part of the next write.
type shard struct {
	opts   *Options
	ledger *Ledger
	object platformapi.Key

	state     *bucket // latest state known to be durable; nil before the first read
	stateStep uint64  // step of the ledger in which the call that gave state was sent
	stale     bool    // state must be read again before the next write

	queue   []*op // ops to be applied
	parked  []*op // claims that wait for another attempt of their key
	toStore []*op // ops whose object has to be stored first
	reads   []*segmentRead
	sealing *op // the seal in progress; nil if there is none
	cache   []*segment
	running map[Key]ident.AttemptID // granted claims without outcome

	objectPuts int // number of object writes in flight

	inFlight *bucketCall // the bucket call in flight; nil if there is none

	failures  int           // consecutive failed calls
	retryAt   time.Time     // no bucket call and no object write before this
	pollAt    time.Time     // earliest time of the next read for parked claims
	pollDelay time.Duration // current interval of these reads
	lastUsed  time.Time
}

// bucketCall is a read or write of the bucket object in flight.
type bucketCall struct {
	call         CallID
	step         uint64            // step of the ledger in which it was sent
	next         *bucket           // the state being written; nil for a read
	ops          []*op             // staged in next
	unreferenced []platformapi.Key // objects that are unreferenced after the write
}

// readSince reports whether the call that gave state was sent in the given step of the
// ledger or later.
func (s *shard) readSince(step uint64) bool { return !s.stale && s.stateStep >= step }

// isLocal reports whether the entry belongs to an attempt that runs on this node, or
// differs from the one in state, as the write being prepared changed it or it comes from
// a segment. No other node can know more about such an entry, so the bucket need not be
// read again.
func (s *shard) isLocal(e *entry) bool {
	k := entryKey(e)
	return s.state.entries[k] != e || s.running[k] == ident.AttemptID(e.Attempt)
}

// holderGone reports whether the holder of a claim is presumed dead: the claim has
// expired, or the holder's incarnation has ended. The latter is ignored for attempts that
// run on this node.
func (s *shard) holderGone(e *entry, now time.Time) bool {
	if now.UnixNano() > e.ExpiresAt {
		return true
	}
	if s.isLocal(e) {
		return false
	}
	earlier := e.Node == string(s.opts.Node) && e.Incarnation < uint64(s.opts.Incarnation)
	gone, ok := s.ledger.goneNodes[ident.NodeID(e.Node)]
	return earlier || (ok && e.Incarnation <= uint64(gone))
}

func (s *shard) storeDown() bool { return s.failures >= maxFailures }

// claim queues a claim. While the store is down, it is refused immediately, unless a
// recorded response is in memory.
func (s *shard) claim(c Claim, now time.Time) []Action {
	p := &op{kind: opClaim, key: c.Key, attempt: c.Attempt, claim: c, arrivedAt: now, step: s.ledger.step}
	if s.storeDown() && now.Before(s.retryAt) {
		if e := s.cachedEntry(c.Key, now); e != nil && e.State == finished && sameBody(e, c.Body) {
			return s.replay(p, e)
		}
		return s.refuse(p, Unavailable, s.errStore(p, now))
	}
	s.queue = append(s.queue, p)
	return nil
}

func (s *shard) cachedEntry(k Key, now time.Time) *entry {
	if s.state == nil {
		return nil
	}
	return s.state.get(k, now, s.opts)
}

// recordOutcome queues an outcome. A large body is stored in its own object first, or
// omitted if it exceeds the maximum size of an object.
func (s *shard) recordOutcome(o Outcome, kind opKind, now time.Time) {
	p := &op{kind: kind, key: o.Key, attempt: o.Attempt, answer: o.Answer, arrivedAt: now}
	if kind != opFinish || len(o.Answer.Body) <= s.opts.MaxInlineBody {
		s.queue = append(s.queue, p)
		return
	}
	if len(o.Answer.Body) > platformapi.MaxObjectBytes {
		p.answer.Body, p.answer.Omitted = nil, true
		s.queue = append(s.queue, p)
		return
	}
	p.object, p.value = s.ledger.bodyObject(string(o.Attempt)), o.Answer.Body
	s.toStore = append(s.toStore, p)
}

// issueCalls returns the store calls that are due.
func (s *shard) issueCalls(now time.Time) []Action {
	s.maybeSeal()
	acts := s.storeObjects(now)
	for s.inFlight == nil && s.hasWork(now) && !now.Before(s.retryAt) {
		if s.state == nil || s.stale {
			return append(acts, s.read())
		}
		acts = append(acts, s.write(now)...)
	}
	return acts
}

// hasWork reports whether a write is due. A seal is part of the next write of another op,
// or is written once the bucket was not used for Options.IdleTimeout.
func (s *shard) hasWork(now time.Time) bool {
	for _, p := range s.queue {
		if p.kind != opSeal {
			return true
		}
	}
	return len(s.queue) > 0 && now.After(s.lastUsed.Add(s.opts.IdleTimeout))
}

func (s *shard) read() Action {
	s.inFlight = &bucketCall{call: s.ledger.newCall(call{shard: s}), step: s.ledger.step}
	return StoreGet{Call: s.inFlight.call, Object: s.object}
}

// write applies the queue to a copy of the state, and returns a write of the copy if it
// was changed.
func (s *shard) write(now time.Time) []Action {
	next := s.state.clone()
	f := &bucketCall{step: s.ledger.step, next: next, unreferenced: s.expire(next, now)}
	queue := s.queue
	s.queue = nil
	var acts []Action
	changed := false
	for _, p := range queue {
		before := next.entries[p.key]
		res, done := s.apply(next, p, now)
		acts = append(acts, done...)
		changed = changed || next.entries[p.key] != before
		acts = append(acts, s.enqueueApplied(f, p, res, now)...)
	}
	if !changed && len(f.ops) == 0 {
		return acts
	}
	value, err := next.encode()
	if err != nil {
		panic(err) // unreachable: the strings of an entry are checked when it is claimed
	}
	for _, p := range f.ops {
		p.sent, p.expect = true, s.state.version
	}
	f.call = s.ledger.newCall(call{shard: s})
	s.inFlight = f
	return append(acts, StorePut{Call: f.call, Object: s.object, Value: value, Expect: s.state.version})
}

// enqueueApplied adds an applied op to the list for its result.
func (s *shard) enqueueApplied(f *bucketCall, p *op, res result, now time.Time) []Action {
	switch res {
	case staged:
		f.ops = append(f.ops, p)
	case parked:
		s.park(p, now)
	case needsRead:
		s.stale = true
		s.queue = append(s.queue, p)
	case needsSegment:
		return s.readSegment(f.next, p, now)
	case completed:
	}
	return nil
}
