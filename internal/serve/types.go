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

// Request is a request from a caller.
type Request struct {
	ID     ident.RequestID
	Method string
	// Target is the path and query as received; Path is the path without the query.
	Target, Path string
	Host         string
	// Key is the workspace key that the caller sent; empty for none.
	Key string
	// Header contains the header fields to forward to the endpoint.
	Header http.Header
	Body   []byte
	// Arrived is when the request's header was read, and ArrivedSinceBoot the time since
	// the host's boot at that moment, which includes the time that a host is suspended.
	Arrived          time.Time
	ArrivedSinceBoot time.Duration
	// MaxWait is how long the caller waits for the response, from Arrived; zero if not
	// stated.
	MaxWait time.Duration
	// LastEvent is the ID of the event after which the caller resumes a stream; zero for
	// a new stream.
	LastEvent int
	// Prompt describes a generation request; it is the zero value for other requests.
	Prompt placement.Prompt
}

// Head is the status and header of a response.
type Head struct {
	Status int
	Header http.Header
}

// Writer sends the response to the caller. Its methods return an error if the caller
// has disconnected.
type Writer interface {
	// Complete sends a response that is not a stream.
	Complete(h Head, body []byte) error
	// Begin sends the head of a stream; its events follow.
	Begin(h Head) error
	// Event sends an event unchanged.
	Event(raw string) error
	// Refuse sends err to the caller in place of a response.
	Refuse(err *verdict.Error)
	// Abort ends an incomplete response in such a way that the caller can detect it.
	Abort()
}

// Attempt is one dispatch of a request to an endpoint.
type Attempt struct {
	Request   *Request
	Endpoint  site.Endpoint
	Workspace ident.Workspace
	Deadline  time.Time
	// Priority of the attempt at the endpoint; 0 is the most urgent.
	Priority int
	// After is the ID of the last event that the caller has; zero for a stream from its
	// start.
	After int
	// Stream reports whether a successful response is a stream of events.
	Stream bool
	// FetchFrom is the address of an engine that probably has the KV cache of a prefix of
	// the prompt; empty for none.
	FetchFrom string
	// Homes are the regions to which the request is bound.
	Homes site.Homes
	// Through are nodes through one of which the attempt must be sent, as only they have a share
	// of what the endpoint takes; empty to send it from here.
	Through []ident.NodeID
	// SpendsShare reports whether the attempt is another node's that has no share of its own.
	SpendsShare bool
	// Repeated reports whether the attempt was placed at its endpoint before and is sent there once
	// more.
	Repeated bool
	// CallerGone reports whether the caller has left. It is checked right before the attempt is
	// sent; nil if it isn't known.
	CallerGone func() bool
	// MayStart returns an error with verdict NotRun if this node stops before the attempt would
	// end. It is checked right before the attempt is sent; nil if nothing has to be checked.
	MayStart func() *verdict.Error
	// Statements, if not nil, is set to what the endpoint states in its response.
	Statements *Statements
	// Import is the KV copy of the migrated request that this attempt resumes; nil for a
	// request that starts anew.
	Import *KVCopy
}

// Kind returns what the attempt is to its endpoint.
func (a Attempt) Kind() placement.SendKind {
	if a.Import != nil {
		return placement.SendContinuation
	}
	return placement.SendRequest
}

// KVCopy refers to the KV cache of a running request that was copied for its migration
// to another engine.
type KVCopy struct {
	// Source is the address of the engine at which the request was stopped.
	Source string
	// Handle identifies the copy. It can be used once.
	Handle string
}

// Migration is a request to copy the KV cache of a running request to another engine.
type Migration struct {
	Request  ident.RequestID
	From, To site.Endpoint
	// Stop stops the request at its engine before the rest of its KV cache is copied; its
	// stream breaks off there without an end mark. If Stop is false, the request continues
	// to run.
	Stop bool
}

// Answer is an endpoint's response: its head with either a body or events.
type Answer struct {
	Head Head
	// Load is the load that the endpoint reported with the response.
	Load Load
	// Body is the complete body of a response that is not a stream. Its memory counts
	// towards a limit until Release is called.
	Body    []byte
	Release func()
	// Events is nil if the response is not a stream.
	Events Events
}

