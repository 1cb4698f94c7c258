package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/entry"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/move"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/committer"
	"github.com/jujubeshed/jujubeshed/internal/route"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
	"github.com/jujubeshed/jujubeshed/internal/standin/memstore"
	"github.com/jujubeshed/jujubeshed/internal/standin/service"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// orderedBalancer chooses the first endpoint that is neither excluded nor leaving, and
// records outcomes.
type orderedBalancer struct {
	mu       sync.Mutex
	ids      []ident.EndpointID
	addrs    map[ident.EndpointID]string
	attempts map[ident.AttemptID]ident.EndpointID
	outcomes map[ident.EndpointID][]route.Outcome
	leaving  []route.LeavingAttempts
	results  []move.Result
	shadow   bool
}

func newOrderedBalancer() *orderedBalancer {
	return &orderedBalancer{
		addrs:    make(map[ident.EndpointID]string),
		attempts: make(map[ident.AttemptID]ident.EndpointID),
		outcomes: make(map[ident.EndpointID][]route.Outcome),
	}
}

func (b *orderedBalancer) add(t *testing.T, id ident.EndpointID, h http.Handler) {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	b.ids = append(b.ids, id)
	b.addrs[id] = strings.TrimPrefix(srv.URL, "http://")
}

func (b *orderedBalancer) Dispatch(a ident.AttemptID, r route.Request) (route.Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.ids {
		if !slices.Contains(r.Exclude, id) && !b.leavingLocked(id) {
			b.attempts[a] = id
			return route.Choice{Endpoint: id, Address: b.addrs[id], Version: "v1"}, nil
		}
	}
	return route.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no endpoint is left")
}

func (b *orderedBalancer) Finish(a ident.AttemptID, o route.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[b.attempts[a]] = append(b.outcomes[b.attempts[a]], o)
}

func (b *orderedBalancer) Leaving() []route.LeavingAttempts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.leaving)
}

func (b *orderedBalancer) IsLeaving(id ident.EndpointID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leavingLocked(id)
}

func (b *orderedBalancer) leavingLocked(id ident.EndpointID) bool {
	return slices.ContainsFunc(b.leaving, func(l route.LeavingAttempts) bool { return l.Endpoint == id })
}

func (b *orderedBalancer) Shares(ident.Service) []route.Share {
	return []route.Share{{Version: "v1", Weight: 1}}
}

// Shadow copies every request to the version "v2" if shadow is set.
func (b *orderedBalancer) Shadow(ident.Service, ident.Version) (ident.Version, bool) {
	return "v2", b.shadow
}

func (b *orderedBalancer) Record(o move.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, o.Result)
}

func newSender(t *testing.T, b *orderedBalancer) *Sender {
	t.Helper()
	client := endpoint.NewClient()
	s := New(Options{LeavingInterval: 5 * time.Millisecond}, client, b, b)
	if err := s.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.Stop(context.Background())
		client.Close()
	})
	return s
}

var (
	chatRoute   = config.Route{Name: "chat", Class: ident.ClassLong, Idempotent: true}
	lookupRoute = config.Route{Name: "catalogue", Class: ident.ClassLookup, Idempotent: true}
	orderRoute  = config.Route{Name: "orders", Class: ident.ClassOrder}
)

func newRequest(id ident.RequestID, r config.Route) *entry.Request {
	now := time.Now()
	return &entry.Request{ID: id, Workspace: "families", Route: r, Service: config.Service{Name: "s"}, Arrived: now, Deadline: now.Add(20 * time.Second)}
}

func newChat(tokens int) (chat *entry.ChatCompletion, want string) {
	body := endpoint.ChatRequest{Model: "m", MaxTokens: tokens, Seed: 5, Messages: []endpoint.Message{{Role: "user", Content: strings.Repeat("a long letter. ", 40)}}}
	req := newRequest("n~dc.1.1", chatRoute)
	chat = &entry.ChatCompletion{Request: req, Body: body, Answer: answer.New(req.ID, req.Workspace, "m", true)}
	return chat, engine.NewTokens(endpoint.PromptText(body.Messages), body.Seed).Text(tokens)
}

