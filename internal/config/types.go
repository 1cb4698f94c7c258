package config

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Config is the merged configuration of one revision. It is immutable once built.
type Config struct {
	Revision   ident.Revision                      `json:"revision"`
	Routes     map[ident.RouteName]Route           `json:"routes,omitempty"`
	Services   map[ident.Service]Service           `json:"services,omitempty"`
	Workspaces map[ident.Workspace]WorkspaceConfig `json:"workspaces,omitempty"`
	Moves      map[ident.MoveName]Move             `json:"moves,omitempty"`

	lookup *lookup
}

// Route maps callers' requests to a service. The longest matching path prefix wins.
type Route struct {
	Name   ident.RouteName `json:"name"`
	Prefix string          `json:"prefix"`
	// Methods that the route matches; empty means all.
	Methods []string      `json:"methods,omitempty"`
	Service ident.Service `json:"service"`
	Class   ident.Class   `json:"class"`
	// Idempotent means that requests may be executed more than once. Default: true for quick, long and lookup.
	Idempotent bool `json:"idempotent"`
	// RequireKey means that a non-idempotent request without an Idempotency-Key is refused. Default: false.
	RequireKey bool `json:"require_key,omitempty"`
	// Deadline is the maximum time from the arrival of a request to its end. Default: quick 10s, lookup 5s, order 30s, long 10m.
	Deadline time.Duration `json:"deadline"`
}

// Service is a group of endpoints.
type Service struct {
	Name ident.Service            `json:"name"`
	Kind platformapi.EndpointKind `json:"kind"`
	// Version is the version that serves unless a move applies.
	Version ident.Version `json:"version"`
	// DropsDuplicates declares that the service itself deduplicates requests by idempotency key. Default: false.
	DropsDuplicates bool `json:"drops_duplicates,omitempty"`
	// ChecksFence declares that endpoints refuse orders with an outdated fencing token. Default: false.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Concurrency is the number of requests that one endpoint serves concurrently. Default: 16 for an engine, 64 for a plain service.
	Concurrency int `json:"concurrency"`
	// Fleet makes the system buy and release the service's hosts; nil disables this. Default: nil.
	Fleet *Fleet `json:"fleet,omitempty"`
}

// WorkspaceConfig is the settings of one workspace, which belongs to a customer.
type WorkspaceConfig struct {
	Name ident.Workspace `json:"name"`
	// Keys are the API keys that identify this workspace.
	Keys []string `json:"keys,omitempty"`
	// Weight is the relative share in fair queueing. Default: 1.
	Weight int `json:"weight"`
	// RatePerSecond is the maximum request rate over all nodes. Default: 50.
	RatePerSecond float64 `json:"rate_per_second"`
	// Concurrency is the maximum number of requests in flight over all nodes. Default: 64.
	Concurrency int `json:"concurrency"`
}

// Move declares that a service is to move from one version to another.
type Move struct {
	Name    ident.MoveName `json:"name"`
	Service ident.Service  `json:"service"`
	From    ident.Version  `json:"from"`
	To      ident.Version  `json:"to"`
	// FinishBy is the time by which a healthy new version receives all traffic.
	FinishBy time.Time `json:"finish_by"`
	// Bake is how long the old version is kept ready after the move has ended. Default: 30m.
	Bake time.Duration `json:"bake"`
	// SupersededBy is the name of the later move of the same service, if there is one.
	// Merge sets it. A superseded move has no effect.
	SupersededBy ident.MoveName `json:"superseded_by,omitempty"`
}
