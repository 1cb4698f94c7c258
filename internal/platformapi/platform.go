// Package platformapi defines what the system needs of the platform it runs on and
// holds the HTTP clients of those interfaces.
package platformapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Key names an object in the store, for example "config/accepted".
type Key string

// Version is the store's version of one object. Zero means "does not exist".
type Version uint64

// Object is one stored value.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
	// Status is what was written of the object beside its value; nil where the
	// platform keeps none.
	Status []byte
}

// MaxObjectBytes is the largest value that the store takes.
const MaxObjectBytes = 1 << 20

// Errors of the store. ErrUnavailable means that nothing was done; ErrUnknown
// means that the answer was lost and the write may have taken effect.
var (
	ErrConflict    = errors.New("object has another version")
	ErrNotFound    = errors.New("object does not exist")
	ErrTooLarge    = errors.New("object is larger than the store takes")
	ErrThrottled   = errors.New("store refused the call for its rate limit")
	ErrUnavailable = errors.New("store is unavailable")
	ErrUnknown     = errors.New("outcome of the store call is unknown")
	ErrBadRequest  = errors.New("platform does not understand the call")
)

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes value where the object's version is expect (zero: where it does
	// not exist), and returns the new version. It returns ErrConflict otherwise.
	Put(ctx context.Context, key Key, value []byte, expect Version) (Version, error)
	// Delete removes the object where its version is expect.
	Delete(ctx context.Context, key Key, expect Version) error
	// List returns the objects whose keys begin with prefix, ordered by key.
	List(ctx context.Context, prefix Key) ([]Object, error)
	// Watch waits until something under prefix changes after the store-wide
	// position after, or until wait has passed, and returns the changed objects
	// (a deleted one has Version zero) and the new position. Changes may be
	// collapsed: only the latest value of an object is promised.
	Watch(ctx context.Context, prefix Key, after uint64, wait time.Duration) (WatchResult, error)
}

// Snapshot is the state of all objects under a prefix.
type Snapshot struct {
	Objects []Object
	// Position is the store-wide position to watch from.
	Position uint64
}

// Feed is a store whose objects can be followed from a list on.
type Feed interface {
	Store
	// Snapshot lists the objects under prefix with the position to watch from.
	Snapshot(ctx context.Context, prefix Key) (Snapshot, error)
	// PutStatus replaces an object's status.
	PutStatus(ctx context.Context, key Key, status []byte) error
}

// WatchResult is what a Watch call returned.
type WatchResult struct {
	Position uint64
	Changed  []Object
	// Gap is set where the store no longer knows all changes after the position
	// asked for; the caller must List again.
	Gap bool
}

// HostState is the platform's view of a host.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// EndpointKind tells how the system talks to an endpoint.
type EndpointKind string

// The kinds of endpoint.
const (
	KindEngine EndpointKind = "engine"
	KindPlain  EndpointKind = "plain"
)

// EndpointInfo describes one endpoint process of a host.
type EndpointInfo struct {
	ID      ident.EndpointID
	Address string // "ip:port"
	Kind    EndpointKind
	Service ident.Service
	Version ident.Version
}

// HostInfo is one entry of the platform's lagging host list.
type HostInfo struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	State       HostState
	// Deadline is when a leaving host goes away; zero for a live one.
	Deadline    time.Time
	Reclaimable bool
	// PricePerHour is in the platform's currency.
	PricePerHour float64
	Class        string
	Endpoints    []EndpointInfo
}

// Hosts is the platform's lagging list of live and leaving hosts.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostInfo, error)
}

// BuyRequest asks the cloud for one host.
type BuyRequest struct {
	// Token makes the request idempotent: the same token buys one host.
	Token       string
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
	Service     ident.Service
	Version     ident.Version
}

// ErrRefused is returned where the cloud has no such host to give now.
var ErrRefused = errors.New("cloud refused the start of a host")

// Notice announces that a host will be reclaimed.
type Notice struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Deadline    time.Time
}

// Cloud is the platform's API for hosts.
type Cloud interface {
	Buy(ctx context.Context, req BuyRequest) (ident.Host, error)
	// Release gives a host back. Releasing an unknown host is no error.
	Release(ctx context.Context, host ident.Host) error
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
}
