package attempt_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/attempt"
	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// simRates contains the probabilities of faults in percent.
type simRates struct {
	notRun, reset, cut, mismatch, duplicate, reorder, drop, stop, callerGone int
	reclaims, allEndpoints                                                   bool
}

const (
	simEndpoints     = 6
	simTokenInterval = 20 * time.Millisecond
	simReclaimNotice = 3 * time.Second
	simDuration      = time.Hour
)

// sim runs many requests on faulty endpoints on a simulated clock.
type sim struct {
	*simclock.Clock
	rates     simRates
	budget    *attempt.Budget
	endpoints []*simEndpoint
	clients   []*simClient
	stats     attempt.Stats
	prompt    int // tokens of each prompt
	costs     attempt.Costs
}

type simEndpoint struct {
	id       ident.EndpointID
	gone     bool
	leaving  bool
	deadline time.Time
}

// simClient is one request and what its caller received.
type simClient struct {
	req        attempt.Request
	m          *attempt.Machine
	tickAt     time.Time
	total      int // tokens of the complete response
	received   []string
	executions int
	ended      bool
	err        *verdict.Error
	streams    map[ident.AttemptID]bool // attempts not cancelled
}

func (s *sim) step(c *simClient, ev attempt.Event) {
	for _, a := range c.m.Step(s.Now, ev) {
		s.do(c, a)
	}
	m, next := c.m, c.m.Next()
	if next.IsZero() || (next.Equal(c.tickAt)) {
		return
	}
	c.tickAt = next
	s.After(max(next.Sub(s.Now), 0), func() {
		if c.m == m && !m.Done() && next.Equal(c.tickAt) {
			c.tickAt = time.Time{}
			s.step(c, attempt.Tick{})
		}
	})
}

func (s *sim) do(c *simClient, a attempt.Action) {
	switch a := a.(type) {
	case attempt.Dispatch:
		c.streams[a.Attempt] = true
		s.After(s.Within(2*time.Millisecond), func() { s.dispatch(c, a) })
	case attempt.Cancel:
		s.After(s.Within(time.Millisecond), func() { delete(c.streams, a.Attempt) })
	case attempt.Emit:
		invariant.Check(a.Offset == len(c.received), invariant.OffsetsContiguous, "%s received token %d after %d tokens", c.req.ID, a.Offset, len(c.received))
		c.received = append(c.received, a.Tokens...)
	case attempt.GiveUp:
		c.ended, c.err = true, a.Err
		invariant.Check(a.Err.Verdict != verdict.NotRun || c.executions == 0, invariant.NotRunDidNotRun, "%s ran", c.req.ID)
		s.stats.Add(c.m.Stats())
	case attempt.Finish:
		c.ended = true
		s.stats.Add(c.m.Stats())
	case attempt.HandOver: // a peer continues the request
		s.stats.Add(c.m.Stats())
		c.req.Resume = a.State
		s.After(s.Within(50*time.Millisecond), func() { s.start(c) })
	}
}

func (s *sim) start(c *simClient) {
	c.m = attempt.New(c.req, attempt.Options{HedgeAfter: 30 * time.Millisecond, Costs: s.costs}, s.budget)
	for _, e := range s.endpoints {
		if e.leaving {
			s.step(c, attempt.Leaving{Endpoint: e.id, Deadline: e.deadline})
		}
	}
	s.step(c, attempt.Start{})
}

// deliver passes an event of an attempt after d to the machine that dispatched it, unless the
// request has been handed over since.
func (s *sim) deliver(c *simClient, m *attempt.Machine, d time.Duration, ev attempt.Event) {
	s.After(d, func() {
		if c.m == m {
			s.step(c, ev)
		}
	})
}

func (s *sim) dispatch(c *simClient, d attempt.Dispatch) {
	m := c.m
	var available []*simEndpoint
	for _, e := range s.endpoints {
		if !e.gone && !slices.Contains(d.Exclude, e.id) {
			available = append(available, e)
		}
	}
	if len(available) == 0 {
		s.deliver(c, m, 0, attempt.NotDispatched{Attempt: d.Attempt, NoEndpoint: true, Cause: errors.New("no endpoint")})
		return
	}
	e := available[s.IntN(len(available))]
	s.step(c, attempt.Picked{Attempt: d.Attempt, Endpoint: e.id})
	if !c.streams[d.Attempt] || c.m != m {
		return
	}
	if s.Chance(s.rates.notRun) {
		s.deliver(c, m, time.Millisecond, attempt.NotDispatched{Attempt: d.Attempt, Cause: errors.New("refused")})
		return
	}
	if s.Chance(s.rates.reset) && s.Chance(50) { // lost before it reaches the endpoint
		s.deliver(c, m, time.Millisecond, attempt.Failed{Attempt: d.Attempt, Cause: errors.New("reset")})
		return
	}
	s.After(time.Millisecond, func() { s.execute(c, m, d, e) })
}

