// Package dispatch sends accepted requests to endpoints. It connects the state machine of
// a request's attempts (package attempt), the choice of endpoints (package route), the
// client of endpoints (package endpoint) and the answer that the caller reads (package
// answer).
package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Balancer chooses endpoints and records how attempts end.
type Balancer interface {
	// Dispatch chooses an endpoint for an attempt.
	Dispatch(attempt ident.AttemptID, r route.Request) (route.Choice, error)
	// Finish records the outcome of an attempt.
	Finish(attempt ident.AttemptID, o route.Outcome)
	// Leaving returns the leaving endpoints that have attempts in flight.
	Leaving() []route.LeavingAttempts
	// IsLeaving reports whether an endpoint is leaving.
	IsLeaving(id ident.EndpointID) bool
}

// Versions distributes requests over the versions of a service and records how they ended.
type Versions interface {
	// Shares returns the versions that may get new requests, with their weights.
	Shares(service ident.Service) []route.Share
	// Record adds the outcome of an attempt to the evidence for version moves.
	Record(o move.Outcome)
	// Shadow randomly decides whether to send a copy of an idempotent request that the
	// version answering responds to. It returns the version to send the copy to.
	Shadow(service ident.Service, answering ident.Version) (ident.Version, bool)
}

// Options are the settings of a Sender.
type Options struct {
	Attempt attempt.Options
	Budget  attempt.BudgetOptions
	// LeavingInterval is the interval of the check for leaving endpoints with attempts in
	// flight. Default: 100ms.
	LeavingInterval time.Duration
	// StallTimeout is the maximum time between two tokens, after which a stream resumes
	// on another endpoint. Before the first token, it is the interval of the probes that
	// the endpoint has to answer. Default: 3s.
	StallTimeout time.Duration
	// Tokens, if not nil, is called for each complete answer with the number of prompt
	// tokens that were not cached and the number of generated tokens.
	Tokens func(service ident.Service, prompt, output int)
}

// DefaultCosts are the costs of computing and transferring a KV cache, estimated for a
// model engine on a 10 Gbit/s network.
var DefaultCosts = attempt.Costs{
	PrefillPerSec:    8000,
	KVBytesPerToken:  128 << 10,
	LinkBytesPerSec:  1.25e9,
	TransferOverhead: 20 * time.Millisecond,
}

// Sender implements entry.Sender.
type Sender struct {
	opts            Options
	client          *endpoint.Client
	balancer        Balancer
	versions        Versions
	budgets         budgets
	leavingNotifier leavingNotifier
	shadows         *shadowSender
	loop            *kernel.Loop
}

var _ entry.Sender = (*Sender)(nil)

// New returns a Sender. Streams migrate from leaving endpoints only after Start.
func New(opts Options, client *endpoint.Client, balancer Balancer, versions Versions) *Sender {
	if opts.LeavingInterval == 0 {
		opts.LeavingInterval = 100 * time.Millisecond
	}
	if opts.StallTimeout == 0 {
		opts.StallTimeout = DefaultStallTimeout
	}
	if opts.Attempt.Costs == (attempt.Costs{}) {
		opts.Attempt.Costs = DefaultCosts
	}
	s := &Sender{
		opts: opts, client: client, balancer: balancer, versions: versions,
		budgets: budgets{opts: opts.Budget}, leavingNotifier: newLeavingNotifier(),
	}
	s.shadows = newShadowSender(s)
	s.loop = kernel.NewLoop(opts.LeavingInterval, func(context.Context) { s.leavingNotifier.notify(balancer.Leaving()) })
	return s
}

// Chat implements entry.Sender. If a stream breaks or its endpoint is leaving, the chat
// completion resumes at the next offset on another endpoint.
func (s *Sender) Chat(ctx context.Context, chat *entry.ChatCompletion) {
	text := endpoint.PromptText(chat.Body.Messages)
	d := &chatDispatch{
		picker: picker{sender: s, request: chat.Request, chain: endpoint.BlockChain(text), promptTokens: endpoint.PromptTokens(text)},
		chat:   chat,
	}
	control, done := s.leavingNotifier.subscribe()
	defer done()
	d.picker.control = control
	req := d.picker.runnerRequest()
	req.Stream = true
	req.MaxTokens = chat.Body.MaxTokens
	req.Resume = attempt.State{
		Attempts: int(chat.Attempts.Load()), Offset: chat.Answer.Len(), Text: chat.Answer.Text(), MayHaveRun: chat.Attempts.Load() > 0,
	}
	result, err := runner.Run(ctx, req, &d.picker, d, d)
	end := answer.End{Reason: result.Reason, Usage: d.usage(chat.Answer.Len())}
	if err != nil {
		end = answer.End{Err: verdict.From(err)}
	}
	chat.Answer.Close(time.Now(), end)
	if err == nil && s.opts.Tokens != nil {
		s.opts.Tokens(chat.Request.Service.Name, end.Usage.PromptTokens-end.Usage.CachedTokens, end.Usage.CompletionTokens)
	}
}

// Forward implements entry.Sender. It sends a request to a plain service and calls handle
// at most once with the response. Without a response, it returns a *verdict.Error,
// otherwise the error of handle.
func (s *Sender) Forward(ctx context.Context, r *entry.Request, in *http.Request, body []byte, handle func(*http.Response) error) error {
	d := &plainDispatch{picker: picker{sender: s, request: r}, in: in, body: body, handle: handle}
	control := make(chan attempt.Event, 1)
	d.picker.control = control
	ended := make(chan struct{})
	defer close(ended)
	if r.Terminated != nil {
		go func() {
			select {
			case <-r.Terminated:
				control <- attempt.Terminate{}
			case <-ended:
			}
		}()
	}
	if _, err := runner.Run(ctx, d.picker.runnerRequest(), &d.picker, d, d); err != nil {
		return terminatedError(err)
	}
	return d.err
}

// terminatedError returns the error of a request. One that may have run when the node exits has the
// code of a failure at the endpoint: its caller must not take it for a refusal.
func terminatedError(err error) error {
	if e := verdict.From(err); e.Code == verdict.CodeStopping && e.Verdict != verdict.NotRun {
		return verdict.Wrap(e.Verdict, verdict.CodeUpstream, e.Cause)
	}
	return err
}
