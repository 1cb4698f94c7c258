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
	// defaultTimeout is the timeout of a request whose route states none.
	defaultTimeout = 30 * time.Second
	// retryAfterNoConfig is sent to callers of a node without configuration. A node reads
	// its configuration within some hundred milliseconds of reaching the store.
	retryAfterNoConfig = 500 * time.Millisecond
	// minRetryAfter and retryAfterJitter bound the delay sent to callers of failed
	// requests: an unreachable endpoint is ejected within that time.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterJitter = 250 * time.Millisecond
	// maxRefusals limits the number of endpoints that may refuse one request: further
	// attempts would only add load to overloaded endpoints.
	maxRefusals = 2
	// hedgeFraction is the fraction of a lookup's first-byte target after which a hedged
	// attempt is sent.
	hedgeFraction = 0.7
)

// NodeServices provides the configuration, the workspaces' limits and usage counts of
// this node.
type NodeServices interface {
	// Config returns the configuration in force; nil before the first one.
	Config() *site.Config
	// Charge deducts cost from a workspace's limit. If the limit is exhausted, it returns
	// false and the time after which to retry.
	Charge(w ident.Workspace, cost float64) (retryAfter time.Duration, ok bool)
	// Refund gives back the cost charged for a request that did not run.
	Refund(w ident.Workspace, cost float64)
	// CountStarted counts a request that an endpoint has started to run.
	CountStarted(w ident.Workspace)
}

// Placement chooses endpoints for attempts and records their progress and outcomes.
type Placement interface {
	// Pick chooses an endpoint for an attempt, which counts as sent from then on.
	Pick(id ident.AttemptID, r placement.Request) (placement.Choice, *verdict.Error)
	// FirstEvent records the first event of an attempt.
	FirstEvent(id ident.AttemptID)
	// SetReportedLoad records the load that an endpoint reported.
	SetReportedLoad(id ident.EndpointID, l Load)
	// Streamed records the mean time between the events of an attempt's stream, before Finished.
	Streamed(id ident.AttemptID, gap time.Duration)
	// Finished records the outcome of an attempt. Only the first call for an attempt
	// counts.
	Finished(id ident.AttemptID, o placement.Outcome)
	// Leaving reports whether an endpoint is leaving, missing or unknown.
	Leaving(id ident.EndpointID) bool
	// BackingOff reports whether an endpoint has turned a request away and wants no calls
	// at present.
	BackingOff(id ident.EndpointID) bool
	// TerminationTime returns when a leaving or missing endpoint terminates, or false for any
	// other endpoint.
	TerminationTime(id ident.EndpointID) (time.Time, bool)
	// AcceptsUntil returns until when an endpoint accepts what continues a request, or the zero
	// time if no end is known. known is false for an endpoint that has left.
	AcceptsUntil(e site.Endpoint) (until time.Time, known bool)
}

// Versions splits requests between the versions of a service and records the outcomes
// as evidence for or against a version.
type Versions interface {
	// ChooseVersion returns the version to which a request must go, or the version to
	// avoid; both are empty if any version will do.
	ChooseVersion(s ident.Service) (only, avoid ident.Version)
	// Record counts the outcome and the progress of an attempt at an endpoint of version v.
	Record(s ident.Service, v ident.Version, o placement.Outcome, route ident.RouteName, p Progress)
}

// Progress describes how fast an endpoint answered an attempt.
type Progress struct {
	// Latency is the time to the start of the response, or to the end of an attempt without
	// one.
	Latency time.Duration
	// Events is the number of events of a stream that were read, and Streaming the time from
	// the first to the last of them.
	Events    int
	Streaming time.Duration
}

// Identity is what a request may have in common with other requests that crash endpoints.
type Identity struct {
	Signature Signature
	Prompt    placement.Prompt
}

// Guard holds back requests that crash endpoints.
type Guard interface {
	// Check returns an error with verdict NotRun if requests like id are held back.
	Check(id Identity) *verdict.Error
	// Answered records that an endpoint began to answer a request at a time and went on with
	// the answer.
	Answered(id Identity, began time.Time)
	// Completed records that an endpoint has just completed a request.
	Completed(id Identity)
	// BrokenOff records that an endpoint ended the connection of a request, sent at a time;
	// answering reports whether it had done more than begin to answer.
	BrokenOff(e site.Endpoint, id Identity, sent time.Time, answering bool)
}

// noGuard holds back no requests.
type noGuard struct{}

func (noGuard) Check(Identity) *verdict.Error                      { return nil }
func (noGuard) Answered(Identity, time.Time)                       {}
func (noGuard) Completed(Identity)                                 {}
func (noGuard) BrokenOff(site.Endpoint, Identity, time.Time, bool) {}

