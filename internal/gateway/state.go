package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

// peerLoadAge is how old the load that another node told of may be: after it the
// requests it spoke of have mostly ended.
const peerLoadAge = 2 * time.Second

// lostIntervals is the number of intervals of sharing after which a node that is not
// heard of counts as lost: its row takes a few to come round.
const lostIntervals = 4

// state guards the decision packages of a node: the table of endpoints and the
// ledger of limits.
type state struct {
	current *directory.CurrentConfig
	meter   *duty.Meter
	clock   *walltime.Host

	mu struct {
		sync.Mutex
		table  *placement.Table
		ledger *quota.Ledger
		rng    *rand.Rand
	}
}

var (
	_ serve.NodeServices = (*state)(nil)
	_ serve.Placement    = (*state)(nil)
)

func newState(places placement.Options, ledger quota.Options, current *directory.CurrentConfig, meter *duty.Meter, clock *walltime.Host) *state {
	s := &state{current: current, meter: meter, clock: clock}
	s.mu.table = placement.New(places)
	s.mu.ledger = quota.New(ledger)
	s.mu.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return s
}

// Config implements serve.NodeServices.
func (s *state) Config() *site.Config { return s.current.Config() }

// Charge implements serve.NodeServices.
func (s *state) Charge(w ident.Workspace, cost float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.ledger.Take(time.Now(), w, cost)
}

// Refund implements serve.NodeServices.
func (s *state) Refund(w ident.Workspace, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.Refund(time.Now(), w, cost)
}

// CountStarted implements serve.NodeServices.
func (s *state) CountStarted(w ident.Workspace) { s.meter.Count(s.clock.Now(), w) }

// Pick implements serve.Placement. The attempt counts as sent from here on.
func (s *state) Pick(id ident.AttemptID, r placement.Request) (placement.Choice, *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c, err := s.mu.table.Pick(now, s.mu.rng, r)
	if err == nil {
		s.mu.table.Dispatched(now, id, c, r.Prompt)
	}
	return c, err
}

// FirstEvent implements serve.Placement.
func (s *state) FirstEvent(id ident.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.FirstEvent(time.Now(), id)
}

// SetReportedLoad implements serve.Placement.
func (s *state) SetReportedLoad(id ident.EndpointID, l serve.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetReportedLoad(time.Now(), id, l.Running, l.Waiting)
}

// Finished implements serve.Placement.
func (s *state) Finished(id ident.AttemptID, o placement.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Finished(time.Now(), id, o)
}

// Leaving implements serve.Placement.
func (s *state) Leaving(id ident.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Leaving(id)
}

// TerminationTime implements serve.Placement.
func (s *state) TerminationTime(id ident.EndpointID) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.TerminationTime(id)
}

// usage returns how busy a service is.
func (s *state) usage(name ident.Service) placement.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Usage(time.Now(), name)
}

// setEndpoints takes the endpoints from the directory.
func (s *state) setEndpoints(now time.Time, listed, missing []site.Endpoint) {
	services := s.services()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetEndpoints(now, listed, missing, services)
}

// services returns the services of the configuration in force.
func (s *state) services() map[ident.Service]site.Service {
	if cfg := s.current.Config(); cfg != nil {
		return cfg.Services
	}
	return nil
}

// setWorkspaces takes the limits of a configuration.
func (s *state) setWorkspaces(cfg *site.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.SetWorkspaces(time.Now(), cfg.Workspaces)
}

// own returns what this node tells the others of its spending and load, and of where
// it has sent prefixes.
func (s *state) own() (quota.Spending, map[ident.EndpointID]placement.Load, []placement.PrefixLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spent := make(quota.Spending)
	for w, n := range s.mu.ledger.Spent() {
		spent[w] = n
	}
	now := time.Now()
	return spent, s.mu.table.Loads(now), s.mu.table.RecentPrefixes(now)
}

// levels returns the levels of the workspaces' buckets, for a node that starts.
func (s *state) levels() map[ident.Workspace]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.ledger.Levels(time.Now())
}

// join takes the levels that another node sees.
func (s *state) join(levels map[ident.Workspace]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.InitLevels(time.Now(), levels)
}

// heard takes what another node has spent, and where it has sent prefixes.
func (s *state) heard(now time.Time, from quota.NodeIncarnation, asOf time.Time, spent quota.Spending, held []placement.PrefixLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.RecordPeerSpending(now, from, asOf, spent)
	s.mu.table.AddPeerPrefixes(now, held)
}

// news returns the spending that all nodes have to know at once.
func (s *state) news() quota.Spending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.ledger.UrgentSpending()
}

// heardNews takes what another node has spent as of a time by its clock.
func (s *state) heardNews(from quota.NodeIncarnation, asOf time.Time, spent quota.Spending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.RecordUrgentSpending(time.Now(), from, asOf, spent)
}

// setPeers takes the load of all other nodes, and the number of all nodes.
func (s *state) setPeers(loads map[ident.EndpointID]placement.Load, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetNodes(nodes)
	s.mu.table.SetPeers(loads)
}

// tick returns the nodes that are newly lost, silent for some intervals of sharing.
func (s *state) tick(now time.Time, interval time.Duration) []quota.NodeIncarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.SetSilenceTimeout(max(quota.DefaultSilenceTimeout, lostIntervals*interval))
	return s.mu.ledger.Tick(now)
}
