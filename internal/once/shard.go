package once

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// downAfter is the number of failed store calls in a row after which claims are
// refused at once.
const downAfter = 3

// shard is the state machine of one bucket. At most one call for the bucket
// object is under way; changes that arrive meanwhile go into the next write.
type shard struct {
	opts   *Options
	ledger *Ledger
	object platformapi.Key

	base  *bucket // last state known to be durable; nil before the first read
	asOf  uint64  // base is not older than this step of the ledger
	stale bool    // base must be read again before the next write

	queue   []*op // to be applied
	parked  []*op // claims that wait for another attempt
	toStore []*op // ops whose object is to be stored first
	reads   []*segmentRead
	sealing *op // the opSeal under way
	cache   []*segmentEntries
	live    map[Key]ident.AttemptID

	storing int // objects of ops under way

	flight *flight // the bucket call under way

	fails   int       // failed calls in a row
	retryAt time.Time // no bucket call before this
	pollAt  time.Time // next look at parked claims
	pollGap time.Duration
	used    time.Time
}

// flight is a bucket call under way.
type flight struct {
	call CallID
	step uint64            // when it was sent
	next *bucket           // the state being written; nil for a read
	ops  []*op             // staged in next
	gone []platformapi.Key // objects that nothing refers to after the write
}

// seenSince tells whether base was read in that step of the ledger or later.
func (s *shard) seenSince(step uint64) bool { return !s.stale && s.asOf >= step }

// isMine tells whether the entry is the claim of an attempt that runs here or
// that the write of next holds: nobody else knows more of it.
func (s *shard) isMine(e *entry) bool {
	k := entryKey(e)
	return s.base.entries[k] != e || s.live[k] == ident.AttemptID(e.Attempt)
}

// isLost tells whether a claim's holder is taken for gone.
func (s *shard) isLost(e *entry, now time.Time) bool {
	if now.UnixNano() > e.ExpiresAt {
		return true
	}
	if s.isMine(e) {
		return false
	}
	earlier := e.Node == string(s.opts.Node) && e.Incarnation < uint64(s.opts.Incarnation)
	gone, ok := s.ledger.gone[ident.NodeID(e.Node)]
	return earlier || (ok && e.Incarnation <= uint64(gone))
}

func (s *shard) down() bool { return s.fails >= downAfter }

// claim takes a claim. Where the store is down it is refused at once, unless the
// answer is known.
func (s *shard) claim(c Claim, now time.Time) []Action {
	p := &op{kind: opClaim, key: c.Key, attempt: c.Attempt, claim: c, since: now, step: s.ledger.step}
	if s.down() && now.Before(s.retryAt) {
		if e := s.known(c.Key, now); e != nil && e.State == finished && sameBody(e, c.Body) {
			return s.replay(p, e)
		}
		return s.refuse(p, Unavailable, s.errStore(p, now))
	}
	s.queue = append(s.queue, p)
	return nil
}

func (s *shard) known(k Key, now time.Time) *entry {
	if s.base == nil {
		return nil
	}
	return s.base.get(k, now, s.opts)
}

// end takes an outcome.
func (s *shard) end(o Outcome, kind opKind, now time.Time) {
	p := &op{kind: kind, key: o.Key, attempt: o.Attempt, answer: o.Answer, since: now}
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

// pump issues the next store call where one is due.
func (s *shard) pump(now time.Time) []Action {
	s.maybeSeal()
	acts := s.storeObjects(now)
	for s.flight == nil && s.hasWork(now) && !now.Before(s.retryAt) {
		if s.base == nil || s.stale {
			return append(acts, s.read())
		}
		acts = append(acts, s.write(now)...)
	}
	return acts
}

// hasWork tells whether an op waits for a write. A seal goes with the next write
// of another op, or is written once the bucket isn't used any more.
func (s *shard) hasWork(now time.Time) bool {
	for _, p := range s.queue {
		if p.kind != opSeal {
			return true
		}
	}
	return len(s.queue) > 0 && now.After(s.used.Add(s.opts.IdleAfter))
}

func (s *shard) read() Action {
	s.flight = &flight{call: s.ledger.newCall(call{shard: s}), step: s.ledger.step}
	return StoreGet{Call: s.flight.call, Object: s.object}
}

// write applies the queue to a copy of the state and sends it where it changed.
func (s *shard) write(now time.Time) []Action {
	next := s.base.clone()
	f := &flight{step: s.ledger.step, next: next, gone: s.expire(next, now)}
	queue := s.queue
	s.queue = nil
	var acts []Action
	changed := false
	for _, p := range queue {
		before := next.entries[p.key]
		res, done := s.apply(next, p, now)
		acts = append(acts, done...)
		changed = changed || next.entries[p.key] != before
		acts = append(acts, s.file(f, p, res, now)...)
	}
	if !changed && len(f.ops) == 0 {
		return acts
	}
	value, err := next.encode()
	if err != nil {
		panic(err) // strings of an entry were checked when it was claimed
	}
	for _, p := range f.ops {
		p.sent, p.expect = true, s.base.version
	}
	f.call = s.ledger.newCall(call{shard: s})
	s.flight = f
	return append(acts, StorePut{Call: f.call, Object: s.object, Value: value, Expect: s.base.version})
}

// file puts an applied op where it waits next.
func (s *shard) file(f *flight, p *op, res result, now time.Time) []Action {
	switch res {
	case staged:
		f.ops = append(f.ops, p)
	case parked:
		s.park(p, now)
	case reread:
		s.stale = true
		s.queue = append(s.queue, p)
	case fetch:
		return s.readSegment(f.next, p, now)
	case ended:
	}
	return nil
}
