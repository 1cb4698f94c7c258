package once_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	oncev1 "github.com/jujubeshed/jujubeshed/api/gen/once/v1"
	"github.com/jujubeshed/jujubeshed/internal/attempt/simclock"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/once"
	"github.com/jujubeshed/jujubeshed/internal/once/oncetest"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

const (
	simNodes  = 3
	simKeys   = 10
	simFaults = time.Minute      // faults end here
	simEnd    = 30 * time.Minute // everything has ended by here
)

// sim runs several nodes over one store with faults on a clock of its own.
type sim struct {
	*simclock.Clock
	store oncetest.Objects
	nodes []*simNode

	outage  time.Time // store is down until then
	last    int       // attempts so far
	effects map[once.Key]ident.AttemptID
	notRun  map[ident.AttemptID]bool
	callers []*simCaller
	kinds   map[once.ReplyKind]int
}

type simNode struct {
	id     ident.NodeID
	inc    ident.Incarnation
	ledger *once.Ledger
	paused time.Time
	tickAt time.Time
	calls  map[ident.AttemptID]*simCall
}

// simCall is one call of a caller at one node.
type simCall struct {
	caller     *simCaller
	dispatched bool // the grant was received
}

// simCaller repeats its request until it knows the end.
type simCaller struct {
	key  once.Key
	body string
	done bool
}

func newSim(seed uint64) *sim {
	s := &sim{
		Clock: simclock.New(seed), store: make(oncetest.Objects),
		effects: make(map[once.Key]ident.AttemptID), notRun: make(map[ident.AttemptID]bool),
		kinds: make(map[once.ReplyKind]int),
	}
	for i := range simNodes {
		n := &simNode{id: ident.NodeID(fmt.Sprintf("n%d", i))}
		s.nodes = append(s.nodes, n)
		s.boot(n)
	}
	return s
}

func (s *sim) boot(n *simNode) {
	n.inc++
	n.ledger = once.New(once.Options{Node: n.id, Incarnation: n.inc, Buckets: 2, MaxInlineBody: 64, SealBytes: 200})
	n.calls = make(map[ident.AttemptID]*simCall)
	n.tickAt = time.Time{}
}

func (s *sim) faulty() bool           { return s.Elapsed() < simFaults }
func (s *sim) fault(percent int) bool { return s.faulty() && s.Chance(percent) }

// at runs f on a node's life, once the node isn't paused; never on a later life.
func (s *sim) at(n *simNode, d time.Duration, f func()) {
	inc := n.inc
	var run func()
	run = func() {
		switch {
		case n.inc != inc:
		case s.Now.Before(n.paused):
			s.After(n.paused.Sub(s.Now)+s.Within(time.Millisecond), run)
		default:
			f()
		}
	}
	s.After(d, run)
}

func (s *sim) step(n *simNode, ev once.Event) {
	for _, a := range n.ledger.Step(s.Now, ev) {
		s.do(n, a)
	}
	next := n.ledger.Next()
	if next.IsZero() || (!n.tickAt.IsZero() && !next.Before(n.tickAt)) {
		return
	}
	n.tickAt = next
	s.at(n, max(next.Sub(s.Now), 0), func() {
		n.tickAt = time.Time{}
		s.step(n, once.Tick{})
	})
}

func (s *sim) do(n *simNode, a once.Action) {
	switch a := a.(type) {
	case once.StoreGet:
		s.call(n, a.Call, a)
	case once.StorePut:
		s.call(n, a.Call, a)
	case once.StoreDelete:
		delete(s.store, a.Object)
	case once.Reply:
		s.replied(n, a)
	case once.Recorded:
		if c := n.calls[a.Attempt]; c != nil && !a.Stale {
			c.caller.done = true
		}
	}
}

