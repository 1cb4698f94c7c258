package node

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jujubeshed/jujubeshed/internal/admit/gate"
	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/callerconn"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/dispatch"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/fleet/controller"
	"github.com/jujubeshed/jujubeshed/internal/handover"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/move/mover"
	"github.com/jujubeshed/jujubeshed/internal/observe"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/operator"
	"github.com/jujubeshed/jujubeshed/internal/peer"
	"github.com/jujubeshed/jujubeshed/internal/peer/gossip"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
)

// Names of a node's services. Services are started in the order of wiring.register, and
// drained and stopped in the reverse order.
const (
	serviceStore     kernel.Name = "platform.client"
	serviceLedger    kernel.Name = "once.ledger"
	serviceEndpoints kernel.Name = "endpoint.client"
	serviceHandover  kernel.Name = "handover.connections"
	serviceAdmission kernel.Name = "admit.gate"
	serviceCapacity  kernel.Name = "admit.capacity"
	servicePause     kernel.Name = "node.pause"
	serviceRefresh   kernel.Name = "peer.refresh"
	serviceMoves     kernel.Name = "move.mover"
	serviceSender    kernel.Name = "dispatch.sender"
	servicePeers     kernel.Name = "listener.peers"
	serviceConfig    kernel.Name = "config.syncer"
	serviceDiscovery kernel.Name = "discovery.hosts"
	serviceObserver  kernel.Name = "observe.endpoints"
	serviceOperators kernel.Name = "listener.operators"
	serviceCallers   kernel.Name = "listener.callers"

	serviceCallerConns kernel.Name = "callers.connections"
	servicePeerConns   kernel.Name = "peers.connections"

	serviceOperatorConns kernel.Name = "operators.connections"
)

// handoverIdleTimeout is the time after which idle connections for answers between
// nodes are closed.
const handoverIdleTimeout = time.Minute

// handoverDialTimeout limits the connection to another node.
const handoverDialTimeout = 500 * time.Millisecond

// peerHeadBytes limits the head of a response of another node.
const peerHeadBytes = 64 << 10

// wiring builds the services of a node and registers them.
type wiring struct {
	opts        *Options
	log         *slog.Logger
	registry    *kernel.Registry
	reclaim     *reclaimTracker
	metrics     *prometheus.Registry
	incarnation ident.Incarnation

	store             *platformapi.Client
	endpoints         *endpoint.Client
	ledger            *committer.Committer
	gate              *gate.Gate
	balancer          *balancer.Balancer
	config            *configService
	hosts             *discovery.Watcher
	observer          *observe.Observer
	answers           *answer.Table
	entry             *entry.Server
	memory            memory
	callerConns       *callerconn.Tracker
	peerConns         *callerconn.Tracker
	operatorConns     *callerconn.Tracker
	sender            *dispatch.Sender
	moves             *moves
	pause             *pauseGuard
	remote            *handover.PeerClient
	capacity          *capacityUpdater
	demand            *controller.Meter
	fleet             *controller.Controller
	gossip            *gossip.Service
	peers             *peers
	handoverTransport *http.Transport    // for answers between nodes; the gossip has its own connections
	rejected          prometheus.Counter // operators' calls without the shared key
}

// build builds the components, each after those that it depends on, and registers them.
func (w *wiring) build() error {
	w.incarnation = ident.Incarnation(time.Now().UnixNano())
	w.buildMetrics()
	w.buildConnections()
	if err := w.buildPlatform(); err != nil {
		return err
	}
	w.buildRouting()
	w.buildConfig()
	if err := w.buildPeers(); err != nil {
		return err
	}
	if err := w.buildFleet(); err != nil {
		return err
	}
	w.buildEntry()
	return w.register()
}

