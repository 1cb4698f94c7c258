package serve

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// A run at an engine that leaves is moved to another one where it has not ended some
// time before: its memory is copied while it goes on, it is stopped, what it has made
// since is copied, too, and it goes on at the other engine after the last event that
// was read. It stays the same run, so that a stream that must not run twice can be
// moved as well as any other. A run whose move fails stays where it is, as long as its
// engine lasts.

const (
	// moveLead is how long before the end of its engine a run is moved. All runs of an
	// engine pass its link one after the other, at some 50 ms each.
	moveLead = 1300 * time.Millisecond
	// moveMargin is the time before an engine's end after which no move begins: a copy
	// would not be complete.
	moveMargin = 150 * time.Millisecond
	// MigrationInterval is how often the runs are looked through.
	MigrationInterval = 100 * time.Millisecond
)

// moveSuffix is added to an attempt's ID for its part at the other engine.
const moveSuffix = ".moved"

// runs are the streams under way.
type runs struct {
	mu      sync.Mutex
	streams map[*answerStream]bool
}

func newRuns() *runs { return &runs{streams: make(map[*answerStream]bool)} }

func (r *runs) add(s *answerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streams[s] = true
}

func (r *runs) remove(s *answerStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.streams, s)
}

func (r *runs) list() []*answerStream {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*answerStream, 0, len(r.streams))
	for s := range r.streams {
		out = append(out, s)
	}
	return out
}

// MigrateStreams begins to move the runs whose engines end soon. It is called every MigrationInterval.
func (h *Handler) MigrateStreams(now time.Time) {
	for _, s := range h.runs.list() {
		engine := s.call.config.Services[s.call.service].Engine
		if engine == nil || !engine.SupportsMigration || s.move.Load() != nil {
			continue
		}
		by, leaves := h.places.TerminationTime(s.endpoint.ID)
		if left := by.Sub(now); leaves && left < moveLead && left > moveMargin {
			s.beginMove(now, by)
		}
	}
}

// move is a run on its way to another engine.
type move struct {
	to      site.Endpoint // changes to the run's own engine where it must go on there
	attempt ident.AttemptID
	done    chan struct{} // closed when copied is set, or will not be
	copied  *KVCopy
	taken   bool // the run goes on at the other engine
}

// beginMove chooses an engine and starts the copy in the background.
func (s *answerStream) beginMove(now, by time.Time) {
	c := s.call
	m := &move{attempt: s.attempt + moveSuffix, done: make(chan struct{})}
	choice, refusal := c.h.places.Pick(m.attempt, placement.Request{
		Service: c.service, Prompt: c.req.Prompt, Exclude: []ident.EndpointID{s.endpoint.ID}, Version: s.endpoint.Version,
		MaxGap: c.route.MaxGap, Imported: true,
	})
	if refusal != nil {
		c.h.log.Info("request: Not moved.", "request", c.req.ID, "from", s.endpoint.ID, "ends_in_ms", by.Sub(now).Milliseconds(), "cause", refusal.Error())
		close(m.done)
		s.move.Store(m) // it is not tried again: the next tick would find the same
		return
	}
	m.to = choice.Endpoint
	c.attempts.add(m.attempt, choice)
	s.move.Store(m)
	go s.copy(m, by.Sub(now))
}

// copy moves the run's memory; the first part while the run goes on.
func (s *answerStream) copy(m *move, left time.Duration) {
	defer close(m.done)
	c := s.call
	order := Migration{Request: c.req.ID, From: s.endpoint, To: m.to}
	ctx, cancel := context.WithTimeout(s.ctx, left)
	defer cancel()
	start := time.Now()
	_, err := c.h.transport.Migrate(ctx, order)
	first := time.Since(start)
	if err == nil {
		order.Stop = true
		m.copied, err = c.h.transport.Migrate(ctx, order)
		if err != nil && m.copied != nil {
			m.to = s.endpoint // it was stopped, and its memory is still there
		}
	}
	if err != nil {
		c.h.places.Finished(m.attempt, placement.Neutral)
	}
	c.h.metrics.moved(c.service, err)
	attrs := []any{"request", c.req.ID, "from", s.endpoint.ID, "to", m.to.ID, "ends_in_ms", left.Milliseconds(),
		"copy_ms", first.Milliseconds(), "stop_ms", (time.Since(start) - first).Milliseconds()}
	if err != nil {
		c.h.log.Info("request: Move failed.", append(attrs, "error", err.Error())...)
		return
	}
	c.h.log.Info("request: Run moved.", attrs...)
}

// goOn returns the rest of a stream whose run was stopped to be moved; nil where it
// was not, or can't go on.
func (s *answerStream) goOn() *Answer {
	m := s.move.Load()
	if m == nil || s.ctx.Err() != nil {
		return nil
	}
	select {
	case <-m.done:
	case <-s.ctx.Done():
		return nil
	}
	if m.copied == nil {
		return nil
	}
	a := s.call.attemptAt(m.to)
	a.After, a.Import = max(s.lastID, a.After), m.copied
	m.copied = nil // it can be used once
	answer, err := s.call.h.transport.Send(s.ctx, a)
	if err == nil && answer.Events == nil {
		s.call.h.log.Warn("request: Moved run is not taken.", "request", s.call.req.ID, "to", m.to.ID, "status", answer.Head.Status)
		return nil
	}
	if err != nil {
		s.call.h.log.Warn("request: Moved run is not taken.", "request", s.call.req.ID, "to", m.to.ID, "error", err)
		return nil
	}
	if m.to.ID != s.endpoint.ID {
		m.taken = true
		s.call.h.places.Finished(s.attempt, placement.Neutral)
	}
	return answer
}

// settleMove tells the end of the part at the other engine.
func (s *answerStream) settleMove() {
	m := s.move.Load()
	if m == nil {
		return
	}
	outcome := placement.Neutral
	if m.taken && s.ended {
		outcome = placement.Success
	}
	s.call.h.places.Finished(m.attempt, outcome)
}
