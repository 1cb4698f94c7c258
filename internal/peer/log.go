package peer

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// scope is the extent to which a log is replicated.
type scope uint8

const (
	scopeLocal scope = iota // within the owner's data centre
	scopeFleet              // everywhere
)

type logKey struct {
	owner ident.NodeID
	scope scope
}

func (k logKey) compare(o logKey) int {
	return cmp.Or(strings.Compare(string(k.owner), string(o.owner)), cmp.Compare(k.scope, o.scope))
}

type entryKey struct {
	topic Topic
	key   string
}

type entry struct {
	entryKey
	seq     uint64
	value   []byte
	deleted bool
	written time.Duration // when it was stored, by this node's clock
}

// replica is this node's copy of a log. Its own logs are replicas too.
type replica struct {
	logKey
	incarnation ident.Incarnation
	seq         uint64
	// floor is the highest sequence number of a purged deletion; a copy below it
	// must be replaced by the complete log.
	floor       uint64
	entries     []*entry // by seq, ascending
	index       map[entryKey]*entry
	lastAdvance time.Duration // when it last advanced, by this node's clock
	// confirmed is set once it was received from its owner or has advanced.
	confirmed bool
	state     State
	id        uint64 // hash of key and incarnation
	bytes     int    // of keys and values

	// Decoded entries; nil if the log has none.
	summary    *peerv1.MemberSummary
	aggregates []*peerv1.Aggregate
}

func newReplica(k logKey, inc ident.Incarnation) *replica {
	r := &replica{logKey: k, index: make(map[entryKey]*entry)}
	r.setIncarnation(inc)
	return r
}

// setIncarnation sets the incarnation, which must not decrease, and the hash with it.
func (r *replica) setIncarnation(inc ident.Incarnation) {
	invariant.Check(inc >= r.incarnation, invariant.IncarnationGrows,
		"incarnation of node %q decreases from %d to %d", r.owner, r.incarnation, inc)
	r.incarnation = inc
	b := make([]byte, 0, len(r.owner)+9)
	b = append(b, r.owner...)
	b = append(b, byte(r.scope))
	b = binary.LittleEndian.AppendUint64(b, uint64(inc))
	r.id = xxhash.Sum64(b)
}

// allDeleted reports whether the log has no entries except deleted ones.
func (r *replica) allDeleted() bool {
	for _, e := range r.entries {
		if !e.deleted {
			return false
		}
	}
	return true
}

// clear removes all entries and resets the sequence number.
func (r *replica) clear() {
	r.entries, r.index, r.bytes = nil, make(map[entryKey]*entry), 0
	r.seq, r.floor = 0, 0
	r.summary, r.aggregates = nil, nil
}

// tag returns the hash that identifies the log in a digest with that salt.
func (r *replica) tag(salt uint32) uint32 {
	return saltedTag(r.id, salt)
}

func saltedTag(id uint64, salt uint32) uint32 {
	const goldenRatio = 0x9e3779b97f4a7c15
	h := (id ^ uint64(salt)) * goldenRatio
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return uint32(h >> 32)
}

// put stores an entry at the end of the log. Its seq must be above all others.
func (r *replica) put(e *entry) {
	r.remove(e.entryKey)
	r.index[e.entryKey] = e
	r.entries = append(r.entries, e)
	r.bytes += e.size()
	r.seq = max(r.seq, e.seq)
	r.decode(e.topic)
}

// decode updates the decoded entries of a topic. A malformed value counts as absent.
func (r *replica) decode(t Topic) {
	switch t {
	case TopicMember:
		r.summary = nil
		s := new(peerv1.MemberSummary)
		if b, ok := r.value(TopicMember, ""); ok && proto.Unmarshal(b, s) == nil {
			r.summary = s
		}
	case TopicAggregate:
		r.aggregates = nil
		for _, e := range r.entries {
			a := new(peerv1.Aggregate)
			if e.topic == TopicAggregate && !e.deleted && proto.Unmarshal(e.value, a) == nil {
				r.aggregates = append(r.aggregates, a)
			}
		}
	}
}

// lastSeq returns the sequence number of the newest entry.
func (r *replica) lastSeq() uint64 {
	if len(r.entries) == 0 {
		return 0
	}
	return r.entries[len(r.entries)-1].seq
}

func (r *replica) remove(k entryKey) {
	old, ok := r.index[k]
	if !ok {
		return
	}
	i, _ := slices.BinarySearchFunc(r.entries, old.seq, func(e *entry, seq uint64) int { return cmp.Compare(e.seq, seq) })
	r.entries = slices.Delete(r.entries, i, i+1)
	delete(r.index, k)
	r.bytes -= old.size()
	r.decode(k.topic)
}

// entriesAfter returns the entries with a higher sequence number.
func (r *replica) entriesAfter(seq uint64) []*entry {
	i, found := slices.BinarySearchFunc(r.entries, seq, func(e *entry, seq uint64) int { return cmp.Compare(e.seq, seq) })
	if found {
		i++
	}
	return r.entries[i:]
}

// purgeDeleted removes the deleted entries written before a time, and raises floor
// accordingly.
func (r *replica) purgeDeleted(before time.Duration) {
	for i := 0; i < len(r.entries); {
		e := r.entries[i]
		if !e.deleted || e.written >= before {
			i++
			continue
		}
		r.floor = max(r.floor, e.seq)
		r.remove(e.entryKey)
	}
}

func (r *replica) value(t Topic, key string) ([]byte, bool) {
	e, ok := r.index[entryKey{t, key}]
	if !ok || e.deleted {
		return nil, false
	}
	return e.value, true
}

// entryOverhead is the estimated encoded size in bytes of an entry's fields other than
// key and value.
const entryOverhead = 16

func (e *entry) size() int {
	return len(e.key) + len(e.value) + entryOverhead
}

// replicas is the set of logs, ordered by key.
type replicas struct {
	byKey map[logKey]*replica
	order []*replica
}

func (s *replicas) get(k logKey) *replica { return s.byKey[k] }

func (s *replicas) add(r *replica) {
	s.byKey[r.logKey] = r
	i, _ := s.find(r.logKey)
	s.order = slices.Insert(s.order, i, r)
}

func (s *replicas) drop(k logKey) {
	if i, found := s.find(k); found {
		s.order = slices.Delete(s.order, i, i+1)
		delete(s.byKey, k)
	}
}

func (s *replicas) find(k logKey) (int, bool) {
	return slices.BinarySearchFunc(s.order, k, func(r *replica, k logKey) int { return r.compare(k) })
}
