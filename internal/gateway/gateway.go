package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/scaling"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

// Names of a node's services. They start in the order of register, and drain and
// stop in the reverse one.
const (
	serviceTransport kernel.Name = "endpoint.transport"
	serviceConfig    kernel.Name = "directory.config"
	serviceEndpoints kernel.Name = "directory.endpoints"
	serviceMoves     kernel.Name = "directory.moves"
	serviceVersions  kernel.Name = "rollout"
	serviceTicker    kernel.Name = "gateway.ticker"
	serviceFinder    kernel.Name = "gateway.finder"
	servicePeers     kernel.Name = "listener.peers"
	serviceMetrics   kernel.Name = "listener.metrics"
	serviceSharing   kernel.Name = "sharing"
	serviceNews      kernel.Name = "sharing.news"
	serviceKeeper    kernel.Name = "duty.keeper"
	serviceLease     kernel.Name = "duty.lease"
	serviceOfficer   kernel.Name = "duty.officer"
	serviceMover     kernel.Name = "serve.mover"
	serviceReady     kernel.Name = "listener.ready"
	serviceCallers   kernel.Name = "listener.callers"
)

// MetricsPort is where a node serves its metrics, under MetricsPath.
const (
	MetricsPort = 7601
	MetricsPath = "/metrics"
)

const (
	// moveWait is the wait of a watch for orders to move a service: they have some ten
	// seconds.
	moveWait = 4 * time.Second
	// tickEvery is the resolution of what ends by time: missing endpoints, lost nodes.
	tickEvery = 100 * time.Millisecond
	// findEvery is how often a node that knows no other looks for them in the store.
	findEvery = 2 * time.Second
	// dutyLease is the name of the lease on the duties.
	dutyLease = "duty"
	// dutyCandidates is the number of nodes that seek the duties: two may die at once.
	dutyCandidates = 3
	// leasePause is the longest time assumed from a holder's check of its right to
	// the arrival of its call: the call's own time limit and some more.
	leasePause = time.Second
	// leaseRetryPart is the part of the lease's term after which a failed call is made
	// again: the store's calls are priced, refused ones too.
	leaseRetryPart = 4
	// leaseCallTimeout bounds a call for the lease: a slow store answers in 250 ms.
	leaseCallTimeout = 600 * time.Millisecond
	// initialRetries is what a node that just started may retry before it has served
	// anything or knows the others.
	initialRetries = 1.5
	// retryShare and retrySlackShare are the parts of the bound on retries that all
	// nodes together use, and minNodes the fewest that share the slack: a node that
	// just started doesn't know the others yet.
	retryShare      = 0.6
	retrySlackShare = 0.64
	minNodes        = 8
	// freshBucket is the part of a burst that a node begins with: where all nodes have
	// ended at once nobody knows what was spent just before. Callers that come back then
	// ask for the rest of a second or two.
	freshBucket = 0.25
)

// Transport sends attempts, and closes connections that are idle.
type Transport interface {
	serve.Transport
	kernel.Starter
	kernel.Stopper
}

// Adapter is what the process runs on.
type Adapter struct {
	Store     platformapi.Feed
	Cloud     duty.Cloud
	Transport Transport
	// DecodeConfig and DecodeEndpoint decode what lies in the store; ConfigKey names
	// the operator's configuration, EndpointKind the registrations.
	DecodeConfig   directory.Decoder
	DecodeEndpoint directory.EndpointDecoder
	ConfigKey      platformapi.Key
	EndpointKind   platformapi.Key
	// DecodeMove and EncodeMoveStatus translate the orders to move a service to another
	// version, of kind MoveKind, and what is reported of them.
	DecodeMove       func(value, status []byte) (site.VersionMove, error)
	EncodeMoveStatus func(target ident.Version, state site.MoveState) ([]byte, error)
	MoveKind         platformapi.Key
	// Callers returns the handler of the callers' listener, Ready that of the
	// readiness check.
	Callers func(h *serve.Handler, closing func() bool) http.Handler
	Ready   func(ready func() bool) http.Handler
}

