package runner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/runner"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	goleak.VerifyTestMain(m)
}

var errReset = errors.New("connection was reset")

// world is a picker, a dialer and a sink. Each endpoint has a script of what it
// does: "ok", "refuse", "reset", "cut N" after N tokens, "hang", "hang N", "cross".
type world struct {
	mu      sync.Mutex
	scripts map[ident.EndpointID]string
	reached chan ident.EndpointID // an endpoint that hangs
	reports []string
	imports []string
	tokens  []string
	status  int
}

var order = []ident.EndpointID{"e1", "e2", "e3"}

func (w *world) Pick(_ context.Context, req runner.PickRequest) (runner.Choice, error) {
	for _, e := range order {
		if _, ok := w.scripts[e]; ok && !slices.Contains(req.Exclude, e) {
			return runner.Choice{Endpoint: e}, nil
		}
	}
	return runner.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no endpoint").After(7 * time.Second)
}

func (w *world) Report(r runner.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = append(w.reports, fmt.Sprintf("%s err=%t cancelled=%t", r.Choice.Endpoint, r.Err != nil, r.Cancelled))
}

func (w *world) Open(ctx context.Context, c runner.Call) (runner.Stream, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.Import.Endpoint != "" {
		w.imports = append(w.imports, fmt.Sprintf("%s of %s to %s", c.Dispatch.ImportFrom, c.Import.Endpoint, c.Choice.Endpoint))
	}
	what, n := w.scripts[c.Choice.Endpoint], -1
	switch what {
	case "refuse":
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").After(3 * time.Second)
	case "reset":
		return nil, errReset
	}
	_, _ = fmt.Sscanf(what, "cut %d", &n)
	_, _ = fmt.Sscanf(what, "hang %d", &n)
	return &stream{w: w, ctx: ctx, call: c, what: what, left: n, at: c.Dispatch.ResumeOffset}, nil
}

const answerTokens = 20

type stream struct {
	w    *world
	ctx  context.Context
	call runner.Call
	what string
	left int // tokens before the script strikes; negative for never
	at   int
}

func (s *stream) Close() error { return nil }

func (s *stream) Recv() (runner.Frame, error) {
	echo := attempt.Echo{Request: s.call.Request.ID, Attempt: s.call.Dispatch.Attempt}
	if s.what == "cross" {
		echo.Request = "another"
	}
	if s.left == 0 || s.what == "hang" {
		if strings.HasPrefix(s.what, "cut") {
			return runner.Frame{}, io.ErrUnexpectedEOF
		}
		s.w.reached <- s.call.Choice.Endpoint
		<-s.ctx.Done()
		return runner.Frame{}, s.ctx.Err()
	}
	s.left--
	if !s.call.Request.Stream {
		return runner.Frame{Response: &attempt.Response{Echo: echo, Status: 200}, Body: "body"}, nil
	}
	c := &attempt.Chunk{Echo: echo, Offset: s.at}
	switch {
	case s.at < answerTokens:
		c.Tokens = []string{fmt.Sprintf("t%d ", s.at)}
	case s.at == answerTokens:
		c.Finish, c.Total = "stop", answerTokens
	default:
		return runner.Frame{End: true}, nil
	}
	s.at++
	return runner.Frame{Chunk: c}, nil
}

func (w *world) Tokens(offset int, tokens []string) error {
	if offset != len(w.tokens) {
		return fmt.Errorf("offset %d after %d tokens", offset, len(w.tokens))
	}
	w.tokens = append(w.tokens, tokens...)
	return nil
}

func (w *world) Response(status int, _ any) error {
	w.status = status
	return nil
}

