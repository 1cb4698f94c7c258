package admit

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Request describes a request to be admitted.
type Request struct {
	Workspace ident.Workspace
	Class     ident.Class
	Service   ident.Service
	// Deadline is the time by which the request must have ended; zero means none.
	Deadline time.Time
}

// Ticket identifies an admitted or queued request of one Controller. Zero is not a
// valid ticket.
type Ticket uint64

// Kind is the outcome of an offer.
type Kind uint8

// Outcomes of an offer.
const (
	Refused Kind = iota
	Admitted
	Queued
)

// Decision is the result of an offer.
type Decision struct {
	Kind   Kind
	Ticket Ticket         // zero if refused
	Err    *verdict.Error // if refused: verdict NotRun, with the retry delay
}

// Event ends the wait of a queued request: the request is granted if Err is nil, and
// refused otherwise.
type Event struct {
	Ticket Ticket
	Err    *verdict.Error
}

// Stats counts the decisions of a Controller by class.
type Stats struct {
	Admitted [numClasses]uint64 // immediately or from a queue
	Queued   [numClasses]uint64
	Refused  [numClasses]uint64
	Aged     [numClasses]uint64 // granted ahead of higher classes because of ageing
	Shed     [numClasses]uint64 // removed from a full queue in favour of a higher class
}

// numClasses is the size of arrays indexed by ident.Class.
const numClasses = int(ident.ClassLookup) + 1
