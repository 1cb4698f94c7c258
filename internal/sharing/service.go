package sharing

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/sharing/v1/sharingv1connect"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/httpanswer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

const (
	// DefaultInterval is the shortest interval between two rounds. The workspaces' limits
	// tolerate an excess of a tenth of their rate over 8 s, and thus the unknown spending
	// of a few rounds.
	DefaultInterval = 200 * time.Millisecond
	// nodesPerInterval is the number of nodes above which the interval grows with their
	// number, up to maxInterval, so that a node's work grows more slowly than the
	// deployment.
	nodesPerInterval = 40
	maxInterval      = 800 * time.Millisecond
	// fanout is the number of nodes with which each round exchanges states. With eight
	// nodes, a state reaches all of them after two rounds; with seventy, after four.
	fanout = 2
	// exchangeTimeout is well above a round trip and below the silence timeout of a node.
	exchangeTimeout = 400 * time.Millisecond
	// seedRoundInterval is the number of rounds between two exchanges with a seed. They
	// reconnect a deployment after a network partition.
	seedRoundInterval = 10
	// maxMessageBytes is the maximum size of a message: an object of the store has up to 1 MiB, a
	// state a few KiB. maxHeadBytes is that of the head of a response.
	maxMessageBytes = 4 << 20
	maxHeadBytes    = 64 << 10
	// minCompressedBytes is the size of a response from which compressing it saves more of the
	// small hosts' links than it costs of their processors.
	minCompressedBytes = 1 << 10
)

// Options are the settings of a Service.
type Options struct {
	Self quota.NodeIncarnation
	// Address is the IP:port of this node's sharing service.
	Address string
	// Seeds are addresses of other nodes for the first exchanges; they may be stale.
	Seeds []string
	// Interval between rounds; zero for DefaultInterval.
	Interval time.Duration
	// LocalState returns this node's state. The Service sets Incarnation, Heartbeat,
	// Address and AsOf.
	LocalState func() NodeState
	// Now returns the time of day for AsOf, and OnTime is called with the time of day that
	// another node has just sent.
	Now    func() time.Time
	OnTime func(node ident.NodeID, nodeTime time.Time)
	// OnStates is called with the new states of other nodes.
	OnStates func(now time.Time, updated []NodeState)
	// Config returns the configuration in force as written by the operator, and OnConfig is
	// called with the configuration of another node and that node's address.
	Config   func() []byte
	OnConfig func(raw []byte, from string)
	// Levels returns the levels of the workspaces' token buckets. InitLevels is called with
	// the levels of another node, once after the start.
	Levels     func() map[ident.Workspace]float64
	InitLevels func(levels map[ident.Workspace]float64)
	// Departures returns the departures of endpoints for a node that starts. OnDepartures is
	// called with those of another node when this one starts.
	Departures   func() []directory.Departure
	OnDepartures func([]directory.Departure)
	// OnExchanged is called when Exchanged becomes true.
	OnExchanged func()
	// Changes returns changes of the store's objects, or an error if this node doesn't
	// watch the store.
	Changes func(ctx context.Context, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error)
	// Memory limits the memory for responses that are being read; nil means no limit.
	Memory  *bytebudget.Budget
	Log     *slog.Logger
	Metrics prometheus.Registerer
}

// Service exchanges states with other nodes.
type Service struct {
	opts             Options
	client           *http.Client
	cancel           context.CancelFunc
	done             chan struct{}
	rounds           int
	exchangeFailures prometheus.Counter
	exchanges        prometheus.Counter

	mu struct {
		sync.Mutex
		states    *StateTable
		heartbeat uint64
		seeds     []string
		fetching  bool
		joined    bool // the levels of another node were received
		exchanged bool // another node has answered an exchange
		alone     bool // at the start, no process listened at any of the seeds
	}
}

var _ sharingv1connect.SharingServiceHandler = (*Service)(nil)

// New returns a Service that has not started, and registers its metrics.
func New(opts Options) *Service {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Memory == nil {
		opts.Memory = bytebudget.New(0)
	}
	s := &Service{
		opts: opts,
		client: &http.Client{Transport: &bytebudget.Transport{
			Budget: opts.Memory, MaxBytes: maxMessageBytes,
			Base: httpanswer.Transport{Base: &http.Transport{
				DialContext:            keepalive.DiscardingDialFunc(exchangeTimeout),
				MaxIdleConnsPerHost:    4,
				IdleConnTimeout:        time.Minute,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeadBytes,
			}},
		}},
		exchanges:        prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_total", Help: "Exchanges begun with other nodes."}),
		exchangeFailures: prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_failed_total", Help: "Exchanges that failed."}),
	}
	opts.Metrics.MustRegister(s.exchanges, s.exchangeFailures)
	s.mu.states = NewStateTable(opts.Self)
	s.mu.seeds = slices.DeleteFunc(slices.Clone(opts.Seeds), func(a string) bool { return a == opts.Address || a == "" })
	return s
}

