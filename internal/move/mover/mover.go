// Package mover runs the version moves on one node. It calls the controllers
// periodically, performs their store calls, acquires the leases of the services that
// this node is a candidate for, and exchanges evidence, marks and records with other
// nodes.
package mover

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/lease"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Options configures a Mover.
type Options struct {
	Store platformapi.Store
	Self  lease.Owner
	// Config returns the configuration in force, or nil if there is none.
	Config func() *config.Config
	// Members returns the live nodes, including this one.
	Members func() []ident.NodeID
	// Capacity returns the share of all requests to a service that the ready
	// endpoints of a version can serve.
	Capacity func(ident.Service, ident.Version) move.Share
	// Candidates is the number of nodes that compete for the lease of a service.
	// Default: 3.
	Candidates int
	// Interval is the time between two ticks. Default: 1s.
	Interval time.Duration
	// CallTimeout is the timeout of one call to the store. Default: 2s.
	CallTimeout time.Duration
	Move        move.Options
	Lease       lease.Options
	// Clock returns the current time. Default: time.Now.
	Clock func() time.Time
	// Metrics is optional. Default: unregistered metrics.
	Metrics *Metrics
	// Log is optional. Default: log lines are discarded.
	Log *slog.Logger
}

func (o *Options) setDefaults() {
	if o.Candidates == 0 {
		o.Candidates = 3
	}
	if o.Interval == 0 {
		o.Interval = time.Second
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	o.Move.Self = o.Self.Node
}

// Mover runs all version moves on one node.
type Mover struct {
	opts   Options
	splits atomic.Pointer[map[ident.Service]move.Split]
	calls  sync.WaitGroup
	leases leases

	mu struct {
		sync.Mutex
		evidence    *move.Evidence
		controllers map[ident.MoveName]*move.Controller
		sent        map[ident.MoveName]uint64 // sequence number of the record last sent
		loaded      bool                      // whether the records in the store have been read
	}
}

// New returns a Mover, which acts when Run or Tick is called.
func New(opts Options) *Mover {
	opts.setDefaults()
	m := &Mover{opts: opts}
	m.leases = leases{opts: &m.opts, candidacies: make(map[ident.Service]*candidacy)}
	m.mu.evidence = move.NewEvidence(move.Source{Node: opts.Self.Node, Incarnation: opts.Self.Incarnation})
	m.mu.controllers = make(map[ident.MoveName]*move.Controller)
	m.mu.sent = make(map[ident.MoveName]uint64)
	m.splits.Store(&map[ident.Service]move.Split{})
	return m
}

// Record counts the end of a request or shadow copy that this node has sent.
// Requests of services without a move in progress are not counted.
func (m *Mover) Record(o move.Outcome) {
	if split, ok := m.Split(o.Service); !ok || split.To == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.evidence.Record(o)
}

// Split returns the distribution of the requests of a service over its versions, and
// whether the service is configured. It takes no lock and may be called for each
// request.
func (m *Mover) Split(s ident.Service) (move.Split, bool) {
	split, ok := (*m.splits.Load())[s]
	return split, ok
}

// Statuses returns the statuses of all moves, ordered by name.
func (m *Mover) Statuses() []move.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]move.Status, 0, len(m.mu.controllers))
	for _, name := range slices.Sorted(maps.Keys(m.mu.controllers)) {
		out = append(out, m.mu.controllers[name].Status())
	}
	return out
}

