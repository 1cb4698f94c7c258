package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

var services = map[ident.Service]site.Service{
	"llm":   {Name: "llm", Engine: &site.Engine{Slots: 48, CacheTokens: 400_000}},
	"plain": {Name: "plain"},
}

type fixture struct {
	t     *testing.T
	now   time.Time
	table *Table
	rng   *rand.Rand
	sent  int
}

func newFixture(t *testing.T, endpoints ...site.Endpoint) *fixture {
	f := &fixture{t: t, now: time.Unix(1000, 0), table: New(Options{DataCentre: "a"}), rng: rand.New(rand.NewPCG(1, 2))}
	f.table.SetEndpoints(f.now, endpoints, nil, services)
	return f
}

func llmEndpoint(id string) site.Endpoint {
	return site.Endpoint{ID: ident.EndpointID(id), Service: "llm", DataCentre: "a", Slots: 48}
}

func plainEndpoint(id string) site.Endpoint {
	return site.Endpoint{ID: ident.EndpointID(id), Service: "plain", DataCentre: "a", Slots: 6}
}

func makeEndpoints(n int, newEndpoint func(string) site.Endpoint) []site.Endpoint {
	var out []site.Endpoint
	for i := range n {
		out = append(out, newEndpoint(fmt.Sprint("e", i)))
	}
	return out
}

func (f *fixture) pick(r Request) (Choice, *verdict.Error) { return f.table.Pick(f.now, f.rng, r) }

// send picks an endpoint and dispatches an attempt to it.
func (f *fixture) send(r Request) (ident.AttemptID, Choice) {
	f.t.Helper()
	c, err := f.pick(r)
	if err != nil {
		f.t.Fatal(err)
	}
	f.sent++
	id := ident.AttemptID(fmt.Sprint("a", f.sent))
	f.table.Dispatched(f.now, id, c, r.Prompt)
	return id, c
}

func sharedPrefixRequest(prefix uint64, unique int) Request {
	// All requests with the same prefix have the same first two segments.
	segments := []PromptSegment{{1, 512}, {prefix, 4870}, {1_000_000 + uint64(unique), 6600}}
	return Request{Service: "llm", Prompt: Prompt{Input: 11982, Output: 400, Segments: segments}}
}

// Requests with the same prefix go to the same endpoint at all nodes, while it is not much
// busier than the others.
func TestSharedPrefixGoesToOneEndpoint(t *testing.T) {
	one, two := newFixture(t, makeEndpoints(18, llmEndpoint)...), newFixture(t, makeEndpoints(18, llmEndpoint)...)
	two.rng = rand.New(rand.NewPCG(3, 4))
	for prefix := range uint64(20) {
		_, a := one.send(sharedPrefixRequest(100+prefix, 1))
		_, b := two.send(sharedPrefixRequest(100+prefix, 2))
		if a.Endpoint.ID != b.Endpoint.ID {
			t.Errorf("prefix %d goes to %s at one node and to %s at another", prefix, a.Endpoint.ID, b.Endpoint.ID)
		}
		one.now, two.now = one.now.Add(time.Second), two.now.Add(time.Second)
	}
}

// A prefix with much of the traffic must not go to its home endpoint only.
func TestHotPrefixIsSpread(t *testing.T) {
	f := newFixture(t, makeEndpoints(18, llmEndpoint)...)
	perEndpoint := make(map[ident.EndpointID]int)
	for i := range 100 {
		_, c := f.send(sharedPrefixRequest(7, i))
		perEndpoint[c.Endpoint.ID]++
		f.now = f.now.Add(10 * time.Millisecond)
	}
	if len(perEndpoint) < 4 {
		t.Errorf("100 requests with one prefix within a second went to %v", perEndpoint)
	}
}

// In a burst of requests no endpoint gets much more than its share.
func TestBurstIsSpreadEvenly(t *testing.T) {
	f := newFixture(t, makeEndpoints(18, llmEndpoint)...)
	perEndpoint := make(map[ident.EndpointID]int)
	for i := range 360 {
		_, c := f.send(Request{Service: "llm", Prompt: Prompt{Input: 800, Output: 300, Segments: []PromptSegment{{uint64(i % 20), 100}, {uint64(i) + 500, 700}}}})
		perEndpoint[c.Endpoint.ID]++
	}
	for id, n := range perEndpoint {
		if n > 40 {
			t.Errorf("%s got %d of 360", id, n)
		}
	}
}

func TestLeavingEndpointIsNeverChosen(t *testing.T) {
	leaving := llmEndpoint("leaving")
	leaving.Leaving = true
	f := newFixture(t, leaving)
	if c, err := f.pick(sharedPrefixRequest(1, 1)); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("chose %+v, error %v", c, err)
	}
	registered := llmEndpoint("leaving") // an older registration that arrives late
	f.table.SetEndpoints(f.now, []site.Endpoint{registered}, nil, services)
	if c, err := f.pick(sharedPrefixRequest(1, 1)); err == nil {
		t.Errorf("the leaving endpoint was chosen after an older registration: %+v", c)
	}
	registered.Started = time.Unix(5, 0)
	f.table.SetEndpoints(f.now, []site.Endpoint{registered}, nil, services)
	if _, err := f.pick(sharedPrefixRequest(1, 1)); err != nil {
		t.Errorf("a new incarnation is not chosen: %v", err)
	}
}

