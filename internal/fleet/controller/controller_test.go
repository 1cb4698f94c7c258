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

// newReadySite returns a site whose hosts already serve the demand.
func newReadySite(t testing.TB, nodes int) *testSite {
	s := newTestSite(t, 1, nodes)
	s.run(4 * time.Minute)
	if got := s.states(); got[fleet.SlotBought] < 3 || got[fleet.SlotWanted] > 0 {
		t.Fatalf("slots by state after the start: %v", got)
	}
	s.checkPlan()
	return s
}

func (s *testSite) checkBought(want uint64, when string) {
	s.t.Helper()
	if got := s.platform.Status().Bought; got != want {
		s.t.Errorf("%s: %d hosts bought, want %d", when, got, want)
	}
}

func (s *testSite) checkReleased(want uint64, when string) {
	s.t.Helper()
	if got := s.platform.Status().Released; got != want {
		s.t.Errorf("%s: %d hosts released, want %d", when, got, want)
	}
}

// TestLostAnswersBuyNoSecondHost checks that lost responses to purchases and saves lead
// to no duplicate purchases.
func TestLostAnswersBuyNoSecondHost(t *testing.T) {
	s := newTestSite(t, 1, 1)
	s.platform.SetFaults(standin.Faults{LoseBuyAnswers: 5, Store: memstore.Faults{LoseAnswer: 0.4}})
	s.run(3 * time.Minute)
	s.platform.SetFaults(standin.Faults{})
	s.run(2 * time.Minute)
	s.checkPlan()
	s.checkBought(uint64(len(s.plan().Slots)), "after lost responses")
}

func TestRefusedStartsBuyOnDemand(t *testing.T) {
	s := newTestSite(t, 1, 1)
	s.platform.SetFaults(standin.Faults{RefuseStarts: true})
	s.run(3 * time.Minute)
	s.checkPlan()
	for _, h := range s.hosts() {
		if h.Reclaimable {
			t.Errorf("host %s is reclaimable", h.Host)
		}
	}
	if got := s.states()[fleet.SlotBought]; got < 3 {
		t.Errorf("%d hosts bought on demand, want at least 3", got)
	}
	st, reason, _ := s.duties[0].lastStatus()
	if d := describeStatus(service, st, reason); !strings.Contains(d.Remark, "reclaimable gpu in evosmos") {
		t.Errorf("remark %q does not name the refused kind of host", d.Remark)
	}
}

// TestNoChangesDuringOutagesOrUnknownDemand checks that nothing is bought or released
// while the platform is down or the demand is unknown or incomplete, and that releases
// resume afterwards.
func TestNoChangesDuringOutagesOrUnknownDemand(t *testing.T) {
	for name, begin := range map[string]func(s *testSite) (end func()){
		"platform down": func(s *testSite) func() {
			s.platform.SetFaults(standin.Faults{Store: memstore.Faults{Down: true}})
			return func() { s.platform.SetFaults(standin.Faults{}) }
		},
		"demand unknown": func(s *testSite) func() {
			s.demandUnknown = true
			return func() { s.demandUnknown = false }
		},
		"demand partial": func(s *testSite) func() {
			s.rates.Partial = true
			s.giveLease(1) // the new holder has seen no higher demand
			return func() { s.rates.Partial = false }
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newReadySite(t, 2)
			bought := s.platform.Status().Bought
			s.rates.Requests = 0.5
			end := begin(s)
			s.run(30 * time.Minute)
			s.checkBought(bought, "during the fault")
			s.checkReleased(0, "during the fault")
			end()
			s.run(40 * time.Minute)
			if s.platform.Status().Released == 0 {
				t.Error("no host was released after the fault ended")
			}
			s.checkPlan()
		})
	}
}

