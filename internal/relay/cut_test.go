package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/testaddress"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// cutProxy passes on connections, and ends each after a number of bytes to the client.
type cutProxy struct {
	listener net.Listener
	target   string
	cut      atomic.Pointer[proxyCut]
}

type proxyCut struct {
	after int64
	reset bool
}

func newCutProxy(t *testing.T, target string) *cutProxy {
	t.Helper()
	ln, err := net.Listen("tcp", testaddress.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	p := &cutProxy{listener: ln, target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.pass(c.(*net.TCPConn), *p.cut.Load())
		}
	}()
	return p
}

func (p *cutProxy) pass(client *net.TCPConn, cut proxyCut) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	first := make([]byte, 1) // the connection is established for the client when it has sent a byte
	if _, err := io.ReadFull(client, first); err != nil {
		return
	}
	_, _ = server.Write(first)
	go func() { _, _ = io.Copy(server, client) }()
	_, _ = io.CopyN(client, server, cut.after)
	if cut.reset {
		_ = client.SetLinger(0)
	}
}

// TestRelayBreaksOff guards against responses that pass as complete, or count as refusals, though the
// node that relays them has ended within the head or the body of its own response.
func TestRelayBreaksOff(t *testing.T) {
	const content, events = "the body of the endpoint's response", "id: 1\n\nid: 2\n\nid: 3\n\n"
	for name, c := range map[string]struct {
		send func() (*serve.Answer, error)
		want string // the body of the response
		not  bool   // a refusal in its place
	}{
		"response": {send: func() (*serve.Answer, error) {
			return &serve.Answer{Head: serve.Head{Status: 200}, Body: []byte(content)}, nil
		}, want: content},
		"empty response": {send: func() (*serve.Answer, error) { return &serve.Answer{Head: serve.Head{Status: 200}}, nil }},
		"stream": {send: func() (*serve.Answer, error) {
			return &serve.Answer{Head: serve.Head{Status: 200}, Events: &listedEvents{last: 3, end: io.EOF}}, nil
		}, want: events},
		"stream without length": {send: func() (*serve.Answer, error) {
			return &serve.Answer{Head: serve.Head{Status: 200}, Events: &listedEvents{last: 3, end: serve.ErrUnmarkedEnd}}, nil
		}, want: events},
		"refusal": {send: func() (*serve.Answer, error) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "full")
		}, not: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) { return c.send() })
			direct := p.origin.opts.Nodes("s", nil)[0]
			proxy := newCutProxy(t, direct)
			p.origin.opts.Nodes = func(ident.Service, site.Homes) []string { return []string{proxy.listener.Addr().String()} }
			p.origin.client.Transport = &http.Transport{DisableKeepAlives: true} // connects without a time limit
			for after, whole := int64(0), 0; whole < 2; after++ {
				if whole = 0; after > 4<<10 {
					t.Fatalf("no response is complete after %d bytes", after)
				}
				for _, reset := range []bool{false, true} {
					proxy.cut.Store(&proxyCut{after, reset})
					body, err := relayedBody(p.origin)
					where := fmt.Sprintf("after %d bytes, reset: %t", after, reset)
					v := verdict.From(err)
					switch {
					case err == nil && !c.not && body == c.want, err != nil && c.not && v.Code == verdict.CodeUnavailable && v.Verdict == verdict.NotRun:
						whole++
					case err == nil || v.Verdict != verdict.MayHaveRun || v.Code != verdict.CodeRelay:
						t.Errorf("%s: body %q, error %v", where, body, err)
					case !strings.HasPrefix(c.want, body):
						t.Errorf("%s: %q is no beginning of the response", where, body)
					}
				}
			}
		})
	}
}

// relayedBody sends an attempt and returns the content of its response, or its events.
func relayedBody(t *Transport) (body string, err error) {
	answer, err := t.Send(context.Background(), attemptOf(false))
	if err != nil {
		return "", err
	}
	if answer.Events == nil {
		answer.Release()
		return string(answer.Body), nil
	}
	defer answer.Events.Close()
	for {
		ev, err := answer.Events.Next()
		switch {
		case errors.IsAny(err, io.EOF, serve.ErrUnmarkedEnd):
			return body, nil
		case err != nil:
			return body, err
		}
		body += ev.Raw
	}
}
