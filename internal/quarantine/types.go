package quarantine

import (
	"strconv"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/site"
)

// Segment identifies a prompt segment that several requests may have in common.
type Segment uint64

// String returns the segment in hexadecimal, as in logs.
func (s Segment) String() string { return strconv.FormatUint(uint64(s), 16) }

// Crash is the end of an endpoint while a request there had no answer. Its times are times of
// day.
type Crash struct {
	Endpoint site.IncarnationHash
	// Dispatched is when the request was sent, and At when its connection broke off.
	Dispatched, At time.Time
	// Segments are the segments of the request's prompt that other requests may have, too.
	Segments []Segment
}

// same reports whether two crashes are of the same request at the same endpoint.
func (c Crash) same(o Crash) bool {
	return c.Endpoint == o.Endpoint && c.Dispatched.UnixMilli() == o.Dispatched.UnixMilli() && len(c.Segments) == len(o.Segments) &&
		(len(c.Segments) == 0 || c.Segments[len(c.Segments)-1] == o.Segments[len(o.Segments)-1])
}

// Answer states when an endpoint last began to answer a request with a segment.
type Answer struct {
	Segment Segment
	Began   time.Time
}

// Hold states until when requests with a segment are held back.
type Hold struct {
	Segment Segment
	Until   time.Time
}

// Report is what a node sends to the other nodes.
type Report struct {
	// Crashes are those that the node has seen itself.
	Crashes []Crash
	// Answers are those that the node has seen itself, for segments of known crashes.
	Answers []Answer
	// Holds are all that the node knows of.
	Holds []Hold
}

// Event is a change of the state of a segment.
type Event struct {
	Segment Segment
	Kind    EventKind
	// Crashes is the number of endpoints that crashed, for EventSuspected.
	Crashes int
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	// EventSuspected means that requests with the segment are held back from now on, unless
	// an answer becomes known.
	EventSuspected EventKind = "suspected"
	// EventCleared means that they are no longer held back.
	EventCleared EventKind = "cleared"
	// EventHeld means that no answer became known and they are held back for HoldTime.
	EventHeld EventKind = "held"
)
