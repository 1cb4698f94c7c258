package fleet

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Observe processes an observation and returns the actions to execute; none without a
// lease. A driver without a fresh host list must not call it, because hosts that are
// not listed count as gone.
func (p *Planner) Observe(now time.Time, obs Observation) []Action {
	p.recordObservation(now, obs)
	if !now.Before(p.leaseUntil) {
		return nil
	}
	if !p.loaded {
		return []Action{Load{}}
	}
	if p.pendingSave != nil {
		return p.dueActions(now)
	}
	if p.plan.Epoch > p.epoch {
		return nil // another holder has taken over
	}
	draft := p.plan.clone()
	draft.Epoch = p.epoch
	p.updateSlots(now, &draft)
	need := p.forecast.need(now, p.opts.leadTime(p.opts.maxStarting()))
	p.scaleUp(now, &draft, need)
	if !obs.Partial {
		p.scaleDown(now, &draft, max(need, p.forecast.peak(now)))
	}
	if !draft.changed(p.plan) {
		return p.dueActions(now)
	}
	p.pendingSave = &draft // before dueActions, which then skips releases of drains that the draft cancels
	return append(p.dueActions(now), Save{Plan: draft.clone(), Expect: p.storedVersion})
}

// recordObservation updates the in-memory state from an observation.
func (p *Planner) recordObservation(now time.Time, obs Observation) {
	elapsed := time.Duration(0)
	if !p.lastObserved.IsZero() {
		elapsed = now.Sub(p.lastObserved)
	}
	if obs.Partial {
		obs.Demand = max(obs.Demand, p.obs.Demand)
	} else {
		p.requestSize.observe(elapsed, obs)
	}
	p.lastObserved, p.obs = now, obs
	p.forecast.observe(now, max(obs.Demand, p.opts.MinDemand))
	clear(p.hosts)
	for _, h := range obs.Hosts {
		p.hosts[h.Host] = h
		p.lastListedAt[h.Host] = now
		delete(p.missingSince, h.Host)
		if h.Ready {
			p.lastReadyAt[h.Host] = now
		}
		if h.Reclaimable {
			p.plan.reclaimRecord(h.DataCentre).HostHours += elapsed.Hours()
		}
	}
	for h := range p.lastListedAt {
		if _, missing := p.missingSince[h]; !missing && p.lastListedAt[h].Before(now) {
			p.missingSince[h] = now
		}
	}
}

// updateSlots applies outcomes to the draft, removes the slots of refused purchases and
// hosts that left, and drains hosts that were not ready in time.
func (p *Planner) updateSlots(now time.Time, draft *Plan) {
	kept := draft.Slots[:0]
	for _, s := range draft.Slots {
		if p.outcomes[s.ID].refused && s.State == SlotWanted || p.hasLeft(now, draft, s) {
			continue
		}
		p.updateSlot(now, &s)
		kept = append(kept, s)
	}
	draft.Slots = kept
}

func (p *Planner) updateSlot(now time.Time, s *Slot) {
	result := p.outcomes[s.ID]
	if s.State == SlotWanted && result.host != "" {
		s.Host = result.host
		s.setState(now, SlotBought, s.Reason)
	}
	if s.State == SlotDraining && result.released {
		s.setState(now, SlotReleased, s.Reason)
	}
	if s.State != SlotBought {
		return
	}
	h, listed := p.hosts[s.Host]
	s.Served = s.Served || listed && h.Ready
	if since := p.unreadySince(*s); now.Sub(since) >= p.opts.ReadyTimeout {
		s.setState(now, SlotDraining, "not ready since "+since.UTC().Format(time.RFC3339))
		p.backOff(now, s.kind())
	}
}

// unreadySince returns when a bought host was last ready, or when it was bought.
func (p *Planner) unreadySince(s Slot) time.Time {
	if at := p.lastReadyAt[s.Host]; at.After(s.Since) {
		return at
	}
	return s.Since
}

// hasLeft reports whether a slot's host is leaving or has left. If the host was
// reclaimed, it records that and starts a backoff.
func (p *Planner) hasLeft(now time.Time, draft *Plan, s Slot) bool {
	since, missing := p.missingSince[s.Host]
	if s.State == SlotReleased && !missing {
		since, missing = s.Since, true
	}
	h, listed := p.hosts[s.Host]
	switch {
	case s.Host == "":
		return false
	case listed && (!h.Leaving || s.State == SlotReleased):
		return false
	case !listed && (!missing || now.Sub(since) < p.opts.ListLag):
		return false
	}
	p.dropHost(s.Host)
	if s.Reclaimable && s.State == SlotBought {
		draft.reclaimRecord(s.DataCentre).Reclaims++
		if until := now.Add(p.opts.Backoff); until.After(p.backoffs[s.kind()].until) {
			p.backoffs[s.kind()] = backoff{until: until}
		}
	}
	return true
}

