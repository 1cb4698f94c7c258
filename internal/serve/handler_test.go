package serve_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

var testConfig = func() *site.Config {
	share := func(s ident.Service) []site.Share { return []site.Share{{Service: s, Weight: 1}} }
	c := &site.Config{
		Version: 1,
		Routes: []site.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: site.KindStream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Shares: share("llm")},
			{Name: "draft", Host: "h", Prefix: "/draft/", Kind: site.KindStream, MaxAttempts: 1, Timeout: 5 * time.Second, Shares: share("llm")},
			{Name: "order", Host: "h", Prefix: "/order/", Kind: site.KindOrder, MaxAttempts: 1, Timeout: 300 * time.Millisecond, Shares: share("desk")},
			{Name: "look", Host: "h", Prefix: "/look/", Kind: site.KindLookup, MaxAttempts: 2, Timeout: 300 * time.Millisecond, Shares: share("desk")},
		},
		Services:   map[ident.Service]site.Service{"llm": {Name: "llm", Engine: &site.Engine{Slots: 8, CacheTokens: 10000}}, "desk": {Name: "desk"}},
		Workspaces: []site.Workspace{{Name: "w", Keys: []string{"key"}, Rate: 1000, CountTokens: true, PlainTokens: 7}},
	}
	c.Index()
	return c
}()

// world is the rest of a node: two endpoints of each service, and what was counted.
type world struct {
	mu     sync.Mutex
	table  *placement.Table
	rng    *rand.Rand
	config *site.Config
	broke  bool // the limit is used up
	spent  float64
	began  int
	send   func(n int, a serve.Attempt) (*serve.Answer, error)
	sent   []serve.Attempt
}

func newWorld(send func(n int, a serve.Attempt) (*serve.Answer, error)) (*world, *serve.Handler) {
	w := &world{table: placement.New(placement.Options{}), rng: rand.New(rand.NewPCG(1, 2)), config: testConfig, send: send}
	w.table.SetEndpoints(time.Now(), []site.Endpoint{
		{ID: "e1", Service: "llm", Slots: 8}, {ID: "e2", Service: "llm", Slots: 8},
		{ID: "d1", Service: "desk", Slots: 8}, {ID: "d2", Service: "desk", Slots: 8},
	}, nil, testConfig.Services)
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: w, Placement: w, Versions: w, Transport: w, Log: slog.New(slog.DiscardHandler),
		Metrics: serve.NewMetrics(prometheus.NewRegistry()),
	})
	return w, h
}

func (w *world) Config() *site.Config { return w.config }

func (w *world) Charge(_ ident.Workspace, cost float64) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broke {
		return time.Second, false
	}
	w.spent += cost
	return 0, true
}

func (w *world) Refund(_ ident.Workspace, cost float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.spent -= cost
}

func (w *world) CountStarted(ident.Workspace) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.began++
}

func (w *world) Pick(id ident.AttemptID, r placement.Request) (placement.Choice, *verdict.Error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, err := w.table.Pick(time.Now(), w.rng, r)
	if err == nil {
		w.table.Dispatched(time.Now(), id, c, r.Prompt)
	}
	return c, err
}

func (w *world) FirstEvent(ident.AttemptID)                   {}
func (w *world) SetReportedLoad(ident.EndpointID, serve.Load) {}
func (w *world) Leaving(ident.EndpointID) bool                { return false }
func (w *world) TerminationTime(id ident.EndpointID) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table.TerminationTime(id)
}
func (w *world) Migrate(context.Context, serve.Migration) (*serve.KVCopy, error) {
	return nil, errors.New("no move is expected")
}
func (w *world) ChooseVersion(ident.Service) (_, _ ident.Version) { return "", "" }
func (w *world) Record(ident.Service, ident.Version, placement.Outcome, ident.RouteName, time.Duration) {
}

func (w *world) Finished(id ident.AttemptID, o placement.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.table.Finished(time.Now(), id, o)
}

func (w *world) Send(_ context.Context, a serve.Attempt) (*serve.Answer, error) {
	w.mu.Lock()
	w.sent = append(w.sent, a)
	n := len(w.sent)
	w.mu.Unlock()
	return w.send(n, a)
}