// Node is the process of an entry host.
type Node struct {
	settings site.Settings
	platform Adapter
	log      *slog.Logger
	metrics  *prometheus.Registry
	registry *kernel.Registry
	life     quota.NodeIncarnation
	clock    *walltime.Host

	current  *directory.CurrentConfig
	entries  *directory.Registry
	configs  *directory.Watcher
	servers  *directory.Watcher
	state    *state
	sharing  *sharing.Service
	meter    *duty.Meter
	planner  *scaling.Planner
	holder   *holder.Holder
	tally    *duty.UsageTable
	versions *versions
	moves    *directory.Watcher
	draining atomic.Bool

	rows   sync.Mutex          // guards what is taken from rows
	hinted platformapi.Version // the latest that another node has seen
	behind time.Time           // since when this node has not; zero if it has
}

// New builds a node. Metrics are registered with reg, which the node serves.
func New(settings site.Settings, p Adapter, reg *prometheus.Registry, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings: settings, platform: p, log: log, metrics: reg, registry: kernel.New(log),
		life: quota.NodeIncarnation{Node: settings.Node, Incarnation: ident.Incarnation(time.Now().UnixMilli())},
	}
	n.clock = walltime.NewHost(log)
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.meter = duty.NewMeter(max(settings.Bounds.UsageWindow, time.Second))
	n.tally = duty.NewUsageTable(string(n.life.Node), uint64(n.life.Incarnation), n.meter, n.clock.Now)
	n.current = directory.NewCurrentConfig(p.ConfigKey, p.DecodeConfig, log)
	n.state = newState(placement.Options{DataCentre: settings.DataCentre, DrainTime: settings.Bounds.Drain}, quota.Options{
		Self: n.life, InitialFill: freshBucket, Overshoot: settings.Bounds.LimitOvershoot, Slack: settings.Bounds.LimitSlack,
	}, n.current, n.meter, n.clock)
	n.entries = directory.NewRegistry(p.DecodeEndpoint, missingFor(settings.Bounds), n.state.setEndpoints, log)
	n.current.OnChange(n.onConfig)
	n.configs = n.watcher(kindOf(p.ConfigKey), n.current, alertWait(settings.Bounds))
	n.servers = n.watcher(p.EndpointKind, n.entries, alertWait(settings.Bounds))
	n.buildSharing()
	if err := n.buildDuties(); err != nil {
		return nil, err
	}
	n.versions = newVersions(p, unprovedShare(settings.Bounds), n.holder, log)
	n.moves = n.watcher(p.MoveKind, n.versions, moveWait)
	return n, n.register()
}

// onConfig puts a configuration in force in the decision packages.
func (n *Node) onConfig(cfg *site.Config) {
	n.state.setWorkspaces(cfg)
	n.entries.Refresh()
}

// peerAddress is where other nodes reach this one.
func (n *Node) peerAddress() string {
	if n.settings.ControlAddress != "" {
		return n.settings.ControlAddress
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort))
}

func (n *Node) buildSharing() {
	n.sharing = sharing.New(sharing.Options{
		Self: n.life, Address: n.peerAddress(), Seeds: n.settings.Seeds, Log: n.log, Metrics: n.metrics,
		LocalState: n.compose, OnStates: n.onRows, Now: n.clock.Now, OnTime: n.clock.Observe,
		Config:     n.current.Raw,
		OnConfig:   func(raw []byte, from string) { n.current.Offer(raw, "peer "+from) },
		Levels:     n.state.levels,
		InitLevels: n.state.join,
		Changes:    n.changes,
	})
}

// compose returns this node's row.
func (n *Node) compose() sharing.NodeState {
	r := sharing.NodeState{ConfigVersion: n.current.Version(), Leaving: n.draining.Load(), StoreVersion: n.servers.LastVersion(), StoreUnreachable: n.servers.SourceUnreachable() || n.configs.SourceUnreachable()}
	r.Spent, r.Loads, r.PrefixLocations = n.state.own()
	r.Windows = n.tally.LocalCounts()
	n.versions.compose(&r)
	return r
}

