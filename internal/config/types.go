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
	// Methods that the route takes; empty means all.
	Methods []string      `json:"methods,omitempty"`
	Service ident.Service `json:"service"`
	Class   ident.Class   `json:"class"`
	// Idempotent requests may be repeated. Default: true for quick, long and lookup.
	Idempotent bool `json:"idempotent"`
	// RequireKey refuses a non-idempotent request without an Idempotency-Key. Default: false.
	RequireKey bool `json:"require_key,omitempty"`
	// Deadline of a request from its arrival. Default: quick 10s, lookup 5s, order 30s, long 10m.
	Deadline time.Duration `json:"deadline"`
}

// Service is a group of endpoints.
type Service struct {
	Name ident.Service            `json:"name"`
	Kind platformapi.EndpointKind `json:"kind"`
	// Version that serves where no move says otherwise.
	Version ident.Version `json:"version"`
	// DropsDuplicates declares that the service itself drops repeated keys. Default: false.
	DropsDuplicates bool `json:"drops_duplicates,omitempty"`
	// ChecksFence declares that endpoints refuse orders with an old fencing number. Default: false.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Concurrency is the number of requests one endpoint serves at once. Default: 16 engine, 64 plain.
	Concurrency int `json:"concurrency"`
	// Fleet lets the system buy and release the service's hosts. Default: nil, it does neither.
	Fleet *Fleet `json:"fleet,omitempty"`
}

// WorkspaceConfig is a customer's settings.
type WorkspaceConfig struct {
	Name ident.Workspace `json:"name"`
	// Keys are the API keys that name this workspace.
	Keys []string `json:"keys,omitempty"`
	// Weight is the share in fair queues. Default: 1.
	Weight int `json:"weight"`
	// RatePerSecond limits requests over all nodes. Default: 50.
	RatePerSecond float64 `json:"rate_per_second"`
	// Concurrency limits requests in flight over all nodes. Default: 64.
	Concurrency int `json:"concurrency"`
}

// Move is an operator's wish to move a service from one version to another.
type Move struct {
	Name    ident.MoveName `json:"name"`
	Service ident.Service  `json:"service"`
	From    ident.Version  `json:"from"`
	To      ident.Version  `json:"to"`
	// FinishBy is the time at which a good version has all traffic.
	FinishBy time.Time `json:"finish_by"`
	// Bake keeps the old version warm after the end. Default: 30m.
	Bake time.Duration `json:"bake"`
	// SupersededBy names the later move of the same service, if there is one.
	// Merge sets it; only a move that nothing supersedes may act.
	SupersededBy ident.MoveName `json:"superseded_by,omitempty"`
}
