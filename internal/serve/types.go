package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Request is a caller's request.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the path and query as the caller sent them; Path is the path alone.
	Target, Path string
	Host         string
	// Key tells the caller's workspace; empty where none was sent.
	Key string
	// Header holds what is passed on to the endpoint.
	Header http.Header
	Body   []byte
	// Arrived is when the request's head was read.
	Arrived time.Time
	// MaxWait is how long the caller waits from Arrived; zero if it doesn't tell.
	MaxWait time.Duration
	// LastEvent is the number of the event after which a caller resumes a stream; zero
	// for none.
	LastEvent int
	// Prompt describes a generation; its zero value any other request.
	Prompt placement.Prompt
}

// Head is the beginning of an answer.
type Head struct {
	Status int
	Header http.Header
}

// Writer takes the answer to a request. Its methods return an error when the
// caller has gone.
type Writer interface {
	// Complete delivers a complete answer.
	Complete(h Head, body []byte) error
	// Begin starts an answer whose events follow.
	Begin(h Head) error
	// Event delivers an event as it is.
	Event(raw string) error
	// Refuse ends a request that has no answer.
	Refuse(err *verdict.Error)
	// Abort ends an answer that can't be completed, so that the caller can tell.
	Abort()
}

// Attempt is one dispatch of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  site.Endpoint
	Workspace ident.Workspace
	Deadline  time.Time
	// Priority at the endpoint; 0 is the most urgent.
	Priority int
	// After is the number of the last event that the caller has; zero from the start.
	After int
	// Stream tells that a successful answer comes as events.
	Stream bool
	// FetchFrom is the address of an engine that likely holds a part of the prompt's KV
	// cache; empty for none.
	FetchFrom string
	// Import is the run that this attempt goes on with; nil where it begins anew.
	Import *KVCopy
}

// KVCopy is the memory of a run that was moved to another engine.
type KVCopy struct {
	// Source is the address of the engine that the run was stopped at.
	Source string
	// Handle names the copy. It can be used once.
	Handle string
}

// Migration asks for a copy of a run's memory.
type Migration struct {
	Request  ident.RequestID
	From, To site.Endpoint
	// Stop ends the run at its engine before the last part is copied; its stream ends
	// there without an end mark. Without it the run goes on.
	Stop bool
}

// Answer is what an endpoint sent back: either a body or events follow its head.
type Answer struct {
	Head Head
	// Load is what the endpoint said of its load.
	Load Load
	// Body of an answer that is no stream, complete.
	Body []byte
	// Events is nil for an answer that is no stream.
	Events Events
}

// Load is an endpoint's own word of its load.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Event is one event of a stream.
type Event struct {
	// ID numbers the event, from 1.
	ID int
	// Raw is the event as it came.
	Raw string
}

// Events reads a stream. Next returns io.EOF after the last event of a complete
// answer and io.ErrUnexpectedEOF where the stream broke off.
type Events interface {
	Next() (Event, error)
	Close()
}

// Transport sends attempts to endpoints. The error is a *verdict.Error: NotRun only
// where nothing was sent, or where the endpoint says that it has not run the request.
type Transport interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Migrate copies the memory of a run to another engine. A copy is returned beside an
	// error where the run was stopped and has to go on at its own engine.
	Migrate(ctx context.Context, m Migration) (*KVCopy, error)
}
