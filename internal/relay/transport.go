package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	relayv1 "github.com/jujubeshed/jujubeshed/api/gen/relay/v1"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/httpanswer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/reach"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// maxTries is the number of nodes to which a request is offered.
	maxTries = 2
	// dialTimeout limits the connection to another node, which takes a round trip.
	dialTimeout = 300 * time.Millisecond
	// maxIdlePerNode is the number of idle connections that are kept to each other node.
	maxIdlePerNode  = 16
	idleConnTimeout = 10 * time.Second
	// probeTimeout limits a round of probes. A connection takes a round trip; where its
	// first packet is lost, the next round shows more.
	probeTimeout = 400 * time.Millisecond
	// noRelayRetryAfter is sent to callers while neither this node nor any other that it knows
	// reaches endpoints. Paths are probed several times in it.
	noRelayRetryAfter = time.Second
	// noShareRetryAfter is sent to callers whose request needs the share of another node and found
	// none: shares are free again within that time.
	noShareRetryAfter = 500 * time.Millisecond
)

// Options are the settings of a Transport.
type Options struct {
	// Transport sends over this node's own paths.
	Transport serve.Transport
	// Services returns the services that have endpoints.
	Services func() []ident.Service
	// Endpoints returns the endpoints of a service that may be probed.
	Endpoints func(ident.Service) []site.Endpoint
	// Nodes returns the addresses of the other nodes that reach endpoints of a service and may
	// get requests with some homes.
	Nodes func(ident.Service, site.Homes) []string
	// NodesNamed returns the addresses of those of the named nodes that may get requests with some
	// homes, and Reserve takes this node's share of an endpoint for a request of another node until
	// release is called.
	NodesNamed func(names []ident.NodeID, homes site.Homes) []string
	Reserve    func(e site.Endpoint) (release func(), err *verdict.Error)
	// MayStart returns an error if this node stops before a request of another node would end that
	// ends at the deadline at the latest. If nil, the node never stops.
	MayStart func(deadline time.Time) *verdict.Error
	// Bodies limits the memory for the bodies of responses.
	Bodies   *bytebudget.Budget
	WallTime func() time.Time
	Log      *slog.Logger
	Metrics  prometheus.Registerer
}

// Transport is a serve.Transport that sends through other nodes while this node has lost its
// paths to the endpoints.
type Transport struct {
	serve.Transport // over this node's own paths
	opts            Options
	signals         serve.EndpointSignals
	client          *http.Client
	relayed         *prometheus.CounterVec
	lost            *prometheus.GaugeVec

	mu struct {
		sync.Mutex
		paths  map[ident.Service]*reach.Paths
		relays *reach.Relays
		rng    *rand.Rand
	}
}

var _ serve.Transport = (*Transport)(nil)

// NewTransport returns a Transport and registers its metrics.
func NewTransport(opts Options) *Transport {
	t := &Transport{
		Transport: opts.Transport, opts: opts,
		client: &http.Client{Transport: &bytebudget.Transport{Budget: opts.Bodies, Base: httpanswer.Transport{Base: &http.Transport{
			DialContext:         keepalive.DiscardingDialFunc(dialTimeout),
			MaxIdleConnsPerHost: maxIdlePerNode, IdleConnTimeout: idleConnTimeout, DisableCompression: true,
			MaxResponseHeaderBytes: headBytes,
		}}}},
		relayed: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "relay_requests_total", Help: "Attempts that were sent through other nodes, by whether they got a response."}, []string{"outcome"}),
		lost:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "endpoint_paths_lost", Help: "1 while this node can connect to no endpoint of a service."}, []string{"service"}),
	}
	opts.Metrics.MustRegister(t.relayed, t.lost)
	t.mu.paths, t.mu.relays = make(map[ident.Service]*reach.Paths), reach.NewRelays()
	t.mu.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return t
}

// SetSignals implements serve.Transport.
func (t *Transport) SetSignals(s serve.EndpointSignals) {
	t.signals = s
	t.Transport.SetSignals(s)
}

// pathsTo returns the paths to the endpoints of a service. t.mu must be held.
func (t *Transport) pathsTo(s ident.Service) *reach.Paths {
	p := t.mu.paths[s]
	if p == nil {
		p = reach.NewPaths(time.Now())
		t.mu.paths[s] = p
	}
	return p
}

// pathsLost reports whether this node can connect to no endpoint of a service.
func (t *Transport) pathsLost(s ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathsTo(s).Lost()
}

// LostServices returns the services of which this node can connect to no endpoint.
func (t *Transport) LostServices() []ident.Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []ident.Service
	for s, p := range t.mu.paths {
		if p.Lost() {
			out = append(out, s)
		}
	}
	slices.Sort(out)
	return out
}

// Tick probes the paths to the endpoints where that is due. It must be called several times a
// second.
func (t *Transport) Tick(now time.Time) {
	var due []ident.Service
	t.mu.Lock()
	for s, p := range t.mu.paths {
		if p.ProbeDue(now) {
			due = append(due, s)
		}
	}
	t.mu.Unlock()
	for _, s := range due {
		endpoints := t.opts.Endpoints(s)
		t.mu.Lock()
		targets := t.pathsTo(s).Probes(now, t.mu.rng, endpoints)
		t.mu.Unlock()
		if len(targets) > 0 {
			go t.probe(s, targets)
		}
	}
}

