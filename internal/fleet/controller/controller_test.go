package controller

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	standin "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// up returns a site whose hosts serve the demand.
func up(t testing.TB, nodes int) *site {
	s := newSite(t, 1, nodes)
	s.run(4 * time.Minute)
	if got := s.states(); got[fleet.SlotBought] < 3 || got[fleet.SlotWanted] > 0 {
		t.Fatalf("after the start the plan has %v", got)
	}
	s.check()
	return s
}

func (s *site) expectBought(want uint64, when string) {
	s.t.Helper()
	if got := s.platform.Status().Bought; got != want {
		s.t.Errorf("%s: %d hosts bought, want %d", when, got, want)
	}
}

func (s *site) expectReleased(want uint64, when string) {
	s.t.Helper()
	if got := s.platform.Status().Released; got != want {
		s.t.Errorf("%s: %d hosts released, want %d", when, got, want)
	}
}

// TestLostAnswersBuyNoSecondHost loses the answers of purchases and of saves.
func TestLostAnswersBuyNoSecondHost(t *testing.T) {
	s := newSite(t, 1, 1)
	s.platform.SetFaults(standin.Faults{LoseBuyAnswers: 5, Store: memstore.Faults{LoseAnswer: 0.4}})
	s.run(3 * time.Minute)
	s.platform.SetFaults(standin.Faults{})
	s.run(2 * time.Minute)
	s.check()
	s.expectBought(uint64(len(s.plan().Slots)), "after lost answers")
}

func TestRefusedStartsBuyOnDemand(t *testing.T) {
	s := newSite(t, 1, 1)
	s.platform.SetFaults(standin.Faults{RefuseStarts: true})
	s.run(3 * time.Minute)
	s.check()
	for _, h := range s.hosts() {
		if h.Reclaimable {
			t.Errorf("host %s is reclaimable", h.Host)
		}
	}
	if got := s.states()[fleet.SlotBought]; got < 3 {
		t.Errorf("%d hosts bought on demand", got)
	}
	st, reason, _ := s.duties[0].lastStatus()
	if d := describe(service, st, reason); !strings.Contains(d.Remark, "reclaimable gpu in evosmos") {
		t.Errorf("remark %q doesn't name what is refused", d.Remark)
	}
}

// TestOutagesAndDoubtChangeNothing: without store, demand or the whole demand
// nothing is bought and released, however the demand moves.
func TestOutagesAndDoubtChangeNothing(t *testing.T) {
	for name, begin := range map[string]func(s *site) (end func()){
		"platform down": func(s *site) func() {
			s.platform.SetFaults(standin.Faults{Store: memstore.Faults{Down: true}})
			return func() { s.platform.SetFaults(standin.Faults{}) }
		},
		"demand unknown": func(s *site) func() {
			s.unknown = true
			return func() { s.unknown = false }
		},
		"demand partial": func(s *site) func() {
			s.rates.Partial = true
			s.hold(1) // which knows of no more demand
			return func() { s.rates.Partial = false }
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := up(t, 2)
			bought := s.platform.Status().Bought
			s.rates.Requests = 0.5
			end := begin(s)
			s.run(30 * time.Minute)
			s.expectBought(bought, "meanwhile")
			s.expectReleased(0, "meanwhile")
			end()
			s.run(40 * time.Minute)
			if s.platform.Status().Released == 0 {
				t.Error("nothing is released once it is over")
			}
			s.check()
		})
	}
}

// TestPausedHolder loses the lease between the save and the first purchase: the
// old holder buys nothing more, its successor buys for the same slots.
func TestPausedHolder(t *testing.T) {
	s := newSite(t, 1, 2)
	s.beforeBuy = func() { s.rights[0].held = false } // the call already sent still arrives
	s.run(10 * time.Second)
	s.expectBought(1, "after the pause")
	wanted := len(s.plan().Slots)
	s.hold(1)
	s.run(time.Minute)
	s.rights[0].held, s.rights[0].epoch = false, 1 // returns
	s.run(3 * time.Minute)
	s.check()
	s.expectBought(uint64(wanted), "after the successor")
}

// TestDrainWaitsForWork: a host goes only once its own report, younger than the
// spread of the drain, shows no request, and one out of reach only much later.
func TestDrainWaitsForWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(*fakeEngine)
		mend  func(*fakeEngine)
		after time.Duration // released by then
	}{
		{"long request", func(e *fakeEngine) { e.running = 1 }, func(e *fakeEngine) { e.running = 0 }, time.Minute},
		{"old reports", func(e *fakeEngine) { e.lag = 24 * time.Hour }, func(e *fakeEngine) { e.lag = 0 }, time.Minute},
		{"out of reach", func(e *fakeEngine) { e.down = true }, func(*fakeEngine) {}, 15 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := up(t, 1)
			s.rates.Requests = 0.1
			for s.states()[fleet.SlotDraining] == 0 {
				s.step()
			}
			for _, e := range s.engines {
				c.fault(e)
			}
			s.run(10 * time.Minute)
			s.expectReleased(0, "while it lasts")
			for _, e := range s.engines {
				c.mend(e)
			}
			s.run(c.after)
			if s.platform.Status().Released == 0 {
				t.Error("nothing is released in the end")
			}
		})
	}
}

