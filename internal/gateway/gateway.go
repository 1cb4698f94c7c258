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
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/callerconn"
	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/drain"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/relay"
	"github.com/jujubeshed/jujubeshed/internal/scaling"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

// Names of a node's services. They start in the order in which register registers them, and
// drain and stop in reverse order.
const (
	serviceTransport      kernel.Name = "endpoint.transport"
	serviceConfig         kernel.Name = "directory.config"
	serviceEndpoints      kernel.Name = "directory.endpoints"
	serviceMoves          kernel.Name = "directory.moves"
	serviceVersions       kernel.Name = "rollout"
	serviceTicker         kernel.Name = "gateway.ticker"
	serviceEndpointStatus kernel.Name = "gateway.endpointstatus"
	serviceFinder         kernel.Name = "gateway.finder"
	servicePeers          kernel.Name = "listener.peers"
	serviceMetrics        kernel.Name = "listener.metrics"
	serviceRelay          kernel.Name = "relay"
	serviceSharing        kernel.Name = "sharing"
	serviceSpending       kernel.Name = "sharing.news"
	serviceRecorder       kernel.Name = "duty.keeper"
	serviceLease          kernel.Name = "duty.lease"
	serviceExecutor       kernel.Name = "duty.officer"
	serviceMigration      kernel.Name = "serve.mover"
	serviceHolds          kernel.Name = "directory.quarantine"
	serviceEvacuations    kernel.Name = "directory.evacuations"
	serviceGuard          kernel.Name = "quarantine"
	serviceReady          kernel.Name = "listener.ready"
	serviceCallers        kernel.Name = "listener.callers"
	serviceCallerConns    kernel.Name = "callers.connections"
	servicePeerConns      kernel.Name = "peers.connections"
	serviceReadyConns     kernel.Name = "ready.connections"
	serviceMetricsConns   kernel.Name = "metrics.connections"
)

// MetricsPort is the port on which a node serves its metrics, under MetricsPath.
const (
	MetricsPort = 7601
	MetricsPath = "/metrics"
)

const (
	// moveWatchWait is the wait of a watch on version moves, which have about ten seconds
	// to take effect.
	moveWatchWait = 4 * time.Second
	// tickInterval is the resolution of timeouts, such as those of missing endpoints and
	// silent nodes.
	tickInterval = 100 * time.Millisecond
	// findInterval is how often a node that knows no other node looks for some in the store.
	findInterval = 2 * time.Second
	// dutyLease is the name of the lease on the duties.
	dutyLease = "duty"
	// dutyCandidates is the number of nodes that compete for the lease on the duties. There
	// are three, as two may fail at once.
	dutyCandidates = 3
	// leaseMaxPause is the longest time assumed from a holder's check of its lease to the
	// arrival of its call: the call's timeout plus a margin.
	leaseMaxPause = time.Second
	// leaseRetryDivisor divides the lease's term to give the delay before a failed call is
	// retried. Calls to the store are charged for, also refused ones.
	leaseRetryDivisor = 4
	// leaseCallTimeout is the timeout of a store call for the lease: a slow store responds
	// in 250 ms.
	leaseCallTimeout = 600 * time.Millisecond
	// initialRetries is the retry budget of a node that just started, before it has served
	// requests or knows the other nodes.
	initialRetries = 1.5
	// retryShare and retrySlackShare are the fractions of the bound on retries that all
	// nodes together use. minRetryNodes is the minimum number of nodes among which the
	// slack is divided, as a node that just started doesn't know the others yet.
	retryShare      = 0.6
	retrySlackShare = 0.64
	minRetryNodes   = 8
	// initialFill is the fraction of a burst that a node's buckets start with. If all nodes
	// stopped at once, what was spent just before is not known. Callers that return then
	// request what remains of a second or two.
	initialFill = 0.25
)

// Transport sends attempts to endpoints, and closes idle connections.
type Transport interface {
	serve.Transport
	kernel.Starter
	kernel.Stopper
}

