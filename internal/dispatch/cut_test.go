package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// addCutting adds an endpoint that answers each request with response, closes the connection and
// resets it if reset is set.
func (b *orderedBalancer) addCutting(t *testing.T, id ident.EndpointID, response func(r *http.Request) (raw string, reset bool)) {
	t.Helper()
	ln, err := net.Listen("tcp", testaddress.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	b.ids, b.addrs[id] = append(b.ids, id), ln.Addr().String()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				raw, reset := response(r)
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, raw)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}
			_ = c.Close()
		}
	}()
}

// TestForwardCutResponses guards against responses that pass as complete, or count as refusals, though
// the endpoint has ended the connection within their head or their body.
func TestForwardCutResponses(t *testing.T) {
	const body = "the endpoint's body"
	for name, c := range map[string]struct {
		head, body string
		untilClose bool
	}{
		"length":         {head: "HTTP/1.1 200 OK\r\nContent-Length: 19\r\n", body: body},
		"chunks":         {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", body: "9\r\nthe endpo\r\na\r\nint's body\r\n0\r\n\r\n"},
		"until close":    {head: "HTTP/1.1 200 OK\r\nX-A: 1\r\n", body: body, untilClose: true},
		"HTTP/1.0":       {head: "HTTP/1.0 200 OK\r\nX-A: 1\r\n", body: body, untilClose: true},
		"folded lines":   {head: "HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\nContent-Length: 19\r\n", body: body},
		"informational":  {head: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 19\r\n", body: body},
		"no content":     {head: "HTTP/1.1 204 No Content\r\nX-A: 1\r\n"},
		"refusal":        {head: "HTTP/1.1 503 Service Unavailable\r\nX-Verdict: not-run\r\nContent-Length: 0\r\n"},
		"of another one": {head: "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: x\r\nX-Verdict: not-run\r\nContent-Length: 0\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			raw := c.head + "\r\n" + c.body
			bodyAt := len(raw) - len(c.body)
			for i := range len(raw) {
				for _, reset := range []bool{false, true} {
					got, calls, err := forwardCut(t, raw[:i], reset)
					where := fmt.Sprintf("%q, reset: %t", raw[:i], reset)
					if !reset && c.untilClose && i >= bodyAt {
						if err != nil || got != raw[bodyAt:i] {
							t.Errorf("%s: body %q, error %v", where, got, err)
						}
						continue
					}
					if err == nil || verdict.Of(err) != verdict.MayHaveRun || calls != 1 {
						t.Errorf("%s: body %q after %d calls, error %v", where, got, calls, err)
					}
				}
			}
		})
	}
}

// forwardCut sends an order to an endpoint that cuts its response off, and could go to another one
// after that.
func forwardCut(t *testing.T, raw string, reset bool) (body string, calls int32, err error) {
	t.Helper()
	var n atomic.Int32
	b := newOrderedBalancer()
	for _, id := range []ident.EndpointID{"first", "second"} {
		b.addCutting(t, id, func(*http.Request) (string, bool) {
			n.Add(1)
			return raw, reset
		})
	}
	client := endpoint.NewClient()
	defer client.Close()
	s := New(Options{}, client, b, b)
	in := httptest.NewRequest(http.MethodPost, "/x", nil)
	err = s.Forward(context.Background(), newRequest("r", orderRoute), in, []byte("body"), func(resp *http.Response) error {
		got, err := io.ReadAll(resp.Body)
		body = string(got)
		return err
	})
	return body, n.Load(), err
}

// TestChatCutResponses guards against answers that lack a part, or have parts twice, after an engine has
// ended the connection within the head or the events of its response.
func TestChatCutResponses(t *testing.T) {
	whole := httptest.NewServer(engine.New(engine.Options{ID: "whole", Speed: 200}).Handler())
	t.Cleanup(whole.Close)
	length := 1
	for i := 0; i <= length; i++ {
		b := newOrderedBalancer()
		b.addCutting(t, "first", func(r *http.Request) (string, bool) {
			raw := exchangeRaw(t, whole.Listener.Addr().String(), r)
			length = len(raw)
			return raw[:min(i, len(raw))], i%2 == 1
		})
		b.ids, b.addrs["second"] = append(b.ids, "second"), whole.Listener.Addr().String()
		client := endpoint.NewClient()
		chat, want := newChat(4)
		New(Options{}, client, b, b).Chat(context.Background(), chat)
		client.Close()
		if end := chat.Answer.End(); end.Err != nil || chat.Answer.Text() != want {
			t.Errorf("first response cut after %d bytes: answer %q, error %v, want %q", i, chat.Answer.Text(), end.Err, want)
		}
	}
}

// exchangeRaw sends a request to an address and returns the raw response.
func exchangeRaw(t *testing.T, address string, r *http.Request) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer func() { _ = c.Close() }()
	r.Close = true
	if err := r.Write(c); err != nil {
		t.Error(err)
	}
	raw, err := io.ReadAll(c)
	if err != nil {
		t.Error(err)
	}
	return string(raw)
}
