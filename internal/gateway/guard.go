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
	"github.com/jujubeshed/jujubeshed/internal/quota"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

const (
	// quarantineKind and quarantineKey are the kind and the key of the object in the store
	// that contains the held segments and signatures.
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

// requestGuard holds back requests like those that crash endpoints. It guards the tracker,
// which is not safe for concurrent use.
type requestGuard struct {
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
		stored  map[quarantine.Trait]time.Time // until when, as in the store
		// unverified are the broken-off attempts at endpoints of which it is being checked
		// whether their process has ended.
		unverified map[site.IncarnationHash][]quarantine.Crash
	}
}

var (
	_ serve.Guard        = (*requestGuard)(nil)
	_ directory.Listener = (*requestGuard)(nil)
)

// newRequestGuard returns a guard whose periodic writes have not started. writes reports whether
// this node writes to the store for all nodes, of which there are nodes.
func newRequestGuard(store platformapi.Feed, transport serve.Transport, clock *walltime.Host, writes func() bool, nodes func() int, reg prometheus.Registerer, log *slog.Logger) *requestGuard {
	g := &requestGuard{
		transport: transport, store: store, clock: clock, writes: writes, nodes: nodes, log: log,
		crashes: prometheus.NewCounter(prometheus.CounterOpts{Name: "quarantine_crashes_total", Help: "Requests of this node that an endpoint had not completed when it crashed."}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "quarantine_refused_total", Help: "Checks that refused a request whose like crash endpoints."}),
		held:    prometheus.NewGauge(prometheus.GaugeOpts{Name: "quarantine_held_segments", Help: "Prompt segments and signatures of requests that are held back."}),
	}
	reg.MustRegister(g.crashes, g.refused, g.held)
	g.mu.tracker = quarantine.New(clock.Now())
	g.mu.stored = make(map[quarantine.Trait]time.Time)
	g.mu.unverified = make(map[site.IncarnationHash][]quarantine.Crash)
	g.loop = kernel.NewLoop(quarantineWriteInterval, g.writeHolds)
	return g
}

// Start implements kernel.Starter.
func (g *requestGuard) Start(ctx context.Context) error { return g.loop.Start(ctx) }

// Stop implements kernel.Stopper.
func (g *requestGuard) Stop(ctx context.Context) error { return g.loop.Stop(ctx) }

// segmentsOf returns the segments of a prompt that other requests may have in common.
func segmentsOf(p placement.Prompt) []quarantine.Trait {
	shared := p.SharedSegments()
	out := make([]quarantine.Trait, 0, len(shared))
	for _, s := range shared {
		out = append(out, quarantine.Trait(s.ID))
	}
	return out
}

// wallTime returns the time of day of a moment.
func (g *requestGuard) wallTime(at time.Time) time.Time { return g.clock.Now().Add(-time.Since(at)) }

// Check implements serve.Guard.
func (g *requestGuard) Check(id serve.Identity) *verdict.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.tracker.Empty() {
		return nil
	}
	signature := quarantine.Trait(id.Signature)
	trait, held := g.mu.tracker.Held(g.clock.Now(), append(segmentsOf(id.Prompt), signature))
	if !held {
		return nil
	}
	g.refused.Inc()
	what := "with prompt segment"
	if trait == signature {
		what = "with signature"
	}
	return verdict.New(verdict.NotRun, verdict.CodeHeld, "requests %s %s crash endpoints", what, trait).After(heldRetryAfter)
}

// Answered implements serve.Guard.
func (g *requestGuard) Answered(id serve.Identity, began time.Time) {
	segments := segmentsOf(id.Prompt)
	if len(segments) == 0 {
		return
	}
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.tracker.RecordAnswer(now, now.Add(-time.Since(began)), segments)
}

// Completed implements serve.Guard.
func (g *requestGuard) Completed(id serve.Identity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.tracker.RecordCompletion(g.clock.Now(), quarantine.Trait(id.Signature))
}

// BrokenOff implements serve.Guard. In the background, it checks whether the endpoint's
// process has ended: faulty endpoints break off responses, too.
func (g *requestGuard) BrokenOff(e site.Endpoint, id serve.Identity, sent time.Time, answering bool) {
	c := quarantine.Crash{Endpoint: e.Hash(), Dispatched: g.wallTime(sent), At: g.clock.Now(), Signature: quarantine.Trait(id.Signature), Answering: answering}
	if !answering {
		c.Segments = segmentsOf(id.Prompt)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.unverified[c.Endpoint] = append(g.mu.unverified[c.Endpoint], c)
	if len(g.mu.unverified[c.Endpoint]) == 1 {
		go g.verifyCrash(e)
	}
}

// verifyCrash records the crash of an endpoint under the attempts that broke off there, if its
// process has ended. One check serves all attempts that break off meanwhile.
func (g *requestGuard) verifyCrash(e site.Endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), refusalCheckTimeout)
	defer cancel()
	kernel.Sleep(ctx, refusalCheckDelay)
	crashed := g.transport.Probe(ctx, e) == serve.Refused
	g.mu.Lock()
	defer g.mu.Unlock()
	attempts := g.mu.unverified[e.Hash()]
	delete(g.mu.unverified, e.Hash())
	if !crashed {
		return
	}
	now := g.clock.Now()
	for _, c := range attempts {
		g.crashes.Inc()
		g.log.Warn("quarantine: Endpoint crashed before it had completed a request.", "endpoint", e.ID, "service", e.Service,
			"signature", c.Signature.String(), "answering", c.Answering, "segments", formatIDs(c.Segments))
		g.mu.tracker.RecordCrash(now, c)
	}
}

