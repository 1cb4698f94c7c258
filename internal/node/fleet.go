package node

import (
	"context"

	"github.com/jujubeshed/jujubeshed/api/gen/operators"
	"github.com/jujubeshed/jujubeshed/internal/fleet/controller"
	"github.com/jujubeshed/jujubeshed/internal/lease"
)

// buildFleet builds the controller that buys and releases hosts. No
// hosts are bought or released for services without a fleet block in the
// configuration.
func (w *wiring) buildFleet() error {
	w.demand = controller.NewMeter(w.gossip)
	fleet, err := controller.New(controller.Options{
		Self:    lease.Owner{Node: w.opts.ID, Incarnation: w.incarnation},
		Store:   w.store,
		Cloud:   w.store,
		Hosts:   w.store,
		Engines: w.endpoints,
		Demand:  w.demand,
		Publish: w.demand.Publish,
		Marks:   []controller.Marks{w.balancer, w.peers},
		Config:  w.config.Current,
		Members: w.peers.localIDs,
		Metrics: controller.NewMetrics(w.metrics),
		Log:     w.log,
	})
	w.fleet = fleet
	return err
}

// fleetStatus returns the fleet status of each service that has a fleet. If the store
// is slow, fleets controlled by other nodes have a remark in place of their plan.
func (s *statusSource) fleetStatus(ctx context.Context) []operators.FleetStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := []operators.FleetStatus{}
	for _, st := range s.fleet.Status(ctx) {
		out = append(out, fleetToAPI(st))
	}
	return out
}

func fleetToAPI(st controller.Status) operators.FleetStatus {
	out := operators.FleetStatus{
		Service: string(st.Service), DecidesHere: st.Holder, Epoch: operators.NewOptInt64(int64(st.Epoch)),
		DataCentres: []operators.FleetCentre{}, Actions: []operators.FleetAction{},
	}
	if st.Holder {
		out.Demand.SetTo(st.Demand)
		out.Need.SetTo(st.Need)
		out.Capacity.SetTo(st.Ready)
	}
	if st.Remark != "" {
		out.Remark.SetTo(st.Remark)
	}
	for _, c := range st.DataCentres {
		out.DataCentres = append(out.DataCentres, operators.FleetCentre{
			DataCentre: string(c.DataCentre), Wanted: c.Wanted, Starting: c.Starting, Ready: c.Ready, Draining: c.Draining,
		})
	}
	for _, a := range st.Actions {
		out.Actions = append(out.Actions, operators.FleetAction{At: a.At, Text: a.Text})
	}
	return out
}
