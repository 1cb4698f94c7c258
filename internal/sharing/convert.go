package sharing

import (
	"time"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
)

func encodeRows(rows []NodeState) []*sharingv1.Row {
	out := make([]*sharingv1.Row, 0, len(rows))
	for i := range rows {
		out = append(out, encodeRow(&rows[i]))
	}
	return out
}

func encodeRow(r *NodeState) *sharingv1.Row {
	w := &sharingv1.Row{
		Node: string(r.Incarnation.Node), Life: uint64(r.Incarnation.Incarnation), Beat: r.Heartbeat, Address: r.Address,
		ConfigVersion: r.ConfigVersion, Leaving: r.Leaving, Seen: uint64(r.StoreVersion), StoreLost: r.StoreUnreachable,
		AsOf:  r.AsOf.UnixMilli(),
		Spent: make(map[string]float64, len(r.Spent)),
		Loads: make(map[string]*sharingv1.Load, len(r.Loads)),
	}
	for _, h := range r.PrefixLocations {
		w.Prefixes, w.Holders = append(w.Prefixes, h.Prefix), append(w.Holders, h.Endpoint)
	}
	for name, n := range r.Spent {
		w.Spent[string(name)] = n
	}
	for id, l := range r.Loads {
		w.Loads[string(id)] = &sharingv1.Load{Running: int32(l.Running), Prefill: int32(l.PrefillTokens), Context: int32(l.ContextTokens)}
	}
	for number, counts := range r.Windows {
		win := &sharingv1.Window{Number: number, Counts: make(map[string]uint64, len(counts))}
		for name, n := range counts {
			win.Counts[string(name)] = n
		}
		w.Windows = append(w.Windows, win)
	}
	for _, a := range r.BadVersions {
		w.Bad = append(w.Bad, encodeArm(a, rollout.Count{}))
	}
	for a, c := range r.Evidence {
		w.Evidence = append(w.Evidence, encodeArm(a, c))
	}
	return w
}

func encodeArm(a rollout.Arm, c rollout.Count) *sharingv1.Arm {
	return &sharingv1.Arm{
		Service: string(a.Service), Version: string(a.Version), Route: string(a.Route),
		Requests: c.Requests, Faults: c.Faults, Millis: c.LatencyMillis,
	}
}

func decodeArm(w *sharingv1.Arm) (rollout.Arm, rollout.Count) {
	a := rollout.Arm{Service: ident.Service(w.Service), Version: ident.Version(w.Version), Route: ident.RouteName(w.Route)}
	return a, rollout.Count{Requests: w.Requests, Faults: w.Faults, LatencyMillis: w.Millis}
}

func decodeRows(rows []*sharingv1.Row) []NodeState {
	out := make([]NodeState, 0, len(rows))
	for _, w := range rows {
		out = append(out, decodeRow(w))
	}
	return out
}

func decodeRow(w *sharingv1.Row) NodeState {
	r := NodeState{
		Incarnation: quota.NodeIncarnation{Node: ident.NodeID(w.Node), Incarnation: ident.Incarnation(w.Life)},
		Heartbeat:   w.Beat, Address: w.Address, ConfigVersion: w.ConfigVersion, Leaving: w.Leaving,
		StoreVersion: platformapi.Version(w.Seen), StoreUnreachable: w.StoreLost, AsOf: time.UnixMilli(w.AsOf),
		Spent:   make(quota.Spending, len(w.Spent)),
		Loads:   make(map[ident.EndpointID]placement.Load, len(w.Loads)),
		Windows: make(map[int64]map[ident.Workspace]uint64, len(w.Windows)),

		Evidence: make(rollout.Evidence, len(w.Evidence)),
	}
	for i := range min(len(w.Prefixes), len(w.Holders)) {
		r.PrefixLocations = append(r.PrefixLocations, placement.PrefixLocation{Prefix: w.Prefixes[i], Endpoint: w.Holders[i]})
	}
	for name, n := range w.Spent {
		r.Spent[ident.Workspace(name)] = n
	}
	for id, l := range w.Loads {
		r.Loads[ident.EndpointID(id)] = placement.Load{Running: int(l.Running), PrefillTokens: int(l.Prefill), ContextTokens: int(l.Context)}
	}
	for _, win := range w.Windows {
		counts := make(map[ident.Workspace]uint64, len(win.Counts))
		for name, n := range win.Counts {
			counts[ident.Workspace(name)] = n
		}
		r.Windows[win.Number] = counts
	}
	for _, arm := range w.Bad {
		a, _ := decodeArm(arm)
		r.BadVersions = append(r.BadVersions, a)
	}
	for _, arm := range w.Evidence {
		a, c := decodeArm(arm)
		r.Evidence[a] = c
	}
	return r
}

func encodeObjects(objects []platformapi.Object) []*sharingv1.Object {
	out := make([]*sharingv1.Object, 0, len(objects))
	for _, o := range objects {
		out = append(out, &sharingv1.Object{Key: string(o.Key), Version: uint64(o.Version), Value: o.Value, Status: o.Status})
	}
	return out
}

func decodeObjects(objects []*sharingv1.Object) []platformapi.Object {
	out := make([]platformapi.Object, 0, len(objects))
	for _, w := range objects {
		out = append(out, platformapi.Object{Key: platformapi.Key(w.Key), Version: platformapi.Version(w.Version), Value: w.Value, Status: w.Status})
	}
	return out
}
