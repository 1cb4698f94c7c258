package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ErrLogFull is returned by Set where the node's own log would outgrow a message.
var ErrLogFull = errors.New("log of this node is larger than a message holds")

// Node is one node's membership and soft state. It isn't safe for concurrent use.
type Node struct {
	o     Options
	rng   *rand.Rand
	last  time.Time     // caller's now at the last step
	clock time.Duration // sum of the clamped steps
	own   [2]*replica   // by scope
	seeds []string

	logs    replicas
	marks   markSet
	tombs   map[ident.NodeID]tombstone
	retired map[counterKey]Counters

	salts     []uint32 // of recent digests
	delegates []ident.NodeID
	leaving   bool
	revision  ident.Revision
	nextBeat  time.Duration // of the own fleet log

	nextAggregate time.Duration
	dataCentres   int // known, counted each interval
	changes       []Change
}

// New returns a node at the caller's now. The random source decides peers only.
func New(o Options, now time.Time, rng *rand.Rand) *Node {
	o = o.withDefaults()
	n := &Node{
		o:       o,
		rng:     rng,
		last:    now,
		seeds:   slices.Clone(o.Seeds),
		logs:    replicas{byKey: make(map[logKey]*replica)},
		marks:   markSet{byKey: make(map[markKey]*mark)},
		tombs:   make(map[ident.NodeID]tombstone),
		retired: make(map[counterKey]Counters),
	}
	for _, s := range []scope{scopeLocal, scopeFleet} {
		r := newReplica(logKey{o.ID, s}, o.Incarnation)
		r.confirmed, r.state = true, StateAlive
		n.own[s] = r
		n.logs.add(r)
	}
	n.publishMember()
	n.delegates = n.electDelegates()
	return n
}

// advance adds the caller's step to the clock. A step back counts as none.
func (n *Node) advance(now time.Time) {
	step := now.Sub(n.last)
	n.last = now
	n.clock += min(max(step, 0), clampIntervals*n.o.Interval)
}

// SetSeeds replaces the addresses to join by.
func (n *Node) SetSeeds(addresses []string) {
	n.seeds = slices.Clone(addresses)
}

// SetRevision announces the revision that this node has in force.
func (n *Node) SetRevision(r ident.Revision) {
	n.revision = max(n.revision, r)
	n.publishMember()
}

// Set publishes a value in this node's own log. An equal value is no change.
func (n *Node) Set(t Topic, key string, value []byte) error {
	r := n.own[t.scope()]
	old, ok := r.value(t, key)
	if ok && slices.Equal(old, value) {
		return nil
	}
	e := &entry{entryKey: entryKey{t, key}, value: value, written: n.clock}
	if r.bytes+e.size()-len(old) > n.o.MessageBytes/2 {
		return errors.Wrapf(ErrLogFull, "topic %d key %q", t, key)
	}
	n.append(r, e)
	return nil
}

// Delete removes a value from this node's own log.
func (n *Node) Delete(t Topic, key string) {
	r := n.own[t.scope()]
	if _, ok := r.value(t, key); ok {
		n.append(r, &entry{entryKey: entryKey{t, key}, deleted: true, written: n.clock})
	}
}

func (n *Node) append(r *replica, e *entry) {
	e.seq = r.seq + 1
	r.put(e)
	r.advanced = n.clock
}

// Tick does the work of one interval and returns the messages to send.
func (n *Node) Tick(now time.Time) []Send {
	n.advance(now)
	n.dataCentres = n.countDataCentres()
	n.beat()
	n.judgeMembers()
	n.delegates = n.electDelegates()
	n.publishAggregate()
	n.collect()
	sends := append(n.carryOn(), n.gossip()...)
	n.marks.endRound()
	return sends
}

// beat advances the own logs. The fleet log beats only while it says something.
func (n *Node) beat() {
	n.own[scopeLocal].seq++
	n.own[scopeLocal].advanced = n.clock
	fleet := n.own[scopeFleet]
	if !fleet.ended() && n.clock >= n.nextBeat {
		fleet.seq++
		fleet.advanced = n.clock
		n.nextBeat = n.clock + n.fleetInterval()
	}
}

// collect forgets what has outlived its retention.
func (n *Node) collect() {
	for _, r := range n.logs.order {
		r.collect(n.clock - deletedFor)
	}
	n.marks.expire(n.clock, n.retention)
	for _, id := range n.buried() {
		if n.clock-n.tombs[id].since > n.o.TombstoneRetention {
			delete(n.tombs, id)
			n.withdraw(id)
		}
	}
}

func (n *Node) retention(k MarkKind) time.Duration {
	switch k {
	case MarkRevision:
		return 0
	case MarkBadVersion, MarkMoveRecord:
		return n.o.BadVersionRetention
	default:
		return n.o.LeavingRetention
	}
}

// Leave announces that this node stops, and returns the messages that say so.
func (n *Node) Leave(now time.Time) []Send {
	n.advance(now)
	n.leaving = true
	own := n.own[scopeLocal]
	before := own.lastSeq()
	n.publishMember()
	var sends []Send
	for _, t := range n.pick(n.peers(), n.o.Fanout) {
		msg := n.message()
		msg.Deltas = append(msg.Deltas, n.wireDelta(own, before, own.above(before)))
		sends = append(sends, n.send(t, msg))
	}
	return sends
}

// Changes returns the changes since the last call.
func (n *Node) Changes() []Change {
	c := n.changes
	n.changes = nil
	return c
}

func (n *Node) change(c Change) {
	n.changes = append(n.changes, c)
}

// ID returns the node's own ID.
func (n *Node) ID() ident.NodeID { return n.o.ID }

// Incarnation returns the node's own incarnation.
func (n *Node) Incarnation() ident.Incarnation { return n.own[scopeLocal].incarnation }

// Entries returns the values of a topic, ordered by owner and sequence.
func (n *Node) Entries(t Topic) []Entry {
	var out []Entry
	for _, r := range n.logs.order {
		if r.scope != t.scope() {
			continue
		}
		for _, e := range r.entries {
			if e.topic == t && !e.deleted {
				out = append(out, Entry{Owner: r.owner, Topic: t, Key: e.key, Value: e.value})
			}
		}
	}
	return out
}
