package once

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	oncev1 "github.com/jujubeshed/jujubeshed/api/gen/once/v1"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// maxCachedSegments bounds the segments that a shard keeps in memory.
const maxCachedSegments = 2

// hash is the full hash of a key, by which a segment is found.
func (k Key) hash() uint64 {
	return xxhash.Sum64String(string(k.Workspace) + "\x00" + k.Name)
}

// seal is a move of finished entries to a segment.
type seal struct {
	ref     *oncev1.Segment
	entries []*entry
}

// segmentEntries is the content of a segment.
type segmentEntries struct {
	object  string
	entries *bucket
}

// segmentRead is a read of a segment and the ops that wait for it.
type segmentRead struct {
	object string
	ops    []*op
}

func (b *bucket) addSegment(s *oncev1.Segment) {
	b.segments = append(b.segments, s)
	b.bytes += proto.Size(s) + entryOverhead
}

// segmentsOf returns the objects of the retained segments that may hold the key.
func (b *bucket) segmentsOf(k Key, now time.Time, o *Options) []string {
	var objects []string
	h := k.hash()
	for _, s := range b.segments {
		if _, found := slices.BinarySearch(s.Hashes, h); found && !now.After(o.retainedAfter(s.LastAt)) {
			objects = append(objects, s.Object)
		}
	}
	return objects
}

// lookup returns the entry of an op's key in the bucket or a segment; unread is
// the segment that has to be read first, where there is one.
func (s *shard) lookup(next *bucket, p *op, now time.Time) (e *entry, unread string) {
	if e = next.get(p.key, now, s.opts); e != nil {
		return e, ""
	}
	for _, object := range next.segmentsOf(p.key, now, s.opts) {
		seg := findSegment(p.segments, object)
		if seg == nil {
			seg = findSegment(s.cache, object)
		}
		if seg == nil {
			return nil, object
		}
		if e = seg.entries.get(p.key, now, s.opts); e != nil {
			return e, ""
		}
	}
	return nil, ""
}

func findSegment(all []*segmentEntries, object string) *segmentEntries {
	for _, c := range all {
		if c.object == object {
			return c
		}
	}
	return nil
}

// readSegment lets an op wait for the segment that may hold its key.
func (s *shard) readSegment(next *bucket, p *op, now time.Time) []Action {
	_, object := s.lookup(next, p, now)
	for _, r := range s.reads {
		if r.object == object {
			r.ops = append(r.ops, p)
			return nil
		}
	}
	r := &segmentRead{object: object, ops: []*op{p}}
	s.reads = append(s.reads, r)
	return []Action{StoreGet{Call: s.ledger.newCall(call{shard: s, read: r}), Object: platformapi.Key(object)}}
}

// segmentRead takes the result of reading a segment.
func (s *shard) segmentRead(read *segmentRead, r StoreResult, now time.Time) []Action {
	s.reads = slices.DeleteFunc(s.reads, func(o *segmentRead) bool { return o == read })
	if errors.Is(r.Err, platformapi.ErrNotFound) {
		return s.segmentGone(read)
	}
	b, err := readBucket(r)
	if err != nil {
		s.requeue(read.ops)
		return s.failed(now)
	}
	seg := &segmentEntries{object: read.object, entries: b}
	s.remember(seg)
	for _, p := range read.ops {
		p.segments = append(p.segments, seg) // the cache may have dropped it by then
	}
	s.requeue(read.ops)
	return nil
}

// segmentGone answers the ops whose segment does not exist: its retention has
// ended, and the bucket was not read since. A claim may ask again.
func (s *shard) segmentGone(read *segmentRead) []Action {
	s.stale = true
	var acts []Action
	for _, p := range read.ops {
		if p.kind == opClaim {
			acts = append(acts, s.refuse(p, Wait, errUnread(p.key))...)
		} else {
			acts = append(acts, s.recorded(p, true)...)
		}
	}
	return acts
}

