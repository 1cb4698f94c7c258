package quota

import "time"

// In a large fleet the gossip of node state takes more than a second to reach all nodes.
// A workspace that suddenly sends many times its limit finds a full bucket at every node
// and could spend the burst several times before all nodes know of it. Large spending is
// therefore also sent to all nodes directly, as an urgent update.

const (
	// maxUnsentShare is the fraction of a burst that all nodes together may spend without
	// an urgent update. It is small compared with the overshoot that the operators allow
	// within their window.
	maxUnsentShare = 0.2
	// maxGossipOnlyNodes is the number of nodes up to which gossip alone is fast enough.
	maxGossipOnlyNodes = 16
)

// unsentSpending is what this node has spent of a limit since its last urgent update. It
// decays at the node's even share of the rate: while no node spends more than that, the
// limit is kept whatever the others know, and gossip is fast enough.
type unsentSpending struct {
	amount  float64
	updated time.Time
}

func (u *unsentSpending) add(now time.Time, decayRate, cost float64) {
	u.amount = max(u.amount-decayRate*now.Sub(u.updated).Seconds(), 0) + cost
	u.updated = now
}

// UrgentSpending returns the total spending to send to all nodes at once, of the workspaces
// of which this node's unsent spending has reached its share of the maximum. It is nil
// where there is nothing to send. What it returns counts as sent.
func (l *Ledger) UrgentSpending() Spending {
	nodes := len(l.peers) + 1
	if nodes <= maxGossipOnlyNodes {
		return nil
	}
	var out Spending
	for name, b := range l.buckets {
		if b.rate <= 0 || b.unsent.amount < maxUnsentShare*b.burst/float64(nodes) {
			continue
		}
		if out == nil {
			out = make(Spending)
		}
		out[name], b.unsent.amount = l.spent[name], 0
	}
	return out
}

// RecordUrgentSpending records an urgent update of another node. It is ignored until the
// first node state of that node has come, which alone contains its spending of all
// workspaces: otherwise the rest of that spending would later look as if spent just now.
func (l *Ledger) RecordUrgentSpending(now time.Time, from NodeIncarnation, asOf time.Time, spent Spending) {
	if l.peers[from] != nil {
		l.RecordPeerSpending(now, from, asOf, spent)
	}
}
