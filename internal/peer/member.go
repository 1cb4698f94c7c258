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

// tombstone is a life that is over; its logs are refused.
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

// encode marshals a message of this package; these have no part that can fail.
func encode(m proto.Message) []byte {
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	return b
}

// judgeMembers sets the state of every member of the data centre.
func (n *Node) judgeMembers() {
	n.answerSuspicion()
	for _, r := range slices.Clone(n.logs.order) {
		switch {
		case r.owner == n.o.ID:
		case r.scope == scopeFleet:
			n.judgeFleetLog(r)
		default:
			n.judge(r)
		}
	}
}

func (n *Node) judge(r *replica) {
	silent := n.clock - r.advanced
	switch {
	case r.summary.GetLeft():
		n.bury(r, StateLeft)
	case silent <= n.o.SuspectAfter:
		n.withdraw(r.owner)
		if r.confirmed && r.summary != nil {
			n.setState(r, StateAlive)
		}
	case !r.confirmed:
		n.forget(r)
	case silent > n.o.DropAfter:
		n.bury(r, StateGone)
	default:
		n.suspect(r)
	}
}

// suspect publishes this node's suspicion and buries the member where enough
// witnesses agree.
func (n *Node) suspect(r *replica) {
	n.setState(r, StateSuspect)
	if n.witnesses(r) < witnessesNeeded {
		n.accuse(r)
	}
	if n.witnesses(r) >= n.witnessesFor(r) {
		n.bury(r, StateGone)
	}
}

func (n *Node) accuse(r *replica) {
	t := TopicSuspicion
	if r.scope == scopeFleet {
		t = TopicFleetSuspicion
	}
	// A full log leaves the accusation to other witnesses.
	_ = n.Set(t, string(r.owner), encode(&peerv1.Suspicion{Incarnation: uint64(r.incarnation)}))
}

// withdraw takes back this node's word against a node.
func (n *Node) withdraw(id ident.NodeID) {
	n.Delete(TopicSuspicion, string(id))
	n.Delete(TopicFleetSuspicion, string(id))
}

// witnesses counts the nodes whose word that the member is silent is current.
func (n *Node) witnesses(r *replica) int {
	seen := make(map[ident.NodeID]bool)
	for _, w := range n.logs.order {
		current := n.clock-w.advanced <= n.freshFor(w.scope)
		if current && w.owner != r.owner && accuses(w, r) {
			seen[w.owner] = true
		}
	}
	return len(seen)
}

func accuses(w, r *replica) bool {
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

// witnessesFor is one only where no second witness is known at all.
func (n *Node) witnessesFor(r *replica) int {
	for _, w := range n.logs.order {
		if w.owner != n.o.ID && w.owner != r.owner {
			return witnessesNeeded
		}
	}
	return 1
}

// freshFor is the silence up to which the owner of a log counts as heard.
func (n *Node) freshFor(s scope) time.Duration {
	if s == scopeLocal {
		return n.o.SuspectAfter
	}
	return n.o.SuspectAfter + fleetSilenceBeats*n.fleetInterval()
}

// answerSuspicion refutes the word of any witness against this node.
func (n *Node) answerSuspicion() {
	own := n.own[scopeLocal]
	for _, w := range n.logs.order {
		if w.owner != n.o.ID && accuses(w, own) {
			n.refute(own.incarnation)
			return
		}
	}
}

// judgeFleetLog watches the delegates of other data centres. Nothing hangs on
// their state but their word as witnesses, so no second witness is asked.
func (n *Node) judgeFleetLog(r *replica) {
	silent := n.clock - r.advanced
	switch {
	case silent > n.o.DropAfter, silent > n.freshFor(scopeFleet) && r.ended():
		n.Delete(TopicFleetSuspicion, string(r.owner))
		n.forget(r)
	case silent > n.freshFor(scopeFleet) && r.confirmed && n.IsDelegate() && n.logs.get(logKey{r.owner, scopeLocal}) == nil:
		n.accuse(r)
	case silent <= n.freshFor(scopeFleet):
		n.Delete(TopicFleetSuspicion, string(r.owner))
	}
}

func (n *Node) setState(r *replica, s State) {
	if r.state == s {
		return
	}
	r.state = s
	n.change(Change{Kind: ChangeMember, Member: n.member(r)})
}

// bury ends a life: its logs are dropped and refused from now on. The word against
// it stands as long as the tombstone, for those who still count witnesses.
func (n *Node) bury(r *replica, s State) {
	n.setState(r, s)
	t := tombstone{incarnation: r.incarnation, address: n.member(r).Address, since: n.clock, left: s == StateLeft}
	for _, sc := range []scope{scopeLocal, scopeFleet} {
		t.logs[sc] = newReplica(logKey{r.owner, sc}, r.incarnation).id
	}
	n.tombs[r.owner] = t
	n.forget(r)
	if f := n.logs.get(logKey{r.owner, scopeFleet}); f != nil && f.incarnation <= r.incarnation {
		n.forget(f)
	}
}

// forget drops the copy of a log.
func (n *Node) forget(r *replica) {
	n.retire(r)
	for _, e := range r.entries {
		if !e.deleted {
			n.entryChange(r, e.topic, e.key, nil)
		}
	}
	if r.scope == scopeLocal && (r.state == StateAlive || r.state == StateSuspect) {
		n.setState(r, StateGone)
	}
	n.logs.drop(r.logKey)
	n.salts = nil // beats for this copy may be on their way
}

// buried returns the nodes with a tombstone, ordered.
func (n *Node) buried() []ident.NodeID {
	out := make([]ident.NodeID, 0, len(n.tombs))
	for id := range n.tombs {
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
		SinceLastContact: n.clock - r.advanced,
	}
}

// Members returns the members of the data centre with this node, ordered by ID.
// Those that are gone or have left are not among them.
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

// rank orders nodes for a duty of a data centre, by rendezvous hashing.
func rank(dc ident.DataCentre, ids []ident.NodeID) []ident.NodeID {
	out := slices.Clone(ids)
	weight := func(id ident.NodeID) uint64 { return xxhash.Sum64String(string(dc) + "/" + string(id)) }
	slices.SortFunc(out, func(a, b ident.NodeID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return out
}
