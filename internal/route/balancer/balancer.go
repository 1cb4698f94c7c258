// Package balancer is the route table as the other parts of a node use it: they
// tell it of hosts, marks, reports and attempts, and ask it for endpoints.
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

// Balancer is a node's shared table with a method for each event.
type Balancer struct {
	picker *picker.Picker
}

// New returns a balancer over an empty table. The seed makes its choices repeatable.
func New(opts route.Options, seed uint64) *Balancer {
	return &Balancer{picker: picker.New(picker.Options{Route: opts, Seed: seed})}
}

// with runs f on the table.
func (b *Balancer) with(f func(now time.Time, t *route.Table)) {
	b.picker.Update(f)
}

// Dispatch chooses an endpoint and counts the attempt as in flight there until
// Finish. The error is a *verdict.Error with verdict NotRun.
func (b *Balancer) Dispatch(attempt ident.AttemptID, r route.Request) (route.Choice, error) {
	return b.picker.Pick(r, route.Dispatch{Attempt: attempt, Chain: r.Chain, PromptTokens: r.PromptTokens})
}

// Finish tells how an attempt ended.
func (b *Balancer) Finish(attempt ident.AttemptID, o route.Outcome) {
	b.with(func(now time.Time, t *route.Table) {
		t.Finished(now, route.Finish{Attempt: attempt, Outcome: o})
	})
}

// SetHosts takes a host list.
func (b *Balancer) SetHosts(hosts []platformapi.HostInfo) {
	b.with(func(now time.Time, t *route.Table) { t.SetHosts(now, hosts) })
}

// MarkHost takes the mark of a leaving host.
func (b *Balancer) MarkHost(n platformapi.Notice) {
	b.with(func(now time.Time, t *route.Table) { t.MarkHost(now, n) })
}

// MarkEndpoint takes an endpoint's own word that it leaves.
func (b *Balancer) MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState) {
	b.with(func(now time.Time, t *route.Table) { t.MarkEndpoint(now, id, s) })
}

// Report takes a load report.
func (b *Balancer) Report(r endpoint.LoadReport) {
	b.with(func(now time.Time, t *route.Table) { t.Report(now, r) })
}

// CacheEvents takes an endpoint's cache events.
func (b *Balancer) CacheEvents(id ident.EndpointID, evs endpoint.CacheEvents) {
	b.with(func(now time.Time, t *route.Table) { t.CacheEvents(now, id, evs) })
}

// SetNodes takes the live nodes.
func (b *Balancer) SetNodes(n route.Nodes) {
	b.with(func(_ time.Time, t *route.Table) { t.SetNodes(n) })
}

// SetConfig takes the services' settings.
func (b *Balancer) SetConfig(c *config.Config) {
	b.with(func(_ time.Time, t *route.Table) {
		for name, s := range c.Services {
			t.SetSlots(name, s.Concurrency)
		}
	})
}

// Slots returns the number of slots of a service's usable endpoints.
func (b *Balancer) Slots(service ident.Service) int {
	var n int
	b.with(func(now time.Time, t *route.Table) { n = t.Slots(now, service) })
	return n
}

// Usage returns the usage of each version of a service.
func (b *Balancer) Usage(service ident.Service) []route.Usage {
	var u []route.Usage
	b.with(func(now time.Time, t *route.Table) { u = t.Usage(now, service) })
	return u
}

// Leaving returns the work in flight on leaving endpoints.
func (b *Balancer) Leaving() []route.LeavingWork {
	var w []route.LeavingWork
	b.with(func(_ time.Time, t *route.Table) { w = t.Leaving() })
	return w
}

// IsLeaving tells whether an endpoint is known to leave.
func (b *Balancer) IsLeaving(id ident.EndpointID) bool {
	var leaving bool
	b.with(func(_ time.Time, t *route.Table) { leaving = t.IsLeaving(id) })
	return leaving
}

// Stats returns what the table counted.
func (b *Balancer) Stats() route.Stats {
	var s route.Stats
	b.with(func(_ time.Time, t *route.Table) { s = t.Stats() })
	return s
}
