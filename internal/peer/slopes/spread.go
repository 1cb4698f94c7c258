package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

const (
	joinTime     = 40 * time.Second // time in which all nodes learn of each other
	spreadLimit  = time.Minute
	spreadTarget = 3 * time.Second
	recoveryTime = 10 * time.Second
	slowDelay    = 1500 * time.Millisecond
)

// fault is a kind of fault that is present while a notice spreads.
type fault string

const (
	faultNone     fault = "none"
	faultDelegate fault = "a delegate of each data centre dead"
	faultSlow     fault = "a delegate of each data centre slow by 1.5 s"
)

// shape is the size of a fleet and its network delay.
type shape struct {
	nodes, dcs int
	delay      time.Duration // maximum jitter added to the minimum one-way delay of 1 ms
}

var spreadShapes = []shape{
	{8, 4, 2 * time.Millisecond},
	{64, 4, 2 * time.Millisecond},
	{256, 8, 100 * time.Millisecond},
	{710, 21, 100 * time.Millisecond},
}

// newNet starts a fleet in which one node of every data centre is a seed.
func newNet(s shape, o virtual.Options) *virtual.Net {
	o.Delay, o.Jitter = time.Millisecond, s.delay
	n := virtual.New(o)
	var seeds []string
	for i := range s.dcs {
		seeds = append(seeds, address(i))
	}
	for i := range s.nodes {
		dc := i % s.dcs
		n.Add(peer.Options{
			ID:          ident.NodeID(fmt.Sprintf("node-%03d", i)),
			DataCentre:  ident.DataCentre(fmt.Sprintf("dc-%02d", dc)),
			Address:     address(i),
			Incarnation: 1_700_000_000_000,
			Seeds:       []string{seeds[dc], seeds[(dc+1)%s.dcs]},
		})
	}
	return n
}

func address(i int) string {
	return fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)
}

// trial is a series of notices under one loss rate and fault.
type trial struct {
	loss      int // per cent
	fault     fault
	latencies []time.Duration
	sent      int // messages with marks
}

// spread prints the seconds from a notice until the last node has received it. All
// notices use the same fleet, which recovers in between.
func spread(w io.Writer, nodes, notices, loss int) {
	i := slices.IndexFunc(spreadShapes, func(s shape) bool { return s.nodes == nodes })
	if i < 0 {
		fmt.Fprintf(w, "no fleet of %d nodes is defined\n", nodes)
		return
	}
	s := spreadShapes[i]
	n := newNet(s, virtual.Options{Seed: uint64(nodes)})
	n.Run(joinTime)
	printHeader(w, "nodes", "data centres", "loss %", "fault", "median s", "worst s", "later than 3 s", "messages a node")
	losses := []int{0, 5, 20}
	if loss >= 0 {
		losses = []int{loss}
	}
	for _, loss := range losses {
		for _, f := range []fault{faultNone, faultDelegate, faultSlow} {
			t := &trial{loss: loss, fault: f}
			for k := range notices {
				t.run(n, fmt.Sprintf("worker-%d-%s-%d", loss, f, k))
			}
			slices.Sort(t.latencies)
			printRow(w, s.nodes, s.dcs, loss, string(f), t.latencies[len(t.latencies)/2].Seconds(), t.latencies[len(t.latencies)-1].Seconds(),
				fmt.Sprintf("%d of %d", t.lateCount(), notices), float64(t.sent)/float64(s.nodes*notices))
		}
	}
}

// lateCount counts the notices that took longer than the target.
func (t *trial) lateCount() (n int) {
	for _, d := range t.latencies {
		if d > spreadTarget {
			n++
		}
	}
	return n
}

func (t *trial) run(n *virtual.Net, subject string) {
	origin := n.Procs()[n.Rng.IntN(len(n.Procs()))]
	broken := breakDelegates(n, t.fault, origin)
	n.SetLoss(float64(t.loss) / 100)
	n.OnSend = func(m *peer.Message) {
		if len(m.GetMarks()) > 0 {
			t.sent++
		}
	}
	mark := peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: subject, Number: 1}
	n.Do(origin, func(now time.Time) []peer.Send { return origin.Node.Mark(now, mark) })
	t.latencies = append(t.latencies, untilKnown(n, subject))
	n.SetLoss(0)
	for _, p := range broken {
		n.Freeze(p, false)
		p.Slow = 0
	}
	n.Run(recoveryTime)
	n.OnSend = nil
}

// untilKnown runs until every node that is not frozen has received the mark, and
// returns the time taken.
func untilKnown(n *virtual.Net, subject string) time.Duration {
	waiting := make(map[*virtual.Proc]bool)
	knows := func(p *virtual.Proc) bool { return p.Node.Leaving(ident.EndpointID(subject), 1) }
	for _, p := range n.Procs() {
		if !p.Frozen && !knows(p) {
			waiting[p] = true
		}
	}
	n.OnEvent = func(p *virtual.Proc) {
		if waiting[p] && knows(p) {
			delete(waiting, p)
		}
	}
	defer func() { n.OnEvent = nil }()
	return n.RunUntil(spreadLimit, func() bool { return len(waiting) == 0 })
}

// breakDelegates applies the fault to one delegate of each data centre, never to the
// origin, and returns the affected processes.
func breakDelegates(n *virtual.Net, f fault, origin *virtual.Proc) []*virtual.Proc {
	done := make(map[ident.DataCentre]bool)
	var broken []*virtual.Proc
	for _, p := range n.Procs() {
		if f == faultNone || p == origin || !p.Node.IsDelegate() || done[p.Opts.DataCentre] {
			continue
		}
		done[p.Opts.DataCentre] = true
		broken = append(broken, p)
		if f == faultDelegate {
			n.Freeze(p, true)
		} else {
			p.Slow = slowDelay
		}
	}
	return broken
}

// wave prints the cost of marking many endpoints as leaving at once, up to the number
// in a data centre.
func wave(w io.Writer) {
	printHeader(w, "nodes", "marks at once", "loss %", "last node s", "KB sent a node in 10 s")
	for _, marks := range []int{0, 60, 600} {
		for _, loss := range []int{0, 20} {
			s := spreadShapes[1]
			n := newNet(s, virtual.Options{Seed: 1})
			n.Run(joinTime)
			n.SetLoss(float64(loss) / 100)
			var before, after uint64
			for _, p := range n.Procs() {
				before += p.SentBytes
			}
			start := n.Now()
			took := markAndWait(n, marks)
			n.Run(start + recoveryTime - n.Now())
			for _, p := range n.Procs() {
				after += p.SentBytes
			}
			printRow(w, s.nodes, marks, loss, took.Seconds(), float64(after-before)/float64(s.nodes)/1024)
		}
	}
}

// markAndWait marks count endpoints as leaving at once and returns the time until all
// nodes have received the marks.
func markAndWait(n *virtual.Net, count int) time.Duration {
	marks := make([]peer.Mark, count)
	for i := range marks {
		marks[i] = peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: fmt.Sprintf("worker-%05d", i), Number: 1}
	}
	p := n.Procs()[5]
	n.Do(p, func(now time.Time) []peer.Send { return p.Node.Mark(now, marks...) })
	return n.RunUntil(recoveryTime, func() bool {
		return !slices.ContainsFunc(n.Procs(), func(p *virtual.Proc) bool { return p.Node.MarkCount() < count })
	})
}
