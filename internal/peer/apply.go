package peer

import (
	"slices"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// batch collects what a peer lacks, up to the bound of a message.
type batch struct {
	node *Node
	msg  *Message
	salt uint32
	size int
}

// add puts in what is new in a log above seq: a beat, or the changed entries.
func (b *batch) add(r *replica, seq uint64) {
	if seq < r.floor {
		seq = 0
	}
	entries := r.above(seq)
	if seq > 0 && len(entries) == 0 {
		b.beat(r)
		return
	}
	size := len(r.owner) + 2*entryOverhead
	for _, e := range entries {
		size += e.size()
	}
	if b.size > 0 && b.size+size > b.node.o.MessageBytes {
		return
	}
	b.size += size
	b.msg.Deltas = append(b.msg.Deltas, b.node.wireDelta(r, seq, entries))
}

func (b *batch) beat(r *replica) {
	if b.msg.Beats == nil {
		b.msg.Beats = &peerv1.Beats{Salt: b.salt}
	}
	b.msg.Beats.Tags = append(b.msg.Beats.Tags, r.tag(b.salt))
	b.msg.Beats.Seqs = append(b.msg.Beats.Seqs, r.seq)
}

func (n *Node) wireDelta(r *replica, after uint64, entries []*entry) *peerv1.LogDelta {
	d := &peerv1.LogDelta{
		Owner:       string(r.owner),
		Incarnation: uint64(r.incarnation),
		Fleet:       r.scope == scopeFleet,
		After:       after,
		Seq:         r.seq,
		SilentMs:    uint32((n.clock - r.advanced) / time.Millisecond),
		Entries:     make([]*peerv1.Entry, 0, len(entries)),
	}
	for _, e := range entries {
		d.Entries = append(d.Entries, &peerv1.Entry{
			Topic: uint32(e.topic), Key: e.key, Seq: e.seq, Value: e.value, Deleted: e.deleted,
		})
	}
	return d
}

// applyDelta brings the copy of a log forward.
func (n *Node) applyDelta(from ident.NodeID, d *peerv1.LogDelta, reply *Message) {
	k := logKey{ident.NodeID(d.GetOwner()), scopeLocal}
	if d.GetFleet() {
		k.scope = scopeFleet
	}
	inc := ident.Incarnation(d.GetIncarnation())
	if inc > maxIncarnation {
		return
	}
	if k.owner == n.o.ID {
		n.checkOwn(inc, n.own[k.scope], d.GetSeq())
		return
	}
	if t, over := n.tombs[k.owner]; over && inc <= t.incarnation {
		reply.Gone = append(reply.Gone, t.notice(k.owner))
		return
	}
	silent := time.Duration(d.GetSilentMs()) * time.Millisecond
	r := n.logs.get(k)
	switch {
	case r == nil && (d.GetAfter() > 0 || silent >= n.newcomerSilence(k.scope)):
		return
	case r == nil:
		r = n.firstCopy(k, inc, silent)
	case inc < r.incarnation || d.GetAfter() > r.seq && inc == r.incarnation || inc > r.incarnation && d.GetAfter() > 0:
		return
	case inc > r.incarnation:
		n.nextLife(r, inc, silent)
	case d.GetSeq() <= r.seq:
		return
	default:
		r.advanced = max(r.advanced, n.clock-silent)
		r.confirmed = true
	}
	r.confirmed = r.confirmed || from == k.owner
	n.applyEntries(r, d)
}

// newcomerSilence bounds the silence of a log that is learnt anew. Beyond it the
// owner is more likely gone than slow.
func (n *Node) newcomerSilence(s scope) time.Duration {
	if s == scopeLocal {
		return n.o.SuspectAfter
	}
	return n.o.DropAfter
}

func (n *Node) firstCopy(k logKey, inc ident.Incarnation, silent time.Duration) *replica {
	r := newReplica(k, inc)
	r.advanced = n.clock - silent
	n.logs.add(r)
	return r
}

// nextLife empties the copy of a log whose owner has begun a new life.
func (n *Node) nextLife(r *replica, inc ident.Incarnation, silent time.Duration) {
	n.retire(r)
	for _, e := range r.entries {
		n.entryChange(r, e.topic, e.key, nil)
	}
	r.setIncarnation(inc)
	r.clear()
	r.advanced = n.clock - silent
	r.confirmed = false
}

func (n *Node) applyEntries(r *replica, d *peerv1.LogDelta) {
	if d.GetAfter() == 0 {
		n.removeAbsent(r, d)
	}
	for _, w := range d.GetEntries() {
		k := entryKey{Topic(w.GetTopic()), w.GetKey()}
		if old, ok := r.index[k]; ok && old.seq >= w.GetSeq() {
			continue
		}
		if last := r.lastSeq(); w.GetSeq() <= last {
			continue
		}
		r.put(&entry{entryKey: k, seq: w.GetSeq(), value: w.GetValue(), deleted: w.GetDeleted(), written: n.clock})
		n.entryChange(r, k.topic, k.key, w)
	}
	r.seq = max(r.seq, d.GetSeq())
}

// removeAbsent removes entries that the owner has removed for good.
func (n *Node) removeAbsent(r *replica, d *peerv1.LogDelta) {
	if len(r.entries) == 0 {
		return
	}
	present := make(map[entryKey]bool, len(d.GetEntries()))
	for _, w := range d.GetEntries() {
		present[entryKey{Topic(w.GetTopic()), w.GetKey()}] = true
	}
	for _, e := range slices.Clone(r.entries) {
		if !present[e.entryKey] {
			r.remove(e.entryKey)
			n.entryChange(r, e.topic, e.key, nil)
		}
	}
}

func (n *Node) entryChange(r *replica, t Topic, key string, w *peerv1.Entry) {
	e := Entry{Owner: r.owner, Topic: t, Key: key}
	if w != nil && !w.GetDeleted() {
		e.Value = w.GetValue()
	}
	n.change(Change{Kind: ChangeEntry, Entry: e})
}

// applyBeats moves logs forward that changed nothing but their sequence number.
func (n *Node) applyBeats(b *peerv1.Beats) {
	if b == nil || !slices.Contains(n.salts, b.GetSalt()) {
		return
	}
	byTag := make(map[uint32]*replica, len(n.logs.order))
	for _, r := range n.logs.order {
		byTag[r.tag(b.GetSalt())] = r
	}
	for i, tag := range b.GetTags() {
		r := byTag[tag]
		if r == nil || i >= len(b.GetSeqs()) || b.GetSeqs()[i] <= r.seq {
			continue
		}
		if r.owner == n.o.ID {
			n.checkOwn(r.incarnation, r, b.GetSeqs()[i])
			continue
		}
		r.seq = b.GetSeqs()[i]
		r.advanced = n.clock
		r.confirmed = true
	}
}

// checkOwn meets a peer's copy of this node's own log. A later life, or more of
// this one than was written, is an earlier process under the same name.
func (n *Node) checkOwn(inc ident.Incarnation, own *replica, seq uint64) {
	if inc > own.incarnation || inc == own.incarnation && seq > own.seq {
		n.refute(inc)
	}
}

// learnGone takes a peer's word that lives are over. This node refutes it of
// itself. Of others it is taken where the owner itself had said so.
func (n *Node) learnGone(gone []*peerv1.Gone) {
	for _, g := range gone {
		id, inc := ident.NodeID(g.GetNode()), ident.Incarnation(g.GetIncarnation())
		r := n.logs.get(logKey{id, scopeLocal})
		switch {
		case r == nil || inc < r.incarnation || inc > maxIncarnation:
		case id == n.o.ID:
			n.refute(inc)
		case g.GetLeft():
			n.bury(r, StateLeft)
		}
	}
}

// refute begins a new life above inc, which wins over what is said of that one.
func (n *Node) refute(inc ident.Incarnation) {
	if n.leaving {
		return
	}
	for _, r := range n.own {
		r.setIncarnation(max(inc, r.incarnation) + 1)
		r.seq++
		r.advanced = n.clock
	}
	n.change(Change{Kind: ChangeRefuted})
}
