package node

import (
	"context"
	"sync"

	"github.com/jujubeshed/jujubeshed/internal/admit"
	"github.com/jujubeshed/jujubeshed/internal/admit/gate"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
)

// stopFunc is a service that only needs to be stopped.
type stopFunc func()

var _ kernel.Stopper = stopFunc(nil)

// Stop ends the service.
func (f stopFunc) Stop(context.Context) error {
	f()
	return nil
}

// configService runs a syncer.
type configService struct {
	*syncer.Syncer
	cancel context.CancelFunc
	done   chan struct{}
}

var _ entry.ConfigSource = (*configService)(nil)

func newConfigService(s *syncer.Syncer) *configService {
	return &configService{Syncer: s, done: make(chan struct{})}
}

// Start follows the configuration in the background.
func (c *configService) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.SetWatching(true)
	go func() {
		defer close(c.done)
		_ = c.Run(ctx) // ends only with ctx
	}()
	return nil
}

// Stop ends the syncer.
func (c *configService) Stop(context.Context) error {
	c.cancel()
	<-c.done
	return nil
}

// admission lets the entry's requests through the gate.
type admission struct{ gate *gate.Gate }

var _ entry.Gate = admission{}

// Acquire waits until the request is admitted.
func (a admission) Acquire(ctx context.Context, r *entry.Request) (func(), error) {
	return a.gate.Acquire(ctx, admit.Request{
		Workspace: r.Workspace,
		Class:     r.Route.Class,
		Service:   r.Service.Name,
		Deadline:  r.Deadline,
	})
}

// overcommit is how far all nodes' capacities together exceed the endpoints'
// slots, so that uneven arrivals leave none idle. The rest waits at endpoints.
const overcommit = 1.5

// capacityUpdater gives the gate this node's share of each service's slots.
type capacityUpdater struct {
	gate     *gate.Gate
	balancer *balancer.Balancer
	config   entry.ConfigSource

	mu struct {
		sync.Mutex
		live int // nodes, this one included; zero before the first membership
	}
}

// setLive takes the number of live nodes.
func (u *capacityUpdater) setLive(n int) {
	u.mu.Lock()
	u.mu.live = n
	u.mu.Unlock()
	u.update()
}

// update gives the gate the present shares.
func (u *capacityUpdater) update() {
	cfg := u.config.Current()
	if cfg == nil {
		return
	}
	u.mu.Lock()
	live := max(u.mu.live, 1)
	u.mu.Unlock()
	u.gate.SetLiveNodes(live)
	for name := range cfg.Services {
		share := float64(u.balancer.Slots(name)) * overcommit / float64(live)
		u.gate.SetCapacity(name, max(1, int(share)))
	}
}

// versions gives all new work of a service to its configured version.
type versions struct{ config entry.ConfigSource }

// Shares returns the versions that may get new work of the service.
func (v versions) Shares(service ident.Service) []route.Share {
	cfg := v.config.Current()
	if cfg == nil {
		return nil
	}
	return []route.Share{{Version: cfg.Services[service].Version, Weight: 1}}
}
