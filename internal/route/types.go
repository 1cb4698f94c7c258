package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Share is the share of a service's new requests that a version gets.
type Share struct {
	Version ident.Version
	// Weight is relative to the other shares; a version of weight zero gets none.
	Weight float64
	// Fallback allows the version to serve requests drawn for another version that
	// has no usable endpoint or would miss the request's deadline.
	Fallback bool
}

// Request describes a request for which Table.Pick selects an endpoint.
type Request struct {
	Service ident.Service
	Class   ident.Class
	// Shares lists the allowed versions; empty allows none.
	Shares []Share
	// Chain is the block chain of the prompt (endpoint.BlockChain), nil if the
	// request has none.
	Chain        []uint64
	PromptTokens int
	// Exclude lists endpoints that have already been tried.
	Exclude []ident.EndpointID
	// Deadline of the first token; zero means none.
	Deadline time.Time
}

// Choice is the endpoint to dispatch to.
type Choice struct {
	Endpoint    ident.EndpointID
	Address     string // "ip:port"
	Version     ident.Version
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	Estimate    Estimate
}

// Estimate is the expected time to first token, by component.
type Estimate struct {
	Wait    time.Duration // for queued tokens and for a free slot
	Prefill time.Duration // of the uncached prompt tokens
	Network time.Duration
	// CachedTokens is the number of prompt tokens expected in the endpoint's prefix
	// cache.
	CachedTokens int
}

// Total returns the expected time to first token.
func (e Estimate) Total() time.Duration {
	return e.Wait + e.Prefill + e.Network
}

// Dispatch records that an attempt was sent to an endpoint.
type Dispatch struct {
	Attempt      ident.AttemptID
	Endpoint     ident.EndpointID
	Chain        []uint64
	PromptTokens int
	CachedTokens int // expected, from Choice.Estimate
}

// Outcome classifies a finished attempt as evidence of its endpoint's health.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeNeutral is no evidence: the attempt was cancelled, refused because of
	// load, or interrupted by a reclaim.
	OutcomeNeutral Outcome = iota
	// OutcomeOK is a complete response.
	OutcomeOK
	// OutcomeFault is a failure attributed to the endpoint: connection refused,
	// server error, truncated response, timeout.
	OutcomeFault
)

// Finish records that an attempt has ended.
type Finish struct {
	Attempt ident.AttemptID
	Outcome Outcome
}

// Nodes describes the live nodes according to the membership protocol.
type Nodes struct {
	// Live is the number of live nodes of the fleet, this one included.
	Live int
	// Local lists the live nodes of this DataCentre, this one included.
	Local []ident.NodeID
}

// RunningAttempt is an attempt in flight.
type RunningAttempt struct {
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
	Since    time.Time
}

// LeavingAttempts lists the attempts in flight on a leaving endpoint, which must end or
// be migrated by the deadline.
type LeavingAttempts struct {
	Endpoint ident.EndpointID
	Deadline time.Time
	Attempts []ident.AttemptID
}

// Stats contains the counters of a Table and its current size.
type Stats struct {
	Picks            uint64
	Refused          uint64 // picks that returned an error
	Ejections        uint64
	EjectionsSkipped uint64 // outliers not ejected because of Options.MaxEjected
	StaleEvents      uint64 // cache events dropped as already processed
	Gaps             uint64 // gaps in cache events
	PrefixBlocks     int
	Endpoints        int
}