// Handler returns the URL path and the HTTP handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	return sharingv1connect.NewSharingServiceHandler(s, connect.WithCompressMinBytes(minCompressedBytes), fastCompression(), connect.WithReadMaxBytes(maxMessageBytes))
}

// Start starts the rounds of exchanges.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.done = cancel, make(chan struct{})
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.runRound()
			kernel.Sleep(ctx, s.pause())
		}
	}()
	return nil
}

// Stop stops the rounds.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
	return nil
}

// Interval returns the interval between two rounds, which depends on the number of nodes.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := time.Duration(len(s.mu.states.states))
	return min(max(s.opts.Interval, s.opts.Interval*n/nodesPerInterval), maxInterval)
}

// AddSeeds adds addresses of nodes, for example from the store, to the seeds.
func (s *Service) AddSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if a != s.opts.Address && a != "" && !slices.Contains(s.mu.seeds, a) {
			s.mu.seeds = append(s.mu.seeds, a)
		}
	}
}

// Peers returns the states of other nodes that were updated at most age ago. They must not be
// changed.
func (s *Service) Peers(age time.Duration) []*NodeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.states.Peers(time.Now(), age)
}

// HeardOf reports whether the state of the node at an address was updated at most age ago.
func (s *Service) HeardOf(address string, age time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.states.HeardOf(time.Now(), address, age)
}

// HeardSince returns the time since which all other known nodes that are not leaving have
// sent a state; the present time if there are none.
func (s *Service) HeardSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.states.HeardSince(time.Now())
}

// newRequest updates this node's state and returns the request for a round.
func (s *Service) newRequest() *sharingv1.ExchangeRequest {
	asOf := s.opts.Now() // read before the state, so that urgent spending sent later never has an earlier time
	state := s.opts.LocalState()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.heartbeat++
	now := time.Now()
	state.Incarnation, state.Heartbeat, state.Address, state.AsOf = s.opts.Self, s.mu.heartbeat, s.opts.Address, asOf
	s.mu.states.Merge(now, []NodeState{state})
	s.mu.states.Expire(now)
	req := &sharingv1.ExchangeRequest{Own: encodeState(&state), Joining: !s.mu.joined, Starting: !s.mu.exchanged}
	for key, heartbeat := range s.mu.states.Digest() {
		req.Keys, req.Beats = append(req.Keys, key), append(req.Beats, heartbeat)
	}
	return req
}

// runRound starts an exchange with each target of a round.
func (s *Service) runRound() {
	req := s.newRequest()
	targets := s.targets()
	results := make(chan error, len(targets))
	for _, address := range targets {
		go func() { results <- s.exchange(address, req) }()
	}
	if s.awaitsFirst() {
		go s.noteFirst(len(targets), results)
	}
}