// TestPausedHolderStopsBuying checks that a holder that loses the lease between the save
// of the plan and the first purchase buys nothing more, and that its successor buys for
// the same slots.
func TestPausedHolderStopsBuying(t *testing.T) {
	s := newTestSite(t, 1, 2)
	s.beforeBuy = func() { s.leases[0].held = false } // the purchase in progress still arrives
	s.run(10 * time.Second)
	s.checkBought(1, "after the loss of the lease")
	wanted := len(s.plan().Slots)
	s.giveLease(1)
	s.run(time.Minute)
	s.leases[0].held, s.leases[0].epoch = false, 1 // resumes with its old epoch
	s.run(3 * time.Minute)
	s.checkPlan()
	s.checkBought(uint64(wanted), "after the successor's purchases")
}

// TestReleaseWaitsForAcceptedRequests checks that a draining host is released only once
// its load report, made after the drain has reached all nodes, shows no requests, and an
// unreachable host only after UnreachableTimeout.
func TestReleaseWaitsForAcceptedRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  func(*fakeEngine)
		repair func(*fakeEngine)
		after  time.Duration // time after the repair within which a host is released
	}{
		{"long request", func(e *fakeEngine) { e.running = 1 }, func(e *fakeEngine) { e.running = 0 }, time.Minute},
		{"old reports", func(e *fakeEngine) { e.reportAge = 24 * time.Hour }, func(e *fakeEngine) { e.reportAge = 0 }, time.Minute},
		{"unreachable", func(e *fakeEngine) { e.unreachable = true }, func(*fakeEngine) {}, 15 * time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newReadySite(t, 1)
			s.rates.Requests = 0.1
			for s.states()[fleet.SlotDraining] == 0 {
				s.step()
			}
			for _, e := range s.engines {
				c.fault(e)
			}
			s.run(10 * time.Minute)
			s.checkReleased(0, "during the fault")
			for _, e := range s.engines {
				c.repair(e)
			}
			s.run(c.after)
			if s.platform.Status().Released == 0 {
				t.Error("no host was released after the fault ended")
			}
		})
	}
}

// TestReclaimDuringScaleDown checks that the spare capacity covers the demand again after
// a data centre's hosts are reclaimed while others drain.
func TestReclaimDuringScaleDown(t *testing.T) {
	s := newTestSite(t, 1, 1)
	s.busy, s.rates.Requests = true, 14
	s.run(5 * time.Minute)
	s.rates.Requests = 3
	for s.states()[fleet.SlotDraining] == 0 {
		s.step()
	}
	s.platform.Reclaim(standin.Reclaim{DataCentre: "evosmos", Notice: 30 * time.Second})
	s.run(10 * time.Minute)
	s.checkPlan()
	st, _, _ := s.duties[0].lastStatus()
	if st.Spare < st.Demand {
		t.Errorf("spare capacity of %.2f requests/s for a demand of %.2f", st.Spare, st.Demand)
	}
}

// TestOrdersOnlyNewEngines checks that only engines without a version get an order, and
// those that don't check the fencing token only once no order of a former holder can
// still arrive.
func TestOrdersOnlyNewEngines(t *testing.T) {
	s := newReadySite(t, 1)
	orders := s.orders
	for _, e := range s.engines {
		e.version = "v2" // as set by a version move
	}
	s.run(time.Minute)
	if s.orders != orders {
		t.Errorf("%d orders to engines that already serve", s.orders-orders)
	}
	s = newTestSite(t, 1, 1)
	svc := s.cfg.Services[service]
	svc.ChecksFence = false
	s.cfg.Services[service] = svc
	s.leases[0].unsettled = true
	s.run(2 * time.Minute)
	if s.orders > 0 {
		t.Errorf("%d orders while the lease is not settled", s.orders)
	}
	s.leases[0].unsettled = false
	s.run(time.Minute)
	if s.orders == 0 {
		t.Error("no order after the lease is settled")
	}
}

// TestRandomFaults combines changes of the holder, lost responses, reclaims, refused
// purchases, platform outages and unreachable engines at random, and checks that in the
// end every host has exactly one slot. JUJUBESHED_SEEDS sets the number of seeds.
func TestRandomFaults(t *testing.T) {
	n := 6
	if v, err := strconv.Atoi(os.Getenv("JUJUBESHED_SEEDS")); err == nil {
		n = v
	}
	for seed := range uint64(n) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			s := newTestSite(t, seed, 3)
			s.busy = true
			for range 360 {
				s.injectFault()
				s.step()
			}
			s.platform.SetFaults(standin.Faults{})
			for _, e := range s.engines {
				e.unreachable = false
			}
			s.giveLease(0)
			s.run(10 * time.Minute)
			s.checkPlan()
			if got := s.platform.Status().Bought; got > s.plan().NextID {
				t.Errorf("%d hosts bought for %d slots", got, s.plan().NextID)
			}
		})
	}
}

