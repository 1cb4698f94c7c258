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

// headerLastEventID asks for the rest of a stream.
const headerLastEventID = "Last-Event-ID"

// answersPath serves the rest of an answer by request ID.
const answersPath = "/v1/answers/"

// client sends requests as a caller would: to another entry where one can't be
// reached, and again where a connection broke without an answer.
type client struct {
	opts Options
	http *http.Client
}

// call is a request on its way.
type call struct {
	*client
	a     arrival
	start time.Time // planned arrival
	entry int       // index of the entry in use
	res   result
}

// do sends one request and follows it to its end.
func (c *client) do(ctx context.Context, a arrival, start time.Time) result {
	call := &call{client: c, a: a, start: start, entry: a.number % len(c.opts.Entries)}
	call.res.class = a.class
	call.run(ctx)
	call.res.total = time.Since(start)
	return call.res
}

func (c *call) run(ctx context.Context) {
	for try := 0; try < c.opts.Retries; try++ {
		if try > 0 && !c.pause(ctx) {
			return
		}
		if c.attempt(ctx) {
			return
		}
	}
}

// attempt sends the request once and reads what comes; it returns false where
// the request is to be sent again.
func (c *call) attempt(ctx context.Context) bool {
	req, err := c.request(ctx)
	if err != nil {
		c.res.kind = lost
		return true
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.unanswered(err)
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
		c.stream(ctx, resp)
		return true
	}
	return c.plain(resp)
}

// unanswered notes a request that got no answer.
func (c *call) unanswered(err error) {
	if neverSent(err) && c.res.resent == 0 {
		c.res.kind = unreachable
		return
	}
	c.res.kind = lost
	c.res.cuts++
	c.res.resent++
}

// pause turns to the next entry and waits before a retry.
func (c *call) pause(ctx context.Context) bool {
	c.entry = (c.entry + 1) % len(c.opts.Entries)
	return sleep(ctx, c.opts.RetryPause)
}

func (c *call) request(ctx context.Context) (*http.Request, error) {
	method, path, body := http.MethodPost, c.opts.Paths.path(c.a.class), []byte(c.a.order)
	switch {
	case c.a.chat != nil:
		b, err := json.Marshal(c.a.chat)
		if err != nil {
			return nil, err
		}
		body = b
	case c.a.item != "":
		method, path = http.MethodGet, path+c.a.item
	}
	req, err := http.NewRequestWithContext(ctx, method, c.opts.Entries[c.entry]+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // net/http would repeat a request with an Idempotency-Key unseen
	req.Header.Set("Authorization", "Bearer "+c.a.key)
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.a.idem != "" {
		req.Header.Set(endpoint.HeaderIdemKey, c.a.idem)
	}
	return req, nil
}

// stream reads an answer, from other entries where its connection breaks.
func (c *call) stream(ctx context.Context, resp *http.Response) {
	ans := newAnswer()
	ans.request = resp.Header.Get(endpoint.HeaderRequestID)
	last := time.Time{}
	c.read(ans, resp.Body, &last)
	for try := 0; !ans.whole && !ans.failed && try < c.opts.Retries; try++ {
		if ans.request == "" || !c.pause(ctx) {
			break
		}
		c.resume(ctx, ans, &last)
	}
	c.res.doubled = ans.doubled
	switch {
	case ans.crossed:
		c.res.kind = wrong
	case !ans.whole:
		c.res.kind = lost
	case c.opts.Verify && !ans.right(c.a.chat):
		c.res.kind = wrong
	default:
		c.res.kind = whole
	}
}

// resume asks an entry for the rest of an answer and reads it.
func (c *call) resume(ctx context.Context, ans *answer, last *time.Time) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.opts.Entries[c.entry]+answersPath+ans.request, nil)
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.a.key)
	if ans.lastID != "" {
		req.Header.Set(headerLastEventID, ans.lastID)
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
	c.read(ans, resp.Body, last)
}

// read takes events until the answer ends or the connection breaks.
func (c *call) read(ans *answer, body io.Reader, last *time.Time) {
	for events := newEventReader(body); !ans.whole && !ans.failed; {
		e, err := events.next()
		if err != nil {
			c.res.cuts++
			return
		}
		if !ans.take(e) {
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

// plain reads the answer of an order or a lookup; it returns false where it was cut.
func (c *call) plain(resp *http.Response) bool {
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		c.unanswered(err)
		return false
	case c.opts.Verify && !c.rightPlain(body):
		c.res.kind = wrong
	default:
		c.res.kind = whole
	}
	return true
}

// rightPlain reports whether the body is what a stand-in service answers.
func (c *call) rightPlain(body []byte) bool {
	if c.a.item != "" {
		var item service.Item
		return json.Unmarshal(body, &item) == nil && item == service.CatalogueItem(c.a.item)
	}
	var order service.Order
	digest := fnv.New64a()
	_, _ = io.Copy(digest, strings.NewReader(c.a.order))
	return json.Unmarshal(body, &order) == nil && order.Key == c.a.idem && order.Body == fmt.Sprintf("%016x", digest.Sum64())
}

// neverSent reports whether no connection was made.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