// call carries a store call out, late, twice, without effect or without answer.
func (s *sim) call(n *simNode, id once.CallID, a once.Action) {
	there, back := s.Within(5*time.Millisecond), s.Within(5*time.Millisecond)
	if s.fault(3) {
		there = s.Within(8 * time.Second) // slow
	}
	result := func(r once.StoreResult) { s.at(n, back, func() { s.step(n, r) }) }
	lost := func(d time.Duration) {
		s.at(n, d, func() { s.step(n, once.StoreResult{Call: id, Err: platformapi.ErrUnknown}) })
	}
	switch {
	case s.fault(4): // never arrives
		lost(time.Second)
		return
	case s.fault(4): // answer lost
		s.After(there, func() { s.store.Do(a) })
		lost(time.Second)
		return
	case s.fault(4): // takes effect after it was given up
		s.After(s.Within(10*time.Second), func() { s.store.Do(a) })
		lost(time.Second)
		return
	case s.fault(4): // arrives twice
		s.After(there+s.Within(time.Second), func() { s.store.Do(a) })
	}
	s.After(there, func() {
		if s.Now.Before(s.outage) {
			result(once.StoreResult{Call: id, Err: platformapi.ErrUnavailable})
			return
		}
		result(s.store.Do(a))
	})
}

// ask sends a call of a caller to some node; the caller gives up on it in time.
func (s *sim) ask(c *simCaller) {
	if c.done {
		return
	}
	s.last++
	n := s.nodes[s.IntN(len(s.nodes))]
	claim := once.Claim{
		Key: c.key, Body: once.DigestOf([]byte(c.body)),
		Attempt: ident.AttemptID(fmt.Sprintf("%s/%d", n.id, s.last)), Deadline: s.Now.Add(10 * time.Second),
	}
	s.at(n, s.Within(2*time.Millisecond), func() {
		call := &simCall{caller: c}
		n.calls[claim.Attempt] = call
		s.step(n, claim)
		if s.fault(10) {
			s.at(n, s.Within(20*time.Millisecond), func() { s.withdraw(n, claim, call) })
		}
	})
	s.After(15*time.Second+s.Within(time.Second), func() { s.ask(c) })
}

// withdraw gives a call up unless its grant was received.
func (s *sim) withdraw(n *simNode, claim once.Claim, call *simCall) {
	if call.dispatched {
		return
	}
	delete(n.calls, claim.Attempt)
	s.notRun[claim.Attempt] = true
	s.step(n, once.Withdraw{Key: claim.Key, Attempt: claim.Attempt})
}

func (s *sim) replied(n *simNode, r once.Reply) {
	s.kinds[r.Kind]++
	c := n.calls[r.Attempt]
	if r.Err != nil && r.Err.Verdict == verdict.NotRun {
		s.notRun[r.Attempt] = true
		_, ran := s.effects[r.Key]
		invariant.Check(!ran || s.effects[r.Key] != r.Attempt, invariant.NotRunDidNotRun, "attempt %s", r.Attempt)
	}
	if c == nil {
		return
	}
	switch r.Kind {
	case once.Granted:
		s.at(n, s.Within(20*time.Millisecond), func() { s.dispatch(n, c, r) })
	case once.Replayed:
		want := answerOf(r.Key, s.effects[r.Key])
		invariant.Check(string(r.Answer.Body) == want, invariant.AnswerMatchesRequest,
			"key %v got %q, want %q", r.Key, r.Answer.Body, want)
		c.caller.done = true
	case once.Conflict, once.Unconfirmed:
		c.caller.done = true
	}
}

// answerOf is what an endpoint answers; for some keys it is large.
func answerOf(k once.Key, a ident.AttemptID) string {
	out := fmt.Sprintf("key %s run by %s", k.Name, a)
	if k.Name[len(k.Name)-1] == '3' {
		out += fmt.Sprintf("%100s", ".")
	}
	return out
}

// dispatch sends a granted request. The node may be paused between the check of
// the bound and the effect.
func (s *sim) dispatch(n *simNode, c *simCall, r once.Reply) {
	end := func(v verdict.Verdict, body string) {
		s.at(n, s.Within(time.Second), func() {
			s.step(n, once.Outcome{Key: r.Key, Attempt: r.Attempt, Verdict: v, Answer: once.Answer{Status: 200, Body: []byte(body)}})
		})
	}
	if n.calls[r.Attempt] == nil {
		return // withdrawn
	}
	c.dispatched = true
	if !s.Now.Before(r.DispatchBy) || s.Chance(15) {
		s.notRun[r.Attempt] = true
		end(verdict.NotRun, "")
		return
	}
	s.at(n, s.Within(time.Millisecond), func() { s.effect(r, end) })
}

