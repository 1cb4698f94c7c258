// Package dispatch sends accepted requests to endpoints. It joins the life of a
// request (package attempt) with the choice of endpoints (package route), the
// client of endpoints and the answer that the caller reads.
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

// Balancer chooses endpoints and learns how attempts end.
type Balancer interface {
	Dispatch(attempt ident.AttemptID, r route.Request) (route.Choice, error)
	Finish(attempt ident.AttemptID, o route.Outcome)
	Leaving() []route.LeavingWork
	IsLeaving(id ident.EndpointID) bool
}

// Versions tells which versions of a service may get new work, and counts how
// requests on them ended.
type Versions interface {
	Shares(service ident.Service) []route.Share
	Record(o move.Outcome)
	// Shadow draws whether a copy of an idempotent request, answered by one version,
	// goes to another, and to which.
	Shadow(service ident.Service, answering ident.Version) (ident.Version, bool)
}

// Options are the settings of a Sender.
type Options struct {
	Attempt attempt.Options
	Budget  attempt.BudgetOptions
	// LeavingInterval is the time between two looks for work on leaving endpoints.
	// Default: 100ms.
	LeavingInterval time.Duration
	// StallBetween is the longest silence between two tokens, after which a stream
	// goes on at another endpoint; one that has sent no token yet has to answer a
	// probe as often. Default: 3s.
	StallTimeout time.Duration
	// Tokens is called with the uncached prompt tokens and the generated ones of each
	// whole answer; nil for nobody.
	Tokens func(service ident.Service, prompt, output int)
}

// DefaultCosts estimate a model engine's KV cache on a 10 Gbit/s network.
var DefaultCosts = attempt.Costs{
	PrefillPerSec:    8000,
	KVBytesPerToken:  128 << 10,
	LinkBytesPerSec:  1.25e9,
	TransferOverhead: 20 * time.Millisecond,
}

// Sender is the entry's sender.
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

// New returns a sender. Start lets it move work off leaving endpoints.
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

// Chat produces an answer token by token. A stream that breaks, or whose endpoint
// leaves, goes on at the next offset on another endpoint.
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

// Forward sends a plain request and gives its response to take, once. The error
// is a *verdict.Error where there was no response, and else what take returned.
func (s *Sender) Forward(ctx context.Context, r *entry.Request, in *http.Request, body []byte, handle func(*http.Response) error) error {
	d := &plainDispatch{picker: picker{sender: s, request: r}, in: in, body: body, handle: handle}
	if _, err := runner.Run(ctx, d.picker.runnerRequest(), &d.picker, d, d); err != nil {
		return err
	}
	return d.err
}
