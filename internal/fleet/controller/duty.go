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
	// drainDelay is the maximum time until a drain has reached all nodes.
	drainDelay = 10 * time.Second
	// drainDeadline is the time after the start of a drain at which requests that are
	// still on the host are to be migrated.
	drainDeadline = time.Hour
	// plannerLeaseTime is how long the planner assumes the lease to be held after each
	// step. The lease itself is checked before every action.
	plannerLeaseTime = 10 * time.Second
	// callTimeout limits the time of a call to the platform.
	callTimeout = 3 * time.Second
)

// leaseStatus reports whether the lease is held; *holder.Holder implements it.
type leaseStatus interface {
	Held() (ident.Epoch, bool)
	Settled() bool
}

// duty buys and releases the hosts of one service while the lease is held. Its
// steps run in one goroutine.
type duty struct {
	opts        *Options
	service     ident.Service
	log         *slog.Logger
	leaseStatus leaseStatus
	planner     *fleet.Planner
	config      config.Service
	prober      *prober

	leaseHeld     bool
	epoch         ident.Epoch
	hosts         []platformapi.HostInfo // listed hosts of the service
	sharedHosts   map[ident.Host]bool    // true if the host runs another service too
	slots         map[ident.Host]fleet.Slot
	drainMarkedAt map[ident.Host]time.Time // when this node first marked the drain

	mu struct {
		sync.Mutex
		status    fleet.Status
		leaseHeld bool
		errorText string // why the last step made no decision; empty if it made one
	}
}

func newDuty(opts *Options, service ident.Service, status leaseStatus) *duty {
	return &duty{
		opts: opts, service: service, leaseStatus: status,
		log:           opts.Log.With("service", string(service)),
		prober:        newProber(opts.Engines),
		sharedHosts:   make(map[ident.Host]bool),
		drainMarkedAt: make(map[ident.Host]time.Time),
	}
}

// step observes the service once and executes the resulting actions.
func (d *duty) step(ctx context.Context, svc config.Service) {
	now := d.opts.Now()
	d.configure(svc)
	if err := d.opts.Publish(now, d.service); err != nil {
		d.log.Warn("fleet: Demand counters can't be published.", "error", err)
	}
	if !d.updateLease(now) {
		d.opts.Demand.Rates(now, d.service) // samples the demand so that it is known once the lease is held
		d.updateStatus(now, nil)
		return
	}
	obs, err := d.observe(ctx, now, svc)
	if err == nil {
		d.markDrains(now)
		d.execute(ctx, d.planner.Observe(now, obs))
	}
	d.updateStatus(now, err)
}

// configure creates a new planner if the settings have changed. The stored plan stays.
func (d *duty) configure(svc config.Service) {
	if d.planner != nil && reflect.DeepEqual(svc, d.config) {
		return
	}
	d.config = svc
	d.planner = fleet.New(plannerOptions(svc))
}

// updateLease passes the lease to the planner and reports whether it is held.
func (d *duty) updateLease(now time.Time) bool {
	epoch, held := d.leaseStatus.Held()
	if !held {
		d.leaseHeld = false
		clear(d.drainMarkedAt)
		d.planner.SetLease(0, time.Time{})
		return false
	}
	if d.epoch != epoch {
		clear(d.drainMarkedAt)
	}
	d.leaseHeld, d.epoch = true, epoch
	d.planner.SetLease(epoch, now.Add(plannerLeaseTime))
	return true
}

// holdsLease reports whether the lease of this step is still held.
func (d *duty) holdsLease() bool {
	epoch, held := d.leaseStatus.Held()
	return held && epoch == d.epoch
}

// markDrains informs all nodes of the drains in the committed plan. It repeats the
// marks at each step because nodes expire old ones.
func (d *duty) markDrains(now time.Time) {
	for h := range d.drainMarkedAt {
		if _, planned := d.slots[h]; !planned {
			delete(d.drainMarkedAt, h)
		}
	}
	for _, h := range d.hosts {
		s := d.slots[h.Host]
		if s.State != fleet.SlotDraining || !d.holdsLease() {
			continue
		}
		if _, known := d.drainMarkedAt[h.Host]; !known {
			d.drainMarkedAt[h.Host] = now
		}
		for _, e := range h.Endpoints {
			for _, m := range d.opts.Marks {
				m.MarkEndpoint(e.ID, endpoint.LeavingState{Leaving: true, Incarnation: h.Incarnation, Deadline: s.Since.Add(drainDeadline)})
			}
		}
	}
}

// execute runs actions, including the further actions that result from them.
func (d *duty) execute(ctx context.Context, actions []fleet.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if !d.holdsLease() || ctx.Err() != nil {
			d.planner.SaveFailed() // a pending save was not sent
			return
		}
		actions = append(actions, d.executeAction(ctx, a)...)
	}
}

