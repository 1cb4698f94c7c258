package entry

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

type fixedConfig struct{ c *config.Config }

func (f fixedConfig) Current() *config.Config { return f.c }

type fakeGate struct{ err error }

func (g fakeGate) Acquire(context.Context, *Request) (func(), error) { return func() {}, g.err }

// fakeSender responds to every chat completion with the same tokens and end.
type fakeSender struct {
	tokens  []string
	end     answer.End
	unblock chan struct{}                         // if not nil, the answer ends when this is closed
	forward func(ctx context.Context, r *Request) // called by Forward if it is not nil
}

func (f *fakeSender) Chat(ctx context.Context, chat *ChatCompletion) {
	for _, tok := range f.tokens {
		chat.Answer.Append(chat.Answer.Len(), []byte(tok))
	}
	if f.unblock != nil {
		select {
		case <-f.unblock:
		case <-ctx.Done():
		}
	}
	chat.Answer.Close(time.Now(), f.end)
}

func (f *fakeSender) Forward(ctx context.Context, r *Request, in *http.Request, body []byte, handle func(*http.Response) error) error {
	if f.forward != nil {
		f.forward(ctx, r)
	}
	rec := httptest.NewRecorder()
	rec.Header().Set("Connection", "X-Secret")
	rec.Header().Set("X-Secret", "hop")
	rec.Header().Set("X-Kept", "yes")
	_, _ = io.WriteString(rec, string(r.Route.Name)+" "+in.Method+" "+string(body))
	return handle(rec.Result())
}

type passLedger struct{}

func (passLedger) Do(ctx context.Context, _ *Request, _ *http.Request, _ []byte, run func(context.Context) (*RecordedResponse, error)) (*RecordedResponse, error) {
	return run(ctx)
}

type fakePeers struct{ handedOver []ident.RequestID }

func (*fakePeers) Find(context.Context, ident.RequestID) (*answer.Answer, error) { return nil, nil }

func (p *fakePeers) HandOver(_ context.Context, chat *ChatCompletion) error {
	p.handedOver = append(p.handedOver, chat.Request.ID)
	return nil
}

const testConfig = `
services:
  model: {kind: engine, version: v1}
  desk: {kind: plain, version: v1}
routes:
  chat: {prefix: /chat, methods: [POST], service: model, class: quick}
  drafts: {prefix: /drafts, methods: [POST], service: model, class: long}
  orders: {prefix: /orders, methods: [POST], service: desk, class: order, require_key: true}
  gifts: {prefix: /gifts, methods: [POST], service: desk, class: order}
  catalogue: {prefix: /catalogue, methods: [GET], service: desk, class: lookup}
workspaces:
  families: {keys: [families-key]}
  council: {keys: [council-key]}
`

