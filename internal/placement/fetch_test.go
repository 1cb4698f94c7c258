package placement

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// linkedServices has a service whose engines can fetch KV cache from each other.
var linkedServices = map[ident.Service]site.Service{
	"llm": {Name: "llm", Engine: &site.Engine{Slots: 48, CacheTokens: 400_000, TokenBytes: 160_000, LinkBytes: 50e9, SupportsMigration: true}},
}

func newLinkedFixture(t *testing.T, n int) *fixture {
	f := newFixture(t)
	list := makeEndpoints(n, llmEndpoint)
	for i := range list {
		list[i].Address = string(list[i].ID) + ":1"
	}
	f.table.SetEndpoints(f.now, list, nil, linkedServices)
	return f
}

// A request that goes to another endpoint than the busy home of its prefix fetches the
// prefix from there instead of recomputing it.
func TestSharedPrefixIsFetched(t *testing.T) {
	f := newLinkedFixture(t, 6)
	_, home := f.send(sharedPrefixRequest(7, 500))
	if home.FetchFrom == string(home.Endpoint.ID)+":1" {
		t.Errorf("%s would fetch from itself", home.Endpoint.ID)
	}
	for i := range 40 { // makes the home endpoint busy
		f.table.Dispatched(f.now, ident.AttemptID(rune('A'+i)), home, Prompt{Input: 9000})
	}
	r := sharedPrefixRequest(7, 500)
	unshared := r.Prompt.Input - r.Prompt.sharedTokens()
	_, c := f.send(r)
	if c.Endpoint.ID == home.Endpoint.ID {
		t.Fatal("the busy home endpoint was chosen")
	}
	if c.FetchFrom != string(home.Endpoint.ID)+":1" || c.UncachedTokens != unshared {
		t.Errorf("choice %+v, want a fetch from %s", c, home.Endpoint.ID)
	}
}

// KV cache is not fetched from an ejected endpoint, and not between engines without links.
func TestNoFetchFromUnreachableOrUnlinked(t *testing.T) {
	f := newLinkedFixture(t, 6)
	id, home := f.send(sharedPrefixRequest(7, 500))
	f.table.Finished(f.now, id, OutcomeUnreachable)
	for range 20 {
		if _, c := f.send(sharedPrefixRequest(7, 500)); c.FetchFrom == string(home.Endpoint.ID)+":1" {
			t.Fatalf("fetch from the unreachable endpoint %s", home.Endpoint.ID)
		}
	}
	unlinked := newFixture(t, makeEndpoints(6, llmEndpoint)...)
	for range 20 {
		if _, c := unlinked.send(sharedPrefixRequest(7, 500)); c.FetchFrom != "" {
			t.Fatalf("fetch from %s between engines without links", c.FetchFrom)
		}
	}
}

// An endpoint terminates at the time that it reports, or DrainTime after it was first seen
// as leaving or missing. Later updates of the list do not postpone that time.
func TestTerminationTime(t *testing.T) {
	announced, unannounced, missing, staying := llmEndpoint("announced"), llmEndpoint("unannounced"), llmEndpoint("missing"), llmEndpoint("staying")
	f := newFixture(t, announced, unannounced, missing, staying)
	announced.Leaving, announced.LeavesIn = true, 2500*time.Millisecond
	unannounced.Leaving = true
	start := f.now
	for range 3 {
		f.table.SetEndpoints(f.now, []site.Endpoint{announced, unannounced, staying}, []site.Endpoint{missing}, services)
		f.now = f.now.Add(300 * time.Millisecond)
	}
	for id, want := range map[ident.EndpointID]time.Duration{"announced": 2500 * time.Millisecond, "unannounced": 2 * time.Second, "missing": 2 * time.Second} {
		if at, leaves := f.table.TerminationTime(id); !leaves || at.Sub(start) != want {
			t.Errorf("%s terminates: %t, after %s, want %s", id, leaves, at.Sub(start), want)
		}
	}
	for _, id := range []ident.EndpointID{"staying", "unknown"} {
		if _, leaves := f.table.TerminationTime(id); leaves {
			t.Errorf("%s has a termination time", id)
		}
	}
	f.table.SetEndpoints(f.now, []site.Endpoint{missing, staying}, nil, services)
	if _, leaves := f.table.TerminationTime("missing"); leaves {
		t.Error("an endpoint that is listed again has a termination time")
	}
}

