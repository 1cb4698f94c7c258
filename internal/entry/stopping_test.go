package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/answer"
	"github.com/jujubeshed/jujubeshed/internal/drain"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// gateFunc is a Gate whose Acquire is a function.
type gateFunc func()

func (f gateFunc) Acquire(context.Context, *Request) (func(), error) {
	f()
	return func() {}, nil
}

// readerFunc is an io.Reader.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestStoppingServer guards against requests that a stopping node accepts although it exits before
// they end: chat completions after the listener's time, as nobody hands them over any more, and
// others that have too little time. What can end in time is served.
func TestStoppingServer(t *testing.T) {
	now := time.Now()
	deadline := longestDeadline(t)
	for _, c := range []struct {
		what               string
		plan               drain.Plan
		chat, order, other int
	}{
		{"at the beginning", drain.Plan{Begin: now, Close: now.Add(time.Hour), End: now.Add(2 * deadline)}, 200, 200, 200},
		{"with a bound in time", drain.Plan{Begin: now.Add(-time.Hour), Close: now, End: now.Add(2 * deadline)}, 503, 200, 200},
		{"with too little time", drain.Plan{Begin: now.Add(-time.Hour), Close: now.Add(-time.Minute), End: now.Add(time.Millisecond)}, 503, 503, 503},
	} {
		sender := &fakeSender{tokens: []string{"one "}, end: answer.End{Reason: "stop"}}
		s, _ := newServer(t, sender, fakeGate{})
		s.BeginStop(c.plan)
		for _, r := range []struct {
			method, path, body string
			want               int
		}{{"POST", "/chat", goodChat, c.chat}, {"POST", "/orders", "x", c.order}, {"GET", "/catalogue", "", c.other}} {
			w := call(s, r.method, r.path, "families-key", r.body, "Idempotency-Key", "k")
			if w.Code != r.want || w.Header().Get("Connection") != "close" {
				t.Errorf("%s, %s: status %d, want %d; %v", c.what, r.path, w.Code, r.want, w.Header())
			}
			if r.want == http.StatusServiceUnavailable && (w.Header().Get(verdict.Header) != "not-run" || w.Header().Get("Retry-After") == "") {
				t.Errorf("%s, %s: refused with %v", c.what, r.path, w.Header())
			}
		}
	}
}

// longestDeadline returns the longest deadline of a route of the test configuration.
func longestDeadline(t *testing.T) time.Duration {
	s, _ := newServer(t, &fakeSender{}, fakeGate{})
	longest := time.Duration(0)
	for _, r := range s.config.Current().Routes {
		longest = max(longest, r.Deadline)
	}
	return longest
}

// TestStopWhileWaiting guards against requests that waited for admission, or for their body, while
// the node is stopping, and are sent late.
func TestStopWhileWaiting(t *testing.T) {
	late := drain.Plan{Begin: time.Now().Add(-time.Hour), Close: time.Now(), End: time.Now()}
	var s *Server
	checked := false
	sender := &fakeSender{forward: func(_ context.Context, r *Request) {
		checked = true
		if err := r.MayStart(); err == nil || err.Code != verdict.CodeStopping || err.Verdict != verdict.NotRun {
			t.Errorf("after the admission: %v", err)
		}
	}}
	s, _ = newServer(t, sender, gateFunc(func() { s.BeginStop(late) }))
	call(s, "GET", "/catalogue", "families-key", "")
	if !checked {
		t.Error("the request was not passed on to the sender")
	}
	s, _ = newServer(t, &fakeSender{}, fakeGate{})
	r := httptest.NewRequest(http.MethodPost, "/gifts", readerFunc(func([]byte) (int, error) {
		s.BeginStop(late)
		return 0, io.EOF
	}))
	r.Header.Set("Authorization", "Bearer families-key")
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" {
		t.Errorf("after the body: status %d, %v", w.Code, w.Header())
	}
}
