package controller

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Engines calls engines; *endpoint.Client implements it.
type Engines interface {
	Load(ctx context.Context, addr string) (endpoint.LoadReport, error)
	EngineState(ctx context.Context, addr string) (endpoint.EngineState, error)
	Order(ctx context.Context, addr string, order endpoint.EngineOrder) (endpoint.EngineState, error)
}

var _ Engines = (*endpoint.Client)(nil)

const (
	// maxProbes is the maximum number of hosts probed in one step. Starting and draining
	// hosts come first, then those probed longest ago.
	maxProbes = 256
	// parallelProbes is the maximum number of concurrent probes.
	parallelProbes = 32
	probeTimeout   = time.Second
	// readyGrace is how long a host counts as ready after a probe found it ready.
	readyGrace = 30 * time.Second
)

// probe is the last known state of a host's engines.
type probe struct {
	probedAt      time.Time
	respondedAt   time.Time // last time at which all engines responded; zero: never
	reportedAt    time.Time // time of the oldest load report
	readyAt       time.Time // last time at which all engines were ready; zero: not ready
	loadedVersion ident.Version
	accepted      int
}

// prober polls the engines of a service's hosts.
type prober struct {
	engines Engines
	last    map[ident.Host]probe
}

func newProber(engines Engines) *prober {
	return &prober{engines: engines, last: make(map[ident.Host]probe)}
}

// read probes hosts, those that first selects before the others, and drops the results
// of hosts that are not listed.
func (p *prober) read(ctx context.Context, now time.Time, hosts []platformapi.HostInfo, first func(ident.Host) bool) {
	p.dropUnlisted(hosts)
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b platformapi.HostInfo) int {
		if aFirst, bFirst := first(a.Host), first(b.Host); aFirst != bFirst {
			if aFirst {
				return -1
			}
			return 1
		}
		return p.last[a.Host].probedAt.Compare(p.last[b.Host].probedAt)
	})
	order = order[:min(len(order), maxProbes)]
	results := make([]probe, len(order))
	var g errgroup.Group
	g.SetLimit(parallelProbes)
	for i, h := range order {
		g.Go(func() error {
			results[i] = p.readHost(ctx, now, h, p.last[h.Host])
			return nil
		})
	}
	_ = g.Wait() // the functions return no errors
	for i, h := range order {
		p.last[h.Host] = results[i]
	}
}

func (p *prober) dropUnlisted(hosts []platformapi.HostInfo) {
	listed := make(map[ident.Host]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Host] = true
	}
	for h := range p.last {
		if !listed[h] {
			delete(p.last, h)
		}
	}
}

// readHost polls all engines of a host. If one of them doesn't respond, it returns the
// previous result.
func (p *prober) readHost(ctx context.Context, now time.Time, h platformapi.HostInfo, previous probe) probe {
	previous.probedAt = now
	current := probe{probedAt: now, respondedAt: now, reportedAt: now, readyAt: now}
	for _, e := range h.Endpoints {
		load, state, err := p.readEngine(ctx, e.Address)
		if err != nil {
			return previous
		}
		if !state.Ready {
			current.readyAt = time.Time{}
		}
		if reportedAt := now.Add(-load.Age); reportedAt.Before(current.reportedAt) {
			current.reportedAt = reportedAt
		}
		current.loadedVersion = state.Version
		current.accepted += load.Running + load.Queued
	}
	if len(h.Endpoints) == 0 {
		return previous
	}
	return current
}

func (p *prober) readEngine(ctx context.Context, addr string) (endpoint.LoadReport, endpoint.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := p.engines.Load(ctx, addr)
	if err != nil {
		return endpoint.LoadReport{}, endpoint.EngineState{}, err
	}
	state, err := p.engines.EngineState(ctx, addr)
	return load, state, err
}
