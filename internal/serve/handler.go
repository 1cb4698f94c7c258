package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// defaultTimeout is the deadline of a request where neither route nor caller
	// states one.
	defaultTimeout = 30 * time.Second
	// retryAfterUnready is told to callers of a node without configuration: it reads
	// one within some hundred milliseconds of reaching the store.
	retryAfterUnready = 500 * time.Millisecond
	// minRetryAfter and spreadRetryAfter are told to callers of failed requests: an
	// endpoint that can't be reached is left out within that time.
	minRetryAfter    = 150 * time.Millisecond
	spreadRetryAfter = 250 * time.Millisecond
	// maxRefusals bounds the endpoints that refuse one request; more would only add
	// to a load that is too high already.
	maxRefusals = 2
	// hedgeShare is the part of a lookup's target after which it is sent once more.
	hedgeShare = 0.7
)

// NodeServices is what the data plane asks of the rest of the node.
type NodeServices interface {
	// Config returns the configuration in force; nil before the first one.
	Config() *site.Config
	// Charge takes cost from a workspace's limit.
	Charge(w ident.Workspace, cost float64) (retryAfter time.Duration, ok bool)
	// Refund returns what was charged for a request that did not run.
	Refund(w ident.Workspace, cost float64)
	// CountStarted counts a request that an endpoint has begun to run.
	CountStarted(w ident.Workspace)
}

// Placement chooses endpoints and learns how attempts end.
type Placement interface {
	Pick(id ident.AttemptID, r placement.Request) (placement.Choice, *verdict.Error)
	FirstEvent(id ident.AttemptID)
	SetReportedLoad(id ident.EndpointID, l Load)
	Finished(id ident.AttemptID, o placement.Outcome)
	Leaving(id ident.EndpointID) bool
	// TerminationTime returns when an endpoint ends that leaves, and whether it does.
	TerminationTime(id ident.EndpointID) (time.Time, bool)
}

// Versions draws which version of a service a request goes to, and takes evidence.
type Versions interface {
	// ChooseVersion returns the version that a request must go to, or the one to avoid.
	ChooseVersion(s ident.Service) (only, avoid ident.Version)
	// Record counts how an attempt at an endpoint of a version ended.
	Record(s ident.Service, v ident.Version, o placement.Outcome, route ident.RouteName, took time.Duration)
}

// Handler serves requests.
type Handler struct {
	view      NodeServices
	places    Placement
	versions  Versions
	transport Transport
	log       *slog.Logger
	metrics   *Metrics
	budgets   *budgets
	runs      *runs
}

// Dependencies are what a Handler works with.
type Dependencies struct {
	NodeServices NodeServices
	Placement    Placement
	Versions     Versions
	Transport    Transport
	Log          *slog.Logger
	Metrics      *Metrics
	// Budget returns the bound on this node's retries of a service, which changes with
	// the number of nodes. Nil for the defaults.
	Budget func() attempt.BudgetOptions
}

// NewHandler returns a handler.
func NewHandler(p Dependencies) *Handler {
	if p.Budget == nil {
		p.Budget = func() attempt.BudgetOptions { return attempt.BudgetOptions{} }
	}
	return &Handler{
		view: p.NodeServices, places: p.Placement, versions: p.Versions, transport: p.Transport, log: p.Log, metrics: p.Metrics,
		budgets: &budgets{opts: p.Budget, byService: make(map[ident.Service]*attempt.Budget)},
		runs:    newRuns(),
	}
}

// budgets holds a retry budget for each service.
type budgets struct {
	opts      func() attempt.BudgetOptions
	mu        sync.Mutex
	byService map[ident.Service]*attempt.Budget
}

func (b *budgets) of(s ident.Service) *attempt.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	opts := b.opts()
	budget := b.byService[s]
	if budget == nil {
		budget = attempt.NewBudget(opts)
		b.byService[s] = budget
	}
	if opts.Max > 0 {
		budget.SetMax(opts.Max)
	}
	return budget
}

// call is a request on its way.
type call struct {
	h         *Handler
	req       *Request
	out       Writer
	config    *site.Config
	route     *site.Route
	workspace *site.Workspace // nil where none is needed
	service   ident.Service
	deadline  time.Time
	cost      float64
	delivery  delivery
	began     sync.Once
	attempts  attemptLog
}

// Serve answers a request. The end of ctx means that the caller has gone.
func (h *Handler) Serve(ctx context.Context, req *Request, out Writer) {
	c := &call{h: h, req: req, out: out}
	c.delivery.out = out
	err := c.admit()
	if err == nil {
		err = c.run(ctx)
	}
	if err != nil {
		c.fail(ctx, err)
	}
	c.finish(ctx, err)
}

