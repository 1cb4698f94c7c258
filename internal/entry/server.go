package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Size limits of a request, in bytes.
const (
	DefaultMaxBodyBytes = 2 << 20 // a handover sends the body and the answer in one call of at most 4 MiB
	MaxHeaderBytes      = 64 << 10
	// MaxReadHeaderBytes is the limit at which net/http stops reading and responds
	// with status 431 without a problem document.
	MaxReadHeaderBytes = 8 * MaxHeaderBytes
)

// abandonTimeout is how long an answer without a reader continues before it is cancelled.
const abandonTimeout = time.Minute

// Options are the settings of a Server.
type Options struct {
	Node        ident.NodeID
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	// MaxBodyBytes is the maximum size of a request's body. Default: 2 MiB.
	MaxBodyBytes int64
	// Bodies limits the memory for the bodies of requests. Default: no limit.
	Bodies *bytebudget.Budget
	// Ready reports whether the node has the list of endpoints. Default: always.
	Ready func() bool
	// ConfigFresh reports whether the current configuration is recent enough to serve
	// requests. It isn't after the node was paused, until the node has caught up with
	// later revisions. Default: always.
	ConfigFresh func() bool
}

// ConfigSource provides the current configuration.
type ConfigSource interface {
	// Current returns the configuration in force, or nil before the first one.
	Current() *config.Config
}

// Request is a caller's request with its workspace, route and service.
type Request struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Route     config.Route
	Service   config.Service
	Arrived   time.Time
	Deadline  time.Time
	// DispatchBy is the time until which the ledger's claim allows the request to be
	// dispatched; zero means no limit.
	DispatchBy time.Time
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// MayStart returns an error with verdict NotRun if the node stops before the request would
	// end; nil if nothing has to be checked.
	MayStart func() *verdict.Error
	// Terminated is closed when the node exits and the request has to end; nil if it never has.
	Terminated <-chan struct{}
}

// Gate is the admission control.
type Gate interface {
	// Acquire admits a request or returns a *verdict.Error with the verdict NotRun. The
	// caller calls release when an admitted request has ended.
	Acquire(ctx context.Context, r *Request) (release func(), err error)
}

// Sender runs accepted requests on endpoints.
type Sender interface {
	// Chat generates the remaining tokens of the chat completion's answer, starting at
	// its current length, and closes it.
	Chat(ctx context.Context, chat *ChatCompletion)
	// Forward sends a request to a plain service and calls handle at most once with
	// the response; the body is valid until handle returns. Without a response,
	// Forward returns a *verdict.Error, otherwise the error of handle.
	Forward(ctx context.Context, r *Request, in *http.Request, body []byte, handle func(*http.Response) error) error
}

// Ledger runs non-idempotent requests at most once per idempotency key.
type Ledger interface {
	// Do calls run if it can claim the request's key, and records the response. For a
	// repeated request, it returns the recorded response.
	Do(ctx context.Context, r *Request, in *http.Request, body []byte, run func(context.Context) (*RecordedResponse, error)) (*RecordedResponse, error)
}

// Server is the HTTP handler of callers' requests.
type Server struct {
	opts    Options
	log     *slog.Logger
	config  ConfigSource
	gate    Gate
	sender  Sender
	ledger  Ledger
	answers *answer.Table
	peers   Peers
	metrics *Metrics
	chats   *chatTable
	// recorded is the memory for recorded responses.
	recorded *bytebudget.Budget

	serial  atomic.Uint64 // of the last request ID
	unready atomic.Bool   // set by MarkUnready
	stop    stop
}

// Dependencies are the services that a Server uses.
type Dependencies struct {
	Log     *slog.Logger
	Config  ConfigSource
	Gate    Gate
	Sender  Sender
	Ledger  Ledger
	Answers *answer.Table
	Peers   Peers
	Metrics *Metrics
}

// New returns a Server. Zero values of opts are replaced by the defaults.
func New(opts Options, deps Dependencies) *Server {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if opts.Bodies == nil {
		opts.Bodies = bytebudget.New(0)
	}
	if opts.Ready == nil {
		opts.Ready = func() bool { return true }
	}
	if opts.ConfigFresh == nil {
		opts.ConfigFresh = func() bool { return true }
	}
	return &Server{
		opts: opts, log: deps.Log, config: deps.Config, gate: deps.Gate, sender: deps.Sender,
		ledger: deps.Ledger, answers: deps.Answers, peers: deps.Peers, metrics: deps.Metrics,
		chats: newChatTable(), recorded: bytebudget.New(recordedMemoryBytes), stop: newStop(),
	}
}

// Paths on the callers' listener that the node itself serves.
const (
	PathAnswers = "/v1/answers/"
	PathReady   = "/readyz"
	PathHealth  = "/healthz"
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == PathHealth:
		w.WriteHeader(http.StatusNoContent)
	case r.URL.Path == PathReady:
		s.serveReady(w)
	case strings.HasPrefix(r.URL.Path, PathAnswers):
		s.serveAnswer(w, r)
	default:
		s.serveRoute(w, r)
	}
}

// MarkUnready makes the readiness check fail, so that load balancers stop sending
// requests to this node.
func (s *Server) MarkUnready() {
	s.unready.Store(true)
}

func (s *Server) serveReady(w http.ResponseWriter) {
	if s.unready.Load() || s.config.Current() == nil || !s.opts.Ready() || !s.opts.ConfigFresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveRoute(w http.ResponseWriter, r *http.Request) {
	s.announceClose(w)
	req, err := s.identify(r)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	w.Header().Set("X-Request-Id", string(req.ID))
	body, taken, err := s.readBody(w, r)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	defer s.opts.Bodies.Return(taken)
	s.announceClose(w)
	if err := s.checkStop(req); err != nil { // the body may have taken long
		s.problem(w, req, err)
		return
	}
	if req.Service.Kind == platformapi.KindEngine {
		s.serveChat(w, r, req, body)
		return
	}
	s.servePlain(w, r, req, body)
}

// identify determines the workspace, route and service of a request. With an error, it
// also returns the request, with the fields set that were determined before the error.
func (s *Server) identify(r *http.Request) (*Request, error) {
	now := time.Now()
	req := &Request{ID: s.newRequestID(), Arrived: now, Key: r.Header.Get("Idempotency-Key")}
	if err := checkHeader(r); err != nil {
		return req, err
	}
	cfg := s.config.Current()
	if cfg == nil {
		return req, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration is in force yet").After(time.Second)
	}
	if !s.opts.ConfigFresh() {
		return req, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node was paused and is still catching up with the configuration").After(time.Second)
	}
	w, ok := cfg.WorkspaceByKey(bearer(r))
	if !ok {
		return req, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the workspace key is unknown")
	}
	req.Workspace = w.Name
	route, ok := cfg.Match(r.Method, r.URL.Path)
	if !ok {
		return req, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route matches %s %q", r.Method, r.URL.Path)
	}
	req.Route = route
	req.Service = cfg.Services[route.Service]
	req.Deadline = now.Add(route.Deadline)
	if route.RequireKey && req.Key == "" {
		return req, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "route %q requires the Idempotency-Key header", route.Name)
	}
	if err := s.checkStop(req); err != nil {
		return req, err
	}
	return req, nil
}

// bearer returns the workspace key of a request, from the Authorization or X-Api-Key
// header.
func bearer(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	return r.Header.Get("X-Api-Key")
}
