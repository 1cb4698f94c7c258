package fleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Reclaims and host hours added to each data centre's record, so that one with little
// history gets a default reclaim rate.
const (
	priorReclaims  = 1.0
	priorHostHours = 10.0
)

// minReplacementSaving is the minimum fraction of a host's price that a replacement
// must save.
const minReplacementSaving = 0.2

// maxDrainShare is the maximum fraction of the ready hosts that one step drains, but
// at least one host.
const maxDrainShare = 0.1

// scaleUp cancels drains and adds purchases until the need is covered.
func (p *Planner) scaleUp(now time.Time, draft *Plan, need float64) {
	have := p.capacity(draft, stateReady, stateStarting)
	for i := range draft.Slots {
		s := &draft.Slots[i]
		if p.guaranteedCapacity(have) >= need-epsilon {
			return
		}
		if p.canCancelDrain(*s) {
			s.setState(now, SlotBought, "drain cancelled: demand needs it")
			s.DrainEpoch = 0
			delete(p.drainSeenAt, s.ID)
			have[s.DataCentre] += p.capacityOf(s.kind())
		}
	}
	candidates := p.candidates(now, draft)
	purchaseLimit := min(p.opts.maxStarting()-p.countStarting(draft), p.purchaseLimit(draft))
	if p.guaranteedCapacity(have) < need-epsilon {
		reason := fmt.Sprintf("need %.3g requests/s without any one data centre, have %.3g", need, p.guaranteedCapacity(have))
		purchases := choosePurchases(need, have, candidates)
		if len(purchases) > purchaseLimit {
			purchases = interleave(purchases)[:max(0, purchaseLimit)]
		}
		for _, c := range purchases {
			draft.addSlot(now, c.offer.kind(), p.obs.Version, reason)
			have[c.offer.DataCentre] += c.capacity
		}
		purchaseLimit -= len(purchases)
	}
	p.buyMinimum(now, draft, have, candidates, purchaseLimit)
}

// buyMinimum adds purchases up to MinHosts, each in the data centre with the least
// capacity.
func (p *Planner) buyMinimum(now time.Time, draft *Plan, have capacityByDataCentre, candidates []candidate, purchaseLimit int) {
	candidates = cheapestPerDataCentre(candidates)
	for missing := p.opts.MinHosts - p.countHosts(draft); missing > 0 && purchaseLimit > 0 && len(candidates) > 0; missing-- {
		least := slices.MinFunc(candidates, func(a, b candidate) int {
			return cmp.Compare(have[a.offer.DataCentre], have[b.offer.DataCentre])
		})
		draft.addSlot(now, least.offer.kind(), p.obs.Version, fmt.Sprintf("minimum of %d hosts", p.opts.MinHosts))
		have[least.offer.DataCentre] += least.capacity
		purchaseLimit--
	}
}

// countHosts returns the number of hosts that serve or start, including those outside
// the plan.
func (p *Planner) countHosts(draft *Plan) int {
	n := p.countUnplannedHosts(draft)
	for _, s := range draft.Slots {
		if st := p.stateOf(s); st == stateReady || st == stateStarting {
			n++
		}
	}
	return n
}

// countUnplannedHosts returns the number of listed hosts that have no slot.
func (p *Planner) countUnplannedHosts(draft *Plan) int {
	planned := make(map[ident.Host]bool)
	for _, s := range draft.Slots {
		planned[s.Host] = true
	}
	n := 0
	for _, h := range p.obs.Hosts {
		if !planned[h.Host] && !h.Leaving {
			n++
		}
	}
	return n
}

// purchaseLimit returns how many hosts may be bought before MaxHosts is exceeded.
// Draining hosts count.
func (p *Planner) purchaseLimit(draft *Plan) int {
	if p.opts.MaxHosts == 0 {
		return math.MaxInt32
	}
	n := p.countUnplannedHosts(draft)
	for _, s := range draft.Slots {
		if s.State != SlotReleased {
			n++
		}
	}
	return p.opts.MaxHosts - n
}

// canCancelDrain reports whether a slot's drain can be cancelled: this holder started
// it, and no release was sent.
func (p *Planner) canCancelDrain(s Slot) bool {
	if p.opts.IrreversibleDrains {
		return false
	}
	h := p.hosts[s.Host]
	_, released := p.lastReleaseAt[s.Host]
	return s.State == SlotDraining && s.DrainEpoch == p.epoch && h.Ready && !h.Leaving && !released
}