// caller records what it is given.
type caller struct {
	head    *serve.Head
	body    string
	events  string
	refused *verdict.Error
	aborted bool
}

func (c *caller) Complete(h serve.Head, body []byte) error {
	c.head, c.body = &h, string(body)
	return nil
}

func (c *caller) Begin(h serve.Head) error {
	c.head = &h
	return nil
}

func (c *caller) Event(raw string) error {
	c.events += raw
	return nil
}
func (c *caller) Refuse(err *verdict.Error) { c.refused = err }
func (c *caller) Abort()                    { c.aborted = true }

// events is a stream that ends with an error.
type events struct {
	list []serve.Event
	end  error
}

func (e *events) Next() (serve.Event, error) {
	if len(e.list) == 0 {
		return serve.Event{}, e.end
	}
	next := e.list[0]
	e.list = e.list[1:]
	return next, nil
}
func (e *events) Close() {}

func numbered(from, to int) []serve.Event {
	var out []serve.Event
	for i := from; i <= to; i++ {
		out = append(out, serve.Event{ID: i, Raw: string(rune('a' + i - 1))})
	}
	return out
}

func stream(seal string, list []serve.Event, end error) *serve.Answer {
	return &serve.Answer{Head: serve.Head{Status: http.StatusOK, Header: http.Header{"Seal": {seal}}}, Events: &events{list, end}}
}

func whole(status int, body string) *serve.Answer {
	return &serve.Answer{Head: serve.Head{Status: status, Header: http.Header{}}, Body: []byte(body)}
}

func request(path string) *serve.Request {
	return &serve.Request{
		ID: "r", Method: http.MethodPost, Target: path, Path: path, Host: "h", Key: "key", Arrived: time.Now(), MaxWait: 2 * time.Second,
	}
}

func refusal(v verdict.Verdict) error {
	return verdict.New(v, verdict.CodeUnavailable, "endpoint says so")
}

func TestIdentify(t *testing.T) {
	w, h := newWorld(func(int, serve.Attempt) (*serve.Answer, error) { return whole(200, "ok"), nil })
	for name, c := range map[string]struct {
		change func(r *serve.Request)
		want   verdict.Code
	}{
		"no route":    {func(r *serve.Request) { r.Path = "/none/" }, verdict.CodeNotFound},
		"other host":  {func(r *serve.Request) { r.Host = "g" }, verdict.CodeNotFound},
		"unknown key": {func(r *serve.Request) { r.Key = "x" }, verdict.CodeUnauthorized},
		"no key":      {func(r *serve.Request) { r.Key = "" }, verdict.CodeUnauthorized},
	} {
		r, out := request("/order/1"), &caller{}
		c.change(r)
		h.Serve(context.Background(), r, out)
		if out.refused == nil || out.refused.Code != c.want || out.refused.Verdict != verdict.NotRun {
			t.Errorf("%s: %v", name, out.refused)
		}
	}
	w.broke = true
	out := &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.refused == nil || out.refused.Code != verdict.CodeLimited || out.refused.RetryAfter != time.Second {
		t.Errorf("beyond the limit: %v", out.refused)
	}
	w.config = nil
	out = &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.refused == nil || out.refused.Code != verdict.CodeUnavailable {
		t.Errorf("without a configuration: %v", out.refused)
	}
	if len(w.sent) != 0 {
		t.Errorf("%d requests were sent", len(w.sent))
	}
}

// TestErrorEndsNoStream: a stream that broke off and whose resume is answered with an
// error, each time, is broken off, too.
func TestErrorEndsNoStream(t *testing.T) {
	_, h := newWorld(func(n int, _ serve.Attempt) (*serve.Answer, error) {
		if n == 1 {
			return stream("first", numbered(1, 2), io.ErrUnexpectedEOF), nil
		}
		return whole(500, "error"), nil
	})
	out := &caller{}
	h.Serve(context.Background(), request("/chat/x"), out)
	if out.events != "ab" || !out.aborted || out.body != "" {
		t.Errorf("events %q, body %q, aborted %t", out.events, out.body, out.aborted)
	}
}

