package peer

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

const markBuckets = 64

type markKey struct {
	kind    MarkKind
	subject string
}

func (k markKey) compare(o markKey) int {
	return cmp.Or(cmp.Compare(k.kind, o.kind), strings.Compare(k.subject, o.subject))
}

type mark struct {
	markKey
	number       uint64
	value        []byte
	created      time.Duration // by this node's clock; negative if before its start
	rounds       int           // intervals since it was stored in recent
	remoteFanout remoteFanout  // to other data centres, in the first rumourRounds intervals
	hashed       bool          // included in the hashes of the set
	hash         uint64
}

func (m *mark) bucket() int {
	return int(xxhash.Sum64String(m.subject) % markBuckets)
}

func (m *mark) rehash() {
	b := make([]byte, 0, len(m.subject)+len(m.value)+9)
	b = append(b, byte(m.kind))
	b = binary.LittleEndian.AppendUint64(b, m.number)
	b = append(b, m.subject...)
	b = append(b, 0)
	b = append(b, m.value...)
	m.hash = xxhash.Sum64(b)
}

func (m *mark) toMark() Mark {
	return Mark{Kind: m.kind, Subject: m.subject, Number: m.number, Value: m.value}
}

// remoteFanout is the set of delegates of other data centres to which this node
// sends a mark.
type remoteFanout uint8

const (
	fanoutNone remoteFanout = iota
	fanoutOne               // one of each: received within the data centre by this delegate
	fanoutAll               // all of them: this node is the origin
)

// markSet stores the marks and the hashes for comparing them with those of another
// node. A hash is the XOR of the hashes of its marks.
type markSet struct {
	byKey   map[markKey]*mark
	hash    uint64
	buckets [markBuckets]uint64
	recent  []*mark // in order of arrival
}

// put merges a mark and returns the stored one if it is new or changed, else nil.
func (s *markSet) put(in Mark, created time.Duration) *mark {
	k := markKey{in.Kind, in.Subject}
	m, ok := s.byKey[k]
	if !ok {
		m = &mark{markKey: k, number: in.Number, value: in.Value, created: created}
		s.byKey[k] = m
		s.refresh(m)
		return m
	}
	before := m.number
	order := cmp.Or(cmp.Compare(in.Number, m.number), bytes.Compare(in.Value, m.value))
	if order == 0 {
		m.created = min(m.created, created)
	}
	if order <= 0 {
		return nil
	}
	s.excludeFromHash(m)
	m.number, m.value, m.created = in.Number, in.Value, created
	invariant.Check(m.number >= before, invariant.LeavingMarkGrows,
		"number of mark kind %d, subject %q decreases from %d to %d", m.kind, m.subject, before, m.number)
	s.refresh(m)
	return m
}

func (s *markSet) refresh(m *mark) {
	m.rehash()
	m.hashed = true
	s.toggleHash(m)
	m.rounds = 0
	if !slices.Contains(s.recent, m) {
		s.recent = append(s.recent, m)
	}
}

func (s *markSet) excludeFromHash(m *mark) {
	if m.hashed {
		m.hashed = false
		s.toggleHash(m)
	}
}

func (s *markSet) toggleHash(m *mark) {
	s.hash ^= m.hash
	s.buckets[m.bucket()] ^= m.hash
}

// endRound increments the age of the recent marks by one interval and removes
// those that are no longer recent.
func (s *markSet) endRound() {
	for _, m := range s.recent {
		m.rounds++
	}
	s.recent = slices.DeleteFunc(s.recent, func(m *mark) bool { return m.rounds > recentIntervals })
}

// rumours returns the marks that are new enough to be sent without request.
func (s *markSet) rumours() []*mark {
	var out []*mark
	for _, m := range s.recent {
		if m.rounds < rumourRounds {
			out = append(out, m)
		}
	}
	return out
}

// remoteRumours returns the rumours that go to one delegate and those that go to
// all delegates of each other data centre.
func (s *markSet) remoteRumours() (one, all []*mark) {
	for _, m := range s.rumours() {
		switch m.remoteFanout {
		case fanoutOne:
			one = append(one, m)
		case fanoutAll:
			all = append(all, m)
		}
	}
	return one, all
}

// expire removes the marks past their retention. From markExpiryMargin before that a
// mark is excluded from the hashes, so that nodes which remove it at different
// moments still have equal hashes.
func (s *markSet) expire(clock time.Duration, retention func(MarkKind) time.Duration) {
	for k, m := range s.byKey {
		limit := retention(m.kind)
		if limit == 0 {
			continue
		}
		age := clock - m.created
		if age > limit-markExpiryMargin {
			s.excludeFromHash(m)
		}
		if age > limit {
			delete(s.byKey, k)
			s.recent = slices.DeleteFunc(s.recent, func(r *mark) bool { return r == m })
		}
	}
}

// differing returns the hashed marks of the buckets whose hashes differ from those
// of a peer, ordered by key.
func (s *markSet) differing(peerBuckets []uint64) []*mark {
	var out []*mark
	for _, m := range s.byKey {
		b := m.bucket()
		if m.hashed && b < len(peerBuckets) && peerBuckets[b] != s.buckets[b] {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *mark) int { return a.compare(b.markKey) })
	return out
}

func (s *markSet) sorted() []*mark {
	out := make([]*mark, 0, len(s.byKey))
	for _, m := range s.byKey {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *mark) int { return a.compare(b.markKey) })
	return out
}
