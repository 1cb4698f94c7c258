package serve

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

var (
	_ runner.Picker = (*call)(nil)
	_ runner.Dialer = (*call)(nil)
	_ runner.Sink   = (*delivery)(nil)
)

// minPacedEvents is the number of events from which a stream shows the pace of its endpoint.
const minPacedEvents = 8

// attemptLog records the attempts of a request for its log line.
type attemptLog struct {
	mu      sync.Mutex
	entries []attemptEntry
}

type attemptEntry struct {
	id     ident.AttemptID
	choice placement.Choice
	sent   time.Time     // zero before the attempt is sent
	stream *answerStream // nil before its response has begun
	err    error
}

func (l *attemptLog) add(id ident.AttemptID, c placement.Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, attemptEntry{id: id, choice: c})
}

// count returns the number of attempts that may have been sent, without migrations.
func (l *attemptLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.entries {
		if !strings.HasSuffix(string(e.id), migrationSuffix) && (e.err == nil || verdict.Of(e.err) != verdict.NotRun) {
			n++
		}
	}
	return n
}

// choice returns the endpoint chosen for an attempt, or the zero value for an unknown one.
func (l *attemptLog) choice(id ident.AttemptID) placement.Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.id == id {
			return e.choice
		}
	}
	return placement.Choice{}
}

// setSent records that an attempt is being sent.
func (l *attemptLog) setSent(id ident.AttemptID, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].id == id {
			l.entries[i].sent = at
		}
	}
}

// sent returns when an attempt was sent.
func (l *attemptLog) sent(id ident.AttemptID) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.id == id {
			return e.sent
		}
	}
	return time.Time{}
}

func (l *attemptLog) setStream(id ident.AttemptID, s *answerStream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].id == id {
			l.entries[i].stream = s
		}
	}
}

// stream returns the response of an attempt, or nil. It is read by the goroutine of the attempt
// alone.
func (l *attemptLog) stream(id ident.AttemptID) *answerStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.id == id {
			return e.stream
		}
	}
	return nil
}

// lastStream returns the response of the last attempt that has one, or nil.
func (l *attemptLog) lastStream() *answerStream {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.entries) - 1; i >= 0; i-- {
		if s := l.entries[i].stream; s != nil {
			return s
		}
	}
	return nil
}

func (l *attemptLog) setError(id ident.AttemptID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.entries {
		if l.entries[i].id == id {
			l.entries[i].err = err
		}
	}
}

// attrs returns the log attributes of the attempts: endpoints, estimates and errors.
func (l *attemptLog) attrs() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []any{"attempts", len(l.entries)}
	for i, e := range l.entries {
		n := strconv.Itoa(i + 1)
		out = append(out, "endpoint_"+n, e.choice.Endpoint.ID, "estimate_ms_"+n, e.choice.EstimatedWait.Milliseconds(), "uncached_"+n, e.choice.UncachedTokens)
		if e.choice.FetchFrom != "" {
			out = append(out, "fetch_from_"+n, e.choice.FetchFrom)
		}
		if e.err != nil {
			out = append(out, "error_"+n, e.err.Error())
		}
	}
	return out
}

// Pick implements runner.Picker.
func (c *call) Pick(_ context.Context, p runner.PickRequest) (runner.Choice, error) {
	if err := c.h.guard.Check(c.identity); err != nil {
		return runner.Choice{}, err
	}
	if err := c.mayStart(); err != nil {
		return runner.Choice{}, err
	}
	only, avoid := c.h.versions.ChooseVersion(c.service)
	query := placement.Request{
		Service: c.service, Prompt: c.req.Prompt, Exclude: p.Exclude, Version: only, AvoidVersion: avoid, Deadline: c.deadline,
		MaxGap: c.route.MaxGap, Homes: c.homes(),
	}
	choice, err := c.h.placement.Pick(p.Attempt, query)
	if err != nil && only != "" {
		query.Version = "" // the chosen version has no endpoint yet, or none any more
		choice, err = c.h.placement.Pick(p.Attempt, query)
	}
	if err != nil {
		return runner.Choice{}, err
	}
	c.attempts.add(p.Attempt, choice)
	return runner.Choice{Endpoint: choice.Endpoint.ID, Address: choice.Endpoint.Address, Version: choice.Endpoint.Version}, nil
}

