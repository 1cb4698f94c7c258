package peer

import (
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Message is the unit of exchange between nodes.
type Message = peerv1.Message

// Send is a message for the driver to deliver. To is empty if only the address is
// known.
type Send struct {
	To      ident.NodeID
	Address string
	Message *Message
}

// Topic is the type of a log entry.
type Topic uint8

// Topics of log entries.
const (
	TopicMember         Topic = iota + 1 // MemberSummary, within the data centre
	TopicSuspicion                       // Suspicion; the key is the suspected node
	TopicLoad                            // reported load of an endpoint, within the data centre
	TopicEvidence                        // Counters of a version move, within the data centre
	TopicAggregate                       // Aggregate of a data centre, fleet-wide
	TopicEvidenceSum                     // Counters summed over a data centre, fleet-wide
	TopicSummary                         // summary by a delegate, opaque to this package, fleet-wide
	TopicFleetSuspicion                  // Suspicion of a node of another data centre
)

func (t Topic) scope() scope {
	switch t {
	case TopicAggregate, TopicEvidenceSum, TopicSummary, TopicFleetSuspicion:
		return scopeFleet
	default:
		return scopeLocal
	}
}

// State is this node's view of the state of a member.
type State uint8

// The states of a member.
const (
	StateJoining State = iota // received from another node, has not advanced yet
	StateAlive
	StateSuspect // silent for longer than SuspectAfter
	StateGone    // silent according to enough witnesses, or for longer than DropAfter
	StateLeft    // announced itself that it leaves
)

var stateNames = [...]string{"joining", "alive", "suspect", "gone", "left"}

// String returns the name used in logs and status.
func (s State) String() string { return stateNames[s] }

// Member is one node of the data centre.
type Member struct {
	ID          ident.NodeID
	Incarnation ident.Incarnation
	Address     string
	DataCentre  ident.DataCentre
	State       State
	// Revision of the configuration in force on the member.
	Revision ident.Revision
	// SinceLastContact is the time since its log last advanced.
	SinceLastContact time.Duration
}

// Delegate is a node that exchanges state with other data centres on behalf of its
// own.
type Delegate struct {
	ID      ident.NodeID
	Address string
}

// DataCentre is the aggregated state of one data centre.
type DataCentre struct {
	Name           ident.DataCentre
	Alive, Suspect int
	// MinRevision and MaxRevision are the lowest and highest configuration revision
	// in force.
	MinRevision, MaxRevision ident.Revision
	Delegates                []Delegate
	// SinceLastContact is the time since the log with the aggregate last advanced.
	SinceLastContact time.Duration
}

// MarkKind is the type of a mark.
type MarkKind uint8

// Kinds of marks.
const (
	MarkEndpointLeaving MarkKind = iota + 1 // subject EndpointID, number Incarnation
	MarkHostLeaving                         // subject Host, number Incarnation
	MarkBadVersion                          // subject a version move, number 1
	MarkRevision                            // subject empty, number the configuration Revision
	MarkMoveRecord                          // subject a version move, number the sequence number of its record
)

// Mark is a grow-only register: the highest number of a subject wins, and among
// equal numbers the greater value.
type Mark struct {
	Kind    MarkKind
	Subject string
	Number  uint64
	Value   []byte
}

// Entry is one entry of a log.
type Entry struct {
	Owner ident.NodeID
	Topic Topic
	Key   string
	Value []byte
}

// ChangeKind is the type of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	ChangeMember  ChangeKind = iota + 1 // Member is set
	ChangeEntry                         // Entry is set; its Value is nil if it was removed
	ChangeMark                          // Mark is set
	ChangeRefuted                       // this node raised its own incarnation
)

// Change is one change of a node's state, returned by Changes.
type Change struct {
	Kind   ChangeKind
	Member Member
	Entry  Entry
	Mark   Mark
}

// Counters are grow-only counts, merged by maximum.
type Counters []uint64