func (w *wiring) buildMetrics() {
	w.metrics = prometheus.NewRegistry()
	w.rejected = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "operator_calls_rejected_total", Help: "Calls of operators without the shared key.",
	})
	w.metrics.MustRegister(w.rejected, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

// buildConnections builds the limits of the connections at all addresses, and of the memory of what
// arrives over them.
func (w *wiring) buildConnections() {
	w.memory = newMemory(w.opts.MemoryBytes)
	w.callerConns = callerconn.New(callerconn.Options{Limits: callerLimits, Memory: w.memory.heads}, w.metrics)
	w.peerConns = callerconn.New(callerconn.Options{Name: "peer", Limits: peerLimits, Memory: w.memory.heads}, w.metrics)
	w.operatorConns = callerconn.New(callerconn.Options{Name: "operator", Limits: operatorLimits, Memory: w.memory.heads}, w.metrics)
}

func (w *wiring) buildPlatform() error {
	store, err := platformapi.NewClient(platformapi.ClientOptions{Address: w.opts.Platform})
	if err != nil {
		return err
	}
	w.store = store
	w.ledger = committer.New(store, committer.Options{
		Ledger:  once.Options{Node: w.opts.ID, Incarnation: w.incarnation},
		Log:     w.log,
		Metrics: committer.NewMetrics(w.metrics),
	})
	w.peers = &peers{opts: w.opts, log: w.log, ledger: w.ledger, reclaim: w.reclaim}
	w.hosts = discovery.New(discovery.Options{Cloud: store, FromPeers: w.peers.hostsFromPeers, IsReader: w.peers.readsPlatform}, w.log, store)
	w.peers.hosts = w.hosts
	return nil
}

func (w *wiring) buildRouting() {
	w.endpoints = endpoint.NewClient()
	// An answer whose handover was given up is offered to another node, and must not run at both.
	w.handoverTransport = &http.Transport{IdleConnTimeout: handoverIdleTimeout, DialContext: keepalive.DiscardingDialFunc(handoverDialTimeout), MaxResponseHeaderBytes: peerHeadBytes}
	w.balancer = balancer.New(route.Options{Node: w.opts.ID, DataCentre: w.opts.DataCentre}, uint64(w.incarnation))
	w.gate = gate.New(gate.Options{})
	w.peers.balancer = w.balancer
	w.observer = observe.New(observe.Options{Node: w.opts.ID, DataCentre: w.opts.DataCentre}, w.log, w.endpoints, w.balancer, w.peers)
	w.peers.observer = w.observer
	w.peers.gate = w.gate
	w.hosts.OnHosts(w.balancer.SetHosts)
	w.hosts.OnHosts(w.observer.SetHosts)
	w.hosts.OnNotice(w.balancer.MarkHost)
	w.hosts.OnNotice(w.peers.markHost)
	w.hosts.OnNotice(w.reclaim.handleNotice)
}

func (w *wiring) buildConfig() {
	w.config = newConfigService(syncer.New(syncer.Options{
		Store:     w.store,
		OnChange:  w.configChanged,
		FromPeers: w.peers.configFromPeers,
		Seed:      uint64(w.incarnation),
		Metrics:   syncer.NewMetrics(w.metrics),
		Log:       w.log,
	}))
	w.capacity = &capacityUpdater{gate: w.gate, balancer: w.balancer, config: w.config}
	w.hosts.OnHosts(func([]platformapi.HostInfo) { w.capacity.update() })
	w.peers.config = w.config
}

func (w *wiring) configChanged(c *config.Config) {
	w.balancer.SetConfig(c)
	w.gate.SetWorkspaces(c.Workspaces)
	w.capacity.update()
	w.peers.announceRevision(c)
}

func (w *wiring) buildPeers() error {
	g, err := gossip.New(gossip.Options{
		Peer: peer.Options{
			ID: w.opts.ID, DataCentre: w.opts.DataCentre, Address: w.opts.Advertise,
			Incarnation: w.incarnation, Seeds: w.opts.Seeds,
		},
		Key:        []byte(w.opts.Key),
		Registerer: w.metrics,
		Log:        w.log,
	})
	if err != nil {
		return err
	}
	w.gossip = g
	w.peers.gossip = g
	w.moves = newMoves(w.peers, mover.Options{
		Store:    w.store,
		Self:     lease.Owner{Node: w.opts.ID, Incarnation: w.incarnation},
		Config:   w.config.Current,
		Members:  w.peers.localIDs,
		Capacity: w.capacity.servableShare,
		Metrics:  mover.NewMetrics(w.metrics),
		Log:      w.log,
	})
	w.peers.moves = w.moves
	w.peers.connect()
	return nil
}

func (w *wiring) buildEntry() {
	w.answers = answer.NewTable()
	w.sender = dispatch.New(dispatch.Options{Tokens: w.demand.Tokens}, w.endpoints, w.balancer, w.moves)
	w.pause = newPauseGuard(w.log, w.config.CatchUp)
	w.remote = handover.NewPeerClient(w.log, w.peers, w.gossip.HTTPClient(w.handoverTransport))
	w.entry = entry.New(entry.Options{
		Node: w.opts.ID, DataCentre: w.opts.DataCentre, Incarnation: w.incarnation, Bodies: w.memory.bodies,
		Ready:       func() bool { return w.hosts.Hosts() != nil && w.callerConns.Accepting() },
		ConfigFresh: w.pause.caughtUp,
	}, entry.Dependencies{
		Log:     w.log,
		Config:  w.config,
		Gate:    admission{w.gate, w.demand},
		Sender:  w.sender,
		Ledger:  dispatch.NewOrders(w.ledger),
		Answers: w.answers,
		Peers:   w.remote,
		Metrics: entry.NewMetrics(w.metrics),
	})
}

func (w *wiring) register() error {
	operators, err := w.operatorsHandler()
	if err != nil {
		return err
	}
	services := []struct {
		name kernel.Name
		s    kernel.Service
	}{
		{serviceStore, stopFunc(w.store.Close)},
		{serviceLedger, ledgerService{w.ledger}},
		{serviceEndpoints, stopFunc(w.endpoints.Close)},
		{serviceHandover, stopFunc(w.handoverTransport.CloseIdleConnections)},
		{serviceAdmission, stopFunc(w.gate.Close)},
		{servicePeers, newListener("peers", w.opts.Peers, bytebudget.Handler(w.memory.messages, w.peersHandler()), w.peerConns, w.opts.queueBytes(), w.log)},
		{servicePeerConns, w.peerConns},
		{gossip.Name, w.gossip},
		{serviceConfig, w.config},
		{serviceDiscovery, w.hosts},
		{serviceObserver, w.observer},
		{serviceCapacity, kernel.NewLoop(capacityInterval, func(context.Context) { w.capacity.update() })},
		{servicePause, kernel.NewLoop(heartbeatInterval, w.pause.tick)},
		{serviceRefresh, kernel.NewLoop(refreshInterval, func(context.Context) { w.peers.refreshMembership() })},
		{serviceMoves, w.moves},
		{controller.Name, w.fleet},
		{serviceSender, w.sender},
		{serviceOperators, newListener("operators", w.opts.Operators, bytebudget.Handler(w.memory.messages, operators), w.operatorConns, w.opts.queueBytes(), w.log)},
		{serviceOperatorConns, w.operatorConns},
		{serviceCallerConns, w.callerConns},
		{serviceCallers, newCallerListener(w.opts, w.entry, w.callerConns, w.reclaim, w.log)},
	}
	for _, s := range services {
		if err := w.registry.Register(s.name, s.s); err != nil {
			return err
		}
	}
	return nil
}

func (w *wiring) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(w.gossip.Handler())
	path, h := handover.NewServer(w.log, w.config, w.answers, w.entry, w.remote).Handler()
	mux.Handle(path, w.gossip.Authenticate(h))
	return mux
}

func (w *wiring) operatorsHandler() (http.Handler, error) {
	api, err := operator.New(&statusSource{opts: w.opts, config: w.config, hosts: w.hosts, balancer: w.balancer, gossip: w.gossip, moves: w.moves, ledger: w.ledger, fleet: w.fleet})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(w.metrics, promhttp.HandlerOpts{}))
	mux.Handle("/debug/pprof/", w.opts.Key.Handler(profilingHandler(), w.rejected.Inc))
	mux.Handle("/", w.opts.Key.Handler(api, w.rejected.Inc))
	return mux, nil
}

// profilingHandler serves the profiles of the process.
func profilingHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
