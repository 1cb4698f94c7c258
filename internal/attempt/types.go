package attempt

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Request describes a request to the machine.
type Request struct {
	ID         ident.RequestID
	Class      ident.Class
	Idempotent bool
	// Stream is set where the response is a stream of chunks of tokens.
	Stream bool
	// EndWithCaller ends the request when its caller disconnects even if it isn't
	// idempotent, as no other caller can use its response.
	EndWithCaller bool
	// Opaque is set where tokens are events that the endpoint resumes after by their
	// number; their text is not stored.
	Opaque   bool
	Deadline time.Time
	// DispatchBy is the time before which a request with a grant must be dispatched;
	// zero where there is no such limit.
	DispatchBy time.Time
	// PromptTokens and MaxTokens are estimates of the input and output; zero where unknown.
	PromptTokens, MaxTokens int
	// Resume is set where the request was started on another node.
	Resume State
}

// State is what another node needs to continue a request.
type State struct {
	// Attempts is the number of attempts so far, which keeps attempt IDs unique.
	Attempts int
	// Offset is the number of tokens delivered; Text is their text.
	Offset int
	Text   string
	// MayHaveRun is set unless every attempt so far is proved not to have run.
	MayHaveRun bool
	// Endpoint is that of the last source; its KV cache contains the tokens.
	Endpoint ident.EndpointID
}

// Options are the settings of a Machine.
type Options struct {
	// MaxAttempts is the maximum number of consecutive attempts that deliver no token.
	// Default: 4.
	MaxAttempts int
	// MaxSent is the maximum number of attempts of the request that may have run,
	// including hedges and resumes. Default: 0, no limit.
	MaxSent int
	// MaxRefusals is the maximum number of retries after attempts that did not run. If
	// zero, these count towards MaxAttempts instead. Default: 0.
	MaxRefusals int
	// HedgeAfter is the time without a first byte after which an idempotent quick or
	// lookup request is dispatched a second time. Default: 0, no hedge.
	HedgeAfter time.Duration
	// MigrationMargin is how long before the deadline of a leaving endpoint its
	// idempotent requests are resumed elsewhere at the latest. Default: 2s.
	MigrationMargin time.Duration
	// RetryAfter is the minimum retry delay that a failed request reports to its caller;
	// a refusal may give a longer one. Default: 1s.
	RetryAfter time.Duration
	// Costs decides between transferring the KV cache and computing it again.
	Costs Costs
}

func (o Options) withDefaults() Options {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = 4
	}
	if o.MigrationMargin == 0 {
		o.MigrationMargin = 2 * time.Second
	}
	if o.RetryAfter == 0 {
		o.RetryAfter = time.Second
	}
	return o
}

// Event is an input of a Machine.
type Event interface{ event() }

// Start starts the request.
type Start struct{}

// Picked reports the endpoint that the driver chose for an attempt.
type Picked struct {
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
}

// NotDispatched reports that an attempt provably did not run: no endpoint was found,
// no connection was made, or the endpoint refused it as "not run".
type NotDispatched struct {
	Attempt ident.AttemptID
	// NoEndpoint is set where there is no other endpoint to try.
	NoEndpoint bool
	// NeverSent is set where no connection was made, so that the attempt put no load on
	// any endpoint: another attempt costs no retry budget if MaxRefusals is set.
	NeverSent bool
	// Held is set where no endpoint may get the request, so that it ends at once.
	Held bool
	// Stopping is set where this node shuts down before the attempt would end, so that the
	// request ends at once.
	Stopping   bool
	RetryAfter time.Duration
	Cause      error
}

// Failed reports that an attempt failed after some of its bytes were sent.
type Failed struct {
	Attempt ident.AttemptID
	Cause   error
}

// Echo identifies the request and the attempt that a message belongs to, as returned by
// the endpoint.
type Echo struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// Chunk is one message of a stream.
type Chunk struct {
	Attempt ident.AttemptID // on whose connection it was received
	Echo    Echo
	Offset  int // of the first token
	Tokens  []string
	// Finish is the finish reason on the last chunk; empty on any other.
	Finish string
	// Total is the number of tokens of the complete response on the last chunk; zero
	// where the endpoint doesn't count them.
	Total int
}

