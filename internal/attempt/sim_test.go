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

// simRates are the chances of faults in percent.
type simRates struct {
	notRun, reset, cut, cross, duplicate, swap, drop, stop, gone int
	reclaims, everywhere                                         bool
}

const (
	simEndpoints = 6
	simTokenGap  = 20 * time.Millisecond
	simNotice    = 3 * time.Second
	simEnd       = time.Hour
)

// sim runs many requests over endpoints with faults on a clock of its own.
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

// simClient is one request and what its caller got.
type simClient struct {
	req     attempt.Request
	m       *attempt.Machine
	tickAt  time.Time
	total   int // tokens of its answer
	got     []string
	effects int
	ended   bool
	err     *verdict.Error
	streams map[ident.AttemptID]bool // those not cancelled
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
		invariant.Check(a.Offset == len(c.got), invariant.OffsetsContiguous, "%s got %d after %d", c.req.ID, a.Offset, len(c.got))
		c.got = append(c.got, a.Tokens...)
	case attempt.GiveUp:
		c.ended, c.err = true, a.Err
		invariant.Check(a.Err.Verdict != verdict.NotRun || c.effects == 0, invariant.NotRunDidNotRun, "%s ran", c.req.ID)
		s.stats.Add(c.m.Stats())
	case attempt.Finish:
		c.ended = true
		s.stats.Add(c.m.Stats())
	case attempt.HandOver: // a peer goes on
		s.stats.Add(c.m.Stats())
		c.req.Resume = a.State
		s.After(s.Within(50*time.Millisecond), func() { s.begin(c) })
	}
}

func (s *sim) begin(c *simClient) {
	c.m = attempt.New(c.req, attempt.Options{HedgeAfter: 30 * time.Millisecond, Costs: s.costs}, s.budget)
	for _, e := range s.endpoints {
		if e.leaving {
			s.step(c, attempt.Leaving{Endpoint: e.id, Deadline: e.deadline})
		}
	}
	s.step(c, attempt.Start{})
}

// deliver passes an event of an attempt on to the machine that made it.
func (s *sim) deliver(c *simClient, m *attempt.Machine, d time.Duration, ev attempt.Event) {
	s.After(d, func() {
		if c.m == m {
			s.step(c, ev)
		}
	})
}

func (s *sim) dispatch(c *simClient, d attempt.Dispatch) {
	m := c.m
	var free []*simEndpoint
	for _, e := range s.endpoints {
		if !e.gone && !slices.Contains(d.Exclude, e.id) {
			free = append(free, e)
		}
	}
	if len(free) == 0 {
		s.deliver(c, m, 0, attempt.NotDispatched{Attempt: d.Attempt, NoEndpoint: true, Cause: errors.New("no endpoint")})
		return
	}
	e := free[s.IntN(len(free))]
	s.step(c, attempt.Picked{Attempt: d.Attempt, Endpoint: e.id})
	if !c.streams[d.Attempt] || c.m != m {
		return
	}
	if s.Chance(s.rates.notRun) {
		s.deliver(c, m, time.Millisecond, attempt.NotDispatched{Attempt: d.Attempt, Cause: errors.New("refused")})
		return
	}
	if s.Chance(s.rates.reset) && s.Chance(50) { // lost on the way there
		s.deliver(c, m, time.Millisecond, attempt.Failed{Attempt: d.Attempt, Cause: errors.New("reset")})
		return
	}
	s.After(time.Millisecond, func() { s.arrive(c, m, d, e) })
}

