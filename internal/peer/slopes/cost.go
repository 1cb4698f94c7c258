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

const costDuration = 20 * time.Second

// nodeCost is the resource usage of one node.
type nodeCost struct {
	messages, bytes float64 // sent per second
	coreShare       float64 // fraction of one CPU core, codec included
	heap            float64 // bytes
	delegateBytes   float64 // sent per second by a delegate
}

// cost prints the cost of a node for several fleet sizes, and the fitted slopes.
func cost(w io.Writer) {
	printHeader(w, "members of one data centre", "messages/s", "bytes/s", "core %", "heap KB")
	var x, messages, bytes, core, heap []float64
	for _, n := range []int{8, 32, 128, 512} {
		u := measure(shape{n, 1, 2 * time.Millisecond}, nil)
		printRow(w, n, u.messages, u.bytes, 100*u.coreShare, u.heap/1024)
		x = append(x, float64(n))
		messages, bytes = append(messages, u.messages), append(bytes, u.bytes)
		core, heap = append(core, 100*u.coreShare), append(heap, u.heap/1024)
	}
	fmt.Fprintln(w)
	printHeader(w, "a node", "fixed", "for each member")
	for _, s := range []struct {
		name string
		y    []float64
	}{{"messages/s", messages}, {"bytes/s", bytes}, {"core %", core}, {"heap KB", heap}} {
		a, b := fit(x, s.y)
		printRow(w, s.name, fmt.Sprintf("%.4f", a), fmt.Sprintf("%.5f", b))
	}
	fmt.Fprintln(w)
	printHeader(w, "nodes", "data centres", "messages/s", "bytes/s", "of a delegate", "core %", "heap KB")
	for _, s := range []shape{{8, 4, 2 * time.Millisecond}, {64, 4, 2 * time.Millisecond}, {256, 8, 100 * time.Millisecond}, {710, 21, 100 * time.Millisecond}} {
		u := measure(s, nil)
		printRow(w, s.nodes, s.dcs, u.messages, u.bytes, u.delegateBytes, 100*u.coreShare, u.heap/1024)
	}
}

// detail prints the cost of endpoint load entries in a data centre of 34 nodes.
func detail(w io.Writer) {
	printHeader(w, "entries a node", "changed every", "bytes/s", "core %", "heap KB")
	var x, y, entryCounts, heap []float64
	for _, entries := range []int{0, 8, 32, 64} {
		for _, interval := range []time.Duration{time.Second, 5 * time.Second} {
			u := measure(shape{34, 1, 2 * time.Millisecond}, &loadChanges{entries: entries, interval: interval})
			printRow(w, entries, interval, u.bytes, 100*u.coreShare, u.heap/1024)
			x = append(x, float64(34*entries)/interval.Seconds())
			y = append(y, u.bytes)
			if interval == time.Second {
				entryCounts, heap = append(entryCounts, float64(34*entries)), append(heap, u.heap)
			}
		}
	}
	a, b := fit(x, y)
	fmt.Fprintf(w, "\nbytes/s a node = %.0f + %.1f for each change a second in the data centre\n", a, b)
	a, b = fit(entryCounts, heap)
	fmt.Fprintf(w, "heap of a node = %.0f + %.0f bytes for each entry in the data centre\n", a, b)
}

// loadChanges is the number of endpoint load entries that each node changes once per
// interval.
type loadChanges struct {
	entries  int
	interval time.Duration
}

// loadValueBytes is the encoded size of one endpoint's load.
const loadValueBytes = 24

func (l *loadChanges) apply(n *virtual.Net) {
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

func measure(s shape, l *loadChanges) nodeCost {
	before := heapBytes()
	n := newNet(s, virtual.Options{Seed: 1, Encode: true})
	n.OnEvent = func(p *virtual.Proc) { p.Node.Changes() } // the driver of a node also calls Changes
	run(n, joinTime, l)
	var sent, bytes uint64
	for _, p := range n.Procs() {
		p.Sent, p.SentBytes = 0, 0
	}
	cpu := cpuTime()
	run(n, costDuration, l)
	cpu = cpuTime() - cpu
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
	nodeSeconds := float64(s.nodes) * costDuration.Seconds()
	return nodeCost{
		messages:  float64(sent) / nodeSeconds,
		bytes:     float64(bytes) / nodeSeconds,
		coreShare: cpu.Seconds() / nodeSeconds,
		heap:      heap / float64(s.nodes),

		delegateBytes: float64(delegateBytes) / float64(delegates) / costDuration.Seconds(),
	}
}

func run(n *virtual.Net, d time.Duration, l *loadChanges) {
	if l == nil || l.entries == 0 {
		n.Run(d)
		return
	}
	for range d / l.interval {
		l.apply(n)
		n.Run(l.interval)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the user and system CPU time used by this process.
func cpuTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// fit returns the coefficients of the least-squares line a + b·x.
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