// End reports the end mark of a stream.
type End struct {
	Attempt ident.AttemptID
}

// Truncated reports that a connection closed without the end mark, or before the
// announced length was received.
type Truncated struct {
	Attempt ident.AttemptID
}

// Response is a complete response that is not streamed.
type Response struct {
	Attempt ident.AttemptID
	Echo    Echo
	Status  int
}

// Leaving reports that an endpoint terminates at the deadline.
type Leaving struct {
	Endpoint ident.EndpointID
	Deadline time.Time
}

// Stop reports that this node shuts down before the request can end.
type Stop struct{}

// Terminate reports that this node exits now: the request ends with what is known of it.
type Terminate struct{}

// CallerGone reports that the caller's connection has closed.
type CallerGone struct{}

// Tick reports that the time returned by Machine.Next has been reached.
type Tick struct{}

func (Start) event()         {}
func (Picked) event()        {}
func (NotDispatched) event() {}
func (Failed) event()        {}
func (Chunk) event()         {} // *Chunk is accepted as well, for drivers that reuse one
func (End) event()           {}
func (Truncated) event()     {}
func (Response) event()      {}
func (Leaving) event()       {}
func (Stop) event()          {}
func (Terminate) event()     {}
func (CallerGone) event()    {}
func (Tick) event()          {}

// Action is an output of a Machine.
type Action interface{ action() }

// Dispatch requests that an attempt be sent to an endpoint.
type Dispatch struct {
	Attempt ident.AttemptID
	// Exclude lists the endpoints that must not be chosen.
	Exclude []ident.EndpointID
	// Prefer is an endpoint whose KV cache contains the tokens; empty where none does.
	Prefer ident.EndpointID
	// ResumeOffset is the number of tokens delivered so far; PrefixText is their text.
	ResumeOffset int
	PrefixText   string
	// ImportFrom is the attempt whose KV cache is first exported from its endpoint and
	// imported at the chosen one; the driver then cancels that attempt. It is empty
	// where there is nothing to import or computing the cache again is cheaper.
	ImportFrom ident.AttemptID
	Hedge      bool
}

// Cancel requests the cancellation of an attempt.
type Cancel struct {
	Attempt ident.AttemptID
	// Cause is the fault of the attempt; nil where it is cancelled for another reason.
	Cause error
}

// Emit delivers tokens to the caller.
type Emit struct {
	Offset int
	Tokens []string
}

// Respond delivers the Response received on an attempt.
type Respond struct {
	Attempt ident.AttemptID
}

// Finish ends the request with a complete response.
type Finish struct {
	Reason string
}

// GiveUp ends the request with an error.
type GiveUp struct {
	Err *verdict.Error
}

// HandOver ends the request on this node, so that another node continues it.
type HandOver struct {
	State State
}

func (Dispatch) action() {}
func (Cancel) action()   {}
func (Emit) action()     {}
func (Respond) action()  {}
func (Finish) action()   {}
func (GiveUp) action()   {}
func (HandOver) action() {}

// Stats counts the events of a request.
type Stats struct {
	Attempts, Hedges, Resumes int
	// Mismatched counts messages that belong to another request or attempt.
	Mismatched, Duplicates, Gaps int
	// LateDropped counts messages of attempts or requests that had already ended.
	LateDropped int
	// RecomputedTokens is an estimate of the tokens computed more than once.
	RecomputedTokens int
}

// Add adds the counts of o to s.
func (s *Stats) Add(o Stats) {
	s.Attempts += o.Attempts
	s.Hedges += o.Hedges
	s.Resumes += o.Resumes
	s.Mismatched += o.Mismatched
	s.Duplicates += o.Duplicates
	s.Gaps += o.Gaps
	s.LateDropped += o.LateDropped
	s.RecomputedTokens += o.RecomputedTokens
}