// Adapter connects a node to the platform it runs on.
type Adapter struct {
	Store     platformapi.Feed
	Cloud     duty.Cloud
	Transport Transport
	// Bodies limits the memory for the bodies of all requests and responses.
	Bodies *bytebudget.Budget
	// Messages limits the memory for responses of the platform and for messages of other nodes that are
	// being read.
	Messages *bytebudget.Budget
	// Heads limits the memory for the heads of requests at all addresses.
	Heads *callerconn.Memory
	// DecodeConfig and DecodeEndpoint decode objects in the store. ConfigKey is the key of
	// the operator's configuration, EndpointKind the kind of the endpoint registrations.
	DecodeConfig   directory.Decoder
	DecodeEndpoint directory.EndpointDecoder
	ConfigKey      platformapi.Key
	EndpointKind   platformapi.Key
	// EvacuationKind is the kind of the entries that take a data centre out of use.
	EvacuationKind platformapi.Key
	// DecodeMove decodes an order to move a service to another version, an object of kind
	// MoveKind, and EncodeMoveStatus encodes the status that is written back.
	DecodeMove       func(value, status []byte) (site.VersionMove, error)
	EncodeMoveStatus func(target ident.Version, state site.MoveState) ([]byte, error)
	MoveKind         platformapi.Key
	// Callers returns the handler of the callers' listener, where closing reports whether
	// the node is draining. Ready returns the handler of the readiness check.
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
	self     quota.NodeIncarnation
	clock    *walltime.Host

	currentConfig   *directory.CurrentConfig
	endpoints       *directory.Registry
	configWatcher   *directory.Watcher
	endpointWatcher *directory.Watcher
	state           *state
	transport       *relay.Transport
	relay           *relay.Service
	sharing         *sharing.Service
	meter           *duty.Meter
	planner         *scaling.Planner
	holder          *holder.Holder
	usageTable      *duty.UsageTable
	executor        *duty.Executor
	versions        *versions
	moveWatcher     *directory.Watcher
	guard           *requestGuard
	guardWatcher    *directory.Watcher
	// evacuations and evacuationWatcher are nil unless the operators evacuate data centres.
	evacuations       *evacuations
	evacuationWatcher *directory.Watcher
	callerConns       *callerconn.Tracker
	peerConns         *callerconn.Tracker
	readyConns        *callerconn.Tracker
	metricsConns      *callerconn.Tracker
	weights           weightCache
	loadsUpdated      time.Time // by the ticker alone
	draining          atomic.Bool
	drainPlan         atomic.Pointer[drain.Plan] // nil until the node is stopping
	handler           *serve.Handler
	caughtUp          atomic.Bool
	startedAt         time.Time

	peersMu     sync.Mutex          // guards the fields below
	peerVersion platformapi.Version // latest store version received by another node
	// peerConfigVersion is the highest version of the configuration at another node.
	peerConfigVersion uint64
	behindSince       time.Time // since when peerVersion is ahead of this node; zero if it isn't
}

// New returns a node that has not started. Its metrics are registered with reg, which it
// serves.
func New(settings site.Settings, p Adapter, reg *prometheus.Registry, log *slog.Logger) (*Node, error) {
	n := &Node{
		settings: settings, platform: p, log: log, metrics: reg, registry: kernel.New(log),
		self: quota.NodeIncarnation{Node: settings.Node, Incarnation: ident.Incarnation(time.Now().UnixMilli())},
	}
	n.clock = walltime.NewHost(log)
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	n.meter = duty.NewMeter(max(settings.Bounds.UsageWindow, time.Second))
	n.usageTable = duty.NewUsageTable(string(n.self.Node), uint64(n.self.Incarnation), n.meter, n.clock.Now)
	n.currentConfig = directory.NewCurrentConfig(p.ConfigKey, p.DecodeConfig, log)
	n.state = newState(placement.Options{
		Node: settings.Node, DataCentre: settings.DataCentre, Regions: settings.Regions, DrainTime: settings.Bounds.Drain,
		IgnoreSpeed:   settings.IgnoreEndpointSpeed,
		ColdOvershoot: settings.Bounds.ColdOvershoot, ColdSlack: settings.Bounds.ColdSlack,
	}, quota.Options{
		Self: n.self, InitialFill: initialFill, Overshoot: settings.Bounds.LimitOvershoot, Slack: settings.Bounds.LimitSlack,
	}, n.currentConfig, n.meter, n.clock)
	n.endpoints = directory.NewRegistry(p.DecodeEndpoint, missingRetention(settings.Bounds), doubtTime(settings), n.state.setEndpoints, log)
	n.transport = relay.NewTransport(relay.Options{
		Transport: p.Transport, Services: n.state.endpointServices, Endpoints: n.state.usableEndpoints,
		Nodes: n.relayingNodes, NodesNamed: n.nodesWithShares, Reserve: n.state.reserve,
		// Whether the caller of another node may repeat a request isn't known here.
		MayStart: func(deadline time.Time) *verdict.Error { return n.mayStart(deadline, false) },
		Bodies:   p.Bodies, WallTime: n.clock.Now, Log: log, Metrics: reg,
	})
	n.relay = relay.NewService(n.transport, p.Bodies, n.clock.Now, reg)
	n.transport.SetSignals(newSignals(n.state, n.endpoints, reg, log))
	n.buildConnections()
	n.currentConfig.OnChange(n.applyConfig)
	n.configWatcher = n.newWatcher(kindOf(p.ConfigKey), n.currentConfig, storeWatchWait(settings.Bounds))
	n.endpointWatcher = n.newWatcher(p.EndpointKind, n.endpoints, storeWatchWait(settings.Bounds))
	n.buildSharing()
	if err := n.buildDuties(); err != nil {
		return nil, err
	}
	n.versions = newVersions(p, unprovedShare(settings.Bounds), n.holder, log)
	n.moveWatcher = n.newWatcher(p.MoveKind, n.versions, moveWatchWait)
	writesHolds := func() bool { return n.isAmongFirst(string(quarantineKind), 1, liveTimeout) }
	n.guard = newRequestGuard(p.Store, n.transport, n.clock, writesHolds, func() int { return n.LivePeers() + 1 }, reg, log)
	n.guardWatcher = n.newWatcher(quarantineKind, n.guard, quarantineWatchWait)
	if settings.Bounds.Evacuation > 0 {
		n.evacuations = newEvacuations(p.Store.Era, n.state.setEvacuated, reg, log)
		n.evacuationWatcher = n.newWatcher(p.EvacuationKind, n.evacuations, evacuationWatchWait(settings.Bounds))
	}
	return n, n.register()
}

