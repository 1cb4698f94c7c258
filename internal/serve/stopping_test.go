package serve_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// stoppingHandler returns a handler of a node that sends nothing new while stopping is set.
func stoppingHandler(send sendFunc) (*fakeNode, *serve.Handler, *atomic.Bool) {
	node, _ := newFakeNode(nil)
	stopping := &atomic.Bool{}
	return node, serve.NewHandler(serve.Dependencies{
		NodeServices: node, Placement: node, Versions: node, Transport: send, Log: slog.New(slog.DiscardHandler), Metrics: serve.NewMetrics(prometheus.NewRegistry()),
		MayStart: func(time.Time, bool) *verdict.Error {
			if stopping.Load() {
				return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
			}
			return nil
		},
	}), stopping
}

var allRoutes = []string{"/order/1", "/look/1", "/chat/1", "/draft/1"}

// TestStoppingNodeRefuses guards against requests that a stopping node charges for and sends
// although it exits before they end.
func TestStoppingNodeRefuses(t *testing.T) {
	sent := 0
	node, h, stopping := stoppingHandler(func(context.Context, serve.Attempt) (*serve.Answer, error) {
		sent++
		return response(200, "ok"), nil
	})
	stopping.Store(true)
	node.limitReached = true // charging would refuse the requests for another reason
	for _, path := range allRoutes {
		out := &caller{}
		h.Serve(context.Background(), request(path), out)
		if e := out.refused; e == nil || e.Verdict != verdict.NotRun || e.Code != verdict.CodeStopping || e.RetryAfter <= 0 || e.RetryAfter > time.Second {
			t.Errorf("%s: refused with %+v", path, e)
		}
	}
	if sent > 0 || node.charged != 0 {
		t.Errorf("sent %d, charged %v", sent, node.charged)
	}
}

// TestStoppingNodeSendsNoLateAttempt guards against attempts that are sent late, after others have
// failed: the request ends at once, as not run only if no attempt may have run.
func TestStoppingNodeSendsNoLateAttempt(t *testing.T) {
	for path, c := range map[string]struct{ failure, want verdict.Verdict }{
		"/order/1": {verdict.NotRun, verdict.NotRun},
		"/look/1":  {verdict.MayHaveRun, verdict.MayHaveRun},
		"/look/2":  {verdict.NotRun, verdict.NotRun},
		"/chat/1":  {verdict.MayHaveRun, verdict.MayHaveRun},
		"/draft/1": {verdict.NotRun, verdict.NotRun},
	} {
		var stopping *atomic.Bool
		var h *serve.Handler
		sent := 0
		_, h, stopping = stoppingHandler(func(context.Context, serve.Attempt) (*serve.Answer, error) {
			sent++
			stopping.Store(true)
			return nil, refusal(c.failure)
		})
		out := &caller{}
		h.Serve(context.Background(), request(path), out)
		if out.refused == nil || out.refused.Verdict != c.want || out.refused.Code != verdict.CodeStopping || sent != 1 {
			t.Errorf("%s after %s: refused with %v after %d attempts", path, c.failure, out.refused, sent)
		}
	}
}

// TestStoppingNodeResumesStream guards against giving up a stream of which the caller has a part:
// no other node could continue that response.
func TestStoppingNodeResumesStream(t *testing.T) {
	var stopping *atomic.Bool
	var h *serve.Handler
	_, h, stopping = stoppingHandler(func(_ context.Context, a serve.Attempt) (*serve.Answer, error) {
		if a.After == 0 {
			stopping.Store(true)
			return streamResponse("first", numberedEvents(1, 2), io.ErrUnexpectedEOF), nil
		}
		if err := a.MayStart(); err != nil {
			return nil, err
		}
		return streamResponse("second", numberedEvents(a.After+1, 4), io.EOF), nil
	})
	out := &caller{}
	h.Serve(context.Background(), request("/chat/1"), out)
	if out.events != "abcd" || out.aborted {
		t.Errorf("events %q, aborted %t", out.events, out.aborted)
	}
}

// TestSilenceWhileStopping guards against giving up an attempt for its silence while no other may
// take its place.
func TestSilenceWhileStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var stopping *atomic.Bool
		var h *serve.Handler
		_, h, stopping = stoppingHandler(func(ctx context.Context, _ serve.Attempt) (*serve.Answer, error) {
			stopping.Store(true)
			select {
			case <-ctx.Done():
				return nil, refusal(verdict.MayHaveRun)
			case <-time.After(1900 * time.Millisecond): // the caller waits for 2 s
				return streamResponse("late", numberedEvents(1, 4), io.EOF), nil
			}
		})
		out := &caller{}
		h.Serve(context.Background(), request("/chat/1"), out)
		if out.events != "abcd" || out.refused != nil {
			t.Errorf("events %q, refused with %v", out.events, out.refused)
		}
	})
}

// TestTerminateRequests guards against requests that end without a response as the node exits: they
// are refused, as possibly run, and streams of which the caller has a part are aborted.
func TestTerminateRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, h, _ := stoppingHandler(func(ctx context.Context, a serve.Attempt) (*serve.Answer, error) {
			if a.Request.Path == "/chat/begun" {
				answer := streamResponse("begun", nil, nil)
				answer.Events = &silentEvents{events{queue: numberedEvents(1, 2)}, ctx}
				return answer, nil
			}
			<-ctx.Done()
			return nil, refusal(verdict.MayHaveRun)
		})
		begin := time.Now()
		outs := make(map[string]*caller)
		var wg sync.WaitGroup
		for _, path := range append([]string{"/chat/begun"}, allRoutes...) {
			out := &caller{}
			outs[path] = out
			wg.Go(func() { h.Serve(context.Background(), request(path), out) })
		}
		time.Sleep(100 * time.Millisecond) // before the timeouts of the routes
		synctest.Wait()
		if n := h.TerminateRequests(); n != len(outs) {
			t.Errorf("%d requests were ended, want %d", n, len(outs))
		}
		wg.Wait()
		if took := time.Since(begin); took > 100*time.Millisecond {
			t.Errorf("the requests ended after %s", took)
		}
		for path, out := range outs {
			if path == "/chat/begun" {
				if !out.aborted || out.events != "ab" {
					t.Errorf("%s: events %q, aborted %t", path, out.events, out.aborted)
				}
				continue
			}
			if out.refused == nil || out.refused.Verdict != verdict.MayHaveRun || out.refused.Code != verdict.CodeStopping {
				t.Errorf("%s: refused with %v", path, out.refused)
			}
		}
		if n := h.TerminateRequests(); n != 0 {
			t.Errorf("%d requests are still known", n)
		}
	})
}
