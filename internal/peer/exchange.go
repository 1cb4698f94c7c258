package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// target is a node to send to.
type target struct {
	id      ident.NodeID
	address string
	dc      ident.DataCentre // empty if unknown
}

func (t target) scopeTo(n *Node) scope {
	if t.dc == n.o.DataCentre {
		return scopeLocal
	}
	return scopeFleet
}

func (n *Node) message() *Message {
	return &Message{From: string(n.o.ID), DataCentre: string(n.o.DataCentre), Address: n.o.Address}
}

func (n *Node) send(t target, m *Message) Send {
	return Send{To: t.id, Address: t.address, Message: m}
}

// gossip returns the digest messages of one interval.
func (n *Node) gossip() []Send {
	targets := n.pick(n.peers(), digestFanout)
	if n.IsDelegate() {
		targets = append(targets, n.pick(slices.Concat(n.remoteDelegates()...), digestFanout)...)
	}
	targets = append(targets, n.reconnectTargets(len(n.peers()) == 0)...)
	rumours := n.marks.rumours()
	var sends []Send
	for _, t := range targets {
		msg := n.newDigest(t.scopeTo(n))
		n.addMarksUpTo(msg, rotate(rumours, n.rng), rumourBytes)
		sends = append(sends, n.send(t, msg))
	}
	return sends
}

// reconnectTargets returns addresses outside the live membership: seeds, nodes declared
// gone, and delegates of the own data centre that are not members yet. Without these
// the two sides of a healed partition would never exchange messages again.
func (n *Node) reconnectTargets(noPeers bool) []target {
	if !noPeers && n.rng.IntN(reconnectOdds) != 0 {
		return nil
	}
	known := map[string]bool{n.o.Address: true}
	for _, t := range n.peers() {
		known[t.address] = true
	}
	for _, t := range slices.Concat(n.remoteDelegates()...) {
		known[t.address] = true
	}
	var out []target
	for _, a := range n.reconnectAddresses() {
		if !known[a] {
			known[a] = true
			out = append(out, target{address: a})
		}
	}
	return n.pick(out, digestFanout)
}

func (n *Node) newDigest(to scope) *Message {
	msg := n.message()
	d := n.newSaltedDigest(n.rng.Uint32())
	for _, r := range n.logs.order {
		if r.scope >= to && n.advertises(r) {
			d.Tags = append(d.Tags, r.tag(d.Salt))
			d.Seqs = append(d.Seqs, r.seq)
		}
	}
	n.limitDigest(d)
	msg.Digest = d
	return msg
}

// newSaltedDigest returns an empty digest. From now on heartbeats with its salt are
// accepted.
func (n *Node) newSaltedDigest(salt uint32) *peerv1.Digest {
	n.salts = append(n.salts, salt)
	if len(n.salts) > maxSalts {
		n.salts = n.salts[1:]
	}
	return &peerv1.Digest{Salt: salt, MarksHash: n.marks.hash}
}

// limitDigest reduces a digest to a random contiguous range of the logs if not all fit
// into a message.
func (n *Node) limitDigest(d *peerv1.Digest) {
	const bytesPerLog = 8
	limit := n.o.MessageBytes / bytesPerLog
	if len(d.Tags) <= limit {
		return
	}
	i := n.rng.IntN(len(d.Tags) - limit + 1)
	d.Tags, d.Seqs, d.Partial = d.Tags[i:i+limit], d.Seqs[i:i+limit], true
}

// advertises reports whether a log is included in digests and responses. A silent one
// is not, so that all nodes drop it at about the same time and nodes that would refuse
// it don't receive it. A log whose entries are all deleted is excluded after
// SuspectAfter.
func (n *Node) advertises(r *replica) bool {
	silence := n.clock - r.lastAdvance
	if r.allDeleted() {
		return len(r.entries) > 0 && silence < n.o.SuspectAfter
	}
	return silence < n.maxNewLogSilence(r.scope)
}

