package admit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// script runs the commands of the files in testdata/scripts against a Controller.
type script struct {
	c   *Controller
	now time.Time
	ws  map[ident.Workspace]config.WorkspaceConfig
}

func TestScripts(t *testing.T) {
	invariant.SetFatal(true)
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{c: New(Options{}), now: epoch, ws: map[ident.Workspace]config.WorkspaceConfig{}}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var b strings.Builder
	num := func(key string, n int) int {
		d.MaybeScanArgs(t, key, &n)
		return n
	}
	dur := func(key string, v time.Duration) time.Duration {
		text := v.String()
		d.MaybeScanArgs(t, key, &text)
		v, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	name := func(key, v string) string { d.MaybeScanArgs(t, key, &v); return v }
	switch d.Cmd {
	case "workspace":
		s.ws[ident.Workspace(name("name", "a"))] = config.WorkspaceConfig{Weight: num("weight", 0), Concurrency: num("concurrency", 0), RatePerSecond: float64(num("rate", 0))}
		s.c.SetWorkspaces(s.now, s.ws)
	case "live":
		s.c.SetLiveNodes(s.now, num("n", 1))
	case "capacity":
		s.c.SetCapacity(s.now, "s", num("n", 1))
	case "offer":
		class, err := ident.ParseClass(name("class", "quick"))
		if err != nil {
			t.Fatal(err)
		}
		for range num("times", 1) {
			s.offer(&b, Request{Workspace: ident.Workspace(name("ws", "a")), Class: class, Service: "s", Deadline: s.now.Add(dur("deadline", time.Minute))})
		}
	case "done":
		s.c.Done(s.now, Ticket(num("id", 0)), dur("took", time.Second))
	case "cancel":
		s.c.Cancel(s.now, Ticket(num("id", 0)))
	case "advance":
		s.now = s.now.Add(dur("by", 0))
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	for _, e := range s.c.Tick(s.now) {
		if e.Err == nil {
			fmt.Fprintf(&b, "%d granted\n", e.Ticket)
		} else {
			fmt.Fprintf(&b, "%d refused: %v, back after %v\n", e.Ticket, e.Err, e.Err.RetryAfter.Round(time.Millisecond))
		}
	}
	return b.String()
}

func (s *script) offer(b *strings.Builder, r Request) {
	switch d := s.c.Offer(s.now, r); d.Kind {
	case Admitted:
		fmt.Fprintf(b, "%d admitted\n", d.Ticket)
	case Queued:
		fmt.Fprintf(b, "%d queued\n", d.Ticket)
	default:
		fmt.Fprintf(b, "refused: %v, back after %v\n", d.Err, d.Err.RetryAfter.Round(time.Millisecond))
	}
}

// machine checks random sequences of calls of a Controller: each ticket ends once, none
// is queued past its deadline, and every grant is within the limits.
type machine struct {
	c        *Controller
	now      time.Time
	queued   map[Ticket]Request
	admitted []Ticket
}

var (
	names    = []ident.Workspace{"a", "b", "c"}
	services = []ident.Service{"s", "t"}
)

func (m *machine) offer(t *rapid.T) {
	r := Request{Workspace: rapid.SampledFrom(names).Draw(t, "ws"), Class: rapid.SampledFrom(ident.Classes).Draw(t, "class"),
		Service: rapid.SampledFrom(services).Draw(t, "service"), Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 30).Draw(t, "s")) * time.Second)}
	switch d := m.c.Offer(m.now, r); d.Kind {
	case Admitted:
		m.admitted = append(m.admitted, d.Ticket)
	case Queued:
		m.queued[d.Ticket] = r
	default:
		if d.Err == nil || d.Err.Verdict.String() != "not-run" || d.Err.RetryAfter <= 0 {
			t.Fatalf("refusal %v", d.Err)
		}
	}
	m.tick(t)
}

func (m *machine) tick(t *rapid.T) {
	for _, e := range m.c.Tick(m.now) {
		r, ok := m.queued[e.Ticket]
		if !ok {
			t.Fatalf("ticket %d ended twice", e.Ticket)
		}
		delete(m.queued, e.Ticket)
		if e.Err == nil {
			m.admitted = append(m.admitted, e.Ticket)
		}
		if m.now.After(r.Deadline) {
			t.Fatalf("ticket %d ended after its deadline", e.Ticket)
		}
	}
}