// probe tries to connect to some endpoints of a service at once.
func (t *Transport) probe(s ident.Service, targets []site.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	results := make(chan serve.Reachability, len(targets))
	for _, e := range targets {
		go func() { results <- t.Transport.Probe(ctx, e) }()
	}
	connected := 0
	for range targets {
		if <-results == serve.Connected {
			connected++
		}
	}
	services := t.opts.Services()
	t.mu.Lock()
	changed := t.pathsTo(s).Probed(time.Now(), connected, len(targets))
	lost := t.pathsTo(s).Lost()
	if changed && lost {
		for _, other := range services {
			if other != s {
				t.pathsTo(other).Alert()
			}
		}
	}
	t.mu.Unlock()
	switch {
	case changed && lost:
		t.lost.WithLabelValues(string(s)).Set(1)
		t.opts.Log.Warn("reach: Paths to the endpoints are lost; requests go through other nodes.", "service", s, "probed", len(targets), "nodes", len(t.opts.Nodes(s, nil)))
	case changed:
		t.lost.WithLabelValues(string(s)).Set(0)
		t.opts.Log.Info("reach: Paths to the endpoints are back.", "service", s)
	}
}

// Send implements serve.Transport.
func (t *Transport) Send(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	if len(a.Through) > 0 {
		return t.sendThroughShare(ctx, a)
	}
	t.mu.Lock()
	paths := t.pathsTo(a.Endpoint.Service)
	lost, open := paths.Lost(), paths.OpenConnections(time.Now())
	t.mu.Unlock()
	hasRelays := func() bool { return len(t.opts.Nodes(a.Endpoint.Service, a.Homes)) > 0 }
	if !lost || open || !hasRelays() {
		answer, err := t.sendDirect(ctx, a)
		if err == nil || !notConnected(err) || !t.pathsDoubtful(a.Endpoint.Service) || !hasRelays() {
			return answer, err
		}
	}
	return t.sendRelayed(ctx, a)
}

// pathsDoubtful reports whether another node may reach an endpoint that this node could not
// connect to.
func (t *Transport) pathsDoubtful(s ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathsTo(s).Doubtful(time.Now())
}

// notConnected reports whether an attempt failed since its endpoint could not be connected to.
func notConnected(err error) bool {
	v := verdict.From(err)
	return v.Verdict == verdict.NotRun && v.Code == verdict.CodeUpstream
}

// sendDirect sends an attempt over this node's own paths, and records what that shows of them.
func (t *Transport) sendDirect(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	id := t.begin(a.Endpoint)
	answer, err := t.Transport.Send(ctx, a)
	result := reach.Heard
	if err != nil {
		result = resultOf(err)
	}
	t.end(a.Endpoint, id, result)
	if err == nil && answer.Events != nil {
		answer.Events = &observedEvents{answer.Events, t, a.Endpoint}
	}
	return answer, err
}

// resultOf returns what the error of an attempt shows of the path to its endpoint.
func resultOf(err error) reach.Result {
	v := verdict.From(err)
	switch {
	case notConnected(err):
		return reach.NotConnected
	case v.Verdict == verdict.NotRun && v.Code == verdict.CodeUnavailable: // the endpoint's own refusal
		return reach.Heard
	default:
		return reach.Unknown
	}
}

func (t *Transport) begin(e site.Endpoint) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pathsTo(e.Service).Begin(time.Now(), e.Hash())
}

func (t *Transport) end(e site.Endpoint, id uint64, r reach.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pathsTo(e.Service).End(time.Now(), id, r)
}

// observedEvents records what the events of a stream show of the path to its endpoint.
type observedEvents struct {
	serve.Events
	transport *Transport
	endpoint  site.Endpoint
}

// Next implements serve.Events.
func (e *observedEvents) Next() (serve.Event, error) {
	id := e.transport.begin(e.endpoint)
	ev, err := e.Events.Next()
	result := reach.Unknown
	if err == nil {
		result = reach.Heard
	}
	e.transport.end(e.endpoint, id, result)
	return ev, err
}

// Start implements kernel.Starter.
func (t *Transport) Start(ctx context.Context) error {
	if s, ok := t.Transport.(kernel.Starter); ok {
		return s.Start(ctx)
	}
	return nil
}

// Stop implements kernel.Stopper.
func (t *Transport) Stop(ctx context.Context) error {
	t.client.CloseIdleConnections()
	if s, ok := t.Transport.(kernel.Stopper); ok {
		return s.Stop(ctx)
	}
	return nil
}

// encodeMigration encodes a migration with the time that is left for it. wallTime is the time of day.
func encodeMigration(ctx context.Context, m serve.Migration, wallTime time.Time) *relayv1.MigrateRequest {
	left := time.Second
	if deadline, ok := ctx.Deadline(); ok {
		left = max(time.Until(deadline), 0)
	}
	return &relayv1.MigrateRequest{
		Request: string(m.Request), From: encodeEndpoint(m.From), To: encodeEndpoint(m.To), Stop: m.Stop,
		RemainingMs: uint32(left.Milliseconds()), Deadline: wallTime.Add(left).UnixMilli(),
	}
}

// migrationTimeLeft returns the time that is left for a migration that was received at a time of day.
// It is none for one that was held up beyond its deadline: the stream may run on elsewhere by then.
func migrationTimeLeft(msg *relayv1.MigrateRequest, wallTime time.Time) time.Duration {
	left := time.Duration(msg.RemainingMs) * time.Millisecond
	if msg.Deadline == 0 { // from a node of an earlier build
		return left
	}
	return min(left, time.UnixMilli(msg.Deadline).Sub(wallTime)+clockTolerance)
}

func decodeMigration(msg *relayv1.MigrateRequest) serve.Migration {
	return serve.Migration{Request: ident.RequestID(msg.Request), From: decodeEndpoint(msg.From), To: decodeEndpoint(msg.To), Stop: msg.Stop}
}