func (s *testSite) injectFault() {
	f := s.platform.Status().Faults
	switch s.rng.IntN(24) {
	case 0:
		s.giveLease(s.rng.IntN(len(s.leases)))
	case 1:
		for _, r := range s.leases {
			r.held = false
		}
	case 2:
		s.beforeBuy = func() { s.giveLease(s.rng.IntN(len(s.leases))) }
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
			s.engines[id].unreachable = s.rng.IntN(4) == 0
		}
	}
	s.platform.SetFaults(f)
}

// TestControllerTakesOver runs the controllers of two nodes: the second takes over when
// the first stops, and both return the status.
func TestControllerTakesOver(t *testing.T) {
	s := newTestSite(t, 1, 0)
	start := func(id ident.NodeID, members ...ident.NodeID) *Controller {
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
	decides := func(c *Controller) func() bool {
		return func() bool {
			st := c.Status(t.Context())
			if len(st) != 1 || !st[0].Holder || len(st[0].Actions) == 0 {
				return false
			}
			return !slices.ContainsFunc(st[0].Actions, func(a Action) bool { return !strings.HasPrefix(a.Text, "Bought ") })
		}
	}
	a := start("a", "a")
	waitFor(t, "the first node holds the lease", decides(a))
	b := start("b", "b")
	if st := b.Status(t.Context())[0]; st.Holder || len(st.DataCentres) == 0 {
		t.Errorf("the other node's status is %+v", st)
	}
	if err := a.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	waitFor(t, "the second node holds the lease", decides(b))
	if err := b.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	s.checkPlan()
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// fakeGossip is the gossip state of a single node.
type fakeGossip struct {
	sum              peer.Counters
	sinceLastContact time.Duration
}

func (f *fakeGossip) SetEvidence(_ string, c peer.Counters) error { f.sum = c; return nil }
func (f *fakeGossip) Evidence(string) peer.Counters               { return f.sum }
func (f *fakeGossip) Members() []peer.Member                      { return nil }
func (f *fakeGossip) DataCentres() []peer.DataCentre {
	return []peer.DataCentre{{Name: "pylaia", SinceLastContact: f.sinceLastContact}}
}

func TestMeter(t *testing.T) {
	gossip := &fakeGossip{}
	m := NewMeter(gossip)
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
		t.Error("demand is known before any request was counted")
	}
	expect(tick(50), "0/s 0+0 partial=true known=false")
	expect(tick(50), "5/s 4000+1000 partial=false known=true")
	gossip.sinceLastContact = time.Minute
	expect(tick(0), "5/s 4000+1000 partial=true known=true")
	gossip.sinceLastContact = 0
	expect(tick(1000), "5/s 4000+1000 partial=true known=true") // late counts are not current demand
	expect(tick(20), "2/s 1600+400 partial=false known=true")
}

// TestPlanSize checks the size of a slot in a stored plan that doc.go gives.
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
	encoded, err := encodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d slots use %d bytes, %.1f each", slots, len(encoded), float64(len(encoded))/slots)
	if len(encoded) > slots*bytesPerSlot || len(encoded) > platformapi.MaxObjectBytes {
		t.Errorf("%d slots use %d bytes", slots, len(encoded))
	}
	decoded, err := decodePlan(encoded)
	if err != nil || len(decoded.Slots) != slots || decoded.Slots[slots-1] != p.Slots[slots-1] {
		t.Errorf("decoded plan has %d slots, or a slot differs: %v", len(decoded.Slots), err)
	}
	if _, err := decodePlan([]byte("{}")); err == nil {
		t.Error("decodePlan accepted a plan that is not compressed")
	}
}
