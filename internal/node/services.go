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

// stopFunc is a service that only has to be stopped.
type stopFunc func()

var _ kernel.Stopper = stopFunc(nil)

// Stop calls f.
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

// Drain waits until all outcomes are recorded, for at most ledgerDrainTimeout.
func (l ledgerService) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ledgerDrainTimeout)
	defer cancel()
	return l.Committer.Drain(ctx)
}

// Stop stops the ledger.
func (l ledgerService) Stop(context.Context) error {
	l.Committer.Stop()
	return nil
}

// ledgerDrainTimeout is the maximum time a drain waits for outcomes to be recorded.
const ledgerDrainTimeout = 10 * time.Second

// configService runs a configuration syncer as a service.
type configService struct {
	*syncer.Syncer
	cancel context.CancelFunc
	done   chan struct{}
}

var _ entry.ConfigSource = (*configService)(nil)

func newConfigService(s *syncer.Syncer) *configService {
	return &configService{Syncer: s, done: make(chan struct{})}
}

// Start starts following the configuration in the background.
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

// Stop stops the syncer.
func (c *configService) Stop(context.Context) error {
	c.cancel()
	<-c.done
	return nil
}

// admission admits requests through the gate and counts the demand.
type admission struct {
	gate   *gate.Gate
	demand *controller.Meter
}

var _ entry.Gate = admission{}

// Acquire waits until the request is admitted. It returns the function that releases
// the request's slot.
func (a admission) Acquire(ctx context.Context, r *entry.Request) (func(), error) {
	release, err := a.gate.Acquire(ctx, admit.Request{
		Workspace: r.Workspace,
		Class:     r.Route.Class,
		Service:   r.Service.Name,
		Deadline:  r.Deadline,
	})
	// Requests beyond the workspace's own limits don't count as demand.
	if err == nil || verdict.From(err).Code != verdict.CodeLimited {
		a.demand.Request(r.Service.Name)
	}
	return release, err
}

// capacityInterval is the time between two updates of the gate's capacity.
const capacityInterval = 200 * time.Millisecond

// capacityUpdater sets the gate's capacity to this node's share of the slots of each
// service.
type capacityUpdater struct {
	gate     *gate.Gate
	balancer *balancer.Balancer
	config   entry.ConfigSource
}

// update sets the gate's current capacity. A service without endpoints keeps one slot,
// so that its requests are refused by the balancer instead of waiting at the gate.
func (u *capacityUpdater) update() {
	cfg := u.config.Current()
	if cfg == nil {
		return
	}
	for name := range cfg.Services {
		u.gate.SetCapacity(name, max(1, u.balancer.Slots(name)))
	}
}

// servableShare returns the share of a service's requests that the ready endpoints of
// a version can serve: their slots, less slotReserve, divided by the number of
// requests running on all versions. It is the full share if the running requests fit
// in these slots, and zero if there are no slots.
func (u *capacityUpdater) servableShare(service ident.Service, version ident.Version) move.Share {
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

// slotReserve is the fraction of a version's slots that a move leaves free for load
// increases and for the loss of a data centre.
const slotReserve = 0.3
