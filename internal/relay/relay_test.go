package relay

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"github.com/jujubeshed/jujubeshed/api/gen/relay/v1/relayv1connect"
	"github.com/jujubeshed/jujubeshed/internal/bytebudget"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/reach"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// fakeTransport sends by a function, and is not connected to any endpoint if it is nil.
type fakeTransport struct {
	send func(ctx context.Context, a serve.Attempt) (*serve.Answer, error)
}

func (f *fakeTransport) Send(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
	if f.send == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstream, "connect to endpoint %q", a.Endpoint.ID)
	}
	return f.send(ctx, a)
}

func (f *fakeTransport) Migrate(context.Context, serve.Migration) (*serve.KVCopy, error) {
	return &serve.KVCopy{Source: "source", Handle: "h"}, verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "stopped")
}

func (f *fakeTransport) Probe(context.Context, site.Endpoint) serve.Reachability {
	if f.send == nil {
		return serve.Refused
	}
	return serve.Connected
}

func (f *fakeTransport) SetSignals(serve.EndpointSignals) {}

// recorder records what endpoints state.
type recorder struct {
	leaving, limits atomic.Int32
	backOff         atomic.Int64
	refuse          atomic.Bool
}

func (r *recorder) Leaving(site.Endpoint)                    { r.leaving.Add(1) }
func (r *recorder) BackOff(_ site.Endpoint, d time.Duration) { r.backOff.Store(int64(d)) }
func (r *recorder) Limit(site.Endpoint, serve.EndpointLimit) { r.limits.Add(1) }
func (r *recorder) SentUnplaced(site.Endpoint)               {}
func (r *recorder) MaySend(site.Endpoint, placement.SendKind) *verdict.Error {
	if r.refuse.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeNotSent, "refused by the test")
	}
	return nil
}

var testEndpoint = site.Endpoint{ID: "e1", Service: "s", Address: "10.0.0.1:1", Started: time.UnixMilli(1234)}

// pair is a node without paths and one that relays for it with send.
type pair struct {
	origin  *Transport
	signals *recorder
	service *Service
}

func newPair(t *testing.T, send func(ctx context.Context, a serve.Attempt) (*serve.Answer, error)) *pair {
	t.Helper()
	node := func(own *fakeTransport, nodes func(ident.Service, site.Homes) []string) *Transport {
		return NewTransport(Options{
			Transport: own, Services: func() []ident.Service { return []ident.Service{"s"} },
			Endpoints: func(ident.Service) []site.Endpoint { return []site.Endpoint{testEndpoint} }, Nodes: nodes,
			Bodies: bytebudget.New(4 << 20), WallTime: time.Now, Log: slog.New(slog.DiscardHandler), Metrics: prometheus.NewRegistry(),
		})
	}
	p := &pair{signals: &recorder{}}
	p.service = NewService(node(&fakeTransport{send}, func(ident.Service, site.Homes) []string { return nil }), bytebudget.New(4<<20), time.Now, prometheus.NewRegistry())
	mux := http.NewServeMux()
	mux.Handle(p.service.Handler())
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	p.origin = node(&fakeTransport{}, func(ident.Service, site.Homes) []string { return []string{srv.Listener.Addr().String()} })
	p.origin.SetSignals(p.signals)
	p.origin.pathsTo("s").Probed(time.Now(), 0, 3)
	return p
}

// newRequestOf returns an attempt that continues no run.
func newRequestOf() serve.Attempt {
	a := attemptOf(false)
	a.Import = nil
	return a
}

func attemptOf(stream bool) serve.Attempt {
	return serve.Attempt{
		Request:  &serve.Request{ID: "r-1", Method: http.MethodPost, Target: "/a?b", Host: "h", Header: http.Header{"X-A": {"1", "2"}}, Body: []byte("body"), Arrived: time.Now()},
		Endpoint: testEndpoint, Workspace: "w", Deadline: time.Now().Add(3 * time.Second), Priority: 4, After: 7, Stream: stream,
		FetchFrom: "f", Import: &serve.KVCopy{Source: "s", Handle: "h"},
	}
}

// listedEvents are some events and the error after them.
type listedEvents struct {
	n, last int
	end     error
	closed  atomic.Bool
}

func (e *listedEvents) Next() (serve.Event, error) {
	if e.n == e.last {
		return serve.Event{}, e.end
	}
	e.n++
	return serve.Event{ID: e.n, Raw: fmt.Sprintf("id: %d\n\n", e.n)}, nil
}

func (e *listedEvents) Close() { e.closed.Store(true) }