// execute runs an attempt on an endpoint.
func (s *sim) execute(c *simClient, m *attempt.Machine, d attempt.Dispatch, e *simEndpoint) {
	if e.gone {
		s.deliver(c, m, time.Millisecond, attempt.Failed{Attempt: d.Attempt, Cause: errors.New("gone")})
		return
	}
	c.executions++
	invariant.Check(c.req.Idempotent || c.executions == 1, invariant.OrderEffectAtMostOnce, "%s ran %d times", c.req.ID, c.executions)
	invariant.Check(d.PrefixText == strings.Join(c.received[:d.ResumeOffset], ""), invariant.OffsetsContiguous, "%s: PrefixText differs from the tokens received", c.req.ID)
	echo := attempt.Echo{Request: c.req.ID, Attempt: d.Attempt}
	switch {
	case s.Chance(s.rates.reset):
		s.deliver(c, m, s.Within(time.Second), attempt.Failed{Attempt: d.Attempt, Cause: errors.New("reset")})
	case !c.req.Stream:
		if s.Chance(s.rates.mismatch) {
			echo.Request = "another"
		}
		s.deliver(c, m, s.Within(60*time.Millisecond), attempt.Response{Attempt: d.Attempt, Echo: echo, Status: 200})
	default:
		s.After(s.Within(100*time.Millisecond), func() { s.sendToken(c, m, d.Attempt, echo, d.ResumeOffset, e) })
	}
}

func expectedToken(c *simClient, i int) string { return fmt.Sprintf("%s/%d ", c.req.ID, i) }

// sendToken sends one token of a stream, with faults, and schedules the next.
func (s *sim) sendToken(c *simClient, m *attempt.Machine, id ident.AttemptID, echo attempt.Echo, at int, e *simEndpoint) {
	if !c.streams[id] || c.m != m {
		return
	}
	if e.gone || s.Chance(s.rates.cut) {
		s.deliver(c, m, 0, attempt.Truncated{Attempt: id})
		return
	}
	chunk := attempt.Chunk{Attempt: id, Echo: echo, Offset: at}
	if at < c.total {
		chunk.Tokens = []string{expectedToken(c, at)}
	} else {
		chunk.Finish, chunk.Total = "stop", c.total
	}
	delay := time.Duration(0)
	if s.Chance(s.rates.reorder) {
		delay = s.Within(3 * simTokenInterval)
	}
	if !s.Chance(s.rates.drop) {
		s.deliver(c, m, delay, chunk)
	}
	if s.Chance(s.rates.duplicate) {
		s.deliver(c, m, s.Within(time.Second), chunk)
	}
	if s.Chance(s.rates.mismatch) {
		other := chunk
		other.Echo, other.Tokens = attempt.Echo{Request: "another", Attempt: "another.1"}, []string{"another's "}
		s.deliver(c, m, 0, other)
	}
	if at == c.total {
		s.deliver(c, m, delay+time.Millisecond, attempt.End{Attempt: id})
		return
	}
	s.After(simTokenInterval, func() { s.sendToken(c, m, id, echo, at+1, e) })
}

// reclaim announces the termination of an endpoint, terminates it and later replaces it.
func (s *sim) reclaim(e *simEndpoint) {
	e.leaving, e.deadline = true, s.Now.Add(simReclaimNotice)
	for _, c := range s.clients {
		if c.m != nil && !c.ended {
			s.step(c, attempt.Leaving{Endpoint: e.id, Deadline: e.deadline})
		}
	}
	s.After(simReclaimNotice, func() { e.gone = true })
	s.After(simReclaimNotice+s.Within(3*time.Second), func() {
		s.endpoints = append(s.endpoints, &simEndpoint{id: e.id + "+"})
		s.endpoints = slices.DeleteFunc(s.endpoints, func(o *simEndpoint) bool { return o == e })
	})
}

func newSim(seed uint64, rates simRates, requests, tokens int) *sim {
	s := &sim{
		Clock: simclock.New(seed), rates: rates,
		budget: attempt.NewBudget(attempt.BudgetOptions{}), prompt: 500,
	}
	for i := range simEndpoints {
		s.endpoints = append(s.endpoints, &simEndpoint{id: ident.EndpointID(fmt.Sprintf("e%d", i))})
	}
	classes := []ident.Class{ident.ClassLong, ident.ClassQuick, ident.ClassOrder, ident.ClassLookup}
	for i := range requests {
		class := classes[i%len(classes)]
		if tokens > 0 {
			class = ident.ClassLong
		}
		c := &simClient{total: max(tokens, 1+s.IntN(400)), streams: make(map[ident.AttemptID]bool)}
		c.req = attempt.Request{
			ID: ident.RequestID(fmt.Sprintf("r%d", i)), Class: class, Idempotent: class != ident.ClassOrder,
			Stream: class == ident.ClassLong || class == ident.ClassQuick, PromptTokens: s.prompt, MaxTokens: c.total,
		}
		s.clients = append(s.clients, c)
		s.After(s.Within(10*time.Second), func() {
			c.req.Deadline = s.Now.Add(5 * time.Minute)
			s.start(c)
		})
	}
	return s
}