// applyConfig applies a configuration to the limits and the endpoints.
func (n *Node) applyConfig(cfg *site.Config) {
	n.state.setWorkspaces(cfg)
	n.endpoints.Refresh()
	n.catchUp(time.Now())
}

// peerAddress returns the address at which other nodes reach this one.
func (n *Node) peerAddress() string {
	if n.settings.ControlAddress != "" {
		return n.settings.ControlAddress
	}
	return net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.PeerPort))
}

func (n *Node) buildSharing() {
	n.sharing = sharing.New(sharing.Options{
		Self: n.self, Address: n.peerAddress(), Seeds: n.settings.Seeds, Log: n.log, Metrics: n.metrics, Memory: n.platform.Messages,
		LocalState: n.localState, OnStates: n.mergePeerStates, Now: n.clock.Now, OnTime: n.clock.Observe,
		Config:      n.currentConfig.Raw,
		OnConfig:    func(raw []byte, from string) { n.currentConfig.Offer(raw, "peer "+from) },
		Levels:      n.state.levels,
		InitLevels:  n.state.initLevels,
		Changes:     n.changes,
		OnExchanged: func() { n.catchUp(time.Now()) },
		Departures:  n.endpoints.AllDepartures, OnDepartures: func(list []directory.Departure) { n.endpoints.RecordDepartures(list) },
	})
}

func (n *Node) buildDuties() error {
	term := max(n.settings.Bounds.Lease, time.Second)
	h, err := holder.New(holder.Options{
		Store: n.platform.Store, Name: dutyLease, Owner: lease.Owner{Node: n.self.Node, Incarnation: n.self.Incarnation},
		Lease:       lease.Options{Term: term, MaxPause: leaseMaxPause, RetryDelay: term / leaseRetryDivisor},
		Candidate:   func() bool { return n.isAmongFirst(dutyLease, dutyCandidates, liveTimeout) },
		Era:         n.platform.Store.Era,
		CallTimeout: leaseCallTimeout, Log: n.log, Metrics: holder.NewMetrics(n.metrics),
	})
	n.holder = h
	if n.settings.Autoscale {
		n.planner = scaling.New(n.state.services, n.state.usage)
	}
	n.executor = n.newExecutor()
	return err
}

// retryBudget returns this node's share of the bound on retries.
func (n *Node) retryBudget() attempt.BudgetOptions {
	slack := retrySlackShare * n.settings.Bounds.RetrySlack / float64(max(n.LivePeers()+1, minRetryNodes))
	return attempt.BudgetOptions{Share: retryShare * n.settings.Bounds.RetryRatio, Initial: min(slack, initialRetries), Max: slack}
}

