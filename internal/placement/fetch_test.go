package placement

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// linked are engines that exchange KV cache.
var linked = map[ident.Service]site.Service{
	"llm": {Name: "llm", Engine: &site.Engine{Slots: 48, CacheTokens: 400_000, TokenBytes: 160_000, LinkBytes: 50e9, MovesRuns: true}},
}

func linkedBench(t *testing.T, n int) *bench {
	b := newBench(t)
	list := some(n, llm)
	for i := range list {
		list[i].Address = string(list[i].ID) + ":1"
	}
	b.table.SetEndpoints(b.now, list, nil, linked)
	return b
}

// TestSharedPrefixIsFetched: a request that goes past the busy home of its prefix has
// the prefix from there instead of reading it again.
func TestSharedPrefixIsFetched(t *testing.T) {
	b := linkedBench(t, 6)
	_, home := b.send(draft(7, 500))
	if home.FetchFrom == string(home.Endpoint.ID)+":1" {
		t.Errorf("%s is told to fetch from itself", home.Endpoint.ID)
	}
	for i := range 40 { // the home has much to read
		b.table.Dispatched(b.now, ident.AttemptID(rune('A'+i)), home, Prompt{Input: 9000})
	}
	r := draft(7, 500)
	unshared := r.Prompt.Input - r.Prompt.sharedTokens()
	_, c := b.send(r)
	if c.Endpoint.ID == home.Endpoint.ID {
		t.Fatal("the busy home was chosen")
	}
	if c.FetchFrom != string(home.Endpoint.ID)+":1" || c.Uncached != unshared {
		t.Errorf("choice %+v, want a fetch from %s", c, home.Endpoint.ID)
	}
}

// TestNothingIsFetchedFromWhatFails: neither an endpoint that is gone nor one that is
// left out holds cache that can be had; engines without links exchange none.
func TestNothingIsFetchedFromWhatFails(t *testing.T) {
	b := linkedBench(t, 6)
	id, home := b.send(draft(7, 500))
	b.table.Finished(b.now, id, Unreachable)
	for range 20 {
		if _, c := b.send(draft(7, 500)); c.FetchFrom == string(home.Endpoint.ID)+":1" {
			t.Fatalf("a fetch from %s, which can't be reached", home.Endpoint.ID)
		}
	}
	plain := newBench(t, some(6, llm)...)
	for range 20 {
		if _, c := plain.send(draft(7, 500)); c.FetchFrom != "" {
			t.Fatalf("a fetch from %s without a link", c.FetchFrom)
		}
	}
}

// TestDeparture: an endpoint ends when it says, or some time after it was seen to
// leave or to be gone; the time does not move with later changes of its entry.
func TestDeparture(t *testing.T) {
	told, silent, gone, stays := llm("told"), llm("silent"), llm("gone"), llm("stays")
	b := newBench(t, told, silent, gone, stays)
	told.Leaving, told.LeavesIn = true, 2500*time.Millisecond
	silent.Leaving = true
	start := b.now
	for range 3 {
		b.table.SetEndpoints(b.now, []site.Endpoint{told, silent, stays}, []site.Endpoint{gone}, services)
		b.now = b.now.Add(300 * time.Millisecond)
	}
	for id, want := range map[ident.EndpointID]time.Duration{"told": 2500 * time.Millisecond, "silent": 2 * time.Second, "gone": 2 * time.Second} {
		if by, leaves := b.table.Departure(id); !leaves || by.Sub(start) != want {
			t.Errorf("%s leaves %t after %s, want %s", id, leaves, by.Sub(start), want)
		}
	}
	for _, id := range []ident.EndpointID{"stays", "unknown"} {
		if _, leaves := b.table.Departure(id); leaves {
			t.Errorf("%s counts as leaving", id)
		}
	}
	b.table.SetEndpoints(b.now, []site.Endpoint{gone, stays}, nil, services)
	if _, leaves := b.table.Departure("gone"); leaves {
		t.Error("an endpoint that is back in the list counts as leaving")
	}
}

// TestMovedRunGoesToARegisteredEngine: a run that comes with its cache costs no
// reading, and never goes to an endpoint that is missing from the list.
func TestMovedRunGoesToARegisteredEngine(t *testing.T) {
	b := newBench(t)
	b.table.SetEndpoints(b.now, []site.Endpoint{llm("source")}, []site.Endpoint{llm("missing")}, linked)
	r := draft(7, 9000)
	r.Imported, r.Exclude = true, []ident.EndpointID{"source"}
	if c, err := b.pick(r); err == nil {
		t.Errorf("the run goes to %s", c.Endpoint.ID)
	}
	b.table.SetEndpoints(b.now, []site.Endpoint{llm("source"), llm("other")}, nil, linked)
	c, err := b.pick(r)
	if err != nil || c.Endpoint.ID != "other" || c.Uncached > 1 || c.FetchFrom != "" {
		t.Errorf("choice %+v, error %v", c, err)
	}
}
