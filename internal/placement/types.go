package placement

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// PromptSegment is a part of a prompt that requests may share.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Prompt describes a generation. Its zero value stands for any other request.
type Prompt struct {
	// Input and Output are the tokens of the prompt and the most to be generated.
	Input, Output int
	// Segments of the prompt in order; the last one belongs to the request, or to its
	// session, alone.
	Segments []PromptSegment
}

// sharedTokens returns the tokens of the parts that other requests may have.
func (p Prompt) sharedTokens() int {
	sum := 0
	for _, part := range p.shared() {
		sum += part.Tokens
	}
	return sum
}

// Tokens returns the tokens that the request counts for.
func (p Prompt) Tokens() int { return p.Input + p.Output }

// shared returns the parts that other requests may have, too.
func (p Prompt) shared() []PromptSegment {
	if len(p.Segments) < 2 {
		return nil
	}
	return p.Segments[:len(p.Segments)-1]
}

// prefix names all shared parts by the last one.
func (p Prompt) prefix() uint64 {
	shared := p.shared()
	return shared[len(shared)-1].ID
}

// Request asks for an endpoint.
type Request struct {
	Service ident.Service
	Prompt  Prompt
	// Exclude lists endpoints that must not be chosen.
	Exclude []ident.EndpointID
	// Version that must be chosen; empty for any.
	Version ident.Version
	// AvoidVersion must not be chosen; empty for none.
	AvoidVersion ident.Version
	// MaxGap is the longest pause that the streams of the service bear; zero if not
	// known.
	MaxGap time.Duration
	// Deadline by which the first event must come; zero for none.
	Deadline time.Time
	// Imported tells that the run comes with its KV cache, so that nothing is to be
	// read. Only a registered endpoint takes it.
	Imported bool
}

// Choice is the endpoint to send a request to.
type Choice struct {
	Endpoint site.Endpoint
	// EstimatedWait is the estimated time to the first event.
	EstimatedWait time.Duration
	// UncachedTokens of the prompt are expected to be read.
	UncachedTokens int
	// reading is the work of that in tokens at the start of a prompt.
	reading int
	// FetchFrom is the address of an endpoint that likely holds more of the prompt's
	// KV cache; empty where none does.
	FetchFrom string

	long bool // the prompt is one that delays others
}

// Load is the work of other nodes at an endpoint.
type Load struct {
	// Running requests, those that wait included.
	Running int
	// PrefillTokens is the number of prompt tokens not yet read.
	PrefillTokens int
	// ContextTokens is the number of tokens in memory.
	ContextTokens int
}

// Outcome tells what the end of an attempt says about its endpoint.
type Outcome uint8

// The outcomes.
const (
	// Neutral says nothing: the attempt was cancelled or its endpoint leaves.
	Neutral Outcome = iota
	// Success is a whole answer.
	Success
	// Fault is a failure for which the endpoint answers.
	Fault
	// Unreachable is a connection that could not be made.
	Unreachable
	// Full is a refusal by an endpoint that has no room.
	Full
)

// Options are the settings of a Table. Zero fields take their defaults.
type Options struct {
	DataCentre ident.DataCentre
	// PrefillPerSecond is the speed of an engine's prefill in tokens until it was
	// measured. Default: 80000, between those of the engines known.
	PrefillPerSecond float64
	// RunningCost is what each request that runs at an endpoint adds to the estimate.
	// Default: 1ms, half a step of the engines known.
	RunningCost time.Duration
	// RemoteCost is added for an endpoint in another data centre. Default: 2ms, a
	// round trip.
	RemoteCost time.Duration
	// ServiceTime is assumed for a request until some have ended. Default: 500ms.
	ServiceTime time.Duration
	// RecomputeWeight is what a shared token that must be read again costs beside its
	// prefill, as a multiple of it. Default: 1: such reads are priced.
	RecomputeWeight float64
	// FaultCost is added in proportion to the recent part of faults. Default: 1s.
	FaultCost time.Duration
	// EjectionTime is how long an endpoint that fails is left out. Default: 3s.
	EjectionTime time.Duration
	// MaxEjected is the largest part of a service's endpoints left out at once.
	// Default: 0.4.
	MaxEjected float64
	// CacheRetention is how long a part counts as cached after its last use. Default:
	// 20s.
	CacheRetention time.Duration
	// FullBackoff is how long an endpoint that refused for want of room is left out.
	// Default: 150ms.
	FullBackoff time.Duration
	// DrainTime is how long an endpoint serves after it was seen to leave where it doesn't
	// tell. Default: 2s.
	DrainTime time.Duration
}

func (o Options) withDefaults() Options {
	o.PrefillPerSecond = cmp.Or(o.PrefillPerSecond, 80000)
	o.RunningCost = cmp.Or(o.RunningCost, time.Millisecond)
	o.RemoteCost = cmp.Or(o.RemoteCost, 2*time.Millisecond)
	o.ServiceTime = cmp.Or(o.ServiceTime, 500*time.Millisecond)
	o.RecomputeWeight = cmp.Or(o.RecomputeWeight, 1)
	o.FaultCost = cmp.Or(o.FaultCost, time.Second)
	o.EjectionTime = cmp.Or(o.EjectionTime, 3*time.Second)
	o.MaxEjected = cmp.Or(o.MaxEjected, 0.4)
	o.CacheRetention = cmp.Or(o.CacheRetention, 20*time.Second)
	o.FullBackoff = cmp.Or(o.FullBackoff, 150*time.Millisecond)
	o.DrainTime = cmp.Or(o.DrainTime, 2*time.Second)
	return o
}
