package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	standin "github.com/jujubeshed/jujubeshed/internal/standin/platform"
)

const service = ident.Service("verse")

func testConfig(kind platformapi.EndpointKind) *config.Config {
	cfg, diags := config.Merge([]config.File{{Name: "10-a.yaml", Data: []byte(`
services:
  verse:
    kind: ` + string(kind) + `
    version: v1
    checks_fence: true
    fleet: {class: gpu, data_centres: [evosmos, pylaia, thermi], max_hosts: 12, start_time: 30s, load_time: 5s}
`)}})
	if config.HasErrors(diags) {
		panic(fmt.Sprint(diags))
	}
	return cfg
}

// fakeEngine is the engine of a host.
type fakeEngine struct {
	version       ident.Version
	readyAt       time.Time
	running       int
	unreachable   bool
	reportAge     time.Duration
	drainingSince time.Time
}

// fakeLease is a lease whose state is set by tests.
type fakeLease struct {
	epoch     ident.Epoch
	held      bool
	unsettled bool
}

func (r *fakeLease) Held() (ident.Epoch, bool) { return r.epoch, r.held }
func (r *fakeLease) Settled() bool             { return !r.unsettled }

// testSite is a platform stand-in with a simulated clock, fake engines, and the duties
// of several nodes, one of which holds the lease.
type testSite struct {
	t             testing.TB
	ctx           context.Context
	clock         atomic.Int64 // nanoseconds since 1970; atomic, as calls that timed out may read it later
	rng           *rand.Rand
	platform      *standin.Server
	client        *platformapi.Client
	cfg           *config.Config
	rates         Rates
	demandUnknown bool
	engines       map[ident.EndpointID]*fakeEngine
	duties        []*duty
	leases        []*fakeLease
	epoch         ident.Epoch
	busy          bool   // engines that serve run requests
	beforeBuy     func() // called once, before the next purchase
	orders        int    // orders received by engines
}

func newTestSite(t testing.TB, seed uint64, nodes int) *testSite {
	s := &testSite{
		t: t, ctx: context.Background(), rng: rand.New(rand.NewPCG(seed, 2)), cfg: testConfig(platformapi.KindEngine),
		rates: Rates{Requests: 4}, engines: make(map[ident.EndpointID]*fakeEngine),
	}
	s.clock.Store(time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC).UnixNano())
	s.platform = standin.New(standin.Options{Seed: seed, Now: s.now})
	server := httptest.NewServer(s.platform.Handler())
	client, err := platformapi.NewClient(platformapi.ClientOptions{Address: server.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	s.client = client
	t.Cleanup(func() { client.Close(); server.Close() })
	opts := Options{
		Store: client, Cloud: checkedCloud{client, s}, Hosts: client, Engines: s, Demand: s,
		Marks: []Marks{s}, Now: s.now,
	}.withDefaults()
	for range nodes {
		r := &fakeLease{}
		s.leases = append(s.leases, r)
		s.duties = append(s.duties, newDuty(&opts, service, r))
	}
	if nodes > 0 {
		s.giveLease(0)
	}
	return s
}

func (s *testSite) now() time.Time { return time.Unix(0, s.clock.Load()).UTC() }

// giveLease gives the lease to a node, with a new epoch.
func (s *testSite) giveLease(node int) {
	s.epoch++
	for i, r := range s.leases {
		r.held = i == node
	}
	s.leases[node].epoch = s.epoch
}

// Rates implements Demand.
func (s *testSite) Rates(time.Time, ident.Service) (Rates, bool) { return s.rates, !s.demandUnknown }

// MarkEndpoint implements Marks.
func (s *testSite) MarkEndpoint(id ident.EndpointID, _ endpoint.LeavingState) {
	if e := s.engines[id]; e != nil && e.drainingSince.IsZero() {
		e.drainingSince = s.now()
	}
}

var errUnreachable = errors.New("engine is unreachable")

func (s *testSite) engine(addr string) (*fakeEngine, error) {
	e := s.engines[ident.EndpointID(addr)]
	if e == nil || e.unreachable {
		return nil, errUnreachable
	}
	return e, nil
}

// Load implements Engines.
func (s *testSite) Load(_ context.Context, addr string) (endpoint.LoadReport, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	return endpoint.LoadReport{Running: e.running, Age: e.reportAge}, nil
}

// EngineState implements Engines.
func (s *testSite) EngineState(_ context.Context, addr string) (endpoint.EngineState, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.EngineState{}, err
	}
	return endpoint.EngineState{Version: e.version, Ready: e.version != "" && !s.now().Before(e.readyAt)}, nil
}

