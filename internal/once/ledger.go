package once

import (
	"fmt"
	"sort"
	"time"
	"unicode/utf8"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Ledger is the state machine of all buckets that a node uses. It does no I/O and is not
// safe for concurrent use.
type Ledger struct {
	opts      Options
	shards    map[int]*shard
	goneNodes map[ident.NodeID]ident.Incarnation // latest incarnation reported as ended
	calls     map[CallID]call
	lastID    CallID
	step      uint64 // number of events handled
}

// call is the purpose of a store call in flight. It reads or writes the bucket object,
// unless objectOp is the op whose object it stores, bodyOp the claim for which it reads
// a response body, or read the segment read that it belongs to.
type call struct {
	shard    *shard
	objectOp *op
	bodyOp   *op
	entry    *entry
	read     *segmentRead
}

// New returns a ledger that has not read any bucket yet.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:      opts.withDefaults(),
		shards:    make(map[int]*shard),
		goneNodes: make(map[ident.NodeID]ident.Incarnation),
		calls:     make(map[CallID]call),
	}
}

// BucketOf returns the number of the bucket that a key belongs to, by which the node that
// should handle its requests is chosen.
func (l *Ledger) BucketOf(k Key) int {
	return int(k.hash() % uint64(l.opts.Buckets))
}

// BucketObject returns the name of the object of bucket n.
func (l *Ledger) BucketObject(n int) platformapi.Key {
	return platformapi.Key(fmt.Sprintf("%sbucket/%05d", l.opts.Prefix, n))
}

// segmentObject returns the name of a new segment. The name is used by no other
// incarnation of a node and by no other seal, so that an abandoned segment can be
// deleted. The digest distinguishes two processes that were started with the same
// incarnation number.
func (l *Ledger) segmentObject(value []byte) platformapi.Key {
	l.lastID++
	d := DigestOf(value)
	return platformapi.Key(fmt.Sprintf("%ssegment/%s/%d/%d-%x", l.opts.Prefix, l.opts.Node, l.opts.Incarnation, l.lastID, d[:8]))
}

func (l *Ledger) bodyObject(attempt string) platformapi.Key {
	return l.opts.Prefix + platformapi.Key("body/"+attempt)
}

// Step handles an event and returns the actions to be carried out.
func (l *Ledger) Step(now time.Time, ev Event) []Action {
	l.step++
	switch ev := ev.(type) {
	case Claim:
		return l.claim(now, ev)
	case Outcome:
		s := l.shard(ev.Key, now)
		s.recordOutcome(ev, outcomeOpKind(ev.Verdict), now)
		return s.issueCalls(now)
	case Withdraw:
		s := l.shard(ev.Key, now)
		acts := s.withdraw(ev.Key, ev.Attempt, now)
		return append(acts, s.issueCalls(now)...)
	case NodeGone:
		l.goneNodes[ev.Node] = max(l.goneNodes[ev.Node], ev.Incarnation)
		return nil
	case StoreResult:
		return l.storeResult(now, ev)
	default:
		return l.tick(now)
	}
}

func outcomeOpKind(v verdict.Verdict) opKind {
	switch v {
	case verdict.Ran:
		return opFinish
	case verdict.NotRun:
		return opRelease
	default:
		return opUnconfirmed
	}
}

func (l *Ledger) claim(now time.Time, c Claim) []Action {
	if err := checkKey(c.Key); err != nil {
		e := verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, err)
		return []Action{Reply{Key: c.Key, Attempt: c.Attempt, Kind: Unavailable, Err: e}}
	}
	s := l.shard(c.Key, now)
	acts := s.claim(c, now)
	return append(acts, s.issueCalls(now)...)
}

func checkKey(k Key) error {
	if k.Name == "" || len(k.Name) > MaxKeyBytes || !utf8.ValidString(k.Name) {
		return fmt.Errorf("idempotency key %q is not 1 to %d bytes of UTF-8", k.Name, MaxKeyBytes)
	}
	return nil
}

func (l *Ledger) shard(k Key, now time.Time) *shard {
	n := l.BucketOf(k)
	s := l.shards[n]
	if s == nil {
		s = &shard{opts: &l.opts, ledger: l, object: l.BucketObject(n), running: make(map[Key]ident.AttemptID)}
		l.shards[n] = s
	}
	s.lastUsed = now
	return s
}

func (l *Ledger) newCall(c call) CallID {
	l.lastID++
	l.calls[l.lastID] = c
	return l.lastID
}

// storeResult handles the result of a store call. The result of an unknown call is
// ignored.
func (l *Ledger) storeResult(now time.Time, r StoreResult) []Action {
	c, ok := l.calls[r.Call]
	if !ok {
		return nil
	}
	delete(l.calls, r.Call)
	s := c.shard
	var acts []Action
	switch {
	case c.objectOp != nil:
		acts = s.objectPutDone(c.objectOp, r, now)
	case c.read != nil:
		acts = s.segmentReadDone(c.read, r, now)
	case c.bodyOp != nil:
		acts = s.bodyReadDone(c, r)
	default:
		acts = s.bucketCallDone(r, now)
	}
	return append(acts, s.issueCalls(now)...)
}

func (l *Ledger) tick(now time.Time) []Action {
	var acts []Action
	for _, n := range l.bucketNumbers() {
		s := l.shards[n]
		acts = append(acts, s.expireWaitingClaims(now)...)
		s.poll(now)
		acts = append(acts, s.issueCalls(now)...)
		if s.idle(now) {
			delete(l.shards, n)
		}
	}
	return acts
}

// Next returns when the next Tick is due, or the zero time if none is.
func (l *Ledger) Next() time.Time {
	var first time.Time
	for _, s := range l.shards {
		if t := s.next(); !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// Pending returns the number of granted claims without outcome, of waiting claims, and
// of changes that are not durable yet.
func (l *Ledger) Pending() int {
	n := 0
	for _, s := range l.shards {
		n += s.pending()
	}
	return n
}

func (l *Ledger) bucketNumbers() []int {
	all := make([]int, 0, len(l.shards))
	for n := range l.shards {
		all = append(all, n)
	}
	sort.Ints(all)
	return all
}
