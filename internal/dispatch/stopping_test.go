package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestStoppingNodeSendsNoLateAttempt guards against an attempt that a stopping node sends late, after
// another endpoint has refused the request.
func TestStoppingNodeSendsNoLateAttempt(t *testing.T) {
	b := newOrderedBalancer()
	var stopping atomic.Bool
	first, second := &scriptedService{steps: []string{"refuse"}}, &scriptedService{steps: []string{"again"}}
	b.add(t, "first", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stopping.Store(true)
		first.ServeHTTP(w, r)
	}))
	b.add(t, "second", second)
	r := newRequest("r", orderRoute)
	r.MayStart = func() *verdict.Error {
		if stopping.Load() {
			return verdict.New(verdict.NotRun, verdict.CodeStopping, "stopping")
		}
		return nil
	}
	err := newSender(t, b).Forward(context.Background(), r, httptest.NewRequest(http.MethodPost, "/x", nil), nil, func(*http.Response) error { return nil })
	if e := verdict.From(err); err == nil || e.Verdict != verdict.NotRun || e.Code != verdict.CodeStopping || second.calls.Load() > 0 {
		t.Errorf("error %v after %d late attempts", err, second.calls.Load())
	}
}

// TestTerminatedRequest guards against a request that ends without a response as the node exits,
// or that is reported as a refusal although it may have run.
func TestTerminatedRequest(t *testing.T) {
	b := newOrderedBalancer()
	terminated := make(chan struct{})
	b.add(t, "first", http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(terminated)
		<-r.Context().Done()
	}))
	r := newRequest("r", orderRoute)
	r.Terminated = terminated
	err := newSender(t, b).Forward(context.Background(), r, httptest.NewRequest(http.MethodPost, "/x", nil), nil, func(*http.Response) error { return nil })
	if e := verdict.From(err); err == nil || e.Verdict != verdict.MayHaveRun || e.Code != verdict.CodeUpstream {
		t.Errorf("error %v", err)
	}
}
