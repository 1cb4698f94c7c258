package peer

import (
	"slices"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Mark merges marks and returns the messages that send the changed ones at once: to
// Fanout random peers, to the delegates of the data centre, and to those of all other
// data centres, so that the delivery does not depend on any single node.
func (n *Node) Mark(now time.Time, marks ...Mark) []Send {
	n.advance(now)
	var updated []*mark
	for _, in := range marks {
		if m := n.marks.put(in, n.clock); m != nil {
			m.remoteFanout = fanoutAll
			updated = append(updated, m)
			n.addChange(Change{Kind: ChangeMark, Mark: in})
		}
	}
	targets := n.pick(n.peers(), n.o.Fanout)
	targets = append(targets, n.localDelegates()...)
	for _, dc := range n.remoteDelegates() {
		targets = append(targets, dc...)
	}
	return n.sendMarks(updated, targets)
}

// mergeMarks merges a peer's marks and returns the messages that relay the changed
// ones. If the peer's age of a mark is lower by more than markAgeSlack, reply gets
// the greater age, so that both nodes expire the mark at about the same time.
func (n *Node) mergeMarks(m, reply *Message) []Send {
	var updated []*mark
	for _, in := range m.GetMarks() {
		received := Mark{Kind: MarkKind(in.GetKind()), Subject: in.GetSubject(), Number: in.GetNumber(), Value: in.GetValue()}
		age := time.Duration(in.GetAgeMs()) * time.Millisecond
		if limit := n.retention(received.Kind); limit > 0 && age > limit {
			continue
		}
		if merged := n.marks.put(received, n.clock-age); merged != nil {
			if n.IsDelegate() && n.scopeOf(m) == scopeLocal {
				merged.remoteFanout = fanoutOne
			}
			updated = append(updated, merged)
			n.addChange(Change{Kind: ChangeMark, Mark: received})
		} else if own := n.marks.byKey[markKey{received.Kind, received.Subject}]; n.clock-own.created > age+markAgeSlack {
			reply.Marks = append(reply.Marks, n.wireMark(own))
		}
	}
	if len(updated) == 0 {
		return nil
	}
	return n.sendMarks(updated, n.relayTargets(m))
}

// relayTargets returns the nodes to which marks received in m are relayed. A
// delegate relays those from its own data centre to one delegate of every other, and
// those from another data centre to the other delegates of its own.
func (n *Node) relayTargets(m *Message) []target {
	targets := n.pick(n.peers(), n.o.Fanout)
	if !n.IsDelegate() {
		return targets
	}
	if m.GetDataCentre() != string(n.o.DataCentre) {
		return append(targets, n.localDelegates()...)
	}
	for _, dc := range n.remoteDelegates() {
		targets = append(targets, n.pick(dc, 1)...)
	}
	return targets
}

// resendMarks sends the rumours to delegates of other data centres again. It is
// not known yet which of these are dead or slow, so each interval chooses anew.
func (n *Node) resendMarks() []Send {
	one, all := n.marks.remoteRumours()
	if len(one)+len(all) == 0 {
		return nil
	}
	var onePerDC, allDelegates []target
	for _, dc := range n.remoteDelegates() {
		onePerDC = append(onePerDC, n.pick(dc, 1)...)
		allDelegates = append(allDelegates, dc...)
	}
	return append(n.sendMarks(all, allDelegates), n.sendMarks(one, onePerDC)...)
}

func (n *Node) sendMarks(updated []*mark, targets []target) []Send {
	if len(updated) == 0 {
		return nil
	}
	var sends []Send
	sentTo := make(map[string]bool, len(targets))
	for _, t := range targets {
		if sentTo[t.address] || t.id == n.o.ID {
			continue
		}
		sentTo[t.address] = true
		for remaining := updated; len(remaining) > 0; {
			msg := n.message()
			remaining = n.addMarks(msg, remaining)
			sends = append(sends, n.send(t, msg))
		}
	}
	return sends
}

// addMarks adds marks to a message up to its maximum size and returns the remaining
// ones.
func (n *Node) addMarks(msg *Message, marks []*mark) []*mark {
	return n.addMarksUpTo(msg, marks, n.o.MessageBytes)
}

func (n *Node) addMarksUpTo(msg *Message, marks []*mark, limit int) []*mark {
	size := 0
	for i, m := range marks {
		size += len(m.subject) + len(m.value) + entryOverhead
		if i > 0 && size > limit {
			return marks[i:]
		}
		msg.Marks = append(msg.Marks, n.wireMark(m))
	}
	return nil
}

func (n *Node) wireMark(m *mark) *peerv1.Mark {
	return &peerv1.Mark{
		Kind:    uint32(m.kind),
		Subject: m.subject,
		Number:  m.number,
		Value:   m.value,
		AgeMs:   uint64(max(n.clock-m.created, 0) / time.Millisecond),
	}
}

// Marks returns all marks, ordered by kind and subject.
func (n *Node) Marks() []Mark {
	var out []Mark
	for _, m := range n.marks.sorted() {
		out = append(out, m.toMark())
	}
	return out
}

// Marked returns the highest number marked for a subject.
func (n *Node) Marked(k MarkKind, subject string) (number uint64, ok bool) {
	m, ok := n.marks.byKey[markKey{k, subject}]
	if !ok {
		return 0, false
	}
	return m.number, true
}

// Leaving reports whether an endpoint is marked as leaving in the given incarnation
// or a later one.
func (n *Node) Leaving(id ident.EndpointID, inc ident.Incarnation) bool {
	number, ok := n.Marked(MarkEndpointLeaving, string(id))
	return ok && number >= uint64(inc)
}

// HostLeaving reports whether a host is marked as leaving in the given incarnation
// or a later one.
func (n *Node) HostLeaving(h ident.Host, inc ident.Incarnation) bool {
	number, ok := n.Marked(MarkHostLeaving, string(h))
	return ok && number >= uint64(inc)
}

// reconcileMarks compares the marks with those of a digest's sender. If the digest
// has the sender's buckets, it adds this node's marks of the differing ones to reply,
// else the recent marks, which are the likely cause of the difference. It returns
// this node's buckets if the sender should compare in turn.
func (n *Node) reconcileMarks(d *peerv1.Digest, reply *Message) []uint64 {
	if d.GetMarksHash() == n.marks.hash {
		return nil
	}
	if len(d.GetMarkBuckets()) > 0 {
		n.addMarks(reply, rotate(n.marks.differing(d.GetMarkBuckets()), n.rng))
	} else {
		n.addMarks(reply, rotate(n.marks.recent, n.rng))
	}
	if d.GetLeg() >= lastLeg {
		return nil
	}
	return slices.Clone(n.marks.buckets[:])
}

// MarkCount returns the number of marks stored.
func (n *Node) MarkCount() int { return len(n.marks.byKey) }