// TestAttemptIsRelayedUnchanged checks that the endpoint gets the attempt as it is, with no more
// time than is left, and the caller's node the response and what the endpoint states in it.
func TestAttemptIsRelayedUnchanged(t *testing.T) {
	want := attemptOf(false)
	var got serve.Attempt
	p := newPair(t, func(_ context.Context, a serve.Attempt) (*serve.Answer, error) {
		got = a
		*a.Statements = serve.Statements{Leaving: true, BackOff: time.Second, LimitStated: true, Limit: serve.EndpointLimit{Named: true, PerSecond: 2, Sent: time.Now()}}
		return &serve.Answer{Head: serve.Head{Status: 201, Header: http.Header{"Server-Seal": {"x"}}}, Body: []byte("answer"), Load: serve.Load{Known: true, Running: 1, Slots: 3}}, nil
	})
	answer, err := p.origin.Send(context.Background(), want)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Release()
	checkAnswer(t, answer)
	r := got.Request
	if r.ID != "r-1" || r.Target != "/a?b" || r.Host != "h" || string(r.Body) != "body" || len(r.Header["X-A"]) != 2 {
		t.Errorf("the endpoint got request %+v", r)
	}
	if got.Workspace != "w" || got.Priority != 4 || got.After != 7 || got.FetchFrom != "f" || got.Import == nil ||
		!got.Endpoint.SameIncarnation(testEndpoint) || got.Deadline.After(want.Deadline.Add(50*time.Millisecond)) {
		t.Errorf("the endpoint got attempt %+v", got)
	}
	if p.signals.leaving.Load() != 1 || p.signals.limits.Load() != 1 || time.Duration(p.signals.backOff.Load()) != time.Second {
		t.Errorf("signals %+v", p.signals)
	}
}

func checkAnswer(t *testing.T, a *serve.Answer) {
	t.Helper()
	if a.Head.Status != 201 || string(a.Body) != "answer" || a.Load.Slots != 3 || a.Head.Header.Get("Server-Seal") != "x" {
		t.Errorf("answer %+v", a)
	}
}

// TestVerdictsOfRelayedAttempts checks that a failure counts as not run only on proof: the other
// node says so, or could not be connected to.
func TestVerdictsOfRelayedAttempts(t *testing.T) {
	brokenOff := errors.Mark(verdict.New(verdict.MayHaveRun, verdict.CodeUpstream, "x"), serve.ErrBrokenOff)
	for name, c := range map[string]struct {
		err  error
		want verdict.Verdict
		code verdict.Code
	}{
		"refused":    {verdict.New(verdict.NotRun, verdict.CodeUnavailable, "x"), verdict.NotRun, verdict.CodeUnavailable},
		"broken off": {brokenOff, verdict.MayHaveRun, verdict.CodeUpstream},
	} {
		p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) { return nil, c.err })
		_, err := p.origin.Send(context.Background(), attemptOf(false))
		if v := verdict.From(err); v.Verdict != c.want || v.Code != c.code || errors.Is(err, serve.ErrBrokenOff) != errors.Is(c.err, serve.ErrBrokenOff) {
			t.Errorf("%s: %v", name, err)
		}
	}
	p := newPair(t, nil)
	p.signals.refuse.Store(true)
	if _, err := p.origin.Send(context.Background(), attemptOf(false)); verdict.From(err).Code != verdict.CodeNotSent {
		t.Errorf("endpoint that wants no calls: %v", err)
	}
	p.signals.refuse.Store(false)
	p.origin.opts.Nodes = func(ident.Service, site.Homes) []string { return []string{"127.0.0.1:1"} } // nothing listens there
	if _, err := p.origin.Send(context.Background(), attemptOf(false)); verdict.Of(err) != verdict.NotRun {
		t.Errorf("node that is down: %v", err)
	}
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer srv.Close()
	p = newPair(t, nil)
	p.origin.opts.Nodes = func(ident.Service, site.Homes) []string { return []string{srv.Listener.Addr().String()} }
	if _, err := p.origin.Send(context.Background(), attemptOf(false)); verdict.Of(err) != verdict.MayHaveRun || verdict.From(err).Code != verdict.CodeRelay {
		t.Errorf("node that breaks off: %v", err)
	}
}

