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

// ForgetAfter is how long a node's row is kept without a new beat. It is above the
// time after which its part of a limit goes to others.
const ForgetAfter = 20 * time.Second

// Row is what a node tells of itself.
type Row struct {
	Life quota.NodeLife
	Beat uint64
	// Address is the IP:port of the node's service.
	Address string
	// ConfigVersion in force at the node; zero for none.
	ConfigVersion uint64
	Spent         quota.Spending
	Loads         map[ident.EndpointID]placement.Load
	// Leaving tells that the node is about to stop.
	Leaving bool
	// Bad holds versions that the node has found bad, and Evidence what it has counted
	// of version moves under way.
	Bad      []rollout.Arm
	Evidence rollout.Evidence
	// Held are the prefixes that the node has lately sent to engines.
	Held []placement.Held
	// Seen is the latest version of a registration that the node has seen.
	Seen platformapi.Version
	// StoreLost tells that the node can't follow the store at present.
	StoreLost bool
	// AsOf is when the node told this, by the time of day as the node takes it to be.
	AsOf time.Time
	// Windows holds the requests begun in the latest usage windows, by workspace.
	Windows map[int64]map[ident.Workspace]uint64
}

// key names a row's life in a digest.
func (r *Row) key() uint64 { return keyOf(r.Life) }

func keyOf(life quota.NodeLife) uint64 {
	return xxhash.Sum64String(string(life.Node) + "/" + strconv.FormatUint(uint64(life.Life), 10))
}

// Rows holds the rows of all nodes. It does no I/O.
type Rows struct {
	self quota.NodeLife
	rows map[ident.NodeID]entry
}

type entry struct {
	row   Row
	since time.Time // of the last new beat
}

// NewRows returns an empty table of a node.
func NewRows(self quota.NodeLife) *Rows {
	return &Rows{self: self, rows: make(map[ident.NodeID]entry)}
}

// Merge takes rows and returns those of other nodes that are new.
func (t *Rows) Merge(now time.Time, rows []Row) []Row {
	var fresh []Row
	for _, r := range rows {
		if r.Life.Node == t.self.Node && r.Life != t.self {
			continue // an earlier life of this node
		}
		old, known := t.rows[r.Life.Node]
		if known && !newer(r, old.row) {
			continue
		}
		t.rows[r.Life.Node] = entry{r, now}
		if r.Life != t.self {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

func newer(a, b Row) bool {
	if a.Life.Life != b.Life.Life {
		return a.Life.Life > b.Life.Life
	}
	return a.Beat > b.Beat
}

// Expire drops the rows of nodes that have been silent for too long.
func (t *Rows) Expire(now time.Time) {
	for node, e := range t.rows {
		if now.Sub(e.since) > ForgetAfter {
			delete(t.rows, node)
		}
	}
}

// All returns all rows.
func (t *Rows) All() []Row {
	out := make([]Row, 0, len(t.rows))
	for _, e := range t.rows {
		out = append(out, e.row)
	}
	return out
}

// Digest returns the beats of all rows by key.
func (t *Rows) Digest() map[uint64]uint64 {
	out := make(map[uint64]uint64, len(t.rows))
	for _, e := range t.rows {
		out[e.row.key()] = e.row.Beat
	}
	return out
}

// Lacking returns the rows that are newer than those of a digest.
func (t *Rows) Lacking(digest map[uint64]uint64) []Row {
	var out []Row
	for _, e := range t.rows {
		if e.row.Beat > digest[e.row.key()] {
			out = append(out, e.row)
		}
	}
	return out
}

// Others returns the rows of other nodes that are at most that old.
func (t *Rows) Others(now time.Time, age time.Duration) []Row {
	var out []Row
	for _, e := range t.rows {
		if e.row.Life != t.self && now.Sub(e.since) <= age {
			out = append(out, e.row)
		}
	}
	return out
}
