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
	number uint64
	value  []byte
	born   time.Duration // clock of this node; may be before its start
	rounds int           // intervals for which it has been kept in recent
	spread spread        // to other data centres, in its first rounds
	hashed bool          // counted in the hashes
	hash   uint64
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

func (m *mark) mark() Mark {
	return Mark{Kind: m.kind, Subject: m.subject, Number: m.number, Value: m.value}
}

// spread tells which delegates of other data centres this node tells of a mark.
type spread uint8

const (
	spreadNone spread = iota
	spreadOne         // one of each data centre: this node is the delegate
	spreadAll         // all of them: this node is the origin
)

// markSet holds the marks and the hashes by which two nodes compare theirs.
type markSet struct {
	byKey   map[markKey]*mark
	hash    uint64
	buckets [markBuckets]uint64
	recent  []*mark // in order of arrival
}

// put merges a mark and returns it where it was news.
func (s *markSet) put(in Mark, born time.Duration) *mark {
	k := markKey{in.Kind, in.Subject}
	m, ok := s.byKey[k]
	if !ok {
		m = &mark{markKey: k, number: in.Number, value: in.Value, born: born}
		s.byKey[k] = m
		s.renew(m)
		return m
	}
	before := m.number
	order := cmp.Or(cmp.Compare(in.Number, m.number), bytes.Compare(in.Value, m.value))
	if order == 0 {
		m.born = min(m.born, born)
	}
	if order <= 0 {
		return nil
	}
	s.unhash(m)
	m.number, m.value, m.born = in.Number, in.Value, born
	invariant.Check(m.number >= before, invariant.LeavingMarkGrows,
		"mark %d of %q falls from %d to %d", m.kind, m.subject, before, m.number)
	s.renew(m)
	return m
}

func (s *markSet) renew(m *mark) {
	m.rehash()
	m.hashed = true
	s.toggle(m)
	m.rounds = 0
	if !slices.Contains(s.recent, m) {
		s.recent = append(s.recent, m)
	}
}

func (s *markSet) unhash(m *mark) {
	if m.hashed {
		m.hashed = false
		s.toggle(m)
	}
}

func (s *markSet) toggle(m *mark) {
	s.hash ^= m.hash
	s.buckets[m.bucket()] ^= m.hash
}

// endRound counts one interval for the recent marks.
func (s *markSet) endRound() {
	for _, m := range s.recent {
		m.rounds++
	}
	s.recent = slices.DeleteFunc(s.recent, func(m *mark) bool { return m.rounds > youngIntervals })
}

// rumours returns the marks that are still sent unasked.
func (s *markSet) rumours() []*mark {
	var out []*mark
	for _, m := range s.recent {
		if m.rounds < rumourRounds {
			out = append(out, m)
		}
	}
	return out
}

// toSpread returns the rumours by whom they go to in other data centres.
func (s *markSet) toSpread() (one, all []*mark) {
	for _, m := range s.rumours() {
		switch m.spread {
		case spreadOne:
			one = append(one, m)
		case spreadAll:
			all = append(all, m)
		}
	}
	return one, all
}

// expire forgets the marks past their retention. Shortly before, a mark is taken
// out of the hashes, so that nodes that forget at different moments agree.
func (s *markSet) expire(clock time.Duration, keep func(MarkKind) time.Duration) {
	for k, m := range s.byKey {
		limit := keep(m.kind)
		if limit == 0 {
			continue
		}
		age := clock - m.born
		if age > limit-markQuiet {
			s.unhash(m)
		}
		if age > limit {
			delete(s.byKey, k)
			s.recent = slices.DeleteFunc(s.recent, func(r *mark) bool { return r == m })
		}
	}
}

// differing returns the reconciled marks of the buckets whose hashes differ, in order.
func (s *markSet) differing(theirs []uint64) []*mark {
	var out []*mark
	for _, m := range s.byKey {
		b := m.bucket()
		if m.hashed && b < len(theirs) && theirs[b] != s.buckets[b] {
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