// targets returns the addresses for a round: up to fanout known nodes, and a seed every
// seedRoundInterval rounds. While no other node is known, it returns all seeds, as some may
// be stale.
func (s *Service) targets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []string
	for _, state := range s.mu.states.Peers(time.Now(), StateRetention) {
		known = append(known, state.Address)
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	s.rounds++
	if len(known) == 0 {
		return slices.Clone(s.mu.seeds)
	}
	out := known[:min(len(known), fanout)]
	if n := len(s.mu.seeds); n > 0 && s.rounds%seedRoundInterval == 0 {
		seed := s.mu.seeds[rand.IntN(n)]
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

func (s *Service) clientFor(address string) sharingv1connect.SharingServiceClient {
	return sharingv1connect.NewSharingServiceClient(s.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

func (s *Service) exchange(address string, req *sharingv1.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	s.exchanges.Inc()
	resp, err := s.clientFor(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		s.exchangeFailures.Inc()
		s.opts.Log.Debug("sharing: Exchange failed.", "peer", address, "error", err)
		return err
	}
	s.merge(decodeStates(resp.Msg.Rows))
	s.initLevels(resp.Msg.Levels)
	s.opts.OnDepartures(decodeDepartures(resp.Msg.Departures))
	s.mu.Lock()
	first := !s.mu.exchanged
	s.mu.exchanged = true
	s.mu.Unlock()
	if first {
		s.opts.OnExchanged()
	}
	return nil
}

// initLevels passes the levels of another node to InitLevels, once.
func (s *Service) initLevels(levels map[string]float64) {
	if len(levels) == 0 {
		return
	}
	s.mu.Lock()
	joined := s.mu.joined
	s.mu.joined = true
	s.mu.Unlock()
	if joined {
		return
	}
	out := make(map[ident.Workspace]float64, len(levels))
	for name, n := range levels {
		out[ident.Workspace(name)] = n
	}
	s.opts.InitLevels(out)
}

// merge merges states and passes the new ones of other nodes to OnStates.
func (s *Service) merge(states []NodeState) {
	now := time.Now()
	s.mu.Lock()
	updated := s.mu.states.Merge(now, states)
	s.mu.Unlock()
	if len(updated) > 0 {
		s.opts.OnStates(now, updated)
	}
}

// FetchConfig requests a node's configuration in the background and passes it to OnConfig.
// It does nothing while another request is running.
func (s *Service) FetchConfig(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mu.fetching {
		return
	}
	s.mu.fetching = true
	go func() {
		defer func() {
			s.mu.Lock()
			s.mu.fetching = false
			s.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		resp, err := s.clientFor(address).Config(ctx, connect.NewRequest(&sharingv1.ConfigRequest{}))
		if err != nil {
			s.opts.Log.Warn("sharing: Configuration of a peer cannot be read.", "peer", address, "error", err)
			return
		}
		if len(resp.Msg.Value) > 0 {
			s.opts.OnConfig(resp.Msg.Value, address)
		}
	}()
}

// Exchange implements sharingv1connect.SharingServiceHandler: it merges the sender's state
// and returns the states that the sender lacks.
func (s *Service) Exchange(_ context.Context, req *connect.Request[sharingv1.ExchangeRequest]) (*connect.Response[sharingv1.ExchangeResponse], error) {
	in := req.Msg
	if in.Own == nil || len(in.Keys) != len(in.Beats) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("an exchange needs the state of the sender and one heartbeat for each key"))
	}
	digest := make(map[uint64]uint64, len(in.Keys))
	for i, key := range in.Keys {
		digest[key] = in.Beats[i]
	}
	own := decodeState(in.Own)
	s.opts.OnTime(own.Incarnation.Node, own.AsOf)
	s.merge([]NodeState{own})
	s.mu.Lock()
	states := s.mu.states.MissingFrom(digest)
	s.mu.Unlock()
	out := &sharingv1.ExchangeResponse{Rows: encodeStates(states)}
	if in.Starting {
		out.Departures = encodeDepartures(s.opts.Departures())
	}
	if in.Joining {
		out.Levels = make(map[string]float64)
		for name, n := range s.opts.Levels() {
			out.Levels[string(name)] = n
		}
	}
	return connect.NewResponse(out), nil
}

// Changes implements sharingv1connect.SharingServiceHandler.
func (s *Service) Changes(ctx context.Context, req *connect.Request[sharingv1.ChangesRequest]) (*connect.Response[sharingv1.ChangesResponse], error) {
	wait := time.Duration(req.Msg.WaitMs) * time.Millisecond
	r, err := s.opts.Changes(ctx, platformapi.Key(req.Msg.Kind), req.Msg.After, wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&sharingv1.ChangesResponse{Objects: encodeObjects(r.Changed), Position: r.Position, Gap: r.Gap}), nil
}

// relayMargin is the time that a response may take beyond the requested wait.
const relayMargin = time.Second

// ChangesFrom requests changes of the store's objects from another node, which waits
// for changes for up to wait.
func (s *Service) ChangesFrom(ctx context.Context, address string, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	resp, err := s.clientFor(address).Changes(ctx, connect.NewRequest(&sharingv1.ChangesRequest{
		Kind: string(kind), After: after, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return platformapi.WatchResult{}, errors.Wrapf(err, "read store changes from %s", address)
	}
	return platformapi.WatchResult{Changed: decodeObjects(resp.Msg.Objects), Position: resp.Msg.Position, Gap: resp.Msg.Gap}, nil
}

// Config implements sharingv1connect.SharingServiceHandler.
func (s *Service) Config(context.Context, *connect.Request[sharingv1.ConfigRequest]) (*connect.Response[sharingv1.ConfigResponse], error) {
	return connect.NewResponse(&sharingv1.ConfigResponse{Value: s.opts.Config()}), nil
}
