// Package virtual runs peer nodes on a virtual clock and a simulated network that can
// lose, delay and duplicate messages and can be partitioned. It is used by tests and by
// command slopes. Only the delivery of messages is simulated.
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
	// Loss and Repeat are the fractions of messages lost and of messages sent twice.
	Loss, Repeat float64
	// Delay is the minimum one-way delay. A delay drawn uniformly between zero and
	// Jitter is added to it.
	Delay, Jitter time.Duration
	// Interval is the time between the ticks of a node. Default: peer.DefaultInterval.
	Interval time.Duration
	// Encode encodes and decodes each message, so that nodes share no memory and CPU
	// measurements include the codec.
	Encode bool
}

// Proc is one process of a Net.
type Proc struct {
	Node *peer.Node
	Opts peer.Options
	// Down is set for a stopped process: it neither ticks nor receives, and messages
	// to it are lost.
	Down bool
	// Frozen is set for a paused process: it neither ticks nor receives, messages to it
	// are lost, and its clock is stopped. It is set by Net.Freeze.
	Frozen bool
	// Skew is added to the time of this process.
	Skew time.Duration
	// Slow is added to the delay of every message from or to the process.
	Slow time.Duration
	// Side is the network partition of the process. Messages between processes of
	// different sides are lost.
	Side int

	Sent, Received        uint64 // number of messages
	SentBytes             uint64 // encoded, without the transport's headers
	MaxBytes              int    // size of the largest message sent
	frozenAt, frozenTotal time.Duration
}

// Net is a set of processes and the messages in transit between them.
type Net struct {
	opts      Options
	Rng       *rand.Rand
	Start     time.Time
	now       time.Duration
	procs     []*Proc
	byAddress map[string]*Proc
	queue     events
	order     uint64
	// OnEvent, if set, is called after every event with the process that handled it.
	OnEvent func(*Proc)
	// OnSend, if set, is called for every message sent.
	OnSend func(*peer.Message)
}

// New returns a Net without processes.
func New(opts Options) *Net {
	if opts.Interval == 0 {
		opts.Interval = peer.DefaultInterval
	}
	return &Net{opts: opts, Rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed^0x9e3779b9)), Start: time.Unix(1_700_000_000, 0), byAddress: make(map[string]*Proc)}
}

// SetLoss sets the fraction of messages lost.
func (n *Net) SetLoss(loss float64) { n.opts.Loss = loss }

// Now returns the virtual time since the start.
func (n *Net) Now() time.Duration { return n.now }

// Procs returns the processes in the order in which they were added.
func (n *Net) Procs() []*Proc { return n.procs }

// Proc returns the process with the given node ID, or nil.
func (n *Net) Proc(id ident.NodeID) *Proc {
	for _, p := range n.procs {
		if p.Opts.ID == id {
			return p
		}
	}
	return nil
}

// Add starts a process. If another process has the same ID, it is stopped and
// replaced.
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
	p.Node = peer.New(o, n.processTime(p), rand.New(rand.NewPCG(n.Rng.Uint64(), 1)))
	n.push(time.Duration(n.Rng.Int64N(int64(n.opts.Interval))), p, nil)
	return p
}

// Do calls f with the current time of a process and sends the messages that f returns.
func (n *Net) Do(p *Proc, f func(now time.Time) []peer.Send) {
	n.deliver(p, f(n.processTime(p)))
}

// Freeze pauses a process and its clock if on is true, and resumes it otherwise.
func (n *Net) Freeze(p *Proc, on bool) {
	if on && !p.Frozen {
		p.frozenAt = n.now
	}
	if !on && p.Frozen {
		p.frozenTotal += n.now - p.frozenAt
	}
	p.Frozen = on
}

func (n *Net) processTime(p *Proc) time.Time {
	return n.Start.Add(n.now + p.Skew - p.frozenTotal)
}

// Run processes the events of the next d of virtual time.
func (n *Net) Run(d time.Duration) {
	n.RunUntil(d, func() bool { return false })
}

// RunUntil processes events until done, called after each event, returns true, at most
// for d of virtual time. It returns the virtual time that has passed.
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
		n.push(n.opts.Interval, p, nil)
	}
	if p.Down || p.Frozen {
		return
	}
	n.deliver(p, p.Node.Tick(n.processTime(p)))
}

func (n *Net) receive(p *Proc, e event) {
	if p.Down || p.Frozen || e.from.Side != p.Side {
		return
	}
	p.Received++
	m := e.send
	if n.opts.Encode {
		m = reencode(m)
	}
	n.deliver(p, p.Node.Receive(n.processTime(p), e.from.Opts.ID, m))
}

// reencode encodes and decodes a message, as a transport does.
func reencode(m *peer.Message) *peer.Message {
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
		to := n.runningAt(s.Address)
		if to == nil {
			continue
		}
		n.transmit(from, to, s.Message)
		if n.Rng.Float64() < n.opts.Repeat {
			n.transmit(from, to, s.Message)
		}
	}
}

func (n *Net) transmit(from, to *Proc, m *peer.Message) {
	if n.Rng.Float64() < n.opts.Loss || from.Side != to.Side {
		return
	}
	delay := n.opts.Delay + from.Slow + to.Slow
	if n.opts.Jitter > 0 {
		delay += time.Duration(n.Rng.Int64N(int64(n.opts.Jitter)))
	}
	n.push(delay, to, &delivery{from, m})
}

func (n *Net) runningAt(address string) *Proc {
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

// events is a heap ordered by time, then by order of creation.
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
