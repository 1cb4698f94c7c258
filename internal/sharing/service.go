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
	"github.com/prometheus/client_golang/prometheus"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/sharing/v1/sharingv1connect"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

const (
	// DefaultInterval is the time between two rounds. The limits of workspaces leave
	// room for a tenth of their rate in 8 s, so for the spending of some rounds.
	DefaultInterval = 200 * time.Millisecond
	// fanout is the number of nodes that each round reaches: rows of eight nodes are
	// everywhere after two rounds, of seventy after three.
	fanout = 3
	// exchangeTimeout is well above a round trip and below the silence after which
	// a node counts as lost.
	exchangeTimeout = 400 * time.Millisecond
	// seedEvery is the number of rounds between two exchanges with a configured
	// address, by which parts of a deployment that lost each other meet again.
	seedEvery = 10
)

// Options are the settings of a Service.
type Options struct {
	Self    quota.NodeLife
	Address string
	// Seeds are addresses of other nodes to begin with; they may be stale.
	Seeds []string
	// Interval between rounds. Default: DefaultInterval.
	Interval time.Duration
	// Compose returns this node's row; node, beat and address are filled in.
	Compose func() Row
	// OnRows takes the rows that are new.
	OnRows func(now time.Time, fresh []Row)
	// Config returns the configuration in force as the operator wrote it, and
	// OnConfig takes one from another node.
	Config   func() []byte
	OnConfig func(raw []byte, from string)
	Log      *slog.Logger
	Metrics  prometheus.Registerer
}

// Service exchanges rows with other nodes.
type Service struct {
	opts   Options
	client *http.Client
	loop   *kernel.Loop
	rounds int
	failed prometheus.Counter
	calls  prometheus.Counter

	mu struct {
		sync.Mutex
		rows     *Rows
		beat     uint64
		seeds    []string
		fetching bool
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
			MaxIdleConnsPerHost: 2,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
		calls:  prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_total", Help: "Exchanges begun with other nodes."}),
		failed: prometheus.NewCounter(prometheus.CounterOpts{Name: "sharing_exchanges_failed_total", Help: "Exchanges that failed."}),
	}
	opts.Metrics.MustRegister(s.calls, s.failed)
	s.mu.rows = NewRows(opts.Self)
	s.mu.seeds = slices.DeleteFunc(slices.Clone(opts.Seeds), func(a string) bool { return a == opts.Address || a == "" })
	s.loop = kernel.NewLoop(opts.Interval, s.round)
	return s
}

// Handler returns the path and the handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	return sharingv1connect.NewSharingServiceHandler(s)
}

// Start begins the rounds.
func (s *Service) Start(ctx context.Context) error {
	s.round(ctx)
	return s.loop.Start(ctx)
}

// Stop ends them.
func (s *Service) Stop(ctx context.Context) error { return s.loop.Stop(ctx) }

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

// Others returns the rows of other nodes that are at most that old.
func (s *Service) Others(age time.Duration) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mu.rows.Others(time.Now(), age)
}

// own renews this node's row and returns all rows.
func (s *Service) own() []Row {
	row := s.opts.Compose()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.beat++
	row.Life, row.Beat, row.Address = s.opts.Self, s.mu.beat, s.opts.Address
	now := time.Now()
	s.mu.rows.Merge(now, []Row{row})
	s.mu.rows.Expire(now)
	return s.mu.rows.All()
}

// round exchanges rows with a few nodes.
func (s *Service) round(context.Context) {
	rows := encodeRows(s.own())
	for _, address := range s.targets() {
		go s.exchange(address, rows)
	}
}

// targets returns the nodes of a round: some that are known, and a seed now and
// then, or while nobody is known.
func (s *Service) targets() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []string
	for _, r := range s.mu.rows.Others(time.Now(), ForgetAfter) {
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

func (s *Service) exchange(address string, rows []*sharingv1.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	s.calls.Inc()
	resp, err := s.clientOf(address).Exchange(ctx, connect.NewRequest(&sharingv1.ExchangeRequest{Rows: rows}))
	if err != nil {
		s.failed.Inc()
		s.opts.Log.Debug("sharing: Exchange failed.", "peer", address, "error", err)
		return
	}
	s.take(decodeRows(resp.Msg.Rows))
}

// take merges rows and asks for a configuration that is newer than the own one.
func (s *Service) take(rows []Row) {
	now := time.Now()
	s.mu.Lock()
	fresh := s.mu.rows.Merge(now, rows)
	s.mu.Unlock()
	if len(fresh) > 0 {
		s.opts.OnRows(now, fresh)
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
	s.take(decodeRows(req.Msg.Rows))
	s.mu.Lock()
	rows := s.mu.rows.All()
	s.mu.Unlock()
	return connect.NewResponse(&sharingv1.ExchangeResponse{Rows: encodeRows(rows)}), nil
}

// Config implements the service.
func (s *Service) Config(context.Context, *connect.Request[sharingv1.ConfigRequest]) (*connect.Response[sharingv1.ConfigResponse], error) {
	return connect.NewResponse(&sharingv1.ConfigResponse{Value: s.opts.Config()}), nil
}
