package sharing

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/evacuation"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/performance"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quarantine"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
)

// StateRetention is how long the state of a node is kept without a new heartbeat. It is
// longer than the time after which the node's share of a limit goes to other nodes.
const StateRetention = 20 * time.Second

// NodeState is the state that a node advertises to the other nodes.
type NodeState struct {
	Incarnation quota.NodeIncarnation
	// Heartbeat grows with each state of an incarnation.
	Heartbeat uint64
	// Address is the IP:port of the node's sharing service.
	Address string
	// ConfigVersion is the version of the configuration in force at the node; zero for none.
	ConfigVersion uint64
	// Spent is what the node has spent of the workspaces' limits since its start.
	Spent quota.Spending
	// Loads is the load of the node's running requests at the endpoints.
	Loads map[ident.EndpointID]placement.Load
	// Leaving reports whether the node is about to stop.
	Leaving bool
	// BadVersions are the versions that the node considers bad, and Evidence its counts for
	// version moves in progress.
	BadVersions []rollout.Arm
	Evidence    rollout.Evidence
	// PrefixLocations are the prefixes that the node has recently sent, with their engines.
	PrefixLocations []placement.PrefixLocation
	// StoreVersion is the latest version of a registration that the node has read.
	StoreVersion platformapi.Version
	// StoreUnreachable reports whether the node currently can't watch the store.
	StoreUnreachable bool
	// LostServices are the services of which the node can connect to no endpoint, so that it
	// can't relay requests to them for others.
	LostServices []ident.Service
	// AsOf is when the node composed this state, by its estimate of the time of day.
	AsOf time.Time
	// Windows contains the number of requests started in the latest usage windows, by window
	// number and workspace.
	Windows map[int64]map[ident.Workspace]uint64
	// StoreEra is the highest era of the store that the node knows of.
	StoreEra platformapi.Era
	// Departures are endpoints that leave or have left.
	Departures []directory.Departure
	// Reports is the last log of usage reports that the node has written to the store.
	Reports duty.ReportLog
	// CompletedVersions are the versions to which the node knows that a move was completed.
	CompletedVersions []rollout.Arm
	// Quarantine is what the node knows of requests that crash endpoints.
	Quarantine quarantine.Report
	// Limits are what the node has observed of the limits of endpoints.
	Limits []endpointlimit.Observation
	// Evacuations are what the node knows of evacuated data centres.
	Evacuations []evacuation.Statement
	// Cold are the endpoints that count as cold by the node's own evidence.
	Cold []endpointlimit.ColdEndpoint
	// Speeds are the node's recent measurements of the speeds of endpoints.
	Speeds performance.Report
	// DataCentre is that of the node; empty if it doesn't state it.
	DataCentre ident.DataCentre
}

// digestKey returns the key of the node's incarnation in a digest.
func (s *NodeState) digestKey() uint64 { return s.Incarnation.Hash() }

// StateTable contains the latest known states of all nodes. It does no I/O and is not safe
// for concurrent use.
type StateTable struct {
	self   quota.NodeIncarnation
	states map[ident.NodeID]entry
}

type entry struct {
	state     *NodeState // not changed once it is in the table
	updatedAt time.Time  // time of the last new heartbeat
}

// NewStateTable returns an empty table for the node self.
func NewStateTable(self quota.NodeIncarnation) *StateTable {
	return &StateTable{self: self, states: make(map[ident.NodeID]entry)}
}

// Merge stores the states that are newer than those in the table. It returns those of
// other nodes among them.
func (t *StateTable) Merge(now time.Time, states []NodeState) []NodeState {
	var updated []NodeState
	for i := range states {
		s := &states[i]
		if s.Incarnation.Node == t.self.Node && s.Incarnation != t.self {
			continue // an earlier incarnation of this node
		}
		old, known := t.states[s.Incarnation.Node]
		if known && !newer(s, old.state) {
			continue
		}
		t.states[s.Incarnation.Node] = entry{s, now}
		if s.Incarnation != t.self {
			updated = append(updated, *s)
		}
	}
	return updated
}

func newer(a, b *NodeState) bool {
	if a.Incarnation.Incarnation != b.Incarnation.Incarnation {
		return a.Incarnation.Incarnation > b.Incarnation.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// Expire drops the states of nodes without a new heartbeat within StateRetention.
func (t *StateTable) Expire(now time.Time) {
	for node, e := range t.states {
		if now.Sub(e.updatedAt) > StateRetention {
			delete(t.states, node)
		}
	}
}

// All returns all states, in no particular order.
func (t *StateTable) All() []NodeState {
	out := make([]NodeState, 0, len(t.states))
	for _, e := range t.states {
		out = append(out, *e.state)
	}
	return out
}

// Digest returns the heartbeats of all states, by a hash of the node's incarnation.
func (t *StateTable) Digest() map[uint64]uint64 {
	out := make(map[uint64]uint64, len(t.states))
	for _, e := range t.states {
		out[e.state.digestKey()] = e.state.Heartbeat
	}
	return out
}

// MissingFrom returns the states that a digest lacks or has with a lower heartbeat.
func (t *StateTable) MissingFrom(digest map[uint64]uint64) []*NodeState {
	var out []*NodeState
	for _, e := range t.states {
		if e.state.Heartbeat > digest[e.state.digestKey()] {
			out = append(out, e.state)
		}
	}
	return out
}

// HeardOf reports whether the state of the node at an address was updated at most age ago.
func (t *StateTable) HeardOf(now time.Time, address string, age time.Duration) bool {
	for _, e := range t.states {
		if e.state.Address == address && now.Sub(e.updatedAt) <= age {
			return true
		}
	}
	return false
}

// HeardSince returns the time since which all other nodes that are not leaving have sent a
// state; now if there are none.
func (t *StateTable) HeardSince(now time.Time) time.Time {
	since := now
	for _, e := range t.states {
		if e.state.Incarnation != t.self && !e.state.Leaving && e.updatedAt.Before(since) {
			since = e.updatedAt
		}
	}
	return since
}

// Peers returns the states of other nodes that were updated at most age ago. They must not be
// changed.
func (t *StateTable) Peers(now time.Time, age time.Duration) []*NodeState {
	var out []*NodeState
	for _, e := range t.states {
		if e.state.Incarnation != t.self && now.Sub(e.updatedAt) <= age {
			if out == nil {
				out = make([]*NodeState, 0, len(t.states))
			}
			out = append(out, e.state)
		}
	}
	return out
}
