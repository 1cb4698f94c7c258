package placement

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// PromptSegment is a section of a prompt that several requests may have in common.
type PromptSegment struct {
	ID     uint64
	Tokens int
}

// Prompt describes a generation request. It is zero for requests of other kinds.
type Prompt struct {
	// Input is the number of tokens of the prompt, Output the maximum to be generated.
	Input, Output int
	// Segments of the prompt in order. The last one is not shared with other requests, or
	// only with those of the same session.
	Segments []PromptSegment
}

// sharedTokens returns the number of tokens of the shared segments.
func (p Prompt) sharedTokens() int {
	sum := 0
	for _, segment := range p.SharedSegments() {
		sum += segment.Tokens
	}
	return sum
}

// Tokens returns the number of tokens of the prompt and the maximum to be generated.
func (p Prompt) Tokens() int { return p.Input + p.Output }

// SharedSegments returns the segments that other requests may have in common with p.
func (p Prompt) SharedSegments() []PromptSegment {
	if len(p.Segments) < 2 {
		return nil
	}
	return p.Segments[:len(p.Segments)-1]
}

// prefixID returns the ID of the last shared segment, which identifies the shared prefix.
func (p Prompt) prefixID() uint64 {
	segments := p.SharedSegments()
	return segments[len(segments)-1].ID
}

// Request contains the requirements on an endpoint.
type Request struct {
	Service ident.Service
	Prompt  Prompt
	// Exclude lists endpoints that must not be chosen.
	Exclude []ident.EndpointID
	// Version is the required version; empty for any.
	Version ident.Version
	// AvoidVersion is a version that must not be chosen; empty for none.
	AvoidVersion ident.Version
	// MaxGap is the longest inter-event gap that the streams of the service tolerate; zero
	// if not known.
	MaxGap time.Duration
	// Deadline for the first event; zero for none.
	Deadline time.Time
	// Homes are the regions to which the request is bound.
	Homes site.Homes
	// Imported reports whether the request is migrated with its KV cache, so that it needs
	// no prefill. Only a listed endpoint can import it.
	Imported bool
}

// Choice is the endpoint to send a request to.
type Choice struct {
	Endpoint site.Endpoint
	// EstimatedWait is the estimated time to the first event.
	EstimatedWait time.Duration
	// UncachedTokens is the expected number of prompt tokens that need prefill.
	UncachedTokens int
	// prefillWork is the work for UncachedTokens, see the function prefillWork.
	prefillWork int
	// FetchFrom is the address of an endpoint that likely has more of the prompt in its KV
	// cache; empty if there is none.
	FetchFrom string
	// Through are nodes through one of which the request must be sent, as this one has no share of
	// what the endpoint takes; empty to send it from here.
	Through []ident.NodeID

	long bool // see service.isLong
}

// Load is the work of other nodes at an endpoint.
type Load struct {
	// Running is the number of requests, including waiting ones.
	Running int
	// PrefillTokens is the number of prompt tokens whose prefill is outstanding.
	PrefillTokens int
	// ContextTokens is the number of tokens in the KV cache.
	ContextTokens int
}

// Outcome classifies the end of an attempt as evidence about the health of its endpoint.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNeutral is no evidence: the attempt was cancelled or its endpoint is leaving.
	OutcomeNeutral Outcome = iota
	// OutcomeSuccess is a complete response.
	OutcomeSuccess
	// OutcomeFault is a failure caused by the endpoint.
	OutcomeFault
	// OutcomeUnreachable is a connection that could not be established.
	OutcomeUnreachable
	// OutcomeFull is a refusal by an endpoint that has no free capacity.
	OutcomeFull
)

// Options are the settings of a Table. Zero fields take their defaults.
type Options struct {
	// Node is this node, among which and the others the limits of endpoints are divided.
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// PrefillPerSec is the prefill rate of an engine in tokens per second until it has
	// been measured. Default: 80000, between the rates of the known engines.
	PrefillPerSec float64
	// RunningCost is added to the estimate for each request running at an endpoint.
	// Default: 1ms, half a decode step of the known engines.
	RunningCost time.Duration
	// RemoteCost is added for an endpoint in another data centre. Default: 2ms, a
	// round trip.
	RemoteCost time.Duration
	// ServiceTime is the initial estimate of the duration of a request. Default: 500ms.
	ServiceTime time.Duration
	// RecomputeWeight is the cost of recomputing a shared token in addition to its prefill
	// time, as a multiple of that time. Default: 1, as recomputed tokens are charged.
	RecomputeWeight float64
	// FaultCost is added in proportion to the recent fault rate. Default: 1s.
	FaultCost time.Duration
	// EjectionTime is how long an endpoint that fails stays ejected. Default: 3s.
	EjectionTime time.Duration
	// MaxEjected is the largest fraction of a service's endpoints that may be ejected at
	// once. Default: 0.4.
	MaxEjected float64
	// CacheRetention is how long a segment counts as cached after its last use. Default:
	// 20s.
	CacheRetention time.Duration
	// FullBackoff is how long an endpoint is avoided after it refused a request because it
	// was full. Default: 150ms.
	FullBackoff time.Duration
	// IgnoreSpeed is set if endpoints count as equally fast.
	IgnoreSpeed bool
	// Regions contains the regions of the data centres.
	Regions site.Regions
	// ColdOvershoot and ColdSlack are the bound of requests to a cold endpoint, see site.Bounds.
	ColdOvershoot, ColdSlack float64
	// DrainTime is how long a leaving endpoint that does not report its termination time
	// is assumed to serve. Default: 2s.
	DrainTime time.Duration
}

func (o Options) withDefaults() Options {
	o.PrefillPerSec = cmp.Or(o.PrefillPerSec, 80000)
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

// SendKind is the kind of what is sent to an endpoint.
type SendKind uint8

const (
	// SendRequest is a request that the endpoint does not run yet.
	SendRequest SendKind = iota
	// SendContinuation continues a request from a copy of its KV cache.
	SendContinuation
	// SendCall is a call about a request of the endpoint, which it accepts until it terminates.
	SendCall
)
