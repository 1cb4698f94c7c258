package peer

import (
	"time"

	peerv1 "github.com/jujubeshed/jujubeshed/api/gen/peer/v1"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Message is what nodes exchange.
type Message = peerv1.Message

// Send asks the driver to deliver a message. To is empty where only the address
// is known.
type Send struct {
	To      ident.NodeID
	Address string
	Message *Message
}

// Topic tells what an entry of a log is about.
type Topic uint8

// The topics.
const (
	TopicMember         Topic = iota + 1 // MemberSummary, within the data centre
	TopicSuspicion                       // Suspicion; the key is the suspected node
	TopicLoad                            // detail of an endpoint, within the data centre
	TopicEvidence                        // Counters of a version move, within the data centre
	TopicAggregate                       // Aggregate of a data centre, fleet-wide
	TopicEvidenceSum                     // Counters summed over a data centre, fleet-wide
	TopicSummary                         // opaque summary by a delegate, fleet-wide
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

// State is the state of a member as this node sees it.
type State uint8

// The states of a member.
const (
	StateJoining State = iota // learnt second-hand, not yet seen to advance
	StateAlive
	StateSuspect // silent, or so a witness says
	StateGone    // silent by two witnesses
	StateLeft    // said so itself
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
	// Revision of the configuration that it has in force.
	Revision ident.Revision
	// SinceLastContact is how long ago its log was seen to advance.
	SinceLastContact time.Duration
}

// Delegate is a node that speaks for its data centre.
type Delegate struct {
	ID      ident.NodeID
	Address string
}

// DataCentre is the aggregate of one data centre.
type DataCentre struct {
	Name           ident.DataCentre
	Alive, Suspect int
	// MinRevision and MaxRevision span the revisions in force.
	MinRevision, MaxRevision ident.Revision
	Delegates                []Delegate
	// SinceLastContact is how long ago the aggregate's log was seen to advance.
	SinceLastContact time.Duration
}

// MarkKind tells what a mark is about.
type MarkKind uint8

// The kinds of mark.
const (
	MarkEndpointLeaving MarkKind = iota + 1 // subject EndpointID, number Incarnation
	MarkHostLeaving                         // subject Host, number Incarnation
	MarkBadVersion                          // subject move, number 1
	MarkRevision                            // subject empty, number Revision
	MarkMoveRecord                          // subject move, number the sequence of its record
)

// Mark is a grow-only register: the highest number of a subject wins, and among
// equal numbers the greater value.
type Mark struct {
	Kind    MarkKind
	Subject string
	Number  uint64
	Value   []byte
}

// Entry is one value of a log.
type Entry struct {
	Owner ident.NodeID
	Topic Topic
	Key   string
	Value []byte
}

// ChangeKind tells what a Change is about.
type ChangeKind uint8

// The kinds of change.
const (
	ChangeMember  ChangeKind = iota + 1 // Member is set
	ChangeEntry                         // Entry is set; its Value is nil where it was removed
	ChangeMark                          // Mark is set
	ChangeRefuted                       // this node took a higher incarnation
)

// Change is one change of the state, drained by Changes.
type Change struct {
	Kind   ChangeKind
	Member Member
	Entry  Entry
	Mark   Mark
}

// Counters are grow-only counts, merged by maximum.
type Counters []uint64