// TestOrderRunsOnce: it goes to a second endpoint only where the first has surely
// not run it, and a refusal says "not run" only where nothing has.
func TestOrderRunsOnce(t *testing.T) {
	w, h := newWorld(func(n int, _ serve.Attempt) (*serve.Answer, error) {
		if n == 1 {
			return nil, refusal(verdict.NotRun)
		}
		return whole(200, "done"), nil
	})
	out := &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.body != "done" || len(w.sent) != 2 || w.began != 1 || w.spent != 7 {
		t.Errorf("answer %q, %d sent, %d begun, %v spent", out.body, len(w.sent), w.began, w.spent)
	}
	w, h = newWorld(func(int, serve.Attempt) (*serve.Answer, error) { return nil, refusal(verdict.MayHaveRun) })
	out = &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if len(w.sent) != 1 || out.refused == nil || out.refused.Verdict != verdict.MayHaveRun || w.spent != 7 {
		t.Errorf("%d sent, refused with %v, %v spent", len(w.sent), out.refused, w.spent)
	}
	w, h = newWorld(func(int, serve.Attempt) (*serve.Answer, error) { return nil, refusal(verdict.NotRun) })
	out = &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.refused == nil || out.refused.Verdict != verdict.NotRun || w.spent != 0 || w.began != 0 {
		t.Errorf("refused by all: %v, %v spent, %d begun", out.refused, w.spent, w.began)
	}
}

func TestOwnFailureOfAnOrderIsItsAnswer(t *testing.T) {
	w, h := newWorld(func(int, serve.Attempt) (*serve.Answer, error) { return whole(500, "sorry"), nil })
	out := &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.head == nil || out.head.Status != 500 || out.body != "sorry" || len(w.sent) != 1 {
		t.Errorf("answer %+v %q after %d attempts", out.head, out.body, len(w.sent))
	}
}

func TestLookupIsTriedAgain(t *testing.T) {
	w, h := newWorld(func(n int, _ serve.Attempt) (*serve.Answer, error) {
		if n == 1 {
			return whole(500, "sorry"), nil
		}
		return whole(200, "found"), nil
	})
	out := &caller{}
	h.Serve(context.Background(), request("/look/1"), out)
	if out.body != "found" || len(w.sent) != 2 || w.sent[0].Endpoint.ID == w.sent[1].Endpoint.ID {
		t.Errorf("answer %q after %d attempts", out.body, len(w.sent))
	}
}

// TestStreamResumes: events go on at another endpoint without gap or repeat, under
// the head of the first one.
func TestStreamResumes(t *testing.T) {
	w, h := newWorld(func(n int, a serve.Attempt) (*serve.Answer, error) {
		if n == 1 {
			return stream("first", numbered(1, 3), io.ErrUnexpectedEOF), nil
		}
		return stream("second", numbered(a.After+1, 5), io.EOF), nil
	})
	out := &caller{}
	h.Serve(context.Background(), request("/chat/1"), out)
	if out.events != "abcde" || out.head.Header.Get("Seal") != "first" || out.aborted || w.sent[1].After != 3 {
		t.Errorf("events %q under %v, aborted %v, resumed after %d", out.events, out.head, out.aborted, w.sent[1].After)
	}
	if w.began != 1 {
		t.Errorf("counted %d times", w.began)
	}
}

// TestBrokenStreamsAreSeenAsBroken: a gap, a repeat or an early end never looks like
// a whole answer.
func TestBrokenStreamsAreSeenAsBroken(t *testing.T) {
	for name, answer := range map[string]func() *serve.Answer{
		"cut off": func() *serve.Answer { return stream("s", numbered(1, 2), io.ErrUnexpectedEOF) },
		"gap":     func() *serve.Answer { return stream("s", append(numbered(1, 2), numbered(4, 5)...), io.EOF) },
		"repeat":  func() *serve.Answer { return stream("s", append(numbered(1, 2), numbered(2, 3)...), io.EOF) },
	} {
		w, h := newWorld(func(int, serve.Attempt) (*serve.Answer, error) { return answer(), nil })
		out := &caller{}
		h.Serve(context.Background(), request("/draft/1"), out)
		if !out.aborted || out.events != "ab" || len(w.sent) != 1 {
			t.Errorf("%s: events %q, aborted %v after %d attempts", name, out.events, out.aborted, len(w.sent))
		}
	}
}