func formatIDs(segments []quarantine.Trait) []string {
	out := make([]string, 0, len(segments))
	for _, s := range segments {
		out = append(out, s.String())
	}
	return out
}

// report returns what this node sends to the others.
func (g *requestGuard) report() quarantine.Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.mu.tracker.Empty() {
		return quarantine.Report{}
	}
	return g.mu.tracker.Report(g.clock.Now(), g.nodes())
}

// merge records the report of another node.
func (g *requestGuard) merge(from quota.NodeIncarnation, r quarantine.Report) {
	if len(r.Crashes)+len(r.Answers)+len(r.Holds) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mu.tracker.Merge(g.clock.Now(), quarantine.Observer(from.Hash()), r)
}

// tick advances the tracker and logs its decisions. All known nodes have sent a report since
// heardSince.
func (g *requestGuard) tick(heardSince time.Time) {
	since := g.wallTime(heardSince)
	g.mu.Lock()
	g.mu.tracker.Tick(g.clock.Now(), since)
	events, holds := g.mu.tracker.Events(), len(g.mu.tracker.Holds())
	g.mu.Unlock()
	g.held.Set(float64(holds))
	for _, e := range events {
		switch e.Kind {
		case quarantine.EventSuspected:
			g.log.Warn("quarantine: Requests are suspected to crash endpoints; their like are held back.", "trait", e.Trait.String(), "crashes", e.Crashes, "alternatives", e.Alternatives)
		case quarantine.EventCleared:
			g.log.Info("quarantine: Requests are cleared: endpoints have answered their like.", "trait", e.Trait.String())
		case quarantine.EventHeld:
			g.log.Warn("quarantine: Requests crash endpoints; their like are held back.", "trait", e.Trait.String(), "for", quarantine.HoldTime)
		}
	}
}

// storedHolds is the object with the holds in the store.
type storedHolds struct {
	// UntilMS is until when requests are held back, in Unix milliseconds, by segment or
	// signature in hexadecimal.
	UntilMS map[string]int64 `json:"until_ms"`
}

// decode returns the holds, without those that cannot be read.
func (s storedHolds) decode() []quarantine.Hold {
	out := make([]quarantine.Hold, 0, len(s.UntilMS))
	for id, until := range s.UntilMS {
		if n, err := strconv.ParseUint(id, 16, 64); err == nil {
			out = append(out, quarantine.Hold{Trait: quarantine.Trait(n), Until: time.UnixMilli(until)})
		}
	}
	return out
}

// Replace implements directory.Listener.
func (g *requestGuard) Replace(objects []platformapi.Object) {
	g.mu.Lock()
	clear(g.mu.stored)
	g.mu.Unlock()
	g.Change(objects)
}

// Change implements directory.Listener. A hold is not ended by its removal from the store.
func (g *requestGuard) Change(objects []platformapi.Object) {
	now := g.clock.Now()
	for _, o := range objects {
		if o.Key != quarantineKey {
			continue
		}
		var stored storedHolds
		if err := json.Unmarshal(o.Value, &stored); o.Version != 0 && err != nil {
			g.log.Warn("quarantine: Stored holds cannot be read.", "revision", o.Version, "error", err)
		}
		g.mu.Lock()
		clear(g.mu.stored)
		for _, h := range stored.decode() {
			g.mu.stored[h.Trait] = h.Until
			g.mu.tracker.AddHold(now, h)
		}
		g.mu.Unlock()
	}
}

// missingInStore returns this node's holds if the store lacks one of them.
func (g *requestGuard) missingInStore() []quarantine.Hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	holds := g.mu.tracker.Holds()
	for _, h := range holds {
		if h.Until.After(g.mu.stored[h.Trait].Add(storedHoldTolerance)) {
			return holds
		}
	}
	return nil
}

// writeHolds writes the holds that the store lacks, if this node writes for all. A write that
// fails is repeated at the next call.
func (g *requestGuard) writeHolds(ctx context.Context) {
	holds := g.missingInStore()
	if len(holds) == 0 || !g.writes() {
		return
	}
	o, err := g.store.Get(ctx, quarantineKey)
	if err != nil && !errors.Is(err, platformapi.ErrNotFound) {
		g.log.Warn("quarantine: Stored holds cannot be read.", "error", err)
		return
	}
	stored := storedHolds{UntilMS: make(map[string]int64)}
	if err == nil {
		if err := json.Unmarshal(o.Value, &stored); err != nil {
			g.log.Warn("quarantine: Stored holds cannot be read and are replaced.", "revision", o.Version, "error", err)
		}
	}
	now := g.clock.Now()
	merged := storedHolds{UntilMS: make(map[string]int64)}
	for _, h := range append(stored.decode(), holds...) {
		if id := h.Trait.String(); now.Before(h.Until) {
			merged.UntilMS[id] = max(merged.UntilMS[id], h.Until.UnixMilli())
		}
	}
	raw, err := json.Marshal(merged)
	if err != nil {
		g.log.Error("quarantine: Holds cannot be encoded.", "error", err)
		return
	}
	_, err = g.store.Put(ctx, quarantineKey, raw, o.Version)
	g.log.Info("quarantine: Holds written to the store.", "holds", len(merged.UntilMS), "error", err)
	if err != nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range merged.decode() {
		g.mu.stored[h.Trait] = h.Until
	}
}