// Order implements Engines.
func (s *testSite) Order(_ context.Context, addr string, o endpoint.EngineOrder) (endpoint.EngineState, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.EngineState{}, err
	}
	s.orders++
	e.version, e.readyAt = o.Version, s.now().Add(5*time.Second)
	return endpoint.EngineState{Version: o.Version}, nil
}

// checkedCloud fails the test on the release of a host that runs requests, and calls
// beforeBuy before a purchase.
type checkedCloud struct {
	platformapi.Cloud
	*testSite
}

func (c checkedCloud) Buy(ctx context.Context, req platformapi.BuyRequest) (ident.Host, error) {
	if c.beforeBuy != nil {
		c.beforeBuy()
		c.beforeBuy = nil
	}
	return c.Cloud.Buy(ctx, req)
}

func (c checkedCloud) Release(ctx context.Context, h ident.Host) error {
	if e := c.engines[ident.EndpointID(h)]; e != nil && e.running > 0 && !e.unreachable {
		c.t.Errorf("%v: released %s with %d requests", c.now(), h, e.running)
	}
	return c.Cloud.Release(ctx, h)
}

// step advances the clock by one step: hosts start, requests start and end, and the
// duties of all nodes run.
func (s *testSite) step() {
	s.clock.Add(int64(5 * time.Second))
	hosts := s.hosts()
	for id := range s.engines {
		if !slices.ContainsFunc(hosts, func(h platformapi.HostInfo) bool { return string(h.Host) == string(id) }) {
			delete(s.engines, id)
		}
	}
	for _, h := range hosts {
		id := ident.EndpointID(h.Host)
		if len(h.Endpoints) == 0 && s.engines[id] == nil {
			s.engines[id] = &fakeEngine{readyAt: s.now().Add(30 * time.Second)} // starts
		}
		e := s.engines[id]
		if len(h.Endpoints) == 0 && !s.now().Before(e.readyAt) {
			h.Endpoints = []platformapi.EndpointInfo{{ID: id, Address: string(id), Kind: platformapi.KindEngine, Service: service, Version: "v1"}}
			s.platform.SetHost(h)
		}
		switch {
		case !s.busy || e.version == "":
		case e.drainingSince.IsZero() || s.now().Sub(e.drainingSince) < drainDelay:
			e.running = 1 + s.rng.IntN(8)
		default:
			e.running = max(0, e.running-1)
		}
	}
	for _, d := range s.duties {
		d.step(s.ctx, s.cfg.Services[service])
	}
}

func (s *testSite) run(d time.Duration) {
	for end := s.now().Add(d); s.now().Before(end); {
		s.step()
	}
}

// hosts returns the cloud's hosts, also while the platform is set to be down.
func (s *testSite) hosts() []platformapi.HostInfo {
	faults := s.platform.Status().Faults
	s.platform.SetFaults(standin.Faults{})
	defer s.platform.SetFaults(faults)
	list, err := s.client.ListHosts(s.ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	return list
}

func (s *testSite) plan() fleet.Plan {
	p, _, err := loadPlan(s.ctx, s.platform.Store(), service)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// checkPlan fails the test unless every host has exactly one slot. It first waits for
// outstanding purchases, as their hosts aren't in the plan yet.
func (s *testSite) checkPlan() {
	for i := 0; i < 10 && s.states()[fleet.SlotWanted] > 0; i++ {
		s.step()
	}
	slotCount := make(map[ident.Host]int)
	for _, slot := range s.plan().Slots {
		slotCount[slot.Host]++
	}
	for _, h := range s.hosts() {
		if slotCount[h.Host] != 1 {
			s.t.Errorf("host %s has %d slots, want 1", h.Host, slotCount[h.Host])
		}
	}
}

// states returns the number of the plan's slots in each state.
func (s *testSite) states() map[fleet.SlotState]int {
	out := make(map[fleet.SlotState]int)
	for _, slot := range s.plan().Slots {
		out[slot.State]++
	}
	return out
}
