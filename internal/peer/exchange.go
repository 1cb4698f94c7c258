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
	dc      ident.DataCentre // empty where it isn't known
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

// gossip returns the digests of one interval.
func (n *Node) gossip() []Send {
	targets := n.pick(n.peers(), digestPeers)
	if n.IsDelegate() {
		targets = append(targets, n.pick(slices.Concat(n.otherDelegates()...), digestPeers)...)
	}
	targets = append(targets, n.reconnect(len(n.peers()) == 0)...)
	rumours := n.marks.rumours()
	var sends []Send
	for _, t := range targets {
		msg := n.newDigest(t.scopeTo(n))
		n.addMarksUpTo(msg, rotate(rumours, n.rng), rumourBytes)
		sends = append(sends, n.send(t, msg))
	}
	return sends
}

// reconnect returns addresses outside the live membership: seeds, lives that are
// over, and delegates of the own data centre that are not members yet. Without
// them the halves of a healed partition would never speak again.
func (n *Node) reconnect(alone bool) []target {
	if !alone && n.rng.IntN(reconnectOdds) != 0 {
		return nil
	}
	known := map[string]bool{n.o.Address: true}
	for _, t := range n.peers() {
		known[t.address] = true
	}
	for _, t := range slices.Concat(n.otherDelegates()...) {
		known[t.address] = true
	}
	var out []target
	for _, a := range n.strangers() {
		if !known[a] {
			known[a] = true
			out = append(out, target{address: a})
		}
	}
	return n.pick(out, digestPeers)
}

func (n *Node) newDigest(to scope) *Message {
	msg := n.message()
	d := n.digestWith(n.rng.Uint32())
	for _, r := range n.logs.order {
		if r.scope >= to && n.serves(r) {
			d.Tags = append(d.Tags, r.tag(d.Salt))
			d.Seqs = append(d.Seqs, r.seq)
		}
	}
	n.boundDigest(d)
	msg.Digest = d
	return msg
}

// digestWith returns an empty digest and takes answers to its salt from now on.
func (n *Node) digestWith(salt uint32) *peerv1.Digest {
	n.salts = append(n.salts, salt)
	if len(n.salts) > saltsKept {
		n.salts = n.salts[1:]
	}
	return &peerv1.Digest{Salt: salt, MarksHash: n.marks.hash}
}

// boundDigest keeps a random run of the logs where not all fit into a message.
func (n *Node) boundDigest(d *peerv1.Digest) {
	const bytesPerLog = 8
	limit := n.o.MessageBytes / bytesPerLog
	if len(d.Tags) <= limit {
		return
	}
	i := n.rng.IntN(len(d.Tags) - limit + 1)
	d.Tags, d.Seqs, d.Partial = d.Tags[i:i+limit], d.Seqs[i:i+limit], true
}

// serves tells whether a log is shown to others. A silent one is not, so that it
// ends everywhere at about the same time and isn't offered to nodes that would
// refuse it; one whose entries were all removed ends soon.
func (n *Node) serves(r *replica) bool {
	silent := n.clock - r.advanced
	if r.ended() {
		return len(r.entries) > 0 && silent < n.o.SuspectAfter
	}
	return silent < n.newcomerSilence(r.scope)
}

// Receive takes a message and returns the messages to send for it. Those to the
// sender come first.
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
	n.applyBeats(m.GetBeats())
	n.learnGone(m.GetGone())
	sends := n.learnMarks(m, reply)
	if m.GetDigest() != nil {
		n.answer(m, reply)
	}
	if empty(reply) {
		return sends
	}
	back := target{id: from, address: m.GetAddress(), dc: ident.DataCentre(m.GetDataCentre())}
	return append([]Send{n.send(back, reply)}, sends...)
}

func empty(m *Message) bool {
	return m.Digest == nil && m.Beats == nil && len(m.Deltas)+len(m.Marks)+len(m.Gone) == 0
}

// answer fills reply with what the sender of a digest lacks, and asks by a digest
// of the next leg for what this node lacks.
func (n *Node) answer(m *Message, reply *Message) {
	d := m.GetDigest()
	to := n.scopeOf(m)
	theirs := positions(d)
	ask := n.digestWith(d.GetSalt())
	ask.Partial = true
	b := &batch{node: n, msg: reply, salt: d.GetSalt()}
	for _, r := range rotate(n.logs.order, n.rng) {
		tag := r.tag(d.GetSalt())
		seq, known := theirs[tag]
		delete(theirs, tag)
		switch {
		case r.scope < to:
		case known && seq > r.seq:
			n.behind(r, tag, ask)
		case n.serves(r) && (known && seq < r.seq || !known && !d.GetPartial()):
			b.add(r, seq)
		}
	}
	n.refuse(d, theirs, reply)
	n.askUnknown(d, theirs, ask)
	ask.MarkBuckets = n.repairMarks(d, reply)
	if d.GetLeg() > 0 {
		ask.Tags, ask.Seqs = nil, nil
	}
	if len(ask.Tags) > 0 || len(ask.MarkBuckets) > 0 {
		ask.Leg = d.GetLeg() + 1
		reply.Digest = ask
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

// scopeOf returns the least scope that the sender of m may see.
func (n *Node) scopeOf(m *Message) scope {
	return target{dc: ident.DataCentre(m.GetDataCentre())}.scopeTo(n)
}

// behind asks for a log whose copy here is behind. A peer that knows more of this
// node's own log knows an earlier process of the same incarnation.
func (n *Node) behind(r *replica, tag uint32, ask *peerv1.Digest) {
	if r.owner == n.o.ID {
		n.refute(r.incarnation)
		return
	}
	ask.Tags = append(ask.Tags, tag)
	ask.Seqs = append(ask.Seqs, r.seq)
}

// refuse tells the sender of the lives in its digest that are over.
func (n *Node) refuse(d *peerv1.Digest, theirs map[uint32]uint64, reply *Message) {
	for _, id := range n.buried() {
		t := n.tombs[id]
		for _, log := range t.logs {
			tag := saltedTag(log, d.GetSalt())
			if _, shown := theirs[tag]; shown {
				delete(theirs, tag)
				reply.Gone = append(reply.Gone, t.notice(id))
			}
		}
	}
}

// askUnknown asks for the logs of a digest that this node has no copy of.
func (n *Node) askUnknown(d *peerv1.Digest, theirs map[uint32]uint64, ask *peerv1.Digest) {
	for _, tag := range d.GetTags() {
		if _, unknown := theirs[tag]; unknown {
			ask.Tags = append(ask.Tags, tag)
			ask.Seqs = append(ask.Seqs, 0)
		}
	}
}

// rotate returns the items from a random one on, so that each gets its turn where
// a message can't hold all.
func rotate[T any](items []T, rng *rand.Rand) []T {
	if len(items) < 2 {
		return items
	}
	k := rng.IntN(len(items))
	return slices.Concat(items[k:], items[:k])
}