// TestChat injects each kind of fault into the first engine. The answer must be complete
// in each case.
func TestChat(t *testing.T) {
	tests := []struct {
		name    string
		faults  engine.Faults
		outcome route.Outcome
	}{
		{"no fault", engine.Faults{}, route.OutcomeOK},
		{"refused", engine.Faults{Refuse: true}, route.OutcomeNeutral},
		{"failed", engine.Faults{FailRate: 1}, route.OutcomeFault},
		{"truncated", engine.Faults{TruncateAt: 7}, route.OutcomeFault},
		{"duplicated", engine.Faults{DuplicateRate: 0.5}, route.OutcomeOK},
		{"reordered", engine.Faults{ReorderRate: 0.5}, route.OutcomeFault},
		{"crossed", engine.Faults{CrossRate: 0.5}, route.OutcomeOK}, // chunks of other requests are dropped
		{"error in a success", engine.Faults{HiddenErrorRate: 1}, route.OutcomeFault},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newOrderedBalancer()
			for i, f := range []engine.Faults{tt.faults, {}} {
				id := ident.EndpointID([]string{"first", "second"}[i])
				b.add(t, id, engine.New(engine.Options{ID: id, Version: "v1", Speed: 1000, Faults: f, Seed: 3}).Handler())
			}
			chat, want := newChat(40)
			newSender(t, b).Chat(context.Background(), chat)
			if end := chat.Answer.End(); end.Err != nil || end.Reason == "" || chat.Answer.Text() != want {
				t.Errorf("answer of %d tokens, end %+v", chat.Answer.Len(), end)
			}
			if u := chat.Answer.End().Usage; u.PromptTokens == 0 || u.CompletionTokens != 40 {
				t.Errorf("usage = %+v, want 40 completion tokens and some prompt tokens", u)
			}
			if got := b.outcomes["first"]; !slices.Equal(got, []route.Outcome{tt.outcome}) {
				t.Errorf("outcomes of the first engine = %v, want %v", got, tt.outcome)
			}
			if excused := b.results[0] == move.Excused; excused != (tt.outcome == route.OutcomeNeutral) {
				t.Errorf("result for the version = %v", b.results[0])
			}
		})
	}
}

// TestLeaving marks an engine as leaving in mid-stream. The stream must resume on another
// engine, which imports the KV cache, and the attempt must not count as a fault.
func TestLeaving(t *testing.T) {
	b := newOrderedBalancer()
	first := engine.New(engine.Options{ID: "first", Version: "v1", Speed: 5, PrefillPerSec: 1e6})
	second := engine.New(engine.Options{ID: "second", Version: "v1", Speed: 5, PrefillPerSec: 1e6})
	b.add(t, "first", first.Handler())
	b.add(t, "second", second.Handler())
	s := newSender(t, b)
	s.opts.Attempt.Costs.PrefillPerSec = 10 // makes transferring the KV cache cheaper than computing it
	chat, want := newChat(60)
	go func() {
		for chat.Answer.Len() < 10 {
			time.Sleep(time.Millisecond)
		}
		b.mu.Lock()
		defer b.mu.Unlock()
		b.leaving = []route.LeavingAttempts{{Endpoint: "first", Deadline: time.Now().Add(time.Second)}}
	}()
	s.Chat(context.Background(), chat)
	if chat.Answer.End().Err != nil || chat.Answer.Text() != want {
		t.Errorf("answer of %d tokens, end %+v", chat.Answer.Len(), chat.Answer.End())
	}
	if got := b.outcomes["first"]; !slices.Equal(got, []route.Outcome{route.OutcomeNeutral}) {
		t.Errorf("outcomes of the leaving engine = %v", got)
	}
	if c := second.Status().Counts; c.ImportedTokens == 0 {
		t.Errorf("the second engine imported no cache: %+v", c)
	}
}

// TestShadow sends a shadow copy of a chat completion. Both must count as evidence, and
// the caller must get one answer.
func TestShadow(t *testing.T) {
	b := newOrderedBalancer()
	b.shadow = true
	e := engine.New(engine.Options{ID: "first", Version: "v1", Speed: 1000})
	b.add(t, "first", e.Handler())
	chat, want := newChat(20)
	s := newSender(t, b)
	s.Chat(context.Background(), chat)
	s.shadows.wg.Wait()
	if chat.Answer.Text() != want || e.Status().Counts.Requests != 2 || len(b.results) != 2 || b.results[0] != move.OK || b.results[1] != move.OK {
		t.Errorf("answer of %d tokens, %d requests, results %v", chat.Answer.Len(), e.Status().Counts.Requests, b.results)
	}
}

