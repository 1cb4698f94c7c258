package controller

import (
	"context"
	"log/slog"
	"reflect"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

const (
	// drainDelay is how long all nodes may take to hear of a drain.
	drainDelay = 10 * time.Second
	// drainFor is when work on a drained host is to be moved elsewhere.
	drainFor = time.Hour
	// leaseMargin is how long the planner counts on a lease it has just been told of.
	// The lease itself is asked before each act.
	leaseMargin = 10 * time.Second
	// callTimeout bounds a call to the platform.
	callTimeout = 3 * time.Second
)

// right is the right to act; *holder.Holder implements it.
type right interface {
	Held() (ident.Epoch, bool)
	Settled() bool
}

// duty buys and releases the hosts of one service while the lease is held. Its
// steps run in one goroutine.
type duty struct {
	opts     *Options
	service  ident.Service
	log      *slog.Logger
	right    right
	planner  *fleet.Planner
	settings config.Service
	prober   *prober

	held   bool
	epoch  ident.Epoch
	listed []platformapi.HostInfo
	shared map[ident.Host]bool // runs another service too
	slots  map[ident.Host]fleet.Slot
	drains map[ident.Host]time.Time // marked here since

	mu struct {
		sync.Mutex
		status fleet.Status
		held   bool
		reason string // why nothing was decided; empty where something was
	}
}

func newDuty(opts *Options, service ident.Service, r right) *duty {
	return &duty{
		opts: opts, service: service, right: r,
		log:    opts.Log.With("service", string(service)),
		prober: newProber(opts.Engines),
		shared: make(map[ident.Host]bool),
		drains: make(map[ident.Host]time.Time),
	}
}

// step observes, decides and acts once.
func (d *duty) step(ctx context.Context, svc config.Service) {
	now := d.opts.Now()
	d.configure(svc)
	if err := d.opts.Publish(now, d.service); err != nil {
		d.log.Warn("fleet: Demand can't be shared.", "error", err)
	}
	if !d.renew(now) {
		d.opts.Demand.Rates(now, d.service) // so that the demand is known once the lease is held
		d.report(now, nil)
		return
	}
	obs, err := d.observe(ctx, now, svc)
	if err == nil {
		d.markDrains(now)
		d.execute(ctx, d.planner.Observe(now, obs))
	}
	d.report(now, err)
}

// configure begins anew where the settings have changed. The plan is kept.
func (d *duty) configure(svc config.Service) {
	if d.planner != nil && reflect.DeepEqual(svc, d.settings) {
		return
	}
	d.settings = svc
	d.planner = fleet.New(plannerOptions(svc))
}

// renew tells the planner of the lease, and returns whether it is held.
func (d *duty) renew(now time.Time) bool {
	epoch, held := d.right.Held()
	if !held {
		d.held = false
		clear(d.drains)
		d.planner.SetLease(0, time.Time{})
		return false
	}
	if d.epoch != epoch {
		clear(d.drains)
	}
	d.held, d.epoch = true, epoch
	d.planner.SetLease(epoch, now.Add(leaseMargin))
	return true
}

// mayAct reports whether the lease of this step is still held.
func (d *duty) mayAct() bool {
	epoch, held := d.right.Held()
	return held && epoch == d.epoch
}

// markDrains tells all nodes of the drains of the committed plan. Marks are
// repeated, as nodes forget old ones.
func (d *duty) markDrains(now time.Time) {
	for h := range d.drains {
		if _, held := d.slots[h]; !held {
			delete(d.drains, h)
		}
	}
	for _, h := range d.listed {
		s := d.slots[h.Host]
		if s.State != fleet.SlotDraining || !d.mayAct() {
			continue
		}
		if _, known := d.drains[h.Host]; !known {
			d.drains[h.Host] = now
		}
		for _, e := range h.Endpoints {
			for _, m := range d.opts.Marks {
				m.MarkEndpoint(e.ID, endpoint.LeavingState{Leaving: true, Incarnation: h.Incarnation, Deadline: s.Since.Add(drainFor)})
			}
		}
	}
}

// execute carries actions out, those that they lead to included.
func (d *duty) execute(ctx context.Context, actions []fleet.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if !d.mayAct() || ctx.Err() != nil {
			d.planner.SaveFailed() // a save that was due did not take place
			return
		}
		actions = append(actions, d.do(ctx, a)...)
	}
}

func (d *duty) do(ctx context.Context, a fleet.Action) []fleet.Action {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := a.(type) {
	case fleet.Load:
		d.load(ctx)
	case fleet.Save:
		return d.save(ctx, a)
	case fleet.Buy:
		d.buy(ctx, a)
	case fleet.Release:
		d.release(ctx, a)
	case fleet.Order:
		d.order(ctx, a)
	}
	return nil
}

