package controller

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/fleet"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// maxActions is the maximum number of actions in the status of a service.
const maxActions = 10

// Status describes the fleet of a service to operators.
type Status struct {
	Service ident.Service
	// Holder is set if this node holds the lease. Otherwise the rates are zero, and the
	// other fields are from the stored plan.
	Holder bool
	Epoch  ident.Epoch
	// Demand, Need and Ready are in requests a second at the latency target.
	Demand, Need, Ready float64
	DataCentres         []DataCentreStatus
	// Actions are the last actions, newest first.
	Actions []Action
	// Remark is a sentence on what prevents or delays purchases and releases; empty if
	// nothing does.
	Remark string
}

// DataCentreStatus counts the plan's hosts in a data centre.
type DataCentreStatus struct {
	DataCentre ident.DataCentre
	Wanted     int // Starting plus Ready
	Starting   int
	Ready      int // have been ready
	Draining   int
}

// Action is a change of the fleet, with its reason.
type Action struct {
	At   time.Time
	Text string
}

// Status returns the fleet of each service that has one, ordered by name. If another
// node holds the lease, the plan is read from the store.
func (c *Controller) Status(ctx context.Context) []Status {
	var out []Status
	for _, s := range c.fleetServices() {
		out = append(out, c.statusOf(ctx, s))
	}
	return out
}

func (c *Controller) statusOf(ctx context.Context, s ident.Service) Status {
	c.mu.Lock()
	r := c.mu.duties[s]
	c.mu.Unlock()
	if r != nil {
		if st, reason, held := r.lastStatus(); held {
			return describeStatus(s, st, reason)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	plan, _, err := loadPlan(ctx, c.opts.Store, s)
	if err != nil {
		return Status{Service: s, Remark: fmt.Sprintf("The plan can't be read: %v.", err)}
	}
	return describeStatus(s, fleet.Status{Epoch: plan.Epoch, Slots: plan.Slots}, "")
}

// describeStatus converts a planner's status for operators.
func describeStatus(s ident.Service, status fleet.Status, reason string) Status {
	out := Status{
		Service: s, Holder: status.Holder, Epoch: status.Epoch, Demand: status.Demand, Need: status.Need, Ready: status.Ready,
		DataCentres: countHosts(status.Slots),
		Actions:     lastActions(status.Slots),
	}
	if reason != "" {
		out.Remark = fmt.Sprintf("Purchases and releases are suspended: %s.", strings.TrimSuffix(reason, "."))
	} else if len(status.Backoffs) > 0 {
		out.Remark = backoffText(status.Backoffs)
	} else if status.Holder && status.Spare < status.Need && status.Starting == 0 {
		out.Remark = fmt.Sprintf("Capacity of %.3g requests/s without any one data centre is below the need of %.3g and none starts: see max_hosts and whether a host can keep the latency target.", status.Spare, status.Need)
	}
	return out
}

func countHosts(slots []fleet.Slot) []DataCentreStatus {
	by := make(map[ident.DataCentre]*DataCentreStatus)
	for _, s := range slots {
		c := by[s.DataCentre]
		if c == nil {
			c = &DataCentreStatus{DataCentre: s.DataCentre}
			by[s.DataCentre] = c
		}
		switch {
		case s.State == fleet.SlotDraining:
			c.Draining++
		case s.State == fleet.SlotReleased:
		case s.Served:
			c.Wanted++
			c.Ready++
		default:
			c.Wanted++
			c.Starting++
		}
	}
	var out []DataCentreStatus
	for _, dc := range slices.Sorted(maps.Keys(by)) {
		out = append(out, *by[dc])
	}
	return out
}

// lastActions returns the newest state changes of the slots as sentences.
func lastActions(slots []fleet.Slot) []Action {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b fleet.Slot) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(b.ID, a.ID))
	})
	var out []Action
	for _, s := range sorted[:min(len(sorted), maxActions)] {
		out = append(out, Action{At: s.Since, Text: actionText(s)})
	}
	return out
}

func actionText(s fleet.Slot) string {
	switch s.State {
	case fleet.SlotWanted:
		return fmt.Sprintf("Buys a %s %s host in %s: %s.", capacityKind(s.Reclaimable), s.Class, s.DataCentre, s.Reason)
	case fleet.SlotBought:
		return fmt.Sprintf("Bought %s (%s %s) in %s: %s.", s.Host, capacityKind(s.Reclaimable), s.Class, s.DataCentre, s.Reason)
	case fleet.SlotDraining:
		return fmt.Sprintf("Drains %s in %s: %s.", s.Host, s.DataCentre, s.Reason)
	default:
		return fmt.Sprintf("Released %s in %s: %s.", s.Host, s.DataCentre, s.Reason)
	}
}

func capacityKind(reclaimable bool) string {
	if reclaimable {
		return "reclaimable"
	}
	return "on-demand"
}

func backoffText(backoffs []fleet.BackoffStatus) string {
	var parts []string
	for _, b := range backoffs {
		part := fmt.Sprintf("%s %s in %s until %s", capacityKind(b.Reclaimable), b.Class, b.DataCentre, b.Until.UTC().Format("15:04:05"))
		if b.Refusals > 0 {
			part += fmt.Sprintf(" (%d refusals)", b.Refusals)
		}
		parts = append(parts, part)
	}
	return "Temporarily not bought, after refusals or reclaims: " + strings.Join(parts, "; ") + "."
}
