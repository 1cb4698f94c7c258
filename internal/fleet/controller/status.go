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

// maxActions bounds the actions of a service that status shows.
const maxActions = 10

// Status explains the fleet of a service to operators.
type Status struct {
	Service ident.Service
	// Holder is set where this node decides. Elsewhere the rates are zero, and the
	// rest is of the stored plan.
	Holder bool
	Epoch  ident.Epoch
	// Demand, Need and Ready are in requests a second at the latency target.
	Demand, Need, Ready float64
	DataCentres         []DataCentreStatus
	// Actions are the last ones, newest first.
	Actions []Action
	// Remark says in a sentence what the service waits for; empty for nothing.
	Remark string
}

// DataCentreStatus counts the plan's hosts in a data centre.
type DataCentreStatus struct {
	DataCentre ident.DataCentre
	Wanted     int // to be held; the sum of the next two
	Starting   int
	Ready      int // have served
	Draining   int
}

// Action is something done, with its reason.
type Action struct {
	At   time.Time
	Text string
}

// Status returns the fleet of each service that has one, ordered by name. Plans
// held elsewhere are read from the store.
func (c *Controller) Status(ctx context.Context) []Status {
	var out []Status
	for _, s := range c.wanted() {
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
			return describe(s, st, reason)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	plan, _, err := loadPlan(ctx, c.opts.Store, s)
	if err != nil {
		return Status{Service: s, Remark: fmt.Sprintf("The plan can't be read: %v.", err)}
	}
	return describe(s, fleet.Status{Epoch: plan.Epoch, Slots: plan.Slots}, "")
}

// describe puts a planner's status in an operator's words.
func describe(s ident.Service, st fleet.Status, reason string) Status {
	out := Status{
		Service: s, Holder: st.Holder, Epoch: st.Epoch, Demand: st.Demand, Need: st.Need, Ready: st.Ready,
		DataCentres: countHosts(st.Slots),
		Actions:     lastActions(st.Slots),
	}
	if reason != "" {
		out.Remark = fmt.Sprintf("Nothing is bought or released: %s.", strings.TrimSuffix(reason, "."))
	} else if len(st.Backoffs) > 0 {
		out.Remark = pauses(st.Backoffs)
	} else if st.Holder && st.Spare < st.Need && st.Starting == 0 {
		out.Remark = fmt.Sprintf("Capacity of %.3g requests/s without any one data centre is below the need of %.3g and none starts: see max_hosts and whether a host can keep the latency target.", st.Spare, st.Need)
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

// lastActions returns the newest states of the slots as sentences.
func lastActions(slots []fleet.Slot) []Action {
	sorted := slices.Clone(slots)
	slices.SortFunc(sorted, func(a, b fleet.Slot) int {
		return cmp.Or(b.Since.Compare(a.Since), cmp.Compare(b.ID, a.ID))
	})
	var out []Action
	for _, s := range sorted[:min(len(sorted), maxActions)] {
		out = append(out, Action{At: s.Since, Text: sentence(s)})
	}
	return out
}

func sentence(s fleet.Slot) string {
	switch s.State {
	case fleet.SlotWanted:
		return fmt.Sprintf("Buys a %s %s host in %s: %s.", kind(s.Reclaimable), s.Class, s.DataCentre, s.Reason)
	case fleet.SlotBought:
		return fmt.Sprintf("Bought %s (%s %s) in %s: %s.", s.Host, kind(s.Reclaimable), s.Class, s.DataCentre, s.Reason)
	case fleet.SlotDraining:
		return fmt.Sprintf("Drains %s in %s: %s.", s.Host, s.DataCentre, s.Reason)
	default:
		return fmt.Sprintf("Released %s in %s: %s.", s.Host, s.DataCentre, s.Reason)
	}
}

func kind(reclaimable bool) string {
	if reclaimable {
		return "reclaimable"
	}
	return "on-demand"
}

func pauses(list []fleet.BackoffStatus) string {
	var parts []string
	for _, p := range list {
		part := fmt.Sprintf("%s %s in %s until %s", kind(p.Reclaimable), p.Class, p.DataCentre, p.Until.UTC().Format("15:04:05"))
		if p.Refusals > 0 {
			part += fmt.Sprintf(" (%d refusals)", p.Refusals)
		}
		parts = append(parts, part)
	}
	return "Not bought for now, after refusals or reclaims: " + strings.Join(parts, "; ") + "."
}
