package serve_test

import (
	"cmp"
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// migratingTransport is a serve.Transport whose engines stop a running request when its
// migration asks for that.
type migratingTransport struct {
	stopErr   error              // returned by migrations with Stop; nil for success
	stopErrs  []error            // of the first migrations with Stop, which return no copy
	stopHangs bool               // migrations with Stop after these get no response
	copyOnErr bool               // a KV copy is returned together with stopErr
	end       error              // with which the stream of a stopped request ends; nil for io.ErrUnexpectedEOF
	probe     serve.Reachability // zero for serve.Connected
	cutOff    bool               // probes get no answer
	guard     serve.Guard        // nil for none
	mayStart  func(deadline time.Time, repeatable bool) *verdict.Error
	onStop    func() // called before a request is stopped, if it is not nil
	silent    bool   // no event comes before the stop
	path      string // of the request; empty for one that must not run twice
	attempts  int    // allowed by the routes; zero for those of testConfig
	// resumption responds to attempts with a KV copy, if it is not nil.
	resumption func() (*serve.Answer, error)

	mu         sync.Mutex
	sent       []serve.Attempt
	migrations []serve.Migration
	stopped    chan struct{}
}

// Send responds to an attempt without a KV copy with two events, after which the stream
// stays open until it is stopped. An attempt that resumes the stream gets the events up to the
// fourth and the end.
func (m *migratingTransport) Send(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.MayStart != nil {
		if err := a.MayStart(); err != nil {
			return nil, err
		}
	}
	m.sent = append(m.sent, a)
	if a.Import == nil && a.After == 0 {
		answer := streamResponse("first", nil, nil)
		running := events{queue: numberedEvents(1, 2), err: m.end}
		if m.silent {
			running.queue = nil
		}
		answer.Events = &stoppableEvents{running, ctx, m.stopped}
		return answer, nil
	}
	if m.resumption != nil && a.Import != nil {
		return m.resumption()
	}
	return streamResponse("second", numberedEvents(a.After+1, 4), io.EOF), nil
}

func (m *migratingTransport) Probe(ctx context.Context, _ site.Endpoint) serve.Reachability {
	if m.cutOff || ctx.Err() != nil {
		return serve.NoAnswer
	}
	return cmp.Or(m.probe, serve.Connected)
}

func (m *migratingTransport) SetSignals(serve.EndpointSignals) {}

func (m *migratingTransport) Migrate(ctx context.Context, req serve.Migration) (*serve.KVCopy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.migrations = append(m.migrations, req)
	c := &serve.KVCopy{Source: req.From.Address, Handle: "h"}
	if !req.Stop {
		return c, nil
	}
	if m.onStop != nil {
		m.onStop()
	}
	select {
	case <-m.stopped: // the call is repeated
	default:
		close(m.stopped)
	}
	if len(m.stopErrs) > 0 {
		err := m.stopErrs[0]
		m.stopErrs = m.stopErrs[1:]
		return nil, err
	}
	if m.stopHangs {
		<-ctx.Done()
		return nil, refusal(verdict.MayHaveRun)
	}
	if m.stopErr != nil && !m.copyOnErr {
		return nil, m.stopErr
	}
	return c, m.stopErr
}

// stoppableEvents returns its events and then breaks off when the request is stopped.
type stoppableEvents struct {
	events
	ctx     context.Context
	stopped chan struct{}
}

func (s *stoppableEvents) Next() (serve.Event, error) {
	if len(s.queue) > 0 {
		return s.events.Next()
	}
	select {
	case <-s.stopped:
		return serve.Event{}, cmp.Or(s.err, io.ErrUnexpectedEOF)
	case <-s.ctx.Done():
		return serve.Event{}, s.ctx.Err()
	}
}

// TestStreamMigratesBeforeTermination checks that a stream that must not run twice is
// resumed at another engine before its own terminates, and that the caller gets it
// complete. If the other engine has no room for the copy, the stream is resumed at its own
// engine; if the migration fails without a copy, the caller's stream is aborted.
func TestStreamMigratesBeforeTermination(t *testing.T) {
	for name, tc := range map[string]struct {
		transport  *migratingTransport
		events     string
		sameEngine bool // the stream is resumed at its own engine
	}{
		"migrated":       {transport: &migratingTransport{}, events: "abcd"},
		"no room":        {transport: &migratingTransport{stopErr: refusal(verdict.NotRun), copyOnErr: true}, events: "abcd", sameEngine: true},
		"end not marked": {transport: &migratingTransport{end: serve.ErrUnmarkedEnd}, events: "abcd"},
		"failed":         {transport: &migratingTransport{stopErr: refusal(verdict.MayHaveRun)}, events: "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			tr := tc.transport
			node, c, from := serveMigrated(tr)
			if c.events != tc.events {
				t.Errorf("the caller got events %q, want %q", c.events, tc.events)
			}
			if complete := len(tc.events) == 4; c.aborted == complete || c.head == nil || c.head.Header.Get("Seal") != "first" {
				t.Errorf("aborted %t, head %v", c.aborted, c.head)
			}
			tr.checkMigration(t, from, tc.sameEngine, len(tc.events) == 4)
			if loads := node.table.Loads(time.Now()); len(loads) != 0 {
				t.Errorf("engines still have load after the end of the stream: %v", loads)
			}
		})
	}
}