// onRows takes what other nodes tell.
func (n *Node) onRows(now time.Time, fresh []sharing.NodeState) {
	n.rows.Lock()
	defer n.rows.Unlock()
	for _, r := range fresh {
		n.state.heard(now, r.Incarnation, r.AsOf, r.Spent, r.PrefixLocations)
		n.tally.MergeNode(string(r.Incarnation.Node), uint64(r.Incarnation.Incarnation), r.AsOf, r.Windows)
		if r.ConfigVersion > n.current.Version() {
			n.sharing.FetchConfig(r.Address)
		}
		n.hinted = max(n.hinted, r.StoreVersion)
	}
}

// addLoads takes the load of all other nodes.
func (n *Node) addLoads() {
	loads := make(map[ident.EndpointID]placement.Load)
	rows := n.sharing.Peers(peerLoadAge)
	n.versions.heard(n.sharing.Peers(sharing.StateRetention))
	for _, r := range rows {
		for id, l := range r.Loads {
			sum := loads[id]
			loads[id] = placement.Load{Running: sum.Running + l.Running, PrefillTokens: sum.PrefillTokens + l.PrefillTokens, ContextTokens: sum.ContextTokens + l.ContextTokens}
		}
	}
	n.state.setPeers(loads, len(rows)+1)
}

// aliveFor is the age of a row up to which its node counts as alive.
const aliveFor = 3 * time.Second

// KnownNodes returns the number of other nodes that are alive.
func (n *Node) KnownNodes() int { return len(n.sharing.Peers(aliveFor)) }

// alive returns the nodes that are alive, this one included.
func (n *Node) alive() []string {
	out := []string{string(n.life.Node)}
	for _, r := range n.sharing.Peers(aliveFor) {
		out = append(out, string(r.Incarnation.Node))
	}
	return out
}

func (n *Node) buildDuties() error {
	term := max(n.settings.Bounds.Lease, time.Second)
	h, err := holder.New(holder.Options{
		Store: n.platform.Store, Name: dutyLease, Owner: lease.Owner{Node: n.life.Node, Incarnation: n.life.Incarnation},
		Lease:       lease.Options{Term: term, MaxPause: leasePause, RetryDelay: term / leaseRetryPart},
		Candidate:   func() bool { return n.foremost(dutyLease, dutyCandidates) },
		CallTimeout: leaseCallTimeout, Log: n.log, Metrics: holder.NewMetrics(n.metrics),
	})
	n.holder = h
	if n.settings.Autoscale {
		n.planner = scaling.New(n.state.services, n.state.usage)
	}
	return err
}

// retryBudget is this node's part of the bound on retries.
func (n *Node) retryBudget() attempt.BudgetOptions {
	slack := retrySlackShare * n.settings.Bounds.RetrySlack / float64(max(n.KnownNodes()+1, minNodes))
	return attempt.BudgetOptions{Share: retryShare * n.settings.Bounds.RetryRatio, Initial: min(slack, initialRetries), Max: slack}
}

