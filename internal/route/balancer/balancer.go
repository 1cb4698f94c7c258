// Package balancer is the interface of a node's other components to the route table.
// They pass it host lists, leaving marks, load reports and the outcome of attempts,
// and request endpoints from it.
package balancer

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/route/picker"
)

// Balancer is a node's route table with a method for each event. It is safe for
// concurrent use.
type Balancer struct {
	picker *picker.Picker
}

// New returns a Balancer with an empty table. The seed makes its random choices
// repeatable.
func New(opts route.Options, seed uint64) *Balancer {
	return &Balancer{picker: picker.New(picker.Options{Route: opts, Seed: seed})}
}

// withTable runs f on the table.
func (b *Balancer) withTable(f func(now time.Time, t *route.Table)) {
	b.picker.Update(f)
}

// Dispatch chooses an endpoint and counts the attempt as in flight there until Finish
// is called. The error is a *verdict.Error with verdict NotRun.
func (b *Balancer) Dispatch(attempt ident.AttemptID, r route.Request) (route.Choice, error) {
	return b.picker.Pick(r, route.Dispatch{Attempt: attempt, Chain: r.Chain, PromptTokens: r.PromptTokens})
}

// Finish records how an attempt ended.
func (b *Balancer) Finish(attempt ident.AttemptID, o route.Outcome) {
	b.withTable(func(now time.Time, t *route.Table) {
		t.Finished(now, route.Finish{Attempt: attempt, Outcome: o})
	})
}

// SetHosts applies a host list.
func (b *Balancer) SetHosts(hosts []platformapi.HostInfo) {
	b.withTable(func(now time.Time, t *route.Table) { t.SetHosts(now, hosts) })
}

// MarkHost marks a host and its endpoints as leaving.
func (b *Balancer) MarkHost(n platformapi.Notice) {
	b.withTable(func(now time.Time, t *route.Table) { t.MarkHost(now, n) })
}

// MarkEndpoint records an endpoint's own report that it is leaving.
func (b *Balancer) MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState) {
	b.withTable(func(now time.Time, t *route.Table) { t.MarkEndpoint(now, id, s) })
}

// Report records an endpoint's load report.
func (b *Balancer) Report(r endpoint.LoadReport) {
	b.withTable(func(now time.Time, t *route.Table) { t.Report(now, r) })
}

// CacheEvents applies an endpoint's cache events.
func (b *Balancer) CacheEvents(id ident.EndpointID, evs endpoint.CacheEvents) {
	b.withTable(func(now time.Time, t *route.Table) { t.CacheEvents(now, id, evs) })
}

// SetNodes sets the live nodes.
func (b *Balancer) SetNodes(n route.Nodes) {
	b.withTable(func(_ time.Time, t *route.Table) { t.SetNodes(n) })
}

// SetConfig applies the services' concurrency settings.
func (b *Balancer) SetConfig(c *config.Config) {
	b.withTable(func(_ time.Time, t *route.Table) {
		for name, s := range c.Services {
			t.SetSlots(name, s.Concurrency)
		}
	})
}

// Slots returns the number of requests of a service that this node may have in flight.
func (b *Balancer) Slots(service ident.Service) int {
	var n int
	b.withTable(func(now time.Time, t *route.Table) { n = t.Slots(now, service) })
	return n
}

// Usage returns the usage of each version of a service.
func (b *Balancer) Usage(service ident.Service) []route.Usage {
	var u []route.Usage
	b.withTable(func(now time.Time, t *route.Table) { u = t.Usage(now, service) })
	return u
}

// Leaving returns the attempts in flight on leaving endpoints.
func (b *Balancer) Leaving() []route.LeavingAttempts {
	var w []route.LeavingAttempts
	b.withTable(func(_ time.Time, t *route.Table) { w = t.Leaving() })
	return w
}

// IsLeaving reports whether an endpoint is marked as leaving.
func (b *Balancer) IsLeaving(id ident.EndpointID) bool {
	var leaving bool
	b.withTable(func(_ time.Time, t *route.Table) { leaving = t.IsLeaving(id) })
	return leaving
}

// Stats returns the table's counters.
func (b *Balancer) Stats() route.Stats {
	var s route.Stats
	b.withTable(func(_ time.Time, t *route.Table) { s = t.Stats() })
	return s
}