// admit finds workspace and route, and charges the workspace's limit.
func (c *call) admit() *verdict.Error {
	c.config = c.h.view.Config()
	if c.config == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration is in force yet").After(retryAfterUnready)
	}
	c.route = c.config.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route of host %q takes %q", c.req.Host, c.req.Path)
	}
	c.workspace = c.config.WorkspaceByKey(c.req.Key)
	if c.config.HasWorkspaces() && !c.route.Anonymous && c.workspace == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the workspace key is unknown")
	}
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && int64(len(c.req.Body)) > limit {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body of %d bytes passes the limit of %d", len(c.req.Body), limit)
	}
	c.deadline = c.req.Arrived.Add(firstOf(c.route.Timeout, defaultTimeout))
	if p := c.req.MaxWait; p > 0 && c.req.Arrived.Add(p).Before(c.deadline) {
		c.deadline = c.req.Arrived.Add(p)
	}
	c.service = drawService(c.route.Shares)
	return c.charge()
}

// charge takes the request's cost from its workspace's limit.
func (c *call) charge() *verdict.Error {
	if c.workspace == nil {
		return nil
	}
	c.cost = cost(c.workspace, c.req.Prompt)
	after, ok := c.h.view.Charge(c.workspace.Name, c.cost)
	if ok {
		return nil
	}
	cost := c.cost
	c.cost = 0
	return verdict.New(verdict.NotRun, verdict.CodeLimited, "workspace %q has passed its limit, cost %.0f", c.workspace.Name, cost).After(after)
}

// cost returns what a request counts for in its workspace's limit.
func cost(w *site.Workspace, p placement.Prompt) float64 {
	switch {
	case !w.CountTokens:
		return 1
	case p.Tokens() > 0:
		return float64(p.Tokens())
	default:
		return w.PlainTokens
	}
}

// drawService draws one of the services of a route by weight.
func drawService(shares []site.Share) ident.Service {
	sum := 0.0
	for _, s := range shares {
		sum += s.Weight
	}
	x := rand.Float64() * sum
	for _, s := range shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

func firstOf(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// retryAfter returns the time to come back after a failure that says nothing of it:
// soon, as other endpoints serve, and spread, as many requests fail at once.
func retryAfter() time.Duration { return minRetryAfter + rand.N(spreadRetryAfter) }

// run carries the request out.
func (c *call) run(ctx context.Context) *verdict.Error {
	stream := c.route.Kind == site.KindStream
	attempts := max(c.route.MaxAttempts, 1)
	opts := attempt.Options{MaxAttempts: attempts, MaxSent: attempts, MaxRefusals: maxRefusals, RetryAfter: retryAfter()}
	if c.route.Kind == site.KindLookup && c.route.MaxAttempts > 1 {
		opts.HedgeAfter = time.Duration(hedgeShare * float64(c.route.FirstByteTarget))
	}
	_, err := runner.Run(ctx, runner.Request{
		Request: attempt.Request{
			ID: c.req.ID, Class: c.route.Class(), Idempotent: c.route.Idempotent(), Deadline: c.deadline,
			Stream: stream, Opaque: true, EndWithCaller: stream,
			PromptTokens: c.req.Prompt.Input, MaxTokens: c.req.Prompt.Output,
		},
		Options: opts,
		Budget:  c.h.budgets.of(c.service),
	}, c, c, &c.delivery)
	if err == nil {
		err = c.delivery.close()
	}
	if err != nil {
		return verdict.From(err)
	}
	return nil
}

// fail tells the caller that there is no answer, or no more of it.
func (c *call) fail(ctx context.Context, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && c.cost > 0 && !c.delivery.begun() {
		c.h.view.Refund(c.workspace.Name, c.cost)
	}
	switch {
	case ctx.Err() != nil, c.delivery.begun():
		c.out.Abort()
	default:
		c.out.Refuse(err)
	}
}

// finish logs and counts the end of a request.
func (c *call) finish(ctx context.Context, err *verdict.Error) {
	now := time.Now()
	attrs := []any{"request", c.req.ID, "took_ms", now.Sub(c.req.Arrived).Milliseconds()}
	var route ident.RouteName
	var workspace ident.Workspace
	if c.route != nil {
		route = c.route.Name
		attrs = append(attrs, "route", route, "service", c.service, "config", c.config.Version)
	}
	if c.workspace != nil {
		workspace = c.workspace.Name
		attrs = append(attrs, "workspace", workspace, "cost", c.cost)
	}
	attrs = append(attrs, "status", c.delivery.status(), "events", c.delivery.events(), "first_ms", c.delivery.firstAfter(c.req.Arrived).Milliseconds())
	attrs = append(attrs, c.attempts.attrs()...)
	outcome := "ok"
	if c.delivery.status() >= http.StatusInternalServerError {
		outcome = "endpoint-error" // the endpoint's own answer, passed on
	}
	if err != nil {
		outcome = string(err.Code)
		attrs = append(attrs, "verdict", err.Verdict.String(), "retry_after_ms", err.RetryAfter.Milliseconds(), "cause", err.Cause.Error())
	}
	if ctx.Err() != nil {
		outcome = "caller-gone"
	}
	c.h.metrics.finished(route, workspace, outcome, now.Sub(c.req.Arrived), c.delivery.firstAfter(c.req.Arrived))
	c.h.log.Info("request: Done.", append(attrs, "outcome", outcome)...)
}