// Handler serves requests.
type Handler struct {
	node          NodeServices
	placement     Placement
	versions      Versions
	transport     Transport
	guard         Guard
	log           *slog.Logger
	metrics       *Metrics
	budgets       *budgets
	activeStreams *activeStreams
	mayStart      func(deadline time.Time, repeatable bool) *verdict.Error
	running       *runningCalls
}

// Dependencies are the components that a Handler uses.
type Dependencies struct {
	NodeServices NodeServices
	Placement    Placement
	Versions     Versions
	Transport    Transport
	// Guard is nil if no requests are held back.
	Guard   Guard
	Log     *slog.Logger
	Metrics *Metrics
	// MayStart returns an error if this node stops before a request would end that ends at the
	// deadline at the latest; repeatable reports whether the caller may repeat it after it was
	// cut off. If nil, the node never stops.
	MayStart func(deadline time.Time, repeatable bool) *verdict.Error
	// Budget returns the limit of this node's retries for each service, which changes
	// with the number of nodes. If nil, the defaults apply.
	Budget func() attempt.BudgetOptions
}

// NewHandler returns a Handler that uses deps.
func NewHandler(deps Dependencies) *Handler {
	if deps.Budget == nil {
		deps.Budget = func() attempt.BudgetOptions { return attempt.BudgetOptions{} }
	}
	if deps.Guard == nil {
		deps.Guard = noGuard{}
	}
	if deps.MayStart == nil {
		deps.MayStart = func(time.Time, bool) *verdict.Error { return nil }
	}
	return &Handler{
		mayStart: deps.MayStart, running: newRunningCalls(),
		guard: deps.Guard,
		node:  deps.NodeServices, placement: deps.Placement, versions: deps.Versions, transport: deps.Transport, log: deps.Log, metrics: deps.Metrics,
		budgets:       &budgets{opts: deps.Budget, byService: make(map[ident.Service]*attempt.Budget)},
		activeStreams: newActiveStreams(),
	}
}

// budgets contains a retry budget for each service.
type budgets struct {
	opts      func() attempt.BudgetOptions
	mu        sync.Mutex
	byService map[ident.Service]*attempt.Budget
}

func (b *budgets) forService(s ident.Service) *attempt.Budget {
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

// call is a request being served.
type call struct {
	h         *Handler
	req       *Request
	out       Writer
	config    *site.Config
	route     *site.Route
	workspace *site.Workspace // nil if the request has no valid key and needs none
	service   ident.Service
	identity  Identity
	deadline  time.Time
	cost      float64
	delivery  delivery
	countOnce sync.Once
	attempts  attemptLog
	// callerGone reports whether the caller has left.
	callerGone func() bool
	control    chan attempt.Event
}

// Serve serves a request and writes the response to out. The end of ctx means that the
// caller has disconnected.
func (h *Handler) Serve(ctx context.Context, req *Request, out Writer) {
	c := &call{h: h, req: req, out: out, callerGone: func() bool { return ctx.Err() != nil }}
	c.delivery.out = out
	defer h.running.add(c)()
	err := c.admit()
	if err == nil {
		err = c.dispatch(ctx)
	}
	if err != nil {
		c.fail(ctx, err)
	}
	c.finish(ctx, err)
}

// admit resolves route and workspace, sets the deadline, chooses the service and charges
// the workspace's limit.
func (c *call) admit() *verdict.Error {
	c.config = c.h.node.Config()
	if c.config == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration is in force yet").After(retryAfterNoConfig)
	}
	c.route = c.config.Match(c.req.Host, c.req.Path)
	if c.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for host %q matches path %q", c.req.Host, c.req.Path)
	}
	c.workspace = c.config.WorkspaceByKey(c.req.Key)
	if c.config.HasWorkspaces() && !c.route.Anonymous && c.workspace == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the workspace key is unknown")
	}
	if limit := c.config.Limits.MaxBodyBytes; limit > 0 && int64(len(c.req.Body)) > limit {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "body of %d bytes exceeds the limit of %d bytes", len(c.req.Body), limit)
	}
	c.deadline = c.req.Arrived.Add(durationOr(c.route.Timeout, defaultTimeout))
	if maxWait := c.req.MaxWait; maxWait > 0 && c.req.Arrived.Add(maxWait).Before(c.deadline) {
		c.deadline = c.req.Arrived.Add(maxWait)
	}
	c.identity = Identity{Signature: signatureOf(c.req, c.workspaceName()), Prompt: c.req.Prompt}
	if err := c.h.guard.Check(c.identity); err != nil {
		return err
	}
	if err := c.mayStart(); err != nil {
		return err
	}
	c.service = chooseService(c.route.Shares)
	return c.charge()
}

