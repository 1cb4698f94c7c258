package admit

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Request asks to be admitted.
type Request struct {
	Workspace ident.Workspace
	Class     ident.Class
	Service   ident.Service
	// Deadline by which the request must have ended.
	Deadline time.Time
}

// Ticket names an admitted or queued request of one Controller. Zero names none.
type Ticket uint64

// Kind tells what was decided.
type Kind uint8

// The decisions.
const (
	Refused Kind = iota
	Admitted
	Queued
)

// Decision is the answer to an offer.
type Decision struct {
	Kind   Kind
	Ticket Ticket         // unless refused
	Err    *verdict.Error // where refused: NotRun, with the time to come back
}

// Event ends the wait of a queued request: granted where Err is nil, refused
// otherwise.
type Event struct {
	Ticket Ticket
	Err    *verdict.Error
}

// Stats counts what a Controller did, by class.
type Stats struct {
	Admitted [numClasses]uint64 // at once or from a queue
	Queued   [numClasses]uint64
	Refused  [numClasses]uint64
	Aged     [numClasses]uint64 // granted ahead of higher classes for their age
	Shed     [numClasses]uint64 // refused from a queue to make room
}

// numClasses is the size of arrays indexed by ident.Class.
const numClasses = int(ident.ClassLookup) + 1
