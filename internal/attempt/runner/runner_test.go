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

// fakeService implements Picker, Dialer and Sink. scripts sets the behaviour of each
// endpoint: "ok"; "refuse"; "reset"; "cut N": close the connection after N tokens; "hang";
// "hang N": hang after N tokens; "cross": respond to another request.
type fakeService struct {
	mu      sync.Mutex
	scripts map[ident.EndpointID]string
	hanging chan ident.EndpointID // receives each endpoint that hangs
	reports []string
	imports []string
	tokens  []string
	status  int
}

var order = []ident.EndpointID{"e1", "e2", "e3"}

func (f *fakeService) Pick(_ context.Context, req runner.PickRequest) (runner.Choice, error) {
	for _, e := range order {
		if _, ok := f.scripts[e]; ok && !slices.Contains(req.Exclude, e) {
			return runner.Choice{Endpoint: e}, nil
		}
	}
	return runner.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no endpoint").After(7 * time.Second)
}

func (f *fakeService) Report(r runner.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, fmt.Sprintf("%s err=%t cancelled=%t", r.Choice.Endpoint, r.Err != nil, r.Cancelled))
}

func (f *fakeService) Open(ctx context.Context, c runner.Call) (runner.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Import.Endpoint != "" {
		f.imports = append(f.imports, fmt.Sprintf("%s of %s to %s", c.Dispatch.ImportFrom, c.Import.Endpoint, c.Choice.Endpoint))
	}
	behaviour, n := f.scripts[c.Choice.Endpoint], -1
	switch behaviour {
	case "refuse":
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full").After(3 * time.Second)
	case "reset":
		return nil, errReset
	}
	_, _ = fmt.Sscanf(behaviour, "cut %d", &n)
	_, _ = fmt.Sscanf(behaviour, "hang %d", &n)
	return &stream{f: f, ctx: ctx, call: c, behaviour: behaviour, remaining: n, at: c.Dispatch.ResumeOffset}, nil
}

const responseTokens = 20

type stream struct {
	f         *fakeService
	ctx       context.Context
	call      runner.Call
	behaviour string
	remaining int // tokens before the cut or hang; negative for none
	at        int
}

func (s *stream) Close() error { return nil }

func (s *stream) Recv() (runner.Frame, error) {
	echo := attempt.Echo{Request: s.call.Request.ID, Attempt: s.call.Dispatch.Attempt}
	if s.behaviour == "cross" {
		echo.Request = "another"
	}
	if s.remaining == 0 || s.behaviour == "hang" {
		if strings.HasPrefix(s.behaviour, "cut") {
			return runner.Frame{}, io.ErrUnexpectedEOF
		}
		s.f.hanging <- s.call.Choice.Endpoint
		<-s.ctx.Done()
		return runner.Frame{}, s.ctx.Err()
	}
	s.remaining--
	if !s.call.Request.Stream {
		return runner.Frame{Response: &attempt.Response{Echo: echo, Status: 200}, Body: "body"}, nil
	}
	c := &attempt.Chunk{Echo: echo, Offset: s.at}
	switch {
	case s.at < responseTokens:
		c.Tokens = []string{fmt.Sprintf("t%d ", s.at)}
	case s.at == responseTokens:
		c.Finish, c.Total = "stop", responseTokens
	default:
		return runner.Frame{End: true}, nil
	}
	s.at++
	return runner.Frame{Chunk: c}, nil
}

func (f *fakeService) Tokens(offset int, tokens []string) error {
	if offset != len(f.tokens) {
		return fmt.Errorf("offset %d after %d tokens", offset, len(f.tokens))
	}
	f.tokens = append(f.tokens, tokens...)
	return nil
}

func (f *fakeService) Response(status int, _ any) error {
	f.status = status
	return nil
}