// Load is the load that an endpoint reports of itself.
type Load struct {
	// Known reports whether the endpoint reported its load.
	Known                   bool
	Running, Waiting, Slots int
	// Pace is how long work takes at the endpoint's host at the moment, as a multiple of the
	// usual time; zero if it was not reported.
	Pace float64
}

// Event is one event of a stream.
type Event struct {
	// ID is the number of the event in its stream, from 1.
	ID int
	// Raw is the event as received.
	Raw string
}

// Events reads the events of a stream. Next returns io.EOF after the last event of a
// complete stream, ErrUnmarkedEnd if only the end of the connection may mark its end, and
// io.ErrUnexpectedEOF if the stream broke off.
type Events interface {
	Next() (Event, error)
	Close()
}

// TimeLeft returns the time until the attempt's deadline, including any time that the host
// was suspended since the request arrived.
func (a *Attempt) TimeLeft(sinceBoot time.Duration) time.Duration {
	left := time.Until(a.Deadline)
	if a.Request.ArrivedSinceBoot > 0 {
		left = min(left, a.Deadline.Sub(a.Request.Arrived)-(sinceBoot-a.Request.ArrivedSinceBoot))
	}
	return left
}

// Reachability is the result of an attempt to connect to an endpoint.
type Reachability uint8

// The results.
const (
	// NoAnswer means that neither a connection nor a refusal came in time.
	NoAnswer Reachability = iota
	// Refused means that the endpoint's host refuses connections, as it does where the
	// endpoint's process has ended.
	Refused
	// Connected means that the endpoint has accepted a connection.
	Connected
)

// Statements are what an endpoint states about itself in a response.
type Statements struct {
	Leaving bool
	// BackOff is the time for which it wants no calls; zero if it states none.
	BackOff time.Duration
	// LimitStated reports whether Limit is known: a malformed limit says nothing.
	LimitStated bool
	Limit       EndpointLimit
}

// Apply passes the statements of an endpoint on to signals.
func (s Statements) Apply(e site.Endpoint, signals EndpointSignals) {
	if s.Leaving {
		signals.Leaving(e)
	}
	if s.BackOff > 0 {
		signals.BackOff(e, s.BackOff)
	}
	if s.LimitStated {
		signals.Limit(e, s.Limit)
	}
}

// EndpointLimit is what a response states about the limit of its endpoint.
type EndpointLimit struct {
	// Named reports whether it names a limit: PerSecond requests or calls per second from
	// all nodes together.
	Named     bool
	PerSecond float64
	// Brittle reports whether the endpoint fails if it has to turn away more than MaxRefusals
	// requests per second for want of room.
	Brittle     bool
	MaxRefusals float64
	// Sent is when the request of the response was sent.
	Sent time.Time
}

// EndpointSignals records what endpoints state in their responses, and decides what may still
// be sent to them.
type EndpointSignals interface {
	// Leaving is called when an endpoint states that it is leaving.
	Leaving(e site.Endpoint)
	// BackOff is called when an endpoint turns a request away and wants no calls for d.
	BackOff(e site.Endpoint, d time.Duration)
	// Limit is called with what each response states about the limit of its endpoint.
	Limit(e site.Endpoint, l EndpointLimit)
	// SentUnplaced is called before a call or a request is sent to an endpoint without having
	// been placed there, since it concerns a request at that endpoint.
	SentUnplaced(e site.Endpoint)
	// MaySend returns an error with verdict NotRun if nothing may be sent to an endpoint
	// now. A leaving endpoint still accepts calls, and for some time what continues a request,
	// but no new ones. It is checked right before the first byte is sent.
	MaySend(e site.Endpoint, kind placement.SendKind) *verdict.Error
}

// Transport sends attempts to endpoints. Its errors are of type *verdict.Error, with
// verdict NotRun only if nothing was sent or the endpoint stated that it has not run the
// request.
type Transport interface {
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Migrate copies the KV cache of a running request to another engine. If it returns a
	// copy together with an error, the request was stopped and has to resume at its own
	// engine. An error without a copy has verdict NotRun only if the request was certainly not
	// stopped.
	Migrate(ctx context.Context, m Migration) (*KVCopy, error)
	// Probe tries to connect to an endpoint.
	Probe(ctx context.Context, e site.Endpoint) Reachability
	// SetSignals sets where the statements of endpoints are recorded. It must be called
	// before the first Send.
	SetSignals(s EndpointSignals)
}
