package serve

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
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

// attemptLog keeps what the log line of a request says of its attempts.
type attemptLog struct {
	mu   sync.Mutex
	list []attemptEntry
}

type attemptEntry struct {
	id       ident.AttemptID
	endpoint site.Endpoint
	wait     time.Duration
	uncached int
	err      error
}

func (l *attemptLog) add(id ident.AttemptID, c placement.Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, attemptEntry{id: id, endpoint: c.Endpoint, wait: c.Wait, uncached: c.Uncached})
}

func (l *attemptLog) endpoint(id ident.AttemptID) site.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if e.id == id {
			return e.endpoint
		}
	}
	return site.Endpoint{}
}

// wait returns the estimated time to the first event of an attempt.
func (l *attemptLog) wait(id ident.AttemptID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if e.id == id {
			return e.wait
		}
	}
	return 0
}

func (l *attemptLog) ended(id ident.AttemptID, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.list {
		if l.list[i].id == id {
			l.list[i].err = err
		}
	}
}

// attrs returns the endpoints tried and why attempts but the last failed.
func (l *attemptLog) attrs() []any {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []any{"attempts", len(l.list)}
	for i, e := range l.list {
		n := strconv.Itoa(i + 1)
		out = append(out, "endpoint_"+n, e.endpoint.ID, "estimate_ms_"+n, e.wait.Milliseconds(), "uncached_"+n, e.uncached)
		if e.err != nil {
			out = append(out, "error_"+n, e.err.Error())
		}
	}
	return out
}

// Pick implements runner.Picker.
func (c *call) Pick(_ context.Context, p runner.PickRequest) (runner.Choice, error) {
	only, avoid := c.h.versions.Draw(c.service)
	want := placement.Request{
		Service: c.service, Prompt: c.req.Prompt, Exclude: p.Exclude, Version: only, AvoidVersion: avoid, Deadline: c.deadline,
		MaxGap: c.route.MaxGap,
	}
	choice, err := c.h.places.Pick(p.Attempt, want)
	if err != nil && only != "" {
		want.Version = "" // the version drawn has no endpoint yet, or no more
		choice, err = c.h.places.Pick(p.Attempt, want)
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
	c.attempts.ended(r.Attempt, r.Err)
	c.h.places.Finished(r.Attempt, o)
	took := r.FirstByte
	if took == 0 {
		took = r.Took
	}
	c.h.versions.Record(c.service, r.Choice.Version, o, c.route.Name, took)
	c.h.metrics.attempt(c.service, o)
}

// outcome says what an attempt tells about its endpoint.
func (c *call) outcome(r runner.Report) placement.Outcome {
	switch {
	case r.Err == nil && r.Status >= http.StatusInternalServerError:
		return placement.Fault
	case r.Err == nil && !r.Cancelled:
		return placement.Success
	case r.Cancelled || c.h.places.Leaving(r.Choice.Endpoint):
		return placement.Neutral
	}
	e := verdict.From(r.Err)
	switch {
	case e.Verdict != verdict.NotRun:
		return placement.Fault
	case e.Code == verdict.CodeUnavailable:
		return placement.Full
	default:
		return placement.Unreachable
	}
}

// Open implements runner.Dialer.
func (c *call) Open(ctx context.Context, in runner.Call) (runner.Stream, error) {
	id := in.Dispatch.Attempt
	a := Attempt{
		Request: c.req, Endpoint: c.attempts.endpoint(id), Deadline: c.deadline, Priority: c.priority(),
		After: c.lastEvent(), Stream: c.route.Kind == site.KindStream,
	}
	if c.workspace != nil {
		a.Workspace = c.workspace.Name
	}
	ctx, dog := c.watch(ctx, id)
	answer, err := c.h.transport.Send(ctx, a)
	if err != nil {
		defer dog.stop()
		return nil, dog.explain(err)
	}
	if answer.Load.Known {
		c.h.places.Said(a.Endpoint.ID, answer.Load)
	}
	s := &answerStream{call: c, attempt: id, answer: answer, next: in.Dispatch.ResumeOffset, dog: dog}
	if answer.Events == nil {
		c.ran()
	}
	return s, nil
}

// priority returns the request's rank at an engine.
func (c *call) priority() int {
	if c.workspace != nil && c.workspace.Priority != nil {
		return *c.workspace.Priority
	}
	return c.route.Priority
}

// lastEvent returns the number of the last event that the caller has; zero for none.
func (c *call) lastEvent() int {
	if last := c.delivery.last(); last > 0 {
		return last
	}
	return c.req.LastEvent
}

// ran counts the request for its workspace's usage.
func (c *call) ran() {
	c.began.Do(func() {
		if c.workspace != nil {
			c.h.view.Began(c.workspace.Name)
		}
	})
}

// answerStream is the answer of one attempt.
type answerStream struct {
	call    *call
	attempt ident.AttemptID
	answer  *Answer
	next    int // offset of the next event
	lastID  int
	ended   bool
	dog     *watchdog
}

// Recv implements runner.Stream.
func (s *answerStream) Recv() (runner.Frame, error) {
	echo := attempt.Echo{Request: s.call.req.ID, Attempt: s.attempt}
	if s.answer.Events == nil {
		r := &attempt.Response{Attempt: s.attempt, Echo: echo, Status: s.answer.Head.Status}
		return runner.Frame{Response: r, Body: s.answer}, nil
	}
	if s.ended {
		return runner.Frame{End: true}, nil
	}
	ev, err := s.answer.Events.Next()
	if errors.Is(err, io.EOF) {
		s.ended = true
		s.call.delivery.complete(s.answer.Head)
		return runner.Frame{Chunk: &attempt.Chunk{Echo: echo, Offset: s.next, Finish: "end"}}, nil
	}
	if err != nil {
		return runner.Frame{}, s.dog.explain(err)
	}
	s.dog.heard()
	if err := s.follows(ev); err != nil {
		return runner.Frame{}, err
	}
	if s.lastID == 0 {
		s.call.ran()
		s.call.h.places.FirstEvent(s.attempt)
	}
	s.lastID = ev.ID
	s.call.delivery.offer(s.answer.Head, s.next, ev.ID)
	chunk := &attempt.Chunk{Echo: echo, Offset: s.next, Tokens: []string{ev.Raw}}
	s.next++
	return runner.Frame{Chunk: chunk}, nil
}

// follows checks that an event is the next one of its stream.
func (s *answerStream) follows(ev Event) error {
	last := s.lastID
	if last == 0 {
		last = s.call.lastEvent()
	}
	if last > 0 && ev.ID != last+1 {
		return errors.Newf("event %d follows event %d", ev.ID, last)
	}
	return nil
}

// Close implements runner.Stream.
func (s *answerStream) Close() error {
	s.dog.stop()
	if s.answer.Events != nil {
		s.answer.Events.Close()
	}
	return nil
}
