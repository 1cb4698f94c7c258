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

// maxCachedSegments is the maximum number of segments that a shard keeps in memory.
const maxCachedSegments = 2

// hash returns the 64-bit hash of a key, by which its bucket and segments are found.
func (k Key) hash() uint64 {
	return xxhash.Sum64String(string(k.Workspace) + "\x00" + k.Name)
}

// seal describes the move of finished entries from a bucket to a segment.
type seal struct {
	ref     *oncev1.Segment
	entries []*entry
}

// segment is a decoded segment object.
type segment struct {
	object  string
	entries *bucket
}

// segmentRead is a read of a segment in flight, with the ops that wait for it.
type segmentRead struct {
	object string
	ops    []*op
}

func (b *bucket) addSegment(s *oncev1.Segment) {
	b.segments = append(b.segments, s)
	b.size += proto.Size(s) + entryOverhead
}

// segmentsOf returns the object names of the retained segments that may contain the key.
func (b *bucket) segmentsOf(k Key, now time.Time, o *Options) []string {
	var objects []string
	h := k.hash()
	for _, s := range b.segments {
		if _, found := slices.BinarySearch(s.Hashes, h); found && !now.After(o.retentionEndAfter(s.LastAt)) {
			objects = append(objects, s.Object)
		}
	}
	return objects
}

// lookup returns the entry of an op's key from the bucket or a segment. If a segment has
// to be read first, unread is its object name.
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

func findSegment(all []*segment, object string) *segment {
	for _, c := range all {
		if c.object == object {
			return c
		}
	}
	return nil
}

// readSegment makes an op wait until the segment that may contain its key is read.
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

// segmentReadDone handles the result of reading a segment.
func (s *shard) segmentReadDone(read *segmentRead, r StoreResult, now time.Time) []Action {
	s.reads = slices.DeleteFunc(s.reads, func(o *segmentRead) bool { return o == read })
	if errors.Is(r.Err, platformapi.ErrNotFound) {
		return s.segmentMissing(read)
	}
	b, err := readBucket(r)
	if err != nil {
		s.requeue(read.ops)
		return s.callFailed(now)
	}
	seg := &segment{object: read.object, entries: b}
	s.cacheSegment(seg)
	for _, p := range read.ops {
		p.segments = append(p.segments, seg) // the cache may have evicted it before the op is applied
	}
	s.requeue(read.ops)
	return nil
}

// segmentMissing completes the ops whose segment does not exist, which happens if its
// retention has ended since the bucket was last read. A claim may be repeated by its
// caller.
func (s *shard) segmentMissing(read *segmentRead) []Action {
	s.stale = true
	var acts []Action
	for _, p := range read.ops {
		if p.kind == opClaim {
			acts = append(acts, s.refuse(p, Wait, errRecordUnreadable(p.key))...)
		} else {
			acts = append(acts, s.recorded(p, true)...)
		}
	}
	return acts
}

// maybeSeal starts to move finished entries to a segment if the bucket contains more
// than Options.SealBytes of them.
func (s *shard) maybeSeal() {
	if s.sealing != nil || s.state == nil || s.state.finishedBytes <= s.opts.SealBytes {
		return
	}
	m := &seal{ref: &oncev1.Segment{}}
	for _, k := range s.state.order {
		if e := s.state.entries[k]; e != nil && e.State == finished && !slices.Contains(m.entries, e) {
			m.add(s, k, e)
		}
	}
	slices.Sort(m.ref.Hashes)
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&oncev1.Bucket{Format: bucketFormat, Entries: m.entries})
	if err != nil {
		panic(err) // unreachable: the entries were decoded from or written to a bucket before
	}
	object := s.ledger.segmentObject(value)
	m.ref.Object = string(object)
	s.sealing = &op{kind: opSeal, noReply: true, seal: m, object: object, value: value}
	s.toStore = append(s.toStore, s.sealing)
}

func (m *seal) add(s *shard, k Key, e *entry) {
	m.entries = append(m.entries, e)
	m.ref.Hashes = append(m.ref.Hashes, k.hash())
	m.ref.LastAt = max(m.ref.LastAt, e.ClaimedAt, e.ExpiresAt, e.EndedAt)
	if hasExternalBody(e.Answer) {
		m.ref.Bodies = append(m.ref.Bodies, string(s.ledger.bodyObject(e.Attempt)))
	}
}

// applySeal replaces entries by a reference to their segment, unless some of them were
// moved or removed meanwhile.
func (s *shard) applySeal(next *bucket, p *op) (result, []Action) {
	for _, current := range next.segments {
		if current.Object == p.seal.ref.Object {
			s.sealing = nil
			return completed, nil
		}
	}
	for _, e := range p.seal.entries {
		current := next.entries[entryKey(e)]
		if current == nil || current.Attempt != e.Attempt || current.State != finished {
			return completed, s.abandonSeal(next, p)
		}
	}
	for _, e := range p.seal.entries {
		next.set(entryKey(e), nil)
	}
	next.addSegment(p.seal.ref)
	s.cacheSegment(p.seal.content())
	return staged, nil
}

// cacheSegment adds a segment to the cache, from which it evicts the oldest one if it is
// full.
func (s *shard) cacheSegment(seg *segment) {
	if findSegment(s.cache, seg.object) != nil {
		return
	}
	if len(s.cache) >= maxCachedSegments {
		s.cache = slices.Delete(s.cache, 0, 1)
	}
	s.cache = append(s.cache, seg)
}

// content returns the segment that the seal creates.
func (m *seal) content() *segment {
	b := newBucket()
	for _, e := range m.entries {
		b.set(entryKey(e), e)
	}
	return &segment{object: m.ref.Object, entries: b}
}

// abandonSeal cancels a seal and deletes the segment object, unless a write that refers
// to it may still take effect.
func (s *shard) abandonSeal(next *bucket, p *op) []Action {
	s.sealing = nil
	if p.sent && next.version == p.expect {
		return nil
	}
	return []Action{StoreDelete{Object: p.object}}
}

// expire removes the entries and segments from next whose retention has ended, and
// returns the objects that are unreferenced afterwards.
func (s *shard) expire(next *bucket, now time.Time) []platformapi.Key {
	var unreferenced []platformapi.Key
	for _, e := range next.expire(now, s.opts) {
		if hasExternalBody(e.Answer) {
			unreferenced = append(unreferenced, s.ledger.bodyObject(e.Attempt))
		}
	}
	kept := next.segments[:0]
	for _, seg := range next.segments {
		if !now.After(s.opts.retentionEndAfter(seg.LastAt)) {
			kept = append(kept, seg)
			continue
		}
		next.size -= proto.Size(seg) + entryOverhead
		unreferenced = append(unreferenced, platformapi.Key(seg.Object))
		for _, b := range seg.Bodies {
			unreferenced = append(unreferenced, platformapi.Key(b))
		}
	}
	next.segments = kept
	return unreferenced
}
