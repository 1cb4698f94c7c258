package attempt

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestMaxSentCountsHedges: a lookup that may go to two endpoints failed at the
// first, and its hedge made a third attempt of it.
func TestMaxSentCountsHedges(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Request{ID: "r", Class: ident.ClassLookup, Idempotent: true, Deadline: now.Add(time.Second)},
		Options{MaxAttempts: 2, MaxSent: 2, HedgeAfter: 70 * time.Millisecond}, NewBudget(BudgetOptions{}))
	first := dispatched(t, m.Step(now, Start{}))
	m.Step(now, Picked{Attempt: first, Endpoint: "a"})
	second := dispatched(t, m.Step(now.Add(10*time.Millisecond), Response{Attempt: first, Echo: Echo{"r", first}, Status: 500}))
	m.Step(now, Picked{Attempt: second, Endpoint: "b"})
	if acts := m.Step(now.Add(80*time.Millisecond), Tick{}); len(acts) != 0 {
		t.Errorf("a third attempt was made where two are allowed: %v", acts)
	}
}

// TestRefusalsAreCountedApart: an endpoint that refuses has not run the request, so
// that another may be tried where one run is allowed.
func TestRefusalsAreCountedApart(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Request{ID: "r", Class: ident.ClassOrder, Deadline: now.Add(time.Second)},
		Options{MaxAttempts: 1, MaxSent: 1, MaxRefusals: 2}, NewBudget(BudgetOptions{}))
	id := dispatched(t, m.Step(now, Start{}))
	for range 2 {
		m.Step(now, Picked{Attempt: id, Endpoint: ident.EndpointID(id)})
		id = dispatched(t, m.Step(now, NotDispatched{Attempt: id}))
	}
	m.Step(now, Picked{Attempt: id, Endpoint: "last"})
	acts := m.Step(now, NotDispatched{Attempt: id})
	if len(acts) != 1 {
		t.Fatalf("after three refusals: %v", acts)
	}
	if _, ok := acts[0].(GiveUp); !ok {
		t.Errorf("after three refusals: %v", acts)
	}
}

// TestNeverSentCostsNoBudget: when endpoints crash, requests that met no connection
// go elsewhere even where the budget for retries is used up.
func TestNeverSentCostsNoBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Request{ID: "r", Class: ident.ClassOrder, Deadline: now.Add(time.Second)},
		Options{MaxAttempts: 1, MaxSent: 1, MaxRefusals: 2}, NewBudget(BudgetOptions{Initial: -1}))
	id := dispatched(t, m.Step(now, Start{}))
	m.Step(now, Picked{Attempt: id, Endpoint: "dead"})
	second := dispatched(t, m.Step(now, NotDispatched{Attempt: id, NeverSent: true}))
	m.Step(now, Picked{Attempt: second, Endpoint: "full"})
	acts := m.Step(now, NotDispatched{Attempt: second})
	if _, ok := acts[len(acts)-1].(GiveUp); !ok {
		t.Errorf("a refusal was followed up without a budget: %v", acts)
	}
}

// TestStreamEndsWithCaller: a stream that must not run twice is cancelled when its
// caller has gone.
func TestStreamEndsWithCaller(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Request{ID: "r", Class: ident.ClassLong, Stream: true, EndWithCaller: true, Deadline: now.Add(time.Second)},
		Options{}, NewBudget(BudgetOptions{}))
	id := dispatched(t, m.Step(now, Start{}))
	m.Step(now, Picked{Attempt: id, Endpoint: "a"})
	acts := m.Step(now, CallerGone{})
	if len(acts) == 0 || acts[0] != (Cancel{Attempt: id}) {
		t.Errorf("after the caller has gone: %v", acts)
	}
}

// TestBoundOfABudget: what was saved up falls with the bound.
func TestBoundOfABudget(t *testing.T) {
	b := NewBudget(BudgetOptions{Initial: 5, Max: 5})
	b.Bound(2)
	for i := range 3 {
		if took := b.Take(); took != (i < 2) {
			t.Errorf("retry %d is allowed: %v", i+1, took)
		}
	}
}

// dispatched returns the attempt that the last of some actions asks for.
func dispatched(t *testing.T, acts []Action) ident.AttemptID {
	t.Helper()
	if len(acts) > 0 {
		if d, ok := acts[len(acts)-1].(Dispatch); ok {
			return d.Attempt
		}
	}
	t.Fatalf("no dispatch in %v", acts)
	return ""
}

// TestErrorDoesNotContinueAStream: an endpoint that answers the resume of a stream with
// an error has not continued it; its answer must not end what the caller has.
func TestErrorDoesNotContinueAStream(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(Request{ID: "r", Class: ident.ClassQuick, Idempotent: true, Stream: true, Opaque: true, Deadline: now.Add(10 * time.Second)},
		Options{MaxAttempts: 2, MaxSent: 2}, NewBudget(BudgetOptions{}))
	first := dispatched(t, m.Step(now, Start{}))
	m.Step(now, Picked{Attempt: first, Endpoint: "a"})
	m.Step(now, Chunk{Attempt: first, Echo: Echo{"r", first}, Offset: 0, Tokens: []string{"x"}})
	second := dispatched(t, m.Step(now, Truncated{Attempt: first}))
	m.Step(now, Picked{Attempt: second, Endpoint: "b"})
	for _, a := range m.Step(now, Response{Attempt: second, Echo: Echo{"r", second}, Status: 500}) {
		switch a := a.(type) {
		case Respond, Finish:
			t.Errorf("the stream was ended by %#v", a)
		}
	}
	for _, a := range m.Step(now.Add(10*time.Second), Tick{}) {
		if g, ok := a.(GiveUp); ok && g.Err.Verdict != verdict.MayHaveRun {
			t.Errorf("given up as %v", g.Err)
		}
	}
	if !m.Done() {
		t.Error("the request has not ended by its deadline")
	}
}