// serveMigrated serves a stream that must not run twice, whose engine terminates while it runs. It
// returns the node, what the caller got and the engine.
func serveMigrated(tr *migratingTransport) (*fakeNode, *caller, site.Endpoint) {
	return serveMigratedWith(tr, slog.New(slog.DiscardHandler), prometheus.NewRegistry())
}

// serveMigratedWith does the same with a log and a registry of metrics.
func serveMigratedWith(tr *migratingTransport, log *slog.Logger, reg *prometheus.Registry) (*fakeNode, *caller, site.Endpoint) {
	node, _ := newFakeNode(nil)
	cfg := *testConfig
	engine := site.Engine{Slots: 8, CacheTokens: 10000, SupportsMigration: true}
	cfg.Services = map[ident.Service]site.Service{"llm": {Name: "llm", Engine: &engine}}
	if tr.attempts > 0 {
		cfg.Routes = slices.Clone(cfg.Routes)
		for i := range cfg.Routes {
			cfg.Routes[i].MaxAttempts = tr.attempts
		}
		cfg.Index()
	}
	node.config = &cfg
	tr.stopped = make(chan struct{})
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: node, Placement: node, Versions: node, Transport: tr, Guard: tr.guard, Log: log, Metrics: serve.NewMetrics(reg),
		MayStart: tr.mayStart,
	})
	c := &caller{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Serve(context.Background(), request(cmp.Or(tr.path, "/draft/x")), c)
	}()
	from := node.drainEngineOfFirstAttempt(tr)
	now := time.Now()
	h.MigrateStreams(now) // too early: the engine terminates in 2.5 s
	h.MigrateStreams(now.Add(1500 * time.Millisecond))
	h.MigrateStreams(now.Add(1600 * time.Millisecond))
	<-done
	return node, c, from
}

// TestStoppedStreamIsIncomplete guards against streams that end as complete after a part of their
// events: an engine that stops a stream for its migration ends the connection, which ends a stream
// without length or chunks also where that is complete.
func TestStoppedStreamIsIncomplete(t *testing.T) {
	resumption := func(a *serve.Answer, err error) func() (*serve.Answer, error) {
		return func() (*serve.Answer, error) { return a, err }
	}
	for name, tc := range map[string]struct {
		transport *migratingTransport
		complete  bool
	}{
		"stop without response":       {transport: &migratingTransport{stopErr: refusal(verdict.MayHaveRun)}},
		"stopped, resumption refused": {transport: &migratingTransport{resumption: resumption(nil, refusal(verdict.NotRun))}},
		"stopped, resumption lost":    {transport: &migratingTransport{resumption: resumption(nil, refusal(verdict.MayHaveRun))}},
		"stopped, resumption failed":  {transport: &migratingTransport{resumption: resumption(&serve.Answer{Head: serve.Head{Status: http.StatusInternalServerError}}, nil)}},
		"no room, refused at its own": {transport: &migratingTransport{stopErr: refusal(verdict.NotRun), copyOnErr: true, resumption: resumption(nil, refusal(verdict.NotRun))}},
		"ended before it was stopped": {transport: &migratingTransport{stopErr: refusal(verdict.NotRun)}, complete: true},
		"resumed, unmarked end":       {transport: &migratingTransport{resumption: resumption(streamResponse("second", numberedEvents(3, 4), serve.ErrUnmarkedEnd), nil)}, complete: true},
		"resumed, resumption cut off": {transport: &migratingTransport{resumption: resumption(streamResponse("second", numberedEvents(3, 3), io.ErrUnexpectedEOF), nil)}},
	} {
		t.Run(name, func(t *testing.T) {
			tc.transport.end = serve.ErrUnmarkedEnd
			_, c, _ := serveMigrated(tc.transport)
			if c.aborted == tc.complete || c.head == nil {
				t.Errorf("events %q, aborted %t, head %v", c.events, c.aborted, c.head)
			}
		})
	}
}