func (d *duty) executeAction(ctx context.Context, action fleet.Action) []fleet.Action {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	switch a := action.(type) {
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
	d.countAction("load", err)
	if err != nil {
		d.log.Warn("fleet: Plan can't be read.", "error", err)
		return
	}
	d.planner.Loaded(plan, version)
}

func (d *duty) save(ctx context.Context, a fleet.Save) []fleet.Action {
	version, err := d.putPlan(ctx, a)
	d.countAction("save", err)
	if err != nil || !d.holdsLease() {
		if err != nil && !errors.Is(err, platformapi.ErrConflict) {
			d.log.Warn("fleet: Plan can't be saved.", "error", err)
		}
		d.planner.SaveFailed()
		return nil
	}
	return d.planner.Saved(d.opts.Now(), version)
}

func (d *duty) putPlan(ctx context.Context, a fleet.Save) (platformapi.Version, error) {
	raw, err := encodePlan(a.Plan)
	if err != nil {
		return 0, err
	}
	return d.opts.Store.Put(ctx, planKey(d.service), raw, a.Expect)
}

func (d *duty) buy(ctx context.Context, a fleet.Buy) {
	host, err := d.opts.Cloud.Buy(ctx, a.Request)
	d.countAction("buy", err)
	switch {
	case err == nil:
		d.log.Info("fleet: Host bought.", "host", string(host), "data_centre", string(a.Request.DataCentre), "reason", a.Reason)
		d.planner.Bought(a.Slot, host)
	case errors.IsAny(err, platformapi.ErrRefused, platformapi.ErrBadRequest):
		d.log.Info("fleet: Purchase refused.", "data_centre", string(a.Request.DataCentre), "reclaimable", a.Request.Reclaimable, "error", err)
		d.planner.Refused(d.opts.Now(), a.Slot)
	default:
		d.log.Warn("fleet: Outcome of a purchase is not known; will retry with the same token.", "token", a.Request.Token, "error", err)
	}
}

func (d *duty) release(ctx context.Context, a fleet.Release) {
	err := d.opts.Cloud.Release(ctx, a.Host)
	d.countAction("release", err)
	if err != nil {
		d.log.Warn("fleet: Host can't be released; will retry.", "host", string(a.Host), "error", err)
		return
	}
	d.log.Info("fleet: Host released.", "host", string(a.Host), "reason", a.Reason)
	d.planner.Released(a.Slot)
}

// order sends the engines of a new host the version to serve. Engines that don't check
// the fencing token get no order while orders of former holders may still arrive.
func (d *duty) order(ctx context.Context, a fleet.Order) {
	if !d.config.ChecksFence && !d.leaseStatus.Settled() {
		return
	}
	for _, h := range d.hosts {
		if h.Host != a.Host {
			continue
		}
		for _, e := range h.Endpoints {
			_, err := d.opts.Engines.Order(ctx, e.Address, a.Order)
			d.countAction("order", err)
			if err != nil {
				d.log.Warn("fleet: Engine did not accept an order.", "endpoint", string(e.ID), "error", err)
			}
		}
	}
}

func (d *duty) countAction(action string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	d.opts.Metrics.actions.WithLabelValues(string(d.service), action, result).Inc()
}

// updateStatus stores the status for operators. It logs err only if the previous step
// had no error.
func (d *duty) updateStatus(now time.Time, err error) {
	status := d.planner.Status(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil && d.mu.errorText == "" {
		d.log.Warn("fleet: Purchases and releases are suspended.", "error", err)
	}
	d.updateGauges(status)
	d.mu.status, d.mu.leaseHeld, d.mu.errorText = status, d.leaseHeld, ""
	if err != nil {
		d.mu.errorText = err.Error()
	}
}

// updateGauges sets the host gauges of the service, or removes them if the lease is not
// held.
func (d *duty) updateGauges(status fleet.Status) {
	gauge := d.opts.Metrics.hosts
	gauge.DeletePartialMatch(prometheus.Labels{"service": string(d.service)})
	if !d.leaseHeld {
		return
	}
	for _, c := range countHosts(status.Slots) {
		gauge.WithLabelValues(string(d.service), string(c.DataCentre), "starting").Set(float64(c.Starting))
		gauge.WithLabelValues(string(d.service), string(c.DataCentre), "ready").Set(float64(c.Ready))
		gauge.WithLabelValues(string(d.service), string(c.DataCentre), "draining").Set(float64(c.Draining))
	}
}

// lastStatus returns the status after the last step, why it made no decision if it made
// none, and whether this node held the lease.
func (d *duty) lastStatus() (st fleet.Status, reason string, held bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mu.status, d.mu.errorText, d.mu.leaseHeld
}
