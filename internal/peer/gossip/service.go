package gossip

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/api/gen/peer/v1/peerv1connect"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/peer"
)

// Name is the service's name in a registry.
const Name kernel.Name = "peer"

// Defaults of Options.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultInFlight     = 256
	DefaultSeedInterval = time.Minute
)

// A connection on which nothing is received for pingAfter is closed if a ping gets no
// response within pingTimeout.
const (
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
)

// Options configures a Service.
type Options struct {
	// Peer configures the node. Default of its Incarnation: Unix time in milliseconds.
	Peer peer.Options
	// Key is the key shared by all nodes, at least MinKeyBytes long.
	Key []byte
	// Seeds returns further addresses of nodes to contact for joining, for example from
	// the host list. On an error the previous addresses are kept. Default: none.
	Seeds func(context.Context) ([]string, error)
	// SeedInterval is the time between calls of Seeds. While no peer is known it is a
	// quarter of that. Default: 1m.
	SeedInterval time.Duration
	// Timeout of a call to a peer. Default: 2s.
	Timeout time.Duration
	// InFlight is the maximum number of concurrent calls to peers; more messages are
	// dropped. Default: 256.
	InFlight int
	// Transport carries the calls. Default: HTTP/2 without TLS.
	Transport http.RoundTripper
	// Registerer registers the metrics. Default: none.
	Registerer prometheus.Registerer
	// Log is the logger. Default: slog.Default.
	Log *slog.Logger
}

// Provider returns the bytes of a name, or ErrNotFound.
type Provider func(ctx context.Context, name string) ([]byte, error)

// ErrNotFound is returned by FetchFrom if the peer has no bytes of the kind and name.
var ErrNotFound = errors.New("name not found")

// Service runs one node's membership. It is safe for concurrent use.
type Service struct {
	signer
	o         Options
	log       *slog.Logger
	metrics   *Metrics
	client    *http.Client
	base      http.RoundTripper
	inFlight  chan struct{}
	providers map[string]Provider
	listeners []func([]peer.Change)

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	notify chan struct{}

	mu struct {
		sync.Mutex
		node    *peer.Node
		stopped bool
		pending []peer.Change
	}
}

var (
	_ kernel.Provisioner                 = (*Service)(nil)
	_ kernel.Starter                     = (*Service)(nil)
	_ kernel.Drainer                     = (*Service)(nil)
	_ kernel.Stopper                     = (*Service)(nil)
	_ peerv1connect.GossipServiceHandler = (*Service)(nil)
)

// New returns a service that is not started yet. Its state can be read and written
// already. It returns ErrKeyTooShort if the key is shorter than MinKeyBytes.
func New(o Options) (*Service, error) {
	if len(o.Key) < MinKeyBytes {
		return nil, ErrKeyTooShort
	}
	o = o.withDefaults()
	s := &Service{
		signer:    signer{o.Key},
		o:         o,
		log:       o.Log,
		metrics:   newMetrics(o.Registerer),
		base:      o.Transport,
		inFlight:  make(chan struct{}, o.InFlight),
		providers: make(map[string]Provider),
		notify:    make(chan struct{}, 1),
	}
	s.client = &http.Client{Transport: &transport{signer: s.signer, base: s.base, metrics: s.metrics}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.mu.node = peer.New(o.Peer, time.Now(), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	return s, nil
}

func (o Options) withDefaults() Options {
	if o.Peer.Incarnation == 0 {
		o.Peer.Incarnation = ident.Incarnation(time.Now().UnixMilli())
	}
	if o.Peer.Interval == 0 {
		o.Peer.Interval = peer.DefaultInterval
	}
	if o.SeedInterval == 0 {
		o.SeedInterval = DefaultSeedInterval
	}
	if o.Timeout == 0 {
		o.Timeout = DefaultTimeout
	}
	if o.InFlight == 0 {
		o.InFlight = DefaultInFlight
	}
	if o.Transport == nil {
		o.Transport = defaultTransport()
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

func defaultTransport() *http.Transport {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:          p,
		IdleConnTimeout:    time.Minute,
		DisableCompression: true,

		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// Provision does nothing: this service depends on no others.
func (s *Service) Provision(*kernel.Registry) error { return nil }

// Provide registers the provider for a kind of Fetch calls. It must be called before
// Start.
func (s *Service) Provide(kind string, p Provider) {
	s.providers[kind] = p
}

// OnChange registers a listener, which is called with the changes in order from one
// goroutine. It must be called before Start.
func (s *Service) OnChange(f func([]peer.Change)) {
	s.listeners = append(s.listeners, f)
}

// Start starts the exchange of state with peers.
func (s *Service) Start(context.Context) error {
	s.log.Info("peer: Start.", "node", string(s.o.Peer.ID), "address", s.o.Peer.Address)
	s.spawn(s.tickLoop)
	s.spawn(s.changeLoop)
	if s.o.Seeds != nil {
		s.spawn(s.seedLoop)
	}
	return nil
}

// Drain announces to the peers that this node leaves. It still handles calls until
// Stop.
func (s *Service) Drain(context.Context) error {
	s.step((*peer.Node).Leave)
	return nil
}

// Stop cancels all calls to peers and waits for all goroutines to end. It returns an
// error if ctx ends first.
func (s *Service) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.mu.stopped = true
	s.mu.Unlock()
	s.cancel()
	done := make(chan struct{})
	go func() {
		s.tasks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "calls to peers did not end in time")
	}
	if t, ok := s.base.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	return nil
}

// spawn runs f in a goroutine that Stop waits for. It does nothing after Stop.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.stopped {
		return
	}
	s.tasks.Go(f)
}

// Handler returns the path and the handler for the listener for peers. Its server must
// accept HTTP/2 without TLS, unless Options.Transport uses another protocol.
func (s *Service) Handler() (string, http.Handler) {
	path, h := peerv1connect.NewGossipServiceHandler(s, connect.WithReadMaxBytes(MaxBodyBytes))
	return path, s.Authenticate(h)
}

// HTTPClient returns a client that signs its calls, for other services between nodes
// whose handlers are wrapped by Authenticate. The calls use base, or the service's own
// connections if base is nil.
func (s *Service) HTTPClient(base http.RoundTripper) *http.Client {
	if base == nil {
		return s.client
	}
	return &http.Client{Transport: &transport{signer: s.signer, base: base, metrics: s.metrics}}
}
