package site

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Endpoint is a model engine or plain service instance as it registered itself.
type Endpoint struct {
	ID         ident.EndpointID
	Service    ident.Service
	DataCentre ident.DataCentre
	Version    ident.Version
	// Address is its IP:port. It may be used by another endpoint later.
	Address string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Started distinguishes the incarnations of an endpoint; zero if unknown.
	Started time.Time
	// Leaving endpoints are draining and get no new request. LeavesIn is the time that
	// was left when the endpoint registered this state; zero if unknown.
	Leaving  bool
	LeavesIn time.Duration
	// ColdFor is how long the endpoint stayed cold when it last registered; zero if it wasn't, or
	// didn't state it.
	ColdFor time.Duration
	// Reclaimable endpoints may be terminated by the platform at short notice.
	Reclaimable bool
}

// SameIncarnation reports whether o is the same start of the same endpoint.
func (e Endpoint) SameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Started.Equal(o.Started) && e.Service == o.Service
}

// IncarnationHash identifies one start of one endpoint between nodes.
type IncarnationHash uint64

// Hash returns a hash of the endpoint's incarnation.
func (e Endpoint) Hash() IncarnationHash {
	return IncarnationHash(xxhash.Sum64String(string(e.ID) + "/" + e.Address + "/" + strconv.FormatInt(e.Started.UnixMilli(), 10)))
}

// MoveState is the state of a version move.
type MoveState string

// The states of a version move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "undone"
	MoveNotStarted MoveState = ""
)

// VersionMove is an order to move a service's requests to endpoints of another version.
type VersionMove struct {
	Service ident.Service
	Target  ident.Version
	// Within is the maximum duration of the move.
	Within time.Duration
	State  MoveState
	// StateTarget is the target version that State refers to.
	StateTarget ident.Version
}
