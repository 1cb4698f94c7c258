// Package simgossip simulates the exchange of reports between the nodes of a deployment on a
// simulated clock, for models of decisions that nodes make together. The rounds are those of
// package sharing; messages are delayed and lost at random.
package simgossip

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
)

const (
	fanout      = 2
	lossPercent = 5
	maxDelay    = 50 * time.Millisecond
	// retention is how long a silent node is remembered.
	retention = 20 * time.Second
)

// Network exchanges reports of type R.
type Network[R any] struct {
	clock   *simclock.Clock
	compose func(node int) R
	deliver func(to, from int, r R)
	nodes   []node[R]
}

// node is the state of one node of a Network.
type node[R any] struct {
	known    []received[R] // by node; its own is the latest that it composed
	cutUntil time.Time
}

type received[R any] struct {
	heartbeat uint64
	report    R
	at        time.Time // of its receipt
}

// New returns a network of n nodes whose rounds are scheduled on the clock. compose returns the
// report that a node sends, and deliver is called with each new report of another node.
func New[R any](clock *simclock.Clock, n int, compose func(node int) R, deliver func(to, from int, r R)) *Network[R] {
	w := &Network[R]{clock: clock, compose: compose, deliver: deliver, nodes: make([]node[R], n)}
	for i := range w.nodes {
		w.nodes[i].known = make([]received[R], n)
		clock.After(clock.Within(w.interval()), func() { w.round(i) })
	}
	return w
}

// interval returns the time between two rounds.
func (w *Network[R]) interval() time.Duration {
	const shortest, longest, nodes = 200 * time.Millisecond, 800 * time.Millisecond, 40
	return min(max(shortest, shortest*time.Duration(len(w.nodes))/nodes), longest)
}

// round exchanges states between one node and some others.
func (w *Network[R]) round(i int) {
	n := &w.nodes[i]
	own := received[R]{heartbeat: n.known[i].heartbeat + 1, report: w.compose(i)}
	n.known[i] = own
	for range fanout {
		j := w.clock.IntN(len(w.nodes))
		if i == j || w.IsCut(i) || w.IsCut(j) || w.clock.Chance(lossPercent) {
			continue
		}
		w.clock.After(w.clock.Within(maxDelay), func() {
			w.receive(j, i, own)
			answer := append([]received[R](nil), w.nodes[j].known...)
			w.clock.After(w.clock.Within(maxDelay), func() {
				for from, r := range answer {
					w.receive(i, from, r)
				}
			})
		})
	}
	w.clock.After(w.interval(), func() { w.round(i) })
}

func (w *Network[R]) receive(to, from int, r received[R]) {
	known := &w.nodes[to].known[from]
	if to == from || r.heartbeat <= known.heartbeat {
		return
	}
	r.at = w.clock.Now
	*known = r
	w.deliver(to, from, r.report)
}

// Cut separates a node from all others for d.
func (w *Network[R]) Cut(i int, d time.Duration) { w.nodes[i].cutUntil = w.clock.Now.Add(d) }

// IsCut reports whether a node is separated from the others.
func (w *Network[R]) IsCut(i int) bool { return w.clock.Now.Before(w.nodes[i].cutUntil) }

// Restart makes a node forget all reports.
func (w *Network[R]) Restart(i int) {
	heartbeat := w.nodes[i].known[i].heartbeat
	w.nodes[i].known = make([]received[R], len(w.nodes))
	w.nodes[i].known[i].heartbeat = heartbeat
}

// HeardOf returns the other nodes of which a node has received a new report at most age ago.
func (w *Network[R]) HeardOf(i int, age time.Duration) []int {
	var out []int
	for from, r := range w.nodes[i].known {
		if from != i && r.heartbeat > 0 && w.clock.Now.Sub(r.at) <= age {
			out = append(out, from)
		}
	}
	return out
}

// HeardSince returns the time since which a node has received a report of all others that it
// remembers.
func (w *Network[R]) HeardSince(i int) time.Time {
	since := w.clock.Now
	for _, from := range w.HeardOf(i, retention) {
		if at := w.nodes[i].known[from].at; at.Before(since) {
			since = at
		}
	}
	return since
}
