package endpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestDoNeverSendsTwice checks that a request is not sent again if the server closes
// a reused connection after reading it. net/http alone would resend the request, as
// it has an Idempotency-Key header.
func TestDoNeverSendsTwice(t *testing.T) {
	for _, body := range []string{"", "order"} {
		t.Run("body "+body, func(t *testing.T) {
			var received atomic.Int32
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go serveThenClose(ln, &received)
			c := NewClient()
			defer c.Close()
			var last error
			for range 2 {
				req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/orders", strings.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set(HeaderIdemKey, "key-1")
				resp, err := c.Do(context.Background(), req, Meta{Attempt: "a"})
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
				last = err
			}
			if n := received.Load(); n != 2 {
				t.Errorf("the endpoint received %d requests, want 2", n)
			}
			if verdict.Of(last) != verdict.MayHaveRun {
				t.Errorf("verdict of the interrupted request = %v, want may-have-run", last)
			}
		})
	}
}

// serveThenClose responds to the first request of each connection and closes the
// connection after reading the second.
func serveThenClose(ln net.Listener, received *atomic.Int32) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for n := 0; ; n++ {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				received.Add(1)
				if n > 0 {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

func TestDoVerdicts(t *testing.T) {
	mux := http.NewServeMux()
	mux.HandleFunc("/refuse", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(verdict.Header, "not-run")
		w.Header().Set("Retry-After", "3")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	mux.HandleFunc("/fail", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	mux.HandleFunc("/abort", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	mux.HandleFunc("/mismatched", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(HeaderAttemptID, "another") })
	mux.HandleFunc("/contradictory", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(verdict.Header, "not-run") })
	srv := httptest.NewServer(mux)
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := ln.Addr().String()
	_ = ln.Close()

	tests := []struct {
		addr, path string
		want       verdict.Verdict
		status     int
		after      time.Duration
	}{
		{closed, "/", verdict.NotRun, 0, 0},
		{addr, "/refuse", verdict.NotRun, 0, 3 * time.Second},
		{addr, "/abort", verdict.MayHaveRun, 0, 0},
		{addr, "/mismatched", verdict.MayHaveRun, 0, 0},
		{addr, "/fail", verdict.MayHaveRun, http.StatusInternalServerError, 0},
		{addr, "/contradictory", verdict.MayHaveRun, http.StatusOK, 0}, // a refusal needs an error status
	}
	for _, tt := range tests {
		t.Run(tt.path, func(t *testing.T) {
			c := NewClient()
			defer c.Close()
			req, err := http.NewRequest(http.MethodPost, "http://"+tt.addr+tt.path, strings.NewReader("x"))
			if err != nil {
				t.Fatal(err)
			}
			resp, err := c.Do(context.Background(), req, Meta{Attempt: "mine"})
			if tt.status != 0 {
				if err != nil || resp.StatusCode != tt.status {
					t.Fatalf("response %v, error %v, want status %d", resp, err, tt.status)
				}
				_ = resp.Body.Close()
				return
			}
			e := verdict.From(err)
			if err == nil || e.Verdict != tt.want || e.RetryAfter != tt.after {
				t.Errorf("error %v after %s, want verdict %s after %s", err, e.RetryAfter, tt.want, tt.after)
			}
		})
	}
}

// TestLateRefusalOnReusedConnection guards against attempts that count as not run while an endpoint
// runs them: a second copy of an earlier refusal comes late, on a connection that is in use again.
func TestLateRefusalOnReusedConnection(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + verdict.Header + ": not-run\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	for name, c := range map[string]struct {
		second string // what the endpoint sends when it gets the second attempt
		want   verdict.Verdict
	}{
		"copy with ID":    {refusal(HeaderAttemptID + ": a1\r\n"), verdict.MayHaveRun},
		"copy without ID": {refusal(""), verdict.MayHaveRun},
		"its own refusal": {refusal(HeaderAttemptID + ": a2\r\n"), verdict.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go respondInTurn(ln, refusal(HeaderAttemptID+": a1\r\n"), c.second)
			client := NewClient()
			defer client.Close()
			for i, want := range []verdict.Verdict{verdict.NotRun, c.want} {
				req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/orders", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				attempt := ident.AttemptID(fmt.Sprintf("a%d", i+1))
				if _, err := client.Do(context.Background(), req, Meta{Attempt: attempt}); err == nil || verdict.Of(err) != want {
					t.Errorf("attempt %s: error %v, want verdict %s", attempt, err, want)
				}
			}
		})
	}
}

// respondInTurn accepts one connection and sends the responses to its requests, in order.
func respondInTurn(ln net.Listener, responses ...string) {
	conn, err := ln.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for _, response := range responses {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, response)
	}
	_, _ = io.Copy(io.Discard, conn)
}