// TestRelayedStream checks that each end of a stream is passed on as what it is, and that the end
// of the call ends the request at its endpoint.
func TestRelayedStream(t *testing.T) {
	for name, end := range map[string]error{"complete": io.EOF, "unmarked": serve.ErrUnmarkedEnd, "broken off": errors.Mark(errors.New("x"), serve.ErrBrokenOff)} {
		p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
			return &serve.Answer{Head: serve.Head{Status: 200}, Events: &listedEvents{last: 3, end: end}}, nil
		})
		answer, err := p.origin.Send(context.Background(), attemptOf(true))
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for ; err == nil; n++ {
			_, err = answer.Events.Next()
		}
		answer.Events.Close()
		if n != 4 || !errors.Is(err, end) && !errors.Is(err, serve.ErrBrokenOff) || errors.Is(err, serve.ErrBrokenOff) != errors.Is(end, serve.ErrBrokenOff) {
			t.Errorf("%s: %d events, then %v", name, n-1, err)
		}
	}
	ended := make(chan struct{})
	p := newPair(t, func(ctx context.Context, _ serve.Attempt) (*serve.Answer, error) {
		context.AfterFunc(ctx, func() { close(ended) })
		return &serve.Answer{Head: serve.Head{Status: 200}, Events: &blockedEvents{ctx}}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	if _, err := p.origin.Send(ctx, attemptOf(true)); err != nil {
		t.Fatal(err)
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Error("the request goes on a second after its caller has left")
	}
}

type blockedEvents struct{ ctx context.Context }

func (e *blockedEvents) Next() (serve.Event, error) {
	<-e.ctx.Done()
	return serve.Event{}, e.ctx.Err()
}

func (e *blockedEvents) Close() {}

// TestRelayedLoadIsBounded checks that a node relays only so many requests at once, none with a
// large body and none once it stops, and waits for the running ones then.
func TestRelayedLoadIsBounded(t *testing.T) {
	release := make(chan struct{})
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
		<-release
		return &serve.Answer{Head: serve.Head{Status: 200}}, nil
	})
	for range maxRelayed {
		if !p.service.acquire(10, false) {
			t.Fatal("refused below the bound")
		}
	}
	if _, err := p.origin.Send(context.Background(), newRequestOf()); verdict.From(err).Code != verdict.CodeNotSent {
		t.Errorf("above the bound: %v", err)
	}
	for range maxRelayed {
		p.service.release(10)
	}
	if p.service.acquire(5<<20, false) {
		t.Error("accepted a body beyond the memory for bodies")
	}
	large := newRequestOf()
	large.Request.Body = []byte(strings.Repeat("x", maxRequestBytes+1))
	if _, err := p.origin.Send(context.Background(), large); verdict.From(err).Code != verdict.CodeNotSent {
		t.Errorf("large body: %v", err)
	}
	time.Sleep(1100 * time.Millisecond) // avoidTime of the node that was full
	done := make(chan error, 1)
	go func() {
		_, err := p.origin.Send(context.Background(), newRequestOf())
		done <- err
	}()
	for p.active() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan error, 1)
	go func() { drained <- p.service.Drain(context.Background()) }()
	time.Sleep(50 * time.Millisecond)
	if p.service.acquire(1, false) {
		t.Error("accepted while stopping")
	}
	select {
	case err := <-drained:
		t.Errorf("drained with a running request: %v", err)
	default:
	}
	close(release)
	if err := errors.CombineErrors(<-done, <-drained); err != nil {
		t.Error(err)
	}
}

func (p *pair) active() int {
	p.service.mu.Lock()
	defer p.service.mu.Unlock()
	return p.service.mu.active
}

// TestRelayOverhead checks the bytes that a relayed request and an event take beside their own.
func TestRelayOverhead(t *testing.T) {
	a := attemptOf(true)
	a.Request.Body = []byte(strings.Repeat("x", 12000))
	if extra := proto.Size(encodeAttempt(a, time.Second, time.Now())) - 12000; extra > 400 {
		t.Errorf("%d bytes beside the body", extra)
	}
}

// TestRefusalIsConfirmed checks that a refused connection counts only if another node is refused,
// too, and that a migration through another node keeps the copy of a stopped request.
func TestRefusalIsConfirmed(t *testing.T) {
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) { return nil, errors.New("x") })
	if r := p.origin.Probe(context.Background(), testEndpoint); r != serve.Connected {
		t.Errorf("endpoint that another node connects to: %d", r)
	}
	kvCopy, err := p.origin.Migrate(context.Background(), serve.Migration{Request: "r-1", From: testEndpoint, To: testEndpoint})
	if err == nil || kvCopy == nil || kvCopy.Handle != "h" {
		t.Errorf("copy %v, error %v", kvCopy, err)
	}
	p = newPair(t, nil)
	if r := p.origin.Probe(context.Background(), testEndpoint); r != serve.Refused {
		t.Errorf("endpoint that refuses both: %d", r)
	}
}

