package attempt

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Request is what the machine has to know of a request.
type Request struct {
	ID         ident.RequestID
	Class      ident.Class
	Idempotent bool
	// Stream tells that the answer comes in chunks of tokens.
	Stream bool
	// EndWithCaller ends a request that isn't idempotent, too, when its caller has
	// gone: its answer is of no use to anybody else.
	EndWithCaller bool
	// Opaque tokens are events that the endpoint resumes after by their number;
	// their text is not kept.
	Opaque   bool
	Deadline time.Time
	// DispatchBy bounds the dispatch of a request that the ledger granted; zero
	// where there is no such bound.
	DispatchBy time.Time
	// PromptTokens and MaxTokens estimate the work; zero where unknown.
	PromptTokens, MaxTokens int
	// Resume is set where the request was begun elsewhere.
	Resume State
}

// State is what another node needs to go on with a request.
type State struct {
	// Attempts made so far; it keeps attempt IDs unique.
	Attempts int
	// Offset is the number of tokens delivered, and Text is their text.
	Offset int
	Text   string
	// MayHaveRun is set where an attempt so far isn't proved not to have run.
	MayHaveRun bool
	// Endpoint of the last source; its cache holds the tokens.
	Endpoint ident.EndpointID
}

// Options are the settings of a Machine.
type Options struct {
	// MaxAttempts bounds the attempts in a row that bring no token. Default: 4.
	MaxAttempts int
	// MaxSent bounds the attempts of the whole request that may have run, hedges and
	// resumes among them. Default: 0, no bound.
	MaxSent int
	// MaxRefusals bounds the endpoints that refuse a request without having run it,
	// where they are to be counted apart from MaxAttempts. Default: 0, counted there.
	MaxRefusals int
	// HedgeAfter is the wait for a first byte after which a quick or lookup
	// request is dispatched once more. Default: 0, no hedge.
	HedgeAfter time.Duration
	// MigrationMargin is how long before the deadline of a leaving endpoint its streams
	// are resumed elsewhere. Default: 2s.
	MigrationMargin time.Duration
	// RetryAfter is told to a caller where no refusal gave a time. Default: 1s.
	RetryAfter time.Duration
	// Costs decide between moving the KV cache and computing it again.
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

// Start begins the request.
type Start struct{}

// Picked tells which endpoint the driver chose for an attempt.
type Picked struct {
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
}

// NotDispatched tells that an attempt provably did not run: no endpoint was found,
// no connection was made, or the endpoint refused it with "not run".
type NotDispatched struct {
	Attempt ident.AttemptID
	// NoEndpoint is set where there is no other endpoint to try.
	NoEndpoint bool
	// NeverSent is set where no connection was made, so that no endpoint was burdened:
	// another try costs no retry budget where refusals are counted apart.
	NeverSent  bool
	RetryAfter time.Duration
	Cause      error
}

// Failed tells that bytes of an attempt went out and that it then failed.
type Failed struct {
	Attempt ident.AttemptID
	Cause   error
}

// Echo is what an endpoint said a message answers.
type Echo struct {
	Request ident.RequestID
	Attempt ident.AttemptID
}

// Chunk is a part of a stream.
type Chunk struct {
	Attempt ident.AttemptID // on whose connection it came
	Echo    Echo
	Offset  int // of the first token
	Tokens  []string
	// Finish says why the answer ends with this chunk; empty where it doesn't.
	Finish string
	// Total is the number of tokens of the whole answer on the last chunk; zero
	// where the endpoint doesn't count.
	Total int
}

// End is the end mark of a stream.
type End struct {
	Attempt ident.AttemptID
}

// Truncated tells that a connection closed without the end mark, or before the
// length that it announced.
type Truncated struct {
	Attempt ident.AttemptID
}

// Response is a whole single answer.
type Response struct {
	Attempt ident.AttemptID
	Echo    Echo
	Status  int
}

// Leaving tells that an endpoint goes away at a time.
type Leaving struct {
	Endpoint ident.EndpointID
	Deadline time.Time
}

// Stop tells that this node stops before the request can end.
type Stop struct{}

// CallerGone tells that the caller's connection ended.
type CallerGone struct{}

// Tick lets time pass. It is due at the time that Machine.Next returns.
type Tick struct{}

func (Start) event()         {}
func (Picked) event()        {}
func (NotDispatched) event() {}
func (Failed) event()        {}
func (Chunk) event()         {} // a *Chunk too, for drivers that reuse one
func (End) event()           {}
func (Truncated) event()     {}
func (Response) event()      {}
func (Leaving) event()       {}
func (Stop) event()          {}
func (CallerGone) event()    {}
func (Tick) event()          {}

// Action is an output of a Machine.
type Action interface{ action() }

// Dispatch asks for an attempt.
type Dispatch struct {
	Attempt ident.AttemptID
	// Exclude lists the endpoints that must not be chosen, in order.
	Exclude []ident.EndpointID
	// Prefer is an endpoint whose cache holds the tokens; empty where none does.
	Prefer ident.EndpointID
	// ResumeOffset is the number of tokens delivered, PrefixText their text.
	ResumeOffset int
	PrefixText   string
	// ImportFrom is the attempt whose KV cache is to be exported from its endpoint
	// and imported first, and which the driver cancels then; empty where computing
	// the cache again is cheaper.
	ImportFrom ident.AttemptID
	Hedge      bool
}

// Cancel asks for the end of an attempt.
type Cancel struct {
	Attempt ident.AttemptID
	// Cause is the fault of the attempt; nil where it is cancelled without fault.
	Cause error
}

// Emit delivers tokens to the caller.
type Emit struct {
	Offset int
	Tokens []string
}

// Respond delivers the single answer that came on an attempt.
type Respond struct {
	Attempt ident.AttemptID
}

// Finish ends the request with a whole answer.
type Finish struct {
	Reason string
}

// GiveUp ends the request with an error.
type GiveUp struct {
	Err *verdict.Error
}

// HandOver ends the request here; another node goes on with it.
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

// Stats counts what happened to a request.
type Stats struct {
	Attempts, Hedges, Resumes int
	Crossed, Duplicates, Gaps int
	// LateDropped counts messages of attempts that were no longer waited for.
	LateDropped int
	// RecomputedTokens estimates the tokens computed more than once.
	RecomputedTokens int
}

// Add adds the counts of another request.
func (s *Stats) Add(o Stats) {
	s.Attempts += o.Attempts
	s.Hedges += o.Hedges
	s.Resumes += o.Resumes
	s.Crossed += o.Crossed
	s.Duplicates += o.Duplicates
	s.Gaps += o.Gaps
	s.LateDropped += o.LateDropped
	s.RecomputedTokens += o.RecomputedTokens
}