// Registrations expire while the store is unreachable: missing endpoints are used only where
// no other is listed.
func TestMissingEndpointIsLastResort(t *testing.T) {
	f := newFixture(t)
	f.table.SetEndpoints(f.now, []site.Endpoint{llmEndpoint("listed")}, []site.Endpoint{llmEndpoint("missing")}, services)
	for i := range 20 {
		if _, c := f.send(sharedPrefixRequest(uint64(i), i)); c.Endpoint.ID != "listed" {
			t.Fatalf("chose %s though another endpoint is listed", c.Endpoint.ID)
		}
	}
	f.table.SetEndpoints(f.now, nil, []site.Endpoint{llmEndpoint("listed"), llmEndpoint("missing")}, services)
	if _, err := f.pick(sharedPrefixRequest(1, 1)); err != nil {
		t.Errorf("all endpoints missing: %v", err)
	}
}

// Consecutive faults eject an endpoint for a time, but a fraction of the endpoints of a
// service is never ejected.
func TestFaultyEndpointIsEjected(t *testing.T) {
	f := newFixture(t, makeEndpoints(4, plainEndpoint)...)
	fail := func(id ident.EndpointID, n int) {
		for i := range n {
			a := ident.AttemptID(fmt.Sprint(id, i, f.now))
			f.table.Dispatched(f.now, a, Choice{Endpoint: plainEndpoint(string(id))}, Prompt{})
			f.table.Finished(f.now, a, OutcomeFault)
		}
	}
	fail("e0", consecutiveFaultLimit)
	for range 50 {
		id, c := f.send(Request{Service: "plain"})
		if c.Endpoint.ID == "e0" {
			t.Fatal("chose the ejected endpoint")
		}
		f.table.Finished(f.now, id, OutcomeSuccess)
	}
	for _, id := range []ident.EndpointID{"e1", "e2", "e3"} {
		fail(id, consecutiveFaultLimit)
	}
	if _, err := f.pick(Request{Service: "plain"}); err != nil {
		t.Errorf("all endpoints faulty: %v", err)
	}
	f.now = f.now.Add(f.table.opts.EjectionTime + faultRateRetention)
	chosen := false
	for range 50 {
		id, c := f.send(Request{Service: "plain"})
		chosen = chosen || c.Endpoint.ID == "e0"
		f.table.Finished(f.now, id, OutcomeSuccess)
	}
	if !chosen {
		t.Error("the endpoint is not used again after its ejection")
	}
}

// A single connection that could not be established ejects an endpoint.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	f := newFixture(t, makeEndpoints(4, plainEndpoint)...)
	id, c := f.send(Request{Service: "plain"})
	f.table.Finished(f.now, id, OutcomeUnreachable)
	for range 30 {
		next, retry := f.send(Request{Service: "plain"})
		if retry.Endpoint.ID == c.Endpoint.ID {
			t.Fatal("chose the unreachable endpoint")
		}
		f.table.Finished(f.now, next, OutcomeSuccess)
	}
}

// A request whose estimate exceeds its deadline is refused with a retry delay.
func TestUnmeetableDeadlineIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, llmEndpoint("e"))
	for i := range 30 {
		f.send(sharedPrefixRequest(uint64(i), i))
	}
	r := sharedPrefixRequest(99, 99)
	r.Deadline = f.now.Add(time.Second)
	if c, err := f.pick(r); err == nil || err.Code != verdict.CodeDeadline || err.RetryAfter <= 0 {
		t.Errorf("chose %+v, error %v", c, err)
	}
}

// The load of other nodes counts like this node's own.
func TestPeerLoadCounts(t *testing.T) {
	f := newFixture(t, makeEndpoints(2, llmEndpoint)...)
	f.table.SetPeers(map[ident.EndpointID]Load{"e0": {Running: 20, PrefillTokens: 100_000}})
	for i := range 10 {
		if _, c := f.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 10}}); c.Endpoint.ID == "e0" {
			t.Fatalf("request %d went where other nodes have 20 running", i)
		}
	}
}

// No state of finished attempts is kept.
func TestFinishedAttemptsAreRemoved(t *testing.T) {
	f := newFixture(t, makeEndpoints(3, llmEndpoint)...)
	var ids []ident.AttemptID
	for i := range 50 {
		id, _ := f.send(sharedPrefixRequest(uint64(i), i))
		f.table.FirstEvent(f.now.Add(50*time.Millisecond), id)
		ids = append(ids, id)
	}
	for _, id := range ids {
		f.table.Finished(f.now.Add(time.Second), id, OutcomeSuccess)
		f.table.Finished(f.now.Add(time.Second), id, OutcomeSuccess)
	}
	if u := f.table.Usage(f.now.Add(2*time.Second), "llm"); u.Running != 0 || u.PrefillTokens != 0 || len(f.table.attempts) != 0 {
		t.Errorf("after all attempts have finished: %+v, %d attempts", u, len(f.table.attempts))
	}
	for _, m := range f.table.members {
		if m.contextTokens != 0 {
			t.Errorf("%s still has %d context tokens", m.ID, m.contextTokens)
		}
	}
}
