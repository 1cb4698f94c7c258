package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/dispatch"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/handover"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platform"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// The parts below are the naive versions of the thin path.

const configPoll = 500 * time.Millisecond

// configSource polls the accepted configuration.
type configSource struct {
	store   platform.Store
	log     *slog.Logger
	current atomic.Pointer[config.Config]
	cancel  context.CancelFunc
	done    chan struct{}
}

func newConfigSource(store platform.Store, log *slog.Logger) *configSource {
	return &configSource{store: store, log: log, done: make(chan struct{})}
}

// Current returns the configuration in force.
func (c *configSource) Current() *config.Config { return c.current.Load() }

// Start polls in the background.
func (c *configSource) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go func() {
		defer close(c.done)
		for ctx.Err() == nil {
			c.poll(ctx)
			sleep(ctx, configPoll)
		}
	}()
	return nil
}

// Stop ends the polls.
func (c *configSource) Stop(context.Context) error {
	c.cancel()
	<-c.done
	return nil
}

func (c *configSource) poll(ctx context.Context) {
	o, err := c.store.Get(ctx, "config/accepted")
	if err != nil {
		return
	}
	cfg := new(config.Config)
	if err := json.Unmarshal(o.Value, cfg); err != nil {
		c.log.Error("config: Accepted configuration is malformed.", "error", err)
		return
	}
	if old := c.Current(); old == nil || cfg.Revision > old.Revision {
		c.current.Store(cfg)
	}
}

// roundRobin picks endpoints in turn.
type roundRobin struct {
	config entry.ConfigSource
	next   atomic.Uint64
	mu     struct {
		sync.Mutex
		hosts []platform.HostInfo
	}
}

func newRoundRobin(c entry.ConfigSource) *roundRobin { return &roundRobin{config: c} }

func (p *roundRobin) update(hosts []platform.HostInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mu.hosts = hosts
}

// Pick returns the next live endpoint of the service.
func (p *roundRobin) Pick(r *entry.Request, tried map[ident.EndpointID]bool) (dispatch.Target, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []dispatch.Target
	for _, h := range p.mu.hosts {
		for _, e := range h.Endpoints {
			if h.State == platform.HostLive && e.Service == r.Service.Name && !tried[e.ID] {
				all = append(all, dispatch.Target{Endpoint: e.ID, Address: e.Address, Version: e.Version})
			}
		}
	}
	if len(all) == 0 {
		return dispatch.Target{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q has no live endpoint", r.Service.Name).After(time.Second)
	}
	return all[p.next.Add(1)%uint64(len(all))], nil
}

type openGate struct{}

// Acquire admits every request.
func (openGate) Acquire(context.Context, *entry.Request) (func(), error) { return func() {}, nil }

type noLedger struct{}

// Do runs the request without a record.
func (noLedger) Do(ctx context.Context, _ *entry.Request, _ *http.Request, _ []byte, run func(context.Context) (*entry.Recorded, error)) (*entry.Recorded, error) {
	return run(ctx)
}

type staticMembers []string

// Live returns the seeds.
func (s staticMembers) Live() []handover.Member {
	var out []handover.Member
	for _, a := range s {
		out = append(out, handover.Member{ID: ident.NodeID(a), Address: a})
	}
	return out
}

type statusSource struct {
	opts   *Options
	config *configSource
	hosts  *discovery.Watcher
}

// Status returns the node's view.
func (s *statusSource) Status(context.Context) (*operators.Status, error) {
	st := &operators.Status{Node: string(s.opts.ID), DataCentre: string(s.opts.DataCentre)}
	if cfg := s.config.Current(); cfg != nil {
		st.Revision = int64(cfg.Revision)
	}
	for _, h := range s.hosts.Hosts() {
		for _, e := range h.Endpoints {
			st.Endpoints = append(st.Endpoints, operators.Endpoint{
				Endpoint: string(e.ID), Host: string(h.Host), DataCentre: string(h.DataCentre),
				Service: string(e.Service), Version: string(e.Version), State: operators.EndpointState(h.State),
			})
		}
	}
	return st, nil
}

// Moves returns nothing yet.
func (s *statusSource) Moves(context.Context) ([]operators.Move, error) { return nil, nil }