// arrive runs an attempt at an endpoint.
func (s *sim) arrive(c *simClient, m *attempt.Machine, d attempt.Dispatch, e *simEndpoint) {
	if e.gone {
		s.deliver(c, m, time.Millisecond, attempt.Failed{Attempt: d.Attempt, Cause: errors.New("gone")})
		return
	}
	c.effects++
	invariant.Check(c.req.Idempotent || c.effects == 1, invariant.OrderEffectAtMostOnce, "%s ran %d times", c.req.ID, c.effects)
	invariant.Check(d.PrefixText == strings.Join(c.got[:d.ResumeOffset], ""), invariant.OffsetsContiguous, "%s prefix", c.req.ID)
	echo := attempt.Echo{Request: c.req.ID, Attempt: d.Attempt}
	switch {
	case s.Chance(s.rates.reset):
		s.deliver(c, m, s.Within(time.Second), attempt.Failed{Attempt: d.Attempt, Cause: errors.New("reset")})
	case !c.req.Stream:
		if s.Chance(s.rates.cross) {
			echo.Request = "another"
		}
		s.deliver(c, m, s.Within(60*time.Millisecond), attempt.Response{Attempt: d.Attempt, Echo: echo, Status: 200})
	default:
		s.After(s.Within(100*time.Millisecond), func() { s.token(c, m, d.Attempt, echo, d.ResumeOffset, e) })
	}
}

func tokenOf(c *simClient, i int) string { return fmt.Sprintf("%s/%d ", c.req.ID, i) }

// token sends one token of a stream, with faults, and goes on with the next.
func (s *sim) token(c *simClient, m *attempt.Machine, id ident.AttemptID, echo attempt.Echo, at int, e *simEndpoint) {
	if !c.streams[id] || c.m != m {
		return
	}
	if e.gone || s.Chance(s.rates.cut) {
		s.deliver(c, m, 0, attempt.Truncated{Attempt: id})
		return
	}
	chunk := attempt.Chunk{Attempt: id, Echo: echo, Offset: at}
	if at < c.total {
		chunk.Tokens = []string{tokenOf(c, at)}
	} else {
		chunk.Finish, chunk.Total = "stop", c.total
	}
	delay := time.Duration(0)
	if s.Chance(s.rates.swap) {
		delay = s.Within(3 * simTokenGap)
	}
	if !s.Chance(s.rates.drop) {
		s.deliver(c, m, delay, chunk)
	}
	if s.Chance(s.rates.duplicate) {
		s.deliver(c, m, s.Within(time.Second), chunk)
	}
	if s.Chance(s.rates.cross) {
		other := chunk
		other.Echo, other.Tokens = attempt.Echo{Request: "another", Attempt: "another.1"}, []string{"another's "}
		s.deliver(c, m, 0, other)
	}
	if at == c.total {
		s.deliver(c, m, delay+time.Millisecond, attempt.End{Attempt: id})
		return
	}
	s.After(simTokenGap, func() { s.token(c, m, id, echo, at+1, e) })
}

// reclaim announces that an endpoint goes, and replaces it then.
func (s *sim) reclaim(e *simEndpoint) {
	e.leaving, e.deadline = true, s.Now.Add(simNotice)
	for _, c := range s.clients {
		if c.m != nil && !c.ended {
			s.step(c, attempt.Leaving{Endpoint: e.id, Deadline: e.deadline})
		}
	}
	s.After(simNotice, func() { e.gone = true })
	s.After(simNotice+s.Within(3*time.Second), func() {
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
			s.begin(c)
		})
	}
	return s
}