// workspaceName returns the name of the request's workspace, or an empty one.
func (c *call) workspaceName() ident.Workspace {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// charge deducts the request's cost from its workspace's limit.
func (c *call) charge() *verdict.Error {
	if c.workspace == nil {
		return nil
	}
	c.cost = cost(c.workspace, c.req.Prompt)
	retryAfter, ok := c.h.node.Charge(c.workspace.Name, c.cost)
	if ok {
		return nil
	}
	cost := c.cost
	c.cost = 0
	return verdict.New(verdict.NotRun, verdict.CodeLimited, "workspace %q is over its limit; the request costs %.0f", c.workspace.Name, cost).After(retryAfter)
}

// cost returns the cost of a request against its workspace's limit, in requests or in
// tokens.
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

// chooseService returns one of a route's services at random, by weight.
func chooseService(shares []site.Share) ident.Service {
	total := 0.0
	for _, s := range shares {
		total += s.Weight
	}
	x := rand.Float64() * total
	for _, s := range shares {
		if x -= s.Weight; x < 0 {
			return s.Service
		}
	}
	return shares[len(shares)-1].Service
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// randomRetryAfter returns the retry delay for failures that state none. It is short, as
// other endpoints are available, and random, as many requests may fail at once.
func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterJitter) }

// dispatch runs the attempts of the request until the response is delivered.
func (c *call) dispatch(ctx context.Context) *verdict.Error {
	stream := c.route.Kind == site.KindStream
	maxAttempts := max(c.route.MaxAttempts, 1)
	opts := attempt.Options{MaxAttempts: maxAttempts, MaxSent: maxAttempts, MaxRefusals: maxRefusals, RetryAfter: randomRetryAfter()}
	if c.route.Kind == site.KindLookup && c.route.MaxAttempts > 1 {
		opts.HedgeAfter = time.Duration(hedgeFraction * float64(c.route.FirstByteTarget))
	}
	_, err := runner.Run(ctx, runner.Request{
		Request: attempt.Request{
			ID: c.req.ID, Class: c.route.Class(), Idempotent: c.route.Idempotent(), Deadline: c.deadline,
			Stream: stream, Opaque: true, EndWithCaller: stream,
			PromptTokens: c.req.Prompt.Input, MaxTokens: c.req.Prompt.Output,
		},
		Options: opts,
		Budget:  c.h.budgets.forService(c.service),
		Control: c.control,
	}, c, c, &c.delivery)
	if err == nil {
		err = c.delivery.close()
	}
	if err != nil {
		return verdict.From(err)
	}
	return nil
}

// fail refuses the request, or aborts the response if a part of it was sent or the caller
// has disconnected. It refunds the cost of a request that has not run.
func (c *call) fail(ctx context.Context, err *verdict.Error) {
	if err.Verdict == verdict.NotRun && c.cost > 0 && !c.delivery.hasStarted() {
		c.h.node.Refund(c.workspace.Name, c.cost)
	}
	switch {
	case ctx.Err() != nil, c.delivery.hasStarted():
		c.out.Abort()
	default:
		c.out.Refuse(err)
	}
}

// finish logs the end of a request and records it in the metrics.
func (c *call) finish(ctx context.Context, err *verdict.Error) {
	now := time.Now()
	attrs := []any{"request", c.req.ID, "took_ms", now.Sub(c.req.Arrived).Milliseconds()}
	var route ident.RouteName
	workspace := c.workspaceName()
	if c.route != nil {
		route = c.route.Name
		attrs = append(attrs, "route", route, "service", c.service, "config", c.config.Version, "signature", c.identity.Signature.String())
	}
	if c.workspace != nil {
		attrs = append(attrs, "workspace", workspace, "cost", c.cost)
	}
	attrs = append(attrs, "status", c.delivery.status(), "events", c.delivery.eventCount(), "first_ms", c.delivery.timeToFirstByte(c.req.Arrived).Milliseconds())
	attrs = append(attrs, c.attempts.attrs()...)
	if c.attempts.count() > 1 {
		attrs = append(attrs, "retry_budget", c.h.budgets.forService(c.service).Available())
	}
	outcome := "ok"
	if c.delivery.status() >= http.StatusInternalServerError {
		outcome = "endpoint-error" // the endpoint's own response, passed on
	}
	if err != nil {
		outcome = string(err.Code)
		attrs = append(attrs, "verdict", err.Verdict.String(), "retry_after_ms", err.RetryAfter.Milliseconds(), "cause", err.Cause.Error())
	}
	if ctx.Err() != nil {
		outcome = "caller-gone"
	}
	if err != nil && c.delivery.hasStarted() && c.route.Kind == site.KindStream {
		cause := c.cutBy(ctx, err)
		attrs = append(attrs, "cut_by", cause)
		c.h.metrics.recordCut(c.service, cause)
	}
	c.h.metrics.recordRequest(route, workspace, outcome, now.Sub(c.req.Arrived), c.delivery.timeToFirstByte(c.req.Arrived))
	c.h.log.Info("request: Done.", append(attrs, "outcome", outcome)...)
}
