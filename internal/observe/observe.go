// Package observe polls the load, cache events and drain state of endpoints.
//
// Each endpoint is polled by a few nodes of its data centre, chosen by rendezvous
// hashing. The other nodes receive the load and drain state from their peers.
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

// bytesPerRead is the network traffic of one read of an endpoint, both ways.
const bytesPerRead = 900

// readTimeout is the time limit for all requests of one read of an endpoint.
const readTimeout = time.Second

// Options are the settings of an Observer.
type Options struct {
	Node       ident.NodeID
	DataCentre ident.DataCentre
	// Interval is the minimum time between two reads of an endpoint. Default: 1 s.
	Interval time.Duration
	// Observers is the number of nodes that read each endpoint. If one of them is no
	// longer live, the next node in rendezvous order replaces it. Default: 1.
	Observers int
	// BytesPerSecond is the maximum traffic of all reads; the interval is extended
	// to stay within it. Default: 2 KiB/s.
	BytesPerSecond int
}

// Consumer receives what was read.
type Consumer interface {
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

// Observer polls its share of the endpoints of the data centre.
type Observer struct {
	opts      Options
	log       *slog.Logger
	client    *endpoint.Client
	consumers []Consumer

	cancel context.CancelFunc
	done   chan struct{}

	mu struct {
		sync.Mutex
		hosts   []platformapi.HostInfo
		nodes   []ident.NodeID              // live nodes of this data centre
		lastSeq map[ident.EndpointID]uint64 // sequence number of the last cache event read
	}
}

// New returns an observer that passes what it reads to all consumers.
func New(opts Options, log *slog.Logger, client *endpoint.Client, consumers ...Consumer) *Observer {
	if opts.Interval == 0 {
		opts.Interval = DefaultInterval
	}
	if opts.Observers == 0 {
		opts.Observers = DefaultObservers
	}
	if opts.BytesPerSecond == 0 {
		opts.BytesPerSecond = DefaultBytesPerSecond
	}
	o := &Observer{opts: opts, log: log, client: client, consumers: consumers, done: make(chan struct{})}
	o.mu.nodes = []ident.NodeID{opts.Node}
	o.mu.lastSeq = make(map[ident.EndpointID]uint64)
	return o
}

// SetHosts sets the host list.
func (o *Observer) SetHosts(hosts []platformapi.HostInfo) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.hosts = hosts
}

// SetNodes sets the live nodes of this data centre, including this node.
func (o *Observer) SetNodes(nodes []ident.NodeID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.nodes = nodes
}

// Start starts the polling in the background.
func (o *Observer) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	o.cancel = cancel
	go o.run(ctx)
	return nil
}

// Stop ends the polling.
func (o *Observer) Stop(context.Context) error {
	o.cancel()
	<-o.done
	return nil
}

// run reads all targets repeatedly, spread evenly over the interval.
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

// targets returns the endpoints of this data centre that this node reads. Endpoints of
// a data centre without nodes are not polled; their state is known only from their
// responses to requests.
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
	for _, s := range o.consumers {
		s.Report(load)
	}
	o.readLeaving(ctx, t)
	if t.kind == platformapi.KindEngine {
		o.readCacheEvents(ctx, t)
	}
}

func (o *Observer) readLeaving(ctx context.Context, t target) {
	state, err := o.client.Leaving(ctx, t.addr)
	if err != nil || !state.Leaving {
		return
	}
	for _, s := range o.consumers {
		s.MarkEndpoint(t.id, state)
	}
}

func (o *Observer) readCacheEvents(ctx context.Context, t target) {
	evs, err := o.client.CacheEvents(ctx, t.addr, o.lastEventSeq(t.id))
	if err != nil || (len(evs.Events) == 0 && !evs.Gap) {
		return
	}
	if n := len(evs.Events); n > 0 {
		o.setLastEventSeq(t.id, evs.Events[n-1].Seq)
	}
	for _, s := range o.consumers {
		s.CacheEvents(t.id, evs)
	}
}

func (o *Observer) lastEventSeq(id ident.EndpointID) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.mu.lastSeq[id]
}

func (o *Observer) setLastEventSeq(id ident.EndpointID, seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.mu.lastSeq[id] = seq
}

// wait waits for d and returns true, or returns false if ctx is done first.
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
