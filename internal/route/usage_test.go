package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// TestUsage checks that slots are counted for usable endpoints only, running requests
// for all.
func TestUsage(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	table := New(Options{Node: "n", DataCentre: "dc"})
	host := func(name string, v ident.Version) platformapi.HostInfo {
		e := platformapi.EndpointInfo{ID: ident.EndpointID(name), Kind: platformapi.KindEngine, Service: "s", Version: v}
		return platformapi.HostInfo{Host: ident.Host(name), DataCentre: "dc", Incarnation: 1, State: platformapi.HostLive, Endpoints: []platformapi.EndpointInfo{e}}
	}
	table.SetHosts(now, []platformapi.HostInfo{host("a", "v1"), host("b", "v1"), host("c", "v2")})
	for _, id := range []ident.EndpointID{"a", "b", "c"} {
		table.Report(now, endpoint.LoadReport{Endpoint: id, MaxRunning: 8, Running: 3})
	}
	table.MarkHost(now, platformapi.Notice{Host: "b", Incarnation: 1, Deadline: now.Add(time.Minute)})
	got := table.Usage(now, "s")
	want := []Usage{{"v1", 8, 6}, {"v2", 8, 3}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("usage = %+v, want %+v", got, want)
	}
}

// TestFallbackWhenVersionMissesDeadline has a new version with a long queue. Requests
// drawn for it must go to the fallback, which meets the deadline, not be refused.
func TestFallbackWhenVersionMissesDeadline(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	table := New(Options{Node: "n", DataCentre: "dc"})
	var hosts []platformapi.HostInfo
	for id, v := range map[ident.EndpointID]ident.Version{"old": "v1", "new": "v2"} {
		e := platformapi.EndpointInfo{ID: id, Kind: platformapi.KindEngine, Service: "s", Version: v}
		hosts = append(hosts, platformapi.HostInfo{Host: ident.Host(id), DataCentre: "dc", Incarnation: 1, State: platformapi.HostLive, Endpoints: []platformapi.EndpointInfo{e}})
	}
	table.SetHosts(now, hosts)
	table.Report(now, endpoint.LoadReport{Endpoint: "new", MaxRunning: 1, Running: 1, Queued: 100, QueuedTokens: 1e6, PrefillPerSec: 1000})
	rng := rand.New(rand.NewPCG(1, 1))
	r := Request{Service: "s", Deadline: now.Add(10 * time.Second), PromptTokens: 100}
	r.Shares = []Share{{Version: "v1", Weight: 1, Fallback: true}, {Version: "v2", Weight: 1}}
	for range 50 {
		if c, err := table.Pick(now, rng, r); err != nil || c.Endpoint != "old" {
			t.Fatalf("picked %q, error %v", c.Endpoint, err)
		}
	}
	r.Shares = r.Shares[1:]
	if _, err := table.Pick(now, rng, r); err == nil || err.Code != verdict.CodeDeadline {
		t.Errorf("without a fallback the error is %v", err)
	}
}

// TestSlotsShrinkUnderOverload reports more requests at an endpoint than it has slots,
// as other nodes send to it too. This node's number shrinks in proportion to the excess.
func TestSlotsShrinkUnderOverload(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	table := New(Options{Node: "n", DataCentre: "dc"})
	e := platformapi.EndpointInfo{ID: "e", Kind: platformapi.KindEngine, Service: "s", Version: "v1"}
	table.SetHosts(now, []platformapi.HostInfo{{Host: "h", DataCentre: "dc", Incarnation: 1, State: platformapi.HostLive, Endpoints: []platformapi.EndpointInfo{e}}})
	for i := range 10 {
		table.Dispatched(now, Dispatch{Attempt: ident.AttemptID(rune('a' + i)), Endpoint: "e"})
	}
	table.Report(now.Add(time.Second), endpoint.LoadReport{Endpoint: "e", MaxRunning: 16, Running: 16, Queued: 14})
	if got, want := table.Slots(now.Add(time.Second), "s"), 10*16/30; got != want {
		t.Errorf("%d slots with 10 of 30 requests in flight for 16 slots, want %d", got, want)
	}
	table.Report(now.Add(2*time.Second), endpoint.LoadReport{Endpoint: "e", MaxRunning: 16, Running: 12})
	if got := table.Slots(now.Add(2*time.Second), "s"); got < 10 || got > 14 {
		t.Errorf("%d slots with 10 of 12 requests in flight for 16 slots, want 10 to 14", got)
	}
}
