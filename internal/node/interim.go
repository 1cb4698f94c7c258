package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/discovery"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/handover"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platform"
	"github.com/jujubeshed/jujubeshed/internal/route"
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

// shares gives all work to the configured version.
type shares struct{ config entry.ConfigSource }

// Shares returns the one version of the service.
func (s shares) Shares(service ident.Service) []route.Share {
	cfg := s.config.Current()
	if cfg == nil {
		return nil
	}
	return []route.Share{{Version: cfg.Services[service].Version, Weight: 1}}
}

type openGate struct{}

// Acquire admits every request.
func (openGate) Acquire(context.Context, *entry.Request) (func(), error) { return func() {}, nil }

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
