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
	simFaults = time.Minute      // no faults are injected after this time
	simEnd    = 30 * time.Minute // all callers must have finished by this time
)

// sim simulates several nodes with one store, on a simulated clock and with injected
// faults.
type sim struct {
	*simclock.Clock
	store oncetest.Objects
	nodes []*simNode

	outageEnd time.Time // store is unavailable until then
	attempts  int       // number of attempts so far
	effects   map[once.Key]ident.AttemptID
	notRun    map[ident.AttemptID]bool
	callers   []*simCaller
	kinds     map[once.ReplyKind]int
}

type simNode struct {
	id          ident.NodeID
	inc         ident.Incarnation
	ledger      *once.Ledger
	pausedUntil time.Time
	nextTick    time.Time
	calls       map[ident.AttemptID]*simCall
}

// simCall is one call from a caller to a node.
type simCall struct {
	caller  *simCaller
	granted bool // the grant was received
}

// simCaller repeats its request until it knows the outcome.
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
		s.restart(n)
	}
	return s
}

func (s *sim) restart(n *simNode) {
	n.inc++
	n.ledger = once.New(once.Options{Node: n.id, Incarnation: n.inc, Buckets: 2, MaxInlineBody: 64, SealBytes: 200})
	n.calls = make(map[ident.AttemptID]*simCall)
	n.nextTick = time.Time{}
}

func (s *sim) faultsEnabled() bool          { return s.Elapsed() < simFaults }
func (s *sim) faultChance(percent int) bool { return s.faultsEnabled() && s.Chance(percent) }

// afterOnNode runs f on the current incarnation of a node after d, and once the node is not
// paused. It does not run f if the node has been restarted by then.
func (s *sim) afterOnNode(n *simNode, d time.Duration, f func()) {
	inc := n.inc
	var run func()
	run = func() {
		switch {
		case n.inc != inc:
		case s.Now.Before(n.pausedUntil):
			s.After(n.pausedUntil.Sub(s.Now)+s.Within(time.Millisecond), run)
		default:
			f()
		}
	}
	s.After(d, run)
}

func (s *sim) step(n *simNode, ev once.Event) {
	for _, a := range n.ledger.Step(s.Now, ev) {
		s.execute(n, a)
	}
	next := n.ledger.Next()
	if next.IsZero() || (!n.nextTick.IsZero() && !next.Before(n.nextTick)) {
		return
	}
	n.nextTick = next
	s.afterOnNode(n, max(next.Sub(s.Now), 0), func() {
		n.nextTick = time.Time{}
		s.step(n, once.Tick{})
	})
}

func (s *sim) execute(n *simNode, a once.Action) {
	switch a := a.(type) {
	case once.StoreGet:
		s.callStore(n, a.Call, a)
	case once.StorePut:
		s.callStore(n, a.Call, a)
	case once.StoreDelete:
		delete(s.store, a.Object)
	case once.Reply:
		s.handleReply(n, a)
	case once.Recorded:
		if c := n.calls[a.Attempt]; c != nil && !a.Stale {
			c.caller.done = true
		}
	}
}

// callStore carries out a store call. With injected faults it is delayed or duplicated, or
// its request or its response is lost.
func (s *sim) callStore(n *simNode, id once.CallID, a once.Action) {
	requestDelay, responseDelay := s.Within(5*time.Millisecond), s.Within(5*time.Millisecond)
	if s.faultChance(3) {
		requestDelay = s.Within(8 * time.Second) // slow
	}
	result := func(r once.StoreResult) { s.afterOnNode(n, responseDelay, func() { s.step(n, r) }) }
	resultUnknown := func(d time.Duration) {
		s.afterOnNode(n, d, func() { s.step(n, once.StoreResult{Call: id, Err: platformapi.ErrUnknown}) })
	}
	switch {
	case s.faultChance(4): // request lost
		resultUnknown(time.Second)
		return
	case s.faultChance(4): // response lost
		s.After(requestDelay, func() { s.store.Do(a) })
		resultUnknown(time.Second)
		return
	case s.faultChance(4): // may take effect after the time-out
		s.After(s.Within(10*time.Second), func() { s.store.Do(a) })
		resultUnknown(time.Second)
		return
	case s.faultChance(4): // duplicated
		s.After(requestDelay+s.Within(time.Second), func() { s.store.Do(a) })
	}
	s.After(requestDelay, func() {
		if s.Now.Before(s.outageEnd) {
			result(once.StoreResult{Call: id, Err: platformapi.ErrUnavailable})
			return
		}
		result(s.store.Do(a))
	})
}

// sendCall sends a call from a caller to a random node, and the next one 15 to 16 s later
// unless the caller knows the outcome by then.
func (s *sim) sendCall(c *simCaller) {
	if c.done {
		return
	}
	s.attempts++
	n := s.nodes[s.IntN(len(s.nodes))]
	claim := once.Claim{
		Key: c.key, Body: once.DigestOf([]byte(c.body)),
		Attempt: ident.AttemptID(fmt.Sprintf("%s/%d", n.id, s.attempts)), Deadline: s.Now.Add(10 * time.Second),
	}
	s.afterOnNode(n, s.Within(2*time.Millisecond), func() {
		call := &simCall{caller: c}
		n.calls[claim.Attempt] = call
		s.step(n, claim)
		if s.faultChance(10) {
			s.afterOnNode(n, s.Within(20*time.Millisecond), func() { s.withdraw(n, claim, call) })
		}
	})
	s.After(15*time.Second+s.Within(time.Second), func() { s.sendCall(c) })
}