// holdingGuard holds a request back once it has begun to be answered at some length.
type holdingGuard struct {
	fakeGuard
	held atomic.Bool
	sent time.Time // of the last attempt that broke off
}

func (g *holdingGuard) BrokenOff(e site.Endpoint, id serve.Identity, sent time.Time, answering bool) {
	g.sent = sent
	g.fakeGuard.BrokenOff(e, id, sent, answering)
}

func (g *holdingGuard) Check(serve.Identity) *verdict.Error {
	if !g.held.Load() {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeHeld, "held by the test")
}

// TestFirstCopyIsUsedOnlyAfterTheRun checks when a stream goes on from the copy that was made while it
// ran, as the stop has not been answered: only once its engine has ended the connection and certainly
// does not run it, and if requests like it are not held back.
func TestFirstCopyIsUsedOnlyAfterTheRun(t *testing.T) {
	brokenOff := errors.Mark(io.ErrUnexpectedEOF, serve.ErrBrokenOff)
	lost := refusal(verdict.MayHaveRun)
	for name, tc := range map[string]struct {
		end, stopErr error
		probe        serve.Reachability
		held, goesOn bool
		cutOff       bool
	}{
		"engine has ended":              {end: brokenOff, stopErr: lost, probe: serve.Refused, goesOn: true},
		"engine has ended, end unclear": {end: serve.ErrUnmarkedEnd, stopErr: lost, probe: serve.Refused, goesOn: true},
		"engine does not run it":        {end: brokenOff, stopErr: verdict.New(verdict.NotRun, verdict.CodeNotRunning, "404"), probe: serve.Connected, goesOn: true},
		"engine may run it":             {end: brokenOff, stopErr: lost, probe: serve.Connected},
		"engine may be cut off":         {end: brokenOff, stopErr: lost, cutOff: true},
		"connection has timed out":      {end: io.ErrUnexpectedEOF, stopErr: lost, probe: serve.Refused},
		"held back":                     {end: brokenOff, stopErr: lost, probe: serve.Refused, held: true},
	} {
		t.Run(name, func(t *testing.T) {
			guard := &holdingGuard{}
			tr := &migratingTransport{end: tc.end, stopErr: tc.stopErr, probe: tc.probe, cutOff: tc.cutOff, guard: guard}
			tr.onStop = func() { guard.held.Store(tc.held) }
			_, c, _ := serveMigrated(tr)
			if want := map[bool]string{true: "abcd", false: "ab"}[tc.goesOn]; c.events != want || c.aborted == tc.goesOn {
				t.Errorf("events %q, aborted %t", c.events, c.aborted)
			}
		})
	}
}

// TestStopIsRepeatedUntilItIsClear guards against streams that are cut since one repeated stop has failed,
// although their memory can be used moments later: the first stop, whose response was lost, still
// copies, or the engine did not get the second one.
func TestStopIsRepeatedUntilItIsClear(t *testing.T) {
	lost := refusal(verdict.MayHaveRun)
	conflict := verdict.New(verdict.NotRun, verdict.CodeUpstream, "status 409")
	for name, tc := range map[string]struct {
		stopErrs []error
		hangs    bool // the stops after these
		probe    serve.Reachability
	}{
		"still copying":                  {stopErrs: []error{lost, conflict, conflict}},
		"unavailable":                    {stopErrs: []error{lost, refusal(verdict.MayHaveRun)}},
		"not sent":                       {stopErrs: []error{lost, verdict.New(verdict.NotRun, verdict.CodeNotSent, "not sent")}},
		"no response from an ended host": {stopErrs: []error{lost}, hangs: true, probe: serve.Refused},
	} {
		tr := &migratingTransport{end: errors.Mark(io.ErrUnexpectedEOF, serve.ErrBrokenOff), stopErrs: tc.stopErrs, stopHangs: tc.hangs, probe: tc.probe}
		if _, c, _ := serveMigrated(tr); c.events != "abcd" || c.aborted {
			t.Errorf("%s: events %q, aborted %t, %d calls", name, c.events, c.aborted, len(tr.migrations))
		}
	}
}