// TestStall freezes an engine, with its connections open, before the first token and in
// mid-stream. The stream must resume on another engine.
func TestStall(t *testing.T) {
	for name, after := range map[string]int{"before the first token": 0, "in mid-stream": 5} {
		t.Run(name, func(t *testing.T) {
			b := newOrderedBalancer()
			first := engine.New(engine.Options{ID: "first", Version: "v1", Speed: 2, Faults: engine.Faults{Freeze: after == 0}})
			b.add(t, "first", first.Handler())
			b.add(t, "second", engine.New(engine.Options{ID: "second", Version: "v1", Speed: 1000}).Handler())
			s := newSender(t, b)
			s.opts.StallTimeout = 200 * time.Millisecond
			chat, want := newChat(30)
			go func() {
				for chat.Answer.Len() < after {
					time.Sleep(time.Millisecond)
				}
				first.SetFaults(engine.Faults{Freeze: true})
			}()
			s.Chat(context.Background(), chat)
			first.SetFaults(engine.Faults{})
			if chat.Answer.End().Err != nil || chat.Answer.Text() != want {
				t.Errorf("answer of %d tokens, end %+v", chat.Answer.Len(), chat.Answer.End())
			}
			if got := b.outcomes["first"]; !slices.Equal(got, []route.Outcome{route.OutcomeFault}) {
				t.Errorf("outcomes of the frozen engine = %v", got)
			}
		})
	}
}

// pipeListener is an in-memory listener. Unlike sockets, its connections let the time of a
// synctest bubble advance.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// dial has the signature of net.Dialer.DialContext.
func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// TestQueuedRequestIsNotStalled queues a chat completion at its engine for longer than the
// stall timeout. A queued request has no tokens yet and must not count as stalled. The test
// runs on virtual time, as a busy machine delays tokens by more than the stall timeout.
func TestQueuedRequestIsNotStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newOrderedBalancer()
		first := engine.New(engine.Options{ID: "first", Version: "v1", MaxRunning: 1})
		l := newPipeListener()
		srv := &http.Server{Handler: first.Handler()}
		go func() { _ = srv.Serve(l) }()
		b.ids, b.addrs["first"] = []ident.EndpointID{"first"}, "engine.test:80"
		client := endpoint.NewClientWithDialer(l.dial)
		s := New(Options{LeavingInterval: 5 * time.Millisecond, StallTimeout: 50 * time.Millisecond}, client, b, b)
		if err := s.Start(context.Background()); err != nil {
			t.Fatal(err)
		}
		ahead, _ := newChat(20)
		ahead.Request.ID = "n~dc.1.2"
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Chat(context.Background(), ahead)
		}()
		for ahead.Answer.Len() == 0 {
			time.Sleep(time.Millisecond)
		}
		chat, want := newChat(5)
		start := time.Now()
		s.Chat(context.Background(), chat)
		<-done
		if chat.Answer.Text() != want || len(b.outcomes["first"]) != 2 {
			t.Errorf("answer of %d tokens after the attempts %v", chat.Answer.Len(), b.outcomes["first"])
		}
		if waited := time.Since(start); waited <= s.opts.StallTimeout {
			t.Errorf("the request took %s in all and was not queued for longer than the stall timeout", waited)
		}
		_ = s.Stop(context.Background())
		client.Close()
		_ = srv.Close()
	})
}

// scriptedService handles the n-th request according to steps[n-1], and all later ones
// according to the last step.
type scriptedService struct {
	steps []string
	calls atomic.Int32
}

func (f *scriptedService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	step := f.steps[min(int(f.calls.Add(1)), len(f.steps))-1]
	_, _ = io.Copy(io.Discard, r.Body)
	switch step {
	case "refuse":
		w.Header().Set(verdict.Header, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "truncate":
		w.Header().Set("Content-Length", "10")
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	default:
		_, _ = io.WriteString(w, step)
	}
}

// TestForward injects faults into the first endpoint, for an idempotent and a
// non-idempotent request. Only the idempotent one may be retried after it may have run.
func TestForward(t *testing.T) {
	tests := []struct {
		name  string
		route config.Route
		first string
		want  string // the response's body, or the error's verdict
		calls int32  // of both endpoints
	}{
		{"lookup", lookupRoute, "a boot", "a boot", 1},
		{"lookup refused", lookupRoute, "refuse", "again", 2},
		{"lookup truncated", lookupRoute, "truncate", "again", 2},
		{"lookup failed", lookupRoute, "fail", "again", 2},
		{"order", orderRoute, "a plaque", "a plaque", 1},
		{"order refused", orderRoute, "refuse", "again", 2},
		{"order truncated", orderRoute, "truncate", "may-have-run", 1},
		{"order failed", orderRoute, "fail", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newOrderedBalancer()
			first, second := &scriptedService{steps: []string{tt.first}}, &scriptedService{steps: []string{"again"}}
			b.add(t, "first", first)
			b.add(t, "second", second)
			in := httptest.NewRequest(http.MethodPost, "/x", nil)
			got := ""
			err := newSender(t, b).Forward(context.Background(), newRequest("r", tt.route), in, []byte("body"), func(resp *http.Response) error {
				raw, err := io.ReadAll(resp.Body)
				got = string(raw)
				return err
			})
			if err != nil {
				got = verdict.Of(err).String()
			}
			if got != tt.want || first.calls.Load()+second.calls.Load() != tt.calls {
				t.Errorf("got %q after %d calls, want %q after %d; error %v", got, first.calls.Load()+second.calls.Load(), tt.want, tt.calls, err)
			}
		})
	}
}

