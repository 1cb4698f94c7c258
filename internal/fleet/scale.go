package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Price of reclaims until a data centre has a record of its own.
const (
	priorReclaims  = 1.0
	priorHostHours = 10.0
)

// swapSaving is the share of a host's price that its replacement must save.
const swapSaving = 0.2

// drainShare bounds the ready hosts that one step drains.
const drainShare = 0.1

// grow takes drains back and adds purchases until the need is covered.
func (p *Planner) grow(now time.Time, draft *Plan, need float64) {
	have := p.capacity(draft, stateReady, stateStarting)
	for i := range draft.Slots {
		s := &draft.Slots[i]
		if p.covered(have) >= need-epsilon {
			return
		}
		if p.canRestore(*s) {
			s.become(now, SlotBought, "drain taken back: demand needs it")
			s.DrainEpoch = 0
			delete(p.drainedAt, s.ID)
			have[s.DataCentre] += p.capacityOf(s.kind())
		}
	}
	places := p.places(now, draft)
	room := min(p.opts.maxStarting()-p.starting(draft), p.allowed(draft))
	if p.covered(have) < need-epsilon {
		reason := fmt.Sprintf("need %.3g requests/s without any one data centre, have %.3g", need, p.covered(have))
		buy := choose(need, have, places)
		if len(buy) > room {
			buy = interleave(buy)[:max(0, room)]
		}
		for _, b := range buy {
			draft.add(now, b.offer.kind(), p.obs.Version, reason)
			have[b.offer.DataCentre] += b.capacity
		}
		room -= len(buy)
	}
	p.fillMinimum(now, draft, have, places, room)
}

// fillMinimum buys where too few hosts are held whatever the demand, each in the
// data centre with the least capacity.
func (p *Planner) fillMinimum(now time.Time, draft *Plan, have byCentre, places []place, room int) {
	places = bestOfEach(places)
	for missing := p.opts.MinHosts - p.hostCount(draft); missing > 0 && room > 0 && len(places) > 0; missing-- {
		least := slices.MinFunc(places, func(a, b place) int {
			return cmp.Compare(have[a.offer.DataCentre], have[b.offer.DataCentre])
		})
		draft.add(now, least.offer.kind(), p.obs.Version, fmt.Sprintf("at least %d hosts are to be held", p.opts.MinHosts))
		have[least.offer.DataCentre] += least.capacity
		room--
	}
}

// hostCount is the number of hosts that serve or start, bought here or not.
func (p *Planner) hostCount(draft *Plan) int {
	n := p.unheld(draft)
	for _, s := range draft.Slots {
		if st := p.stateOf(s); st == stateReady || st == stateStarting {
			n++
		}
	}
	return n
}

// unheld is the number of listed hosts that no slot holds.
func (p *Planner) unheld(draft *Plan) int {
	held := make(map[ident.Host]bool)
	for _, s := range draft.Slots {
		held[s.Host] = true
	}
	n := 0
	for _, h := range p.obs.Hosts {
		if !held[h.Host] && !h.Leaving {
			n++
		}
	}
	return n
}

// allowed returns how many hosts may be bought before there are too many, those
// that drain included.
func (p *Planner) allowed(draft *Plan) int {
	if p.opts.MaxHosts == 0 {
		return math.MaxInt32
	}
	n := p.unheld(draft)
	for _, s := range draft.Slots {
		if s.State != SlotReleased {
			n++
		}
	}
	return p.opts.MaxHosts - n
}

// canRestore reports whether a drain can be taken back: it is this holder's own,
// and no release was sent.
func (p *Planner) canRestore(s Slot) bool {
	if p.opts.FinalDrains {
		return false
	}
	h := p.hosts[s.Host]
	_, released := p.releasedAt[s.Host]
	return s.State == SlotDraining && s.DrainEpoch == p.epoch && h.Ready && !h.Leaving && !released
}

func (p *Planner) starting(draft *Plan) int {
	n := 0
	for _, s := range draft.Slots {
		if p.stateOf(s) == stateStarting {
			n++
		}
	}
	return n
}

// places returns the offers that can be bought now.
func (p *Planner) places(now time.Time, draft *Plan) []place {
	var out []place
	for _, o := range p.obs.Offers {
		if now.Before(p.pauses[o.kind()].until) {
			continue
		}
		if c := o.Machine.RequestsPerSec(p.opts.Target, p.shape.mean()); c > 0 {
			out = append(out, place{offer: o, capacity: c, price: p.price(draft, o)})
		}
	}
	return out
}

// price returns the price of an hour of service: a reclaimed host was paid for
// while it started.
func (p *Planner) price(draft *Plan, o Offer) float64 {
	if !o.Reclaimable {
		return o.PricePerHour
	}
	r := *draft.record(o.DataCentre)
	perHour := (r.Reclaims + priorReclaims) / (r.HostHours + priorHostHours)
	return o.PricePerHour * (1 + perHour*p.opts.lead(1).Hours())
}

// unitPrice returns the price of a slot's host for its capacity.
func (p *Planner) unitPrice(draft *Plan, s Slot) float64 {
	for _, o := range p.obs.Offers {
		if o.kind() == s.kind() {
			return p.price(draft, o) / p.capacityOf(s.kind())
		}
	}
	return inf // not sold any more: the first to go
}

// shrink drains the dearest hosts that the peak of the hold window doesn't need,
// or else replaces a dear one.
func (p *Planner) shrink(now time.Time, draft *Plan, keep float64) {
	ready := p.capacity(draft, stateReady)
	var order []int
	for i, s := range draft.Slots {
		if s.State == SlotBought && p.stateOf(s) == stateReady {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(p.unitPrice(draft, draft.Slots[b]), p.unitPrice(draft, draft.Slots[a]))
	})
	left := max(1, int(drainShare*float64(len(order))))
	left = min(left, max(0, p.hostCount(draft)-p.opts.MinHosts))
	for _, i := range order {
		s := &draft.Slots[i]
		ready[s.DataCentre] -= p.capacityOf(s.kind())
		if left == 0 || p.covered(ready) < keep-epsilon {
			ready[s.DataCentre] += p.capacityOf(s.kind())
			continue
		}
		left--
		s.become(now, SlotDraining, fmt.Sprintf("not needed: %.3g requests/s without any one data centre, needs %.3g", p.covered(ready), keep))
		s.DrainEpoch = p.epoch
	}
	p.swap(now, draft, order)
}

// swap buys a cheaper host beside the dearest one; once it is ready, the dearest
// isn't needed.
func (p *Planner) swap(now time.Time, draft *Plan, order []int) {
	if now.Before(p.nextSwap) || p.starting(draft) > 0 || p.allowed(draft) <= 0 {
		return
	}
	places := bestOfEach(p.places(now, draft))
	for _, i := range order {
		s := draft.Slots[i]
		for _, c := range places {
			if c.offer.DataCentre == s.DataCentre && s.State == SlotBought &&
				c.unitPrice() < (1-swapSaving)*p.unitPrice(draft, s) {
				draft.add(now, c.offer.kind(), p.obs.Version, fmt.Sprintf("replaces %s at a lower price", s.Host))
				p.nextSwap = now.Add(2 * p.opts.lead(1))
				return
			}
		}
	}
}
