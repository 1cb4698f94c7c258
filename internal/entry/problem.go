package entry

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/api/gen/callers"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:   http.StatusBadRequest,
	verdict.CodeUnauthorized: http.StatusUnauthorized,
	verdict.CodeNotFound:     http.StatusNotFound,
	verdict.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.CodeHeader:       http.StatusRequestHeaderFieldsTooLarge,
	verdict.CodeConflict:     http.StatusUnprocessableEntity,
	verdict.CodeOverloaded:   http.StatusServiceUnavailable,
	verdict.CodeLimited:      http.StatusTooManyRequests,
	verdict.CodeDeadline:     http.StatusGatewayTimeout,
	verdict.CodeUnavailable:  http.StatusServiceUnavailable,
	verdict.CodeUpstream:     http.StatusBadGateway,
	verdict.CodeStopping:     http.StatusServiceUnavailable,
	verdict.CodeStore:        http.StatusServiceUnavailable,
	verdict.CodeUnconfirmed:  http.StatusConflict,
}

var titleByCode = map[verdict.Code]string{
	verdict.CodeBadRequest:   "The request is malformed.",
	verdict.CodeUnauthorized: "The workspace key is not accepted.",
	verdict.CodeNotFound:     "There is nothing here.",
	verdict.CodeTooLarge:     "The request is too large.",
	verdict.CodeHeader:       "The header of the request is too large.",
	verdict.CodeConflict:     "The idempotency key belongs to another request.",
	verdict.CodeOverloaded:   "The service is overloaded.",
	verdict.CodeLimited:      "The workspace is over its limit.",
	verdict.CodeDeadline:     "The request can't be finished in time.",
	verdict.CodeUnavailable:  "No endpoint can take the request.",
	verdict.CodeUpstream:     "The endpoint failed.",
	verdict.CodeStopping:     "This entry host is stopping.",
	verdict.CodeStore:        "The order can't be recorded now.",
	verdict.CodeUnconfirmed:  "It is not known whether the request ran.",
}

// problemOf returns the problem document (RFC 9457) of an error.
func problemOf(e *verdict.Error) *callers.Problem {
	status, ok := statusByCode[e.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	p := &callers.Problem{
		Title:   titleByCode[e.Code],
		Status:  status,
		Code:    string(e.Code),
		Verdict: callers.ProblemVerdict(e.Verdict.String()),
	}
	if e.Cause != nil {
		p.Detail.SetTo(e.Cause.Error())
	}
	if e.RetryAfter > 0 {
		p.RetryAfterMs.SetTo(e.RetryAfter.Milliseconds())
	}
	return p
}

// problem responds with the problem document of err and counts the request as refused.
func (s *Server) problem(w http.ResponseWriter, req *Request, err error) {
	e := verdict.From(err)
	s.metrics.refused(req, e)
	writeProblem(w, e)
}

func writeProblem(w http.ResponseWriter, e *verdict.Error) {
	p := problemOf(e)
	raw, err := p.MarshalJSON()
	if err != nil {
		http.Error(w, e.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(verdict.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(e.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(raw)
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// checkHeader returns an error if method, URI and headers exceed MaxHeaderBytes.
func checkHeader(r *http.Request) error {
	n := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	if n > MaxHeaderBytes {
		return verdict.New(verdict.NotRun, verdict.CodeHeader, "the header exceeds %d bytes", MaxHeaderBytes)
	}
	return nil
}

// retryAfterNoMemory is sent to callers whose request's body could not be read for lack of memory: other
// requests end, or are cut off, within that time.
const retryAfterNoMemory = time.Second

// readBody reads a request's body. It returns the memory taken for it, which the caller returns, and an
// error if the body exceeds MaxBodyBytes or memory is exhausted.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (body []byte, taken int64, err error) {
	body, taken, err = s.opts.Bodies.ReadAll(http.MaxBytesReader(w, r.Body, s.opts.MaxBodyBytes), r.ContentLength, s.opts.MaxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, taken, nil
	case errors.Is(err, bytebudget.ErrTooLarge), errors.As(err, &tooLarge):
		return nil, 0, verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body exceeds %d bytes", s.opts.MaxBodyBytes)
	case errors.Is(err, bytebudget.ErrExhausted):
		return nil, 0, verdict.Wrap(verdict.NotRun, verdict.CodeOverloaded, err).After(retryAfterNoMemory)
	default:
		return nil, 0, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, errors.Wrap(err, "read the body"))
	}
}
