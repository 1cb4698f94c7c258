package site

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Kind is the kind of a route's requests. It determines whether they may be repeated.
type Kind uint8

// The kinds of requests.
const (
	// KindOrder requests are executed at most once.
	KindOrder Kind = iota
	// KindLookup requests are idempotent.
	KindLookup
	// KindStream requests are answered with a series of events.
	KindStream
)

// Share is the weight of a service among the services of a route.
type Share struct {
	Service ident.Service
	Weight  float64
}

// Route describes how requests to a host under a path prefix are handled.
type Route struct {
	Name ident.RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares of the services that serve the route; at least one.
	Shares []Share
	// Timeout is the time from the arrival of a request to its deadline.
	Timeout time.Duration
	// FirstByteTarget is the time within which a response or its first event should
	// start; zero if unset.
	FirstByteTarget time.Duration
	// MaxGap is the maximum inter-event gap of a stream that is on time; zero if unset.
	MaxGap time.Duration
	// MaxAttempts is the maximum number of endpoints that one request may be sent to.
	MaxAttempts int
	// Priority of the requests; 0 is the most urgent.
	Priority int
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resumable streams may continue at another endpoint after the last event.
	Resumable bool
	// Regions are the only ones whose endpoints may serve the route; empty for any.
	Regions []Region
}

// Idempotent reports whether a request may be executed more than once.
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
	// HealthPath is the path of an endpoint's health check.
	HealthPath string
	// MaxConns is the maximum number of connections of all callers to one endpoint.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
	// Scale is nil if the number of endpoints cannot be changed by orders.
	Scale *Scale
	// ColdTime is how long an endpoint is cold after it has started during traffic, and
	// ColdPerSecond the number of requests per second that a cold one takes from all nodes
	// together; zero if endpoints are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
}

// Engine describes a service of model engines.
type Engine struct {
	// Slots is the number of requests that an engine runs at once.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens.
	CacheTokens int
	// SupportsMigration reports whether a running request can be migrated between engines.
	SupportsMigration bool
	// TokenBytes is the size of the KV cache of one token, in bytes, and LinkBytes the
	// bandwidth of an engine's network link, in bytes per second. Both are zero if engines
	// do not exchange KV cache.
	TokenBytes, LinkBytes float64
}

// Scale describes which numbers of endpoints may be ordered, and at what price.
type Scale struct {
	// Min and Max limit the number of endpoints in one data centre.
	Min, Max int
	// Boot is the time from the order of an endpoint until it serves requests.
	Boot time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a fraction of the price
	// of an on-demand one.
	ReclaimablePrice float64
	// Prices contains the price of an on-demand endpoint by data centre, in units of the
	// platform.
	Prices map[ident.DataCentre]float64
}

// Workspace is a customer.
type Workspace struct {
	Name ident.Workspace
	Keys []string
	// Priority takes precedence over a route's where it is set.
	Priority *int
	// Rate and Burst limit the tokens or requests that all nodes together accept, per
	// second and at once. A zero rate means no limit.
	Rate, Burst float64
	// CountTokens reports whether the limit is in tokens instead of requests.
	CountTokens bool
	// PlainTokens is the number of tokens charged for a request without a token count.
	PlainTokens float64
	// Regions are the only ones whose endpoints may serve the workspace; empty for any.
	Regions []Region
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is the operator's configuration. Index must be called before its look-up
// methods.
type Config struct {
	Version    uint64
	Routes     []Route
	Services   map[ident.Service]Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
}

// Index prepares the configuration for Match and WorkspaceByKey. It must be called once.
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

// LongestTimeout returns the longest timeout of the routes, or fallback if none states one.
func (c *Config) LongestTimeout(fallback time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range c.Routes {
		longest = max(longest, c.Routes[i].Timeout)
	}
	return cmp.Or(longest, fallback)
}

// HasCold reports whether endpoints of a service may be cold.
func (c *Config) HasCold() bool {
	for _, s := range c.Services {
		if s.ColdPerSecond > 0 {
			return true
		}
	}
	return false
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

// WorkspaceByKey returns the workspace that a key belongs to, or nil.
func (c *Config) WorkspaceByKey(key string) *Workspace {
	return c.byKey[key]
}

// HasWorkspaces reports whether callers must present a key.
func (c *Config) HasWorkspaces() bool {
	return len(c.Workspaces) > 0
}