// TestResumedAfterTheLastEvent: a caller that has all events but not the end gets
// the head and the end.
func TestResumedAfterTheLastEvent(t *testing.T) {
	_, h := newWorld(func(_ int, a serve.Attempt) (*serve.Answer, error) {
		return stream("s", numbered(a.After+1, 3), io.EOF), nil
	})
	r, out := request("/chat/1"), &caller{}
	r.LastEvent = 3
	h.Serve(context.Background(), r, out)
	if out.head == nil || out.head.Header.Get("Seal") != "s" || out.events != "" || out.refused != nil {
		t.Errorf("head %+v, events %q, refused %v", out.head, out.events, out.refused)
	}
}

// TestCallerGone: the endpoint's work on a stream ends with its caller.
func TestCallerGone(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	w, _ := newWorld(nil)
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: w, Placement: w, Versions: w, Log: slog.New(slog.DiscardHandler), Metrics: serve.NewMetrics(prometheus.NewRegistry()),
		Transport: sendFunc(func(ctx context.Context, _ serve.Attempt) (*serve.Answer, error) {
			cancel()
			<-ctx.Done()
			close(ended)
			return nil, refusal(verdict.MayHaveRun)
		}),
	})
	out := &caller{}
	h.Serve(ctx, request("/draft/1"), out)
	<-ended
	if out.refused != nil || !out.aborted {
		t.Errorf("a caller that has gone was told %v", out.refused)
	}
}

// sendFunc is a transport.
type sendFunc func(ctx context.Context, a serve.Attempt) (*serve.Answer, error)

func (f sendFunc) Send(ctx context.Context, a serve.Attempt) (*serve.Answer, error) { return f(ctx, a) }
func (f sendFunc) Migrate(context.Context, serve.Migration) (*serve.KVCopy, error) {
	return nil, errors.New("no move is expected")
}

// TestSilentStreamGoesOnElsewhere: an endpoint that falls silent in the middle of a
// stream is given up where the stream may go on at another one.
func TestSilentStreamGoesOnElsewhere(t *testing.T) {
	w, _ := newWorld(nil)
	n := 0
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: w, Placement: w, Versions: w, Log: slog.New(slog.DiscardHandler), Metrics: serve.NewMetrics(prometheus.NewRegistry()),
		Transport: sendFunc(func(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
			if n++; n == 1 {
				answer := stream("first", nil, nil)
				answer.Events = &silent{events{list: numbered(1, 2)}, ctx}
				return answer, nil
			}
			return stream("second", numbered(a.After+1, 4), io.EOF), nil
		}),
	})
	out := &caller{}
	h.Serve(context.Background(), request("/chat/1"), out)
	if out.events != "abcd" || n != 2 || out.aborted {
		t.Errorf("events %q after %d attempts, aborted %v", out.events, n, out.aborted)
	}
}

// silent is a stream that says nothing more after its events.
type silent struct {
	events
	ctx context.Context
}

func (s *silent) Next() (serve.Event, error) {
	if len(s.list) > 0 {
		return s.events.Next()
	}
	<-s.ctx.Done()
	return serve.Event{}, s.ctx.Err()
}

// TestTimeout: a request that is not answered in its route's time is told so at once
// after it, and not that it has not run.
func TestTimeout(t *testing.T) {
	w, _ := newWorld(nil)
	h := serve.NewHandler(serve.Dependencies{
		NodeServices: w, Placement: w, Versions: w, Log: slog.New(slog.DiscardHandler), Metrics: serve.NewMetrics(prometheus.NewRegistry()),
		Transport: sendFunc(func(ctx context.Context, _ serve.Attempt) (*serve.Answer, error) {
			<-ctx.Done()
			return nil, refusal(verdict.MayHaveRun)
		}),
	})
	out := &caller{}
	h.Serve(context.Background(), request("/order/1"), out)
	if out.refused == nil || out.refused.Verdict != verdict.MayHaveRun || out.refused.Code != verdict.CodeDeadline {
		t.Errorf("refused with %v", out.refused)
	}
}
