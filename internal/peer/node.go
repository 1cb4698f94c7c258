package peer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// ErrLogFull is returned by Set if the node's own log would exceed half of
// Options.MessageBytes.
var ErrLogFull = errors.New("node's own log would exceed its size limit")

// Node is one node's membership and soft state. It is not safe for concurrent use.
type Node struct {
	o        Options
	rng      *rand.Rand
	lastTime time.Time     // caller's time at the last step
	clock    time.Duration // sum of the clamped steps
	own      [2]*replica   // this node's own logs, by scope
	seeds    []string

	logs          replicas
	marks         markSet
	tombstones    map[ident.NodeID]tombstone
	endedCounters map[counterKey]Counters

	salts         []uint32 // of recent digests, oldest first
	delegates     []ident.NodeID
	leaving       bool
	revision      ident.Revision
	nextHeartbeat time.Duration // of the own fleet log, by clock

	nextAggregate time.Duration
	dataCentres   int // number with an aggregate, counted each interval
	changes       []Change
}

// New returns a node at the caller's current time. The random source only chooses
// peers, salts and the order of what is sent.
func New(o Options, now time.Time, rng *rand.Rand) *Node {
	o = o.withDefaults()
	n := &Node{
		o:             o,
		rng:           rng,
		lastTime:      now,
		seeds:         slices.Clone(o.Seeds),
		logs:          replicas{byKey: make(map[logKey]*replica)},
		marks:         markSet{byKey: make(map[markKey]*mark)},
		tombstones:    make(map[ident.NodeID]tombstone),
		endedCounters: make(map[counterKey]Counters),
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

// advance adds the time since the last call to the clock, clamped to the range from
// zero to maxStepIntervals.
func (n *Node) advance(now time.Time) {
	step := now.Sub(n.lastTime)
	n.lastTime = now
	n.clock += min(max(step, 0), maxStepIntervals*n.o.Interval)
}

// SetSeeds replaces the addresses of nodes to contact for joining.
func (n *Node) SetSeeds(addresses []string) {
	n.seeds = slices.Clone(addresses)
}

// SetRevision publishes the configuration revision in force on this node. A lower
// revision than before is ignored.
func (n *Node) SetRevision(r ident.Revision) {
	n.revision = max(n.revision, r)
	n.publishMember()
}

// Set publishes a value in this node's own log. An equal value is no change. It
// returns ErrLogFull if the value doesn't fit.
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

// Delete deletes a value from this node's own log.
func (n *Node) Delete(t Topic, key string) {
	r := n.own[t.scope()]
	if _, ok := r.value(t, key); ok {
		n.append(r, &entry{entryKey: entryKey{t, key}, deleted: true, written: n.clock})
	}
}

func (n *Node) append(r *replica, e *entry) {
	e.seq = r.seq + 1
	r.put(e)
	r.lastAdvance = n.clock
}

// Tick performs the work of one interval and returns the messages to send.
func (n *Node) Tick(now time.Time) []Send {
	n.advance(now)
	n.dataCentres = n.countDataCentres()
	n.heartbeat()
	n.updateMemberStates()
	n.delegates = n.electDelegates()
	n.publishAggregate()
	n.expire()
	sends := append(n.resendMarks(), n.gossip()...)
	n.marks.endRound()
	return sends
}

// heartbeat advances the own logs. The fleet log advances only while it has values.
func (n *Node) heartbeat() {
	n.own[scopeLocal].seq++
	n.own[scopeLocal].lastAdvance = n.clock
	fleet := n.own[scopeFleet]
	if !fleet.allDeleted() && n.clock >= n.nextHeartbeat {
		fleet.seq++
		fleet.lastAdvance = n.clock
		n.nextHeartbeat = n.clock + n.fleetInterval()
	}
}

// expire removes deletions, marks and tombstones past their retention.
func (n *Node) expire() {
	for _, r := range n.logs.order {
		r.purgeDeleted(n.clock - deletionRetention)
	}
	n.marks.expire(n.clock, n.retention)
	for _, id := range n.tombstoned() {
		if n.clock-n.tombstones[id].since > n.o.TombstoneRetention {
			delete(n.tombstones, id)
			n.withdrawSuspicion(id)
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

// Leave marks this node as leaving and returns the messages that announce it.
func (n *Node) Leave(now time.Time) []Send {
	n.advance(now)
	n.leaving = true
	own := n.own[scopeLocal]
	before := own.lastSeq()
	n.publishMember()
	var sends []Send
	for _, t := range n.pick(n.peers(), n.o.Fanout) {
		msg := n.message()
		msg.Deltas = append(msg.Deltas, n.wireDelta(own, before, own.entriesAfter(before)))
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

func (n *Node) addChange(c Change) {
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