func (s *sim) run() {
	for i := 0; s.rates.reclaims && i < 4; i++ { // waves of half the endpoints or all
		s.After(time.Duration(i)*8*time.Second, func() {
			n := simEndpoints / 2
			if s.rates.everywhere {
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
		s.sometime(c, s.rates.gone, attempt.CallerGone{})
		s.sometime(c, s.rates.stop, attempt.Stop{})
	}
	s.Run(simEnd)
	for _, c := range s.clients {
		s.check(c)
	}
}

// sometime lets an event happen to a request in that percentage of cases.
func (s *sim) sometime(c *simClient, percent int, ev attempt.Event) {
	if !s.Chance(percent) {
		return
	}
	s.After(s.Within(15*time.Second), func() {
		if c.m != nil && !c.ended {
			s.step(c, ev)
		}
	})
}

// check checks what a caller got in the end.
func (s *sim) check(c *simClient) {
	invariant.Check(c.ended, invariant.AcceptedFinishes, "%s has no end", c.req.ID)
	for i, tok := range c.got {
		invariant.Check(tok == tokenOf(c, i), invariant.AnswerMatchesRequest, "%s got %q at %d", c.req.ID, tok, i)
	}
	whole := !c.req.Stream || len(c.got) == c.total
	invariant.Check(c.err != nil || whole, invariant.AcceptedFinishes, "%s ended after %d of %d", c.req.ID, len(c.got), c.total)
}

func TestRandomFaults(t *testing.T) {
	var all attempt.Stats
	ends := make(map[string]int)
	simclock.EachSeed(t, func(seed uint64) {
		s := newSim(seed, simRates{
			notRun: 10, reset: 5, cut: 1, cross: 2, duplicate: 5, swap: 1, drop: 1, stop: 20, gone: 20, reclaims: seed%2 == 0,
		}, 8, 0)
		s.run()
		all.Add(s.stats)
		for _, c := range s.clients {
			if c.err == nil {
				ends["whole"]++
			} else {
				ends[c.err.Verdict.String()]++
			}
		}
	})
	if all.Crossed == 0 || all.Duplicates == 0 || all.Gaps == 0 || ends["not-run"] == 0 || ends["may-have-run"] == 0 {
		t.Errorf("a fault was not met: %+v %v", all, ends)
	}
	t.Logf("%+v %v", all, ends)
}

// TestReclaimCutsNothing runs waves of announced reclaims and node stops without
// other faults: every request ends whole, unless it found no endpoint at all when
// it came and was refused as not run.
func TestReclaimCutsNothing(t *testing.T) {
	total, cut, refused, moved := 0, 0, 0, 0
	simclock.EachSeed(t, func(seed uint64) {
		s := newSim(seed, simRates{stop: 20, reclaims: true, everywhere: seed%3 == 0}, 16, 0)
		s.run()
		moved += s.stats.Resumes
		for _, c := range s.clients {
			total++
			switch {
			case c.err == nil:
			case s.rates.everywhere && c.err.Verdict == verdict.NotRun:
				refused++
			default:
				cut++
				invariant.Check(false, invariant.AcceptedFinishes, "%s: %v", c.req.ID, c.err)
			}
		}
	})
	t.Logf("%d of %d requests cut, %d refused, %d resumes", cut, total, refused, moved)
}

// TestMeasureRecompute prints the tokens computed again over waves of reclaims
// with long streams in flight, against a restart from the prompt.
func TestMeasureRecompute(t *testing.T) {
	const runs, requests, tokens = 10, 50, 600
	for _, costs := range []attempt.Costs{{}, {PrefillPerSec: 5000, KVBytesPerToken: 128 << 10, LinkBytesPerSec: 1.25e9, TransferOverhead: 20 * time.Millisecond}} {
		resumes, again, prompt, cut := 0, 0, 0, 0
		for seed := range uint64(runs) {
			s := newSim(seed, simRates{reclaims: true}, requests, tokens)
			s.costs, prompt = costs, s.prompt
			s.run()
			resumes += s.stats.Resumes
			again += s.stats.RecomputedTokens
			for _, c := range s.clients {
				if c.err != nil {
					cut++
				}
			}
		}
		t.Logf("moved KV: %t; %d streams of %d tokens, %d resumed, %d cut; prompt and prefix tokens computed again: %d",
			costs.PrefillPerSec > 0, runs*requests, tokens, resumes, cut, again)
		if costs.PrefillPerSec == 0 {
			t.Logf("a restart from the prompt computes %d prompt tokens and generates %d tokens again", resumes*prompt, again-resumes*prompt)
		}
		if cut > 0 {
			t.Errorf("%d streams cut", cut)
		}
	}
}