// TestRelayInDoubtIsNotTheLast guards against requests that fail at a node without paths since the
// other node to which they were sent had lost its paths, too, and did not know it yet.
func TestRelayInDoubtIsNotTheLast(t *testing.T) {
	for range 10 { // the other nodes are tried in a random order
		served := 0
		cut := newPair(t, nil)
		cut.service.transport.mu.paths["s"] = reach.NewPaths(time.Now().Add(-time.Second)) // nothing heard since
		sound := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
			served++
			return &serve.Answer{Head: serve.Head{Status: 200}}, nil
		})
		nodes := append(cut.origin.opts.Nodes("s", nil), sound.origin.opts.Nodes("s", nil)...)
		cut.origin.opts.Nodes = func(ident.Service, site.Homes) []string { return nodes }
		if _, err := cut.origin.Send(context.Background(), attemptOf(false)); err != nil || served != 1 {
			t.Errorf("sent %d times, error %v", served, err)
		}
		// The endpoint could have been down instead, so that both are used for other requests.
		if left := cut.origin.chooseRelays("s", nil, 2); len(left) != 2 {
			t.Errorf("only %v are used afterwards", left)
		}
	}
}

// FuzzSendRequest checks that a malformed message neither crashes the service nor blocks it.
func FuzzSendRequest(f *testing.F) {
	raw, _ := proto.Marshal(encodeAttempt(attemptOf(true), time.Second, time.Now()))
	f.Add(raw)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		mux := http.NewServeMux()
		p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
			return &serve.Answer{Head: serve.Head{Status: 200}}, nil
		})
		mux.Handle(p.service.Handler())
		req := httptest.NewRequest(http.MethodPost, relayv1connect.RelayServiceSendProcedure, strings.NewReader(string(raw)))
		req.Header.Set("Content-Type", "application/connect+proto")
		mux.ServeHTTP(httptest.NewRecorder(), req)
	})
}

// TestStoppingNodeRelaysNothingLate guards against requests that a stopping node relays although
// it exits before they end: it refuses them before anything is sent, also if it is stopping
// while it waits for a connection, and the sender may try another node.
func TestStoppingNodeRelaysNothingLate(t *testing.T) {
	var stopsWhileConnecting, stops atomic.Bool
	sent := 0
	p := newPair(t, func(_ context.Context, a serve.Attempt) (*serve.Answer, error) {
		if stopsWhileConnecting.Load() {
			stops.Store(true)
		}
		if err := a.MayStart(); err != nil {
			return nil, err
		}
		sent++
		return &serve.Answer{Head: serve.Head{Status: 200}}, nil
	})
	p.service.transport.opts.MayStart = func(time.Time) *verdict.Error {
		if stops.Load() {
			return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
		}
		return nil
	}
	reserved := 0
	p.service.transport.opts.Reserve = func(site.Endpoint) (func(), *verdict.Error) {
		reserved++
		return func() {}, nil
	}
	for name, c := range map[string]struct {
		set      *atomic.Bool
		reserved int // shares of the endpoint's limit
	}{"before": {&stops, 0}, "while connecting": {&stopsWhileConnecting, 1}} {
		stops.Store(false)
		c.set.Store(true)
		reserved = 0
		a := newRequestOf()
		a.SpendsShare = true
		_, tryNext, err := p.origin.sendThrough(context.Background(), p.origin.opts.Nodes("s", nil)[0], a, time.Second)
		if verdict.Of(err) != verdict.NotRun || verdict.From(err).Code == verdict.CodeStopping || !tryNext || sent > 0 || reserved != c.reserved {
			t.Errorf("%s: error %v, try another node: %t, sent %d times, %d shares taken", name, err, tryNext, sent, reserved)
		}
		c.set.Store(false)
	}
}

// TestStoppingNodeRelaysContinuations guards against streams that are lost since a node has had their
// run stopped for another node, and then refuses the continuation: it stops itself, or relays too many.
func TestStoppingNodeRelaysContinuations(t *testing.T) {
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
		return &serve.Answer{Head: serve.Head{Status: 200}}, nil
	})
	p.service.transport.opts.MayStart = func(time.Time) *verdict.Error {
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
	}
	a := attemptOf(false)
	a.Import = &serve.KVCopy{Source: "127.0.0.1:1", Handle: "h"}
	if _, err := p.origin.Send(context.Background(), a); err != nil {
		t.Errorf("while it stops: %v", err)
	}
	p.service.mu.active, p.service.mu.draining = maxRelayed, true
	if _, err := p.origin.Send(context.Background(), a); err != nil {
		t.Errorf("at its limit: %v", err)
	}
}

// TestStoppingNodeSendsThroughNone guards against a stopping node that sends an attempt through
// another one although it exits before the response.
func TestStoppingNodeSendsThroughNone(t *testing.T) {
	sent := 0
	p := newPair(t, func(context.Context, serve.Attempt) (*serve.Answer, error) {
		sent++
		return &serve.Answer{Head: serve.Head{Status: 200}}, nil
	})
	a := attemptOf(false)
	a.MayStart = func() *verdict.Error { return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping") }
	if _, err := p.origin.Send(context.Background(), a); verdict.Of(err) != verdict.NotRun || sent > 0 {
		t.Errorf("error %v, sent %d times", err, sent)
	}
}