// TestContinuationsReachFewEngines guards against a stopped run that is sent over and over again to an
// engine that resets the connection each time: every arrival counts as a request there.
func TestContinuationsReachFewEngines(t *testing.T) {
	tr := &migratingTransport{resumption: func() (*serve.Answer, error) { return nil, refusal(verdict.MayHaveRun) }}
	serveMigrated(tr)
	if got := len(tr.sent) - 1; got < 2 || got > 3 {
		t.Errorf("the target got the run %d times, want 2 or 3", got)
	}
}

// TestResumableStreamGoesOnElsewhere guards against streams that wait for an engine with a copy of their
// KV cache to accept them, although another attempt can resume them without it. Where there can be none, they wait.
func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	conflict := verdict.New(verdict.NotRun, verdict.CodeUpstream, "status 409")
	for name, tc := range map[string]struct {
		tr           *migratingTransport
		stops, tries int
	}{
		"no engine accepts it": {tr: &migratingTransport{}, stops: 1, tries: 2},
		"stop is not clear":    {tr: &migratingTransport{stopErrs: []error{refusal(verdict.MayHaveRun), conflict, conflict}}, stops: 2},
		"no further attempt":   {tr: &migratingTransport{attempts: 1}, stops: 1, tries: 12},
	} {
		tr := tc.tr
		tr.path, tr.end = "/chat/x", errors.Mark(io.ErrUnexpectedEOF, serve.ErrBrokenOff)
		tr.resumption = func() (*serve.Answer, error) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNotSent, "not sent")
		}
		_, c, _ := serveMigrated(tr)
		tries, stops := 0, 0
		for _, a := range tr.sent {
			if a.Import != nil {
				tries++
			}
		}
		for _, m := range tr.migrations {
			if m.Stop {
				stops++
			}
		}
		if goesOn := tr.attempts != 1; (c.events == "abcd") != goesOn || c.aborted == goesOn || tries != tc.tries || stops != tc.stops {
			t.Errorf("%s: events %q, aborted %t, %d tries at engines with a copy, %d stops", name, c.events, c.aborted, tries, stops)
		}
	}
}

// TestRunThatEndsItsTargetGoesNoFurther guards against requests that crash engines, stopped for their
// migration: the target ends when it continues one, and requests like it are held back from then on.
func TestRunThatEndsItsTargetGoesNoFurther(t *testing.T) {
	for _, held := range []bool{false, true} {
		guard := &holdingGuard{}
		tr := &migratingTransport{guard: guard, probe: serve.Refused}
		tries := 0
		begin := time.Now()
		tr.resumption = func() (*serve.Answer, error) {
			switch tries++; tries {
			case 1:
				guard.held.Store(held)
				return nil, errors.Mark(refusal(verdict.MayHaveRun), serve.ErrBrokenOff)
			case 2:
				return nil, verdict.New(verdict.NotRun, verdict.CodeUpstream, "connection refused")
			}
			return streamResponse("second", numberedEvents(3, 4), io.EOF), nil
		}
		_, c, _ := serveMigrated(tr)
		if want := map[bool]int{false: 3, true: 2}[held]; tries != want || c.aborted != held {
			t.Errorf("held %t: %d tries, events %q, aborted %t", held, tries, c.events, c.aborted)
		}
		if guard.cut != 1 || guard.sent.Before(begin) {
			t.Errorf("held %t: %d ends of an engine are recorded, want 1; sent at %s", held, guard.cut, guard.sent)
		}
	}
}

// TestRunResumesWhileNodeStops guards against streams that a node has stopped for their migration and
// then gives up, since it is stopping itself in the meantime: they have no event yet.
func TestRunResumesWhileNodeStops(t *testing.T) {
	var stopping atomic.Bool
	tr := &migratingTransport{silent: true, onStop: func() { stopping.Store(true) }}
	tr.mayStart = func(time.Time, bool) *verdict.Error {
		if stopping.Load() {
			return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
		}
		return nil
	}
	if _, c, _ := serveMigrated(tr); c.events != "abcd" || c.aborted || c.refused != nil {
		t.Errorf("events %q, aborted %t, refused %v", c.events, c.aborted, c.refused)
	}
}

