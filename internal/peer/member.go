package peer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// tombstone records an ended incarnation of a node, whose logs are refused.
type tombstone struct {
	incarnation ident.Incarnation
	logs        [2]uint64 // hashes of its logs, by scope
	address     string
	since       time.Duration
	left        bool
}

func (t tombstone) notice(id ident.NodeID) *peerv1.Gone {
	return &peerv1.Gone{Node: string(id), Incarnation: uint64(t.incarnation), Left: t.left}
}

func (n *Node) publishMember() {
	b := encode(&peerv1.MemberSummary{
		Address:    n.o.Address,
		DataCentre: string(n.o.DataCentre),
		Revision:   uint64(n.revision),
		Left:       n.leaving,
	})
	n.append(n.own[scopeLocal], &entry{entryKey: entryKey{TopicMember, ""}, value: b, written: n.clock})
}

// encode marshals a message of this package. Marshalling these cannot fail.
func encode(m proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b
}

// updateMemberStates updates the state of every member of the data centre, and checks
// the fleet logs for silence.
func (n *Node) updateMemberStates() {
	n.refuteSuspicions()
	for _, r := range slices.Clone(n.logs.order) {
		switch {
		case r.owner == n.o.ID:
		case r.scope == scopeFleet:
			n.updateFleetLog(r)
		default:
			n.updateMember(r)
		}
	}
}

func (n *Node) updateMember(r *replica) {
	silence := n.clock - r.lastAdvance
	switch {
	case r.summary.GetLeft():
		n.endIncarnation(r, StateLeft)
	case silence <= n.o.SuspectAfter:
		n.withdrawSuspicion(r.owner)
		if r.confirmed && r.summary != nil {
			n.setState(r, StateAlive)
		}
	case !r.confirmed:
		n.dropLog(r)
	case silence > n.o.DropAfter:
		n.endIncarnation(r, StateGone)
	default:
		n.suspect(r)
	}
}

// suspect publishes this node's suspicion of a member and declares it gone if enough
// witnesses agree.
func (n *Node) suspect(r *replica) {
	n.setState(r, StateSuspect)
	if n.countWitnesses(r) < witnessQuorum {
		n.publishSuspicion(r)
	}
	if n.countWitnesses(r) >= n.requiredWitnesses(r) {
		n.endIncarnation(r, StateGone)
	}
}

func (n *Node) publishSuspicion(r *replica) {
	t := TopicSuspicion
	if r.scope == scopeFleet {
		t = TopicFleetSuspicion
	}
	// If the log is full the suspicion is left to other witnesses.
	_ = n.Set(t, string(r.owner), encode(&peerv1.Suspicion{Incarnation: uint64(r.incarnation)}))
}

// withdrawSuspicion deletes this node's suspicions of a node.
func (n *Node) withdrawSuspicion(id ident.NodeID) {
	n.Delete(TopicSuspicion, string(id))
	n.Delete(TopicFleetSuspicion, string(id))
}

// countWitnesses returns the number of nodes that suspect a member and are not silent
// themselves.
func (n *Node) countWitnesses(r *replica) int {
	seen := make(map[ident.NodeID]bool)
	for _, w := range n.logs.order {
		current := n.clock-w.lastAdvance <= n.maxSilence(w.scope)
		if current && w.owner != r.owner && suspects(w, r) {
			seen[w.owner] = true
		}
	}
	return len(seen)
}

func suspects(w, r *replica) bool {
	t := TopicSuspicion
	if w.scope == scopeFleet {
		t = TopicFleetSuspicion
	}
	b, ok := w.value(t, string(r.owner))
	if !ok {
		return false
	}
	s := new(peerv1.Suspicion)
	return proto.Unmarshal(b, s) == nil && ident.Incarnation(s.GetIncarnation()) >= r.incarnation
}

// requiredWitnesses returns how many nodes must suspect a member before it is declared
// gone: one only if no second witness is known, else witnessQuorum.
func (n *Node) requiredWitnesses(r *replica) int {
	for _, w := range n.logs.order {
		if w.owner != n.o.ID && w.owner != r.owner {
			return witnessQuorum
		}
	}
	return 1
}

// maxSilence returns the silence up to which the owner of a log counts as alive.
func (n *Node) maxSilence(s scope) time.Duration {
	if s == scopeLocal {
		return n.o.SuspectAfter
	}
	return n.o.SuspectAfter + fleetSilenceHeartbeats*n.fleetInterval()
}

