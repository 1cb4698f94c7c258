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

// Ledger is the state machine of all buckets that a node works on. It does no
// I/O and is not safe for concurrent use.
type Ledger struct {
	opts   Options
	shards map[int]*shard
	gone   map[ident.NodeID]ident.Incarnation
	calls  map[CallID]call
	last   CallID
	step   uint64 // counts the events taken
}

// call tells what a store call under way is for: the bucket object, unless store
// names the op whose object it stores, fetch the op whose large body it reads, or
// read the segment that it reads.
type call struct {
	shard *shard
	store *op
	fetch *op
	entry *entry
	read  *segmentRead
}

// New returns a ledger without state.
func New(opts Options) *Ledger {
	return &Ledger{
		opts:   opts.withDefaults(),
		shards: make(map[int]*shard),
		gone:   make(map[ident.NodeID]ident.Incarnation),
		calls:  make(map[CallID]call),
	}
}

// BucketOf returns the number of the bucket that a key belongs to, for the choice
// of the node that should work on it.
func (l *Ledger) BucketOf(k Key) int {
	return int(k.hash() % uint64(l.opts.Buckets))
}

// BucketObject returns the name of a bucket's object.
func (l *Ledger) BucketObject(n int) platformapi.Key {
	return platformapi.Key(fmt.Sprintf("%sbucket/%05d", l.opts.Prefix, n))
}

// segmentObject returns a name for a new segment. No other life of a node, and no
// other seal, uses it, so that whoever gives a segment up may delete it. The
// digest tells two lives apart that were given the same incarnation.
func (l *Ledger) segmentObject(value []byte) platformapi.Key {
	l.last++
	d := DigestOf(value)
	return platformapi.Key(fmt.Sprintf("%ssegment/%s/%d/%d-%x", l.opts.Prefix, l.opts.Node, l.opts.Incarnation, l.last, d[:8]))
}

func (l *Ledger) bodyObject(attempt string) platformapi.Key {
	return l.opts.Prefix + platformapi.Key("body/"+attempt)
}

// Step takes an event and returns what is to be done.
func (l *Ledger) Step(now time.Time, ev Event) []Action {
	l.step++
	switch ev := ev.(type) {
	case Claim:
		return l.claim(now, ev)
	case Outcome:
		s := l.shard(ev.Key, now)
		s.end(ev, endKind(ev.Verdict), now)
		return s.pump(now)
	case Withdraw:
		s := l.shard(ev.Key, now)
		acts := s.withdraw(ev.Key, ev.Attempt, now)
		return append(acts, s.pump(now)...)
	case NodeGone:
		l.gone[ev.Node] = max(l.gone[ev.Node], ev.Incarnation)
		return nil
	case StoreResult:
		return l.storeResult(now, ev)
	default:
		return l.tick(now)
	}
}

func endKind(v verdict.Verdict) opKind {
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
	return append(acts, s.pump(now)...)
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
		s = &shard{opts: &l.opts, ledger: l, object: l.BucketObject(n), live: make(map[Key]ident.AttemptID)}
		l.shards[n] = s
	}
	s.used = now
	return s
}

func (l *Ledger) newCall(c call) CallID {
	l.last++
	l.calls[l.last] = c
	return l.last
}

// storeResult takes the result of a call. One that is no longer waited for is
// dropped.
func (l *Ledger) storeResult(now time.Time, r StoreResult) []Action {
	c, ok := l.calls[r.Call]
	if !ok {
		return nil
	}
	delete(l.calls, r.Call)
	s := c.shard
	var acts []Action
	switch {
	case c.store != nil:
		acts = s.objectStored(c.store, r, now)
	case c.read != nil:
		acts = s.segmentRead(c.read, r, now)
	case c.fetch != nil:
		acts = s.bodyFetched(c, r)
	default:
		acts = s.landed(r, now)
	}
	return append(acts, s.pump(now)...)
}

func (l *Ledger) tick(now time.Time) []Action {
	var acts []Action
	for _, n := range l.numbers() {
		s := l.shards[n]
		acts = append(acts, s.expireWaits(now)...)
		s.poll(now)
		acts = append(acts, s.pump(now)...)
		if s.idle(now) {
			delete(l.shards, n)
		}
	}
	return acts
}

// Next returns when the next Tick is due; zero where none is.
func (l *Ledger) Next() time.Time {
	var first time.Time
	for _, s := range l.shards {
		if t := s.next(); !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// Pending returns the number of granted claims without outcome and of changes that
// aren't durable yet.
func (l *Ledger) Pending() int {
	n := 0
	for _, s := range l.shards {
		n += s.pending()
	}
	return n
}

func (l *Ledger) numbers() []int {
	all := make([]int, 0, len(l.shards))
	for n := range l.shards {
		all = append(all, n)
	}
	sort.Ints(all)
	return all
}
