package node

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/dispatch"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/handover"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/operator"
	"github.com/jujubeshed/jujubeshed/internal/platform"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
)

// Names of a node's services.
const (
	serviceDiscovery kernel.Name = "discovery.hosts"
	serviceConfig    kernel.Name = "config.source"
	servicePeers     kernel.Name = "listener.peers"
	serviceOperators kernel.Name = "listener.operators"
	serviceCallers   kernel.Name = "listener.callers"
)

// Node is the process of an entry host.
type Node struct {
	opts     Options
	log      *slog.Logger
	registry *kernel.Registry
}

// New wires a node. The options must have passed Check.
func New(opts Options, log *slog.Logger) (*Node, error) {
	if opts.Advertise == "" {
		opts.Advertise = opts.Peers
	}
	n := &Node{opts: opts, log: log, registry: kernel.New(log)}
	return n, n.wire()
}

// Start starts all services of the node.
func (n *Node) Start(ctx context.Context) error {
	return n.registry.Start(ctx)
}

// Stop drains the node, then stops it. Accepted work ends or moves to other nodes.
func (n *Node) Stop(ctx context.Context) error {
	if err := n.registry.Drain(ctx); err != nil {
		n.log.Error("node: Drain failed.", "error", err)
	}
	return n.registry.Stop(context.WithoutCancel(ctx))
}

// Kill stops the node without a drain, as a test does.
func (n *Node) Kill(ctx context.Context) error {
	return n.registry.Stop(ctx)
}

func (n *Node) wire() error {
	store, err := platform.NewClient(platform.ClientOptions{Address: n.opts.Platform})
	if err != nil {
		return err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))

	hosts := discovery.New(discovery.Options{Cloud: store}, n.log, store)
	config := newConfigSource(store, n.log)
	client := endpoint.NewClient()
	incarnation := ident.Incarnation(time.Now().UnixNano())
	endpoints := balancer.New(route.Options{Node: n.opts.ID, DataCentre: n.opts.DataCentre}, uint64(incarnation))
	hosts.OnHosts(endpoints.SetHosts)
	hosts.OnNotice(endpoints.MarkHost)
	ledger := committer.New(store, committer.Options{
		Ledger:  once.Options{Node: n.opts.ID, Incarnation: incarnation},
		Log:     n.log,
		Metrics: committer.NewMetrics(reg),
	})
	answers := answer.NewTable()
	metrics := entry.NewMetrics(reg)
	peerClient := &http.Client{Transport: n.opts.Key.Transport(http.DefaultTransport)}
	remote := handover.NewRemote(n.log, staticMembers(n.opts.Seeds), peerClient)

	server := entry.New(entry.Options{Node: n.opts.ID, Incarnation: incarnation}, entry.Parts{
		Log: n.log, Config: config, Gate: openGate{}, Sender: dispatch.New(client, endpoints, shares{config}), Ledger: dispatch.NewOrders(ledger),
		Answers: answers, Remote: remote, Metrics: metrics,
	})
	return n.register(reg, hosts, config, server, answers)
}

func (n *Node) register(reg *prometheus.Registry, hosts *discovery.Watcher, config *configSource, server *entry.Server, answers *answer.Table) error {
	peers := http.NewServeMux()
	peers.Handle(handover.NewServer(n.log, config, answers, server).Handler())
	rejected := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "peer_calls_rejected_total", Help: "Calls of peers or operators without the shared key.",
	})
	reg.MustRegister(rejected)

	api, err := operator.New(&statusSource{opts: &n.opts, config: config, hosts: hosts})
	if err != nil {
		return err
	}
	operators := http.NewServeMux()
	operators.Handle("/metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	operators.Handle("/", n.opts.Key.Handler(api, rejected.Inc))

	services := []struct {
		name kernel.Name
		s    kernel.Service
	}{
		{serviceConfig, config},
		{serviceDiscovery, hosts},
		{servicePeers, newListener("peers", n.opts.Peers, n.opts.Key.Handler(peers, rejected.Inc), n.log)},
		{serviceOperators, newListener("operators", n.opts.Operators, operators, n.log)},
		{serviceCallers, newCallers(&n.opts, server, n.log)},
	}
	for _, s := range services {
		if err := n.registry.Register(s.name, s.s); err != nil {
			return err
		}
	}
	return nil
}