func (n *Node) register() error {
	n.handler = serve.NewHandler(serve.Dependencies{
		NodeServices: n.state, Placement: n.state, Versions: n.versions, Transport: n.transport, Guard: n.guard, Log: n.log,
		Metrics: serve.NewMetrics(n.metrics), Budget: n.retryBudget, MayStart: n.mayStart,
	})
	peers := http.NewServeMux()
	peers.Handle(n.sharing.Handler())
	peers.Handle(n.relay.Handler())
	metrics := http.NewServeMux()
	metrics.Handle(MetricsPath, promhttp.HandlerFor(n.metrics, promhttp.HandlerOpts{}))
	callers := n.platform.Callers(n.handler, n.draining.Load)
	metricsAddress := net.JoinHostPort(n.settings.IP, strconv.Itoa(MetricsPort))
	type namedService struct {
		name    kernel.Name
		service kernel.Service
	}
	var evacuations []namedService
	if n.evacuations != nil {
		evacuations = []namedService{{serviceEvacuations, n.evacuationWatcher}}
	}
	for _, s := range append(evacuations, []namedService{
		{serviceTransport, n.transport},
		{serviceConfig, n.configWatcher},
		{serviceEndpoints, n.endpointWatcher},
		{serviceMoves, n.moveWatcher},
		{serviceVersions, n.versions},
		{serviceHolds, n.guardWatcher},
		{serviceGuard, n.guard},
		{serviceTicker, kernel.NewLoop(tickInterval, n.tick)},
		{serviceEndpointStatus, kernel.NewLoop(endpointStatusInterval, newEndpointStatus(n.state, n.metrics, n.log).publish)},
		{serviceFinder, kernel.NewLoop(findInterval, n.findNodes)},
		{serviceMetrics, n.listen(newListener(metricsAddress, metrics, n.metricsConns, n.log))},
		{serviceMetricsConns, n.metricsConns},
		{servicePeers, n.listen(newListener(n.peerAddress(), bytebudget.Handler(n.platform.Messages, peers), n.peerConns, n.log))},
		{servicePeerConns, n.peerConns},
		{serviceRelay, n.relay},
		{serviceSharing, n.sharing},
		{serviceSpending, sharing.NewSpendingNotifier(sharing.SpendingNotifierOptions{
			Self: n.self, IP: n.settings.IP, Port: n.settings.PeerPort,
			Peers: n.sharing.Peers, Spent: n.state.urgentSpending, OnSpent: n.state.recordUrgentSpending, Now: n.clock.Now,
		})},
		{serviceRecorder, duty.NewRecorder(n.platform.Store, n.peerAddress(), n.usageTable, func() int { return len(n.liveNodes()) }, n.log)},
		{serviceLease, &leaseService{holder: n.holder}},
		{serviceExecutor, n.executor},
		{serviceReady, n.listen(newListener(n.settings.ReadyAddress, n.platform.Ready(n.ready), n.readyConns, n.log))},
		{serviceReadyConns, n.readyConns},
		{serviceMigration, kernel.NewLoop(serve.MigrationInterval, func(context.Context) { n.handler.MigrateStreams(time.Now()) })},
		{serviceCallerConns, n.callerConns},
		{serviceCallers, n.listen(newCallersListener(n.settings.CallersAddress, callers, n.callerConns, n.log))},
	}...) {
		if err := n.registry.Register(s.name, s.service); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) newExecutor() *duty.Executor {
	o := duty.Options{
		Store: n.platform.Store, Cloud: n.platform.Cloud, Lease: n.holder, Meter: n.meter, UsageTable: n.usageTable,
		ReportTimeout: n.settings.Bounds.UsageLate, LiveNodes: n.liveNodes, ReportUsage: n.settings.Usage, Now: n.clock.Now, Log: n.log,
	}
	if n.planner != nil {
		o.Planner = n.planner
	}
	return duty.NewExecutor(o)
}

// ready reports whether the node can serve requests: it has loaded a configuration and the
// endpoints, accepts connections, and is not draining.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.callerConns.Accepting() && n.caughtUp.Load() && n.currentConfig.Config() != nil && n.endpoints.Loaded()
}

func (n *Node) tick(context.Context) {
	now := time.Now()
	n.clock.Correct()
	n.endpoints.Tick(now)
	n.transport.Tick(now)
	n.updatePeers(now)
	n.catchUp(now)
	n.catchUpWithPeers(now)
	n.configWatcher.Recheck()
	n.endpointWatcher.Recheck()
	n.moveWatcher.Recheck()
	n.guardWatcher.Recheck()
	if n.evacuations != nil {
		n.evacuationWatcher.Recheck()
		n.evacuations.tick(now)
	}
	n.guard.tick(n.sharing.HeardSince())
	for _, silent := range n.state.tick(now, n.sharing.Interval()) {
		n.log.Warn("sharing: Node is silent; its share of the limits is reserved for it.", "node", silent.Node, "life", silent.Incarnation)
	}
}

// findNodes looks up other nodes by their records in the store if none is known, as the
// addresses in the settings may all be stale.
func (n *Node) findNodes(ctx context.Context) {
	if n.LivePeers() > 0 {
		return
	}
	addresses, err := duty.Addresses(ctx, n.platform.Store, n.log)
	if err != nil {
		n.log.Warn("gateway: No other node is known, and the store cannot be read.", "error", err)
		return
	}
	n.sharing.AddSeeds(addresses)
}

// Start starts the node's services.
func (n *Node) Start(ctx context.Context) error {
	n.log.Info("gateway: Start.", "node", n.settings.Node, "data_centre", n.settings.DataCentre, "life", n.self.Incarnation,
		"callers", n.settings.CallersAddress, "peers", n.peerAddress(), "store", n.settings.StoreAddress)
	n.startedAt = time.Now()
	return n.registry.Start(ctx)
}
