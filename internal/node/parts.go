package node

import (
	"context"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/admit"
	"github.com/jujubeshed/jujubeshed/internal/admit/gate"
	"github.com/jujubeshed/jujubeshed/internal/config/syncer"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/fleet/controller"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/route/balancer"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// stopFunc is a service that only needs to be stopped.
type stopFunc func()

var _ kernel.Stopper = stopFunc(nil)

// Stop ends the service.
func (f stopFunc) Stop(context.Context) error {
	f()
	return nil
}

// ledgerService drains and stops the ledger.
type ledgerService struct{ *committer.Committer }

var (
	_ kernel.Drainer = ledgerService{}
	_ kernel.Stopper = ledgerService{}
)

// Drain waits until every outcome is recorded, within the ledger's bound.
func (l ledgerService) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerDrainTimeout)
	defer cancel()
	return l.Committer.Drain(ctx)
}

// Stop ends the ledger.
func (l ledgerService) Stop(context.Context) error {
	l.Committer.Stop()
	return nil
}

// ledgerDrainTimeout bounds the wait for outcomes to be recorded at a stop.
const ledgerDrainTimeout = 10 * time.Second

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
type admission struct {
	gate   *gate.Gate
	demand *controller.Meter
}

var _ entry.Gate = admission{}

// Acquire waits until the request is admitted.
func (a admission) Acquire(ctx context.Context, r *entry.Request) (func(), error) {
	release, err := a.gate.Acquire(ctx, admit.Request{
		Workspace: r.Workspace,
		Class:     r.Route.Class,
		Service:   r.Service.Name,
		Deadline:  r.Deadline,
	})
	// What a workspace sends beyond its own limits is no demand.
	if err == nil || verdict.From(err).Code != verdict.CodeLimited {
		a.demand.Request(r.Service.Name)
	}
	return release, err
}

// capacityInterval is the time between two updates of the gate's capacity.
const capacityInterval = 200 * time.Millisecond

// capacityUpdater gives the gate this node's part of each service's free slots.
type capacityUpdater struct {
	gate     *gate.Gate
	balancer *balancer.Balancer
	config   entry.ConfigSource
}

// update gives the gate the present capacity. A service without endpoints keeps
// one slot, so that its requests get the balancer's refusal and not a wait.
func (u *capacityUpdater) update() {
	cfg := u.config.Current()
	if cfg == nil {
		return
	}
	for name := range cfg.Services {
		u.gate.SetCapacity(name, max(1, u.balancer.Slots(name)))
	}
}

// of returns the share of a service's requests that the ready endpoints of a
// version can take: their slots, less a reserve, over the requests running on all
// versions. An idle service's requests all fit.
func (u *capacityUpdater) of(service ident.Service, version ident.Version) move.Share {
	var slots, running float64
	for _, v := range u.balancer.Usage(service) {
		running += v.Running
		if v.Version == version {
			slots = v.Slots
		}
	}
	usable := slots * (1 - slotReserve)
	if slots == 0 || running <= usable {
		return move.FullShare * move.Share(min(slots, 1))
	}
	return move.Share(usable / running * float64(move.FullShare))
}

// slotReserve is the part of a version's slots that a move leaves free, for a rise
// of the load and for the loss of a data centre.
const slotReserve = 0.3