func (s *sim) run() {
	for i := 0; s.rates.reclaims && i < 4; i++ { // waves of half or all of the endpoints
		s.After(time.Duration(i)*8*time.Second, func() {
			n := simEndpoints / 2
			if s.rates.allEndpoints {
				n = simEndpoints
			}
			for _, e := range slices.Clone(s.endpoints)[:min(n, len(s.endpoints))] {
				if !e.leaving {
					s.reclaim(e)
				}
			}
		})
	}
	for _, c := range s.clients {
		s.scheduleEvent(c, s.rates.callerGone, attempt.CallerGone{})
		s.scheduleEvent(c, s.rates.stop, attempt.Stop{})
	}
	s.Run(simDuration)
	for _, c := range s.clients {
		s.check(c)
	}
}

// scheduleEvent schedules an event for a request with that probability in percent.
func (s *sim) scheduleEvent(c *simClient, percent int, ev attempt.Event) {
	if !s.Chance(percent) {
		return
	}
	s.After(s.Within(15*time.Second), func() {
		if c.m != nil && !c.ended {
			s.step(c, ev)
		}
	})
}

// check verifies that a request ended and what its caller received.
func (s *sim) check(c *simClient) {
	invariant.Check(c.ended, invariant.AcceptedFinishes, "%s has not ended", c.req.ID)
	for i, tok := range c.received {
		invariant.Check(tok == expectedToken(c, i), invariant.AnswerMatchesRequest, "%s received %q at %d", c.req.ID, tok, i)
	}
	complete := !c.req.Stream || len(c.received) == c.total
	invariant.Check(c.err != nil || complete, invariant.AcceptedFinishes, "%s ended after %d of %d tokens", c.req.ID, len(c.received), c.total)
}

func TestRandomFaults(t *testing.T) {
	var all attempt.Stats
	outcomes := make(map[string]int)
	simclock.EachSeed(t, func(seed uint64) {
		s := newSim(seed, simRates{
			notRun: 10, reset: 5, cut: 1, mismatch: 2, duplicate: 5, reorder: 1, drop: 1, stop: 20, callerGone: 20, reclaims: seed%2 == 0,
		}, 8, 0)
		s.run()
		all.Add(s.stats)
		for _, c := range s.clients {
			if c.err == nil {
				outcomes["complete"]++
			} else {
				outcomes[c.err.Verdict.String()]++
			}
		}
	})
	if all.Mismatched == 0 || all.Duplicates == 0 || all.Gaps == 0 || outcomes["not-run"] == 0 || outcomes["may-have-run"] == 0 {
		t.Errorf("a fault did not occur: %+v %v", all, outcomes)
	}
	t.Logf("%+v %v", all, outcomes)
}

// TestReclaimCutsNothing runs waves of announced reclaims and node shutdowns without other
// faults: every request completes, unless no endpoint existed when it arrived and it was
// refused as not run.
func TestReclaimCutsNothing(t *testing.T) {
	total, cut, refused, resumed := 0, 0, 0, 0
	simclock.EachSeed(t, func(seed uint64) {
		s := newSim(seed, simRates{stop: 20, reclaims: true, allEndpoints: seed%3 == 0}, 16, 0)
		s.run()
		resumed += s.stats.Resumes
		for _, c := range s.clients {
			total++
			switch {
			case c.err == nil:
			case s.rates.allEndpoints && c.err.Verdict == verdict.NotRun:
				refused++
			default:
				cut++
				invariant.Check(false, invariant.AcceptedFinishes, "%s: %v", c.req.ID, c.err)
			}
		}
	})
	t.Logf("%d of %d requests cut, %d refused, %d resumes", cut, total, refused, resumed)
}

// TestMeasureRecompute logs the tokens computed again over waves of reclaims with long
// streams in flight, compared with a restart from the prompt.
func TestMeasureRecompute(t *testing.T) {
	const runs, requests, tokens = 10, 50, 600
	for _, costs := range []attempt.Costs{{}, {PrefillPerSec: 5000, KVBytesPerToken: 128 << 10, LinkBytesPerSec: 1.25e9, TransferOverhead: 20 * time.Millisecond}} {
		resumes, recomputed, prompt, cut := 0, 0, 0, 0
		for seed := range uint64(runs) {
			s := newSim(seed, simRates{reclaims: true}, requests, tokens)
			s.costs, prompt = costs, s.prompt
			s.run()
			resumes += s.stats.Resumes
			recomputed += s.stats.RecomputedTokens
			for _, c := range s.clients {
				if c.err != nil {
					cut++
				}
			}
		}
		t.Logf("KV transfer: %t; %d streams of %d tokens, %d resumed, %d cut; prompt and prefix tokens computed again: %d",
			costs.PrefillPerSec > 0, runs*requests, tokens, resumes, cut, recomputed)
		if costs.PrefillPerSec == 0 {
			t.Logf("a restart from the prompt computes %d prompt tokens and generates %d tokens again", resumes*prompt, recomputed-resumes*prompt)
		}
		if cut > 0 {
			t.Errorf("%d streams cut", cut)
		}
	}
}
