package peer

import (
	"slices"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// batch collects the log updates that a peer lacks, up to the maximum message size.
type batch struct {
	node *Node
	msg  *Message
	salt uint32
	size int
}

// add adds the update of a log after seq: the later entries, or a heartbeat if there
// are none. A delta that exceeds the maximum message size is left out unless it is
// the first.
func (b *batch) add(r *replica, seq uint64) {
	if seq < r.floor {
		seq = 0
	}
	entries := r.entriesAfter(seq)
	if seq > 0 && len(entries) == 0 {
		b.heartbeat(r)
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

func (b *batch) heartbeat(r *replica) {
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
		SilentMs:    uint32((n.clock - r.lastAdvance) / time.Millisecond),
		Entries:     make([]*peerv1.Entry, 0, len(entries)),
	}
	for _, e := range entries {
		d.Entries = append(d.Entries, &peerv1.Entry{
			Topic: uint32(e.topic), Key: e.key, Seq: e.seq, Value: e.value, Deleted: e.deleted,
		})
	}
	return d
}

// applyDelta merges a delta into this node's copy of the log. It ignores deltas of
// stale incarnations and those that don't connect to the copy.
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
		n.checkOwnLog(inc, n.own[k.scope], d.GetSeq())
		return
	}
	if t, found := n.tombstones[k.owner]; found && inc <= t.incarnation {
		reply.Gone = append(reply.Gone, t.notice(k.owner))
		return
	}
	silence := time.Duration(d.GetSilentMs()) * time.Millisecond
	r := n.logs.get(k)
	switch {
	case r == nil && (d.GetAfter() > 0 || silence >= n.maxNewLogSilence(k.scope)):
		return
	case r == nil:
		r = n.addReplica(k, inc, silence)
	case inc < r.incarnation || d.GetAfter() > r.seq && inc == r.incarnation || inc > r.incarnation && d.GetAfter() > 0:
		return
	case inc > r.incarnation:
		n.startIncarnation(r, inc, silence)
	case d.GetSeq() <= r.seq:
		return
	default:
		r.lastAdvance = max(r.lastAdvance, n.clock-silence)
		r.confirmed = true
	}
	r.confirmed = r.confirmed || from == k.owner
	n.applyEntries(r, d)
}

// maxNewLogSilence is the maximum silence of a log that is accepted if there is no
// copy of it. Beyond it the owner is more likely gone than slow.
func (n *Node) maxNewLogSilence(s scope) time.Duration {
	if s == scopeLocal {
		return n.o.SuspectAfter
	}
	return n.o.DropAfter
}

func (n *Node) addReplica(k logKey, inc ident.Incarnation, silence time.Duration) *replica {
	r := newReplica(k, inc)
	r.lastAdvance = n.clock - silence
	n.logs.add(r)
	return r
}

// startIncarnation clears the copy of a log whose owner has a new incarnation.
func (n *Node) startIncarnation(r *replica, inc ident.Incarnation, silence time.Duration) {
	n.keepCounters(r)
	for _, e := range r.entries {
		n.entryChange(r, e.topic, e.key, nil)
	}
	r.setIncarnation(inc)
	r.clear()
	r.lastAdvance = n.clock - silence
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

// removeAbsent removes the entries that a delta of the complete log lacks: the owner
// has purged their deletions.
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
	n.addChange(Change{Kind: ChangeEntry, Entry: e})
}

// applyHeartbeats advances the copies of logs of which only the sequence number has
// changed.
func (n *Node) applyHeartbeats(b *peerv1.Beats) {
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
			n.checkOwnLog(r.incarnation, r, b.GetSeqs()[i])
			continue
		}
		r.seq = b.GetSeqs()[i]
		r.lastAdvance = n.clock
		r.confirmed = true
	}
}

// checkOwnLog checks a peer's copy of this node's own log. A later incarnation, or a
// sequence number above the own one, comes from an earlier process with the same ID;
// this node then raises its incarnation.
func (n *Node) checkOwnLog(inc ident.Incarnation, own *replica, seq uint64) {
	if inc > own.incarnation || inc == own.incarnation && seq > own.seq {
		n.refute(inc)
	}
}

// applyGone handles a peer's notices that incarnations have ended. This node refutes
// those about itself. Of other nodes it accepts only that they left by their own
// announcement.
func (n *Node) applyGone(gone []*peerv1.Gone) {
	for _, g := range gone {
		id, inc := ident.NodeID(g.GetNode()), ident.Incarnation(g.GetIncarnation())
		r := n.logs.get(logKey{id, scopeLocal})
		switch {
		case r == nil || inc < r.incarnation || inc > maxIncarnation:
		case id == n.o.ID:
			n.refute(inc)
		case g.GetLeft():
			n.endIncarnation(r, StateLeft)
		}
	}
}

// refute raises this node's incarnation above inc, so that statements about that one
// no longer apply. A node that is leaving does not refute.
func (n *Node) refute(inc ident.Incarnation) {
	if n.leaving {
		return
	}
	for _, r := range n.own {
		r.setIncarnation(max(inc, r.incarnation) + 1)
		r.seq++
		r.lastAdvance = n.clock
	}
	n.addChange(Change{Kind: ChangeRefuted})
}