func newServer(t testing.TB, sender Sender, gate Gate) (*Server, *fakePeers) {
	t.Helper()
	cfg, ds := config.Merge([]config.File{{Name: "10-test.yaml", Data: []byte(testConfig)}})
	if config.HasErrors(ds) {
		t.Fatal(ds)
	}
	if cfg.Services["model"].Kind != platformapi.KindEngine {
		t.Fatal("the kind of the test configuration's service \"model\" is not engine")
	}
	peers := &fakePeers{}
	s := New(Options{Node: "entry-1", DataCentre: "dc", Incarnation: 7, MaxBodyBytes: 4096}, Dependencies{
		Log: slog.New(slog.DiscardHandler), Config: fixedConfig{cfg}, Gate: gate, Sender: sender, Ledger: passLedger{},
		Answers: answer.NewTable(), Peers: peers, Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	return s, peers
}

func call(s http.Handler, method, path, key, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

const goodChat = `{"messages":[{"role":"user","content":"hello"}]}`

func TestRefusals(t *testing.T) {
	overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").After(1500 * time.Millisecond)
	tests := []struct {
		name, method, path, key, body string
		gate                          error
		status                        int
		code                          verdict.Code
	}{
		{"unknown key", "POST", "/chat", "nobody", goodChat, nil, 401, verdict.CodeUnauthorized},
		{"unknown route", "POST", "/nowhere", "families-key", goodChat, nil, 404, verdict.CodeNotFound},
		{"prefix of a longer word", "POST", "/chatter", "families-key", goodChat, nil, 404, verdict.CodeNotFound},
		{"wrong method", "GET", "/chat", "families-key", "", nil, 404, verdict.CodeNotFound},
		{"no JSON", "POST", "/chat", "families-key", "hello", nil, 400, verdict.CodeBadRequest},
		{"no messages", "POST", "/chat", "families-key", `{"messages":[]}`, nil, 400, verdict.CodeBadRequest},
		{"unknown role", "POST", "/chat", "families-key", `{"messages":[{"role":"ghost","content":""}]}`, nil, 400, verdict.CodeBadRequest},
		{"too large", "POST", "/chat", "families-key", strings.Repeat(" ", 5000), nil, 413, verdict.CodeTooLarge},
		{"order without a key", "POST", "/orders", "families-key", "{}", nil, 400, verdict.CodeBadRequest},
		{"overloaded", "POST", "/chat", "families-key", goodChat, overloaded, 503, verdict.CodeOverloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newServer(t, &fakeSender{}, fakeGate{tt.gate})
			w := call(s, tt.method, tt.path, tt.key, tt.body)
			if w.Code != tt.status || !strings.Contains(w.Body.String(), `"code":"`+string(tt.code)+`"`) {
				t.Errorf("status %d, body %s; want %d, code %s", w.Code, w.Body, tt.status, tt.code)
			}
			if v := w.Header().Get(verdict.Header); v != "not-run" {
				t.Errorf("verdict = %q, want not-run", v)
			}
			if ct := w.Header().Get("Content-Type"); ct != "application/problem+json" {
				t.Errorf("content type = %q", ct)
			}
			if after := w.Header().Get("Retry-After"); tt.gate != nil && after != "2" {
				t.Errorf("Retry-After = %q, want 2", after)
			}
		})
	}
}

func TestChatForms(t *testing.T) {
	fail := verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "engine failed")
	complete := answer.End{Reason: "stop", Usage: answer.Usage{PromptTokens: 3, CompletionTokens: 2}}
	tests := []struct {
		name   string
		tokens []string
		end    answer.End
		stream string
		status int
		want   []string
	}{
		{"document", []string{"a ", "b"}, complete, "false", 200, []string{`"content":"a b"`, `"finish_reason":"stop"`, `"prompt_tokens":3`}},
		{"stream", []string{"a ", "b\n"}, complete, "true", 200, []string{"id: entry-1~dc.7.1/", `"content":"`, `b\n"`, `"finish_reason":"stop"`, "data: [DONE]\n\n"}},
		{"failed document", nil, answer.End{Err: fail}, "false", 502, []string{`"verdict":"may-have-run"`}},
		{"failure before the first token", nil, answer.End{Err: fail}, "true", 502, []string{`"verdict":"may-have-run"`}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, _ := newServer(t, &fakeSender{tokens: tt.tokens, end: tt.end}, fakeGate{})
			w := call(s, "POST", "/chat", "families-key", strings.Replace(goodChat, "{", `{"stream":`+tt.stream+`,`, 1))
			if w.Code != tt.status {
				t.Errorf("status %d, want %d", w.Code, tt.status)
			}
			for _, want := range tt.want {
				if !strings.Contains(w.Body.String(), want) {
					t.Errorf("body does not contain %q:\n%s", want, w.Body)
				}
			}
		})
	}
}

// TestAnswerOutlivesConnection closes the caller's connection before the answer ends
// and then fetches the rest. The key of another workspace must not give access.
func TestAnswerOutlivesConnection(t *testing.T) {
	sender := &fakeSender{tokens: []string{"one ", "two ", "three"}, end: answer.End{Reason: "stop"}, unblock: make(chan struct{})}
	s, _ := newServer(t, sender, fakeGate{})
	ctx, cancel := context.WithCancel(context.Background())
	r := httptest.NewRequest("POST", "/drafts", strings.NewReader(strings.Replace(goodChat, "{", `{"stream":true,`, 1))).WithContext(ctx)
	r.Header.Set("Authorization", "Bearer families-key")
	cancel()
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	close(sender.unblock)
	id := w.Header().Get("X-Request-Id")
	rest := call(s, "GET", PathAnswers+id, "families-key", "", "Last-Event-ID", id+"/1")
	if body := rest.Body.String(); strings.Contains(body, "one") || !strings.Contains(body, "two three") || !strings.Contains(body, "[DONE]") {
		t.Errorf("rest after the first token:\n%s", body)
	}
	if other := call(s, "GET", PathAnswers+id, "council-key", ""); other.Code != http.StatusNotFound {
		t.Errorf("another workspace got status %d", other.Code)
	}
	if wrong := call(s, "GET", PathAnswers+id, "families-key", "", "Last-Event-ID", "other/1"); wrong.Code != http.StatusBadRequest {
		t.Errorf("event of another answer got status %d", wrong.Code)
	}
}

