package route

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Share is the part of a service's new work that a version may get.
type Share struct {
	Version ident.Version
	// Weight is relative to the other shares; a version of weight zero gets none.
	Weight float64
	// Fallback lets the version take the work of one without usable endpoints.
	Fallback bool
}

// Request asks for an endpoint.
type Request struct {
	Service ident.Service
	Class   ident.Class
	// Shares of the versions allowed; empty allows none.
	Shares []Share
	// Chain is the block chain of the prompt (endpoint.BlockChain); nil without one.
	Chain        []uint64
	PromptTokens int
	// Exclude lists endpoints that were tried already.
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

// Estimate is the expected time to first token and its parts.
type Estimate struct {
	Wait    time.Duration // for tokens and slots ahead in the queue
	Prefill time.Duration // of the uncached prompt tokens
	Network time.Duration
	// CachedTokens of the prompt are expected in the endpoint's prefix cache.
	CachedTokens int
}

// Total returns the expected time to first token.
func (e Estimate) Total() time.Duration {
	return e.Wait + e.Prefill + e.Network
}

// Dispatch tells that an attempt was sent to an endpoint.
type Dispatch struct {
	Attempt      ident.AttemptID
	Endpoint     ident.EndpointID
	Chain        []uint64
	PromptTokens int
	CachedTokens int // expected, from Choice.Estimate
}

// Outcome tells what a finished attempt says about its endpoint.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNeutral says nothing: cancelled, refused for load, or cut by a reclaim.
	OutcomeNeutral Outcome = iota
	// OutcomeOK is a whole answer.
	OutcomeOK
	// OutcomeFault is a failure for which the endpoint answers: connection refused,
	// server error, truncated answer, timeout.
	OutcomeFault
)

// Finish tells that an attempt has ended.
type Finish struct {
	Attempt ident.AttemptID
	Outcome Outcome
}

// Nodes describes the live nodes, as membership sees them.
type Nodes struct {
	// Live is the number of live nodes of the fleet, this one included.
	Live int
	// Local lists the live nodes of this DataCentre, this one included.
	Local []ident.NodeID
}

// Work is an attempt in flight.
type Work struct {
	Attempt  ident.AttemptID
	Endpoint ident.EndpointID
	Since    time.Time
}

// LeavingWork is the work in flight on a leaving endpoint, to be ended or moved
// by the deadline.
type LeavingWork struct {
	Endpoint ident.EndpointID
	Deadline time.Time
	Attempts []ident.AttemptID
}

// Stats counts what a Table did.
type Stats struct {
	Picks        uint64
	Refused      uint64 // picks that returned an error
	Ejections    uint64
	EjectSpared  uint64 // outliers that the floor kept in use
	StaleEvents  uint64 // cache events seen before
	Gaps         uint64
	PrefixBlocks int
	Endpoints    int
}
