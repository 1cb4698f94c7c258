package peer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

const (
	evidenceKey = "service/v2/route"
	settleTime  = 90 * time.Second
)

// TestRandomFaults runs nodes under random faults, repairs these, and checks that all
// nodes converge to the same state. JUJUBESHED_SEEDS sets the number of runs.
func TestRandomFaults(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	setFlag(t, "rapid.checks", os.Getenv("JUJUBESHED_SEEDS"), "12")
	setFlag(t, "rapid.seed", flag.Lookup("rapid.seed").Value.String(), "1")
	setFlag(t, "rapid.nofailfile", "true", "")
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(rt)
		rt.Repeat(rapid.StateMachineActions(f))
		f.settle(rt)
	})
}

// setFlag sets a flag to a value, or to def if the value is empty or zero.
func setFlag(t *testing.T, name, value, def string) {
	if value == "" || value == "0" {
		value = def
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}

// fleet is the state machine under test, with the state that its checks need.
type fleet struct {
	net     *virtual.Net
	marks   map[*peer.Node]map[string]uint64 // of each node at its last event, by subject
	counted map[*virtual.Proc]uint64         // evidence of each process
	total   uint64                           // evidence of all processes
	marked  uint64                           // number of marks set
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{marks: make(map[*peer.Node]map[string]uint64), counted: make(map[*virtual.Proc]uint64)}
	f.net = virtual.New(virtual.Options{
		Seed: rapid.Uint64().Draw(t, "seed"), Loss: float64(rapid.IntRange(0, 20).Draw(t, "loss")) / 100,
		Repeat: 0.05, Delay: time.Millisecond, Jitter: 300 * time.Millisecond,
	})
	dcs := rapid.IntRange(1, 3).Draw(t, "data centres")
	for i := range dcs * rapid.IntRange(2, 4).Draw(t, "nodes") {
		f.net.Add(peer.Options{
			ID: ident.NodeID(fmt.Sprintf("n%02d", i)), DataCentre: ident.DataCentre(fmt.Sprint("dc", i%dcs)),
			Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Incarnation: 1, Seeds: []string{"10.0.0.1:7000", "10.0.0.2:7000"},
		})
	}
	f.net.OnEvent = func(p *virtual.Proc) { f.checkEvent(t, p) }
	f.net.Run(15 * time.Second)
	return f
}

// checkEvent checks after every event that the number of no mark decreases and that the
// evidence does not exceed what was counted.
func (f *fleet) checkEvent(t *rapid.T, p *virtual.Proc) {
	n := p.Node
	if f.marks[n] == nil {
		f.marks[n] = make(map[string]uint64)
	}
	now := make(map[string]uint64)
	for _, m := range n.Marks() {
		now[m.Subject] = m.Number
	}
	for subject, number := range f.marks[n] {
		if now[subject] < number {
			t.Fatalf("%s: mark of %s decreased from %d to %d", p.Opts.ID, subject, number, now[subject])
		}
	}
	f.marks[n] = now
	if c := n.Evidence(evidenceKey); len(c) > 0 && c[0] > f.total {
		t.Fatalf("%s: evidence = %d, but only %d was counted", p.Opts.ID, c[0], f.total)
	}
}

func (f *fleet) Check(t *rapid.T) {
	for _, p := range f.net.Procs() {
		if p.MaxBytes > 2*peer.DefaultMessageBytes {
			t.Fatalf("%s sent a message of %d bytes, above the maximum", p.Opts.ID, p.MaxBytes)
		}
	}
}

func (f *fleet) proc(t *rapid.T) *virtual.Proc {
	return rapid.SampledFrom(f.net.Procs()).Draw(t, "proc")
}

func (f *fleet) runningProc(t *rapid.T) *virtual.Proc {
	p := f.proc(t)
	if p.Down || p.Frozen {
		t.Skip()
	}
	return p
}

func (f *fleet) Run(t *rapid.T) {
	f.net.Run(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
}

func (f *fleet) Mark(t *rapid.T) {
	p := f.runningProc(t)
	f.marked++
	m := peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: fmt.Sprint("e", f.marked%5), Number: uint64(rapid.IntRange(1, 9).Draw(t, "number"))}
	f.net.Do(p, func(now time.Time) []peer.Send { return p.Node.Mark(now, m) })
}

func (f *fleet) Entry(t *rapid.T) {
	n := f.runningProc(t).Node
	key := fmt.Sprint("e", rapid.IntRange(1, 4).Draw(t, "key"))
	if rapid.Bool().Draw(t, "remove") {
		n.Delete(peer.TopicLoad, key)
	} else if err := n.Set(peer.TopicLoad, key, []byte(f.net.Now().String())); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) Evidence(t *rapid.T) {
	p := f.runningProc(t)
	f.counted[p]++
	f.total++
	if err := p.Node.SetEvidence(evidenceKey, peer.Counters{f.counted[p]}); err != nil {
		t.Fatal(err)
	}
}

func (f *fleet) Crash(t *rapid.T)  { f.proc(t).Down = true }
func (f *fleet) Freeze(t *rapid.T) { f.net.Freeze(f.runningProc(t), true) }
func (f *fleet) Thaw(t *rapid.T)   { f.net.Freeze(f.proc(t), false) }
func (f *fleet) Cut(t *rapid.T)    { f.proc(t).Side = rapid.IntRange(0, 1).Draw(t, "side") }
func (f *fleet) Slow(t *rapid.T)   { f.proc(t).Slow = time.Second }
func (f *fleet) Skew(t *rapid.T) {
	f.proc(t).Skew = time.Duration(rapid.IntRange(-3, 3).Draw(t, "hours")) * time.Hour
}

func (f *fleet) CutDataCentre(t *rapid.T) {
	dc := f.proc(t).Opts.DataCentre
	for _, p := range f.net.Procs() {
		if p.Opts.DataCentre == dc {
			p.Side = 1
		}
	}
}

func (f *fleet) Restart(t *rapid.T) {
	o := f.proc(t).Opts
	o.Incarnation += ident.Incarnation(rapid.IntRange(1, 1000).Draw(t, "step"))
	f.net.Add(o)
}

// settle repairs all faults and checks that the live nodes converge. It sets the
// addresses of all live nodes as seeds, as if the host list were available again: if
// all configured seeds are down, other nodes could not join.
func (f *fleet) settle(t *rapid.T) {
	var hosts []string
	for _, p := range f.net.Procs() {
		p.Side, p.Slow = 0, 0
		f.net.Freeze(p, false)
		if !p.Down {
			hosts = append(hosts, p.Opts.Address)
		}
	}
	for _, p := range f.net.Procs() {
		p.Node.SetSeeds(hosts)
	}
	f.net.Run(settleTime)
	marks := make(map[string]bool)
	alive := make(map[ident.DataCentre]int)
	minCount := uint64(0)
	for _, p := range f.net.Procs() {
		if !p.Down {
			marks[fmt.Sprint(p.Node.Marks())] = true
			alive[p.Opts.DataCentre]++
			minCount += f.counted[p]
		}
	}
	if len(marks) > 1 {
		t.Fatalf("nodes differ in marks: %v", marks)
	}
	for _, p := range f.net.Procs() {
		if !p.Down {
			f.checkView(t, p, alive, minCount)
		}
	}
}

func (f *fleet) checkView(t *rapid.T, p *virtual.Proc, alive map[ident.DataCentre]int, minCount uint64) {
	seen := 0
	for _, m := range p.Node.Members() {
		q := f.net.Proc(m.ID)
		switch {
		case m.State == peer.StateAlive && q.Down:
			t.Fatalf("%s: state of %s is alive, but it is down", p.Opts.ID, m.ID)
		case m.State == peer.StateAlive:
			seen++
			compareEntries(t, p, q)
		case !q.Down:
			t.Fatalf("%s: state of %s is %s, want alive", p.Opts.ID, m.ID, m.State)
		}
	}
	if seen != alive[p.Opts.DataCentre] {
		t.Fatalf("%s: %d members are alive, want %d", p.Opts.ID, seen, alive[p.Opts.DataCentre])
	}
	dataCentres := make(map[ident.DataCentre]int)
	for _, c := range p.Node.DataCentres() {
		dataCentres[c.Name] = c.Alive
	}
	for dc, n := range alive {
		if dataCentres[dc] != n {
			t.Fatalf("%s: %d nodes are alive in %s, want %d", p.Opts.ID, dataCentres[dc], dc, n)
		}
	}
	if c := p.Node.Evidence(evidenceKey); minCount > 0 && (len(c) == 0 || c[0] < minCount) {
		t.Fatalf("%s: evidence = %v, want at least the %d counted by live nodes", p.Opts.ID, c, minCount)
	}
}

// compareEntries checks that p has the entries that q has published.
func compareEntries(t *rapid.T, p, q *virtual.Proc) {
	entriesOfQ := func(n *peer.Node) (out []string) {
		for _, e := range n.Entries(peer.TopicLoad) {
			if e.Owner == q.Opts.ID {
				out = append(out, e.Key+"="+string(e.Value))
			}
		}
		return out
	}
	if got, want := fmt.Sprint(entriesOfQ(p.Node)), fmt.Sprint(entriesOfQ(q.Node)); got != want {
		t.Fatalf("%s has entries %s of %s, want %s", p.Opts.ID, got, q.Opts.ID, want)
	}
}
