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
	DefaultTimeout   = 2 * time.Second
	DefaultInFlight  = 256
	DefaultSeedEvery = time.Minute
)

// A connection to a peer that vanished is given up after these.
const (
	pingAfter   = 5 * time.Second
	pingTimeout = 2 * time.Second
)

// Options configures a Service.
type Options struct {
	// Peer configures the node. Default of its Incarnation: milliseconds since 1970.
	Peer peer.Options
	// Key is shared by all nodes; at least MinKeyBytes long.
	Key []byte
	// Seeds yields more addresses to join by, for example from the host list. An
	// error leaves those known so far. Default: none.
	Seeds func(context.Context) ([]string, error)
	// SeedEvery is the time between calls of Seeds, a quarter of it while no peer is
	// known. Default: 1m.
	SeedEvery time.Duration
	// Timeout of a call to a peer. Default: 2s.
	Timeout time.Duration
	// InFlight bounds the calls to peers at a time; more are dropped. Default: 256.
	InFlight int
	// Transport carries the calls. Default: HTTP/2 without TLS.
	Transport http.RoundTripper
	// Registerer takes the metrics. Default: none.
	Registerer prometheus.Registerer
	// Log defaults to slog.Default.
	Log *slog.Logger
}

// Provider returns the bytes that a name stands for, or ErrNotFound.
type Provider func(ctx context.Context, name string) ([]byte, error)

// ErrNotFound is returned by Fetch where the peer has nothing under the name.
var ErrNotFound = errors.New("peer has nothing under this name")

// Service is one node's membership, running.
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

// New returns a service that has not started. Its state can be read and written.
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
	if o.SeedEvery == 0 {
		o.SeedEvery = DefaultSeedEvery
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
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

// Provision has nothing to look up; others look this service up.
func (s *Service) Provision(*kernel.Registry) error { return nil }

// Provide registers the provider of a kind of bytes. Call it before Start.
func (s *Service) Provide(kind string, p Provider) {
	s.providers[kind] = p
}

// OnChange registers a listener, which gets the changes in order, from one
// goroutine. Call it before Start.
func (s *Service) OnChange(f func([]peer.Change)) {
	s.listeners = append(s.listeners, f)
}

// Start begins to exchange state with peers.
func (s *Service) Start(context.Context) error {
	s.log.Info("peer: Start.", "node", string(s.o.Peer.ID), "address", s.o.Peer.Address)
	s.spawn(s.tickLoop)
	s.spawn(s.changeLoop)
	if s.o.Seeds != nil {
		s.spawn(s.seedLoop)
	}
	return nil
}

// Drain tells the peers that this node leaves. It goes on answering until Stop.
func (s *Service) Drain(context.Context) error {
	s.step((*peer.Node).Leave)
	return nil
}

// Stop ends all calls and goroutines.
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
		return errors.Wrap(ctx.Err(), "calls to peers did not end")
	}
	if t, ok := s.base.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	return nil
}

// spawn runs f until it returns; it does nothing after Stop.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.stopped {
		return
	}
	s.tasks.Go(f)
}

// Handler returns the path and the handler for the peers' listener. Its server has
// to take HTTP/2 without TLS, unless Options.Transport says otherwise.
func (s *Service) Handler() (string, http.Handler) {
	path, h := peerv1connect.NewGossipServiceHandler(s, connect.WithReadMaxBytes(MaxBodyBytes))
	return path, s.Authenticate(h)
}

// HTTPClient returns a client whose calls other nodes take, for further services
// between nodes; their handlers are wrapped by Authenticate. The calls go over base,
// or where this is nil over the service's own connections.
func (s *Service) HTTPClient(base http.RoundTripper) *http.Client {
	if base == nil {
		return s.client
	}
	return &http.Client{Transport: &transport{signer: s.signer, base: base, metrics: s.metrics}}
}