// Report implements runner.Picker.
func (c *call) Report(r runner.Report) {
	o := c.outcome(r)
	c.attempts.setError(r.Attempt, r.Err)
	if s := c.attempts.stream(r.Attempt); s != nil && s.eventsRead >= minPacedEvents && s.migrationState.Load() == nil {
		c.h.placement.Streamed(r.Attempt, s.lastEventAt.Sub(s.firstEventAt)/time.Duration(s.eventsRead-1))
	}
	c.h.placement.Finished(r.Attempt, o)
	latency := r.FirstByte
	if latency == 0 {
		latency = r.Duration
	}
	p := Progress{Latency: latency}
	if s := c.attempts.stream(r.Attempt); s != nil {
		p.Events, p.Streaming = s.eventsRead, s.lastEventAt.Sub(s.firstEventAt)
	}
	c.h.versions.Record(c.service, r.Choice.Version, o, c.route.Name, p)
	c.h.metrics.recordAttempt(c.service, o)
}

// outcome returns how an attempt counts for its endpoint's health.
func (c *call) outcome(r runner.Report) placement.Outcome {
	switch {
	case r.Err == nil && r.Status == http.StatusServiceUnavailable && c.h.placement.BackingOff(r.Choice.Endpoint):
		return placement.OutcomeFull
	case r.Err == nil && r.Status >= http.StatusInternalServerError:
		return placement.OutcomeFault
	case r.Err == nil && !r.Cancelled:
		return placement.OutcomeSuccess
	case r.Cancelled || c.h.placement.Leaving(r.Choice.Endpoint):
		return placement.OutcomeNeutral
	}
	e := verdict.From(r.Err)
	switch {
	case e.Code == verdict.CodeRelay:
		return placement.OutcomeNeutral
	case e.Verdict != verdict.NotRun:
		return placement.OutcomeFault
	case e.Code == verdict.CodeNotSent, e.Code == verdict.CodeStopping:
		return placement.OutcomeNeutral
	case e.Code == verdict.CodeUnavailable:
		return placement.OutcomeFull
	default:
		return placement.OutcomeUnreachable
	}
}

// Open implements runner.Dialer.
func (c *call) Open(ctx context.Context, in runner.Call) (runner.Stream, error) {
	id := in.Dispatch.Attempt
	choice := c.attempts.choice(id)
	a := c.newAttempt(choice.Endpoint)
	a.FetchFrom, a.Through = choice.FetchFrom, choice.Through
	ctx, watchdog := c.startWatchdog(ctx, id)
	c.attempts.setSent(id, time.Now())
	answer, err := c.h.transport.Send(ctx, a)
	if err != nil {
		defer watchdog.stop()
		c.brokenOff(id, choice, false, 0, err)
		return nil, watchdog.wrapError(err)
	}
	if answer.Load.Known {
		c.h.placement.SetReportedLoad(a.Endpoint.ID, answer.Load)
	}
	s := &answerStream{call: c, ctx: ctx, attempt: id, endpoint: choice.Endpoint, answer: answer, resumed: a.After > 0, nextOffset: in.Dispatch.ResumeOffset, watchdog: watchdog}
	c.attempts.setStream(id, s)
	if answer.Events == nil {
		c.countStarted()
	} else {
		c.h.activeStreams.add(s)
	}
	return s, nil
}

// newAttempt returns an attempt at e that resumes after the events delivered so far.
func (c *call) newAttempt(e site.Endpoint) Attempt {
	return Attempt{
		Request: c.req, Endpoint: e, Deadline: c.deadline, Priority: c.priority(),
		After: c.lastEventID(), Stream: c.route.Kind == site.KindStream, Workspace: c.workspaceName(), Homes: c.homes(),
		CallerGone: c.callerGone, MayStart: c.mayStart,
	}
}

// homes returns the regions to which the request is bound.
func (c *call) homes() site.Homes { return site.HomesOf(c.route, c.workspace) }

// priority returns the request's priority at an endpoint; 0 is the most urgent.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// lastEventID returns the ID of the last event that the caller has; zero for none.
func (c *call) lastEventID() int {
	if lastSentID := c.delivery.lastSentID(); lastSentID > 0 {
		return lastSentID
	}
	return c.req.LastEvent
}

// countStarted counts the request for its workspace's usage, at most once.
func (c *call) countStarted() {
	c.countOnce.Do(func() {
		if c.workspace != nil {
			c.h.node.CountStarted(c.workspace.Name)
		}
	})
}
