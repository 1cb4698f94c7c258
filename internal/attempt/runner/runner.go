// Package runner drives the machine of package attempt: it owns the goroutines,
// timers and connections of one request. It decides nothing.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// PickRequest asks for an endpoint.
type PickRequest struct {
	Attempt ident.AttemptID
	Request attempt.Request
	// Exclude lists the endpoints that must not be chosen.
	Exclude []ident.EndpointID
	// Prefer is an endpoint whose cache holds the tokens; empty where none does.
	Prefer ident.EndpointID
	Hedge  bool
}

// Choice is a chosen endpoint.
type Choice struct {
	Endpoint ident.EndpointID
	Address  string // "ip:port"
	Version  ident.Version
}

// Report tells a Picker how an attempt at its choice ended.
type Report struct {
	Attempt ident.AttemptID
	Choice  Choice
	// Err is the fault of the attempt; nil where it ended well or was cancelled
	// without fault.
	Err error
	// Status of a single answer; zero where none came.
	Status int
	// FirstByte is the time to the first message; zero where none came.
	FirstByte time.Duration
	// Took is the time of the whole attempt.
	Took      time.Duration
	Cancelled bool
}

// Picker chooses endpoints.
type Picker interface {
	// Pick returns an endpoint, or an error where there is none; the error's
	// RetryAfter is told to the caller.
	Pick(ctx context.Context, req PickRequest) (Choice, error)
	// Report is called once for every choice.
	Report(r Report)
}

// Call is one attempt to be sent to an endpoint.
type Call struct {
	Request  attempt.Request
	Dispatch attempt.Dispatch
	Choice   Choice
	// Import is the endpoint that holds the KV cache of Dispatch.ImportFrom; empty
	// where nothing is to be imported. An import that fails is no error: the
	// endpoint computes the cache again.
	Import Choice
	// Payload is that of the request.
	Payload any
}

// Frame is one message of an answer: exactly one field is set.
type Frame struct {
	Chunk    *attempt.Chunk
	Response *attempt.Response
	// Body is what the Sink is given of a Response.
	Body any
	// End is the end mark.
	End bool
}

// Stream is the answer of one attempt.
type Stream interface {
	// Recv returns the next frame, valid until the call after the next. An answer
	// that ends without its end mark is io.EOF or io.ErrUnexpectedEOF. It returns
	// when the Open's ctx has ended.
	Recv() (Frame, error)
	Close() error
}

// Dialer opens attempts.
type Dialer interface {
	// Open sends an attempt. An error with verdict NotRun proves that it did not
	// run; after any other it may have.
	Open(ctx context.Context, call Call) (Stream, error)
}

// Sink takes an answer on its way to the caller. An error means that the caller
// has gone. While a call blocks, the request takes no other event, so a Sink
// bounds its writes.
type Sink interface {
	// Tokens takes tokens in order, without gap or repeat.
	Tokens(offset int, tokens []string) error
	// Response takes the body of a single answer.
	Response(status int, body any) error
}

// Request is a request to run.
type Request struct {
	attempt.Request
	// Payload is handed to the Dialer.
	Payload any
	Options attempt.Options
	// Budget is shared by the requests of a service.
	Budget *attempt.Budget
	// Control takes attempt.Leaving and attempt.Stop events; nil where there are none.
	Control <-chan attempt.Event
}

// Result is how a request ended.
type Result struct {
	// Reason why the answer finished, of a stream.
	Reason string
	// HandOver is set where another node has to go on with the request.
	HandOver *attempt.State
	Stats    attempt.Stats
}

// Run runs a request to its end. It returns a *verdict.Error where the request
// was given up. All its goroutines have ended when it returns. The end of ctx
// means that the caller has gone; a request that isn't idempotent goes on.
func Run(ctx context.Context, req Request, p Picker, d Dialer, s Sink) (Result, error) {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	r := &run{
		req: req, picker: p, dialer: d, sink: s, ctx: base,
		machine: attempt.New(req.Request, req.Options, req.Budget),
		events:  make(chan message), tries: make(map[ident.AttemptID]*try),
	}
	defer r.wg.Wait()
	defer cancel()
	return r.loop(ctx)
}

// message is an event of an attempt and, for a response, its body.
type message struct {
	event attempt.Event
	body  any
	// judged is closed once the machine has taken the event; nil where nobody waits.
	judged chan struct{}
}

// run is the state of one Run; its loop owns all but the goroutines of tries.
type run struct {
	req     Request
	picker  Picker
	dialer  Dialer
	sink    Sink
	ctx     context.Context // of all attempts
	machine *attempt.Machine
	events  chan message
	tries   map[ident.AttemptID]*try
	wg      sync.WaitGroup

	result  Result
	err     error
	body    any // of the response at hand
	status  int
	sinkErr bool
}

func (r *run) loop(ctx context.Context) (Result, error) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	callerGone := ctx.Done()
	r.step(attempt.Start{})
	for !r.machine.Done() {
		timer.Reset(max(time.Until(r.machine.Next()), 0))
		select {
		case m := <-r.events:
			r.take(m)
		case ev := <-r.req.Control:
			if ev != nil {
				r.step(ev)
			} else {
				r.req.Control = nil // closed
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

func (r *run) take(m message) {
	if resp, ok := m.event.(attempt.Response); ok {
		r.body, r.status = m.body, resp.Status
	}
	r.step(m.event)
	if m.judged != nil {
		close(m.judged)
	}
}

// step feeds an event to the machine and carries out its actions.
func (r *run) step(ev attempt.Event) {
	for _, a := range r.machine.Step(time.Now(), ev) {
		r.do(a)
	}
	if r.sinkErr && !r.machine.Done() {
		r.sinkErr = false
		r.step(attempt.CallerGone{})
	}
}

func (r *run) do(a attempt.Action) {
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