// Run calls Tick at Options.Interval until ctx is done. It returns the error of ctx.
func (m *Mover) Run(ctx context.Context) error {
	defer m.calls.Wait()
	defer m.leases.stop()
	t := time.NewTicker(m.opts.Interval)
	defer t.Stop()
	for {
		m.Tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Tick updates all moves once. Run calls it; callers with a clock of their own may
// call it instead of Run.
func (m *Mover) Tick(ctx context.Context) {
	cfg := m.opts.Config()
	if cfg == nil {
		return
	}
	m.loadRecords(ctx)
	m.leases.setCandidacies(ctx, m.candidateServices(cfg))
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range cfg.Moves {
		m.controllerLocked(name)
	}
	records := m.recordsLocked()
	for _, name := range slices.Sorted(maps.Keys(m.mu.controllers)) {
		c := m.mu.controllers[name]
		for _, a := range c.Tick(m.inputLocked(cfg, c, name, records)) {
			m.performLocked(ctx, name, c, a)
		}
	}
	m.publishSplitsLocked(cfg)
}

func (m *Mover) controllerLocked(name ident.MoveName) *move.Controller {
	c := m.mu.controllers[name]
	if c == nil {
		c = move.NewController(name, m.opts.Move)
		m.mu.controllers[name] = c
	}
	return c
}

// recordsLocked returns the records of the moves without a mark.
func (m *Mover) recordsLocked() []move.Record {
	var out []move.Record
	for _, c := range m.mu.controllers {
		if _, bad := c.Mark(); !bad && c.Record().State != "" {
			out = append(out, c.Record())
		}
	}
	return out
}

func (m *Mover) inputLocked(cfg *config.Config, c *move.Controller, name ident.MoveName, records []move.Record) move.Input {
	mv, present := cfg.Moves[name]
	if !present {
		r := c.Record()
		mv = config.Move{Name: name, Service: r.Service, From: r.From, To: r.To, FinishBy: r.FinishBy}
	}
	in := move.Input{
		Now: m.opts.Clock(), Move: mv, Present: present, Revision: cfg.Revision,
		Serving:  move.Serving(cfg.Services[mv.Service], records),
		Capacity: m.opts.Capacity(mv.Service, mv.To),
		Routes:   routesTo(cfg, mv.Service),
		Old:      m.mu.evidence.Totals(mv.Service, mv.From),
		New:      m.mu.evidence.Totals(mv.Service, mv.To),
		Poll:     m.isCandidate(mv.Service),
	}
	in.Epoch, in.LeaseHeld = m.leases.get(mv.Service)
	return in
}

func routesTo(cfg *config.Config, s ident.Service) int {
	n := 0
	for _, r := range cfg.Routes {
		if r.Service == s {
			n++
		}
	}
	return n
}

// publishSplitsLocked updates the splits of all services.
func (m *Mover) publishSplitsLocked(cfg *config.Config) {
	records := m.recordsLocked()
	splits := make(map[ident.Service]move.Split, len(cfg.Services))
	for name, svc := range cfg.Services {
		splits[name] = m.splitLocked(cfg, svc, records)
	}
	m.splits.Store(&splits)
}

func (m *Mover) splitLocked(cfg *config.Config, svc config.Service, records []move.Record) move.Split {
	withoutMove := move.Split{From: move.Serving(svc, records)}
	mv, ok := cfg.ActiveMove(svc.Name)
	if !ok {
		return withoutMove
	}
	c := m.controllerLocked(mv.Name)
	switch r := c.Record(); {
	case r.State == move.StateBaking, r.State == move.StateAdvancing && r.From == withoutMove.From:
		return c.Split()
	default:
		return withoutMove // not in progress, or it starts from a version that no longer serves
	}
}

// candidateServices returns the services with moves that may need a lease holder and
// for which this node is a candidate.
func (m *Mover) candidateServices(cfg *config.Config) []ident.Service {
	m.mu.Lock()
	defer m.mu.Unlock()
	services := make(map[ident.Service]bool)
	for _, mv := range cfg.Moves {
		c := m.mu.controllers[mv.Name]
		if c == nil || !c.Record().State.Terminal() && mv.SupersededBy == "" {
			services[mv.Service] = true
		}
	}
	for _, c := range m.mu.controllers {
		if r := c.Record(); r.State != "" && !r.State.Terminal() {
			services[r.Service] = true
		}
	}
	return slices.DeleteFunc(slices.Sorted(maps.Keys(services)), func(s ident.Service) bool { return !m.isCandidate(s) })
}

func (m *Mover) isCandidate(s ident.Service) bool {
	return lease.Rank(leaseName(s), m.opts.Self.Node, m.opts.Members()) < m.opts.Candidates
}
