package main

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

const costFor = 20 * time.Second

// usage is what one node spends.
type usage struct {
	messages, bytes float64 // sent a second
	core            float64 // share of a core, codec included
	heap            float64 // bytes
	delegateBytes   float64 // sent a second by a delegate
}

// cost prints what a node spends at several sizes and the fitted slopes.
func cost(w io.Writer) {
	head(w, "members of one data centre", "messages/s", "bytes/s", "core %", "heap KB")
	var x, messages, bytes, core, heap []float64
	for _, n := range []int{8, 32, 128, 512} {
		u := measure(shape{n, 1, 2 * time.Millisecond}, nil)
		row(w, n, u.messages, u.bytes, 100*u.core, u.heap/1024)
		x = append(x, float64(n))
		messages, bytes = append(messages, u.messages), append(bytes, u.bytes)
		core, heap = append(core, 100*u.core), append(heap, u.heap/1024)
	}
	fmt.Fprintln(w)
	head(w, "a node", "fixed", "for each member")
	for _, s := range []struct {
		name string
		y    []float64
	}{{"messages/s", messages}, {"bytes/s", bytes}, {"core %", core}, {"heap KB", heap}} {
		a, b := fit(x, s.y)
		row(w, s.name, fmt.Sprintf("%.4f", a), fmt.Sprintf("%.5f", b))
	}
	fmt.Fprintln(w)
	head(w, "nodes", "data centres", "messages/s", "bytes/s", "of a delegate", "core %", "heap KB")
	for _, s := range []shape{{8, 4, 2 * time.Millisecond}, {64, 4, 2 * time.Millisecond}, {256, 8, 100 * time.Millisecond}, {710, 21, 100 * time.Millisecond}} {
		u := measure(s, nil)
		row(w, s.nodes, s.dcs, u.messages, u.bytes, u.delegateBytes, 100*u.core, u.heap/1024)
	}
}

// detail prints what entries of endpoint load cost in a data centre of 34 nodes.
func detail(w io.Writer) {
	head(w, "entries a node", "changed every", "bytes/s", "core %", "heap KB")
	var x, y, held, heap []float64
	for _, entries := range []int{0, 8, 32, 64} {
		for _, every := range []time.Duration{time.Second, 5 * time.Second} {
			u := measure(shape{34, 1, 2 * time.Millisecond}, &load{entries: entries, every: every})
			row(w, entries, every, u.bytes, 100*u.core, u.heap/1024)
			x = append(x, float64(34*entries)/every.Seconds())
			y = append(y, u.bytes)
			if every == time.Second {
				held, heap = append(held, float64(34*entries)), append(heap, u.heap)
			}
		}
	}
	a, b := fit(x, y)
	fmt.Fprintf(w, "\nbytes/s a node = %.0f + %.1f for each change a second in the data centre\n", a, b)
	a, b = fit(held, heap)
	fmt.Fprintf(w, "heap of a node = %.0f + %.0f bytes for each entry in the data centre\n", a, b)
}

// load is a number of entries of endpoint load that each node changes.
type load struct {
	entries int
	every   time.Duration
}

// loadValueBytes is the encoded size of one endpoint's load.
const loadValueBytes = 24

func (l *load) change(n *virtual.Net) {
	for i, p := range n.Procs() {
		for e := range l.entries {
			value := make([]byte, loadValueBytes)
			copy(value, n.Now().String())
			if err := p.Node.Set(peer.TopicLoad, fmt.Sprintf("w%02d%03d", i, e), value); err != nil {
				panic(err)
			}
		}
	}
}

func measure(s shape, l *load) usage {
	before := heapBytes()
	n := newNet(s, virtual.Options{Seed: 1, Encode: true})
	n.OnEvent = func(p *virtual.Proc) { p.Node.Changes() } // as the driver does
	run(n, joinFor, l)
	var sent, bytes uint64
	for _, p := range n.Procs() {
		p.Sent, p.SentBytes = 0, 0
	}
	cpu := processorTime()
	run(n, costFor, l)
	cpu = processorTime() - cpu
	var delegates, delegateBytes uint64
	for _, p := range n.Procs() {
		sent += p.Sent
		bytes += p.SentBytes
		if p.Node.IsDelegate() {
			delegates++
			delegateBytes += p.SentBytes
		}
	}
	heap := heapBytes() - before
	runtime.KeepAlive(n)
	nodeSeconds := float64(s.nodes) * costFor.Seconds()
	return usage{
		messages: float64(sent) / nodeSeconds,
		bytes:    float64(bytes) / nodeSeconds,
		core:     cpu.Seconds() / nodeSeconds,
		heap:     heap / float64(s.nodes),

		delegateBytes: float64(delegateBytes) / float64(delegates) / costFor.Seconds(),
	}
}

func run(n *virtual.Net, d time.Duration, l *load) {
	if l == nil || l.entries == 0 {
		n.Run(d)
		return
	}
	for range d / l.every {
		l.change(n)
		n.Run(l.every)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// fit returns the line a + b·x of least squares.
func fit(x, y []float64) (a, b float64) {
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	n := float64(len(x))
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}
