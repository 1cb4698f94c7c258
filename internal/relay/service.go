package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	relayv1 "github.com/jujubeshed/jujubeshed/api/gen/relay/v1"
	"github.com/jujubeshed/jujubeshed/api/gen/relay/v1/relayv1connect"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
	"github.com/jujubeshed/jujubeshed/internal/walltime"
)

const (
	// maxRelayed is the number of requests that a node relays for others at once.
	maxRelayed = 128
	// maxRequestBytes and maxResponseBytes bound the messages of a call: larger requests are
	// not relayed. A response has a body of up to 8 MiB.
	maxRequestBytes  = 1 << 20
	maxResponseBytes = 9 << 20
	headBytes        = 64 << 10 // of a request, beside its body
	// drainCheckInterval is how often a stopping node checks for requests that it relays.
	drainCheckInterval = 20 * time.Millisecond
)

// Service sends requests to endpoints for other nodes.
type Service struct {
	transport *Transport
	bodies    *bytebudget.Budget
	wallTime  func() time.Time
	relayed   prometheus.Counter
	refused   prometheus.Counter

	mu struct {
		sync.Mutex
		active   int
		draining bool
	}
}

var _ relayv1connect.RelayServiceHandler = (*Service)(nil)

// NewService returns a service that sends over the node's own paths, and registers its metrics.
// The bodies of requests are taken from the given budget.
func NewService(t *Transport, bodies *bytebudget.Budget, wallTime func() time.Time, reg prometheus.Registerer) *Service {
	s := &Service{
		transport: t, bodies: bodies, wallTime: wallTime,
		relayed: prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_served_total", Help: "Requests sent to endpoints for other nodes."}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{Name: "relay_refused_total", Help: "Requests of other nodes that were not sent since this node has too many, or is stopping."}),
	}
	reg.MustRegister(s.relayed, s.refused)
	return s
}

// Handler returns the URL path and the HTTP handler of the service.
func (s *Service) Handler() (string, http.Handler) {
	return relayv1connect.NewRelayServiceHandler(s, connect.WithReadMaxBytes(maxRequestBytes+headBytes))
}

// acquire reports whether one more request with a body of some bytes may be relayed. One that
// continues a run that was stopped is relayed if there is memory for its body.
func (s *Service) acquire(bytes int64, continues bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !continues && (s.mu.draining || s.mu.active >= maxRelayed) || !s.bodies.Take(bytes) {
		s.refused.Inc()
		return false
	}
	s.mu.active++
	return true
}

func (s *Service) release(bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mu.active--
	s.bodies.Return(bytes)
}

// Drain implements kernel.Drainer: it relays no new requests and waits for the running ones.
func (s *Service) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.mu.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for {
		s.mu.Lock()
		active := s.mu.active
		s.mu.Unlock()
		if active == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d relayed requests are still running", active)
		case <-ticker.C:
		}
	}
}

// mayStart returns errBusy if this node stops before a request would end, unless it continues a run
// that was stopped.
func (s *Service) mayStart(a serve.Attempt) *verdict.Error {
	if check := s.transport.opts.MayStart; check != nil && a.Import == nil && check(a.Deadline) != nil {
		s.refused.Inc()
		return errBusy
	}
	return nil
}

var errBusy = verdict.New(verdict.NotRun, verdict.CodeNotSent, "the node relays no more requests now")

// Send implements relayv1connect.RelayServiceHandler.
func (s *Service) Send(ctx context.Context, req *connect.Request[relayv1.SendRequest], out *connect.ServerStream[relayv1.SendResponse]) error {
	a := decodeAttempt(req.Msg, time.Now(), walltime.SinceBoot(), s.wallTime())
	bytes := int64(len(req.Msg.Body))
	if s.mayStart(a) != nil || !s.acquire(bytes, a.Import != nil) {
		msg := encodeError(errBusy)
		msg.PathsLost = true // another node may have room
		return out.Send(&relayv1.SendResponse{Error: msg})
	}
	defer s.release(bytes)
	if a.SpendsShare {
		release, err := s.transport.opts.Reserve(a.Endpoint)
		if err != nil {
			msg := encodeError(err)
			msg.PathsLost = true // another node may have a share left
			return out.Send(&relayv1.SendResponse{Error: msg})
		}
		defer release()
	}
	s.relayed.Inc()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	a.MayStart = func() *verdict.Error { return s.mayStart(a) }
	answer, err := s.transport.sendDirect(ctx, a)
	if err != nil {
		msg := encodeError(err)
		msg.PathsLost = s.transport.pathsLost(a.Endpoint.Service) || errors.Is(err, errBusy)
		msg.PathsDoubtful = notConnected(err) && s.transport.pathsDoubtful(a.Endpoint.Service)
		return out.Send(&relayv1.SendResponse{Error: msg, Statements: encodeStatements(*a.Statements)})
	}
	if answer.Release != nil {
		defer answer.Release()
	}
	if answer.Events != nil {
		defer answer.Events.Close()
	}
	if err := out.Send(&relayv1.SendResponse{Head: encodeHead(answer), Statements: encodeStatements(*a.Statements)}); err != nil || answer.Events == nil {
		return err
	}
	return copyEvents(answer.Events, out)
}

// copyEvents passes the events of a stream on until its end.
func copyEvents(events serve.Events, out *connect.ServerStream[relayv1.SendResponse]) error {
	for {
		ev, err := events.Next()
		switch {
		case err == nil:
			if err := out.Send(&relayv1.SendResponse{Event: ev.Raw, Number: int32(ev.ID)}); err != nil {
				return err
			}
			continue
		case errors.Is(err, io.EOF):
			return out.Send(&relayv1.SendResponse{End: &relayv1.End{}})
		case errors.Is(err, serve.ErrUnmarkedEnd):
			return out.Send(&relayv1.SendResponse{End: &relayv1.End{Unmarked: true}})
		default:
			return out.Send(&relayv1.SendResponse{End: &relayv1.End{Error: encodeError(err)}})
		}
	}
}

// Migrate implements relayv1connect.RelayServiceHandler.
func (s *Service) Migrate(ctx context.Context, req *connect.Request[relayv1.MigrateRequest]) (*connect.Response[relayv1.MigrateResponse], error) {
	left := migrationTimeLeft(req.Msg, s.wallTime())
	if left <= 0 {
		late := verdict.New(verdict.NotRun, verdict.CodeNotSent, "call arrived %s after its deadline", -left)
		return connect.NewResponse(&relayv1.MigrateResponse{Error: encodeError(late)}), nil
	}
	if !s.acquire(0, false) {
		return connect.NewResponse(&relayv1.MigrateResponse{Error: encodeError(errBusy)}), nil
	}
	defer s.release(0)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	kvCopy, err := s.transport.Transport.Migrate(ctx, decodeMigration(req.Msg))
	return connect.NewResponse(&relayv1.MigrateResponse{Copy: encodeKVCopy(kvCopy), Error: encodeError(err)}), nil
}

// Probe implements relayv1connect.RelayServiceHandler.
func (s *Service) Probe(ctx context.Context, req *connect.Request[relayv1.ProbeRequest]) (*connect.Response[relayv1.ProbeResponse], error) {
	r := s.transport.Transport.Probe(ctx, decodeEndpoint(req.Msg.Endpoint))
	return connect.NewResponse(&relayv1.ProbeResponse{Connected: r == serve.Connected, Refused: r == serve.Refused}), nil
}
