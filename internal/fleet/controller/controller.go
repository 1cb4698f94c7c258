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

// Name is the controller's name in the kernel's service registry.
const Name kernel.Name = "fleet"

// Marks informs nodes that an endpoint gets no new requests.
type Marks interface {
	MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState)
}

// Options are the settings of a Controller.
type Options struct {
	Self  lease.Owner
	Store platformapi.Store
	Cloud platformapi.Cloud
	Hosts platformapi.Hosts
	// Engines reads the load and state of engines and sends them orders.
	Engines Engines
	Demand  Demand
	// Publish shares this node's demand counters of a service with the other nodes. It is
	// called at each step of each service, on every node. Optional.
	Publish func(now time.Time, s ident.Service) error
	// Marks are notified of drains; together they must inform every node within seconds.
	Marks []Marks
	// Config returns the current configuration, or nil if there is none yet.
	Config func() *config.Config
	// Members returns the live nodes of this data centre, this one included.
	Members func() []ident.NodeID
	// Version returns the version that new hosts of a service load. Default: its
	// configured version.
	Version func(config.Service) ident.Version
	// Interval is the time between two steps of a service. Default: 5s.
	Interval time.Duration
	// UnreachableTimeout is how long a draining host must have been unreachable before
	// its requests count as ended. It must be longer than any request may last.
	// Default: 15m.
	UnreachableTimeout time.Duration
	Lease              lease.Options
	// LeaseMetrics are the metrics of the leases; optional.
	LeaseMetrics *holder.Metrics
	// Metrics is optional.
	Metrics *Metrics
	// Log is optional.
	Log *slog.Logger
	// Now returns the current time. Default: time.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.Version == nil {
		o.Version = func(s config.Service) ident.Version { return s.Version }
	}
	if o.Interval == 0 {
		o.Interval = 5 * time.Second
	}
	if o.UnreachableTimeout == 0 {
		o.UnreachableTimeout = 15 * time.Minute
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
			Name: "fleet_actions_total", Help: "Actions of the lease holder by result.",
		}, []string{"service", "action", "result"}),
		hosts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "fleet_hosts", Help: "Hosts of the plans whose lease this node holds.",
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
		duties map[ident.Service]*runningDuty
	}
}

// runningDuty is a duty with the goroutine that runs it.
type runningDuty struct {
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
	c.mu.duties = make(map[ident.Service]*runningDuty)
	return c, nil
}

// Start runs the duties in the background.
func (c *Controller) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
	return nil
}

// Stop ends the duties and releases their leases.
func (c *Controller) Stop(context.Context) error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	<-c.done
	return nil
}

// run starts and ends duties as the configuration requires.
func (c *Controller) run(ctx context.Context) {
	defer close(c.done)
	tick := time.NewTicker(c.opts.Interval)
	defer tick.Stop()
	for {
		c.setServices(ctx, c.fleetServices())
		select {
		case <-ctx.Done():
			c.setServices(ctx, nil)
			return
		case <-tick.C:
		}
	}
}

// fleetServices returns the services that have a fleet block.
func (c *Controller) fleetServices() []ident.Service {
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

// setServices starts and ends duties so that exactly those of the given services run.
func (c *Controller) setServices(ctx context.Context, services []ident.Service) {
	c.mu.Lock()
	var removed []*runningDuty
	for s, r := range c.mu.duties {
		if !slices.Contains(services, s) {
			removed = append(removed, r)
			delete(c.mu.duties, s)
		}
	}
	for _, s := range services {
		if c.mu.duties[s] == nil {
			c.mu.duties[s] = c.startDuty(ctx, s)
		}
	}
	c.mu.Unlock()
	for _, r := range removed {
		r.cancel()
	}
	for _, r := range removed {
		<-r.done
	}
}

func (c *Controller) startDuty(ctx context.Context, s ident.Service) *runningDuty {
	ctx, cancel := context.WithCancel(ctx)
	candidate := newCandidacy(&c.opts, s)
	r := &runningDuty{duty: newDuty(&c.opts, s, candidate), candidacy: candidate, cancel: cancel, done: make(chan struct{})}
	go c.runDuty(ctx, r)
	return r
}

// runDuty steps a duty until ctx ends, then releases its lease.
func (c *Controller) runDuty(ctx context.Context, r *runningDuty) {
	defer close(r.done)
	tick := time.NewTicker(c.opts.Interval)
	defer tick.Stop()
	for ctx.Err() == nil {
		r.candidacy.setCandidate(c.isCandidate(r.service))
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

// isCandidate reports whether this node is its data centre's candidate for the lease of
// a service.
func (c *Controller) isCandidate(s ident.Service) bool {
	return lease.Rank(leaseName(s), c.opts.Self.Node, c.opts.Members()) == 0
}
