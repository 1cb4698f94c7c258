package serve

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// A stream whose engine is about to terminate is migrated to another engine. Its KV cache
// is copied while it continues to run; then it is stopped, the rest of its KV cache is
// copied, and the other engine resumes it after the last event that was read. This
// continues the same execution, so that streams that must not run twice can be migrated,
// too. If the migration fails before the stream is stopped, the stream stays at its engine
// until that terminates. If it fails later, the stream is incomplete however it ends.

const (
	// migrationLead is how long before its engine terminates a stream is migrated. All
	// streams of an engine are copied over its link one after the other, at about 50 ms
	// each.
	migrationLead = 1300 * time.Millisecond
	// migrationMargin is the time before the termination of an engine within which no
	// migration starts: the copy would not be complete in time.
	migrationMargin = 150 * time.Millisecond
	// MigrationInterval is the interval at which active streams are checked for migration.
	MigrationInterval = 100 * time.Millisecond
)

// migrationSuffix is appended to the ID of an attempt to form the ID under which its
// migration is placed at the other engine.
const migrationSuffix = ".moved"

// activeStreams is the set of streams in progress.
type activeStreams struct {
	mu      sync.Mutex
	streams map[*answerStream]bool
}

func newActiveStreams() *activeStreams { return &activeStreams{streams: make(map[*answerStream]bool)} }

func (a *activeStreams) add(s *answerStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.streams[s] = true
}

func (a *activeStreams) remove(s *answerStream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.streams, s)
}

func (a *activeStreams) list() []*answerStream {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*answerStream, 0, len(a.streams))
	for s := range a.streams {
		out = append(out, s)
	}
	return out
}

// MigrateStreams starts the migration of the streams whose engines terminate soon. It has
// to be called every MigrationInterval.
func (h *Handler) MigrateStreams(now time.Time) {
	for _, s := range h.activeStreams.list() {
		if h.guard.Check(s.call.identity) != nil {
			continue
		}
		engine := s.call.config.Services[s.call.service].Engine
		if engine == nil || !engine.SupportsMigration || s.migrationState.Load() != nil {
			continue
		}
		end, leaving := h.placement.TerminationTime(s.endpoint.ID)
		if remaining := end.Sub(now); leaving && remaining < migrationLead && remaining > migrationMargin {
			s.startMigration(now, end)
		}
	}
}

// migrationState is the state of a stream's migration to another engine.
type migrationState struct {
	target  site.Endpoint // set to the stream's own engine if it has to resume there
	attempt ident.AttemptID
	done    chan struct{} // closed when kvCopy is final
	kvCopy  *KVCopy
	resumed bool // the other engine has resumed the stream
	// mayBeStopped reports whether the engine may have stopped the stream, which has not been
	// resumed since. It is final when done is closed.
	mayBeStopped atomic.Bool
}

// stoppedForMigration reports whether the stream may have ended because it was stopped for its
// migration, and has not been resumed since.
func (s *answerStream) stoppedForMigration() bool {
	m := s.migrationState.Load()
	return m != nil && m.mayBeStopped.Load()
}

// startMigration chooses the target engine and starts to copy in the background.
func (s *answerStream) startMigration(now, end time.Time) {
	c := s.call
	m := &migrationState{attempt: s.attempt + migrationSuffix, done: make(chan struct{})}
	choice, refusal := c.h.placement.Pick(m.attempt, placement.Request{
		Service: c.service, Prompt: c.req.Prompt, Exclude: []ident.EndpointID{s.endpoint.ID}, Version: s.endpoint.Version,
		MaxGap: c.route.MaxGap, Homes: c.homes(), Imported: true,
	})
	if refusal != nil {
		c.h.log.Info("request: Not moved.", "request", c.req.ID, "from", s.endpoint.ID, "ends_in_ms", end.Sub(now).Milliseconds(), "cause", refusal.Error())
		close(m.done)
		s.migrationState.Store(m) // not retried: the next check would most likely find no engine either
		return
	}
	m.target = choice.Endpoint
	c.attempts.add(m.attempt, choice)
	s.migrationState.Store(m)
	go s.copyKV(m, end.Sub(now))
}

// copyKV copies the stream's KV cache in two steps: most of it while the stream runs, and
// the rest after the stream was stopped.
func (s *answerStream) copyKV(m *migrationState, remaining time.Duration) {
	defer close(m.done)
	c := s.call
	req := Migration{Request: c.req.ID, From: s.endpoint, To: m.target}
	ctx, cancel := context.WithTimeout(s.ctx, remaining)
	defer cancel()
	start := time.Now()
	_, err := c.h.transport.Migrate(ctx, req)
	firstCopy := time.Since(start)
	if err == nil {
		req.Stop = true
		m.mayBeStopped.Store(true)
		m.kvCopy, err = c.h.transport.Migrate(ctx, req)
		if m.kvCopy == nil && verdict.Of(err) == verdict.NotRun {
			m.mayBeStopped.Store(false)
		}
		if err != nil && m.kvCopy != nil {
			m.target = s.endpoint // it was stopped there and still has its KV cache
		}
	}
	if err != nil {
		c.h.placement.Finished(m.attempt, placement.OutcomeNeutral)
	}
	c.h.metrics.recordMigration(c.service, err)
	attrs := []any{"request", c.req.ID, "from", s.endpoint.ID, "to", m.target.ID, "ends_in_ms", remaining.Milliseconds(),
		"copy_ms", firstCopy.Milliseconds(), "stop_ms", (time.Since(start) - firstCopy).Milliseconds()}
	if err != nil {
		c.h.log.Info("request: Move failed.", append(attrs, "error", err.Error())...)
		return
	}
	c.h.log.Info("request: Run moved.", attrs...)
}

// resumeMigrated returns the rest of a stream that was stopped for its migration. It
// returns nil if the stream was not stopped for that, or can't be resumed.
func (s *answerStream) resumeMigrated() *Answer {
	m := s.migrationState.Load()
	if m == nil || s.ctx.Err() != nil {
		return nil
	}
	select {
	case <-m.done:
	case <-s.ctx.Done():
		return nil
	}
	if m.kvCopy == nil {
		return nil
	}
	a := s.call.newAttempt(m.target)
	a.After, a.Import = max(s.lastReadID, a.After), m.kvCopy
	m.kvCopy = nil // it can be used once
	answer, err := s.call.h.transport.Send(s.ctx, a)
	if err == nil && answer.Events == nil {
		if answer.Release != nil {
			answer.Release()
		}
		s.call.h.log.Warn("request: Migrated stream could not be resumed.", "request", s.call.req.ID, "to", m.target.ID, "status", answer.Head.Status)
		return nil
	}
	if err != nil {
		s.call.h.log.Warn("request: Migrated stream could not be resumed.", "request", s.call.req.ID, "to", m.target.ID, "error", err)
		return nil
	}
	m.mayBeStopped.Store(false)
	if m.target.ID != s.endpoint.ID {
		m.resumed = true
		s.call.h.placement.Finished(s.attempt, placement.OutcomeNeutral)
	}
	return answer
}

// finishMigration records the outcome of the attempt at the target engine.
func (s *answerStream) finishMigration() {
	m := s.migrationState.Load()
	if m == nil {
		return
	}
	outcome := placement.OutcomeNeutral
	if m.resumed && s.ended {
		outcome = placement.OutcomeSuccess
	}
	s.call.h.placement.Finished(m.attempt, outcome)
}
