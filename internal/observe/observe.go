// Package observe reads endpoints' load, cache events and leaving state.
//
// Each endpoint is read by few nodes of its data centre, those that rendezvous
// hashing names; the others learn of it from their peers.
package observe

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// Defaults of the options.
const (
	DefaultInterval       = time.Second
	DefaultObservers      = 1
	DefaultBytesPerSecond = 2 << 10
)

// bytesPerRead is what one read of an endpoint costs on the wire, both ways.
const bytesPerRead = 900

// readTimeout bounds the reads of one endpoint.
const readTimeout = time.Second

// Options are the settings of an Observer.
type Options struct {
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// Interval between two reads of an endpoint. Default: 1 s.
	Interval time.Duration
	// Observers of an endpoint. Default: 1; where it goes, the next node takes over.
	Observers int
	// BytesPerSecond bounds the traffic of all reads; the interval grows to keep
	// it. Default: 2 KiB/s.
	BytesPerSecond int
}

// Sink takes what was read.
type Sink interface {
	Report(r endpoint.LoadReport)
	CacheEvents(id ident.EndpointID, evs endpoint.CacheEvents)
	MarkEndpoint(id ident.EndpointID, s endpoint.LeavingState)
}

// target is an endpoint that this node reads.
type target struct {
	id   ident.EndpointID
	addr string
	kind platformapi.EndpointKind
}

// Observer reads its share of the data centre's endpoints.
type Observer struct {
	opts   Options
	log    *slog.Logger
	client *endpoint.Client
	sinks  []Sink

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		hosts []platformapi.HostInfo
		nodes []ident.NodeID // live, of this data centre
		seen  map[ident.EndpointID]uint64
	}
}

// New returns an observer that gives what it reads to all sinks.
func New(opts Options, log *slog.Logger, client *endpoint.Client, sinks ...Sink) *Observer {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Observers == 0 {
		opts.Observers = DefaultObservers
	}
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	o := &Observer{opts: opts, log: log, client: client, sinks: sinks, done: make(chan struct{})}
	o.mu.nodes = []ident.NodeID{opts.Node}
	o.mu.seen = make(map[ident.EndpointID]uint64)
	return o
}

// SetHosts takes the host list.
func (o *Observer) SetHosts(hosts []platformapi.HostInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.hosts = hosts
}

// SetNodes takes the live nodes of this data centre, this one included.
func (o *Observer) SetNodes(nodes []ident.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.nodes = nodes
}

// Start reads in the background.
func (o *Observer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go o.run(ctx)
	return nil
}

// Stop ends the reads.
func (o *Observer) Stop(context.Context) error {
	o.cancel()
	<-o.done
	return nil
}

// run spreads the reads of all targets evenly over the interval.
func (o *Observer) run(ctx context.Context) {
	defer close(o.done)
	for ctx.Err() == nil {
		targets := o.targets()
		pause := o.interval(len(targets))
		if len(targets) > 0 {
			pause /= time.Duration(len(targets))
		}
		for _, t := range targets {
			go o.read(ctx, t)
			if !wait(ctx, pause) {
				return
			}
		}
		if len(targets) == 0 && !wait(ctx, pause) {
			return
		}
	}
}

// interval returns the time between two reads of one endpoint.
func (o *Observer) interval(targets int) time.Duration {
	need := time.Duration(targets*bytesPerRead) * time.Second / time.Duration(o.opts.BytesPerSecond)
	return max(o.opts.Interval, need)
}

// targets returns the endpoints of this data centre that this node reads. An
// endpoint of a data centre without nodes has no reader; its own answers tell.
func (o *Observer) targets() []target {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []target
	for _, h := range o.mu.hosts {
		if h.DataCentre != o.opts.DataCentre {
			continue
		}
		for _, e := range h.Endpoints {
			ranked := rendezvous.Rank(string(e.ID), o.mu.nodes)
			if slices.Contains(ranked[:min(o.opts.Observers, len(ranked))], o.opts.Node) {
				out = append(out, target{e.ID, e.Address, e.Kind})
			}
		}
	}
	return out
}

func (o *Observer) read(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	load, err := o.client.Load(ctx, t.addr)
	if err != nil {
		o.log.Debug("observe: Endpoint can't be read.", "endpoint", string(t.id), "error", err)
		return
	}
	load.Endpoint = t.id
	for _, s := range o.sinks {
		s.Report(load)
	}
	o.readLeaving(ctx, t)
	if t.kind == platformapi.KindEngine {
		o.readCache(ctx, t)
	}
}

func (o *Observer) readLeaving(ctx context.Context, t target) {
	state, err := o.client.Leaving(ctx, t.addr)
	if err != nil || !state.Leaving {
		return
	}
	for _, s := range o.sinks {
		s.MarkEndpoint(t.id, state)
	}
}

func (o *Observer) readCache(ctx context.Context, t target) {
	evs, err := o.client.CacheEvents(ctx, t.addr, o.lastSeen(t.id))
	if err != nil || (len(evs.Events) == 0 && !evs.Gap) {
		return
	}
	if n := len(evs.Events); n > 0 {
		o.setSeen(t.id, evs.Events[n-1].Seq)
	}
	for _, s := range o.sinks {
		s.CacheEvents(t.id, evs)
	}
}

func (o *Observer) lastSeen(id ident.EndpointID) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mu.seen[id]
}

func (o *Observer) setSeen(id ident.EndpointID, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.seen[id] = seq
}

// wait returns false where ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
