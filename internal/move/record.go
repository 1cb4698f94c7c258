package move

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// KeyPrefix is the prefix of the store keys of move records.
const KeyPrefix platformapi.Key = "move/"

// RecordKey returns the store key of the record of a move.
func RecordKey(name ident.MoveName) platformapi.Key { return KeyPrefix + platformapi.Key(name) }

// State is the state of a move.
type State string

// States of a move. Done, RolledBack and Superseded are terminal.
const (
	StateWaiting    State = "waiting"    // not started
	StateAdvancing  State = "advancing"  // both versions get requests
	StateBaking     State = "baking"     // the new version gets all requests, the old one is kept ready
	StateDone       State = "done"       // the new version gets all requests permanently
	StateRolledBack State = "undone"     // the old version gets all requests; the move never starts again
	StateSuperseded State = "superseded" // replaced by a later move or removed from the configuration
)

// Terminal reports whether the move has ended. The only transition out of a
// terminal state is from done to rolled back, by a mark that arrives late.
func (s State) Terminal() bool {
	return s == StateDone || s == StateRolledBack || s == StateSuperseded
}

// Share is a fraction of requests in thousandths.
type Share int

// FullShare is the share of a version that gets all requests.
const FullShare Share = 1000

// Record is the stored state of a move. It is changed by conditional update only.
type Record struct {
	Move  ident.MoveName `json:"move"`
	State State          `json:"state"`
	// Service, From and To are those of the configuration with which the move
	// started; later changes to the file do not affect them.
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	// Share is the share of the requests that the new version gets.
	Share Share `json:"share"`
	// Sequence increases by one with each write.
	Sequence uint64 `json:"sequence"`
	// Epoch is the fencing epoch of the last lease holder that changed the record.
	Epoch ident.Epoch `json:"epoch"`
	// Revision is the revision of the configuration with which the move started.
	Revision  ident.Revision `json:"revision"`
	Begun     time.Time      `json:"begun"`
	Stepped   time.Time      `json:"stepped"` // time of the last increase of Share
	FinishBy  time.Time      `json:"finish_by"`
	BakeUntil time.Time      `json:"bake_until"`
	// Proved reports whether enough requests were compared for the share to exceed
	// Options.MaxUnprovedShare.
	Proved bool `json:"proved"`
	// Reason explains to operators why the move is in its state.
	Reason   string       `json:"reason"`
	Evidence []Finding    `json:"evidence,omitempty"`
	Writer   ident.NodeID `json:"writer"`
}

// Encode returns the JSON form kept in the store.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode move record")) // unreachable: all fields can be represented in JSON
	}
	return b
}

// DecodeRecord decodes a record encoded by Record.Encode.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "decode move record")
	}
	return r, nil
}

// Mark states that the new version of a move is bad. Marks are never removed.
type Mark struct {
	Move    ident.MoveName `json:"move"`
	Service ident.Service  `json:"service"`
	Version ident.Version  `json:"version"`
	Reason  string         `json:"reason"`
	At      time.Time      `json:"at"`
	By      ident.NodeID   `json:"by"`
}

// Serving returns the version that serves a service while no move is in progress:
// the configured version, or the target of the chain of finished moves that starts
// at it.
func Serving(svc config.Service, records []Record) ident.Version {
	version := svc.Version
	used := make(map[ident.MoveName]bool)
	for {
		next, ok := nextFinished(svc.Name, version, records, used)
		if !ok {
			return version
		}
		used[next.Move] = true
		version = next.To
	}
}

// nextFinished returns the record of the earliest move that is baking or done,
// starts at the given version and is not in used.
func nextFinished(service ident.Service, version ident.Version, records []Record, used map[ident.MoveName]bool) (Record, bool) {
	var found Record
	ok := false
	for _, r := range records {
		finished := r.State == StateDone || r.State == StateBaking
		if !finished || used[r.Move] || r.Service != service || r.From != version {
			continue
		}
		if !ok || r.Begun.Before(found.Begun) || r.Begun.Equal(found.Begun) && r.Move < found.Move {
			found, ok = r, true
		}
	}
	return found, ok
}
