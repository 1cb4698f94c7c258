package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// picker chooses the endpoints for the attempts of one request and reports how the
// attempts ended.
type picker struct {
	sender       *Sender
	request      *entry.Request
	chain        []uint64
	promptTokens int
	control      <-chan attempt.Event
	size         atomic.Int64 // of the response in tokens or bytes, as evidence for a version move
}

var _ runner.Picker = (*picker)(nil)

func (p *picker) runnerRequest() runner.Request {
	r := p.request
	return runner.Request{
		Request: attempt.Request{
			ID: r.ID, Class: r.Route.Class, Idempotent: r.Route.Idempotent, Deadline: r.Deadline, DispatchBy: r.DispatchBy,
			PromptTokens: p.promptTokens,
		},
		Options: p.sender.opts.Attempt,
		Budget:  p.sender.budgets.of(r.Service.Name),
		Control: p.control,
	}
}

// Pick chooses an endpoint for an attempt.
func (p *picker) Pick(_ context.Context, req runner.PickRequest) (runner.Choice, error) {
	if p.request.MayStart != nil {
		if err := p.request.MayStart(); err != nil {
			return runner.Choice{}, err
		}
	}
	c, err := p.sender.balancer.Dispatch(req.Attempt, route.Request{
		Service:      p.request.Service.Name,
		Class:        p.request.Route.Class,
		Shares:       p.sender.versions.Shares(p.request.Service.Name),
		Chain:        p.chain,
		PromptTokens: p.promptTokens,
		Exclude:      req.Exclude,
		Deadline:     req.Request.Deadline,
	})
	if err != nil {
		return runner.Choice{}, err
	}
	return runner.Choice{Endpoint: c.Endpoint, Address: c.Address, Version: c.Version}, nil
}

// Report passes the end of an attempt on to the balancer and to the evidence for version
// moves.
func (p *picker) Report(r runner.Report) {
	p.sender.balancer.Finish(r.Attempt, p.outcome(r))
	latency := r.FirstByte
	if latency == 0 {
		latency = r.Duration
	}
	p.sender.versions.Record(move.Outcome{
		Service: p.request.Service.Name, Version: r.Choice.Version, Route: p.request.Route.Name,
		Workspace: p.request.Workspace, Result: p.result(r), Latency: latency, Size: int(p.size.Load()),
	})
}

// outcome returns how an attempt counts for its endpoint.
func (p *picker) outcome(r runner.Report) route.Outcome {
	switch {
	case r.Err == nil && r.Status >= http.StatusInternalServerError:
		return route.OutcomeFault
	case r.Err == nil && !r.Cancelled:
		return route.OutcomeOK
	case p.excused(r):
		return route.OutcomeNeutral
	default:
		return route.OutcomeFault
	}
}

// result returns how an attempt counts for its version.
func (p *picker) result(r runner.Report) move.Result {
	switch p.outcome(r) {
	case route.OutcomeOK:
		return move.OK
	case route.OutcomeFault:
		return move.Failed
	default:
		return move.Excused
	}
}

// excused reports whether an attempt ended for a reason that counts neither against its
// endpoint nor against its version: it was cancelled, refused because of load, or ended
// because its endpoint is leaving.
func (p *picker) excused(r runner.Report) bool {
	if r.Cancelled || p.sender.balancer.IsLeaving(r.Choice.Endpoint) {
		return true
	}
	e := verdict.From(r.Err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable
}

// meta returns the metadata that is sent to the endpoint with an attempt.
func (p *picker) meta(id ident.AttemptID) endpoint.Meta {
	return endpoint.Meta{
		Request: p.request.ID, Attempt: id, Workspace: p.request.Workspace,
		Class: p.request.Route.Class, Route: p.request.Route.Name, Deadline: p.request.Deadline,
	}
}

// budgets contains a retry budget for each service.
type budgets struct {
	opts attempt.BudgetOptions
	mu   struct {
		sync.Mutex
		byService map[ident.Service]*attempt.Budget
	}
}

func (b *budgets) of(s ident.Service) *attempt.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.byService == nil {
		b.mu.byService = make(map[ident.Service]*attempt.Budget)
	}
	if b.mu.byService[s] == nil {
		b.mu.byService[s] = attempt.NewBudget(b.opts)
	}
	return b.mu.byService[s]
}

// leavingNotifier notifies the running streams of leaving endpoints, so that they migrate.
type leavingNotifier struct {
	mu *sync.Mutex
	// subscribers maps the channel of each stream to the leaving endpoints, with their
	// deadlines, that were sent to it.
	subscribers map[chan attempt.Event]map[ident.EndpointID]time.Time
}

func newLeavingNotifier() leavingNotifier {
	return leavingNotifier{mu: new(sync.Mutex), subscribers: make(map[chan attempt.Event]map[ident.EndpointID]time.Time)}
}

// controlBuffer is the number of events that a stream's channel can buffer.
const controlBuffer = 16

func (n *leavingNotifier) subscribe() (<-chan attempt.Event, func()) {
	ch := make(chan attempt.Event, controlBuffer)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.subscribers[ch] = make(map[ident.EndpointID]time.Time)
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers, ch)
	}
}

// notify sends each leaving endpoint and its deadline once to every stream, and again if
// the deadline changes. A stream that doesn't use the endpoint ignores the event.
func (n *leavingNotifier) notify(leaving []route.LeavingAttempts) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch, notified := range n.subscribers {
		for _, l := range leaving {
			if at, ok := notified[l.Endpoint]; ok && at.Equal(l.Deadline) {
				continue
			}
			select {
			case ch <- attempt.Leaving{Endpoint: l.Endpoint, Deadline: l.Deadline}:
				notified[l.Endpoint] = l.Deadline
			default: // the buffer is full; the next call sends it
			}
		}
	}
}

// Start starts the check for leaving endpoints in the background.
func (s *Sender) Start(ctx context.Context) error {
	return s.loop.Start(ctx)
}

// Stop stops the check for leaving endpoints and cancels the shadow copies.
func (s *Sender) Stop(ctx context.Context) error {
	err := s.loop.Stop(ctx)
	s.shadows.stop()
	return err
}