func (p *Planner) countStarting(draft *Plan) int {
	n := 0
	for _, s := range draft.Slots {
		if p.stateOf(s) == stateStarting {
			n++
		}
	}
	return n
}

// candidates returns the offers that can be bought now.
func (p *Planner) candidates(now time.Time, draft *Plan) []candidate {
	var out []candidate
	for _, o := range p.obs.Offers {
		if now.Before(p.backoffs[o.kind()].until) {
			continue
		}
		if rate := o.Performance.RequestsPerSec(p.opts.Target, p.requestSize.mean()); rate > 0 {
			out = append(out, candidate{offer: o, capacity: rate, price: p.price(draft, o)})
		}
	}
	return out
}

// price returns the price of an hour of service. For reclaimable hosts it includes
// the expected cost of reclaims, as a host is paid for while it starts.
func (p *Planner) price(draft *Plan, o Offer) float64 {
	if !o.Reclaimable {
		return o.PricePerHour
	}
	record := *draft.reclaimRecord(o.DataCentre)
	reclaimsPerHour := (record.Reclaims + priorReclaims) / (record.HostHours + priorHostHours)
	return o.PricePerHour * (1 + reclaimsPerHour*p.opts.leadTime(1).Hours())
}

// unitPrice returns the price of a slot's host per unit of capacity.
func (p *Planner) unitPrice(draft *Plan, s Slot) float64 {
	for _, o := range p.obs.Offers {
		if o.kind() == s.kind() {
			return p.price(draft, o) / p.capacityOf(s.kind())
		}
	}
	return inf // no longer offered: drained first
}

// scaleDown drains the most expensive hosts that are not needed for the given rate,
// and replaces an expensive one if a cheaper offer exists.
func (p *Planner) scaleDown(now time.Time, draft *Plan, needed float64) {
	ready := p.capacity(draft, stateReady)
	var byUnitPrice []int
	for i, s := range draft.Slots {
		if s.State == SlotBought && p.stateOf(s) == stateReady {
			byUnitPrice = append(byUnitPrice, i)
		}
	}
	slices.SortStableFunc(byUnitPrice, func(a, b int) int {
		return cmp.Compare(p.unitPrice(draft, draft.Slots[b]), p.unitPrice(draft, draft.Slots[a]))
	})
	remaining := max(1, int(maxDrainShare*float64(len(byUnitPrice))))
	remaining = min(remaining, max(0, p.countHosts(draft)-p.opts.MinHosts))
	for _, i := range byUnitPrice {
		s := &draft.Slots[i]
		ready[s.DataCentre] -= p.capacityOf(s.kind())
		if remaining == 0 || p.guaranteedCapacity(ready) < needed-epsilon {
			ready[s.DataCentre] += p.capacityOf(s.kind())
			continue
		}
		remaining--
		s.setState(now, SlotDraining, fmt.Sprintf("not needed: %.3g requests/s without any one data centre, needs %.3g", p.guaranteedCapacity(ready), needed))
		s.DrainEpoch = p.epoch
	}
	p.replaceExpensiveHost(now, draft, byUnitPrice)
}

// replaceExpensiveHost buys a host in the data centre of the most expensive host for
// which a cheaper offer exists. Once it is ready, a later scale-down drains the
// expensive one.
func (p *Planner) replaceExpensiveHost(now time.Time, draft *Plan, byUnitPrice []int) {
	if now.Before(p.nextReplacement) || p.countStarting(draft) > 0 || p.purchaseLimit(draft) <= 0 {
		return
	}
	candidates := cheapestPerDataCentre(p.candidates(now, draft))
	for _, i := range byUnitPrice {
		s := draft.Slots[i]
		for _, c := range candidates {
			if c.offer.DataCentre == s.DataCentre && s.State == SlotBought &&
				c.unitPrice() < (1-minReplacementSaving)*p.unitPrice(draft, s) {
				draft.addSlot(now, c.offer.kind(), p.obs.Version, fmt.Sprintf("replaces %s at a lower price", s.Host))
				p.nextReplacement = now.Add(2 * p.opts.leadTime(1))
				return
			}
		}
	}
}
