package site

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Kind tells what may be done with the requests of a route.
type Kind uint8

// The kinds.
const (
	// KindOrder requests run at most once.
	KindOrder Kind = iota
	// KindLookup requests are idempotent.
	KindLookup
	// KindStream requests are answered by a series of events.
	KindStream
)

// Share is a service's part of a route's requests.
type Share struct {
	Service ident.Service
	Weight  float64
}

// Route says what happens to the requests of a host under a path prefix.
type Route struct {
	Name ident.RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares of the services that serve the route; at least one.
	Shares []Share
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// FirstByteTarget is the time within which an answer, or its first event, has
	// its full worth; zero if not stated.
	FirstByteTarget time.Duration
	// MaxGap is the longest pause between two events of a stream that is still on
	// time; zero if not stated.
	MaxGap time.Duration
	// MaxAttempts bounds the endpoints that one request may be sent to.
	MaxAttempts int
	// Priority of the requests; 0 is the most urgent.
	Priority int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindLookup || r.Kind == KindStream && r.Resumable
}

// Class returns the request class that the route's requests belong to.
func (r *Route) Class() ident.Class {
	switch {
	case r.Kind == KindLookup:
		return ident.ClassLookup
	case r.Kind == KindOrder:
		return ident.ClassOrder
	case r.Resumable:
		return ident.ClassQuick
	default:
		return ident.ClassLong
	}
}

// Service is a group of endpoints.
type Service struct {
	Name ident.Service
	// HealthPath is where an endpoint tells of its health.
	HealthPath string
	// MaxConns bounds the connections of all callers to one endpoint.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scale is nil where the number of endpoints is not ours to order.
	Scale *Scale
}

// Engine describes a service of model engines.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the memory of an engine, in tokens.
	CacheTokens int
	// SupportsMigration tells whether a running request can be moved between engines.
	SupportsMigration bool
	// TokenBytes is the KV cache of one token, in bytes, and LinkBytes what the link of
	// an engine carries, in bytes a second; zero where engines don't exchange cache.
	TokenBytes, LinkBytes float64
}

// Scale says which numbers of endpoints may be ordered, and at what price.
type Scale struct {
	// Min and Max bound the endpoints of one data centre.
	Min, Max int
	// Boot is the time until a new endpoint serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a part of the price
	// of another one.
	ReclaimablePrice float64
	// Prices of an endpoint by data centre, in units of the platform.
	Prices map[ident.DataCentre]float64
}

// Workspace is a customer.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority takes precedence over a route's where it is set.
	Priority *int
	// Rate and Burst limit the tokens, or the requests, that all nodes together take
	// in a second and at once; a zero rate means no limit.
	Rate, Burst float64
	// CountTokens tells that the limit is in tokens.
	CountTokens bool
	// PlainTokens is what a request without a token count counts for.
	PlainTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a configuration of the operator.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   map[ident.Service]Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
}

// Index prepares the configuration for look-ups. It must be called once.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = make(map[string]*Workspace)
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds a key, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	return c.byKey[key]
}

// HasWorkspaces tells whether callers have to show a key.
func (c *Config) HasWorkspaces() bool {
	return len(c.Workspaces) > 0
}
