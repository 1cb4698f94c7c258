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
type work struct {
	sender       *Sender
	request      *entry.Request
	chain        []uint64
	promptTokens int
	control      <-chan attempt.Event
	size         atomic.Int64 // of the answer, for the evidence of a version move
}

var _ runner.Picker = (*work)(nil)

func (w *work) runnerRequest() runner.Request {
	r := w.request
	return runner.Request{
		Request: attempt.Request{
			ID: r.ID, Class: r.Route.Class, Idempotent: r.Route.Idempotent, Deadline: r.Deadline, DispatchBy: r.DispatchBy,
			PromptTokens: w.promptTokens,
		},
		Options: w.sender.opts.Attempt,
		Budget:  w.sender.budgets.of(r.Service.Name),
		Control: w.control,
	}
}

// Pick chooses an endpoint.
func (w *work) Pick(_ context.Context, p runner.PickRequest) (runner.Choice, error) {
	c, err := w.sender.balancer.Dispatch(p.Attempt, route.Request{
		Service:      w.request.Service.Name,
		Class:        w.request.Route.Class,
		Shares:       w.sender.versions.Shares(w.request.Service.Name),
		Chain:        w.chain,
		PromptTokens: w.promptTokens,
		Exclude:      p.Exclude,
		Deadline:     p.Request.Deadline,
	})
	if err != nil {
		return runner.Choice{}, err
	}
	return runner.Choice{Endpoint: c.Endpoint, Address: c.Address, Version: c.Version}, nil
}

// Report tells the balancer, and the evidence of version moves, how an attempt ended.
func (w *work) Report(r runner.Report) {
	w.sender.balancer.Finish(r.Attempt, w.outcome(r))
	latency := r.FirstByte
	if latency == 0 {
		latency = r.Duration
	}
	w.sender.versions.Record(move.Outcome{
		Service: w.request.Service.Name, Version: r.Choice.Version, Route: w.request.Route.Name,
		Workspace: w.request.Workspace, Result: w.result(r), Latency: latency, Size: int(w.size.Load()),
	})
}

// outcome says what an attempt tells about its endpoint.
func (w *work) outcome(r runner.Report) route.Outcome {
	switch {
	case r.Err == nil && r.Status >= http.StatusInternalServerError:
		return route.OutcomeFault
	case r.Err == nil && !r.Cancelled:
		return route.OutcomeOK
	case w.excused(r):
		return route.OutcomeNeutral
	default:
		return route.OutcomeFault
	}
}

// result says what an attempt tells about its version.
func (w *work) result(r runner.Report) move.Result {
	switch w.outcome(r) {
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
func (w *work) excused(r runner.Report) bool {
	if r.Cancelled || w.sender.balancer.IsLeaving(r.Choice.Endpoint) {
		return true
	}
	e := verdict.From(r.Err)
	return e.Verdict == verdict.NotRun && e.Code == verdict.CodeUnavailable
}

// meta identifies an attempt to its endpoint.
func (w *work) meta(id ident.AttemptID) endpoint.Meta {
	return endpoint.Meta{
		Request: w.request.ID, Attempt: id, Workspace: w.request.Workspace,
		Class: w.request.Route.Class, Route: w.request.Route.Name, Deadline: w.request.Deadline,
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
type movers struct {
	mu *sync.Mutex
	// controls of the runs, and the leaving endpoints that each was told of.
	controls map[chan attempt.Event]map[ident.EndpointID]time.Time
}

func newMovers() movers {
	return movers{mu: new(sync.Mutex), controls: make(map[chan attempt.Event]map[ident.EndpointID]time.Time)}
}

// controlBuffer is how many events a run may leave waiting.
const controlBuffer = 16

func (m *movers) add() (<-chan attempt.Event, func()) {
	ch := make(chan attempt.Event, controlBuffer)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.controls[ch] = make(map[ident.EndpointID]time.Time)
	return ch, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.controls, ch)
	}
}

// tell tells every run once of each leaving endpoint and its deadline. A run that
// doesn't use the endpoint passes over the event.
func (m *movers) tell(leaving []route.LeavingWork) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for ch, told := range m.controls {
		for _, l := range leaving {
			if at, ok := told[l.Endpoint]; ok && at.Equal(l.Deadline) {
				continue
			}
			select {
			case ch <- attempt.Leaving{Endpoint: l.Endpoint, Deadline: l.Deadline}:
				told[l.Endpoint] = l.Deadline
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
