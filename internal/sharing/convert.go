package sharing

import (
	"time"

	sharingv1 "github.com/jujubeshed/jujubeshed/api/gen/sharing/v1"
	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
)

func encodeStates(states []*NodeState) []*sharingv1.Row {
	out := make([]*sharingv1.Row, 0, len(states))
	for _, s := range states {
		out = append(out, encodeState(s))
	}
	return out
}

func encodeState(s *NodeState) *sharingv1.Row {
	msg := &sharingv1.Row{
		Node: string(s.Incarnation.Node), Life: uint64(s.Incarnation.Incarnation), Beat: s.Heartbeat, Address: s.Address,
		ConfigVersion: s.ConfigVersion, Leaving: s.Leaving, Seen: uint64(s.StoreVersion), StoreLost: s.StoreUnreachable, LostServices: encodeServices(s.LostServices),
		AsOf: s.AsOf.UnixMilli(), StoreEra: uint64(s.StoreEra),
		Spent: make(map[string]float64, len(s.Spent)),
		Loads: make(map[string]*sharingv1.Load, len(s.Loads)),
	}
	for _, l := range s.PrefixLocations {
		msg.Prefixes, msg.Holders = append(msg.Prefixes, l.Prefix), append(msg.Holders, l.Endpoint)
	}
	for name, n := range s.Spent {
		msg.Spent[string(name)] = n
	}
	for id, l := range s.Loads {
		msg.Loads[string(id)] = &sharingv1.Load{Running: int32(l.Running), Prefill: int32(l.PrefillTokens), Context: int32(l.ContextTokens)}
	}
	for number, counts := range s.Windows {
		msg.Windows = append(msg.Windows, encodeWindow(number, counts))
	}
	for _, a := range s.BadVersions {
		msg.Bad = append(msg.Bad, encodeArm(a, rollout.Count{}))
	}
	for a, c := range s.Evidence {
		msg.Evidence = append(msg.Evidence, encodeArm(a, c))
	}
	for _, a := range s.CompletedVersions {
		msg.Done = append(msg.Done, encodeArm(a, rollout.Count{}))
	}
	msg.Departures = encodeDepartures(s.Departures)
	encodeQuarantine(msg, s.Quarantine)
	msg.Limits = encodeLimits(s.Limits)
	msg.Evacuations, msg.Cold, msg.DataCentre = encodeEvacuations(s.Evacuations), encodeCold(s.Cold), string(s.DataCentre)
	encodeSpeeds(msg, s.Speeds)
	if s.Reports.Next != 0 {
		msg.Reports = encodeReports(s.Reports)
	}
	return msg
}

func encodeReports(l duty.ReportLog) *sharingv1.ReportLog {
	msg := &sharingv1.ReportLog{Next: l.Next, Era: uint64(l.Era)}
	for _, r := range l.Pending {
		msg.Pending = append(msg.Pending, encodeWindow(r.Window, r.Counts))
	}
	return msg
}

func decodeReports(msg *sharingv1.ReportLog) duty.ReportLog {
	l := duty.ReportLog{Next: msg.Next, Era: platformapi.Era(msg.Era)}
	for _, window := range msg.Pending {
		l.Pending = append(l.Pending, duty.UsageReport{Window: window.Number, Counts: decodeCounts(window)})
	}
	return l
}

func encodeWindow(number int64, counts duty.Counts) *sharingv1.Window {
	window := &sharingv1.Window{Number: number, Counts: make(map[string]uint64, len(counts))}
	for name, n := range counts {
		window.Counts[string(name)] = n
	}
	return window
}

func decodeCounts(window *sharingv1.Window) duty.Counts {
	counts := make(duty.Counts, len(window.Counts))
	for name, n := range window.Counts {
		counts[ident.Workspace(name)] = n
	}
	return counts
}

func encodeArm(a rollout.Arm, c rollout.Count) *sharingv1.Arm {
	return &sharingv1.Arm{
		Service: string(a.Service), Version: string(a.Version), Route: string(a.Route),
		Requests: c.Requests, Faults: c.Faults, Millis: c.LatencyMillis, Streams: c.Streams, Gaps: c.Gaps, GapMillis: c.GapMillis,
	}
}