func (p *Planner) dropHost(h ident.Host) {
	delete(p.lastListedAt, h)
	delete(p.missingSince, h)
	delete(p.lastReadyAt, h)
	delete(p.lastOrderAt, h)
	delete(p.lastReleaseAt, h)
}

// capacityState is what a slot counts as when capacity is summed.
type capacityState int

const (
	stateNone capacityState = iota
	stateStarting
	stateReady
	stateDraining
)

func (p *Planner) stateOf(s Slot) capacityState {
	h, listed := p.hosts[s.Host]
	switch {
	case listed && h.Leaving:
		return stateNone
	case s.State == SlotReleased:
		return stateNone
	case s.State == SlotDraining:
		return stateDraining
	case listed && h.Ready:
		return stateReady
	case s.Served:
		return stateNone
	default:
		return stateStarting
	}
}

// capacity returns the capacity of the draft's slots in the given states plus that of
// ready hosts that have no slot.
func (p *Planner) capacity(draft *Plan, states ...capacityState) capacityByDataCentre {
	out := make(capacityByDataCentre)
	planned := make(map[ident.Host]bool)
	for _, s := range draft.Slots {
		planned[s.Host] = true
		if slices.Contains(states, p.stateOf(s)) {
			out[s.DataCentre] += p.capacityOf(s.kind())
		}
	}
	for _, h := range p.obs.Hosts {
		if !planned[h.Host] && h.Ready && !h.Leaving {
			out[h.DataCentre] += p.capacityOf(offerKind{h.DataCentre, h.Class, h.Reclaimable})
		}
	}
	return out
}

// capacityOf returns the rate at which a host of a kind keeps the target. A kind that
// is no longer offered has the capacity of its class elsewhere.
func (p *Planner) capacityOf(k offerKind) float64 {
	for _, o := range p.obs.Offers {
		if o.Class == k.Class {
			return o.Performance.RequestsPerSec(p.opts.Target, p.requestSize.mean())
		}
	}
	return 0
}

// guaranteedCapacity returns the capacity left after the loss of the largest data
// centre, or the total if all offers are in one data centre.
func (p *Planner) guaranteedCapacity(c capacityByDataCentre) float64 {
	for _, o := range p.obs.Offers {
		if o.DataCentre != p.obs.Offers[0].DataCentre {
			return c.withoutLargest()
		}
	}
	return c.sumUpTo(inf)
}

// dueActions returns the actions that the committed plan requires now.
func (p *Planner) dueActions(now time.Time) []Action {
	if !p.loaded || !now.Before(p.leaseUntil) || p.plan.Epoch != p.epoch {
		return nil
	}
	var actions []Action
	for _, s := range p.plan.Slots {
		if a := p.dueAction(now, s); a != nil {
			actions = append(actions, a)
		}
	}
	return actions
}

func (p *Planner) dueAction(now time.Time, s Slot) Action {
	h, listed := p.hosts[s.Host]
	switch {
	case p.outcomes[s.ID] != (outcome{}):
		return nil
	case s.State == SlotWanted && due(now, p.lastPurchaseAt, s.ID, p.opts.RetryInterval):
		return Buy{Slot: s.ID, Request: p.plan.buyRequest(s), Reason: s.Reason}
	case s.State == SlotDraining && p.idle(now, s) && due(now, p.lastReleaseAt, s.Host, p.opts.RetryInterval):
		return Release{Slot: s.ID, Host: s.Host, Reason: s.Reason}
	case s.State == SlotBought && listed && h.Reachable && !h.Leaving && h.LoadedVersion != s.Version &&
		due(now, p.lastOrderAt, s.Host, p.opts.RetryInterval):
		return Order{Host: s.Host, Order: endpoint.EngineOrder{Fence: p.epoch, Version: s.Version}}
	}
	return nil
}

// due reports whether at least interval has passed since the last sending for key. If
// so, it records now as the time of sending.
func due[K comparable](now time.Time, sentAt map[K]time.Time, key K, interval time.Duration) bool {
	if now.Sub(sentAt[key]) < interval {
		return false
	}
	sentAt[key] = now
	return true
}

// idle reports whether a draining host is known to have no accepted requests. The drain
// must have had time to reach all nodes first.
func (p *Planner) idle(now time.Time, s Slot) bool {
	if p.pendingSave != nil && !p.pendingSave.isDraining(s.ID) {
		return false
	}
	since, ok := p.drainSeenAt[s.ID]
	if !ok {
		p.drainSeenAt[s.ID], since = now, now
	}
	h, listed := p.hosts[s.Host]
	if !listed {
		// The host may still be on the host lists of other nodes.
		_, seen := p.lastListedAt[s.Host]
		return !s.Served && !seen && now.Sub(since) >= p.opts.ListLag
	}
	return h.Accepted == 0 && now.Sub(since) >= p.opts.DrainDelay
}
