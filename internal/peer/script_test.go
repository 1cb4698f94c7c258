package peer_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/virtual"
)

// script runs one file of testdata on a virtual network of its own.
type script struct {
	net   *virtual.Net
	procs int
}

func TestScripts(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "net":
		var seed, loss, repeat int
		d.MaybeScanArgs(t, "seed", &seed)
		d.MaybeScanArgs(t, "loss", &loss)
		d.MaybeScanArgs(t, "repeat", &repeat)
		s.procs = 0
		s.net = virtual.New(virtual.Options{Seed: uint64(seed), Loss: float64(loss) / 100,
			Repeat: float64(repeat) / 100, Delay: time.Millisecond, Jitter: 2 * time.Millisecond})
	case "add": // add dc=a n=2
		s.add(t, d)
	case "restart": // restart a1 incarnation=7
		p := s.proc(t, d)
		o := p.Opts
		inc := uint64(o.Incarnation)
		d.MaybeScanArgs(t, "incarnation", &inc)
		o.Incarnation = ident.Incarnation(inc)
		s.net.Add(o)
	case "run":
		limit, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.net.Run(limit)
	case "set": // set a1 down|frozen|side=1|skew=1h|slow=1s
		s.set(t, d)
	case "mark": // mark a1 e7 number=3
		var number int
		d.ScanArgs(t, "number", &number)
		m := peer.Mark{Kind: peer.MarkEndpointLeaving, Subject: d.CmdArgs[1].Key, Number: uint64(number)}
		p := s.proc(t, d)
		s.net.Do(p, func(now time.Time) []peer.Send { return p.Node.Mark(now, m) })
	case "leave":
		p := s.proc(t, d)
		s.net.Do(p, p.Node.Leave)
	case "entry": // entry a1 key=e1 value=x, without a value to delete the entry
		s.entry(t, d)
	case "count": // count a1 5
		c, err := strconv.ParseUint(d.CmdArgs[1].Key, 10, 64)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		if err := s.proc(t, d).Node.SetEvidence(evidenceKey, peer.Counters{c}); err != nil {
			d.Fatalf(t, "%v", err)
		}
	case "counts":
		return s.views(func(n *peer.Node) string { return fmt.Sprint(n.Evidence(evidenceKey)) })
	case "members":
		return s.views(members)
	case "centres":
		return s.views(dataCentres)
	case "marked": // marked e7 incarnation=3
		var inc int
		d.ScanArgs(t, "incarnation", &inc)
		return s.views(func(n *peer.Node) string {
			return fmt.Sprint(n.Leaving(ident.EndpointID(d.CmdArgs[0].Key), ident.Incarnation(inc)))
		})
	case "entries":
		return s.views(entries)
	case "changes":
		return changes(s.proc(t, d).Node)
	default:
		d.Fatalf(t, "unknown command")
	}
	return ""
}

func (s *script) add(t *testing.T, d *datadriven.TestData) {
	var dc string
	n := 1
	d.ScanArgs(t, "dc", &dc)
	d.MaybeScanArgs(t, "n", &n)
	for i := range n {
		s.procs++
		s.net.Add(peer.Options{
			ID:          ident.NodeID(fmt.Sprintf("%s%d", dc, i+1)),
			DataCentre:  ident.DataCentre(dc),
			Address:     fmt.Sprintf("10.0.0.%d:7000", s.procs),
			Incarnation: 5,
			Seeds:       []string{"10.0.0.1:7000", "10.0.0.2:7000"},
		})
	}
}

func (s *script) proc(t *testing.T, d *datadriven.TestData) *virtual.Proc {
	p := s.net.Proc(ident.NodeID(d.CmdArgs[0].Key))
	if p == nil {
		d.Fatalf(t, "no process %q", d.CmdArgs[0].Key)
	}
	return p
}

func (s *script) set(t *testing.T, d *datadriven.TestData) {
	for _, name := range strings.Split(d.CmdArgs[0].Key, "+") {
		p := s.net.Proc(ident.NodeID(name))
		for _, a := range d.CmdArgs[1:] {
			switch a.Key {
			case "down":
				p.Down = true
			case "frozen":
				s.net.Freeze(p, true)
			case "thawed":
				s.net.Freeze(p, false)
			case "side":
				a.Scan(t, 0, &p.Side)
			case "skew":
				p.Skew = duration(t, a)
			case "slow":
				p.Slow = duration(t, a)
			}
		}
	}
}

func duration(t *testing.T, a datadriven.CmdArg) time.Duration {
	v, err := time.ParseDuration(a.Vals[0])
	if err != nil {
		t.Fatal(err)
	}
	return v
}

func (s *script) entry(t *testing.T, d *datadriven.TestData) {
	var key, value string
	d.ScanArgs(t, "key", &key)
	n := s.proc(t, d).Node
	if !d.MaybeScanArgs(t, "value", &value) {
		n.Delete(peer.TopicLoad, key)
		return
	}
	if err := n.Set(peer.TopicLoad, key, []byte(value)); err != nil {
		t.Fatal(err)
	}
}

// views returns the views of the live processes, one line for each distinct view.
func (s *script) views(view func(*peer.Node) string) string {
	procsByView := make(map[string][]string)
	for _, p := range s.net.Procs() {
		if !p.Down && !p.Frozen {
			v := view(p.Node)
			procsByView[v] = append(procsByView[v], string(p.Opts.ID))
		}
	}
	var lines []string
	for _, v := range slices.Sorted(maps.Keys(procsByView)) {
		lines = append(lines, strings.Join(procsByView[v], ",")+": "+v)
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

func members(n *peer.Node) string {
	var out []string
	for _, m := range n.Members() {
		out = append(out, fmt.Sprintf("%s/%d=%s", m.ID, m.Incarnation, m.State))
	}
	return strings.Join(out, " ")
}

func dataCentres(n *peer.Node) string {
	var out []string
	for _, c := range n.DataCentres() {
		suffix := ""
		if c.SinceLastContact > 15*time.Second {
			suffix = " silent"
		}
		out = append(out, fmt.Sprintf("%s=%d+%d%s", c.Name, c.Alive, c.Suspect, suffix))
	}
	return strings.Join(out, " ")
}

func entries(n *peer.Node) string {
	var out []string
	for _, e := range n.Entries(peer.TopicLoad) {
		out = append(out, fmt.Sprintf("%s:%s=%s", e.Owner, e.Key, e.Value))
	}
	return strings.Join(out, " ")
}

func changes(n *peer.Node) string {
	var out []string
	for _, c := range n.Changes() {
		switch c.Kind {
		case peer.ChangeMember:
			out = append(out, fmt.Sprintf("member %s/%d %s", c.Member.ID, c.Member.Incarnation, c.Member.State))
		case peer.ChangeMark:
			out = append(out, fmt.Sprintf("mark %s %d", c.Mark.Subject, c.Mark.Number))
		case peer.ChangeRefuted:
			out = append(out, "refuted")
		case peer.ChangeEntry:
			if c.Entry.Topic == peer.TopicLoad {
				out = append(out, fmt.Sprintf("entry %s:%s=%s", c.Entry.Owner, c.Entry.Key, c.Entry.Value))
			}
		}
	}
	return strings.Join(out, "\n")
}