func TestHopByHopHeadersRemoved(t *testing.T) {
	s, _ := newServer(t, &fakeSender{}, fakeGate{})
	w := call(s, "GET", "/catalogue/7", "families-key", "", "Connection", "X-Mine", "X-Mine", "1")
	if w.Header().Get("X-Secret") != "" || w.Header().Get("Connection") != "" || w.Header().Get("X-Kept") != "yes" {
		t.Errorf("headers = %v", w.Header())
	}
	out := OutgoingHeader(http.Header{"Connection": {"x-mine, close"}, "X-Mine": {"1"}, "Te": {"trailers"}, "Authorization": {"Bearer k"}, "Accept": {"*/*"}})
	if len(out) != 1 || out.Get("Accept") != "*/*" {
		t.Errorf("outgoing headers = %v", out)
	}
}

// TestDrainHandsOver drains a node with a running answer. The answer must be handed over
// and the caller redirected.
func TestDrainHandsOver(t *testing.T) {
	for stream, want := range map[string]string{"true": "event: moved", "false": ""} {
		sender := &fakeSender{tokens: []string{"one "}, end: answer.End{Reason: "stop"}, unblock: make(chan struct{})}
		s, peers := newServer(t, sender, fakeGate{})
		done := make(chan *httptest.ResponseRecorder)
		go func() {
			done <- call(s, "POST", "/drafts", "families-key", strings.Replace(goodChat, "{", `{"stream":`+stream+`,`, 1))
		}()
		for len(s.chats.list()) == 0 {
			time.Sleep(time.Millisecond)
		}
		s.MarkUnready()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		handedOver, failed := s.FinishOrHandOver(ctx, time.Second)
		w := <-done
		if handedOver != 1 || failed != 0 || len(peers.handedOver) != 1 {
			t.Errorf("%d handed over, %d failed, calls of HandOver for %v", handedOver, failed, peers.handedOver)
		}
		if !strings.Contains(w.Body.String(), want) || (want == "" && w.Code != http.StatusSeeOther) {
			t.Errorf("stream %s: status %d, body %s", stream, w.Code, w.Body)
		}
		if err := s.AcceptHandover(&ChatCompletion{}); verdict.Of(err) != verdict.NotRun {
			t.Errorf("a stopping node accepted a handover: %v", err)
		}
	}
}

func TestOriginOf(t *testing.T) {
	tests := map[ident.RequestID]Origin{
		"entry-1~dc.7.a": {"entry-1", "dc"}, "a.b~c.d.1.2": {"a.b", "c.d"}, "a.1.2": {"a", ""}, "x": {}, ".1.2": {}, "1.2": {},
	}
	for id, want := range tests {
		if got := OriginOf(id); got != want {
			t.Errorf("OriginOf(%q) = %q, want %q", id, got, want)
		}
	}
}

// FuzzRequest sends malformed requests. None may cause a panic, and each error response
// must have a verdict.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/chat", goodChat, "")
	f.Add("POST", "/orders", "{", "k")
	f.Add("GET", PathAnswers+"x", "", "x/-1")
	s, _ := newServer(f, &fakeSender{tokens: []string{"a"}, end: answer.End{Reason: "stop"}}, fakeGate{})
	f.Fuzz(func(t *testing.T, method, path, body, last string) {
		r, err := http.NewRequest(method, "http://host/", strings.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path = path
		r.Header = http.Header{"Authorization": {"Bearer families-key"}, "Last-Event-Id": {last}, "Idempotency-Key": {last}}
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		if w.Code >= 400 && w.Header().Get(verdict.Header) == "" && w.Code != http.StatusServiceUnavailable {
			t.Errorf("%s %q: status %d without a verdict", method, path, w.Code)
		}
	})
}

// TestCallerLeaves guards against requests that go on for callers who have left. Only the outcome of
// an order with a key is of use then, to its repeats.
func TestCallerLeaves(t *testing.T) {
	for _, c := range []struct {
		method, path, key string
		ends              bool
	}{
		{http.MethodGet, "/catalogue", "", true},
		{http.MethodGet, "/catalogue", "k1", true},
		{http.MethodPost, "/gifts", "", true},
		{http.MethodPost, "/orders", "k2", false},
	} {
		caller, leave := context.WithCancel(context.Background())
		ended := false
		s, _ := newServer(t, &fakeSender{forward: func(ctx context.Context, _ *Request) {
			leave()
			ended = ctx.Err() != nil
		}}, fakeGate{})
		r := httptest.NewRequest(c.method, c.path, strings.NewReader("x")).WithContext(caller)
		r.Header.Set("Authorization", "Bearer families-key")
		if c.key != "" {
			r.Header.Set("Idempotency-Key", c.key)
		}
		s.ServeHTTP(httptest.NewRecorder(), r)
		if ended != c.ends {
			t.Errorf("%s %s with key %q: the request ends with its caller: %t", c.method, c.path, c.key, ended)
		}
	}
}
