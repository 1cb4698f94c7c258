package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// headerLastEventID is the request header that resumes a stream after an event.
const headerLastEventID = "Last-Event-ID"

// answersPath is the path prefix, followed by a request ID, that serves the rest of a response.
const answersPath = "/v1/answers/"

// client sends requests as a caller would: it switches to another entry if one is
// unreachable, and resends a request if its connection breaks without a response.
type client struct {
	opts Options
	http *http.Client
}

// call is a request in progress.
type call struct {
	*client
	a     arrival
	start time.Time // planned arrival
	entry int       // index of the entry in use
	res   result
}

// do sends one request, including retries, and returns its result.
func (c *client) do(ctx context.Context, a arrival, start time.Time) result {
	call := &call{client: c, a: a, start: start, entry: a.number % len(c.opts.Entries)}
	call.res.class = a.class
	call.run(ctx)
	call.res.total = time.Since(start)
	return call.res
}

func (c *call) run(ctx context.Context) {
	for try := 0; try < c.opts.Retries; try++ {
		if try > 0 && !c.waitForRetry(ctx) {
			return
		}
		if c.attempt(ctx) {
			return
		}
	}
}

// attempt sends the request once and reads the response. It returns false if the
// request has to be sent again.
func (c *call) attempt(ctx context.Context) bool {
	req, err := c.newRequest(ctx)
	if err != nil {
		c.res.kind = incomplete
		return true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.recordNoResponse(err)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	c.res.firstByte = time.Since(c.start)
	if resp.StatusCode/100 != 2 {
		c.res.kind, c.res.status = refused, resp.StatusCode
		c.res.verdict = resp.Header.Get(verdict.Header)
		return true
	}
	if c.a.chat != nil {
		c.readStream(ctx, resp)
		return true
	}
	return c.readPlain(resp)
}

// recordNoResponse records an attempt that got no response.
func (c *call) recordNoResponse(err error) {
	if isDialError(err) && c.res.resent == 0 {
		c.res.kind = unreachable
		return
	}
	c.res.kind = incomplete
	c.res.brokenConns++
	c.res.resent++
}

// waitForRetry switches to the next entry and waits for RetryPause. It returns
// false if ctx ends.
func (c *call) waitForRetry(ctx context.Context) bool {
	c.entry = (c.entry + 1) % len(c.opts.Entries)
	return sleep(ctx, c.opts.RetryPause)
}

func (c *call) newRequest(ctx context.Context) (*http.Request, error) {
	method, path, body := http.MethodPost, c.opts.Paths.path(c.a.class), []byte(c.a.orderBody)
	switch {
	case c.a.chat != nil:
		b, err := json.Marshal(c.a.chat)
		if err != nil {
			return nil, err
		}
		body = b
	case c.a.itemID != "":
		method, path = http.MethodGet, path+c.a.itemID
	}
	req, err := http.NewRequestWithContext(ctx, method, c.opts.Entries[c.entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // otherwise net/http resends a request with an Idempotency-Key, which the counts would miss
	req.Header.Set("Authorization", "Bearer "+c.a.key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.a.idempotencyKey != "" {
		req.Header.Set(endpoint.HeaderIdemKey, c.a.idempotencyKey)
	}
	return req, nil
}

// readStream reads a streamed response. If the connection breaks, it resumes from other entries.
func (c *call) readStream(ctx context.Context, resp *http.Response) {
	got := newCompletion()
	got.requestID = resp.Header.Get(endpoint.HeaderRequestID)
	last := time.Time{}
	c.readEvents(got, resp.Body, &last)
	for try := 0; !got.complete && !got.failed && try < c.opts.Retries; try++ {
		if got.requestID == "" || !c.waitForRetry(ctx) {
			break
		}
		c.resume(ctx, got, &last)
	}
	c.res.duplicate = got.duplicate
	switch {
	case got.foreign:
		c.res.kind = wrong
	case !got.complete:
		c.res.kind = incomplete
	case c.opts.Verify && !got.matches(c.a.chat):
		c.res.kind = wrong
	default:
		c.res.kind = complete
	}
}

// resume requests the rest of a response from an entry and reads it.
func (c *call) resume(ctx context.Context, got *completion, last *time.Time) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.opts.Entries[c.entry]+answersPath+got.requestID, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.a.key)
	if got.lastID != "" {
		req.Header.Set(headerLastEventID, got.lastID)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return
	}
	c.res.resumed++
	c.readEvents(got, resp.Body, last)
}

// readEvents reads events until the response ends or the connection breaks.
func (c *call) readEvents(got *completion, body io.Reader, last *time.Time) {
	for events := newEventReader(body); !got.complete && !got.failed; {
		e, err := events.next()
		if err != nil {
			c.res.brokenConns++
			return
		}
		if !got.addEvent(e) {
			continue
		}
		now := time.Now()
		if last.IsZero() {
			c.res.firstByte = now.Sub(c.start)
		} else {
			c.res.gaps = append(c.res.gaps, now.Sub(*last))
		}
		*last = now
	}
}

// readPlain reads the response to an order or a lookup. It returns false if the connection broke.
func (c *call) readPlain(resp *http.Response) bool {
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.recordNoResponse(err)
		return false
	case c.opts.Verify && !c.plainMatches(body):
		c.res.kind = wrong
	default:
		c.res.kind = complete
	}
	return true
}

// plainMatches reports whether the body is the expected response of a stand-in service.
func (c *call) plainMatches(body []byte) bool {
	if c.a.itemID != "" {
		var item service.Item
		return json.Unmarshal(body, &item) == nil && item == service.CatalogueItem(c.a.itemID)
	}
	var order service.Order
	digest := fnv.New64a()
	_, _ = io.Copy(digest, strings.NewReader(c.a.orderBody))
	return json.Unmarshal(body, &order) == nil && order.Key == c.a.idempotencyKey && order.Body == fmt.Sprintf("%016x", digest.Sum64())
}

// isDialError reports whether err occurred before a connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