// maybeSeal begins to move finished entries out of a bucket that holds many.
func (s *shard) maybeSeal() {
	if s.sealing != nil || s.base == nil || s.base.ended <= s.opts.SealBytes {
		return
	}
	m := &seal{ref: &oncev1.Segment{}}
	for _, k := range s.base.order {
		if e := s.base.entries[k]; e != nil && e.State == finished && !slices.Contains(m.entries, e) {
			m.add(s, k, e)
		}
	}
	slices.Sort(m.ref.Hashes)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&oncev1.Bucket{Format: bucketFormat, Entries: m.entries})
	if err != nil {
		panic(err) // the entries came out of a bucket
	}
	object := s.ledger.segmentObject(value)
	m.ref.Object = string(object)
	s.sealing = &op{kind: opSeal, silent: true, seal: m, object: object, value: value}
	s.toStore = append(s.toStore, s.sealing)
}

func (m *seal) add(s *shard, k Key, e *entry) {
	m.entries = append(m.entries, e)
	m.ref.Hashes = append(m.ref.Hashes, k.hash())
	m.ref.LastAt = max(m.ref.LastAt, e.ClaimedAt, e.ExpiresAt, e.EndedAt)
	if external(e.Answer) {
		m.ref.Bodies = append(m.ref.Bodies, string(s.ledger.bodyObject(e.Attempt)))
	}
}

// applySeal replaces entries by a reference to their segment, unless another
// node has moved some of them meanwhile.
func (s *shard) applySeal(next *bucket, p *op) (result, []Action) {
	for _, have := range next.segments {
		if have.Object == p.seal.ref.Object {
			s.sealing = nil
			return ended, nil
		}
	}
	for _, e := range p.seal.entries {
		have := next.entries[entryKey(e)]
		if have == nil || have.Attempt != e.Attempt || have.State != finished {
			return ended, s.dropSeal(next, p)
		}
	}
	for _, e := range p.seal.entries {
		next.set(entryKey(e), nil)
	}
	next.addSegment(p.seal.ref)
	s.remember(p.seal.cached())
	return staged, nil
}

// remember keeps a segment in memory in place of the oldest one.
func (s *shard) remember(seg *segmentEntries) {
	if findSegment(s.cache, seg.object) != nil {
		return
	}
	if len(s.cache) >= maxCachedSegments {
		s.cache = slices.Delete(s.cache, 0, 1)
	}
	s.cache = append(s.cache, seg)
}

// cached returns the content of the segment.
func (m *seal) cached() *segmentEntries {
	b := newBucket()
	for _, e := range m.entries {
		b.set(entryKey(e), e)
	}
	return &segmentEntries{object: m.ref.Object, entries: b}
}

// dropSeal gives a segment up. Its object stays where a write that refers to it
// may be under way still.
func (s *shard) dropSeal(next *bucket, p *op) []Action {
	s.sealing = nil
	if p.sent && next.version == p.expect {
		return nil
	}
	return []Action{StoreDelete{Object: p.object}}
}

// expire removes from next what need not be retained, and returns the objects
// that nothing refers to then.
func (s *shard) expire(next *bucket, now time.Time) []platformapi.Key {
	var gone []platformapi.Key
	for _, e := range next.expire(now, s.opts) {
		if external(e.Answer) {
			gone = append(gone, s.ledger.bodyObject(e.Attempt))
		}
	}
	kept := next.segments[:0]
	for _, seg := range next.segments {
		if !now.After(s.opts.retainedAfter(seg.LastAt)) {
			kept = append(kept, seg)
			continue
		}
		next.bytes -= proto.Size(seg) + entryOverhead
		gone = append(gone, platformapi.Key(seg.Object))
		for _, b := range seg.Bodies {
			gone = append(gone, platformapi.Key(b))
		}
	}
	next.segments = kept
	return gone
}
