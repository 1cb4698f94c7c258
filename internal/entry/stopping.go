package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/drain"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// stopRetryAfter is sent to callers whose request the stopping node can't finish: another node can
// take it at once.
const stopRetryAfter = 200 * time.Millisecond

// stop is the state of a server's planned stop.
type stop struct {
	plan       *atomic.Pointer[drain.Plan] // nil before BeginStop
	terminated chan struct{}
	terminate  func()
}

func newStop() stop {
	terminated := make(chan struct{})
	return stop{new(atomic.Pointer[drain.Plan]), terminated, sync.OnceFunc(func() { close(terminated) })}
}

// BeginStop makes the readiness check fail, and the server refuse requests that may not end by the
// end of the plan. Chat completions are accepted until the plan's Close, as they are handed over.
func (s *Server) BeginStop(plan drain.Plan) {
	s.stop.plan.Store(&plan)
	s.MarkUnready()
}

// TerminateRequests ends the running requests to plain services, as the node exits. Their callers
// get an error whose verdict states whether the request may have run.
func (s *Server) TerminateRequests() { s.stop.terminate() }

// checkStop sets how a request is affected by the stop of the node, and returns an error with
// verdict NotRun if the node stops before the request would end.
func (s *Server) checkStop(req *Request) error {
	req.Terminated = s.stop.terminated
	if req.Service.Kind == platformapi.KindEngine {
		if plan := s.stop.plan.Load(); plan != nil && !time.Now().Before(plan.Close) {
			return errStopping()
		}
		return nil
	}
	req.MayStart = func() *verdict.Error {
		if plan := s.stop.plan.Load(); plan != nil && !plan.MaySend(time.Now(), req.Deadline, req.Route.Idempotent) {
			return errStopping()
		}
		return nil
	}
	if err := req.MayStart(); err != nil {
		return err
	}
	return nil
}

func errStopping() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeStopping, "this node stops before the request would end").After(stopRetryAfter)
}

// announceClose announces that the connection is closed after the response if the node is stopping.
func (s *Server) announceClose(w http.ResponseWriter) {
	if s.stop.plan.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}
