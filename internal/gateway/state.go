package gateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/performance"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

// maxPeerLoadAge is the maximum age of the load received from another node. After that most
// of the requests in it have ended.
const maxPeerLoadAge = 2 * time.Second

// silenceIntervals is the minimum silence timeout in sharing intervals. A node's state needs
// a few intervals to reach all nodes.
const silenceIntervals = 4

// state guards the table of endpoints and the ledger of limits of a node, which are not safe
// for concurrent use.
type state struct {
	currentConfig *directory.CurrentConfig
	meter         *duty.Meter
	clock         *walltime.Host
	serving       atomic.Bool

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

func newState(placementOptions placement.Options, quotaOptions quota.Options, currentConfig *directory.CurrentConfig, meter *duty.Meter, clock *walltime.Host) *state {
	s := &state{currentConfig: currentConfig, meter: meter, clock: clock}
	s.mu.table = placement.New(placementOptions)
	s.mu.ledger = quota.New(quotaOptions)
	s.mu.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return s
}

// Config implements serve.NodeServices. It returns nil until serve is called.
func (s *state) Config() *site.Config {
	if !s.serving.Load() {
		return nil
	}
	return s.currentConfig.Config()
}

// serve makes the configuration available to requests.
func (s *state) serve() { s.serving.Store(true) }

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

// Pick implements serve.Placement. The attempt counts as dispatched once it is picked.
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
	if l.Pace > 0 {
		s.mu.table.StatesPace(id)
	}
}

// Streamed implements serve.Placement.
func (s *state) Streamed(id ident.AttemptID, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Streamed(time.Now(), id, gap)
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

// BackingOff implements serve.Placement.
func (s *state) BackingOff(id ident.EndpointID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.BackingOff(time.Now(), id)
}

// backOff records that an endpoint wants no calls for d.
func (s *state) backOff(e site.Endpoint, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.BackOff(time.Now(), e, d)
}

// observeLimit records what a response states about its endpoint's limit. It reports whether
// that is new.
func (s *state) observeLimit(e site.Endpoint, l serve.EndpointLimit) bool {
	states := l.Named || l.Brittle
	if !states && !s.knowsLimits() {
		return false
	}
	at := s.clock.Now()
	if !states {
		at = at.Add(-time.Since(l.Sent))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Limits().Observe(time.Now(), endpointlimit.Observation{Endpoint: e.Hash(), Limited: l.Named, PerSecond: l.PerSecond, Brittle: l.Brittle, MaxRefusals: l.MaxRefusals, At: at})
}

// sentUnplaced counts a call or request towards its endpoint's limit.
func (s *state) sentUnplaced(e site.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Limits().Spend(time.Now(), e.Hash())
}

// reserve takes this node's share of an endpoint for a request of another node. release must be
// called when that has ended.
func (s *state) reserve(e site.Endpoint) (release func(), err *verdict.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.mu.table.Reserve(time.Now(), e); err != nil {
		return nil, err
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.mu.table.Release(e)
	}, nil
}

// maySend returns an error if nothing, or nothing of a kind, may be sent to an endpoint now.
func (s *state) maySend(e site.Endpoint, kind placement.SendKind) *verdict.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.MaySend(time.Now(), e, kind)
}

// TerminationTime implements serve.Placement.
func (s *state) TerminationTime(id ident.EndpointID) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.TerminationTime(id)
}

// AcceptsUntil implements serve.Placement.
func (s *state) AcceptsUntil(e site.Endpoint) (until time.Time, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.AcceptsUntil(e)
}

// usage returns the current usage of a service's endpoints.
func (s *state) usage(name ident.Service) placement.Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Usage(time.Now(), name)
}

// setEndpoints applies the endpoints in the directory.
func (s *state) setEndpoints(now time.Time, listed, missing []site.Endpoint) {
	services := s.services()
	wallTime := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetEndpoints(now, listed, missing, services)
	for _, e := range listed {
		// One that has just started is cold, also if its entry doesn't say so yet.
		if left := e.Started.Add(services[e.Service].ColdTime).Sub(wallTime); left > 0 && !e.Started.IsZero() {
			s.mu.table.MarkStartedCold(now, e.ID, min(left, services[e.Service].ColdTime))
		}
	}
}

// setEvacuated sets the data centres to whose endpoints nothing is sent.
func (s *state) setEvacuated(now time.Time, list []ident.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetEvacuated(now, list)
}

// coldReport returns the endpoints that count as cold by this node's evidence.
func (s *state) coldReport() []endpointlimit.ColdEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Limits().ReportCold(time.Now(), s.clock.Now())
}