func (s *sim) effect(r once.Reply, end func(verdict.Verdict, string)) {
	lost := s.Chance(15)
	if lost && s.Chance(50) {
		end(verdict.MayHaveRun, "")
		return
	}
	first, ran := s.effects[r.Key]
	invariant.Check(!ran, invariant.OrderEffectAtMostOnce, "key %v ran as %s and as %s", r.Key, first, r.Attempt)
	invariant.Check(!s.notRun[r.Attempt], invariant.NotRunDidNotRun, "attempt %s", r.Attempt)
	s.effects[r.Key] = r.Attempt
	if lost {
		end(verdict.MayHaveRun, "")
		return
	}
	end(verdict.Ran, answerOf(r.Key, r.Attempt))
}

// disturb causes faults of nodes and store until their time is over.
func (s *sim) disturb() {
	if !s.faulty() {
		return
	}
	n := s.nodes[s.IntN(len(s.nodes))]
	switch s.IntN(5) {
	case 0:
		n.paused = s.Now.Add(s.Within(15 * time.Second))
	case 1:
		s.boot(n)
		n.paused = s.Now.Add(s.Within(2 * time.Second))
	case 2:
		s.outage = s.Now.Add(s.Within(20 * time.Second))
	case 3: // flapping
		for i := range 10 {
			s.After(time.Duration(i)*200*time.Millisecond, func() { s.outage = s.Now.Add(s.Within(200 * time.Millisecond)) })
		}
	case 4: // true or false
		gone := s.nodes[s.IntN(len(s.nodes))]
		s.step(n, once.NodeGone{Node: gone.id, Incarnation: gone.inc - ident.Incarnation(s.IntN(2))})
	}
	s.After(s.Within(6*time.Second), s.disturb)
}

func (s *sim) run() {
	for i := range simKeys {
		at := s.Within(50 * time.Second)
		for copies := 1 + s.IntN(3); copies > 0; copies-- {
			c := &simCaller{key: once.Key{Workspace: "w", Name: fmt.Sprintf("k%d", i)}, body: "order"}
			if s.Chance(10) {
				c.body = "other order"
			}
			s.callers = append(s.callers, c)
			if s.Chance(50) { // not at the same moment
				at = s.Within(50 * time.Second)
			}
			s.After(at, func() { s.ask(c) })
		}
	}
	s.After(0, s.disturb)
	s.Run(simEnd)
	for _, c := range s.callers {
		invariant.Check(c.done, invariant.AcceptedFinishes, "caller of %v knows no end", c.key)
	}
	s.checkLeft()
}

// checkLeft checks that no claim is left of an attempt that its node, still
// alive, reported as not run.
func (s *sim) checkLeft() {
	lives := make(map[string]uint64)
	for _, n := range s.nodes {
		lives[string(n.id)] = uint64(n.inc)
	}
	for _, o := range s.store {
		var b oncev1.Bucket
		if proto.Unmarshal(o.Value, &b) != nil || b.Format == 0 {
			continue // a body
		}
		for _, e := range b.Entries {
			invariant.Check(lives[e.Node] != e.Incarnation || !s.notRun[ident.AttemptID(e.Attempt)],
				invariant.NotRunDidNotRun, "claim of %s is left", e.Attempt)
		}
	}
}

func TestRandomFaults(t *testing.T) {
	kinds := make(map[once.ReplyKind]int)
	simclock.EachSeed(t, func(seed uint64) {
		s := newSim(seed)
		s.run()
		for k, n := range s.kinds {
			kinds[k] += n
		}
	})
	for k := once.Granted; k <= once.Unavailable; k++ {
		if kinds[k] == 0 {
			t.Errorf("no run had the reply %q", k)
		}
	}
	t.Logf("replies: %v", kinds)
}