func TestRun(t *testing.T) {
	stream := attempt.Request{Class: ident.ClassLong, Idempotent: true, Stream: true, MaxTokens: 1000, PromptTokens: 100}
	lookup := attempt.Request{Class: ident.ClassLookup, Idempotent: true}
	orderReq := attempt.Request{Class: ident.ClassOrder}
	tests := []struct {
		name    string
		req     attempt.Request
		scripts string // of e1, e2, e3
		opts    attempt.Options
		control attempt.Event // once an endpoint hangs
		cancel  bool          // once an endpoint hangs
		want    string
	}{
		{"whole stream", stream, "ok", attempt.Options{}, nil, false, "20 tokens; e1 err=false cancelled=false"},
		{"resume", stream, "cut 5,cut 3,ok", attempt.Options{}, nil, false,
			"20 tokens; e1 err=true cancelled=false, e1 err=true cancelled=false, e1 err=true cancelled=false, e2 err=false cancelled=false, e2 err=true cancelled=false, e2 err=true cancelled=false"},
		{"crossed", stream, "cross,ok", attempt.Options{}, nil, false, "20 tokens; e1 err=true cancelled=false, e2 err=false cancelled=false"},
		{"reclaim", stream, "hang 5,ok", attempt.Options{}, attempt.Leaving{Endpoint: "e1", Deadline: time.Now()}, false,
			"20 tokens; e1 err=false cancelled=true, e2 err=false cancelled=false"},
		{"reclaim with import", stream, "hang 5,ok", attempt.Options{Costs: attempt.Costs{PrefillPerSec: 1, KVBytesPerToken: 1, LinkBytesPerSec: 1000}},
			attempt.Leaving{Endpoint: "e1", Deadline: time.Now()}, false,
			"20 tokens; e1 err=false cancelled=true, e2 err=false cancelled=false; import r.1 of e1 to e2"},
		{"hand over", stream, "hang 5", attempt.Options{}, attempt.Stop{}, false, "5 tokens; e1 err=false cancelled=true; hand over at 5"},
		{"caller gone", stream, "hang 5", attempt.Options{}, nil, true, "5 tokens; e1 err=false cancelled=true; deadline (may-have-run) after 1s"},
		{"no endpoint", stream, "refuse,refuse,refuse", attempt.Options{}, nil, false,
			"0 tokens; e1 err=true cancelled=false, e2 err=true cancelled=false, e3 err=true cancelled=false; unavailable (not-run) after 7s"},
		{"hedge", lookup, "hang,ok", attempt.Options{HedgeAfter: time.Millisecond}, nil, false, "status 200; e1 err=false cancelled=true, e2 err=false cancelled=false"},
		{"order refused", orderReq, "refuse,ok", attempt.Options{}, nil, false, "status 200; e1 err=true cancelled=false, e2 err=false cancelled=false"},
		{"order reset", orderReq, "reset,ok", attempt.Options{}, nil, false, "e1 err=true cancelled=false; upstream (may-have-run) after 1s"},
		{"order cut", orderReq, "cut 0,ok", attempt.Options{}, nil, false, "e1 err=true cancelled=false; upstream (may-have-run) after 1s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{scripts: make(map[ident.EndpointID]string), reached: make(chan ident.EndpointID, 8)}
			for i, s := range strings.Split(tt.scripts, ",") {
				w.scripts[order[i]] = s
			}
			tt.req.ID, tt.req.Deadline = "r", time.Now().Add(30*time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			control := make(chan attempt.Event, 1)
			go func() {
				if tt.control == nil && !tt.cancel {
					return
				}
				<-w.reached
				if tt.cancel {
					cancel()
					return
				}
				control <- tt.control
			}()
			res, err := runner.Run(ctx, runner.Request{
				Request: tt.req, Options: tt.opts, Budget: attempt.NewBudget(attempt.BudgetOptions{}), Control: control,
			}, w, w, w)
			if got := w.summary(tt.req, res, err); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

func (w *world) summary(req attempt.Request, res runner.Result, err error) string {
	var parts []string
	if req.Stream {
		parts = append(parts, fmt.Sprintf("%d tokens", len(w.tokens)))
	}
	if w.status != 0 {
		parts = append(parts, fmt.Sprintf("status %d", w.status))
	}
	slices.Sort(w.reports) // an attempt may report after the next has begun
	parts = append(parts, strings.Join(w.reports, ", "))
	for _, i := range w.imports {
		parts = append(parts, "import "+i)
	}
	if res.HandOver != nil {
		parts = append(parts, fmt.Sprintf("hand over at %d", res.HandOver.Offset))
	}
	if err != nil {
		e := verdict.From(err)
		parts = append(parts, fmt.Sprintf("%s (%s) after %s", e.Code, e.Verdict, e.RetryAfter))
	}
	return strings.Join(parts, "; ")
}
