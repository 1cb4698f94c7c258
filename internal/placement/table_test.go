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
	"llm":  {Name: "llm", Engine: &site.Engine{Slots: 48, CacheTokens: 400_000}},
	"desk": {Name: "desk"},
}

type bench struct {
	t     *testing.T
	now   time.Time
	table *Table
	rng   *rand.Rand
	n     int
}

func newBench(t *testing.T, endpoints ...site.Endpoint) *bench {
	b := &bench{t: t, now: time.Unix(1000, 0), table: New(Options{DataCentre: "a"}), rng: rand.New(rand.NewPCG(1, 2))}
	b.table.SetEndpoints(b.now, endpoints, nil, services)
	return b
}

func llm(id string) site.Endpoint {
	return site.Endpoint{ID: ident.EndpointID(id), Service: "llm", DataCentre: "a", Slots: 48}
}

func desk(id string) site.Endpoint {
	return site.Endpoint{ID: ident.EndpointID(id), Service: "desk", DataCentre: "a", Slots: 6}
}

func some(n int, make func(string) site.Endpoint) []site.Endpoint {
	var out []site.Endpoint
	for i := range n {
		out = append(out, make(fmt.Sprint("e", i)))
	}
	return out
}

func (b *bench) pick(r Request) (Choice, *verdict.Error) { return b.table.Pick(b.now, b.rng, r) }

// send picks and dispatches, and returns the attempt.
func (b *bench) send(r Request) (ident.AttemptID, Choice) {
	b.t.Helper()
	c, err := b.pick(r)
	if err != nil {
		b.t.Fatal(err)
	}
	b.n++
	id := ident.AttemptID(fmt.Sprint("a", b.n))
	b.table.Dispatched(b.now, id, c, r.Prompt)
	return id, c
}

func draft(subject uint64, own int) Request {
	parts := []PromptSegment{{1, 512}, {subject, 4870}, {1_000_000 + uint64(own), 6600}}
	return Request{Service: "llm", Prompt: Prompt{Input: 11982, Output: 400, Segments: parts}}
}

// TestSharedPartsMeet: requests about one subject go to one endpoint, at all nodes,
// while it is not much busier than the others.
func TestSharedPartsMeet(t *testing.T) {
	one, two := newBench(t, some(18, llm)...), newBench(t, some(18, llm)...)
	two.rng = rand.New(rand.NewPCG(3, 4))
	for subject := range uint64(20) {
		_, a := one.send(draft(100+subject, 1))
		_, b := two.send(draft(100+subject, 2))
		if a.Endpoint.ID != b.Endpoint.ID {
			t.Errorf("subject %d goes to %s at one node and to %s at another", subject, a.Endpoint.ID, b.Endpoint.ID)
		}
		one.now, two.now = one.now.Add(time.Second), two.now.Add(time.Second)
	}
}

// TestHotSubjectSpreads answers the pattern of one key that gets much of the
// traffic: its home must not be the only endpoint.
func TestHotSubjectSpreads(t *testing.T) {
	b := newBench(t, some(18, llm)...)
	at := make(map[ident.EndpointID]int)
	for i := range 100 {
		_, c := b.send(draft(7, i))
		at[c.Endpoint.ID]++
		b.now = b.now.Add(10 * time.Millisecond)
	}
	if len(at) < 4 {
		t.Errorf("100 requests in a second about one subject went to %v", at)
	}
}

// TestCrowdIsSpread answers the pattern of a crowd: no endpoint gets much more than
// its part.
func TestCrowdIsSpread(t *testing.T) {
	b := newBench(t, some(18, llm)...)
	at := make(map[ident.EndpointID]int)
	for i := range 360 {
		_, c := b.send(Request{Service: "llm", Prompt: Prompt{Input: 800, Output: 300, Segments: []PromptSegment{{uint64(i % 20), 100}, {uint64(i) + 500, 700}}}})
		at[c.Endpoint.ID]++
	}
	for id, n := range at {
		if n > 40 {
			t.Errorf("%s got %d of 360", id, n)
		}
	}
}

func TestLeavingIsNeverChosen(t *testing.T) {
	going := llm("going")
	going.Leaving = true
	b := newBench(t, going)
	if c, err := b.pick(draft(1, 1)); err == nil || err.Verdict != verdict.NotRun {
		t.Errorf("chose %+v, error %v", c, err)
	}
	again := llm("going") // an older registration that comes late
	b.table.SetEndpoints(b.now, []site.Endpoint{again}, nil, services)
	if c, err := b.pick(draft(1, 1)); err == nil {
		t.Errorf("an endpoint that said that it leaves came back: %+v", c)
	}
	again.Started = time.Unix(5, 0)
	b.table.SetEndpoints(b.now, []site.Endpoint{again}, nil, services)
	if _, err := b.pick(draft(1, 1)); err != nil {
		t.Errorf("a new life of it is not chosen: %v", err)
	}
}

