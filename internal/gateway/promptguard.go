package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/quarantine"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

const (
	// quarantineKind and quarantineKey are the kind and the key of the object in the store
	// that contains the held segments.
	quarantineKind platformapi.Key = "quarantine"
	quarantineKey                  = quarantineKind + "/segments"
	// quarantineWriteInterval is how often a node checks whether the stored holds lack some.
	quarantineWriteInterval = time.Second
	// quarantineWatchWait is the wait of a watch on the stored holds. Nodes that reach each
	// other don't need the store for them.
	quarantineWatchWait = 4 * time.Second
	// storedHoldTolerance is how much earlier a stored hold may end without being written
	// again.
	storedHoldTolerance = time.Minute
	// refusalCheckTimeout limits the check whether an endpoint's process has ended, and
	// refusalCheckDelay is the time for it to close its listener.
	refusalCheckTimeout = 500 * time.Millisecond
	refusalCheckDelay   = 10 * time.Millisecond
	// heldRetryAfter is sent to callers whose requests are held back.
	heldRetryAfter = time.Minute
)

// promptGuard holds back requests with prompt segments that crash endpoints. It guards the
// tracker, which is not safe for concurrent use.
type promptGuard struct {
	transport serve.Transport
	store     platformapi.Feed
	clock     *walltime.Host
	writes    func() bool // whether this node writes to the store for all
	nodes     func() int
	log       *slog.Logger
	loop      *kernel.Loop
	crashes   prometheus.Counter
	refused   prometheus.Counter
	held      prometheus.Gauge

	mu struct {
		sync.Mutex
		tracker *quarantine.Tracker
		stored  map[quarantine.Segment]time.Time // until when, as in the store
	}
}

var (
	_ serve.PromptGuard  = (*promptGuard)(nil)
	_ directory.Listener = (*promptGuard)(nil)
)

// newPromptGuard returns a guard whose periodic writes have not started. writes reports whether
// this node writes to the store for all nodes, of which there are nodes.
func newPromptGuard(p Adapter, clock *walltime.Host, writes func() bool, nodes func() int, reg prometheus.Registerer, log *slog.Logger) *promptGuard {
	g := &promptGuard{
		transport: p.Transport, store: p.Store, clock: clock, writes: writes, nodes: nodes, log: log,
		crashes: prometheus.NewCounter(prometheus.CounterOpts{Name: "quarantine_crashes_total", Help: "Requests of this node under which an endpoint crashed before it had answered them."}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "quarantine_refused_total", Help: "Checks that refused a request for a prompt segment that crashes endpoints."}),
		held:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "quarantine_held_segments", Help: "Prompt segments that are held back."}),
	}
	reg.MustRegister(g.crashes, g.refused, g.held)
	g.mu.tracker = quarantine.New(clock.Now())
	g.mu.stored = make(map[quarantine.Segment]time.Time)
	g.loop = kernel.NewLoop(quarantineWriteInterval, g.writeHolds)
	return g
}

// Start implements kernel.Starter.
func (g *promptGuard) Start(ctx context.Context) error { return g.loop.Start(ctx) }

// Stop implements kernel.Stopper.
func (g *promptGuard) Stop(ctx context.Context) error { return g.loop.Stop(ctx) }

// segmentsOf returns the segments of a prompt that other requests may have in common.
func segmentsOf(p placement.Prompt) []quarantine.Segment {
	shared := p.SharedSegments()
	out := make([]quarantine.Segment, 0, len(shared))
	for _, s := range shared {
		out = append(out, quarantine.Segment(s.ID))
	}
	return out
}

// wallTime returns the time of day of a moment.
func (g *promptGuard) wallTime(at time.Time) time.Time { return g.clock.Now().Add(-time.Since(at)) }

// Check implements serve.PromptGuard.
func (g *promptGuard) Check(p placement.Prompt) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.mu.tracker.HoldsAny() {
		return nil
	}
	s, held := g.mu.tracker.Held(g.clock.Now(), segmentsOf(p))
	if !held {
		return nil
	}
	g.refused.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeHeld, "requests with prompt segment %s crash endpoints", s).After(heldRetryAfter)
}

// Answered implements serve.PromptGuard.
func (g *promptGuard) Answered(p placement.Prompt, began time.Time) {
	segments := segmentsOf(p)
	if len(segments) == 0 {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.tracker.RecordAnswer(now, now.Add(-time.Since(began)), segments)
}

// BrokenOff implements serve.PromptGuard. In the background, it checks whether the endpoint's
// process has ended: faulty endpoints break off responses, too.
func (g *promptGuard) BrokenOff(e site.Endpoint, p placement.Prompt, sent time.Time) {
	c := quarantine.Crash{Endpoint: e.Hash(), Dispatched: g.wallTime(sent), At: g.clock.Now(), Segments: segmentsOf(p)}
	if len(c.Segments) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), refusalCheckTimeout)
		defer cancel()
		kernel.Sleep(ctx, refusalCheckDelay)
		if !g.transport.Refuses(ctx, e) {
			return
		}
		g.crashes.Inc()
		g.log.Warn("quarantine: Endpoint crashed before it had answered a request.", "endpoint", e.ID, "service", e.Service, "segments", formatIDs(c.Segments))
		g.mu.Lock()
		defer g.mu.Unlock()
		g.mu.tracker.RecordCrash(g.clock.Now(), c)
	}()
}

