package entry

import (
	"context"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/httpabort"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	// maxRecordedBytes is the maximum size of a response body that the ledger records.
	maxRecordedBytes = 4 << 20
	// recordedMemoryBytes is the memory for all of them that are being read or sent.
	recordedMemoryBytes = 64 << 20
)

// RecordedResponse is the response to a non-idempotent request as stored in the ledger.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// servePlain handles a request to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request, req *Request, body []byte) {
	// The outcome of a request with a key is recorded for its repeats, also if the caller leaves.
	parent := r.Context()
	if !req.Route.Idempotent && req.Key != "" {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, req.Deadline)
	defer cancel()
	release, err := s.gate.Acquire(ctx, req)
	if err != nil {
		s.problem(w, req, err)
		return
	}
	defer release()
	s.metrics.accepted(req)
	if req.Route.Idempotent {
		err = s.forward(ctx, w, r, req, body)
	} else {
		err = s.forwardOnce(ctx, w, r, req, body)
	}
	s.metrics.finished(req, asVerdict(err))
}

func asVerdict(err error) *verdict.Error {
	if err == nil {
		return nil
	}
	return verdict.From(err)
}

// forward streams the endpoint's response to the caller.
func (s *Server) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, req *Request, body []byte) error {
	headerSent := false
	err := s.sender.Forward(ctx, req, r, body, func(resp *http.Response) error {
		headerSent = true
		copyHeader(w.Header(), resp.Header)
		w.WriteHeader(resp.StatusCode)
		_, err := io.Copy(w, resp.Body)
		return err
	})
	switch {
	case err == nil:
		return nil
	case headerSent:
		httpabort.Abort(w, r) // the header has been sent
		return err
	default:
		writeProblem(w, verdict.From(err))
		return err
	}
}

// forwardOnce runs a non-idempotent request at most once, if it has an idempotency key,
// and sends the recorded response.
func (s *Server) forwardOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, req *Request, body []byte) error {
	var taken int64 // of the memory for recorded responses
	defer func() { s.recorded.Return(taken) }()
	run := func(ctx context.Context) (*RecordedResponse, error) {
		rec, n, err := s.forwardAndRecord(ctx, r, req, body)
		taken += n
		return rec, err
	}
	var rec *RecordedResponse
	var err error
	if req.Key == "" {
		rec, err = run(ctx)
	} else {
		rec, err = s.ledger.Do(ctx, req, r, body, run)
	}
	if err != nil {
		writeProblem(w, verdict.From(err))
		return err
	}
	copyHeader(w.Header(), rec.Header)
	w.WriteHeader(rec.Status)
	_, _ = w.Write(rec.Body)
	return nil
}

// forwardAndRecord forwards a request and reads the complete response. It also returns the memory
// that was taken for the body, which the caller has to return.
func (s *Server) forwardAndRecord(ctx context.Context, r *http.Request, req *Request, body []byte) (*RecordedResponse, int64, error) {
	var rec *RecordedResponse
	var taken int64
	err := s.sender.Forward(ctx, req, r, body, func(resp *http.Response) error {
		raw, n, err := s.recorded.ReadAll(resp.Body, resp.ContentLength, maxRecordedBytes)
		taken += n
		if err != nil {
			return recordError(err)
		}
		rec = &RecordedResponse{Status: resp.StatusCode, Header: make(http.Header), Body: raw}
		copyHeader(rec.Header, resp.Header)
		return nil
	})
	return rec, taken, err
}

// recordError returns the error of a response that could not be read completely.
func recordError(err error) error {
	switch {
	case errors.Is(err, bytebudget.ErrTooLarge):
		return verdict.New(verdict.Ran, verdict.CodeUpstream, "the endpoint's response exceeds %d bytes", maxRecordedBytes)
	case errors.Is(err, bytebudget.ErrExhausted):
		return verdict.Wrap(verdict.Ran, verdict.CodeUpstream, err)
	default:
		return verdict.Wrap(verdict.MayHaveRun, verdict.CodeUnconfirmed, errors.Wrap(err, "the endpoint's response was truncated"))
	}
}

// hopByHop lists the headers that are not forwarded (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization",
}

// copyHeader copies the end-to-end headers of src to dst. It leaves out hopByHop and the
// headers named by Connection.
func copyHeader(dst, src http.Header) {
	drop := make(map[string]bool, len(hopByHop))
	for _, name := range hopByHop {
		drop[name] = true
	}
	for _, value := range src["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			drop[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range src {
		if !drop[name] {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// OutgoingHeader returns the headers of a caller's request that are forwarded to an
// endpoint: the end-to-end headers without the workspace key.
func OutgoingHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	copyHeader(out, in)
	out.Del("Authorization")
	out.Del("X-Api-Key")
	return out
}
