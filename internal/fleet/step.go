package fleet

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Observe takes what the driver sees, and returns what is to be done. Without a
// lease that is nothing. A driver without a fresh host list must not call it, as
// hosts that are not listed count as gone.
func (p *Planner) Observe(now time.Time, obs Observation) []Action {
	p.see(now, obs)
	if !now.Before(p.until) {
		return nil
	}
	if !p.loaded {
		return []Action{Load{}}
	}
	if p.saving != nil {
		return p.act(now)
	}
	if p.plan.Epoch > p.epoch {
		return nil // another holder has taken over
	}
	draft := p.plan.clone()
	draft.Epoch = p.epoch
	p.settle(now, &draft)
	need := p.forecast.need(now, p.opts.lead(p.opts.maxStarting()))
	p.grow(now, &draft, need)
	if !obs.Partial {
		p.shrink(now, &draft, max(need, p.forecast.peak(now)))
	}
	if !draft.changed(p.plan) {
		return p.act(now)
	}
	p.saving = &draft // before act, which sends no release that the draft takes back
	return append(p.act(now), Save{Plan: draft.clone(), Expect: p.stored})
}

// see notes an observation in the soft state.
func (p *Planner) see(now time.Time, obs Observation) {
	elapsed := time.Duration(0)
	if !p.lastStep.IsZero() {
		elapsed = now.Sub(p.lastStep)
	}
	if obs.Partial {
		obs.Demand = max(obs.Demand, p.obs.Demand)
	} else {
		p.shape.observe(elapsed, obs)
	}
	p.lastStep, p.obs = now, obs
	p.forecast.observe(now, max(obs.Demand, p.opts.Floor))
	clear(p.hosts)
	for _, h := range obs.Hosts {
		p.hosts[h.Host] = h
		p.seenAt[h.Host] = now
		delete(p.missingAt, h.Host)
		if h.Ready {
			p.readyAt[h.Host] = now
		}
		if h.Reclaimable {
			p.plan.record(h.DataCentre).HostHours += elapsed.Hours()
		}
	}
	for h := range p.seenAt {
		if _, missing := p.missingAt[h]; !missing && p.seenAt[h].Before(now) {
			p.missingAt[h] = now
		}
	}
}

// settle writes outcomes, gone hosts and hosts that aren't ready in time into the draft.
func (p *Planner) settle(now time.Time, draft *Plan) {
	kept := draft.Slots[:0]
	for _, s := range draft.Slots {
		if p.outcomes[s.ID].refused && s.State == SlotWanted || p.gone(now, draft, s) {
			continue
		}
		p.settleSlot(now, &s)
		kept = append(kept, s)
	}
	draft.Slots = kept
}

func (p *Planner) settleSlot(now time.Time, s *Slot) {
	o := p.outcomes[s.ID]
	if s.State == SlotWanted && o.host != "" {
		s.Host = o.host
		s.become(now, SlotBought, s.Reason)
	}
	if s.State == SlotDraining && o.released {
		s.become(now, SlotReleased, s.Reason)
	}
	if s.State != SlotBought {
		return
	}
	h, listed := p.hosts[s.Host]
	s.Served = s.Served || listed && h.Ready
	if since := p.unreadySince(*s); now.Sub(since) >= p.opts.ReadyTimeout {
		s.become(now, SlotDraining, "not ready since "+since.UTC().Format(time.RFC3339))
		p.pause(now, s.kind())
	}
}

// unreadySince returns when a bought host was last ready, or bought.
func (p *Planner) unreadySince(s Slot) time.Time {
	if at := p.readyAt[s.Host]; at.After(s.Since) {
		return at
	}
	return s.Since
}

// gone reports whether a slot's host leaves or has left, and records the reclaim.
func (p *Planner) gone(now time.Time, draft *Plan, s Slot) bool {
	since, ever := p.missingAt[s.Host]
	if s.State == SlotReleased && !ever {
		since, ever = s.Since, true
	}
	h, listed := p.hosts[s.Host]
	switch {
	case s.Host == "":
		return false
	case listed && (!h.Leaving || s.State == SlotReleased):
		return false
	case !listed && (!ever || now.Sub(since) < p.opts.ListLag):
		return false
	}
	p.forgetHost(s.Host)
	if s.Reclaimable && s.State == SlotBought {
		draft.record(s.DataCentre).Reclaims++
		if until := now.Add(p.opts.Backoff); until.After(p.pauses[s.kind()].until) {
			p.pauses[s.kind()] = pause{until: until}
		}
	}
	return true
}