// A request that is migrated with its KV cache needs no prefill and never goes to a missing
// endpoint.
func TestMigratedRequestNeedsListedEngine(t *testing.T) {
	f := newFixture(t)
	f.table.SetEndpoints(f.now, []site.Endpoint{llmEndpoint("source")}, []site.Endpoint{llmEndpoint("missing")}, linkedServices)
	r := sharedPrefixRequest(7, 9000)
	r.Imported, r.Exclude = true, []ident.EndpointID{"source"}
	if c, err := f.pick(r); err == nil {
		t.Errorf("the migrated request goes to the missing endpoint %s", c.Endpoint.ID)
	}
	f.table.SetEndpoints(f.now, []site.Endpoint{llmEndpoint("source"), llmEndpoint("other")}, nil, linkedServices)
	c, err := f.pick(r)
	if err != nil || c.Endpoint.ID != "other" || c.UncachedTokens > 1 || c.FetchFrom != "" {
		t.Errorf("choice %+v, error %v", c, err)
	}
}

// A node to which a prefix location was advertised sends requests with the prefix there or
// lets them fetch it from there, until the location expires.
func TestNodesAdvertisePrefixLocations(t *testing.T) {
	sender, receiver := newLinkedFixture(t, 18), newLinkedFixture(t, 18)
	for i := range 10 { // no prefix is at its home endpoint, where receiver would expect it
		r := sharedPrefixRequest(uint64(100+i), i)
		home := sender.table.home(sender.table.services["llm"].members, r.Prompt)
		r.Exclude = []ident.EndpointID{home.ID}
		sender.send(r)
	}
	locations := sender.table.RecentPrefixes(sender.now)
	if len(locations) != 10 {
		t.Fatalf("%d prefixes are advertised, want 10", len(locations))
	}
	receiver.table.AddPeerPrefixes(receiver.now, locations)
	for i := range 10 {
		r := sharedPrefixRequest(uint64(100+i), 50+i)
		c, err := receiver.pick(r)
		if err != nil || c.UncachedTokens > r.Prompt.Input-r.Prompt.sharedTokens() {
			t.Errorf("prefix %d: %d tokens are computed, error %v", 100+i, c.UncachedTokens, err)
		}
	}
	sender.now = sender.now.Add(advertiseTime + time.Millisecond)
	if locations := sender.table.RecentPrefixes(sender.now); len(locations) > 0 {
		t.Errorf("%d prefixes are still advertised", len(locations))
	}
	receiver.now = receiver.now.Add(21 * time.Second) // past CacheRetention
	if c, err := receiver.pick(sharedPrefixRequest(100, 70)); err != nil || c.FetchFrom != "" || c.UncachedTokens < 11000 {
		t.Errorf("a prefix counts as cached after 21 s: %+v, error %v", c, err)
	}
	receiver.table.AddPeerPrefixes(receiver.now, []PrefixLocation{{Prefix: 1, Endpoint: 12345}}) // an unknown endpoint is ignored
}

// A node with few requests prefers the engines to which it has open connections, and uses
// others where these are busy.
func TestOpenConnectionIsPreferred(t *testing.T) {
	f := newFixture(t, makeEndpoints(40, llmEndpoint)...)
	f.table.SetNodes(60)
	dialled := make(map[ident.EndpointID]bool)
	for i := range 60 {
		id, c := f.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 50}})
		dialled[c.Endpoint.ID] = true
		f.now = f.now.Add(300 * time.Millisecond)
		f.table.Finished(f.now, id, OutcomeSuccess)
		if i == 59 && len(dialled) > 5 {
			t.Errorf("60 requests, one after the other, went to %d engines", len(dialled))
		}
	}
	for range 60 {
		_, c := f.send(Request{Service: "llm", Prompt: Prompt{Input: 500, Output: 50}})
		dialled[c.Endpoint.ID] = true
	}
	if len(dialled) < 8 {
		t.Errorf("60 requests at once went to %d engines", len(dialled))
	}
}
