package serve_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// movable is a transport whose engines stop a run when it is moved.
type movable struct {
	moveErr error // of a move that stops the run
	handle  bool  // a failed move names a copy

	mu      sync.Mutex
	sent    []serve.Attempt
	moves   []serve.Migration
	stopped chan struct{}
}

// Send answers the first attempt with two events, after which the run goes on until it
// is stopped; an attempt with a copy goes on to event four.
func (m *movable) Send(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = append(m.sent, a)
	if a.Import == nil {
		answer := stream("first", nil, nil)
		answer.Events = &stoppable{events{list: numbered(1, 2)}, ctx, m.stopped}
		return answer, nil
	}
	return stream("second", numbered(a.After+1, 4), io.EOF), nil
}

func (m *movable) Migrate(_ context.Context, v serve.Migration) (*serve.KVCopy, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.moves = append(m.moves, v)
	c := &serve.KVCopy{Source: v.From.Address, Handle: "h"}
	if !v.Stop {
		return c, nil
	}
	close(m.stopped)
	if m.moveErr != nil && !m.handle {
		return nil, m.moveErr
	}
	return c, m.moveErr
}

// stoppable is a stream that breaks off when its run is stopped.
type stoppable struct {
	events
	ctx     context.Context
	stopped chan struct{}
}

func (s *stoppable) Next() (serve.Event, error) {
	if len(s.list) > 0 {
		return s.events.Next()
	}
	select {
	case <-s.stopped:
		return serve.Event{}, io.ErrUnexpectedEOF
	case <-s.ctx.Done():
		return serve.Event{}, s.ctx.Err()
	}
}

// TestRunIsMovedBeforeItsEngineEnds: a stream that must not run twice goes on at
// another engine when its own leaves, and the caller gets it whole; where the copy
// finds no room it goes on at its own engine.
func TestRunIsMovedBeforeItsEngineEnds(t *testing.T) {
	for name, tc := range map[string]struct {
		transport *movable
		events    string
		home      bool // the run goes on at its own engine
	}{
		"moved":   {transport: &movable{}, events: "abcd"},
		"no room": {transport: &movable{moveErr: refusal(verdict.NotRun), handle: true}, events: "abcd", home: true},
		"failed":  {transport: &movable{moveErr: refusal(verdict.MayHaveRun)}, events: "ab"},
	} {
		t.Run(name, func(t *testing.T) {
			w, _ := newWorld(nil)
			cfg := *testConfig
			engine := site.Engine{Slots: 8, CacheTokens: 10000, SupportsMigration: true}
			cfg.Services = map[ident.Service]site.Service{"llm": {Name: "llm", Engine: &engine}}
			w.config = &cfg
			tr := tc.transport
			tr.stopped = make(chan struct{})
			h := serve.NewHandler(serve.Dependencies{
				NodeServices: w, Placement: w, Versions: w, Transport: tr, Log: slog.New(slog.DiscardHandler),
				Metrics: serve.NewMetrics(prometheus.NewRegistry()),
			})
			var c caller
			done := make(chan struct{})
			go func() {
				defer close(done)
				h.Serve(context.Background(), request("/draft/x"), &c)
			}()
			from := w.leaveWhenSent(tr)
			now := time.Now()
			h.MigrateStreams(now) // the notice is long
			h.MigrateStreams(now.Add(1500 * time.Millisecond))
			h.MigrateStreams(now.Add(1600 * time.Millisecond))
			<-done
			if c.events != tc.events {
				t.Errorf("the caller got events %q, want %q", c.events, tc.events)
			}
			if whole := len(tc.events) == 4; c.aborted == whole || c.head == nil || c.head.Header.Get("Seal") != "first" {
				t.Errorf("aborted %t, head %v", c.aborted, c.head)
			}
			tr.check(t, from, tc.home, len(tc.events) == 4)
			if loads := w.table.Loads(time.Now()); len(loads) != 0 {
				t.Errorf("engines count as loaded after the end: %v", loads)
			}
		})
	}
}

// leaveWhenSent marks the engine of the first attempt as leaving, in 2.5 s.
func (w *world) leaveWhenSent(tr *movable) site.Endpoint {
	for {
		tr.mu.Lock()
		sent := len(tr.sent)
		tr.mu.Unlock()
		if sent > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond) // the stream is read
	from := tr.sent[0].Endpoint
	var list []site.Endpoint
	for _, id := range []string{"e1", "e2"} {
		e := site.Endpoint{ID: ident.EndpointID(id), Service: "llm", Slots: 8}
		if e.ID == from.ID {
			e.Leaving, e.LeavesIn = true, 2500*time.Millisecond
		}
		list = append(list, e)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.SetEndpoints(time.Now(), list, nil, w.config.Services)
	return from
}

// check tells whether the run was copied, then stopped, and went on where it should.
func (m *movable) check(t *testing.T, from site.Endpoint, home, whole bool) {
	t.Helper()
	if len(m.moves) != 2 || m.moves[0].Stop || !m.moves[1].Stop || m.moves[1].From.ID != from.ID || m.moves[1].To.ID == from.ID {
		t.Errorf("moves: %+v", m.moves)
	}
	if !whole {
		if len(m.sent) != 1 {
			t.Errorf("%d attempts were sent", len(m.sent))
		}
		return
	}
	if len(m.sent) != 2 || m.sent[1].After != 2 || (m.sent[1].Endpoint.ID == from.ID) != home {
		t.Fatalf("attempts: %+v", m.sent)
	}
}

// refusing is a transport whose engines copy nothing.
type refusing struct{ *movable }

func (r refusing) Migrate(context.Context, serve.Migration) (*serve.KVCopy, error) {
	return nil, refusal(verdict.NotRun)
}

// TestRefusedMoveLeavesNoLoad: an engine to which a run was not moved does not count as
// loaded by it, nor as one that has served it.
func TestRefusedMoveLeavesNoLoad(t *testing.T) {
	w, _ := newWorld(nil)
	cfg := *testConfig
	engine := site.Engine{Slots: 8, CacheTokens: 10000, SupportsMigration: true}
	cfg.Services = map[ident.Service]site.Service{"llm": {Name: "llm", Engine: &engine}}
	w.config = &cfg
	tr := &movable{stopped: make(chan struct{})}
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: w, Placement: w, Versions: w, Transport: refusing{tr}, Log: slog.New(slog.DiscardHandler),
		Metrics: serve.NewMetrics(prometheus.NewRegistry()),
	})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.Serve(ctx, request("/draft/x"), &caller{})
	}()
	from := w.leaveWhenSent(tr)
	h.MigrateStreams(time.Now().Add(1500 * time.Millisecond))
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		w.mu.Lock()
		loads := w.table.Loads(time.Now())
		w.mu.Unlock()
		if _, there := loads[from.ID]; there && len(loads) == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("loads after a refused move: %v", loads)
		}
	}
	leave()
	<-done
}