// TestOrdersOnce sends the same order three times through two nodes, with faults of the
// service and of the store. The order must never take effect twice.
func TestOrdersOnce(t *testing.T) {
	tests := []struct {
		name    string
		faults  service.Faults
		store   memstore.Faults
		effects int
		want    string // verdict of the last attempt, or "ok" for a response
	}{
		{"no fault", service.Faults{}, memstore.Faults{}, 1, "ok"},
		{"truncated after the effect", service.Faults{CutRate: 1}, memstore.Faults{}, 1, "may-have-run"},
		{"refused", service.Faults{RefuseRate: 1}, memstore.Faults{}, 0, "not-run"},
		{"store down", service.Faults{}, memstore.Faults{Down: true}, 0, "not-run"},
		{"store responses lost", service.Faults{}, memstore.Faults{LoseAnswer: 0.5}, 1, "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newOrderedBalancer()
			desk := service.New(service.Options{ID: "desk", Faults: tt.faults})
			b.add(t, "desk", desk.Handler())
			store := memstore.New(memstore.Options{Seed: 1})
			store.SetFaults(tt.store)
			last := ""
			for n, node := range []ident.NodeID{"one", "two", "one"} {
				c := committer.New(store, committer.Options{Ledger: once.Options{Node: node, Incarnation: ident.Incarnation(n + 1)}})
				last = placeOrder(t, newSender(t, b), NewOrders(c), ident.RequestID(node)+ident.RequestID(rune('a'+n)), "{}")
				c.Stop()
			}
			if n := desk.Effects().ByKey["key-1"]; n != tt.effects || last != tt.want {
				t.Errorf("%d effects, last result %q; want %d, %q", n, last, tt.effects, tt.want)
			}
		})
	}
}

// placeOrder sends an order through the ledger and returns "ok" or the verdict.
func placeOrder(t *testing.T, s *Sender, o *Orders, id ident.RequestID, body string) string {
	t.Helper()
	req := newRequest(id, orderRoute)
	req.Key = "key-1"
	req.Deadline = time.Now().Add(3 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	in := httptest.NewRequest(http.MethodPost, "/orders", nil)
	in.Header.Set("Idempotency-Key", req.Key)
	rec, err := o.Do(ctx, req, in, []byte(body), func(ctx context.Context) (*entry.RecordedResponse, error) {
		rec := &entry.RecordedResponse{Header: make(http.Header)}
		err := s.Forward(ctx, req, in, []byte(body), func(resp *http.Response) error {
			var err error
			rec.Status = resp.StatusCode
			rec.Body, err = io.ReadAll(resp.Body)
			return err
		})
		return rec, err
	})
	if err != nil {
		return verdict.Of(err).String()
	}
	if rec.Status != http.StatusOK && rec.Status != http.StatusCreated {
		t.Errorf("response to the order has status %d: %s", rec.Status, rec.Body)
	}
	return "ok"
}

func TestSameKeyOtherBody(t *testing.T) {
	b := newOrderedBalancer()
	desk := service.New(service.Options{ID: "desk"})
	b.add(t, "desk", desk.Handler())
	c := committer.New(memstore.New(memstore.Options{}), committer.Options{Ledger: once.Options{Node: "one", Incarnation: 1}})
	defer c.Stop()
	s, o := newSender(t, b), NewOrders(c)
	if got := placeOrder(t, s, o, "a", "{}"); got != "ok" {
		t.Fatalf("first order: %s", got)
	}
	if got := placeOrder(t, s, o, "b", `{"plaque":2}`); got != "not-run" {
		t.Errorf("same key with another body: %s", got)
	}
	if n := desk.Effects().ByKey["key-1"]; n != 1 {
		t.Errorf("%d effects, want 1", n)
	}
}
