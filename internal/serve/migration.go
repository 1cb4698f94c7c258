package serve

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

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
// until that terminates. Once the stream may be stopped, it is not given up while a copy of its
// KV cache can be used. If it can't be resumed, it is incomplete however it ends.

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
	// maxMigrationTargets is the number of engines to which a stream's KV cache is offered.
	maxMigrationTargets = 3
	// confirmTimeout limits the calls by which a node makes sure that an engine does not run a
	// request any more. Of this, confirmProbeTimeout is left for a probe.
	confirmTimeout      = 500 * time.Millisecond
	confirmProbeTimeout = 150 * time.Millisecond
	// confirmPause is the time between two such calls: an engine refuses a stop while it copies.
	confirmPause = 50 * time.Millisecond
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

// migrationState is the state of a stream's migration to another engine. The fields without
// another note are final when done is closed.
type migrationState struct {
	target  site.Endpoint
	attempt ident.AttemptID
	done    chan struct{} // closed when the copies are final
	// firstCopy is the copy made while the stream was running, and kvCopy the one made after it
	// was stopped; nil for none.
	firstCopy, kvCopy *KVCopy
	atSource          bool // kvCopy is not at the target
	used              bool // the copies; of the goroutine that reads the stream
	resumed           bool // the target has resumed the stream; of the same goroutine
	// mayBeStopped reports whether the engine may have stopped the stream, which has not been
	// resumed since.
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
	if refusal := s.chooseTarget(m, nil); refusal != nil {
		c.h.log.Info("request: Not moved.", "request", c.req.ID, "from", s.endpoint.ID, "ends_in_ms", end.Sub(now).Milliseconds(), "cause", refusal.Error())
		close(m.done)
		s.migrationState.Store(m) // not retried: the next check would most likely find no engine either
		return
	}
	s.migrationState.Store(m)
	go s.copyKV(m, end.Sub(now))
}

// chooseTarget sets the engine to which the stream is migrated, which is none of those excluded.
func (s *answerStream) chooseTarget(m *migrationState, excluded []ident.EndpointID) *verdict.Error {
	c := s.call
	choice, refusal := c.h.placement.Pick(m.attempt, placement.Request{
		Service: c.service, Prompt: c.req.Prompt, Exclude: append([]ident.EndpointID{s.endpoint.ID}, excluded...), Version: s.endpoint.Version,
		MaxGap: c.route.MaxGap, Homes: c.homes(), Imported: true,
	})
	if refusal != nil {
		return refusal
	}
	m.target = choice.Endpoint
	c.attempts.add(m.attempt, choice)
	return nil
}

// copyKV copies the stream's KV cache in two steps: most of it while the stream runs, and
// the rest after the stream was stopped.
func (s *answerStream) copyKV(m *migrationState, remaining time.Duration) {
	defer close(m.done)
	c := s.call
	ctx, cancel := context.WithTimeout(s.ctx, remaining)
	defer cancel()
	start := time.Now()
	err := s.copyRunning(ctx, m, start.Add(remaining-migrationMargin))
	firstCopy := time.Since(start)
	if err == nil {
		m.mayBeStopped.Store(true)
		m.kvCopy, err = c.h.transport.Migrate(ctx, s.migration(m, true))
		if m.kvCopy == nil && verdict.Of(err) == verdict.NotRun {
			m.mayBeStopped.Store(false)
		}
		m.atSource = err != nil && m.kvCopy != nil
	}
	ended := s.ctx.Err() != nil
	if m.firstCopy == nil || ended {
		c.h.placement.Finished(m.attempt, placement.OutcomeNeutral)
	}
	c.h.metrics.recordMigration(c.service, err, ended)
	attrs := []any{"request", c.req.ID, "from", s.endpoint.ID, "to", m.target.ID, "ends_in_ms", remaining.Milliseconds(),
		"copy_ms", firstCopy.Milliseconds(), "stop_ms", (time.Since(start) - firstCopy).Milliseconds(),
		"copied", m.firstCopy != nil, "may_be_stopped", m.mayBeStopped.Load(), "ended", ended}
	if err != nil {
		c.h.log.Info("request: Move failed.", append(attrs, "error", err.Error())...)
		return
	}
	c.h.log.Info("request: Run moved.", attrs...)
}

func (s *answerStream) migration(m *migrationState, stop bool) Migration {
	return Migration{Request: s.call.req.ID, From: s.endpoint, To: m.target, Stop: stop}
}

// errTargetRefuses means that a target would refuse to resume the stream.
var errTargetRefuses = errors.New("target is leaving or wants no calls")

// copyRunning copies the KV cache of the running stream to an engine that can resume it. Where one
// has no room, or turns out to refuse requests, another one is tried until a time.
func (s *answerStream) copyRunning(ctx context.Context, m *migrationState, until time.Time) error {
	h := s.call.h
	var excluded []ident.EndpointID
	for {
		kvCopy, err := h.transport.Migrate(ctx, s.migration(m, false))
		if err == nil && (h.placement.Leaving(m.target.ID) || h.placement.BackingOff(m.target.ID)) {
			err = errTargetRefuses
		}
		if err == nil {
			err = ctx.Err()
		}
		if err == nil {
			m.firstCopy = kvCopy
			return nil
		}
		excluded = append(excluded, m.target.ID)
		if ctx.Err() != nil || verdict.From(err).Code == verdict.CodeNotRunning || len(excluded) >= maxMigrationTargets || !time.Now().Before(until) {
			return err
		}
		h.placement.Finished(m.attempt, placement.OutcomeNeutral)
		if s.chooseTarget(m, excluded) != nil {
			return err
		}
	}
}

