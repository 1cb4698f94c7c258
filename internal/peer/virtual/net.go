// Package virtual runs peer nodes over a virtual clock and a network that loses,
// delays, repeats and cuts. It serves tests and the measurement of slopes; it
// models nothing but the delivery of messages.
package virtual

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// Options configures a Net.
type Options struct {
	Seed uint64
	// Loss and Repeat are the shares of messages lost and delivered twice.
	Loss, Repeat float64
	// Delay is the least one-way delay; Jitter is added evenly up to it.
	Delay, Jitter time.Duration
	// Interval between the ticks of a node. Default: peer.DefaultInterval.
	Interval time.Duration
	// Encode passes messages through the codec, so that nodes share no memory and
	// its time is counted.
	Encode bool
}

// Proc is one process of the net.
type Proc struct {
	Node *peer.Node
	Opts peer.Options
	// Down processes neither tick nor receive, and their messages are lost.
	Down bool
	// Frozen processes do the same, and their clock stands still.
	Frozen bool
	// Skew is added to the net's now for this process.
	Skew time.Duration
	// Slow is added to the delay of every message from and to the process.
	Slow time.Duration
	// Side cuts the process off from those of another side.
	Side int

	Sent, Received         uint64 // messages
	SentBytes              uint64 // encoded, without the transport's headers
	MaxBytes               int    // largest message sent
	frozenAt, frozenBefore time.Duration
}

// Net is a set of processes and the messages between them.
type Net struct {
	o         Options
	Rng       *rand.Rand
	Start     time.Time
	now       time.Duration
	procs     []*Proc
	byAddress map[string]*Proc
	queue     events
	order     uint64
	// OnEvent, where set, is called after every event.
	OnEvent func(*Proc)
	// OnSend, where set, is called for every message sent.
	OnSend func(*peer.Message)
}

// New returns an empty net.
func New(o Options) *Net {
	if o.Interval == 0 {
		o.Interval = peer.DefaultInterval
	}
	return &Net{o: o, Rng: rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b9)), Start: time.Unix(1_700_000_000, 0), byAddress: make(map[string]*Proc)}
}

// SetLoss changes the share of messages lost.
func (n *Net) SetLoss(loss float64) { n.o.Loss = loss }

// Now returns the time since the start.
func (n *Net) Now() time.Duration { return n.now }

// Procs returns the processes in the order of their addition.
func (n *Net) Procs() []*Proc { return n.procs }

// Proc returns the process of that ID, or nil.
func (n *Net) Proc(id ident.NodeID) *Proc {
	for _, p := range n.procs {
		if p.Opts.ID == id {
			return p
		}
	}
	return nil
}

// Add starts a process. One with the ID of another takes its place.
func (n *Net) Add(o peer.Options) *Proc {
	p := &Proc{Opts: o}
	n.byAddress[o.Address] = p
	if old := n.Proc(o.ID); old != nil {
		old.Down = true
		for i, q := range n.procs {
			if q == old {
				n.procs[i] = p
			}
		}
	} else {
		n.procs = append(n.procs, p)
	}
	p.Node = peer.New(o, n.clockOf(p), rand.New(rand.NewPCG(n.Rng.Uint64(), 1)))
	n.push(time.Duration(n.Rng.Int64N(int64(n.o.Interval))), p, nil)
	return p
}

// Do lets a process act now and sends the messages that this returns.
func (n *Net) Do(p *Proc, f func(now time.Time) []peer.Send) {
	n.deliver(p, f(n.clockOf(p)))
}

// Freeze stops a process and its clock; thaw it with false.
func (n *Net) Freeze(p *Proc, on bool) {
	if on && !p.Frozen {
		p.frozenAt = n.now
	}
	if !on && p.Frozen {
		p.frozenBefore += n.now - p.frozenAt
	}
	p.Frozen = on
}

func (n *Net) clockOf(p *Proc) time.Time {
	return n.Start.Add(n.now + p.Skew - p.frozenBefore)
}

// Run handles the events of the next d.
func (n *Net) Run(d time.Duration) {
	n.RunUntil(d, func() bool { return false })
}

// RunUntil handles events until done, which it asks after each, or for d. It
// returns the time that passed.
func (n *Net) RunUntil(d time.Duration, done func() bool) time.Duration {
	start := n.now
	for len(n.queue) > 0 && n.queue[0].at <= start+d {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		n.handle(e)
		if done() {
			return n.now - start
		}
	}
	n.now = start + d
	return d
}

func (n *Net) handle(e event) {
	p := e.to
	if e.send == nil {
		n.tick(p)
	} else {
		n.receive(p, e)
	}
	if n.OnEvent != nil {
		n.OnEvent(p)
	}
}

func (n *Net) tick(p *Proc) {
	if !p.Down {
		n.push(n.o.Interval, p, nil)
	}
	if p.Down || p.Frozen {
		return
	}
	n.deliver(p, p.Node.Tick(n.clockOf(p)))
}

func (n *Net) receive(p *Proc, e event) {
	if p.Down || p.Frozen || e.from.Side != p.Side {
		return
	}
	p.Received++
	m := e.send
	if n.o.Encode {
		m = recode(m)
	}
	n.deliver(p, p.Node.Receive(n.clockOf(p), e.from.Opts.ID, m))
}

// recode returns the message as its receiver decodes it.
func recode(m *peer.Message) *peer.Message {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	out := new(peer.Message)
	if err := proto.Unmarshal(b, out); err != nil {
		panic(err)
	}
	return out
}

func (n *Net) deliver(from *Proc, sends []peer.Send) {
	for _, s := range sends {
		size := proto.Size(s.Message)
		if n.OnSend != nil {
			n.OnSend(s.Message)
		}
		from.Sent++
		from.SentBytes += uint64(size)
		from.MaxBytes = max(from.MaxBytes, size)
		to := n.at(s.Address)
		if to == nil {
			continue
		}
		n.transmit(from, to, s.Message)
		if n.Rng.Float64() < n.o.Repeat {
			n.transmit(from, to, s.Message)
		}
	}
}

func (n *Net) transmit(from, to *Proc, m *peer.Message) {
	if n.Rng.Float64() < n.o.Loss || from.Side != to.Side {
		return
	}
	delay := n.o.Delay + from.Slow + to.Slow
	if n.o.Jitter > 0 {
		delay += time.Duration(n.Rng.Int64N(int64(n.o.Jitter)))
	}
	n.push(delay, to, &delivery{from, m})
}

func (n *Net) at(address string) *Proc {
	if p := n.byAddress[address]; p != nil && !p.Down {
		return p
	}
	return nil
}

type delivery struct {
	from *Proc
	m    *peer.Message
}

type event struct {
	at    time.Duration
	order uint64
	to    *Proc
	from  *Proc
	send  *peer.Message
}

func (n *Net) push(after time.Duration, to *Proc, d *delivery) {
	n.order++
	e := event{at: n.now + after, order: n.order, to: to}
	if d != nil {
		e.from, e.send = d.from, d.m
	}
	heap.Push(&n.queue, e)
}

// events is a heap by time, then by order of creation.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