// refuteSuspicions raises this node's incarnation if any node suspects it.
func (n *Node) refuteSuspicions() {
	own := n.own[scopeLocal]
	for _, w := range n.logs.order {
		if w.owner != n.o.ID && suspects(w, own) {
			n.refute(own.incarnation)
			return
		}
	}
}

// updateFleetLog suspects the owner of a silent fleet log, or drops the log. The state
// of delegates of other data centres matters only for their suspicions as witnesses,
// so no second witness is required.
func (n *Node) updateFleetLog(r *replica) {
	silence := n.clock - r.lastAdvance
	switch {
	case silence > n.o.DropAfter, silence > n.maxSilence(scopeFleet) && r.allDeleted():
		n.Delete(TopicFleetSuspicion, string(r.owner))
		n.dropLog(r)
	case silence > n.maxSilence(scopeFleet) && r.confirmed && n.IsDelegate() && n.logs.get(logKey{r.owner, scopeLocal}) == nil:
		n.publishSuspicion(r)
	case silence <= n.maxSilence(scopeFleet):
		n.Delete(TopicFleetSuspicion, string(r.owner))
	}
}

func (n *Node) setState(r *replica, s State) {
	if r.state == s {
		return
	}
	r.state = s
	n.addChange(Change{Kind: ChangeMember, Member: n.member(r)})
}

// endIncarnation ends an incarnation of a node: its logs are dropped and refused from
// now on. This node's suspicion of it stays as long as the tombstone, for nodes that
// still count witnesses.
func (n *Node) endIncarnation(r *replica, s State) {
	n.setState(r, s)
	t := tombstone{incarnation: r.incarnation, address: n.member(r).Address, since: n.clock, left: s == StateLeft}
	for _, sc := range []scope{scopeLocal, scopeFleet} {
		t.logs[sc] = newReplica(logKey{r.owner, sc}, r.incarnation).id
	}
	n.tombstones[r.owner] = t
	n.dropLog(r)
	if f := n.logs.get(logKey{r.owner, scopeFleet}); f != nil && f.incarnation <= r.incarnation {
		n.dropLog(f)
	}
}

// dropLog removes the copy of a log.
func (n *Node) dropLog(r *replica) {
	n.keepCounters(r)
	for _, e := range r.entries {
		if !e.deleted {
			n.entryChange(r, e.topic, e.key, nil)
		}
	}
	if r.scope == scopeLocal && (r.state == StateAlive || r.state == StateSuspect) {
		n.setState(r, StateGone)
	}
	n.logs.drop(r.logKey)
	n.salts = nil // heartbeats for this copy may be in flight
}

// tombstoned returns the nodes with a tombstone, ordered by ID.
func (n *Node) tombstoned() []ident.NodeID {
	out := make([]ident.NodeID, 0, len(n.tombstones))
	for id := range n.tombstones {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (n *Node) member(r *replica) Member {
	return Member{
		ID:               r.owner,
		Incarnation:      r.incarnation,
		Address:          r.summary.GetAddress(),
		DataCentre:       n.o.DataCentre,
		State:            r.state,
		Revision:         ident.Revision(r.summary.GetRevision()),
		SinceLastContact: n.clock - r.lastAdvance,
	}
}

// Members returns the members of the data centre, this node included, ordered by ID.
// Those that are gone or have left are excluded.
func (n *Node) Members() []Member {
	var out []Member
	for _, r := range n.logs.order {
		if r.scope == scopeLocal {
			out = append(out, n.member(r))
		}
	}
	return out
}

// peers returns the other members that a message can be sent to.
func (n *Node) peers() []target {
	var out []target
	for _, m := range n.Members() {
		if m.ID != n.o.ID && m.Address != "" {
			out = append(out, target{m.ID, m.Address, n.o.DataCentre})
		}
	}
	return out
}

// pick returns up to k random targets.
func (n *Node) pick(from []target, k int) []target {
	out := slices.Clone(from)
	n.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(k, len(out))]
}

// rank orders nodes as delegates of a data centre by rendezvous hashing.
func rank(dc ident.DataCentre, ids []ident.NodeID) []ident.NodeID {
	out := slices.Clone(ids)
	weight := func(id ident.NodeID) uint64 { return xxhash.Sum64String(string(dc) + "/" + string(id)) }
	slices.SortFunc(out, func(a, b ident.NodeID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}
