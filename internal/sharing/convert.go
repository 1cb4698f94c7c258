package sharing

import (
	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platform"
	"github.com/jujubeshed/jujubeshed/internal/quota"
)

func encodeRows(rows []Row) []*sharingv1.Row {
	out := make([]*sharingv1.Row, 0, len(rows))
	for _, r := range rows {
		w := &sharingv1.Row{
			Node: string(r.Life.Node), Life: uint64(r.Life.Life), Beat: r.Beat, Address: r.Address,
			ConfigVersion: r.ConfigVersion, Leaving: r.Leaving, Bad: r.Bad, Seen: uint64(r.Seen), StoreLost: r.StoreLost,
			Spent:  make(map[string]float64, len(r.Spent)),
			Levels: make(map[string]float64, len(r.Levels)),
			Loads:  make(map[string]*sharingv1.Load, len(r.Loads)),
		}
		for name, n := range r.Spent {
			w.Spent[string(name)] = n
		}
		for name, n := range r.Levels {
			w.Levels[string(name)] = n
		}
		for id, l := range r.Loads {
			w.Loads[string(id)] = &sharingv1.Load{Running: int32(l.Running), Prefill: int32(l.Prefill), Context: int32(l.Context)}
		}
		out = append(out, w)
	}
	return out
}

func decodeRows(rows []*sharingv1.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, w := range rows {
		r := Row{
			Life: quota.NodeLife{Node: ident.NodeID(w.Node), Life: ident.Incarnation(w.Life)},
			Beat: w.Beat, Address: w.Address, ConfigVersion: w.ConfigVersion, Leaving: w.Leaving, Bad: w.Bad, Seen: platform.Version(w.Seen), StoreLost: w.StoreLost,
			Spent:  make(quota.Spending, len(w.Spent)),
			Levels: make(map[ident.Workspace]float64, len(w.Levels)),
			Loads:  make(map[ident.EndpointID]placement.Load, len(w.Loads)),
		}
		for name, n := range w.Spent {
			r.Spent[ident.Workspace(name)] = n
		}
		for name, n := range w.Levels {
			r.Levels[ident.Workspace(name)] = n
		}
		for id, l := range w.Loads {
			r.Loads[ident.EndpointID(id)] = placement.Load{Running: int(l.Running), Prefill: int(l.Prefill), Context: int(l.Context)}
		}
		out = append(out, r)
	}
	return out
}
