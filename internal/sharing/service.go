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
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

const (
	// DefaultInterval is the least time between two rounds. The limits of workspaces
	// leave room for a tenth of their rate in 8 s, so for the spending of some rounds.
	DefaultInterval = 200 * time.Millisecond
	// nodesPerInterval stretches the rounds of a larger deployment, so that a node's
	// work on rows grows slower than their number; maxInterval bounds that.
	nodesPerInterval = 40
	maxInterval      = 800 * time.Millisecond
	// fanout is the number of nodes that each round asks for the rows it lacks: rows of
	// eight nodes are everywhere after two rounds, of seventy after four.
	fanout = 2
	// exchangeTimeout is well above a round trip and below the silence after which
	// a node counts as lost.
	exchangeTimeout = 400 * time.Millisecond
	// seedEvery is the number of rounds between two exchanges with a configured
	// address, by which parts of a deployment that lost each other meet again.
	seedEvery = 10
)

// Options are the settings of a Service.
type Options struct {
	Self    quota.NodeIncarnation
	Address string
	// Seeds are addresses of other nodes to begin with; they may be stale.
	Seeds []string
	// Interval between rounds. Default: DefaultInterval.
	Interval time.Duration
	// LocalState returns this node's row; node, beat and address are filled in.
	LocalState func() NodeState
	// Now tells the time of day that rows bear, and OnTime takes what another node told
	// as the time just now.
	Now    func() time.Time
	OnTime func(node ident.NodeID, told time.Time)
	// OnStates takes the rows that are new.
	OnStates func(now time.Time, fresh []NodeState)
	// Config returns the configuration in force as the operator wrote it, and
	// OnConfig takes one from another node.
	Config   func() []byte
	OnConfig func(raw []byte, from string)
	// Levels returns the levels of the workspaces' buckets, and InitLevels takes those that
	// another node sees, at the start.
	Levels     func() map[ident.Workspace]float64
	InitLevels func(levels map[ident.Workspace]float64)
	// Changes returns changes of the store's objects where this node follows them.
	Changes func(ctx context.Context, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error)
	Log     *slog.Logger
	Metrics prometheus.Registerer
}

// Service exchanges rows with other nodes.
type Service struct {
	opts   Options
	client *http.Client
	cancel context.CancelFunc
	done   chan struct{}
	rounds int
	failed prometheus.Counter
	calls  prometheus.Counter

	mu struct {
		sync.Mutex
		rows     *StateTable
		beat     uint64
		seeds    []string
		fetching bool
		joined   bool
	}
}

var _ sharingv1connect.SharingServiceHandler = (*Service)(nil)

// New returns a service that has not started.
func New(opts Options) *Service {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	s := &Service{
		opts: opts,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         keepalive.Dialer(exchangeTimeout).DialContext,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		calls:  prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_total", Help: "Exchanges begun with other nodes."}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_failed_total", Help: "Exchanges that failed."}),
	}
	opts.Metrics.MustRegister(s.calls, s.failed)
	s.mu.rows = NewStateTable(opts.Self)
	s.mu.seeds = slices.DeleteFunc(slices.Clone(opts.Seeds), func(a string) bool { return a == opts.Address || a == "" })
	return s
}

// Handler returns the path and the handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	return sharingv1connect.NewSharingServiceHandler(s)
}

// Start begins the rounds.
func (s *Service) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel, s.done = cancel, make(chan struct{})
	go func() {
		defer close(s.done)
		for ctx.Err() == nil {
			s.round()
			kernel.Sleep(ctx, s.Interval())
		}
	}()
	return nil
}

// Stop ends them.
func (s *Service) Stop(context.Context) error {
	if s.cancel != nil {
		s.cancel()
		<-s.done
	}
	return nil
}

// Interval returns the time between two rounds.
func (s *Service) Interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := time.Duration(len(s.mu.rows.rows))
	return min(max(s.opts.Interval, s.opts.Interval*n/nodesPerInterval), maxInterval)
}

// AddSeeds takes further addresses of nodes, for example from the store.
func (s *Service) AddSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range addresses {
		if a != s.opts.Address && a != "" && !slices.Contains(s.mu.seeds, a) {
			s.mu.seeds = append(s.mu.seeds, a)
		}
	}
}

// Peers returns the rows of other nodes that are at most that old.
func (s *Service) Peers(age time.Duration) []NodeState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.rows.Peers(time.Now(), age)
}

// request renews this node's row and returns what a round asks with.
func (s *Service) request() *sharingv1.ExchangeRequest {
	asOf := s.opts.Now() // before what it tells, so that later news are never older
	row := s.opts.LocalState()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.beat++
	now := time.Now()
	row.Incarnation, row.Heartbeat, row.Address, row.AsOf = s.opts.Self, s.mu.beat, s.opts.Address, asOf
	s.mu.rows.Merge(now, []NodeState{row})
	s.mu.rows.Expire(now)
	req := &sharingv1.ExchangeRequest{Own: encodeRow(&row), Joining: !s.mu.joined}
	for key, beat := range s.mu.rows.Digest() {
		req.Keys, req.Beats = append(req.Keys, key), append(req.Beats, beat)
	}
	return req
}

