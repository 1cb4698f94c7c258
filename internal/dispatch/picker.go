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

// work is one request as the balancer sees it.
type picker struct {
	sender       *Sender
	request      *entry.Request
	chain        []uint64
	promptTokens int
	control      <-chan attempt.Event
	size         atomic.Int64 // of the answer, for the evidence of a version move
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

// Pick chooses an endpoint.
func (p *picker) Pick(_ context.Context, req runner.PickRequest) (runner.Choice, error) {
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

// Report tells the balancer, and the evidence of version moves, how an attempt ended.
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

// outcome says what an attempt tells about its endpoint.
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

// result says what an attempt tells about its version.
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

// excused tells whether neither endpoint nor version answers for the end of an
// attempt: it was cancelled, refused for load, or cut by a reclaim.
func (p *picker) excused(r runner.Report) bool {
	if r.Cancelled || p.sender.balancer.IsLeaving(r.Choice.Endpoint) {
		return true
	}
	e := verdict.From(r.Err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable
}

// meta identifies an attempt to its endpoint.
func (p *picker) meta(id ident.AttemptID) endpoint.Meta {
	return endpoint.Meta{
		Request: p.request.ID, Attempt: id, Workspace: p.request.Workspace,
		Class: p.request.Route.Class, Route: p.request.Route.Name, Deadline: p.request.Deadline,
	}
}

// budgets holds a retry budget for each service.
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

// movers holds the control channels of the running streams.
type leavingNotifier struct {
	mu *sync.Mutex
	// controls of the runs, and the leaving endpoints that each was told of.
	subscribers map[chan attempt.Event]map[ident.EndpointID]time.Time
}

func newLeavingNotifier() leavingNotifier {
	return leavingNotifier{mu: new(sync.Mutex), subscribers: make(map[chan attempt.Event]map[ident.EndpointID]time.Time)}
}

// controlBuffer is how many events a run may leave waiting.
const controlBuffer = 16

func (m *leavingNotifier) subscribe() (<-chan attempt.Event, func()) {
	ch := make(chan attempt.Event, controlBuffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[ch] = make(map[ident.EndpointID]time.Time)
	return ch, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscribers, ch)
	}
}

// tell tells every run once of each leaving endpoint and its deadline. A run that
// doesn't use the endpoint passes over the event.
func (m *leavingNotifier) notify(leaving []route.LeavingWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ch, notified := range m.subscribers {
		for _, l := range leaving {
			if at, ok := notified[l.Endpoint]; ok && at.Equal(l.Deadline) {
				continue
			}
			select {
			case ch <- attempt.Leaving{Endpoint: l.Endpoint, Deadline: l.Deadline}:
				notified[l.Endpoint] = l.Deadline
			default: // the next round tells it
			}
		}
	}
}

// Start looks for work on leaving endpoints in the background.
func (s *Sender) Start(ctx context.Context) error {
	return s.loop.Start(ctx)
}

// Stop ends that, and the shadow copies.
func (s *Sender) Stop(ctx context.Context) error {
	err := s.loop.Stop(ctx)
	s.shadows.stop()
	return err
}