func (p *Planner) forgetHost(h ident.Host) {
	delete(p.seenAt, h)
	delete(p.missingAt, h)
	delete(p.readyAt, h)
	delete(p.orderedAt, h)
	delete(p.releasedAt, h)
}

// state tells what a slot counts for.
type state int

const (
	stateNone state = iota
	stateStarting
	stateReady
	stateDraining
)

func (p *Planner) stateOf(s Slot) state {
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

// capacity sums the draft's slots in the given states, and the ready hosts that
// no slot holds.
func (p *Planner) capacity(draft *Plan, states ...state) byCentre {
	out := make(byCentre)
	held := make(map[ident.Host]bool)
	for _, s := range draft.Slots {
		held[s.Host] = true
		if slices.Contains(states, p.stateOf(s)) {
			out[s.DataCentre] += p.capacityOf(s.kind())
		}
	}
	for _, h := range p.obs.Hosts {
		if !held[h.Host] && h.Ready && !h.Leaving {
			out[h.DataCentre] += p.capacityOf(offerKind{h.DataCentre, h.Class, h.Reclaimable})
		}
	}
	return out
}

// capacityOf returns the rate that a host of a kind serves at the target. A kind
// that isn't offered any more counts as the class elsewhere.
func (p *Planner) capacityOf(k offerKind) float64 {
	for _, o := range p.obs.Offers {
		if o.Class == k.Class {
			return o.Machine.RequestsPerSec(p.opts.Target, p.shape.mean())
		}
	}
	return 0
}

// covered returns the demand that a capacity serves after the loss of a data
// centre; of the only one, where no other is offered.
func (p *Planner) covered(c byCentre) float64 {
	for _, o := range p.obs.Offers {
		if o.DataCentre != p.obs.Offers[0].DataCentre {
			return c.spare()
		}
	}
	return c.upTo(inf)
}

// act returns what the committed plan asks for now.
func (p *Planner) act(now time.Time) []Action {
	if !p.loaded || !now.Before(p.until) || p.plan.Epoch != p.epoch {
		return nil
	}
	var actions []Action
	for _, s := range p.plan.Slots {
		if a := p.actOn(now, s); a != nil {
			actions = append(actions, a)
		}
	}
	return actions
}

func (p *Planner) actOn(now time.Time, s Slot) Action {
	h, listed := p.hosts[s.Host]
	switch {
	case p.outcomes[s.ID] != (outcome{}):
		return nil
	case s.State == SlotWanted && due(now, p.boughtAt, s.ID, p.opts.RetryEvery):
		return Buy{Slot: s.ID, Request: p.plan.request(s), Reason: s.Reason}
	case s.State == SlotDraining && p.idle(now, s) && due(now, p.releasedAt, s.Host, p.opts.RetryEvery):
		return Release{Slot: s.ID, Host: s.Host, Reason: s.Reason}
	case s.State == SlotBought && listed && h.Up && !h.Leaving && h.Loaded != s.Version &&
		due(now, p.orderedAt, s.Host, p.opts.RetryEvery):
		return Order{Host: s.Host, Order: endpoint.EngineOrder{Fence: p.epoch, Version: s.Version}}
	}
	return nil
}

// due reports whether something was last sent at least every ago, and notes that
// it is sent now.
func due[K comparable](now time.Time, sent map[K]time.Time, key K, every time.Duration) bool {
	if now.Sub(sent[key]) < every {
		return false
	}
	sent[key] = now
	return true
}

// idle reports whether a draining host is known to have no accepted work. All
// nodes must have had the time to hear of the drain before.
func (p *Planner) idle(now time.Time, s Slot) bool {
	if p.saving != nil && !p.saving.draining(s.ID) {
		return false
	}
	since, ok := p.drainedAt[s.ID]
	if !ok {
		p.drainedAt[s.ID], since = now, now
	}
	h, listed := p.hosts[s.Host]
	if !listed {
		// It may be on the list that other nodes have.
		_, seen := p.seenAt[s.Host]
		return !s.Served && !seen && now.Sub(since) >= p.opts.ListLag
	}
	return h.Accepted == 0 && now.Sub(since) >= p.opts.DrainDelay
}