// TestWaveDuringScaleDown reclaims a data centre while hosts drain.
func TestWaveDuringScaleDown(t *testing.T) {
	s := newSite(t, 1, 1)
	s.busy, s.rates.Requests = true, 14
	s.run(5 * time.Minute)
	s.rates.Requests = 3
	for s.states()[fleet.SlotDraining] == 0 {
		s.step()
	}
	s.platform.Reclaim(standin.Reclaim{DataCentre: "evosmos", Notice: 30 * time.Second})
	s.run(10 * time.Minute)
	s.check()
	st, _, _ := s.duties[0].lastStatus()
	if st.Spare < st.Demand {
		t.Errorf("spare capacity of %.2f requests/s for a demand of %.2f", st.Spare, st.Demand)
	}
}

// TestOrders: only a fresh engine is ordered to load, and one that doesn't check
// the fencing number only once orders of former holders can't arrive.
func TestOrders(t *testing.T) {
	s := up(t, 1)
	orders := s.orders
	for _, e := range s.engines {
		e.version = "v2" // a move's
	}
	s.run(time.Minute)
	if s.orders != orders {
		t.Errorf("%d orders to engines that serve", s.orders-orders)
	}
	s = newSite(t, 1, 1)
	svc := s.cfg.Services[service]
	svc.ChecksFence = false
	s.cfg.Services[service] = svc
	s.rights[0].unsettled = true
	s.run(2 * time.Minute)
	if s.orders > 0 {
		t.Errorf("%d orders while the lease is not settled", s.orders)
	}
	s.rights[0].unsettled = false
	s.run(time.Minute)
	if s.orders == 0 {
		t.Error("no order once it is")
	}
}

// TestFaultsAtRandom changes holders, loses answers, reclaims, refuses, takes the
// platform down and freezes engines, and checks that in the end every host is
// held once. JUJUBESHED_SEEDS sets the number of seeds.
func TestFaultsAtRandom(t *testing.T) {
	n := 6
	if v, err := strconv.Atoi(os.Getenv("JUJUBESHED_SEEDS")); err == nil {
		n = v
	}
	for seed := range uint64(n) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newSite(t, seed, 3)
			s.busy = true
			for range 360 {
				s.disturb()
				s.step()
			}
			s.platform.SetFaults(standin.Faults{})
			for _, e := range s.engines {
				e.down = false
			}
			s.hold(0)
			s.run(10 * time.Minute)
			s.check()
			if got := s.platform.Status().Bought; got > s.plan().NextID {
				t.Errorf("%d hosts for %d slots", got, s.plan().NextID)
			}
		})
	}
}

func (s *site) disturb() {
	f := s.platform.Status().Faults
	switch s.rng.IntN(24) {
	case 0:
		s.hold(s.rng.IntN(len(s.rights)))
	case 1:
		for _, r := range s.rights {
			r.held = false
		}
	case 2:
		s.beforeBuy = func() { s.hold(s.rng.IntN(len(s.rights))) }
	case 3:
		s.rates.Requests = 16 * s.rng.Float64()
	case 4:
		dc := s.cfg.Services[service].Fleet.DataCentres[s.rng.IntN(3)]
		s.platform.Reclaim(standin.Reclaim{DataCentre: dc, Notice: time.Duration(s.rng.IntN(60)) * time.Second})
	case 5:
		f = standin.Faults{LoseBuyAnswers: s.rng.IntN(4), RefuseStarts: s.rng.IntN(2) == 0, HostLag: time.Duration(s.rng.IntN(15)) * time.Second}
		f.Store = memstore.Faults{LoseAnswer: s.rng.Float64() / 2, LoseRequest: s.rng.Float64() / 2, Conflict: s.rng.Float64() / 4}
	case 6:
		f.Store.Down = !f.Store.Down
	case 7:
		for _, id := range slices.Sorted(maps.Keys(s.engines)) {
			s.engines[id].down = s.rng.IntN(4) == 0
		}
	}
	s.platform.SetFaults(f)
}

