// Package runner drives the state machine of package attempt: it owns the goroutines,
// timers and connections of one request. All decisions are made by the machine.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// PickRequest describes the attempt that a Picker chooses an endpoint for.
type PickRequest struct {
	Attempt ident.AttemptID
	Request attempt.Request
	// Exclude lists the endpoints that must not be chosen.
	Exclude []ident.EndpointID
	// Prefer is an endpoint whose KV cache contains the tokens; empty where none does.
	Prefer ident.EndpointID
	Hedge  bool
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint ident.EndpointID
	Address  string // "ip:port"
	Version  ident.Version
}

// Report describes to a Picker how an attempt on its choice ended.
type Report struct {
	Attempt ident.AttemptID
	Choice  Choice
	// Err is the fault of the attempt; nil where it succeeded or was cancelled for
	// another reason.
	Err error
	// Status is that of a response that is not streamed; zero where none was received.
	Status int
	// FirstByte is the time from the start to the first message; zero where none was received.
	FirstByte time.Duration
	// Duration is the time from the start to the end of the attempt.
	Duration  time.Duration
	Cancelled bool
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint, or an error where none is available; the RetryAfter of a
	// *verdict.Error is returned to the caller of the request.
	Pick(ctx context.Context, req PickRequest) (Choice, error)
	// Report is called once for each Choice that Pick returned.
	Report(r Report)
}

// Call is one attempt to be sent to an endpoint.
type Call struct {
	Request  attempt.Request
	Dispatch attempt.Dispatch
	Choice   Choice
	// Import is the endpoint with the KV cache of Dispatch.ImportFrom; empty where
	// nothing is to be imported. A failed import is not an error: the endpoint
	// computes the cache again.
	Import Choice
	// Payload is Request.Payload.
	Payload any
}

// Frame is one message of a response: exactly one of Chunk, Response and End is set.
type Frame struct {
	Chunk    *attempt.Chunk
	Response *attempt.Response
	// Body is the body of a Response, passed to the Sink.
	Body any
	// End is the end mark.
	End bool
}

// Stream is the response of one attempt.
type Stream interface {
	// Recv returns the next frame, which is valid until the call after the next. It
	// returns io.EOF or io.ErrUnexpectedEOF for a response that ends without its end
	// mark. It returns when the ctx passed to Open has ended.
	Recv() (Frame, error)
	Close() error
}

// Dialer opens attempts.
type Dialer interface {
	// Open sends an attempt. An error with verdict NotRun proves that the attempt did
	// not run; after any other error it may have run.
	Open(ctx context.Context, call Call) (Stream, error)
}

// Sink delivers a response to the caller. An error means that the caller has
// disconnected. While a call blocks, no other event of the request is processed, so a
// Sink must limit the time of its writes.
type Sink interface {
	// Tokens delivers tokens in order, without gaps or duplicates.
	Tokens(offset int, tokens []string) error
	// Response delivers a response that is not streamed.
	Response(status int, body any) error
}

// Request is a request to run.
type Request struct {
	attempt.Request
	// Payload is passed to the Dialer.
	Payload any
	Options attempt.Options
	// Budget is shared by the requests of a service.
	Budget *attempt.Budget
	// Control delivers attempt.Leaving and attempt.Stop events; it may be nil.
	Control <-chan attempt.Event
}

// Result describes how a request ended.
type Result struct {
	// Reason is the finish reason of a stream.
	Reason string
	// HandOver is set where another node has to continue the request.
	HandOver *attempt.State
	Stats    attempt.Stats
}

// Run runs a request until it ends. It returns a *verdict.Error if the request failed.
// All its goroutines have ended when it returns. The end of ctx means that the caller
// has disconnected; a request that isn't idempotent continues unless EndWithCaller is set.
func Run(ctx context.Context, req Request, p Picker, d Dialer, s Sink) (Result, error) {
	attemptsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &requestRunner{
		req: req, picker: p, dialer: d, sink: s, ctx: attemptsCtx,
		machine: attempt.New(req.Request, req.Options, req.Budget),
		events:  make(chan message), active: make(map[ident.AttemptID]*activeAttempt),
	}
	defer r.wg.Wait()
	defer cancel()
	return r.loop(ctx)
}

// message is an event of an attempt and, for a response, its body.
type message struct {
	event attempt.Event
	body  any
	// processed is closed once the machine has processed the event; nil where no
	// goroutine waits for it.
	processed chan struct{}
}

// requestRunner is the state of one call of Run. The goroutine of loop owns it; the
// goroutines of the attempts use only picker, dialer, events and wg.
type requestRunner struct {
	req     Request
	picker  Picker
	dialer  Dialer
	sink    Sink
	ctx     context.Context // parent of the contexts of all attempts
	machine *attempt.Machine
	events  chan message
	active  map[ident.AttemptID]*activeAttempt
	wg      sync.WaitGroup

	result  Result
	err     error
	body    any // of the response being processed
	status  int
	sinkErr bool
}

func (r *requestRunner) loop(ctx context.Context) (Result, error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	callerGone := ctx.Done()
	r.step(attempt.Start{})
	for !r.machine.Done() {
		timer.Reset(max(time.Until(r.machine.Next()), 0))
		select {
		case m := <-r.events:
			r.handleMessage(m)
		case ev := <-r.req.Control:
			if ev != nil {
				r.step(ev)
			} else {
				r.req.Control = nil // the channel is closed
			}
		case <-timer.C:
			r.step(attempt.Tick{})
		case <-callerGone:
			callerGone = nil
			r.step(attempt.CallerGone{})
		}
	}
	r.result.Stats = r.machine.Stats()
	return r.result, r.err
}

func (r *requestRunner) handleMessage(m message) {
	if resp, ok := m.event.(attempt.Response); ok {
		r.body, r.status = m.body, resp.Status
	}
	r.step(m.event)
	if m.processed != nil {
		close(m.processed)
	}
}

// step passes an event to the machine and performs the resulting actions.
func (r *requestRunner) step(ev attempt.Event) {
	for _, a := range r.machine.Step(time.Now(), ev) {
		r.do(a)
	}
	if r.sinkErr && !r.machine.Done() {
		r.sinkErr = false
		r.step(attempt.CallerGone{})
	}
}

func (r *requestRunner) do(a attempt.Action) {
	switch a := a.(type) {
	case attempt.Dispatch:
		r.dispatch(a)
	case attempt.Cancel:
		r.cancel(a)
	case attempt.Emit:
		r.sinkErr = r.sink.Tokens(a.Offset, a.Tokens) != nil
	case attempt.Respond:
		r.sinkErr = r.sink.Response(r.status, r.body) != nil
	case attempt.Finish:
		r.result.Reason = a.Reason
	case attempt.GiveUp:
		r.err = a.Err
	case attempt.HandOver:
		r.result.HandOver = &a.State
	}
}
