package peer

import (
	"maps"
	"slices"
	"strings"
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// electDelegates returns the delegates of the data centre in this node's view.
func (n *Node) electDelegates() []ident.NodeID {
	var ids []ident.NodeID
	for _, r := range n.logs.order {
		if r.scope == scopeLocal && r.state == StateAlive {
			ids = append(ids, r.owner)
		}
	}
	ids = rank(n.o.DataCentre, ids)
	return ids[:min(delegatesPerDC, len(ids))]
}

// IsDelegate reports whether this node is a delegate of its data centre. In the first
// joinIntervals after its start it is not, since every node that doesn't know its
// peers yet would elect itself.
func (n *Node) IsDelegate() bool {
	return n.clock >= joinIntervals*n.o.Interval && slices.Contains(n.delegates, n.o.ID)
}

// localDelegates returns the other delegates of the data centre.
func (n *Node) localDelegates() []target {
	var out []target
	for _, p := range n.peers() {
		if slices.Contains(n.delegates, p.id) {
			out = append(out, p)
		}
	}
	return out
}

// remoteDelegates returns the delegates of the other data centres, by data centre.
func (n *Node) remoteDelegates() [][]target {
	var out [][]target
	for _, dc := range n.DataCentres() {
		if dc.Name != n.o.DataCentre {
			out = append(out, n.delegatesOf(dc.Name))
		}
	}
	return out
}

// delegatesOf returns the delegates named in any current aggregate of a data centre.
// There can be several aggregates, as two groups of nodes of a data centre may not
// know each other yet.
func (n *Node) delegatesOf(dc ident.DataCentre) []target {
	var out []target
	for _, r := range n.logs.order {
		for _, a := range r.aggregates {
			if a.GetDataCentre() != string(dc) || n.clock-r.lastAdvance > n.maxSilence(scopeFleet) {
				continue
			}
			for _, g := range a.GetDelegates() {
				out = append(out, target{ident.NodeID(g.GetNode()), g.GetAddress(), dc})
			}
		}
	}
	slices.SortFunc(out, func(a, b target) int { return strings.Compare(a.address, b.address) })
	return slices.CompactFunc(out, func(a, b target) bool { return a.address == b.address })
}

// reconnectAddresses returns addresses that may lead to nodes outside the live
// membership: those of nodes declared gone, delegates of the data centre, and seeds.
func (n *Node) reconnectAddresses() []string {
	var out []string
	for _, id := range n.tombstoned() {
		if t := n.tombstones[id]; !t.left && t.address != "" {
			out = append(out, t.address)
		}
	}
	for _, t := range n.delegatesOf(n.o.DataCentre) {
		out = append(out, t.address)
	}
	return append(out, n.seeds...)
}

// fleetInterval returns the time between the heartbeats of a fleet log. It grows with
// the number of data centres, so that a node's traffic doesn't.
func (n *Node) fleetInterval() time.Duration {
	return max(n.o.Interval, time.Duration(n.dataCentres)*fleetHeartbeatPerDC)
}

// countDataCentres counts the data centres that have an aggregate.
func (n *Node) countDataCentres() int {
	names := make(map[string]bool)
	for _, r := range n.logs.order {
		for _, a := range r.aggregates {
			names[a.GetDataCentre()] = true
		}
	}
	return len(names)
}

// publishAggregate publishes the aggregate and evidence sums of the data centre if
// this node is a delegate, and else deletes those published before.
func (n *Node) publishAggregate() {
	dc := string(n.o.DataCentre)
	if !n.IsDelegate() {
		n.clearFleetLog()
		return
	}
	if n.clock < n.nextAggregate {
		return
	}
	n.nextAggregate = n.clock + n.fleetInterval()
	// If the log is full the previous aggregate stays.
	_ = n.Set(TopicAggregate, dc, encode(n.aggregate()))
	for _, s := range n.localSums() {
		_ = n.Set(TopicEvidenceSum, evidenceKey(n.o.DataCentre, s.key), encode(&peerv1.Counters{Values: s.sum}))
	}
}

func (n *Node) clearFleetLog() {
	for _, e := range slices.Clone(n.own[scopeFleet].entries) {
		if e.topic != TopicSummary {
			n.Delete(e.topic, e.key)
		}
	}
}

func (n *Node) aggregate() *peerv1.Aggregate {
	a := &peerv1.Aggregate{DataCentre: string(n.o.DataCentre)}
	for _, m := range n.Members() {
		switch m.State {
		case StateAlive:
			a.Alive++
		case StateSuspect:
			a.Suspect++
		default:
			continue
		}
		if a.MinRevision == 0 || uint64(m.Revision) < a.MinRevision {
			a.MinRevision = uint64(m.Revision)
		}
		a.MaxRevision = max(a.MaxRevision, uint64(m.Revision))
		if slices.Contains(n.delegates, m.ID) {
			a.Delegates = append(a.Delegates, &peerv1.Delegate{Node: string(m.ID), Address: m.Address})
		}
	}
	return a
}

// DataCentres returns the most recently updated aggregate of each data centre,
// ordered by name.
func (n *Node) DataCentres() []DataCentre {
	best := make(map[ident.DataCentre]DataCentre)
	for _, r := range n.logs.order {
		for _, a := range r.aggregates {
			d := dataCentreOf(a, n.clock-r.lastAdvance)
			if old, ok := best[d.Name]; !ok || d.SinceLastContact < old.SinceLastContact {
				best[d.Name] = d
			}
		}
	}
	return slices.SortedFunc(maps.Values(best), func(a, b DataCentre) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
}

// FleetSize returns the number of nodes, this one included, that share the limits
// of the fleet. Suspected nodes count, and so do those of a silent data centre until
// its aggregate is dropped, so that a partitioned node admits too little rather than
// too much.
func (n *Node) FleetSize() int {
	size := 0
	for _, m := range n.Members() {
		if m.State != StateJoining {
			size++
		}
	}
	for _, dc := range n.DataCentres() {
		if dc.Name != n.o.DataCentre {
			size += dc.Alive + dc.Suspect
		}
	}
	return size
}

func dataCentreOf(a *peerv1.Aggregate, silence time.Duration) DataCentre {
	d := DataCentre{
		Name:             ident.DataCentre(a.GetDataCentre()),
		Alive:            int(a.GetAlive()),
		Suspect:          int(a.GetSuspect()),
		MinRevision:      ident.Revision(a.GetMinRevision()),
		MaxRevision:      ident.Revision(a.GetMaxRevision()),
		SinceLastContact: silence,
	}
	for _, g := range a.GetDelegates() {
		d.Delegates = append(d.Delegates, Delegate{ident.NodeID(g.GetNode()), g.GetAddress()})
	}
	return d
}
