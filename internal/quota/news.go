package quota

import "time"

// Rows of a large fleet reach all nodes more than a second late. A workspace that
// suddenly sends many times its limit finds a full bucket at every node, and would empty
// it several times over before all have heard. Spending that matters is therefore told
// to all nodes at once, beside the rows.

const (
	// newsShare is the part of a limit's burst that all nodes together may have spent
	// without telling each other at once; it is small beside what the operators allow
	// beyond a limit in their window.
	newsShare = 0.2
	// quietNodes is the number of nodes up to which rows are soon enough.
	quietNodes = 16
)

// untold is what this node has spent of a limit and not told at once. It fades at the
// node's even part of the rate: as long as no node spends more, the limit is kept
// whatever the others know, and rows are soon enough.
type untold struct {
	amount float64
	at     time.Time
}

func (u *untold) add(now time.Time, fade, cost float64) {
	u.amount = max(u.amount-fade*now.Sub(u.at).Seconds(), 0) + cost
	u.at = now
}

// UrgentSpending returns the spending to tell all nodes at once: of workspaces of which this node
// has spent its part of what may go untold. It counts as told from here on.
func (l *Ledger) UrgentSpending() Spending {
	nodes := len(l.peers) + 1
	if nodes <= quietNodes {
		return nil
	}
	var out Spending
	for name, b := range l.buckets {
		if b.rate <= 0 || b.untold.amount < newsShare*b.burst/float64(nodes) {
			continue
		}
		if out == nil {
			out = make(Spending)
		}
		out[name], b.untold.amount = l.spent[name], 0
	}
	return out
}

// RecordUrgentSpending takes what another node has told at once. Only its rows tell all that it has
// spent: before the first of them, news would make the rest look as if spent just now.
func (l *Ledger) RecordUrgentSpending(now time.Time, from NodeIncarnation, asOf time.Time, spent Spending) {
	if l.peers[from] != nil {
		l.RecordPeerSpending(now, from, asOf, spent)
	}
}
