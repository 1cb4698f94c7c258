package runner

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// activeAttempt is one attempt, run by its own goroutine.
type activeAttempt struct {
	runner *requestRunner
	call   Call
	ctx    context.Context
	cancel context.CancelFunc
	// importFrom is the attempt whose KV cache is imported; it is cancelled after that.
	importFrom  *activeAttempt
	startedAt   time.Time
	firstByteAt time.Time
	status      int
	// cancelled is set if ctx had ended when the attempt failed.
	cancelled bool

	mu struct {
		sync.Mutex
		choice      Choice
		cancelCause error // Cancel.Cause
	}
}

func (r *requestRunner) dispatch(d attempt.Dispatch) {
	ctx, cancel := context.WithDeadline(r.ctx, r.req.Deadline)
	a := &activeAttempt{runner: r, ctx: ctx, cancel: cancel, startedAt: time.Now()}
	a.call = Call{Request: r.req.Request, Dispatch: d, Payload: r.req.Payload}
	if d.ImportFrom != "" {
		a.importFrom = r.active[d.ImportFrom]
	}
	r.active[d.Attempt] = a
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		a.run()
	}()
}

func (r *requestRunner) cancel(c attempt.Cancel) {
	a := r.active[c.Attempt]
	if a == nil {
		return
	}
	a.mu.Lock()
	a.mu.cancelCause = c.Cause
	a.mu.Unlock()
	a.cancel()
	delete(r.active, c.Attempt)
}

// run picks an endpoint, sends the attempt and reports its outcome.
func (a *activeAttempt) run() {
	if a.importFrom != nil {
		defer a.importFrom.cancel()
	}
	choice, err := a.runner.picker.Pick(a.ctx, PickRequest{
		Attempt: a.call.Dispatch.Attempt, Request: a.call.Request, Exclude: a.call.Dispatch.Exclude, Prefer: a.call.Dispatch.Prefer, Hedge: a.call.Dispatch.Hedge,
	})
	if err != nil {
		a.send(message{event: a.notDispatched(err, true)})
		return
	}
	a.setChoice(choice)
	a.report(choice, a.exchange(choice))
}

// report reports to the picker how the attempt ended.
func (a *activeAttempt) report(choice Choice, err error) {
	r := Report{Attempt: a.call.Dispatch.Attempt, Choice: choice, Err: err, Status: a.status, Duration: time.Since(a.startedAt)}
	if !a.firstByteAt.IsZero() {
		r.FirstByte = a.firstByteAt.Sub(a.startedAt)
	}
	a.mu.Lock()
	cause := a.mu.cancelCause
	a.mu.Unlock()
	r.Cancelled = a.cancelled && cause == nil
	if cause != nil || r.Cancelled {
		r.Err = cause
	}
	a.runner.picker.Report(r)
}

func (a *activeAttempt) setChoice(c Choice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mu.choice = c
}

func (a *activeAttempt) choice() Choice {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mu.choice
}

// exchange sends the attempt and reads its response to the end.
func (a *activeAttempt) exchange(choice Choice) error {
	id := a.call.Dispatch.Attempt
	if !a.send(message{event: attempt.Picked{Attempt: id, Endpoint: choice.Endpoint}}) {
		return a.recordFailure(a.ctx.Err())
	}
	if dispatchBy := a.call.Request.DispatchBy; !dispatchBy.IsZero() && !time.Now().Round(0).Before(dispatchBy.Round(0)) {
		err := verdict.New(verdict.NotRun, verdict.CodeDeadline, "dispatch deadline of attempt %q has passed", id)
		a.send(message{event: a.notDispatched(err, false)})
		return err
	}
	a.call.Choice = choice
	if a.importFrom != nil {
		a.call.Import = a.importFrom.choice()
	}
	stream, err := a.runner.dialer.Open(a.ctx, a.call)
	if a.importFrom != nil {
		a.importFrom.cancel()
	}
	if err != nil {
		err = a.recordFailure(err)
		a.send(message{event: a.openFailed(err)})
		return err
	}
	defer func() { _ = stream.Close() }() // the outcome of the response is already known
	return a.read(stream)
}

// recordFailure records whether the attempt had been cancelled when the error occurred.
func (a *activeAttempt) recordFailure(err error) error {
	a.cancelled = a.ctx.Err() != nil
	return err
}

func (a *activeAttempt) openFailed(err error) attempt.Event {
	if verdict.Of(err) == verdict.NotRun {
		return a.notDispatched(err, false)
	}
	return attempt.Failed{Attempt: a.call.Dispatch.Attempt, Cause: err}
}

func (a *activeAttempt) notDispatched(err error, noEndpoint bool) attempt.Event {
	ev := attempt.NotDispatched{Attempt: a.call.Dispatch.Attempt, NoEndpoint: noEndpoint, Cause: err}
	if v := new(verdict.Error); errors.As(err, &v) {
		ev.RetryAfter = v.RetryAfter
		ev.Held = v.Code == verdict.CodeHeld
		ev.Stopping = v.Code == verdict.CodeStopping
		ev.NeverSent = v.Verdict == verdict.NotRun && (v.Code == verdict.CodeUpstream || v.Code == verdict.CodeNotSent)
	}
	return ev
}

// read passes frames to the loop until the response ends. It returns the error of a failed
// attempt.
func (a *activeAttempt) read(s Stream) error {
	for {
		f, err := s.Recv()
		if err != nil {
			err = a.recordFailure(err)
			a.send(message{event: a.recvFailed(err)})
			return err
		}
		if a.firstByteAt.IsZero() {
			a.firstByteAt = time.Now()
		}
		m := a.message(f)
		last := f.End || f.Response != nil
		if last {
			m.processed = make(chan struct{})
		}
		if !a.send(m) {
			return a.recordFailure(a.ctx.Err())
		}
		if last {
			<-m.processed
			return nil
		}
	}
}

func (a *activeAttempt) recvFailed(err error) attempt.Event {
	id := a.call.Dispatch.Attempt
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return attempt.Truncated{Attempt: id}
	}
	return attempt.Failed{Attempt: id, Cause: err}
}

// message converts a frame to a message with an event of this attempt.
func (a *activeAttempt) message(f Frame) message {
	id := a.call.Dispatch.Attempt
	switch {
	case f.Chunk != nil:
		f.Chunk.Attempt = id
		return message{event: f.Chunk}
	case f.Response != nil:
		r := *f.Response
		r.Attempt = id
		a.status = r.Status
		return message{event: r, body: f.Body}
	default:
		return message{event: attempt.End{Attempt: id}}
	}
}

// send passes a message to the loop. It returns false if the attempt has been cancelled or
// the request has ended.
func (a *activeAttempt) send(m message) bool {
	select {
	case a.runner.events <- m:
		return true
	case <-a.ctx.Done():
		return false
	}
}