// Receive handles a message and returns the messages to send in response. Those to
// the sender come first.
func (n *Node) Receive(now time.Time, from ident.NodeID, m *Message) []Send {
	n.advance(now)
	if from == n.o.ID {
		return nil
	}
	reply := n.message()
	for _, d := range m.GetDeltas() {
		if d.GetFleet() || n.scopeOf(m) == scopeLocal {
			n.applyDelta(from, d, reply)
		}
	}
	n.applyHeartbeats(m.GetBeats())
	n.applyGone(m.GetGone())
	sends := n.mergeMarks(m, reply)
	if m.GetDigest() != nil {
		n.respond(m, reply)
	}
	if isEmpty(reply) {
		return sends
	}
	sender := target{id: from, address: m.GetAddress(), dc: ident.DataCentre(m.GetDataCentre())}
	return append([]Send{n.send(sender, reply)}, sends...)
}

func isEmpty(m *Message) bool {
	return m.Digest == nil && m.Beats == nil && len(m.Deltas)+len(m.Marks)+len(m.Gone) == 0
}

// respond adds to reply what the sender of a digest lacks, and a digest of the next
// leg that requests what this node lacks.
func (n *Node) respond(m *Message, reply *Message) {
	d := m.GetDigest()
	to := n.scopeOf(m)
	peerSeqs := positions(d)
	request := n.newSaltedDigest(d.GetSalt())
	request.Partial = true
	b := &batch{node: n, msg: reply, salt: d.GetSalt()}
	for _, r := range rotate(n.logs.order, n.rng) {
		tag := r.tag(d.GetSalt())
		seq, known := peerSeqs[tag]
		delete(peerSeqs, tag)
		switch {
		case r.scope < to:
		case known && seq > r.seq:
			n.requestUpdate(r, tag, request)
		case n.advertises(r) && (known && seq < r.seq || !known && !d.GetPartial()):
			b.add(r, seq)
		}
	}
	n.addGone(d, peerSeqs, reply)
	n.requestUnknown(d, peerSeqs, request)
	request.MarkBuckets = n.reconcileMarks(d, reply)
	if d.GetLeg() > 0 {
		request.Tags, request.Seqs = nil, nil
	}
	if len(request.Tags) > 0 || len(request.MarkBuckets) > 0 {
		request.Leg = d.GetLeg() + 1
		reply.Digest = request
	}
}

func positions(d *peerv1.Digest) map[uint32]uint64 {
	out := make(map[uint32]uint64, len(d.GetTags()))
	for i, tag := range d.GetTags() {
		if i < len(d.GetSeqs()) {
			out[tag] = d.GetSeqs()[i]
		}
	}
	return out
}

// scopeOf returns the narrowest scope of logs that are exchanged with the sender of m.
func (n *Node) scopeOf(m *Message) scope {
	return target{dc: ident.DataCentre(m.GetDataCentre())}.scopeTo(n)
}

// requestUpdate requests a log of which the peer has a later copy. If it is this
// node's own log, the peer's copy comes from an earlier process with the same
// incarnation, and this node raises its incarnation.
func (n *Node) requestUpdate(r *replica, tag uint32, request *peerv1.Digest) {
	if r.owner == n.o.ID {
		n.refute(r.incarnation)
		return
	}
	request.Tags = append(request.Tags, tag)
	request.Seqs = append(request.Seqs, r.seq)
}

// addGone adds to reply the ended incarnations whose logs are in the sender's digest,
// and removes these logs from peerSeqs.
func (n *Node) addGone(d *peerv1.Digest, peerSeqs map[uint32]uint64, reply *Message) {
	for _, id := range n.tombstoned() {
		t := n.tombstones[id]
		for _, log := range t.logs {
			tag := saltedTag(log, d.GetSalt())
			if _, found := peerSeqs[tag]; found {
				delete(peerSeqs, tag)
				reply.Gone = append(reply.Gone, t.notice(id))
			}
		}
	}
}

// requestUnknown requests the logs of a digest of which this node has no copy.
func (n *Node) requestUnknown(d *peerv1.Digest, peerSeqs map[uint32]uint64, request *peerv1.Digest) {
	for _, tag := range d.GetTags() {
		if _, unknown := peerSeqs[tag]; unknown {
			request.Tags = append(request.Tags, tag)
			request.Seqs = append(request.Seqs, 0)
		}
	}
}

// rotate returns the items rotated by a random offset, so that each is sent in some
// interval if a message can't contain all.
func rotate[T any](items []T, rng *rand.Rand) []T {
	if len(items) < 2 {
		return items
	}
	k := rng.IntN(len(items))
	return slices.Concat(items[k:], items[:k])
}
