package controller

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/lease/holder"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Name is the service's name in a registry.
const Name kernel.Name = "fleet"

// Marks tells nodes that an endpoint gets no new work.
type Marks interface {
	MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState)
}

// Options are the settings of a Controller.
type Options struct {
	Self  lease.Owner
	Store platformapi.Store
	Cloud platformapi.Cloud
	Hosts platformapi.Hosts
	// Engines are read, and ordered what to load.
	Engines Engines
	Demand  Demand
	// Publish shares what this node knows of a service's demand. It is called at
	// each step of each service, on every node. Optional.
	Publish func(now time.Time, s ident.Service) error
	// Marks are told of drains; together they must reach every node within seconds.
	Marks []Marks
	// Config returns the configuration in force; nil for none yet.
	Config func() *config.Config
	// Members returns the live nodes of this data centre, this one included.
	Members func() []ident.NodeID
	// Version returns what new hosts of a service load. Default: its configured version.
	Version func(config.Service) ident.Version
	// Interval between two steps of a service. Default: 5s.
	Interval time.Duration
	// AbandonAfter is how long a draining host must have been out of reach before
	// its requests count as ended. It must be longer than any request lasts.
	// Default: 15m.
	AbandonAfter time.Duration
	Lease        lease.Options
	// Leases has the metrics of the leases; optional.
	Leases *holder.Metrics
	// Metrics is optional.
	Metrics *Metrics
	// Log is optional.
	Log *slog.Logger
	// Now is the clock. Default: time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Version == nil {
		o.Version = func(s config.Service) ident.Version { return s.Version }
	}
	if o.Interval == 0 {
		o.Interval = 5 * time.Second
	}
	if o.AbandonAfter == 0 {
		o.AbandonAfter = 15 * time.Minute
	}
	if o.Publish == nil {
		o.Publish = func(time.Time, ident.Service) error { return nil }
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Metrics are the metrics of a node's fleet duties.
type Metrics struct {
	actions *prometheus.CounterVec
	hosts   *prometheus.GaugeVec
}

// NewMetrics registers the metrics with reg, which may be nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		actions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "fleet_actions_total", Help: "Actions of the holder by result.",
		}, []string{"service", "action", "result"}),
		hosts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fleet_hosts", Help: "Hosts of the plans held here.",
		}, []string{"service", "data_centre", "state"}),
	}
	if reg != nil {
		reg.MustRegister(m.actions, m.hosts)
	}
	return m
}

// Controller runs the fleet duties of a node.
type Controller struct {
	opts Options

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		duties map[ident.Service]*running
	}
}

// running is a duty with its goroutine.
type running struct {
	*duty
	candidacy *candidacy
	cancel    context.CancelFunc
	done      chan struct{}
}

var (
	_ kernel.Starter = (*Controller)(nil)
	_ kernel.Stopper = (*Controller)(nil)
)

// New returns a controller, or an error for lease options that are not safe.
func New(opts Options) (*Controller, error) {
	if err := opts.Lease.WithDefaults().Validate(); err != nil {
		return nil, err
	}
	c := &Controller{opts: opts.withDefaults(), done: make(chan struct{})}
	c.mu.duties = make(map[ident.Service]*running)
	return c, nil
}

// Start runs the duties in the background.
func (c *Controller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// Stop ends the duties and gives their leases up.
func (c *Controller) Stop(context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	<-c.done
	return nil
}

// run starts and ends duties as the configuration says.
func (c *Controller) run(ctx context.Context) {
	defer close(c.done)
	tick := time.NewTicker(c.opts.Interval)
	defer tick.Stop()
	for {
		c.follow(ctx, c.wanted())
		select {
		case <-ctx.Done():
			c.follow(ctx, nil)
			return
		case <-tick.C:
		}
	}
}

// wanted returns the services that have a fleet block.
func (c *Controller) wanted() []ident.Service {
	cfg := c.opts.Config()
	if cfg == nil {
		return nil
	}
	var out []ident.Service
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		if cfg.Services[name].Fleet != nil {
			out = append(out, name)
		}
	}
	return out
}

// follow runs the duties of exactly these services.
func (c *Controller) follow(ctx context.Context, wanted []ident.Service) {
	c.mu.Lock()
	var ending []*running
	for s, r := range c.mu.duties {
		if !slices.Contains(wanted, s) {
			ending = append(ending, r)
			delete(c.mu.duties, s)
		}
	}
	for _, s := range wanted {
		if c.mu.duties[s] == nil {
			c.mu.duties[s] = c.begin(ctx, s)
		}
	}
	c.mu.Unlock()
	for _, r := range ending {
		r.cancel()
	}
	for _, r := range ending {
		<-r.done
	}
}

func (c *Controller) begin(ctx context.Context, s ident.Service) *running {
	ctx, cancel := context.WithCancel(ctx)
	can := newCandidacy(&c.opts, s)
	r := &running{duty: newDuty(&c.opts, s, can), candidacy: can, cancel: cancel, done: make(chan struct{})}
	go c.serve(ctx, r)
	return r
}

// serve steps a duty until ctx ends, then gives its lease up.
func (c *Controller) serve(ctx context.Context, r *running) {
	defer close(r.done)
	tick := time.NewTicker(c.opts.Interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		r.candidacy.follow(c.first(r.service))
		if cfg := c.opts.Config(); cfg != nil && cfg.Services[r.service].Fleet != nil {
			r.step(ctx, cfg.Services[r.service])
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	r.candidacy.stop()
}

// first tells whether this node is its data centre's candidate for a service.
func (c *Controller) first(s ident.Service) bool {
	return lease.Rank(leaseName(s), c.opts.Self.Node, c.opts.Members()) == 0
}