// TestControllers runs two nodes' controllers; the second takes over from the
// first, and both tell the status.
func TestControllers(t *testing.T) {
	s := newSite(t, 1, 0)
	open := func(id ident.NodeID, members ...ident.NodeID) *Controller {
		c, err := New(Options{
			Self: lease.Owner{Node: id, Incarnation: 1}, Store: s.platform.Store(), Cloud: s.client, Hosts: s.client,
			Engines: s, Demand: s, Marks: []Marks{s}, Interval: 10 * time.Millisecond, Lease: lease.Options{Term: time.Second},
			Config:  func() *config.Config { return s.cfg },
			Members: func() []ident.NodeID { return members },
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		return c
	}
	holds := func(c *Controller) func() bool {
		return func() bool {
			st := c.Status(t.Context())
			if len(st) != 1 || !st[0].Holder || len(st[0].Actions) == 0 {
				return false
			}
			return !slices.ContainsFunc(st[0].Actions, func(a Action) bool { return !strings.HasPrefix(a.Text, "Bought ") })
		}
	}
	a := open("a", "a")
	eventually(t, "the first decides", holds(a))
	b := open("b", "b")
	if st := b.Status(t.Context())[0]; st.Holder || len(st.DataCentres) == 0 {
		t.Errorf("the other node tells %+v", st)
	}
	if err := a.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	eventually(t, "the second decides", holds(b))
	if err := b.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	s.check()
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s: not so", what)
}

// fakeSoft is the soft state of a fleet of one node.
type fakeSoft struct {
	sum    peer.Counters
	silent time.Duration
}

func (f *fakeSoft) SetEvidence(_ string, c peer.Counters) error { f.sum = c; return nil }
func (f *fakeSoft) Evidence(string) peer.Counters               { return f.sum }
func (f *fakeSoft) Members() []peer.Member                      { return nil }
func (f *fakeSoft) DataCentres() []peer.DataCentre {
	return []peer.DataCentre{{Name: "pylaia", SinceLastContact: f.silent}}
}

func TestMeter(t *testing.T) {
	soft := &fakeSoft{}
	m := NewMeter(soft)
	at := time.Unix(0, 0)
	tick := func(requests int) string {
		for range requests {
			m.Request(service)
			m.Tokens(service, 800, 200)
		}
		at = at.Add(10 * time.Second)
		if err := m.Publish(at, service); err != nil {
			t.Fatal(err)
		}
		r, known := m.Rates(at, service)
		return fmt.Sprintf("%.0f/s %.0f+%.0f partial=%v known=%v", r.Requests, r.PromptTokens, r.OutputTokens, r.Partial, known)
	}
	expect := func(got, want string) {
		t.Helper()
		if got != want {
			t.Errorf("at %v: %s, want %s", at.Unix(), got, want)
		}
	}
	if _, known := m.Rates(at, service); known {
		t.Error("demand is known before anything was counted")
	}
	expect(tick(50), "0/s 0+0 partial=true known=false")
	expect(tick(50), "5/s 4000+1000 partial=false known=true")
	soft.silent = time.Minute
	expect(tick(0), "5/s 4000+1000 partial=true known=true")
	soft.silent = 0
	expect(tick(1000), "5/s 4000+1000 partial=true known=true") // came late: no demand of now
	expect(tick(20), "2/s 1600+400 partial=false known=true")
}

// TestPlanSize holds doc.go to its word on the bytes of a slot.
func TestPlanSize(t *testing.T) {
	const slots, bytesPerSlot = 15_000, 60
	p := fleet.Plan{Service: "boot-design"}
	for i := range uint64(slots) {
		p.Slots = append(p.Slots, fleet.Slot{
			ID: i + 1000, DataCentre: ident.DataCentre(fmt.Sprintf("sialkot-%d", i%21)), Class: "gpu-a100-80", Reclaimable: i%3 > 0,
			Version: "v2026.11.3", State: fleet.SlotBought, Since: time.Unix(int64(1.7e9+37*i), int64(i*7919%1e9)).UTC(),
			Host: ident.Host(fmt.Sprintf("i-%016x", i*0x9e3779b97f4a7c15)), Served: true,
			Reason: fmt.Sprintf("need %.3g requests/s without any one data centre, have %.3g", 900+float64(i%997)/7, 880+float64(i%991)/7),
		})
	}
	raw, err := encodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d slots take %d bytes, %.1f each", slots, len(raw), float64(len(raw))/slots)
	if len(raw) > slots*bytesPerSlot || len(raw) > platformapi.MaxObjectBytes {
		t.Errorf("%d slots take %d bytes", slots, len(raw))
	}
	back, err := decodePlan(raw)
	if err != nil || len(back.Slots) != slots || back.Slots[slots-1] != p.Slots[slots-1] {
		t.Errorf("plan comes back as %d slots: %v", len(back.Slots), err)
	}
	if _, err := decodePlan([]byte("{}")); err == nil {
		t.Error("a plan that is not compressed is read")
	}
}