// withdraw cancels a call unless its grant was received.
func (s *sim) withdraw(n *simNode, claim once.Claim, call *simCall) {
	if call.granted {
		return
	}
	delete(n.calls, claim.Attempt)
	s.notRun[claim.Attempt] = true
	s.step(n, once.Withdraw{Key: claim.Key, Attempt: claim.Attempt})
}

func (s *sim) handleReply(n *simNode, r once.Reply) {
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
		s.afterOnNode(n, s.Within(20*time.Millisecond), func() { s.dispatch(n, c, r) })
	case once.Replayed:
		want := responseOf(r.Key, s.effects[r.Key])
		invariant.Check(string(r.Answer.Body) == want, invariant.AnswerMatchesRequest,
			"key %v got %q, want %q", r.Key, r.Answer.Body, want)
		c.caller.done = true
	case once.Conflict, once.Unconfirmed:
		c.caller.done = true
	}
}

// responseOf returns the response of an endpoint to an attempt. For some keys it is larger
// than MaxInlineBody.
func responseOf(k once.Key, a ident.AttemptID) string {
	out := fmt.Sprintf("key %s run by %s", k.Name, a)
	if k.Name[len(k.Name)-1] == '3' {
		out += fmt.Sprintf("%100s", ".")
	}
	return out
}

// dispatch sends a granted request to the endpoint. The node may be paused between the
// check of DispatchBy and the effect.
func (s *sim) dispatch(n *simNode, c *simCall, r once.Reply) {
	finish := func(v verdict.Verdict, body string) {
		s.afterOnNode(n, s.Within(time.Second), func() {
			s.step(n, once.Outcome{Key: r.Key, Attempt: r.Attempt, Verdict: v, Answer: once.Answer{Status: 200, Body: []byte(body)}})
		})
	}
	if n.calls[r.Attempt] == nil {
		return // withdrawn
	}
	c.granted = true
	if !s.Now.Before(r.DispatchBy) || s.Chance(15) {
		s.notRun[r.Attempt] = true
		finish(verdict.NotRun, "")
		return
	}
	s.afterOnNode(n, s.Within(time.Millisecond), func() { s.effect(r, finish) })
}

func (s *sim) effect(r once.Reply, finish func(verdict.Verdict, string)) {
	lost := s.Chance(15)
	if lost && s.Chance(50) { // request lost
		finish(verdict.MayHaveRun, "")
		return
	}
	first, ran := s.effects[r.Key]
	invariant.Check(!ran, invariant.OrderEffectAtMostOnce, "key %v ran as %s and as %s", r.Key, first, r.Attempt)
	invariant.Check(!s.notRun[r.Attempt], invariant.NotRunDidNotRun, "attempt %s", r.Attempt)
	s.effects[r.Key] = r.Attempt
	if lost { // response lost
		finish(verdict.MayHaveRun, "")
		return
	}
	finish(verdict.Ran, responseOf(r.Key, r.Attempt))
}

// injectFaults injects faults of nodes and of the store at random times until simFaults.
func (s *sim) injectFaults() {
	if !s.faultsEnabled() {
		return
	}
	n := s.nodes[s.IntN(len(s.nodes))]
	switch s.IntN(5) {
	case 0:
		n.pausedUntil = s.Now.Add(s.Within(15 * time.Second))
	case 1:
		s.restart(n)
		n.pausedUntil = s.Now.Add(s.Within(2 * time.Second))
	case 2:
		s.outageEnd = s.Now.Add(s.Within(20 * time.Second))
	case 3: // store flaps
		for i := range 10 {
			s.After(time.Duration(i)*200*time.Millisecond, func() { s.outageEnd = s.Now.Add(s.Within(200 * time.Millisecond)) })
		}
	case 4: // hint that a node has ended, which may be wrong
		gone := s.nodes[s.IntN(len(s.nodes))]
		s.step(n, once.NodeGone{Node: gone.id, Incarnation: gone.inc - ident.Incarnation(s.IntN(2))})
	}
	s.After(s.Within(6*time.Second), s.injectFaults)
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
			if s.Chance(50) { // the next copy is not sent at the same time
				at = s.Within(50 * time.Second)
			}
			s.After(at, func() { s.sendCall(c) })
		}
	}
	s.After(0, s.injectFaults)
	s.Run(simEnd)
	for _, c := range s.callers {
		invariant.Check(c.done, invariant.AcceptedFinishes, "caller of %v did not learn the outcome", c.key)
	}
	s.checkNoLeftoverClaims()
}

// checkNoLeftoverClaims checks that the store contains no claim of an attempt that was
// reported as not run by a node that was not restarted since.
func (s *sim) checkNoLeftoverClaims() {
	incarnations := make(map[string]uint64)
	for _, n := range s.nodes {
		incarnations[string(n.id)] = uint64(n.inc)
	}
	for _, o := range s.store {
		var b oncev1.Bucket
		if proto.Unmarshal(o.Value, &b) != nil || b.Format == 0 {
			continue // a response body
		}
		for _, e := range b.Entries {
			invariant.Check(incarnations[e.Node] != e.Incarnation || !s.notRun[ident.AttemptID(e.Attempt)],
				invariant.NotRunDidNotRun, "claim of %s, which was reported as not run, is still stored", e.Attempt)
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
			t.Errorf("no simulation had the reply %q", k)
		}
	}
	t.Logf("replies: %v", kinds)
}
