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

// bucketFormat is the version of the bucket format that this code reads and writes.
const bucketFormat = 1

// entryOverhead is the maximum size in bytes of an entry's framing in a bucket.
const entryOverhead = 8

// maxHeaderBytes is the maximum size of the recorded headers of a response; further
// headers are not recorded.
const maxHeaderBytes = 1 << 10

// outcomeOverhead is the maximum number of bytes that an outcome adds to an entry
// besides headers and body.
const outcomeOverhead = 128

type entry = oncev1.Entry

const (
	claimed     = oncev1.State_STATE_CLAIMED
	finished    = oncev1.State_STATE_FINISHED
	unconfirmed = oncev1.State_STATE_UNCONFIRMED
)

// bucket is the state of one bucket object at one version. Entries are immutable.
type bucket struct {
	version       platformapi.Version
	order         []Key // in the order of the claims; may contain removed keys
	entries       map[Key]*entry
	size          int // encoded size, rounded up
	unfinished    int // entries that are not finished
	finishedBytes int // encoded size of finished entries

	segments []*oncev1.Segment // each one immutable
}

func newBucket() *bucket { return &bucket{entries: make(map[Key]*entry)} }

func entryKey(e *entry) Key {
	return Key{Workspace: ident.Workspace(e.Workspace), Name: e.Key}
}

func entrySize(e *entry) int { return proto.Size(e) + entryOverhead }

// decodeBucket decodes a bucket object.
func decodeBucket(o platformapi.Object) (*bucket, error) {
	var m oncev1.Bucket
	if err := proto.Unmarshal(o.Value, &m); err != nil {
		return nil, fmt.Errorf("bucket %q: %w", o.Key, err)
	}
	if m.Format != bucketFormat {
		return nil, fmt.Errorf("bucket %q has format %d, want %d", o.Key, m.Format, bucketFormat)
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

// set adds or replaces the entry of a key; nil removes it.
func (b *bucket) set(k Key, e *entry) {
	if old := b.entries[k]; old != nil {
		b.addSize(old, -1)
	} else if e != nil {
		b.order = append(b.order, k)
	}
	if e == nil {
		delete(b.entries, k)
		return
	}
	b.entries[k] = e
	b.addSize(e, 1)
}

// addSize adds an entry to the counters if sign is 1, and subtracts it if sign is -1.
func (b *bucket) addSize(e *entry, sign int) {
	size := entrySize(e)
	b.size += sign * size
	if e.State == finished {
		b.finishedBytes += sign * size
	} else {
		b.unfinished += sign
	}
}

// compact drops removed keys from the order. A key that was removed and claimed
// again is listed once, at its first position.
func (b *bucket) compact() {
	kept := b.order[:0]
	seen := make(map[Key]struct{}, len(b.entries))
	for _, k := range b.order {
		if _, duplicate := seen[k]; duplicate || b.entries[k] == nil {
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

// retentionEnd returns the time after which the entry may be removed.
func retentionEnd(e *entry, o *Options) time.Time {
	return o.retentionEndAfter(max(e.ClaimedAt, e.ExpiresAt, e.EndedAt))
}

func (o *Options) retentionEndAfter(lastNano int64) time.Time {
	return time.Unix(0, lastNano).Add(o.Retention + o.ClockSkew)
}

// get returns the entry of a key, or nil if there is none that is still retained.
func (b *bucket) get(k Key, now time.Time, o *Options) *entry {
	e := b.entries[k]
	if e == nil || now.After(retentionEnd(e, o)) {
		return nil
	}
	return e
}

// expire removes the entries whose retention has ended and returns them.
func (b *bucket) expire(now time.Time, o *Options) []*entry {
	var expired []*entry
	for _, k := range b.order {
		if e := b.entries[k]; e != nil && now.After(retentionEnd(e, o)) {
			expired = append(expired, e)
			b.set(k, nil)
		}
	}
	return expired
}

// fits reports whether a claim fits into the bucket together with the largest possible
// outcomes of all claims that are not finished.
func (b *bucket) fits(e *entry, o *Options) bool {
	reserve := (b.unfinished + 1) * (o.MaxInlineBody + maxHeaderBytes + outcomeOverhead)
	return b.size+entrySize(e)+reserve <= o.MaxBucketBytes
}

// nextExpiry returns the earliest time at which an entry or a segment expires.
func (b *bucket) nextExpiry(o *Options) time.Time {
	var first time.Time
	consider := func(t time.Time) {
		if first.IsZero() || t.Before(first) {
			first = t
		}
	}
	for _, e := range b.entries {
		consider(retentionEnd(e, o))
	}
	for _, s := range b.segments {
		consider(o.retentionEndAfter(s.LastAt))
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

// withState returns a copy of the entry with a new state.
func withState(e *entry, s oncev1.State, a *oncev1.Answer, now time.Time) *entry {
	return &entry{
		Workspace: e.Workspace, Key: e.Key, BodyDigest: e.BodyDigest, Attempt: e.Attempt,
		Node: e.Node, Incarnation: e.Incarnation, State: s,
		ClaimedAt: e.ClaimedAt, ExpiresAt: e.ExpiresAt, EndedAt: now.UnixNano(), Answer: a,
	}
}

func sameBody(e *entry, d Digest) bool { return bytes.Equal(e.BodyDigest, d[:]) }

// encodeAnswer returns the stored form of a response. A body larger than limit is left
// out, as it is stored in its own object.
func encodeAnswer(a Answer, limit int) *oncev1.Answer {
	m := &oncev1.Answer{Status: int32(a.Status), Size: int64(len(a.Body)), Omitted: a.Omitted}
	remaining := maxHeaderBytes
	for _, h := range a.Headers {
		if remaining -= len(h.Name) + len(h.Value) + entryOverhead; remaining < 0 {
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

// hasExternalBody reports whether the body is stored in its own object.
func hasExternalBody(m *oncev1.Answer) bool {
	return m != nil && !m.Omitted && m.Size > int64(len(m.Body))
}

// decodeAnswer returns a recorded response with the given body.
func decodeAnswer(m *oncev1.Answer, body []byte) Answer {
	a := Answer{Status: int(m.Status), Body: body, Omitted: m.Omitted}
	for _, h := range m.Headers {
		a.Headers = append(a.Headers, HeaderField{Name: h.Name, Value: h.Value})
	}
	return a
}
