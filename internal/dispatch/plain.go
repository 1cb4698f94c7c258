package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// maxBufferedBytes is how much of a response is read before any of it is sent to the
// caller. A response that is truncated within these bytes can still be retried.
const maxBufferedBytes = 64 << 10

// plainDispatch runs one request to a plain service.
type plainDispatch struct {
	picker picker
	in     *http.Request
	body   []byte
	handle func(*http.Response) error
	err    error // returned by handle
}

var (
	_ runner.Dialer = (*plainDispatch)(nil)
	_ runner.Sink   = (*plainDispatch)(nil)
)

// Open sends an attempt and reads up to maxBufferedBytes of its response.
func (p *plainDispatch) Open(ctx context.Context, call runner.Call) (runner.Stream, error) {
	guard := newStallGuard(ctx, p.attemptTimeout())
	stream, err := p.roundTrip(guard.ctx, call)
	if err != nil {
		err = guard.describeStall(err)
		guard.stop()
		return nil, err
	}
	stream.guard = guard
	return stream, nil
}

// attemptTimeout returns the timeout of an attempt until the beginning of its response has
// been read. A request that can't be retried has until its deadline.
func (p *plainDispatch) attemptTimeout() time.Duration {
	if !p.picker.request.Route.Idempotent {
		return time.Until(p.picker.request.Deadline)
	}
	return firstByteTimeout(p.picker.request.Deadline)
}

func (p *plainDispatch) roundTrip(ctx context.Context, call runner.Call) (*plainStream, error) {
	url := "http://" + call.Choice.Address + p.in.URL.RequestURI()
	req, err := http.NewRequestWithContext(ctx, p.in.Method, url, io.NopCloser(bytes.NewReader(p.body)))
	if err != nil {
		return nil, verdict.Wrap(verdict.NotRun, verdict.CodeBadRequest, err)
	}
	req.ContentLength = int64(len(p.body))
	req.Header = entry.OutgoingHeader(p.in.Header)
	m := p.picker.meta(call.Dispatch.Attempt)
	m.Apply(req.Header, time.Now())
	resp, err := p.picker.sender.client.Do(ctx, req, m)
	if err != nil {
		return nil, err
	}
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err != nil {
		_ = resp.Body.Close()
		return nil, verdict.Wrap(verdict.MayHaveRun, verdict.CodeUpstream, errors.Wrapf(err, "response of %s was truncated", call.Choice.Endpoint))
	}
	p.picker.size.Store(max(int64(len(head)), resp.ContentLength))
	echo := attempt.Echo{Request: p.picker.request.ID, Attempt: call.Dispatch.Attempt}
	if id := resp.Header.Get(endpoint.HeaderRequestID); id != "" {
		echo.Request = ident.RequestID(id)
	}
	resp.Body = &replayBody{Reader: io.MultiReader(bytes.NewReader(head), resp.Body), Closer: resp.Body}
	return &plainStream{resp: resp, echo: echo}, nil
}

// replayBody is a response body that returns the bytes read in advance first.
type replayBody struct {
	io.Reader
	io.Closer
}

// Tokens is never called, as plain services respond with one response.
func (p *plainDispatch) Tokens(int, []string) error { return nil }

// Response passes the response to the handle function of the request.
func (p *plainDispatch) Response(_ int, body any) error {
	resp, ok := body.(*http.Response)
	if !ok {
		return errors.Newf("body of a plain response is a %T", body)
	}
	p.err = p.handle(resp)
	return p.err
}

// plainStream is a runner.Stream with one frame, the response.
type plainStream struct {
	resp  *http.Response
	echo  attempt.Echo
	guard *stallGuard
	sent  bool
}

// Recv returns the response, and after that io.EOF.
func (s *plainStream) Recv() (runner.Frame, error) {
	if s.sent {
		return runner.Frame{}, io.EOF
	}
	s.sent = true
	s.guard.disarm()
	return runner.Frame{Response: &attempt.Response{Echo: s.echo, Status: s.resp.StatusCode}, Body: s.resp}, nil
}

// Close closes the response's body.
func (s *plainStream) Close() error {
	s.guard.stop()
	return s.resp.Body.Close()
}
