// Package platformapi defines the interfaces of the platform that the system runs on
// (object store, host list and cloud) and an HTTP client that implements them.
package platformapi

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Key names an object in the store, for example "config/accepted".
type Key string

// Object is one stored value.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
	// Status is the status document stored with the object, separate from its value.
	// It is nil if the platform stores none.
	Status []byte
}

// MaxObjectBytes is the largest value that the store accepts.
const MaxObjectBytes = 1 << 20

// Errors of the store. ErrUnavailable means that the call had no effect; ErrUnknown means
// that no response was received and the write may have taken effect.
var (
	ErrConflict    = errors.New("object version does not match")
	ErrNotFound    = errors.New("object does not exist")
	ErrTooLarge    = errors.New("object exceeds the size limit of the store")
	ErrThrottled   = errors.New("store rate limit exceeded")
	ErrUnavailable = errors.New("store is unavailable")
	ErrUnknown     = errors.New("outcome of the store call is unknown")
	ErrBadRequest  = errors.New("platform rejected the call as invalid")
)

// Store is the platform's object API.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key Key) (Object, error)
	// Put writes value if the object's version is expect (zero: if it does not
	// exist) and returns the new version. Otherwise it returns ErrConflict.
	Put(ctx context.Context, key Key, value []byte, expect Version) (Version, error)
	// Delete removes the object if its version is expect.
	Delete(ctx context.Context, key Key, expect Version) error
	// List returns the objects whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix Key) ([]Object, error)
	// Watch waits until an object under prefix has changed since the store-wide
	// position after, or until wait has elapsed. It returns the changed objects
	// (deleted ones with Version zero) and the new position. A position is a Version of
	// the whole store. Several changes of an object may be combined: only its latest
	// value is guaranteed to be returned.
	Watch(ctx context.Context, prefix Key, after uint64, wait time.Duration) (WatchResult, error)
}

// Snapshot is the state of all objects under a prefix.
type Snapshot struct {
	Objects []Object
	// Position is the store-wide position to watch from, which is a Version of the store.
	Position uint64
}

// Feed is a store that can list objects together with the position to watch from, and
// that stores a status with each object.
type Feed interface {
	Store
	Restorable
	// Snapshot returns the objects under prefix and the position to watch from.
	Snapshot(ctx context.Context, prefix Key) (Snapshot, error)
	// PutStatus replaces an object's status if the object's version is expect, or returns
	// ErrConflict.
	PutStatus(ctx context.Context, key Key, status []byte, expect Version) error
}

// WatchResult is the result of a Watch call.
type WatchResult struct {
	Position uint64
	Changed  []Object
	// Gap is set if the store no longer has all changes after the requested
	// position; the caller must List again.
	Gap bool
}

// HostState is the state of a host as the platform reports it.
type HostState string

// The states of a host in the list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// EndpointKind determines the protocol that the system uses with an endpoint.
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

// HostInfo is one entry of the platform's host list.
type HostInfo struct {
	Host        ident.Host
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	State       HostState
	// Deadline is when a leaving host is terminated; zero for a live one.
	Deadline    time.Time
	Reclaimable bool
	// PricePerHour is in the platform's currency.
	PricePerHour float64
	Class        string
	Endpoints    []EndpointInfo
}

// Hosts lists the platform's live and leaving hosts. The list lags behind the actual state.
type Hosts interface {
	ListHosts(ctx context.Context) ([]HostInfo, error)
}

// BuyRequest describes one host to buy from the cloud.
type BuyRequest struct {
	// Token makes the request idempotent: requests with the same token buy one host.
	Token       string
	DataCentre  ident.DataCentre
	Class       string
	Reclaimable bool
	Service     ident.Service
	Version     ident.Version
}

// ErrRefused is returned if the cloud has no host of the requested kind available now.
var ErrRefused = errors.New("cloud refused to start a host")

// Notice announces that a host will be reclaimed.
type Notice struct {
	Host        ident.Host
	Incarnation ident.Incarnation
	Deadline    time.Time
}

// Cloud is the platform's API for hosts.
type Cloud interface {
	Buy(ctx context.Context, req BuyRequest) (ident.Host, error)
	// Release returns a host to the cloud. Releasing an unknown host is not an error.
	Release(ctx context.Context, host ident.Host) error
	// Notices returns the reclaim notices in force.
	Notices(ctx context.Context) ([]Notice, error)
}