func (d *duty) load(ctx context.Context) {
	plan, version, err := loadPlan(ctx, d.opts.Store, d.service)
	d.count("load", err)
	if err != nil {
		d.log.Warn("fleet: Plan can't be read.", "error", err)
		return
	}
	d.planner.Loaded(plan, version)
}

func (d *duty) save(ctx context.Context, a fleet.Save) []fleet.Action {
	version, err := d.put(ctx, a)
	d.count("save", err)
	if err != nil || !d.mayAct() {
		if err != nil && !errors.Is(err, platformapi.ErrConflict) {
			d.log.Warn("fleet: Plan can't be saved.", "error", err)
		}
		d.planner.SaveFailed()
		return nil
	}
	return d.planner.Saved(d.opts.Now(), version)
}

func (d *duty) put(ctx context.Context, a fleet.Save) (platformapi.Version, error) {
	raw, err := encodePlan(a.Plan)
	if err != nil {
		return 0, err
	}
	return d.opts.Store.Put(ctx, planKey(d.service), raw, a.Expect)
}

func (d *duty) buy(ctx context.Context, a fleet.Buy) {
	host, err := d.opts.Cloud.Buy(ctx, a.Request)
	d.count("buy", err)
	switch {
	case err == nil:
		d.log.Info("fleet: Host bought.", "host", string(host), "data_centre", string(a.Request.DataCentre), "reason", a.Reason)
		d.planner.Bought(a.Slot, host)
	case errors.IsAny(err, platformapi.ErrRefused, platformapi.ErrBadRequest):
		d.log.Info("fleet: Purchase refused.", "data_centre", string(a.Request.DataCentre), "reclaimable", a.Request.Reclaimable, "error", err)
		d.planner.Refused(d.opts.Now(), a.Slot)
	default:
		d.log.Warn("fleet: Outcome of a purchase is not known, same token goes out again.", "token", a.Request.Token, "error", err)
	}
}

func (d *duty) release(ctx context.Context, a fleet.Release) {
	err := d.opts.Cloud.Release(ctx, a.Host)
	d.count("release", err)
	if err != nil {
		d.log.Warn("fleet: Host can't be released, goes on trying.", "host", string(a.Host), "error", err)
		return
	}
	d.log.Info("fleet: Host released.", "host", string(a.Host), "reason", a.Reason)
	d.planner.Released(a.Slot)
}

// order sends a fresh host's engines what to serve. Engines that don't check the
// fencing number get none while orders of former holders may still arrive.
func (d *duty) order(ctx context.Context, a fleet.Order) {
	if !d.settings.ChecksFence && !d.right.Settled() {
		return
	}
	for _, h := range d.listed {
		if h.Host != a.Host {
			continue
		}
		for _, e := range h.Endpoints {
			_, err := d.opts.Engines.Order(ctx, e.Address, a.Order)
			d.count("order", err)
			if err != nil {
				d.log.Warn("fleet: Order is not obeyed.", "endpoint", string(e.ID), "error", err)
			}
		}
	}
}

func (d *duty) count(action string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.opts.Metrics.actions.WithLabelValues(string(d.service), action, result).Inc()
}

// report keeps what operators are told.
func (d *duty) report(now time.Time, err error) {
	st := d.planner.Status(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && d.mu.reason == "" {
		d.log.Warn("fleet: Nothing is bought or released.", "error", err)
	}
	d.gauge(st)
	d.mu.status, d.mu.held, d.mu.reason = st, d.held, ""
	if err != nil {
		d.mu.reason = err.Error()
	}
}

// gauge shows the hosts of a plan that is held here.
func (d *duty) gauge(st fleet.Status) {
	g := d.opts.Metrics.hosts
	g.DeletePartialMatch(prometheus.Labels{"service": string(d.service)})
	if !d.held {
		return
	}
	for _, c := range countHosts(st.Slots) {
		g.WithLabelValues(string(d.service), string(c.DataCentre), "starting").Set(float64(c.Starting))
		g.WithLabelValues(string(d.service), string(c.DataCentre), "ready").Set(float64(c.Ready))
		g.WithLabelValues(string(d.service), string(c.DataCentre), "draining").Set(float64(c.Draining))
	}
}

// lastStatus returns what the last step knew; false where this node doesn't hold the lease.
func (d *duty) lastStatus() (st fleet.Status, reason string, held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.status, d.mu.reason, d.mu.held
}
