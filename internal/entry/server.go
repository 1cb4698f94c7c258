package entry

import (
	"context"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Limits of a request, in bytes.
const (
	DefaultMaxBodyBytes = 2 << 20 // a hand-over carries the body and the answer in one call of 4 MiB at most
	MaxHeaderBytes      = 64 << 10
	// MaxReadHeaderBytes is where the HTTP library stops to read; it then answers
	// 431 without a problem document.
	MaxReadHeaderBytes = 8 * MaxHeaderBytes
)

// abandonGrace is how long an answer goes on without a reader.
const abandonTimeout = time.Minute

// Options are the settings of a Server.
type Options struct {
	Node        ident.NodeID
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	// MaxBodyBytes bounds a request's body. Default: 2 MiB.
	MaxBodyBytes int64
	// Ready tells whether the node knows its endpoints. Default: always.
	Ready func() bool
	// Fresh tells whether the configuration in force may serve: it may not on a node
	// that was paused and has not caught up. Default: always.
	ConfigFresh func() bool
}

// ConfigSource gives the configuration in force; nil before the first one.
type ConfigSource interface {
	Current() *config.Config
}

// Request is an accepted request on its way to an endpoint.
type Request struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Route     config.Route
	Service   config.Service
	Arrived   time.Time
	Deadline  time.Time
	// DispatchBy bounds the dispatch of a request that the ledger granted; zero for
	// none.
	DispatchBy time.Time
	// Key is the caller's Idempotency-Key; empty where there is none.
	Key string
}

// Gate admits requests. The error is a *verdict.Error with verdict NotRun.
type Gate interface {
	Acquire(ctx context.Context, r *Request) (release func(), err error)
}

// Sender runs accepted requests on endpoints.
type Sender interface {
	// Chat produces the job's answer, from its present length on, and closes it.
	Chat(ctx context.Context, chat *ChatCompletion)
	// Forward sends a plain request and gives its response to take, once; take
	// reads all of the body that it wants. The error is a *verdict.Error where there
	// was no response, and else what take returned.
	Forward(ctx context.Context, r *Request, in *http.Request, body []byte, handle func(*http.Response) error) error
}

// Ledger runs a non-idempotent request at most once for its key.
type Ledger interface {
	Do(ctx context.Context, r *Request, in *http.Request, body []byte, run func(context.Context) (*RecordedResponse, error)) (*RecordedResponse, error)
}

// Server handles callers' requests.
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

	serial  atomic.Uint64
	unready atomic.Bool
}

// Parts are the services that a Server works with.
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

// New returns a server.
func New(opts Options, deps Dependencies) *Server {
	if opts.MaxBodyBytes == 0 {
		opts.MaxBodyBytes = DefaultMaxBodyBytes
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
		chats: newChatTable(),
	}
}

// Paths of the callers' listener that are not routes.
const (
	PathAnswers = "/v1/answers/"
	PathReady   = "/readyz"
	PathHealth  = "/healthz"
)

// ServeHTTP handles one request of a caller.
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

// Unready makes the readiness check fail, so that the balancer moves on.
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
	req, err := s.identify(r)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	w.Header().Set("X-Request-Id", string(req.ID))
	body, err := s.readBody(w, r)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	if req.Service.Kind == platformapi.KindEngine {
		s.serveChat(w, r, req, body)
		return
	}
	s.servePlain(w, r, req, body)
}

// identify matches a request to its workspace, route and service. The request
// is valid as far as it was identified, also with an error.
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
		return req, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node was paused and catches up").After(time.Second)
	}
	w, ok := cfg.WorkspaceByKey(bearer(r))
	if !ok {
		return req, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the workspace key is unknown")
	}
	req.Workspace = w.Name
	route, ok := cfg.Match(r.Method, r.URL.Path)
	if !ok {
		return req, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route takes %s %q", r.Method, r.URL.Path)
	}
	req.Route = route
	req.Service = cfg.Services[route.Service]
	req.Deadline = now.Add(route.Deadline)
	if route.RequireKey && req.Key == "" {
		return req, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "route %q requires the Idempotency-Key header", route.Name)
	}
	return req, nil
}

// bearer returns the workspace key of a request.
func bearer(r *http.Request) string {
	if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer "); ok {
		return key
	}
	return r.Header.Get("X-Api-Key")
}