// resumeMigrated returns the rest of a stream that ended with cause, since it was stopped for its
// migration or its engine has terminated meanwhile. It returns nil if neither is the case, or if
// the stream can't be resumed.
func (s *answerStream) resumeMigrated(cause error) *Answer {
	m := s.migrationState.Load()
	if m == nil || m.used || s.ctx.Err() != nil {
		return nil
	}
	select {
	case <-m.done:
	case <-s.ctx.Done():
		return nil
	}
	if errors.Is(cause, ErrUnmarkedEnd) && !m.mayBeStopped.Load() || !s.confirmStopped(m, cause) {
		return nil
	}
	m.used = true
	return s.continueRun(m)
}

// confirmStopped reports whether the stream's own engine certainly does not run it any more and a
// copy of its KV cache exists. A stop without a clear response is repeated. A request that is held
// back may have ended its engine and does not get to another one.
func (s *answerStream) confirmStopped(m *migrationState, cause error) bool {
	switch {
	case m.kvCopy != nil:
		return true
	case m.firstCopy == nil, !errors.IsAny(cause, ErrBrokenOff, ErrUnmarkedEnd): // it may go on there, unheard
		return false
	case s.call.h.guard.Check(s.call.identity) != nil:
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout-confirmProbeTimeout)
	defer cancel()
	for {
		kvCopy, err := s.call.h.transport.Migrate(ctx, s.migration(m, true))
		if kvCopy != nil {
			m.kvCopy, m.atSource = kvCopy, err != nil
			return true
		}
		if verdict.From(err).Code == verdict.CodeNotRunning || s.refuses(s.endpoint, confirmProbeTimeout) {
			return true
		}
		if s.call.mayResumeElsewhere() || !sleep(ctx, confirmPause) {
			return false
		}
	}
}

// refuses reports whether an endpoint's host refuses connections, as far as that is clear in time.
func (s *answerStream) refuses(e site.Endpoint, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	return s.call.h.transport.Probe(ctx, e) == Refused
}

// continueRun sends the request to the engines with a copy of its KV cache until one resumes the
// stream. A stream that another attempt may resume does not wait for them.
func (s *answerStream) continueRun(m *migrationState) *Answer {
	h := s.call.h
	target := &copyPlace{endpoint: m.target, kvCopy: cmp.Or(m.kvCopy, m.firstCopy)}
	source := &copyPlace{endpoint: s.endpoint, kvCopy: cmp.Or(m.kvCopy, m.firstCopy)}
	plan := continuation{places: []*copyPlace{target, source}, deadline: s.call.deadline, once: s.call.mayResumeElsewhere()}
	if m.atSource {
		target.kvCopy = m.firstCopy
		plan.places = []*copyPlace{source, target}
	}
	start := time.Now()
	var err error
	for {
		for _, p := range plan.places {
			until, known := h.placement.AcceptsUntil(p.endpoint)
			p.until, p.gone = until, p.gone || !known
		}
		p, wait, ok := plan.next(time.Now())
		if !ok || !sleep(s.ctx, wait) {
			break
		}
		if plan.suspect != nil && plan.suspect != p {
			if refusal := h.guard.Check(s.call.identity); refusal != nil {
				err = refusal
				break
			}
		}
		a := s.call.newAttempt(p.endpoint)
		a.After, a.Import, a.Repeated = max(s.lastReadID, a.After), p.kvCopy, plan.tries > 1
		a.MayStart = nil // a run that was stopped goes on, even while this node stops
		s.call.attempts.setSent(m.attempt, time.Now())
		var answer *Answer
		if answer, err = h.transport.Send(s.ctx, a); err == nil && answer.Events != nil {
			m.mayBeStopped.Store(false)
			if m.resumed = p == target; m.resumed {
				h.placement.Finished(s.attempt, placement.OutcomeNeutral)
			}
			h.metrics.recordResumption(s.call.service, m.resumed, true)
			h.log.Info("request: Run resumed.", "request", s.call.req.ID, "at", p.endpoint.ID, "moved", m.resumed, "after", a.After,
				"tries", plan.tries, "took_ms", time.Since(start).Milliseconds())
			return answer
		}
		var outcome continuationOutcome
		outcome, err = s.continuationOutcome(p.endpoint, answer, err)
		s.call.brokenOff(m.attempt, placement.Choice{Endpoint: p.endpoint}, false, s.eventsRead, err)
		plan.record(time.Now(), outcome)
	}
	h.metrics.recordResumption(s.call.service, false, false)
	attrs := []any{"request", s.call.req.ID, "from", s.endpoint.ID, "to", m.target.ID, "tries", plan.tries, "took_ms", time.Since(start).Milliseconds()}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	h.log.Warn("request: Migrated stream could not be resumed.", attrs...)
	return nil
}

// continuationOutcome returns how a try to resume a stream ended that got no stream, and its error.
func (s *answerStream) continuationOutcome(e site.Endpoint, answer *Answer, err error) (continuationOutcome, error) {
	if answer != nil && answer.Release != nil {
		answer.Release()
	}
	v := verdict.From(err)
	switch {
	case err == nil && answer.Head.Status == http.StatusServiceUnavailable:
		return continuationRefused, errors.New("refused with status 503")
	case err == nil:
		return continuationFailed, errors.Newf("response with status %d", answer.Head.Status)
	case v.Verdict != verdict.NotRun:
		return continuationUnknown, err
	case v.Code == verdict.CodeUnavailable:
		return continuationRefused, err
	}
	if v.Code == verdict.CodeUpstream && s.refuses(e, confirmTimeout) {
		return engineEnded, err
	}
	return continuationNotSent, err
}

// sleep waits for d and reports whether ctx has not ended meanwhile.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
