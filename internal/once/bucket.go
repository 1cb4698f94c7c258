package once

import (
	"bytes"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	oncev1 "github.com/jujubeshed/jujubeshed/api/gen/once/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// bucketFormat is the format of bucket objects that this code reads and writes.
const bucketFormat = 1

// entryOverhead bounds the bytes of an entry's framing within a bucket.
const entryOverhead = 8

// maxHeaderBytes bounds the recorded headers of an answer; those beyond it are
// not recorded.
const maxHeaderBytes = 1 << 10

// endOverhead bounds what an outcome adds to an entry besides headers and body.
const endOverhead = 128

type entry = oncev1.Entry

const (
	claimed     = oncev1.State_STATE_CLAIMED
	finished    = oncev1.State_STATE_FINISHED
	unconfirmed = oncev1.State_STATE_UNCONFIRMED
)

// bucket is the state of one bucket object at one version. Entries are immutable.
type bucket struct {
	version platformapi.Version
	order   []Key // in the order of the claims
	entries map[Key]*entry
	bytes   int // encoded size, rounded up
	open    int // entries without outcome
	ended   int // bytes of finished entries

	segments []*oncev1.Segment // immutable each
}

func newBucket() *bucket { return &bucket{entries: make(map[Key]*entry)} }

func entryKey(e *entry) Key {
	return Key{Workspace: ident.Workspace(e.Workspace), Name: e.Key}
}

func entrySize(e *entry) int { return proto.Size(e) + entryOverhead }

// decodeBucket reads a bucket object.
func decodeBucket(o platformapi.Object) (*bucket, error) {
	var m oncev1.Bucket
	if err := proto.Unmarshal(o.Value, &m); err != nil {
		return nil, fmt.Errorf("bucket %q: %w", o.Key, err)
	}
	if m.Format != bucketFormat {
		return nil, fmt.Errorf("bucket %q has format %d, not %d", o.Key, m.Format, bucketFormat)
	}
	b := newBucket()
	b.version = o.Version
	for _, e := range m.Entries {
		b.set(entryKey(e), e)
	}
	for _, s := range m.Segments {
		b.addSegment(s)
	}
	return b, nil
}

// set adds or replaces an entry; nil removes it.
func (b *bucket) set(k Key, e *entry) {
	if old := b.entries[k]; old != nil {
		b.count(old, -1)
	} else if e != nil {
		b.order = append(b.order, k)
	}
	if e == nil {
		delete(b.entries, k)
		return
	}
	b.entries[k] = e
	b.count(e, 1)
}

// count adds an entry to the sizes, or takes it away.
func (b *bucket) count(e *entry, sign int) {
	size := entrySize(e)
	b.bytes += sign * size
	if e.State == finished {
		b.ended += sign * size
	} else {
		b.open += sign
	}
}

// compact drops removed keys from the order. A key that was removed and claimed
// again stands once, at its first place.
func (b *bucket) compact() {
	kept := b.order[:0]
	seen := make(map[Key]struct{}, len(b.entries))
	for _, k := range b.order {
		if _, twice := seen[k]; twice || b.entries[k] == nil {
			continue
		}
		seen[k] = struct{}{}
		kept = append(kept, k)
	}
	b.order = kept
}

// encode returns the value of the bucket object.
func (b *bucket) encode() ([]byte, error) {
	b.compact()
	m := oncev1.Bucket{Format: bucketFormat, Entries: make([]*entry, 0, len(b.order))}
	for _, k := range b.order {
		m.Entries = append(m.Entries, b.entries[k])
	}
	m.Segments = b.segments
	return proto.MarshalOptions{Deterministic: true}.Marshal(&m)
}

// clone returns a copy that shares the entries.
func (b *bucket) clone() *bucket {
	c := *b
	c.order = append(make([]Key, 0, len(b.order)+1), b.order...)
	c.segments = append([]*oncev1.Segment(nil), b.segments...)
	c.entries = make(map[Key]*entry, len(b.entries)+1)
	for k, e := range b.entries {
		c.entries[k] = e
	}
	return &c
}

// retainedUntil is when the entry may be forgotten.
func retainedUntil(e *entry, o *Options) time.Time {
	return o.retainedAfter(max(e.ClaimedAt, e.ExpiresAt, e.EndedAt))
}

func (o *Options) retainedAfter(lastNano int64) time.Time {
	return time.Unix(0, lastNano).Add(o.Retention + o.ClockSkew)
}

// get returns the entry of a key that is still retained.
func (b *bucket) get(k Key, now time.Time, o *Options) *entry {
	e := b.entries[k]
	if e == nil || now.After(retainedUntil(e, o)) {
		return nil
	}
	return e
}

// expire removes the entries whose retention has ended and returns them.
func (b *bucket) expire(now time.Time, o *Options) []*entry {
	var gone []*entry
	for _, k := range b.order {
		if e := b.entries[k]; e != nil && now.After(retainedUntil(e, o)) {
			gone = append(gone, e)
			b.set(k, nil)
		}
	}
	return gone
}

// fits tells whether a claim fits beside the outcomes of all open claims.
func (b *bucket) fits(e *entry, o *Options) bool {
	reserve := (b.open + 1) * (o.MaxInlineBody + maxHeaderBytes + endOverhead)
	return b.bytes+entrySize(e)+reserve <= o.MaxBucketBytes
}

// nextFree returns when the first entry may be forgotten.
func (b *bucket) nextFree(o *Options) time.Time {
	var first time.Time
	at := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, e := range b.entries {
		at(retainedUntil(e, o))
	}
	for _, s := range b.segments {
		at(o.retainedAfter(s.LastAt))
	}
	return first
}

func newEntry(c Claim, now time.Time, o *Options) *entry {
	return &entry{
		Workspace: string(c.Key.Workspace), Key: c.Key.Name, BodyDigest: c.Body[:],
		Attempt: string(c.Attempt), Node: string(o.Node), Incarnation: uint64(o.Incarnation),
		State: claimed, ClaimedAt: now.UnixNano(), ExpiresAt: c.Deadline.Add(o.ClaimGrace).UnixNano(),
	}
}

// withState returns a copy of the entry in another state.
func withState(e *entry, s oncev1.State, a *oncev1.Answer, now time.Time) *entry {
	return &entry{
		Workspace: e.Workspace, Key: e.Key, BodyDigest: e.BodyDigest, Attempt: e.Attempt,
		Node: e.Node, Incarnation: e.Incarnation, State: s,
		ClaimedAt: e.ClaimedAt, ExpiresAt: e.ExpiresAt, EndedAt: now.UnixNano(), Answer: a,
	}
}

func sameBody(e *entry, d Digest) bool { return bytes.Equal(e.BodyDigest, d[:]) }

// storedAnswer returns the stored form of an answer. Where the body is larger than
// limit it stands in an object of its own.
func storedAnswer(a Answer, limit int) *oncev1.Answer {
	m := &oncev1.Answer{Status: int32(a.Status), Size: int64(len(a.Body)), Omitted: a.Omitted}
	room := maxHeaderBytes
	for _, h := range a.Headers {
		if room -= len(h.Name) + len(h.Value) + entryOverhead; room < 0 {
			break
		}
		m.Headers = append(m.Headers, &oncev1.HeaderField{Name: h.Name, Value: h.Value})
	}
	d := DigestOf(a.Body)
	m.Digest = d[:]
	if len(a.Body) <= limit {
		m.Body = a.Body
	}
	return m
}

// external tells whether the body stands in an object of its own.
func external(m *oncev1.Answer) bool {
	return m != nil && !m.Omitted && m.Size > int64(len(m.Body))
}

// givenAnswer returns the answer as it was given.
func givenAnswer(m *oncev1.Answer, body []byte) Answer {
	a := Answer{Status: int(m.Status), Body: body, Omitted: m.Omitted}
	for _, h := range m.Headers {
		a.Headers = append(a.Headers, HeaderField{Name: h.Name, Value: h.Value})
	}
	return a
}