func (n *Node) register() error {
	handler := serve.NewHandler(serve.Dependencies{
		NodeServices: n.state, Placement: n.state, Versions: n.versions, Transport: n.platform.Transport, Log: n.log,
		Metrics: serve.NewMetrics(n.metrics), Budget: n.retryBudget,
	})
	peers := http.NewServeMux()
	peers.Handle(n.sharing.Handler())
	metrics := http.NewServeMux()
	metrics.Handle(MetricsPath, promhttp.HandlerFor(n.metrics, promhttp.HandlerOpts{}))
	callers := n.platform.Callers(handler, n.draining.Load)
	metricsAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort))
	for _, s := range []struct {
		name    kernel.Name
		service kernel.Service
	}{
		{serviceTransport, n.platform.Transport},
		{serviceConfig, n.configs},
		{serviceEndpoints, n.servers},
		{serviceMoves, n.moves},
		{serviceVersions, n.versions},
		{serviceTicker, kernel.NewLoop(tickEvery, n.tick)},
		{serviceFinder, kernel.NewLoop(findEvery, n.findNodes)},
		{serviceMetrics, newListener(metricsAddress, metrics, n.log)},
		{servicePeers, newListener(n.peerAddress(), peers, n.log)},
		{serviceSharing, n.sharing},
		{serviceNews, sharing.NewSpendingNotifier(sharing.SpendingNotifierOptions{
			Self: n.life, IP: n.settings.IP, Port: n.settings.PeerPort,
			Peers: n.sharing.Peers, Spent: n.state.news, OnSpent: n.state.heardNews, Now: n.clock.Now,
		})},
		{serviceKeeper, duty.NewRecorder(n.platform.Store, n.peerAddress(), n.tally, func() int { return len(n.alive()) }, n.log)},
		{serviceLease, &leaseService{holder: n.holder}},
		{serviceOfficer, n.officer()},
		{serviceReady, newListener(n.settings.ReadyAddress, n.platform.Ready(n.ready), n.log)},
		{serviceMover, kernel.NewLoop(serve.MigrationInterval, func(context.Context) { handler.MigrateStreams(time.Now()) })},
		{serviceCallers, newDrainedListener(n.settings.CallersAddress, callers, n.log)},
	} {
		if err := n.registry.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) officer() *duty.Executor {
	o := duty.Options{
		Store: n.platform.Store, Cloud: n.platform.Cloud, Lease: n.holder, Meter: n.meter, UsageTable: n.tally,
		ReportTimeout: n.settings.Bounds.UsageLate, LiveNodes: n.alive, ReportUsage: n.settings.Usage, Now: n.clock.Now, Log: n.log,
	}
	if n.planner != nil {
		o.Planner = n.planner
	}
	return duty.NewExecutor(o)
}

// ready tells whether the node can serve: it knows a configuration and endpoints,
// and is not about to stop.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.current.Config() != nil && n.entries.Loaded()
}

func (n *Node) tick(context.Context) {
	now := time.Now()
	n.clock.Correct()
	n.entries.Tick(now)
	n.addLoads()
	n.hint(now)
	n.configs.Recheck()
	n.servers.Recheck()
	n.moves.Recheck()
	for _, life := range n.state.tick(now, n.sharing.Interval()) {
		n.log.Warn("sharing: Node is silent; its part of the limits is kept for it.", "node", life.Node, "life", life.Incarnation)
	}
}

// findNodes looks for other nodes by their records in the store where none is known:
// the addresses in the settings may all be stale.
func (n *Node) findNodes(ctx context.Context) {
	if n.KnownNodes() > 0 {
		return
	}
	addresses, err := duty.Addresses(ctx, n.platform.Store, n.log)
	if err != nil {
		n.log.Warn("gateway: No other node is known, and none can be looked up.", "error", err)
		return
	}
	n.sharing.AddSeeds(addresses)
}

// Start starts the node's services.
func (n *Node) Start(ctx context.Context) error {
	n.log.Info("gateway: Start.", "node", n.settings.Node, "data_centre", n.settings.DataCentre, "life", n.life.Incarnation,
		"callers", n.settings.CallersAddress, "peers", n.peerAddress(), "store", n.settings.StoreAddress)
	return n.registry.Start(ctx)
}

const (
	// balancerDelay is how long a stopping node goes on accepting: the balancer
	// asks once a second and moves on after two misses.
	balancerDelay = 2500 * time.Millisecond
	// exitMargin is kept of the time until SIGKILL.
	exitMargin = 600 * time.Millisecond
)

// Stop drains the node: it turns unready, goes on accepting until the balancer has
// moved on, ends its requests and stops.
func (n *Node) Stop(ctx context.Context) error {
	n.draining.Store(true)
	n.log.Info("gateway: Stop.", "grace", n.settings.Bounds.Grace)
	ctx, cancel := context.WithTimeout(ctx, max(n.settings.Bounds.Grace-exitMargin, time.Second))
	defer cancel()
	n.holder.Release(true)
	kernel.Sleep(ctx, min(balancerDelay, n.settings.Bounds.Grace/2))
	err := n.registry.Drain(ctx)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), exitMargin/2)
	defer cancelStop()
	if stopErr := n.registry.Stop(stopCtx); err == nil {
		err = stopErr
	}
	n.log.Info("gateway: Stopped.", "error", err)
	return err
}
