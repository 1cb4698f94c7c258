package endpoint

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/httpanswer"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/keepalive"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Timeouts and limits of the client.
const (
	dialTimeout         = 500 * time.Millisecond
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 90 * time.Second
	maxErrorBodyBytes   = 4 << 10 // bytes of an error response's body that are read
	maxHeadBytes        = 64 << 10
	// controlMemoryBytes is the memory for all responses to control calls that are being read.
	controlMemoryBytes = 64 << 20
	maxRetryAfter      = time.Minute
	// maxOrderDelay is how long the kernel goes on sending an order to an engine, also after the
	// process was stopped. It is shorter than the time for which the next holder of a lease waits
	// for the orders of the former one.
	maxOrderDelay = 3 * time.Second
)

// Client sends attempts to endpoints over HTTP.
type Client struct {
	transport httpanswer.Transport
	// orders sends the orders to engines, which must not arrive late.
	orders httpanswer.Transport
	// controlMemory limits the memory for responses to control calls.
	controlMemory *bytebudget.Budget
}

// NewClient returns a client with its own connection pool.
func NewClient() *Client {
	return NewClientWithDialer(keepalive.DiscardingDialFunc(dialTimeout))
}

// NewClientWithDialer returns a client that opens its connections with dial, except those for
// orders to engines.
func NewClientWithDialer(dial dialFunc) *Client {
	return &Client{
		transport: newTransport(dial),
		orders:    newTransport(keepalive.DialFunc(keepalive.DiscardingDialer(dialTimeout, maxOrderDelay))),

		controlMemory: bytebudget.New(controlMemoryBytes),
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func newTransport(dial dialFunc) httpanswer.Transport {
	return httpanswer.Transport{Base: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
	c.orders.CloseIdleConnections()
}

// Meta is the metadata of one attempt, sent to the endpoint as headers.
type Meta struct {
	Request   ident.RequestID
	Attempt   ident.AttemptID
	Workspace ident.Workspace
	Class     ident.Class
	Route     ident.RouteName
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
}

// Apply sets the headers of the attempt. The deadline is sent as the time left at
// now.
func (m Meta) Apply(h http.Header, now time.Time) {
	h.Set(HeaderRequestID, string(m.Request))
	h.Set(HeaderAttemptID, string(m.Attempt))
	h.Set(HeaderWorkspace, string(m.Workspace))
	h.Set(HeaderPriority, m.Class.String())
	h.Set(HeaderRoute, string(m.Route))
	if !m.Deadline.IsZero() {
		h.Set(HeaderDeadlineMS, strconv.FormatInt(m.Deadline.Sub(now).Milliseconds(), 10))
	}
}

// nonReplayableBody prevents net/http from sending a request again. It does so over
// a new connection if it considers the request idempotent, for which an
// Idempotency-Key header suffices, and if the body is absent or can be read again.
// A body of this type can't be read again.
type nonReplayableBody struct{ io.ReadCloser }

// Do sends one attempt and returns the response with its body unread. The request
// is never sent twice. Errors are of type *verdict.Error; a transport error is NotRun
// only if no connection was established. A response that refuses the attempt with an
// explicit not-run header is returned as an error too.
func (c *Client) Do(ctx context.Context, req *http.Request, m Meta) (*http.Response, error) {
	var connected, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(c.Reused)
	}}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		if req.Method != http.MethodGet && req.Method != http.MethodHead {
			req.Body = nonReplayableBody{http.NoBody}
		}
	} else {
		req.Body = nonReplayableBody{req.Body}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		v := verdict.MayHaveRun
		if !connected.Load() {
			v = verdict.NotRun
		}
		return nil, verdict.Wrap(v, verdict.CodeUpstream, errors.Wrapf(err, "attempt %s at %s", m.Attempt, req.URL.Host))
	}
	if err := c.checkResponse(resp, m, reused.Load()); err != nil {
		return nil, err
	}
	return resp, nil
}

// checkResponse returns an error if the response is an explicit not-run refusal or
// belongs to another attempt. On a reused connection, a refusal that doesn't name its attempt may
// be a late copy of one to an earlier attempt: it proves nothing.
func (c *Client) checkResponse(resp *http.Response, m Meta, reused bool) error {
	echo := resp.Header.Get(HeaderAttemptID)
	if echo != "" && echo != string(m.Attempt) {
		closeBody(resp.Body)
		return verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "endpoint %s responded to attempt %s instead of %s",
			resp.Request.URL.Host, echo, m.Attempt)
	}
	if verdict.Parse(resp.Header.Get(verdict.Header)) == verdict.NotRun && resp.StatusCode >= http.StatusBadRequest {
		defer closeBody(resp.Body)
		if echo == "" && reused {
			return verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "endpoint %s refused with status %d without naming attempt %s",
				resp.Request.URL.Host, resp.StatusCode, m.Attempt)
		}
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "endpoint %s refused with status %d: %s",
			resp.Request.URL.Host, resp.StatusCode, body).After(RetryAfter(resp.Header))
	}
	return nil
}

// RetryAfter returns the delay given in seconds by a Retry-After header, at most one
// minute. It returns zero if the header is missing or invalid.
func RetryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxRetryAfter)
}

func closeBody(b io.Closer) {
	_ = b.Close()
}