func decodeArm(msg *sharingv1.Arm) (rollout.Arm, rollout.Count) {
	a := rollout.Arm{Service: ident.Service(msg.Service), Version: ident.Version(msg.Version), Route: ident.RouteName(msg.Route)}
	return a, rollout.Count{Requests: msg.Requests, Faults: msg.Faults, LatencyMillis: msg.Millis, Streams: msg.Streams, Gaps: msg.Gaps, GapMillis: msg.GapMillis}
}

func decodeStates(states []*sharingv1.Row) []NodeState {
	out := make([]NodeState, 0, len(states))
	for _, msg := range states {
		out = append(out, decodeState(msg))
	}
	return out
}

func decodeState(msg *sharingv1.Row) NodeState {
	s := NodeState{
		Incarnation: quota.NodeIncarnation{Node: ident.NodeID(msg.Node), Incarnation: ident.Incarnation(msg.Life)},
		Heartbeat:   msg.Beat, Address: msg.Address, ConfigVersion: msg.ConfigVersion, Leaving: msg.Leaving,
		StoreEra: platformapi.Era(msg.StoreEra), StoreVersion: platformapi.Version(msg.Seen), StoreUnreachable: msg.StoreLost, LostServices: decodeServices(msg.LostServices), AsOf: time.UnixMilli(msg.AsOf),
		Spent:   make(quota.Spending, len(msg.Spent)),
		Loads:   make(map[ident.EndpointID]placement.Load, len(msg.Loads)),
		Windows: make(map[int64]map[ident.Workspace]uint64, len(msg.Windows)),

		Evidence: make(rollout.Evidence, len(msg.Evidence)),
	}
	for i := range min(len(msg.Prefixes), len(msg.Holders)) {
		s.PrefixLocations = append(s.PrefixLocations, placement.PrefixLocation{Prefix: msg.Prefixes[i], Endpoint: msg.Holders[i]})
	}
	for name, n := range msg.Spent {
		s.Spent[ident.Workspace(name)] = n
	}
	for id, l := range msg.Loads {
		s.Loads[ident.EndpointID(id)] = placement.Load{Running: int(l.Running), PrefillTokens: int(l.Prefill), ContextTokens: int(l.Context)}
	}
	for _, window := range msg.Windows {
		s.Windows[window.Number] = decodeCounts(window)
	}
	s.Departures = decodeDepartures(msg.Departures)
	s.Quarantine = decodeQuarantine(msg)
	s.Limits = decodeLimits(msg.Limits)
	s.Evacuations, s.Cold, s.DataCentre = decodeEvacuations(msg.Evacuations), decodeCold(msg.Cold), ident.DataCentre(msg.DataCentre)
	s.Speeds = decodeSpeeds(msg)
	if msg.Reports != nil {
		s.Reports = decodeReports(msg.Reports)
	}
	for _, arm := range msg.Done {
		a, _ := decodeArm(arm)
		s.CompletedVersions = append(s.CompletedVersions, a)
	}
	for _, arm := range msg.Bad {
		a, _ := decodeArm(arm)
		s.BadVersions = append(s.BadVersions, a)
	}
	for _, arm := range msg.Evidence {
		a, c := decodeArm(arm)
		s.Evidence[a] = c
	}
	return s
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
	for _, msg := range objects {
		out = append(out, platformapi.Object{Key: platformapi.Key(msg.Key), Version: platformapi.Version(msg.Version), Value: msg.Value, Status: msg.Status})
	}
	return out
}

func encodeDepartures(list []directory.Departure) []*sharingv1.Departure {
	var out []*sharingv1.Departure
	for _, d := range list {
		out = append(out, &sharingv1.Departure{Endpoint: string(d.Endpoint), Started: d.Started.UnixMilli(), Leaving: d.Leaving, Era: uint64(d.Era)})
	}
	return out
}

func decodeDepartures(list []*sharingv1.Departure) []directory.Departure {
	var out []directory.Departure
	for _, d := range list {
		out = append(out, directory.Departure{
			Endpoint: ident.EndpointID(d.Endpoint), Started: time.UnixMilli(d.Started), Leaving: d.Leaving, Era: platformapi.Era(d.Era),
		})
	}
	return out
}

func encodeServices(list []ident.Service) []string {
	var out []string
	for _, s := range list {
		out = append(out, string(s))
	}
	return out
}

func decodeServices(list []string) []ident.Service {
	var out []ident.Service
	for _, s := range list {
		out = append(out, ident.Service(s))
	}
	return out
}
