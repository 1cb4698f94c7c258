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

// Engines are the calls to engines; *endpoint.Client implements it.
type Engines interface {
	Load(ctx context.Context, addr string) (endpoint.LoadReport, error)
	EngineState(ctx context.Context, addr string) (endpoint.EngineState, error)
	Order(ctx context.Context, addr string, order endpoint.EngineOrder) (endpoint.EngineState, error)
}

var _ Engines = (*endpoint.Client)(nil)

const (
	// maxProbes bounds the hosts read in one step. Those that start or drain come
	// first; of the others the ones read longest ago.
	maxProbes = 256
	// parallelProbes bounds the reads at a time.
	parallelProbes = 32
	probeTimeout   = time.Second
	// readyGrace is how long a host counts as ready after its last good read.
	readyGrace = 30 * time.Second
)

// probe is what a host's engines said last.
type probe struct {
	asked    time.Time
	answered time.Time // zero: never
	taken    time.Time // of the oldest load report
	ready    time.Time // last time at which all engines were ready
	loaded   ident.Version
	accepted int
}

// prober reads the engines of a service's hosts.
type prober struct {
	engines Engines
	last    map[ident.Host]probe
}

func newProber(engines Engines) *prober {
	return &prober{engines: engines, last: make(map[ident.Host]probe)}
}

// read reads hosts, the urgent ones first, and forgets those not listed.
func (p *prober) read(ctx context.Context, now time.Time, hosts []platformapi.HostInfo, urgent func(ident.Host) bool) {
	p.keep(hosts)
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b platformapi.HostInfo) int {
		if ua, ub := urgent(a.Host), urgent(b.Host); ua != ub {
			if ua {
				return -1
			}
			return 1
		}
		return p.last[a.Host].asked.Compare(p.last[b.Host].asked)
	})
	order = order[:min(len(order), maxProbes)]
	found := make([]probe, len(order))
	var g errgroup.Group
	g.SetLimit(parallelProbes)
	for i, h := range order {
		g.Go(func() error {
			found[i] = p.readHost(ctx, now, h, p.last[h.Host])
			return nil
		})
	}
	_ = g.Wait() // the reads return no errors
	for i, h := range order {
		p.last[h.Host] = found[i]
	}
}

func (p *prober) keep(hosts []platformapi.HostInfo) {
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

// readHost reads all engines of a host. Where one doesn't answer, what was known
// stays.
func (p *prober) readHost(ctx context.Context, now time.Time, h platformapi.HostInfo, old probe) probe {
	old.asked = now
	next := probe{asked: now, answered: now, taken: now, ready: now}
	for _, e := range h.Endpoints {
		load, state, err := p.readEngine(ctx, e.Address)
		if err != nil {
			return old
		}
		if !state.Ready {
			next.ready = time.Time{}
		}
		if taken := now.Add(-load.Age); taken.Before(next.taken) {
			next.taken = taken
		}
		next.loaded = state.Version
		next.accepted += load.Running + load.Queued
	}
	if len(h.Endpoints) == 0 {
		return old
	}
	return next
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