func formatIDs(segments []quarantine.Segment) []string {
	out := make([]string, 0, len(segments))
	for _, s := range segments {
		out = append(out, s.String())
	}
	return out
}

// report returns what this node sends to the others.
func (g *promptGuard) report() quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.tracker.Empty() {
		return quarantine.Report{}
	}
	return g.mu.tracker.Report(g.clock.Now(), g.nodes())
}

// merge records the report of another node.
func (g *promptGuard) merge(r quarantine.Report) {
	if len(r.Crashes)+len(r.Answers)+len(r.Holds) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.tracker.Merge(g.clock.Now(), r)
}

// tick advances the tracker and logs its decisions. All known nodes have sent a report since
// heardSince.
func (g *promptGuard) tick(heardSince time.Time) {
	since := g.wallTime(heardSince)
	g.mu.Lock()
	g.mu.tracker.Tick(g.clock.Now(), since)
	events, holds := g.mu.tracker.Events(), len(g.mu.tracker.Holds())
	g.mu.Unlock()
	g.held.Set(float64(holds))
	for _, e := range events {
		switch e.Kind {
		case quarantine.EventSuspected:
			g.log.Warn("quarantine: Prompt segment is suspected to crash endpoints; requests with it are held back.", "segment", e.Segment.String(), "crashes", e.Crashes)
		case quarantine.EventCleared:
			g.log.Info("quarantine: Prompt segment is cleared: endpoints have answered requests with it.", "segment", e.Segment.String())
		case quarantine.EventHeld:
			g.log.Warn("quarantine: Prompt segment crashes endpoints; requests with it are held back.", "segment", e.Segment.String(), "for", quarantine.HoldTime)
		}
	}
}

// storedHolds is the object with the held segments in the store.
type storedHolds struct {
	// UntilMS is until when requests are held back, in Unix milliseconds, by segment in
	// hexadecimal.
	UntilMS map[string]int64 `json:"until_ms"`
}

// decode returns the holds, without those that cannot be read.
func (s storedHolds) decode() []quarantine.Hold {
	out := make([]quarantine.Hold, 0, len(s.UntilMS))
	for id, until := range s.UntilMS {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			out = append(out, quarantine.Hold{Segment: quarantine.Segment(n), Until: time.UnixMilli(until)})
		}
	}
	return out
}

// Replace implements directory.Listener.
func (g *promptGuard) Replace(objects []platformapi.Object) {
	g.mu.Lock()
	clear(g.mu.stored)
	g.mu.Unlock()
	g.Change(objects)
}

// Change implements directory.Listener. A hold is not ended by its removal from the store.
func (g *promptGuard) Change(objects []platformapi.Object) {
	now := g.clock.Now()
	for _, o := range objects {
		if o.Key != quarantineKey {
			continue
		}
		var stored storedHolds
		if err := json.Unmarshal(o.Value, &stored); o.Version != 0 && err != nil {
			g.log.Warn("quarantine: Stored segments cannot be read.", "revision", o.Version, "error", err)
		}
		g.mu.Lock()
		clear(g.mu.stored)
		for _, h := range stored.decode() {
			g.mu.stored[h.Segment] = h.Until
			g.mu.tracker.AddHold(now, h)
		}
		g.mu.Unlock()
	}
}

// missingInStore returns this node's holds if the store lacks one of them.
func (g *promptGuard) missingInStore() []quarantine.Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	holds := g.mu.tracker.Holds()
	for _, h := range holds {
		if h.Until.After(g.mu.stored[h.Segment].Add(storedHoldTolerance)) {
			return holds
		}
	}
	return nil
}

// writeHolds writes the holds that the store lacks, if this node writes for all. A write that
// fails is repeated at the next call.
func (g *promptGuard) writeHolds(ctx context.Context) {
	holds := g.missingInStore()
	if len(holds) == 0 || !g.writes() {
		return
	}
	o, err := g.store.Get(ctx, quarantineKey)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		g.log.Warn("quarantine: Stored segments cannot be read.", "error", err)
		return
	}
	stored := storedHolds{UntilMS: make(map[string]int64)}
	if err == nil {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			g.log.Warn("quarantine: Stored segments cannot be read and are replaced.", "revision", o.Version, "error", err)
		}
	}
	now := g.clock.Now()
	merged := storedHolds{UntilMS: make(map[string]int64)}
	for _, h := range append(stored.decode(), holds...) {
		if id := h.Segment.String(); now.Before(h.Until) {
			merged.UntilMS[id] = max(merged.UntilMS[id], h.Until.UnixMilli())
		}
	}
	raw, err := json.Marshal(merged)
	if err != nil {
		g.log.Error("quarantine: Segments cannot be encoded.", "error", err)
		return
	}
	_, err = g.store.Put(ctx, quarantineKey, raw, o.Version)
	g.log.Info("quarantine: Segments written to the store.", "segments", len(merged.UntilMS), "error", err)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range merged.decode() {
		g.mu.stored[h.Segment] = h.Until
	}
}