// TestMissingIsTheLastResort: registrations that lapsed while the store was away.
func TestMissingIsTheLastResort(t *testing.T) {
	b := newBench(t)
	b.table.SetEndpoints(b.now, []site.Endpoint{llm("here")}, []site.Endpoint{llm("gone")}, services)
	for i := range 20 {
		if _, c := b.send(draft(uint64(i), i)); c.Endpoint.ID != "here" {
			t.Fatalf("chose %s though another one is registered", c.Endpoint.ID)
		}
	}
	b.table.SetEndpoints(b.now, nil, []site.Endpoint{llm("here"), llm("gone")}, services)
	if _, err := b.pick(draft(1, 1)); err != nil {
		t.Errorf("all lapsed: %v", err)
	}
}

// TestFaultyIsLeftOut: a few faults take an endpoint out of use for a while, but a
// part of a service stays in use whatever fails.
func TestFaultyIsLeftOut(t *testing.T) {
	b := newBench(t, some(4, desk)...)
	fail := func(id ident.EndpointID, n int) {
		for i := range n {
			a := ident.AttemptID(fmt.Sprint(id, i, b.now))
			b.table.Dispatched(b.now, a, Choice{Endpoint: desk(string(id))}, Prompt{})
			b.table.Finished(b.now, a, Fault)
		}
	}
	fail("e0", faultsInRow)
	for range 50 {
		id, c := b.send(Request{Service: "desk"})
		if c.Endpoint.ID == "e0" {
			t.Fatal("chose the endpoint that fails")
		}
		b.table.Finished(b.now, id, Success)
	}
	for _, id := range []ident.EndpointID{"e1", "e2", "e3"} {
		fail(id, faultsInRow)
	}
	if _, err := b.pick(Request{Service: "desk"}); err != nil {
		t.Errorf("all fail: %v", err)
	}
	b.now = b.now.Add(b.table.opts.EjectionTime + faultMemory)
	seen := false
	for range 50 {
		id, c := b.send(Request{Service: "desk"})
		seen = seen || c.Endpoint.ID == "e0"
		b.table.Finished(b.now, id, Success)
	}
	if !seen {
		t.Error("an endpoint that had failed is not tried again")
	}
}

// TestUnreachableIsLeftOutAtOnce: one connection that could not be made is enough.
func TestUnreachableIsLeftOutAtOnce(t *testing.T) {
	b := newBench(t, some(4, desk)...)
	id, c := b.send(Request{Service: "desk"})
	b.table.Finished(b.now, id, Unreachable)
	for range 30 {
		next, again := b.send(Request{Service: "desk"})
		if again.Endpoint.ID == c.Endpoint.ID {
			t.Fatal("chose the endpoint that can't be reached")
		}
		b.table.Finished(b.now, next, Success)
	}
}

// TestHopelessIsRefusedAtOnce: where the estimate passes the deadline, the caller
// is told when to come back.
func TestHopelessIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, llm("e"))
	for i := range 30 {
		b.send(draft(uint64(i), i))
	}
	r := draft(99, 99)
	r.Deadline = b.now.Add(time.Second)
	if c, err := b.pick(r); err == nil || err.Code != verdict.CodeDeadline || err.RetryAfter <= 0 {
		t.Errorf("chose %+v, error %v", c, err)
	}
}

// TestPeersLoadCounts: what the other nodes run is as good as own work.
func TestPeersLoadCounts(t *testing.T) {
	b := newBench(t, some(2, llm)...)
	b.table.SetPeers(map[ident.EndpointID]Load{"e0": {Running: 20, PrefillTokens: 100_000}})
	for i := range 10 {
		if _, c := b.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 10}}); c.Endpoint.ID == "e0" {
			t.Fatalf("request %d went where other nodes have 20 running", i)
		}
	}
}

// TestWorkIsForgotten: nothing stays of attempts that have ended.
func TestWorkIsForgotten(t *testing.T) {
	b := newBench(t, some(3, llm)...)
	var ids []ident.AttemptID
	for i := range 50 {
		id, _ := b.send(draft(uint64(i), i))
		b.table.FirstEvent(b.now.Add(50*time.Millisecond), id)
		ids = append(ids, id)
	}
	for _, id := range ids {
		b.table.Finished(b.now.Add(time.Second), id, Success)
		b.table.Finished(b.now.Add(time.Second), id, Success)
	}
	if u := b.table.Usage(b.now.Add(2*time.Second), "llm"); u.Running != 0 || u.PrefillTokens != 0 || len(b.table.work) != 0 {
		t.Errorf("after all have ended: %+v, %d attempts", u, len(b.table.work))
	}
	for _, m := range b.table.members {
		if m.context != 0 {
			t.Errorf("%s keeps %d tokens", m.ID, m.context)
		}
	}
}