// mergeCold records the endpoints that count as cold by the evidence of another node.
func (s *state) mergeCold(now time.Time, list []endpointlimit.ColdEndpoint) {
	if len(list) == 0 {
		return
	}
	wallTime := s.clock.Now()
	left := make(map[site.IncarnationHash]time.Duration, len(list))
	for _, c := range list {
		left[c.Endpoint] = c.Until.Sub(wallTime)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.MergeCold(now, left)
}

// coldEndpoints returns the number of endpoints that count as cold, and those that newly do.
func (s *state) coldEndpoints() (count int, events []placement.ColdEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Limits().ColdCount(time.Now()), s.mu.table.TakeColdEvents()
}

// usableEndpoints returns the endpoints of a service that are neither leaving nor missing.
func (s *state) usableEndpoints(name ident.Service) []site.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Usable(name)
}

// endpointServices returns the services that have endpoints.
func (s *state) endpointServices() []ident.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Services()
}

// services returns the services of the configuration in force.
func (s *state) services() map[ident.Service]site.Service {
	if cfg := s.currentConfig.Config(); cfg != nil {
		return cfg.Services
	}
	return nil
}

// setWorkspaces applies the workspace limits of a configuration.
func (s *state) setWorkspaces(cfg *site.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.SetWorkspaces(time.Now(), cfg.Workspaces)
}

// limitReport returns what this node has observed of the limits of endpoints, as sent to the
// other nodes.
func (s *state) limitReport() []endpointlimit.Observation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Limits().Report(s.clock.Now())
}

// localReport returns this node's spending, its load on the endpoints and the endpoints to
// which it recently sent prefixes, as sent to the other nodes.
func (s *state) localReport() (quota.Spending, map[ident.EndpointID]placement.Load, []placement.PrefixLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	spent := make(quota.Spending)
	for w, n := range s.mu.ledger.Spent() {
		spent[w] = n
	}
	now := time.Now()
	return spent, s.mu.table.Loads(now), s.mu.table.RecentPrefixes(now)
}

// speedReport returns this node's measurements of the speeds of endpoints.
func (s *state) speedReport() performance.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.SpeedReport(time.Now())
}

// mergeSpeeds records another node's measurements of the speeds of endpoints.
func (s *state) mergeSpeeds(now time.Time, from quota.NodeIncarnation, r performance.Report) {
	if len(r.Measurements) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.MergeSpeeds(now, from, r)
}

// unevenEndpoints returns the slowness of the endpoints that differ from the usual speed.
func (s *state) unevenEndpoints(threshold float64) map[ident.EndpointID]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.table.Uneven(time.Now(), threshold)
}

// levels returns the levels of the workspaces' buckets, for a node that is starting.
func (s *state) levels() map[ident.Workspace]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.ledger.Levels(time.Now())
}

// initLevels sets the levels of the buckets from those of another node.
func (s *state) initLevels(levels map[ident.Workspace]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.InitLevels(time.Now(), levels)
}

// recordPeerReport records another node's spending as of a time by that node's clock, and
// the endpoints to which it recently sent prefixes.
func (s *state) recordPeerReport(now time.Time, from quota.NodeIncarnation, asOf time.Time, spent quota.Spending, prefixes []placement.PrefixLocation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.RecordPeerSpending(now, from, asOf, spent)
	s.mu.table.AddPeerPrefixes(now, prefixes)
}

// urgentSpending returns the spending that must be sent to all nodes at once.
func (s *state) urgentSpending() quota.Spending {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.ledger.UrgentSpending()
}

// recordUrgentSpending records another node's urgent spending as of a time by that node's
// clock.
func (s *state) recordUrgentSpending(from quota.NodeIncarnation, asOf time.Time, spent quota.Spending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.RecordUrgentSpending(time.Now(), from, asOf, spent)
}

// mergeLimits records what another node has observed of the limits of endpoints.
func (s *state) mergeLimits(list []endpointlimit.Observation) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Limits().Merge(time.Now(), list)
}

// dividesLimits reports whether rates or room of endpoints are divided among the nodes.
func (s *state) dividesLimits() bool {
	cfg := s.currentConfig.Config()
	return cfg != nil && cfg.HasCold() || s.knowsLimits()
}

// knowsLimits reports whether an endpoint has named a limit.
func (s *state) knowsLimits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.mu.table.Limits().Empty()
}

// setLiveNodes sets the nodes among which the limits of endpoints are divided.
func (s *state) setLiveNodes(nodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.Limits().SetNodes(time.Now(), nodes)
}

// setPeerLoads sets the load of all other nodes, and the number of all nodes.
func (s *state) setPeerLoads(loads map[ident.EndpointID]placement.Load, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.table.SetNodes(nodes)
	s.mu.table.SetPeers(loads)
}

// tick sets the silence timeout from the sharing interval and returns the nodes that newly
// exceeded it.
func (s *state) tick(now time.Time, interval time.Duration) []quota.NodeIncarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.ledger.SetSilenceTimeout(max(quota.DefaultSilenceTimeout, silenceIntervals*interval))
	return s.mu.ledger.Tick(now)
}
