package sharing

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
)

// StateRetention is how long a node's row is kept without a new beat. It is above the
// time after which its part of a limit goes to others.
const StateRetention = 20 * time.Second

// NodeState is what a node tells of itself.
type NodeState struct {
	Incarnation quota.NodeIncarnation
	Heartbeat   uint64
	// Address is the IP:port of the node's service.
	Address string
	// ConfigVersion in force at the node; zero for none.
	ConfigVersion uint64
	Spent         quota.Spending
	Loads         map[ident.EndpointID]placement.Load
	// Leaving tells that the node is about to stop.
	Leaving bool
	// BadVersions holds versions that the node has found bad, and Evidence what it has counted
	// of version moves under way.
	BadVersions []rollout.Arm
	Evidence    rollout.Evidence
	// PrefixLocations are the prefixes that the node has lately sent to engines.
	PrefixLocations []placement.PrefixLocation
	// StoreVersion is the latest version of a registration that the node has seen.
	StoreVersion platformapi.Version
	// StoreUnreachable tells that the node can't follow the store at present.
	StoreUnreachable bool
	// AsOf is when the node told this, by the time of day as the node takes it to be.
	AsOf time.Time
	// Windows holds the requests begun in the latest usage windows, by workspace.
	Windows map[int64]map[ident.Workspace]uint64
}

// key names a row's life in a digest.
func (r *NodeState) key() uint64 { return keyOf(r.Incarnation) }

func keyOf(life quota.NodeIncarnation) uint64 {
	return xxhash.Sum64String(string(life.Node) + "/" + strconv.FormatUint(uint64(life.Incarnation), 10))
}

// StateTable holds the rows of all nodes. It does no I/O.
type StateTable struct {
	self quota.NodeIncarnation
	rows map[ident.NodeID]entry
}

type entry struct {
	row   NodeState
	since time.Time // of the last new beat
}

// NewStateTable returns an empty table of a node.
func NewStateTable(self quota.NodeIncarnation) *StateTable {
	return &StateTable{self: self, rows: make(map[ident.NodeID]entry)}
}

// Merge takes rows and returns those of other nodes that are new.
func (t *StateTable) Merge(now time.Time, rows []NodeState) []NodeState {
	var fresh []NodeState
	for _, r := range rows {
		if r.Incarnation.Node == t.self.Node && r.Incarnation != t.self {
			continue // an earlier life of this node
		}
		old, known := t.rows[r.Incarnation.Node]
		if known && !newer(r, old.row) {
			continue
		}
		t.rows[r.Incarnation.Node] = entry{r, now}
		if r.Incarnation != t.self {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

func newer(a, b NodeState) bool {
	if a.Incarnation.Incarnation != b.Incarnation.Incarnation {
		return a.Incarnation.Incarnation > b.Incarnation.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// Expire drops the rows of nodes that have been silent for too long.
func (t *StateTable) Expire(now time.Time) {
	for node, e := range t.rows {
		if now.Sub(e.since) > StateRetention {
			delete(t.rows, node)
		}
	}
}

// All returns all rows.
func (t *StateTable) All() []NodeState {
	out := make([]NodeState, 0, len(t.rows))
	for _, e := range t.rows {
		out = append(out, e.row)
	}
	return out
}

// Digest returns the beats of all rows by key.
func (t *StateTable) Digest() map[uint64]uint64 {
	out := make(map[uint64]uint64, len(t.rows))
	for _, e := range t.rows {
		out[e.row.key()] = e.row.Heartbeat
	}
	return out
}

// MissingFrom returns the rows that are newer than those of a digest.
func (t *StateTable) MissingFrom(digest map[uint64]uint64) []NodeState {
	var out []NodeState
	for _, e := range t.rows {
		if e.row.Heartbeat > digest[e.row.key()] {
			out = append(out, e.row)
		}
	}
	return out
}

// Peers returns the rows of other nodes that are at most that old.
func (t *StateTable) Peers(now time.Time, age time.Duration) []NodeState {
	var out []NodeState
	for _, e := range t.rows {
		if e.row.Incarnation != t.self && now.Sub(e.since) <= age {
			out = append(out, e.row)
		}
	}
	return out
}