func TestChatStream(t *testing.T) {
	chunk := `data: {"id":"r","attempt":"a","offset":%d,"choices":[{"index":0,"delta":{"content":%q},"finish_reason":null}]}` + "\n\n"
	complete := fmt.Sprintf(chunk, 4, "né ") + ": comment\n\n" + fmt.Sprintf(chunk, 5, "x") +
		`data: {"id":"r","attempt":"a","offset":6,"choices":[{"delta":{"content":""},"finish_reason":"stop"}],"usage":{"prompt_tokens":9}}` + "\n\ndata: [DONE]\n\n"
	tests := []struct {
		name, body, want string
	}{
		{"complete", complete, "r/a/4:né  r/a/5:x stop9 done"},
		{"truncated", fmt.Sprintf(chunk, 4, "a"), "r/a/4:a error unexpected EOF"},
		{"mismatched ID", strings.Replace(fmt.Sprintf(chunk, 4, "a"), `"r"`, `"other"`, 1), "other/a/4:a error unexpected EOF"},
		{"malformed", "data: {\"id\":\n\n", "error decode engine event"},
		{"no offset", `data: {"id":"r"}` + "\n\n", "error engine event has no offset"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tt.body) }))
			defer srv.Close()
			c := NewClient()
			defer c.Close()
			s, err := c.Chat(context.Background(), strings.TrimPrefix(srv.URL, "http://"), Meta{Request: "r", Attempt: "a"}, &ChatRequest{})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			if got := describe(s); !strings.HasPrefix(got, tt.want) {
				t.Errorf("stream = %q, want %q", got, tt.want)
			}
		})
	}
}

func describe(s *ChatStream) string {
	var parts []string
	var ch Chunk
	for {
		switch err := s.Next(&ch); {
		case err != nil:
			return strings.Join(append(parts, "error "+err.Error()), " ")
		case ch.Done:
			return strings.Join(append(parts, "done"), " ")
		case ch.FinishReason != "":
			parts = append(parts, fmt.Sprintf("%s%d", ch.FinishReason, ch.Usage.PromptTokens))
		default:
			parts = append(parts, fmt.Sprintf("%s/%s/%d:%s", ch.Request, ch.Attempt, ch.Offset, ch.Content))
		}
	}
}

// TestNextDoesNotAllocate checks that decoding a token allocates no memory.
func TestNextDoesNotAllocate(t *testing.T) {
	const tokens = 1000
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, `data: {"id":"r","attempt":"a","offset":%d,"choices":[{"index":0,"delta":{"content":"abc "},"finish_reason":null}]}`+"\n\n", i)
	}
	scanner := bufio.NewScanner(strings.NewReader(b.String()))
	s := &ChatStream{scanner: scanner, meta: Meta{Request: "r", Attempt: "a"}}
	var ch Chunk
	allocs := testing.AllocsPerRun(tokens/2, func() {
		if err := s.Next(&ch); err != nil {
			t.Fatal(err)
		}
	})
	if allocs != 0 {
		t.Errorf("decoding a token made %v allocations, want 0", allocs)
	}
}

// TestConnectionsAreReused checks that two streams read one after the other use the
// same connection.
func TestConnectionsAreReused(t *testing.T) {
	addrs := make(map[string]bool)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		addrs[r.RemoteAddr] = true
		_, _ = io.WriteString(w, `data: {"id":"r","attempt":"a","offset":0,"choices":[{"delta":{"content":"x"}}]}`+"\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
	}))
	defer srv.Close()
	c := NewClient()
	defer c.Close()
	for range 2 {
		s, err := c.Chat(context.Background(), strings.TrimPrefix(srv.URL, "http://"), Meta{Request: "r", Attempt: "a"}, &ChatRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if got := describe(s); !strings.HasSuffix(got, "done") {
			t.Errorf("stream = %q", got)
		}
		s.Close()
	}
	if len(addrs) != 1 {
		t.Errorf("two streams used %d connections, want 1", len(addrs))
	}
}
