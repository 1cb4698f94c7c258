package attempt_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// script runs the commands of one test file on one machine at a time; the argument n is the
// number of an attempt.
type script struct {
	now    time.Time
	m      *attempt.Machine
	budget *attempt.Budget
	out    strings.Builder
}

func (s *script) step(ev attempt.Event) string {
	for _, a := range s.m.Step(s.now, ev) {
		switch a := a.(type) {
		case attempt.Dispatch:
			fmt.Fprintf(&s.out, "dispatch %s at %d text=%q exclude=%v", a.Attempt, a.ResumeOffset, a.PrefixText, a.Exclude)
			if a.Prefer != "" {
				fmt.Fprintf(&s.out, " prefer=%s", a.Prefer)
			}
			if a.ImportFrom != "" {
				fmt.Fprintf(&s.out, " import from %s", a.ImportFrom)
			}
			if a.Hedge {
				s.out.WriteString(" hedge")
			}
			s.out.WriteString("\n")
		case attempt.Emit:
			fmt.Fprintf(&s.out, "emit %d %q\n", a.Offset, a.Tokens)
		case attempt.GiveUp:
			fmt.Fprintf(&s.out, "give up: %v, retry after %s\n", a.Err, a.Err.RetryAfter)
		default:
			fmt.Fprintf(&s.out, "%T %+v\n", a, a)
		}
	}
	return s.out.String()
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(name, def string) string {
		if d.HasArg(name) {
			d.ScanArgs(t, name, &def)
		}
		return def
	}
	num := func(name string, def int) int {
		d.MaybeScanArgs(t, name, &def)
		return def
	}
	ms := func(name string, def int) time.Duration { return time.Duration(num(name, def)) * time.Millisecond }
	id := ident.AttemptID(fmt.Sprintf("r.%d", num("n", 1)))
	echo := attempt.Echo{Request: ident.RequestID(arg("request", "r")), Attempt: ident.AttemptID(arg("echo", string(id)))}
	s.out.Reset()
	switch d.Cmd {
	case "request":
		class, err := ident.ParseClass(arg("class", "long"))
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		req := attempt.Request{
			ID: "r", Class: class, Idempotent: !d.HasArg("once"), Stream: !d.HasArg("single"),
			Deadline: s.now.Add(ms("deadline", 60000)), PromptTokens: 100, MaxTokens: num("max", 0),
			Resume: attempt.State{Attempts: num("attempts", 0), Offset: num("offset", 0), Text: arg("text", ""), Endpoint: ident.EndpointID(arg("endpoint", ""))},
		}
		if d.HasArg("dispatchby") {
			req.DispatchBy = s.now.Add(ms("dispatchby", 0))
		}
		opts := attempt.Options{HedgeAfter: ms("hedge", 0)}
		if d.HasArg("kv") { // prefill takes 1 ms per token, a transfer kv microseconds per token
			opts.Costs = attempt.Costs{PrefillPerSec: 1000, KVBytesPerToken: float64(num("kv", 0)), LinkBytesPerSec: 1e6, TransferOverhead: 20 * time.Millisecond}
		}
		s.budget = attempt.NewBudget(attempt.BudgetOptions{Initial: []float64{-1, 1, 10}[min(num("budget", 10), 2)]})
		s.m = attempt.New(req, opts, s.budget)
		return s.step(attempt.Start{})
	case "picked":
		return s.step(attempt.Picked{Attempt: id, Endpoint: ident.EndpointID(arg("endpoint", "e1"))})
	case "not-dispatched":
		return s.step(attempt.NotDispatched{Attempt: id, NoEndpoint: d.HasArg("none"), Stopping: d.HasArg("stopping"), RetryAfter: ms("after", 0), Cause: errors.New("refused")})
	case "failed":
		return s.step(attempt.Failed{Attempt: id, Cause: errors.New("connection was reset")})
	case "chunk":
		return s.step(attempt.Chunk{
			Attempt: id, Echo: echo, Offset: num("offset", 0), Tokens: strings.Fields(strings.ReplaceAll(arg("tokens", ""), "-", " ")),
			Finish: arg("finish", ""), Total: num("total", 0),
		})
	case "end":
		return s.step(attempt.End{Attempt: id})
	case "truncated":
		return s.step(attempt.Truncated{Attempt: id})
	case "response":
		return s.step(attempt.Response{Attempt: id, Echo: echo, Status: num("status", 200)})
	case "leaving":
		return s.step(attempt.Leaving{Endpoint: ident.EndpointID(arg("endpoint", "e1")), Deadline: s.now.Add(ms("in", 10000))})
	case "stop":
		return s.step(attempt.Stop{})
	case "terminate":
		return s.step(attempt.Terminate{})
	case "caller-gone":
		return s.step(attempt.CallerGone{})
	case "tick":
		s.now = s.now.Add(ms("ms", 0))
		return s.step(attempt.Tick{})
	case "stats":
		return fmt.Sprintf("%+v done=%t next=%s\n", s.m.Stats(), s.m.Done(), max(s.m.Next().Sub(s.now), 0))
	}
	d.Fatalf(t, "unknown command %q", d.Cmd)
	return ""
}

func TestScripts(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{now: time.Unix(1_700_000_000, 0)}
		datadriven.RunTest(t, path, s.run)
	})
}
