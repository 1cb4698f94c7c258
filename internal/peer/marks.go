package peer

import (
	"slices"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Mark records marks and returns the messages that spread the news at once: to
// some peers, to the delegates of the data centre, and to those of all others, so
// that no single node has to be alive for the news to travel.
func (n *Node) Mark(now time.Time, marks ...Mark) []Send {
	n.advance(now)
	var news []*mark
	for _, in := range marks {
		if m := n.marks.put(in, n.clock); m != nil {
			m.spread = spreadAll
			news = append(news, m)
			n.change(Change{Kind: ChangeMark, Mark: in})
		}
	}
	targets := n.pick(n.peers(), n.o.Fanout)
	targets = append(targets, n.localDelegates()...)
	for _, dc := range n.otherDelegates() {
		targets = append(targets, dc...)
	}
	return n.rumour(news, targets)
}

// learnMarks merges a peer's marks and sends the news on. Where the peer holds a
// mark for much younger, reply tells it the age, so that both forget it together.
func (n *Node) learnMarks(m, reply *Message) []Send {
	var news []*mark
	for _, in := range m.GetMarks() {
		k := Mark{Kind: MarkKind(in.GetKind()), Subject: in.GetSubject(), Number: in.GetNumber(), Value: in.GetValue()}
		age := time.Duration(in.GetAgeMs()) * time.Millisecond
		if limit := n.retention(k.Kind); limit > 0 && age > limit {
			continue
		}
		if got := n.marks.put(k, n.clock-age); got != nil {
			if n.IsDelegate() && n.scopeOf(m) == scopeLocal {
				got.spread = spreadOne
			}
			news = append(news, got)
			n.change(Change{Kind: ChangeMark, Mark: k})
		} else if mine := n.marks.byKey[markKey{k.Kind, k.Subject}]; n.clock-mine.born > age+markAgeSlack {
			reply.Marks = append(reply.Marks, n.wireMark(mine))
		}
	}
	if len(news) == 0 {
		return nil
	}
	return n.rumour(news, n.rumourTargets(m))
}

// rumourTargets chooses whom to tell news that came in m. A delegate carries news
// from within to one delegate of every other data centre, and news from outside
// to its fellow delegate.
func (n *Node) rumourTargets(m *Message) []target {
	targets := n.pick(n.peers(), n.o.Fanout)
	if !n.IsDelegate() {
		return targets
	}
	if m.GetDataCentre() != string(n.o.DataCentre) {
		return append(targets, n.localDelegates()...)
	}
	for _, dc := range n.otherDelegates() {
		targets = append(targets, n.pick(dc, 1)...)
	}
	return targets
}

// carryOn tells the delegates of other data centres again of recent marks. Which
// of them are dead or slow isn't known yet, so each interval picks anew.
func (n *Node) carryOn() []Send {
	one, all := n.marks.toSpread()
	if len(one)+len(all) == 0 {
		return nil
	}
	var some, every []target
	for _, dc := range n.otherDelegates() {
		some = append(some, n.pick(dc, 1)...)
		every = append(every, dc...)
	}
	return append(n.rumour(all, every), n.rumour(one, some)...)
}

func (n *Node) rumour(news []*mark, targets []target) []Send {
	if len(news) == 0 {
		return nil
	}
	var sends []Send
	told := make(map[string]bool, len(targets))
	for _, t := range targets {
		if told[t.address] || t.id == n.o.ID {
			continue
		}
		told[t.address] = true
		for rest := news; len(rest) > 0; {
			msg := n.message()
			rest = n.addMarks(msg, rest)
			sends = append(sends, n.send(t, msg))
		}
	}
	return sends
}

// addMarks puts marks into a message up to its bound and returns the rest.
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
		AgeMs:   uint64(max(n.clock-m.born, 0) / time.Millisecond),
	}
}

// Marks returns all marks, ordered by kind and subject.
func (n *Node) Marks() []Mark {
	var out []Mark
	for _, m := range n.marks.sorted() {
		out = append(out, m.mark())
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

// Leaving tells whether that life of an endpoint, or an earlier mark of a later
// one, is marked as leaving.
func (n *Node) Leaving(id ident.EndpointID, inc ident.Incarnation) bool {
	number, ok := n.Marked(MarkEndpointLeaving, string(id))
	return ok && number >= uint64(inc)
}

// HostLeaving tells whether that life of a host is marked as leaving.
func (n *Node) HostLeaving(h ident.Host, inc ident.Incarnation) bool {
	number, ok := n.Marked(MarkHostLeaving, string(h))
	return ok && number >= uint64(inc)
}

// repairMarks compares the marks with those of a digest's sender. Where the
// buckets are known it puts this node's marks of the differing ones into reply,
// else the recent ones, which are the likely cause.
// It returns the buckets of this node where the sender should compare in turn.
func (n *Node) repairMarks(d *peerv1.Digest, reply *Message) []uint64 {
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

// MarkCount returns the number of marks kept.
func (n *Node) MarkCount() int { return len(n.marks.byKey) }
