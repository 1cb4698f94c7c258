package site

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Endpoint is one back end as it registered itself.
type Endpoint struct {
	ID         ident.EndpointID
	Service    ident.Service
	DataCentre ident.DataCentre
	Version    ident.Version
	// Address is its IP:port. It may be used by another endpoint later.
	Address string
	// Slots is the number of requests that it serves at once.
	Slots int
	// Started tells the lives of an endpoint apart; zero if it doesn't tell.
	Started time.Time
	// Leaving endpoints take no new request. LeavesIn is the time left when they
	// said so; zero if unknown.
	Leaving  bool
	LeavesIn time.Duration
	// Reclaimable endpoints may be taken away at short notice.
	Reclaimable bool
}

// SameIncarnation tells whether o is the same start of the same endpoint.
func (e Endpoint) SameIncarnation(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && e.Started.Equal(o.Started) && e.Service == o.Service
}

// MoveState tells how a version move stands.
type MoveState string

// The states of a version move.
const (
	MoveRunning    MoveState = "running"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "undone"
	MoveNotBegun   MoveState = ""
)

// VersionMove asks that a service's requests move to endpoints of another version.
type VersionMove struct {
	Service ident.Service
	Target  ident.Version
	// Within is the time that the move may take.
	Within time.Duration
	State  MoveState
	// StateTarget is the version that State speaks of.
	StateTarget ident.Version
}