func TestRun(t *testing.T) {
	stream := attempt.Request{Class: ident.ClassLong, Idempotent: true, Stream: true, MaxTokens: 1000, PromptTokens: 100}
	lookup := attempt.Request{Class: ident.ClassLookup, Idempotent: true}
	orderReq := attempt.Request{Class: ident.ClassOrder}
	tests := []struct {
		name    string
		req     attempt.Request
		scripts string // of e1, e2, e3, separated by commas
		opts    attempt.Options
		control attempt.Event // sent once an endpoint hangs
		cancel  bool          // cancel the context once an endpoint hangs
		want    string
	}{
		{"complete stream", stream, "ok", attempt.Options{}, nil, false, "20 tokens; e1 err=false cancelled=false"},
		{"resume", stream, "cut 5,cut 3,ok", attempt.Options{}, nil, false,
			"20 tokens; e1 err=true cancelled=false, e1 err=true cancelled=false, e1 err=true cancelled=false, e2 err=false cancelled=false, e2 err=true cancelled=false, e2 err=true cancelled=false"},
		{"response to another request", stream, "cross,ok", attempt.Options{}, nil, false, "20 tokens; e1 err=true cancelled=false, e2 err=false cancelled=false"},
		{"reclaim", stream, "hang 5,ok", attempt.Options{}, attempt.Leaving{Endpoint: "e1", Deadline: time.Now()}, false,
			"20 tokens; e1 err=false cancelled=true, e2 err=false cancelled=false"},
		{"reclaim with import", stream, "hang 5,ok", attempt.Options{Costs: attempt.Costs{PrefillPerSec: 1, KVBytesPerToken: 1, LinkBytesPerSec: 1000}},
			attempt.Leaving{Endpoint: "e1", Deadline: time.Now()}, false,
			"20 tokens; e1 err=false cancelled=true, e2 err=false cancelled=false; import r.1 of e1 to e2"},
		{"handover", stream, "hang 5", attempt.Options{}, attempt.Stop{}, false, "5 tokens; e1 err=false cancelled=true; hand over at 5"},
		{"caller disconnects", stream, "hang 5", attempt.Options{}, nil, true, "5 tokens; e1 err=false cancelled=true; deadline (may-have-run) after 1s"},
		{"no endpoint", stream, "refuse,refuse,refuse", attempt.Options{}, nil, false,
			"0 tokens; e1 err=true cancelled=false, e2 err=true cancelled=false, e3 err=true cancelled=false; unavailable (not-run) after 7s"},
		{"hedge", lookup, "hang,ok", attempt.Options{HedgeAfter: time.Millisecond}, nil, false, "status 200; e1 err=false cancelled=true, e2 err=false cancelled=false"},
		{"order refused", orderReq, "refuse,ok", attempt.Options{}, nil, false, "status 200; e1 err=true cancelled=false, e2 err=false cancelled=false"},
		{"order reset", orderReq, "reset,ok", attempt.Options{}, nil, false, "e1 err=true cancelled=false; upstream (may-have-run) after 1s"},
		{"order cut", orderReq, "cut 0,ok", attempt.Options{}, nil, false, "e1 err=true cancelled=false; upstream (may-have-run) after 1s"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeService{scripts: make(map[ident.EndpointID]string), hanging: make(chan ident.EndpointID, 8)}
			for i, s := range strings.Split(tt.scripts, ",") {
				f.scripts[order[i]] = s
			}
			tt.req.ID, tt.req.Deadline = "r", time.Now().Add(30*time.Second)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			control := make(chan attempt.Event, 1)
			go func() {
				if tt.control == nil && !tt.cancel {
					return
				}
				<-f.hanging
				if tt.cancel {
					cancel()
					return
				}
				control <- tt.control
			}()
			res, err := runner.Run(ctx, runner.Request{
				Request: tt.req, Options: tt.opts, Budget: attempt.NewBudget(attempt.BudgetOptions{}), Control: control,
			}, f, f, f)
			if got := f.summary(tt.req, res, err); got != tt.want {
				t.Errorf("got  %s\nwant %s", got, tt.want)
			}
		})
	}
}

func (f *fakeService) summary(req attempt.Request, res runner.Result, err error) string {
	var fields []string
	if req.Stream {
		fields = append(fields, fmt.Sprintf("%d tokens", len(f.tokens)))
	}
	if f.status != 0 {
		fields = append(fields, fmt.Sprintf("status %d", f.status))
	}
	slices.Sort(f.reports) // an attempt may report after the next has started
	fields = append(fields, strings.Join(f.reports, ", "))
	for _, i := range f.imports {
		fields = append(fields, "import "+i)
	}
	if res.HandOver != nil {
		fields = append(fields, fmt.Sprintf("hand over at %d", res.HandOver.Offset))
	}
	if err != nil {
		e := verdict.From(err)
		fields = append(fields, fmt.Sprintf("%s (%s) after %s", e.Code, e.Verdict, e.RetryAfter))
	}
	return strings.Join(fields, "; ")
}
