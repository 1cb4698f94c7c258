package serve

import (
	"context"
	"net/http"
	"strconv"
	"sync"

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
	id     ident.AttemptID
	choice placement.Choice
	err    error
}

func (l *attemptLog) add(id ident.AttemptID, c placement.Choice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, attemptEntry{id: id, choice: c})
}

// choice returns the endpoint chosen for an attempt.
func (l *attemptLog) choice(id ident.AttemptID) placement.Choice {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.list {
		if e.id == id {
			return e.choice
		}
	}
	return placement.Choice{}
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
	only, avoid := c.h.versions.ChooseVersion(c.service)
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
		took = r.Duration
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
	choice := c.attempts.choice(id)
	a := c.attemptAt(choice.Endpoint)
	a.FetchFrom = choice.FetchFrom
	ctx, dog := c.watch(ctx, id)
	answer, err := c.h.transport.Send(ctx, a)
	if err != nil {
		defer dog.stop()
		return nil, dog.explain(err)
	}
	if answer.Load.Known {
		c.h.places.SetReportedLoad(a.Endpoint.ID, answer.Load)
	}
	s := &answerStream{call: c, ctx: ctx, attempt: id, endpoint: choice.Endpoint, answer: answer, next: in.Dispatch.ResumeOffset, dog: dog}
	if answer.Events == nil {
		c.ran()
	} else {
		c.h.runs.add(s)
	}
	return s, nil
}

// attemptAt returns the request as it goes to an endpoint, after the events that the
// caller has.
func (c *call) attemptAt(e site.Endpoint) Attempt {
	a := Attempt{
		Request: c.req, Endpoint: e, Deadline: c.deadline, Priority: c.priority(),
		After: c.lastEvent(), Stream: c.route.Kind == site.KindStream,
	}
	if c.workspace != nil {
		a.Workspace = c.workspace.Name
	}
	return a
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
			c.h.view.CountStarted(c.workspace.Name)
		}
	})
}
