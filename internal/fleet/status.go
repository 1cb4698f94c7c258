package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Status explains the fleet of a service to operators.
type Status struct {
	Service ident.Service `json:"service"`
	Epoch   ident.Epoch   `json:"epoch"`
	Holder  bool          `json:"holder"` // may act now
	// Rates are in requests a second at the latency target.
	Demand float64 `json:"demand"`
	Need   float64 `json:"need"`   // to be ready for once a host bought now serves
	Keep   float64 `json:"keep"`   // peak that scale-down respects
	Ready  float64 `json:"ready"`  // capacity
	Spare  float64 `json:"spare"`  // capacity after the loss of the largest data centre
	Coming float64 `json:"coming"` // capacity that starts
	// Slots are the hosts held, each with the reason of its state.
	Slots []Slot `json:"slots"`
	// Pauses are the kinds of host that aren't bought for now.
	Pauses []PauseStatus `json:"pauses"`
}

// PauseStatus is a kind of host that the cloud refused, took back or never made ready.
type PauseStatus struct {
	DataCentre  ident.DataCentre `json:"dc"`
	Class       string           `json:"class"`
	Reclaimable bool             `json:"reclaimable"`
	Until       time.Time        `json:"until"`
	Refusals    int              `json:"refusals"`
}

// Status returns what the planner knows by now.
func (p *Planner) Status(now time.Time) Status {
	ready := p.capacity(&p.plan, stateReady)
	all := p.capacity(&p.plan, stateReady, stateStarting)
	need := p.forecast.need(now, p.opts.lead(p.opts.maxStarting()))
	st := Status{
		Service: p.opts.Service,
		Epoch:   p.epoch,
		Holder:  p.loaded && now.Before(p.until),
		Demand:  p.obs.Demand,
		Need:    need,
		Keep:    max(need, p.forecast.peak(now)),
		Ready:   ready.upTo(inf),
		Spare:   p.covered(ready),
		Coming:  all.upTo(inf) - ready.upTo(inf),
		Slots:   slices.Clone(p.plan.Slots),
	}
	for k, v := range p.pauses {
		if now.Before(v.until) {
			st.Pauses = append(st.Pauses, PauseStatus{k.DataCentre, k.Class, k.Reclaimable, v.until, v.fails})
		}
	}
	slices.SortFunc(st.Pauses, func(a, b PauseStatus) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Class, b.Class), compareBools(a.Reclaimable, b.Reclaimable))
	})
	return st
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
