package route

import (
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platform"
)

// TestUsage counts slots of usable endpoints only, and running requests of all.
func TestUsage(t *testing.T) {
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	table := New(Options{Node: "n", DataCentre: "dc"})
	host := func(name string, v ident.Version) platform.HostInfo {
		e := platform.EndpointInfo{ID: ident.EndpointID(name), Kind: platform.KindEngine, Service: "s", Version: v}
		return platform.HostInfo{Host: ident.Host(name), DataCentre: "dc", Incarnation: 1, State: platform.HostLive, Endpoints: []platform.EndpointInfo{e}}
	}
	table.SetHosts(now, []platform.HostInfo{host("a", "v1"), host("b", "v1"), host("c", "v2")})
	for _, id := range []ident.EndpointID{"a", "b", "c"} {
		table.Report(now, endpoint.LoadReport{Endpoint: id, MaxRunning: 8, Running: 3})
	}
	table.MarkHost(now, platform.Notice{Host: "b", Incarnation: 1, Deadline: now.Add(time.Minute)})
	got := table.Usage(now, "s")
	want := []Usage{{"v1", 8, 6}, {"v2", 8, 3}}
	if len(got) != 2 || got[0] != want[0] || got[1] != want[1] {
		t.Errorf("usage = %+v, want %+v", got, want)
	}
}
