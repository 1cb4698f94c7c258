package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestLimitedEndpointsAreNotChosen checks that an endpoint with a limit gets no more requests
// than that, repeats included, that its share goes to the others, and that callers are refused
// with the time to come back if all have used up their limits.
func TestLimitedEndpointsAreNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	table := New(Options{Node: "n"})
	endpoints := []site.Endpoint{{ID: "a", Service: "s", Slots: 8}, {ID: "b", Service: "s", Slots: 8}}
	table.SetEndpoints(now, endpoints, nil, map[ident.Service]site.Service{"s": {Name: "s"}})
	limit := func(i int, perSecond float64) {
		table.Limits().Observe(now, endpointlimit.Observation{Endpoint: endpoints[i].Hash(), Limited: true, PerSecond: perSecond, At: now})
	}
	sent := make(map[ident.EndpointID]int)
	pick := func(r Request) *verdict.Error {
		c, err := table.Pick(now, rng, r)
		if err == nil {
			id := ident.AttemptID(now.String())
			table.Dispatched(now, id, c, Prompt{})
			table.Finished(now, id, OutcomeSuccess)
			sent[c.Endpoint.ID]++
		}
		return err
	}
	limit(0, 2)
	for range 1000 { // 10 s
		if err := pick(Request{Service: "s"}); err != nil {
			t.Fatal(err)
		}
		now = now.Add(10 * time.Millisecond)
	}
	if sent["a"] < 15 || sent["a"] > 21 {
		t.Errorf("an endpoint with a limit of 2/s got %d requests in 10 s", sent["a"])
	}
	clear(sent)
	limit(1, 0)
	refused := 0
	for range 1000 {
		if err := pick(Request{Service: "s", Exclude: []ident.EndpointID{"a"}}); err != nil {
			refused++
			if err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
				t.Fatalf("refused with %v, retry after %s", err, err.RetryAfter)
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	if sent["a"] > 0 || sent["b"] > 2 || refused < 998 {
		t.Errorf("sent %v, refused %d", sent, refused)
	}
}
