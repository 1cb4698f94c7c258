package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Status describes the fleet of a service to operators.
type Status struct {
	Service ident.Service `json:"service"`
	Epoch   ident.Epoch   `json:"epoch"`
	Holder  bool          `json:"holder"` // this node may act now
	// The rates below are in requests a second at the latency target.
	Demand   float64 `json:"demand"`
	Need     float64 `json:"need"`   // forecast demand, with margin, when a host bought now serves
	Keep     float64 `json:"keep"`   // capacity that a scale-down keeps: the higher of need and recent peak
	Ready    float64 `json:"ready"`  // capacity of ready hosts
	Spare    float64 `json:"spare"`  // ready capacity after the loss of the largest data centre
	Starting float64 `json:"coming"` // capacity of starting hosts
	// Slots are the slots of the plan, each with the reason for its state.
	Slots []Slot `json:"slots"`
	// Backoffs are the kinds of host that are temporarily not bought.
	Backoffs []BackoffStatus `json:"pauses"`
}

// BackoffStatus is a kind of host that is not bought until a time, because the cloud
// refused or reclaimed one or because one was not ready in time.
type BackoffStatus struct {
	DataCentre  ident.DataCentre `json:"dc"`
	Class       string           `json:"class"`
	Reclaimable bool             `json:"reclaimable"`
	Until       time.Time        `json:"until"`
	Refusals    int              `json:"refusals"`
}

// Status returns the state of the fleet as known to the planner.
func (p *Planner) Status(now time.Time) Status {
	ready := p.capacity(&p.plan, stateReady)
	planned := p.capacity(&p.plan, stateReady, stateStarting)
	need := p.forecast.need(now, p.opts.leadTime(p.opts.maxStarting()))
	status := Status{
		Service:  p.opts.Service,
		Epoch:    p.epoch,
		Holder:   p.loaded && now.Before(p.leaseUntil),
		Demand:   p.obs.Demand,
		Need:     need,
		Keep:     max(need, p.forecast.peak(now)),
		Ready:    ready.sumUpTo(inf),
		Spare:    p.guaranteedCapacity(ready),
		Starting: planned.sumUpTo(inf) - ready.sumUpTo(inf),
		Slots:    slices.Clone(p.plan.Slots),
	}
	for k, v := range p.backoffs {
		if now.Before(v.until) {
			status.Backoffs = append(status.Backoffs, BackoffStatus{k.DataCentre, k.Class, k.Reclaimable, v.until, v.failures})
		}
	}
	slices.SortFunc(status.Backoffs, func(a, b BackoffStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Class, b.Class), compareBools(a.Reclaimable, b.Reclaimable))
	})
	return status
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