// advance moves the clock and calls Tick at each wake time, as package gate does.
func (m *machine) advance(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
	for {
		at, ok := m.c.Wake(m.now)
		if !ok || at.After(end) {
			break
		}
		m.now = later(at, m.now)
		m.tick(t)
	}
	m.now = end
	m.tick(t)
}

func (m *machine) end(t *rapid.T) {
	if len(m.admitted) == 0 {
		t.Skip("no request is admitted")
	}
	i := rapid.IntRange(0, len(m.admitted)-1).Draw(t, "i")
	if rapid.Bool().Draw(t, "done") {
		m.c.Done(m.now, m.admitted[i], time.Second)
	} else {
		m.c.Cancel(m.now, m.admitted[i])
	}
	m.admitted = append(m.admitted[:i], m.admitted[i+1:]...)
	m.tick(t)
}

func (m *machine) check(t *rapid.T) {
	inflight, queued := 0, 0
	for _, s := range m.c.services {
		inflight += s.inflight
		queued += s.queued
		for _, class := range ident.Classes {
			if l := s.lanes[class]; l.inflight < l.aged || l.inflight < 0 || l.aged < 0 {
				t.Fatalf("class %s has %d in flight, %d aged", class, l.inflight, l.aged)
			}
		}
	}
	if inflight != len(m.admitted) || queued != len(m.queued) || len(m.c.tickets) != inflight+queued {
		t.Fatalf("in flight %d of %d, queued %d of %d, tickets %d", inflight, len(m.admitted), queued, len(m.queued), len(m.c.tickets))
	}
}

func TestMachine(t *testing.T) {
	invariant.SetFatal(true)
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{c: New(Options{MaxQueued: 8}), now: epoch, queued: map[Ticket]Request{}}
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "offer": m.offer, "offer2": m.offer, "offer3": m.offer, "advance": m.advance, "end": m.end,
			"capacity": func(t *rapid.T) {
				m.c.SetCapacity(m.now, rapid.SampledFrom(services).Draw(t, "service"), rapid.IntRange(0, 6).Draw(t, "n"))
				m.tick(t)
			},
			"live": func(t *rapid.T) { m.c.SetLiveNodes(m.now, rapid.IntRange(0, 16).Draw(t, "n")); m.tick(t) },
			"limits": func(t *rapid.T) {
				m.c.SetWorkspaces(m.now, map[ident.Workspace]config.WorkspaceConfig{rapid.SampledFrom(names).Draw(t, "ws"): {
					Concurrency: rapid.IntRange(0, 20).Draw(t, "n"), Weight: rapid.IntRange(0, 3).Draw(t, "weight")}})
				m.tick(t)
			},
		})
	})
}

// TestSeeds simulates overload with changing capacity, once for each of
// JUJUBESHED_SEEDS seeds.
func TestSeeds(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("JUJUBESHED_SEEDS"))
	for seed := range uint64(max(seeds, 1)) {
		w := newSimulation(controller(slots, unlimited("a")), seed, mixedStreams(3)...)
		var change func()
		change = func() {
			w.c.SetCapacity(w.now, "s", w.rng.IntN(2*slots))
			w.tick()
			w.after(5*time.Second, change)
		}
		change()
		w.run(2 * time.Minute)
		if len(w.c.tickets) != len(w.queued)+w.c.service("s").inflight {
			t.Fatalf("seed %d: %d tickets", seed, len(w.c.tickets))
		}
	}
}

func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			ws := map[ident.Workspace]config.WorkspaceConfig{}
			for i := range n {
				ws[ident.Workspace(fmt.Sprint("w", i))] = config.WorkspaceConfig{RatePerSecond: 1e9, Concurrency: 1e6}
			}
			c := controller(256, ws)
			rng := rand.New(rand.NewPCG(1, 1))
			admitted := make([]Ticket, 0, 512)
			ids := make([]ident.Workspace, 0, n)
			for i := range n {
				ids = append(ids, ident.Workspace(fmt.Sprint("w", i)))
			}
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				r := Request{Workspace: ids[rng.IntN(n)], Class: ident.ClassQuick, Service: "s", Deadline: now.Add(time.Minute)}
				if d := c.Offer(now, r); d.Kind != Refused {
					admitted = append(admitted, d.Ticket)
				}
				if len(admitted) > 256 {
					c.Done(now, admitted[0], time.Second)
					admitted = admitted[1:]
				}
				c.Tick(now)
			}
		})
	}
}
