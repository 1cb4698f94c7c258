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

// try is one attempt and its goroutine.
type try struct {
	run    *run
	call   Call
	ctx    context.Context
	cancel context.CancelFunc
	// source is the attempt whose KV cache is imported; it is cancelled after.
	source *try
	start  time.Time
	first  time.Time
	status int
	// cancelled is set where the context had ended when the attempt failed.
	cancelled bool

	mu struct {
		sync.Mutex
		choice Choice
		cause  error // of a Cancel
	}
}

func (r *run) dispatch(d attempt.Dispatch) {
	ctx, cancel := context.WithDeadline(r.ctx, r.req.Deadline)
	t := &try{run: r, ctx: ctx, cancel: cancel, start: time.Now()}
	t.call = Call{Request: r.req.Request, Dispatch: d, Payload: r.req.Payload}
	if d.ImportFrom != "" {
		t.source = r.tries[d.ImportFrom]
	}
	r.tries[d.Attempt] = t
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		defer cancel()
		t.serve()
	}()
}

func (r *run) cancel(c attempt.Cancel) {
	t := r.tries[c.Attempt]
	if t == nil {
		return
	}
	t.mu.Lock()
	t.mu.cause = c.Cause
	t.mu.Unlock()
	t.cancel()
	delete(r.tries, c.Attempt)
}

// serve picks an endpoint, opens the attempt and passes its frames on.
func (t *try) serve() {
	if t.source != nil {
		defer t.source.cancel()
	}
	choice, err := t.run.picker.Pick(t.ctx, PickRequest{
		Attempt: t.call.Dispatch.Attempt, Request: t.call.Request, Exclude: t.call.Dispatch.Exclude, Prefer: t.call.Dispatch.Prefer, Hedge: t.call.Dispatch.Hedge,
	})
	if err != nil {
		t.send(message{event: t.notDispatched(err, true)})
		return
	}
	t.setChoice(choice)
	t.report(choice, t.exchange(choice))
}

// report tells the picker how the attempt ended.
func (t *try) report(choice Choice, err error) {
	r := Report{Attempt: t.call.Dispatch.Attempt, Choice: choice, Err: err, Status: t.status, Took: time.Since(t.start)}
	if !t.first.IsZero() {
		r.FirstByte = t.first.Sub(t.start)
	}
	t.mu.Lock()
	cause := t.mu.cause
	t.mu.Unlock()
	r.Cancelled = t.cancelled && cause == nil
	if cause != nil || r.Cancelled {
		r.Err = cause
	}
	t.run.picker.Report(r)
}

func (t *try) setChoice(c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mu.choice = c
}

func (t *try) choice() Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.choice
}

// exchange opens the attempt and reads its answer to the end.
func (t *try) exchange(choice Choice) error {
	id := t.call.Dispatch.Attempt
	if !t.send(message{event: attempt.Picked{Attempt: id, Endpoint: choice.Endpoint}}) {
		return t.failed(t.ctx.Err())
	}
	if by := t.call.Request.DispatchBy; !by.IsZero() && !time.Now().Round(0).Before(by.Round(0)) {
		err := verdict.New(verdict.NotRun, verdict.CodeDeadline, "time for the dispatch of %q has passed", id)
		t.send(message{event: t.notDispatched(err, false)})
		return err
	}
	t.call.Choice = choice
	if t.source != nil {
		t.call.Import = t.source.choice()
	}
	stream, err := t.run.dialer.Open(t.ctx, t.call)
	if t.source != nil {
		t.source.cancel()
	}
	if err != nil {
		err = t.failed(err)
		t.send(message{event: t.openFailed(err)})
		return err
	}
	defer func() { _ = stream.Close() }() // the answer was judged already
	return t.read(stream)
}

// failed notes, at the time of an error, whether a cancel came before it.
func (t *try) failed(err error) error {
	t.cancelled = t.ctx.Err() != nil
	return err
}

func (t *try) openFailed(err error) attempt.Event {
	if verdict.Of(err) == verdict.NotRun {
		return t.notDispatched(err, false)
	}
	return attempt.Failed{Attempt: t.call.Dispatch.Attempt, Cause: err}
}

func (t *try) notDispatched(err error, noEndpoint bool) attempt.Event {
	ev := attempt.NotDispatched{Attempt: t.call.Dispatch.Attempt, NoEndpoint: noEndpoint, Cause: err}
	if v := new(verdict.Error); errors.As(err, &v) {
		ev.RetryAfter = v.RetryAfter
		ev.NeverSent = v.Verdict == verdict.NotRun && v.Code == verdict.CodeUpstream
	}
	return ev
}

// read passes frames on until the answer ends; it returns why it failed.
func (t *try) read(s Stream) error {
	for {
		f, err := s.Recv()
		if err != nil {
			err = t.failed(err)
			t.send(message{event: t.recvFailed(err)})
			return err
		}
		if t.first.IsZero() {
			t.first = time.Now()
		}
		m := t.message(f)
		last := f.End || f.Response != nil
		if last {
			m.judged = make(chan struct{})
		}
		if !t.send(m) {
			return t.failed(t.ctx.Err())
		}
		if last {
			<-m.judged
			return nil
		}
	}
}

func (t *try) recvFailed(err error) attempt.Event {
	id := t.call.Dispatch.Attempt
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return attempt.Truncated{Attempt: id}
	}
	return attempt.Failed{Attempt: id, Cause: err}
}

// message turns a frame into an event of this attempt.
func (t *try) message(f Frame) message {
	id := t.call.Dispatch.Attempt
	switch {
	case f.Chunk != nil:
		f.Chunk.Attempt = id
		return message{event: f.Chunk}
	case f.Response != nil:
		r := *f.Response
		r.Attempt = id
		t.status = r.Status
		return message{event: r, body: f.Body}
	default:
		return message{event: attempt.End{Attempt: id}}
	}
}

// send passes a message to the loop; it returns false where the attempt has been
// cancelled or the request has ended.
func (t *try) send(m message) bool {
	select {
	case t.run.events <- m:
		return true
	case <-t.ctx.Done():
		return false
	}
}