// round asks a few nodes for the rows that this one lacks.
func (s *Service) round() {
	req := s.request()
	for _, address := range s.targets() {
		go s.exchange(address, req)
	}
}

// targets returns the nodes of a round: some that are known, and a seed now and
// then, or while nobody is known.
func (s *Service) targets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []string
	for _, r := range s.mu.rows.Peers(time.Now(), StateRetention) {
		known = append(known, r.Address)
	}
	rand.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	out := known[:min(len(known), fanout)]
	s.rounds++
	if n := len(s.mu.seeds); n > 0 && (len(known) == 0 || s.rounds%seedEvery == 0) {
		seed := s.mu.seeds[rand.IntN(n)]
		if !slices.Contains(out, seed) {
			out = append(out, seed)
		}
	}
	return out
}

func (s *Service) clientOf(address string) sharingv1connect.SharingServiceClient {
	return sharingv1connect.NewSharingServiceClient(s.client, "http://"+address)
}

func (s *Service) exchange(address string, req *sharingv1.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	s.calls.Inc()
	resp, err := s.clientOf(address).Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		s.failed.Inc()
		s.opts.Log.Debug("sharing: Exchange failed.", "peer", address, "error", err)
		return
	}
	s.take(decodeRows(resp.Msg.Rows))
	s.join(resp.Msg.Levels)
}

// join takes the levels that another node sees, once.
func (s *Service) join(levels map[string]float64) {
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

// take merges rows and asks for a configuration that is newer than the own one.
func (s *Service) take(rows []NodeState) {
	now := time.Now()
	s.mu.Lock()
	fresh := s.mu.rows.Merge(now, rows)
	s.mu.Unlock()
	if len(fresh) > 0 {
		s.opts.OnStates(now, fresh)
	}
}

// FetchConfig asks a node for its configuration, one at a time.
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
		resp, err := s.clientOf(address).Config(ctx, connect.NewRequest(&sharingv1.ConfigRequest{}))
		if err != nil {
			s.opts.Log.Warn("sharing: Configuration of a peer cannot be read.", "peer", address, "error", err)
			return
		}
		if len(resp.Msg.Value) > 0 {
			s.opts.OnConfig(resp.Msg.Value, address)
		}
	}()
}

// Exchange implements the service.
func (s *Service) Exchange(_ context.Context, req *connect.Request[sharingv1.ExchangeRequest]) (*connect.Response[sharingv1.ExchangeResponse], error) {
	in := req.Msg
	if in.Own == nil || len(in.Keys) != len(in.Beats) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("an exchange has a row, and a beat for each key"))
	}
	digest := make(map[uint64]uint64, len(in.Keys))
	for i, key := range in.Keys {
		digest[key] = in.Beats[i]
	}
	own := decodeRow(in.Own)
	s.opts.OnTime(own.Incarnation.Node, own.AsOf)
	s.take([]NodeState{own})
	s.mu.Lock()
	rows := s.mu.rows.MissingFrom(digest)
	s.mu.Unlock()
	out := &sharingv1.ExchangeResponse{Rows: encodeRows(rows)}
	if in.Joining {
		out.Levels = make(map[string]float64)
		for name, n := range s.opts.Levels() {
			out.Levels[string(name)] = n
		}
	}
	return connect.NewResponse(out), nil
}

// Changes implements the service.
func (s *Service) Changes(ctx context.Context, req *connect.Request[sharingv1.ChangesRequest]) (*connect.Response[sharingv1.ChangesResponse], error) {
	wait := time.Duration(req.Msg.WaitMs) * time.Millisecond
	r, err := s.opts.Changes(ctx, platformapi.Key(req.Msg.Kind), req.Msg.After, wait)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&sharingv1.ChangesResponse{Objects: encodeObjects(r.Changed), Position: r.Position, Gap: r.Gap}), nil
}

// relayMargin is the time that an answer may take beyond the wait asked for.
const relayMargin = time.Second

// ChangesFrom asks another node for changes of the store's objects.
func (s *Service) ChangesFrom(ctx context.Context, address string, kind platformapi.Key, after uint64, wait time.Duration) (platformapi.WatchResult, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	resp, err := s.clientOf(address).Changes(ctx, connect.NewRequest(&sharingv1.ChangesRequest{
		Kind: string(kind), After: after, WaitMs: uint32(wait.Milliseconds()),
	}))
	if err != nil {
		return platformapi.WatchResult{}, errors.Wrapf(err, "changes from %s", address)
	}
	return platformapi.WatchResult{Changed: decodeObjects(resp.Msg.Objects), Position: resp.Msg.Position, Gap: resp.Msg.Gap}, nil
}

// Config implements the service.
func (s *Service) Config(context.Context, *connect.Request[sharingv1.ConfigRequest]) (*connect.Response[sharingv1.ConfigResponse], error) {
	return connect.NewResponse(&sharingv1.ConfigResponse{Value: s.opts.Config()}), nil
}
