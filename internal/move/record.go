package move

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// KeyPrefix is the prefix of the moves' objects in the store.
const KeyPrefix platformapi.Key = "move/"

// RecordKey returns the store key of a move.
func RecordKey(name ident.MoveName) platformapi.Key { return KeyPrefix + platformapi.Key(name) }

// State of a move.
type State string

// The states. Done, Undone and Superseded are terminal.
const (
	StateWaiting    State = "waiting"    // not begun
	StateAdvancing  State = "advancing"  // both versions serve
	StateBaking     State = "baking"     // the new version serves, the old one is kept warm
	StateDone       State = "done"       // the new version serves for good
	StateUndone     State = "undone"     // the old version serves; the move never begins again
	StateSuperseded State = "superseded" // a later move took its place
)

// Terminal tells whether a move in this state never changes again.
func (s State) Terminal() bool {
	return s == StateDone || s == StateUndone || s == StateSuperseded
}

// Share is a share of requests in thousandths.
type Share int

// FullShare is all requests.
const FullShare Share = 1000

// Record is what is kept of a move. It changes by conditional update only.
type Record struct {
	Move  ident.MoveName `json:"move"`
	State State          `json:"state"`
	// Service, From and To are those of the file that began the move; a later
	// change of the file does not change them.
	Service ident.Service `json:"service"`
	From    ident.Version `json:"from"`
	To      ident.Version `json:"to"`
	// Share of the requests that the new version gets.
	Share Share `json:"share"`
	// Sequence grows with each write.
	Sequence uint64 `json:"sequence"`
	// Epoch is the fencing number of the last holder that advanced the move.
	Epoch ident.Epoch `json:"epoch"`
	// Revision of the configuration with which the move began.
	Revision  ident.Revision `json:"revision"`
	Begun     time.Time      `json:"begun"`
	Stepped   time.Time      `json:"stepped"` // when Share last grew
	FinishBy  time.Time      `json:"finish_by"`
	BakeUntil time.Time      `json:"bake_until"`
	// Proved tells whether enough requests were compared to go past the small share.
	Proved bool `json:"proved"`
	// Reason says why the move is in its state, with numbers.
	Reason   string       `json:"reason"`
	Evidence []Finding    `json:"evidence,omitempty"`
	Writer   ident.NodeID `json:"writer"`
}

// Encode returns the stored form.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode move")) // the record holds nothing that JSON does not
	}
	return b
}

// DecodeRecord decodes a stored move.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return r, errors.Wrap(err, "decode move")
	}
	return r, nil
}

// Mark says that a version is bad in a move. Marks only grow in number.
type Mark struct {
	Move    ident.MoveName `json:"move"`
	Service ident.Service  `json:"service"`
	Version ident.Version  `json:"version"`
	Reason  string         `json:"reason"`
	At      time.Time      `json:"at"`
	By      ident.NodeID   `json:"by"`
}

// Serving returns the version that serves a service where no move is under way:
// that of the configuration, led on by the moves that came to their end.
func Serving(svc config.Service, records []Record) ident.Version {
	version := svc.Version
	used := make(map[ident.MoveName]bool)
	for {
		next, ok := follow(svc.Name, version, records, used)
		if !ok {
			return version
		}
		used[next.Move] = true
		version = next.To
	}
}

// follow returns the finished move that begins at a version, the earliest first.
func follow(service ident.Service, version ident.Version, records []Record, used map[ident.MoveName]bool) (Record, bool) {
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
