package placement

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// linked are engines that exchange KV cache.
var linked = map[ident.Service]site.Service{
	"llm": {Name: "llm", Engine: &site.Engine{Slots: 48, CacheTokens: 400_000, TokenBytes: 160_000, LinkBytes: 50e9, SupportsMigration: true}},
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
	if c.FetchFrom != string(home.Endpoint.ID)+":1" || c.UncachedTokens != unshared {
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
		if by, leaves := b.table.TerminationTime(id); !leaves || by.Sub(start) != want {
			t.Errorf("%s leaves %t after %s, want %s", id, leaves, by.Sub(start), want)
		}
	}
	for _, id := range []ident.EndpointID{"stays", "unknown"} {
		if _, leaves := b.table.TerminationTime(id); leaves {
			t.Errorf("%s counts as leaving", id)
		}
	}
	b.table.SetEndpoints(b.now, []site.Endpoint{gone, stays}, nil, services)
	if _, leaves := b.table.TerminationTime("gone"); leaves {
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
	if err != nil || c.Endpoint.ID != "other" || c.UncachedTokens > 1 || c.FetchFrom != "" {
		t.Errorf("choice %+v, error %v", c, err)
	}
}

// TestNodesTellWherePrefixesAre: a node that was told where another has sent a prefix
// goes there, or has it from there; what it was told is forgotten in time.
func TestNodesTellWherePrefixesAre(t *testing.T) {
	one, two := linkedBench(t, 18), linkedBench(t, 18)
	for i := range 10 { // all of the first node's prefixes lie where two would not look
		r := draft(uint64(100+i), i)
		home := one.table.home(one.table.services["llm"].members, r.Prompt)
		r.Exclude = []ident.EndpointID{home.ID}
		one.send(r)
	}
	held := one.table.RecentPrefixes(one.now)
	if len(held) != 10 {
		t.Fatalf("the node tells of %d prefixes", len(held))
	}
	two.table.AddPeerPrefixes(two.now, held)
	for i := range 10 {
		r := draft(uint64(100+i), 50+i)
		c, err := two.pick(r)
		if err != nil || c.UncachedTokens > r.Prompt.Input-r.Prompt.sharedTokens() {
			t.Errorf("subject %d: %d tokens are read, error %v", 100+i, c.UncachedTokens, err)
		}
	}
	one.now = one.now.Add(tellFor + time.Millisecond)
	if held := one.table.RecentPrefixes(one.now); len(held) > 0 {
		t.Errorf("the node still tells of %d prefixes", len(held))
	}
	two.now = two.now.Add(21 * time.Second) // past CacheRetention
	if c, err := two.pick(draft(100, 70)); err != nil || c.FetchFrom != "" || c.UncachedTokens < 11000 {
		t.Errorf("a prefix counts as held after 21 s: %+v, error %v", c, err)
	}
	two.table.AddPeerPrefixes(two.now, []PrefixLocation{{Prefix: 1, Endpoint: 12345}}) // of an unknown endpoint
}

// TestOpenConnectionIsPreferred: of many engines, a node with few requests goes back to
// those that it has connections to, and spreads where these are busier.
func TestOpenConnectionIsPreferred(t *testing.T) {
	b := newBench(t, some(40, llm)...)
	b.table.SetNodes(60)
	dialled := make(map[ident.EndpointID]bool)
	for i := range 60 {
		id, c := b.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 50}})
		dialled[c.Endpoint.ID] = true
		b.now = b.now.Add(300 * time.Millisecond)
		b.table.Finished(b.now, id, Success)
		if i == 59 && len(dialled) > 5 {
			t.Errorf("60 requests, one after the other, went to %d engines", len(dialled))
		}
	}
	for range 60 {
		_, c := b.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 50}})
		dialled[c.Endpoint.ID] = true
	}
	if len(dialled) < 8 {
		t.Errorf("60 requests at once went to %d engines", len(dialled))
	}
}