// TestFailedResumptionReturnsItsMemory guards against nodes that run out of memory for bodies: an
// engine answers the resumption of a migrated stream with an error, whose body is not passed on.
func TestFailedResumptionReturnsItsMemory(t *testing.T) {
	var released atomic.Int32
	answer := &serve.Answer{Head: serve.Head{Status: http.StatusInternalServerError}, Body: []byte("x"), Release: func() { released.Add(1) }}
	_, c, _ := serveMigrated(&migratingTransport{resumption: func() (*serve.Answer, error) { return answer, nil }})
	if !c.aborted || c.events != "ab" || released.Load() != 1 {
		t.Errorf("events %q, aborted %t, memory released %d times", c.events, c.aborted, released.Load())
	}
}

// drainEngineOfFirstAttempt waits for the first attempt, then marks its engine as
// terminating in 2.5 s and returns it.
func (node *fakeNode) drainEngineOfFirstAttempt(tr *migratingTransport) site.Endpoint {
	for {
		tr.mu.Lock()
		sent := len(tr.sent)
		tr.mu.Unlock()
		if sent > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // until the stream is being read
	from := tr.sent[0].Endpoint
	var list []site.Endpoint
	for _, id := range []string{"e1", "e2"} {
		e := site.Endpoint{ID: ident.EndpointID(id), Service: "llm", Slots: 8}
		if e.ID == from.ID {
			e.Leaving, e.LeavesIn = true, 2500*time.Millisecond
		}
		list = append(list, e)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.table.SetEndpoints(time.Now(), list, nil, node.config.Services)
	return from
}

// checkMigration checks that the stream was copied, then stopped, and resumed at the
// expected engine.
func (m *migratingTransport) checkMigration(t *testing.T, from site.Endpoint, sameEngine, complete bool) {
	t.Helper()
	if len(m.migrations) != 2 || m.migrations[0].Stop || !m.migrations[1].Stop || m.migrations[1].From.ID != from.ID || m.migrations[1].To.ID == from.ID {
		t.Errorf("migrations: %+v", m.migrations)
	}
	if !complete {
		if len(m.sent) != 1 {
			t.Errorf("%d attempts were sent, want 1", len(m.sent))
		}
		return
	}
	if len(m.sent) != 2 || m.sent[1].After != 2 || (m.sent[1].Endpoint.ID == from.ID) != sameEngine {
		t.Fatalf("attempts: %+v", m.sent)
	}
}

// failingMigration is a transport whose migrations are all refused.
type failingMigration struct{ *migratingTransport }

func (r failingMigration) Migrate(context.Context, serve.Migration) (*serve.KVCopy, error) {
	return nil, refusal(verdict.NotRun)
}

// TestFailedMigrationLeavesNoLoad checks that an engine to which a migration was refused
// counts neither as loaded by the stream nor as having served it.
func TestFailedMigrationLeavesNoLoad(t *testing.T) {
	node, _ := newFakeNode(nil)
	cfg := *testConfig
	engine := site.Engine{Slots: 8, CacheTokens: 10000, SupportsMigration: true}
	cfg.Services = map[ident.Service]site.Service{"llm": {Name: "llm", Engine: &engine}}
	node.config = &cfg
	tr := &migratingTransport{stopped: make(chan struct{})}
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: node, Placement: node, Versions: node, Transport: failingMigration{tr}, Log: slog.New(slog.DiscardHandler),
		Metrics: serve.NewMetrics(prometheus.NewRegistry()),
	})
	ctx, disconnect := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Serve(ctx, request("/draft/x"), &caller{})
	}()
	from := node.drainEngineOfFirstAttempt(tr)
	h.MigrateStreams(time.Now().Add(1500 * time.Millisecond))
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		node.mu.Lock()
		loads := node.table.Loads(time.Now())
		node.mu.Unlock()
		if _, ok := loads[from.ID]; ok && len(loads) == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("loads after a refused migration: %v", loads)
		}
	}
	disconnect()
	<-done
}
