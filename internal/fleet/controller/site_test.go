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
	version ident.Version
	readyAt time.Time
	running int
	down    bool
	lag     time.Duration
	marked  time.Time
}

// fakeRight is a lease that a test gives and takes.
type fakeRight struct {
	epoch     ident.Epoch
	held      bool
	unsettled bool
}

func (r *fakeRight) Held() (ident.Epoch, bool) { return r.epoch, r.held }
func (r *fakeRight) Settled() bool             { return !r.unsettled }

// site is a platform stand-in with a clock of its own, engines, and the duties of
// several nodes, of which one holds the lease.
type site struct {
	t         testing.TB
	ctx       context.Context
	clock     atomic.Int64 // nanoseconds since 1970; calls cut off read it late
	rng       *rand.Rand
	platform  *standin.Server
	client    *platformapi.Client
	cfg       *config.Config
	rates     Rates
	unknown   bool
	engines   map[ident.EndpointID]*fakeEngine
	duties    []*duty
	rights    []*fakeRight
	epoch     ident.Epoch
	busy      bool // hosts in service run requests
	beforeBuy func()
	orders    int
}

func newSite(t testing.TB, seed uint64, nodes int) *site {
	s := &site{
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
		r := &fakeRight{}
		s.rights = append(s.rights, r)
		s.duties = append(s.duties, newDuty(&opts, service, r))
	}
	if nodes > 0 {
		s.hold(0)
	}
	return s
}

func (s *site) now() time.Time { return time.Unix(0, s.clock.Load()).UTC() }

// hold gives the lease to a node.
func (s *site) hold(node int) {
	s.epoch++
	for i, r := range s.rights {
		r.held = i == node
	}
	s.rights[node].epoch = s.epoch
}

// Rates implements Demand.
func (s *site) Rates(time.Time, ident.Service) (Rates, bool) { return s.rates, !s.unknown }

// MarkEndpoint implements Marks.
func (s *site) MarkEndpoint(id ident.EndpointID, _ endpoint.LeavingState) {
	if e := s.engines[id]; e != nil && e.marked.IsZero() {
		e.marked = s.now()
	}
}

var errDown = errors.New("engine is down")

func (s *site) engine(addr string) (*fakeEngine, error) {
	e := s.engines[ident.EndpointID(addr)]
	if e == nil || e.down {
		return nil, errDown
	}
	return e, nil
}

// Load implements Engines.
func (s *site) Load(_ context.Context, addr string) (endpoint.LoadReport, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.LoadReport{}, err
	}
	return endpoint.LoadReport{Running: e.running, Age: e.lag}, nil
}

// EngineState implements Engines.
func (s *site) EngineState(_ context.Context, addr string) (endpoint.EngineState, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.EngineState{}, err
	}
	return endpoint.EngineState{Version: e.version, Ready: e.version != "" && !s.now().Before(e.readyAt)}, nil
}

// Order implements Engines.
func (s *site) Order(_ context.Context, addr string, o endpoint.EngineOrder) (endpoint.EngineState, error) {
	e, err := s.engine(addr)
	if err != nil {
		return endpoint.EngineState{}, err
	}
	s.orders++
	e.version, e.readyAt = o.Version, s.now().Add(5*time.Second)
	return endpoint.EngineState{Version: o.Version}, nil
}

// checkedCloud fails the test on a release of a host with work, or an act
// without the lease.
type checkedCloud struct {
	platformapi.Cloud
	*site
}

func (c checkedCloud) Buy(ctx context.Context, req platformapi.BuyRequest) (ident.Host, error) {
	if c.beforeBuy != nil {
		c.beforeBuy()
		c.beforeBuy = nil
	}
	return c.Cloud.Buy(ctx, req)
}

func (c checkedCloud) Release(ctx context.Context, h ident.Host) error {
	if e := c.engines[ident.EndpointID(h)]; e != nil && e.running > 0 && !e.down {
		c.t.Errorf("%v: released %s with %d requests", c.now(), h, e.running)
	}
	return c.Cloud.Release(ctx, h)
}

// step lets one step's time pass: hosts come up, requests begin and end, and all
// nodes that live decide.
func (s *site) step() {
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
		case e.marked.IsZero() || s.now().Sub(e.marked) < drainDelay:
			e.running = 1 + s.rng.IntN(8)
		default:
			e.running = max(0, e.running-1)
		}
	}
	for _, d := range s.duties {
		d.step(s.ctx, s.cfg.Services[service])
	}
}

func (s *site) run(d time.Duration) {
	for end := s.now().Add(d); s.now().Before(end); {
		s.step()
	}
}

// hosts is the truth of the cloud, also while the platform is down.
func (s *site) hosts() []platformapi.HostInfo {
	faults := s.platform.Status().Faults
	s.platform.SetFaults(standin.Faults{})
	defer s.platform.SetFaults(faults)
	list, err := s.client.ListHosts(s.ctx)
	if err != nil {
		s.t.Fatal(err)
	}
	return list
}

func (s *site) plan() fleet.Plan {
	p, _, err := loadPlan(s.ctx, s.platform.Store(), service)
	if err != nil {
		s.t.Fatal(err)
	}
	return p
}

// check fails where a host is held by no slot, or by two. A purchase of the last
// step is waited for, as its host isn't in the plan yet.
func (s *site) check() {
	for i := 0; i < 10 && s.states()[fleet.SlotWanted] > 0; i++ {
		s.step()
	}
	held := make(map[ident.Host]int)
	for _, slot := range s.plan().Slots {
		held[slot.Host]++
	}
	for _, h := range s.hosts() {
		if held[h.Host] != 1 {
			s.t.Errorf("host %s is held by %d slots", h.Host, held[h.Host])
		}
	}
}

// states counts the plan's slots.
func (s *site) states() map[fleet.SlotState]int {
	out := make(map[fleet.SlotState]int)
	for _, slot := range s.plan().Slots {
		out[slot.State]++
	}
	return out
}
