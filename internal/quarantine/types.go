package quarantine

import (
	"strconv"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Trait identifies what several requests may have in common: a prompt segment, or the
// signature of a request and its repeats.
type Trait uint64

// String returns the trait in hexadecimal, as in logs.
func (s Trait) String() string { return strconv.FormatUint(uint64(s), 16) }

// Crash is the end of an endpoint while a request there was not completed. Its times are times
// of day.
type Crash struct {
	Endpoint site.IncarnationHash
	// Dispatched is when the request was sent, and At when its connection broke off.
	Dispatched, At time.Time
	// Signature identifies the request and its repeats; zero if it is not known.
	Signature Trait
	// Segments are the segments of the request's prompt that other requests may have, too;
	// none if the endpoint was answering.
	Segments []Trait
	// Answering reports whether the endpoint had done more than begin to answer.
	Answering bool
}

// traits calls f with the signature and the segments until it returns false.
func (c *Crash) traits(f func(Trait) bool) {
	if c.Signature != 0 && !f(c.Signature) {
		return
	}
	for _, s := range c.Segments {
		if !f(s) {
			return
		}
	}
}

// crashKey identifies a crash: one attempt at one endpoint.
type crashKey struct {
	endpoint   site.IncarnationHash
	signature  Trait
	dispatched int64 // Unix milliseconds, as in reports
	segments   int
	last       Trait // segment
}

func (c *Crash) key() crashKey {
	k := crashKey{c.Endpoint, c.Signature, c.Dispatched.UnixMilli(), len(c.Segments), 0}
	if n := len(c.Segments); n > 0 {
		k.last = c.Segments[n-1]
	}
	return k
}

// Answer states when an endpoint last began to answer a request with a segment, or last
// completed one with a signature.
type Answer struct {
	Trait Trait
	Began time.Time
}

// Hold states until when requests with a trait are held back.
type Hold struct {
	Trait Trait
	Until time.Time
}

// Report is what a node sends to the other nodes.
type Report struct {
	// Crashes are those that the node has seen itself.
	Crashes []Crash
	// Answers are those that the node has seen itself, for traits of known crashes.
	Answers []Answer
	// Holds are all that the node knows of.
	Holds []Hold
}

// Event is a change of the state of a trait.
type Event struct {
	Trait Trait
	Kind  EventKind
	// Crashes is the number of endpoints that crashed, for EventSuspected, and Alternatives that of
	// other suspects that these crashes can't distinguish from the trait.
	Crashes, Alternatives int
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventSuspected means that requests with the trait, and with all its alternatives, are held
	// back from now on, unless an answer becomes known.
	EventSuspected EventKind = "suspected"
	// EventCleared means that they are no longer held back.
	EventCleared EventKind = "cleared"
	// EventHeld means that no answer became known and they are held back for HoldTime.
	EventHeld EventKind = "held"
)
