package route

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// fleetHosts returns a host list of n endpoints of one service in dcs data centres.
func fleetHosts(n, dcs int) []platformapi.HostInfo {
	m := model{modelOptions: modelOptions{engines: n, dcs: dcs}}
	return m.hosts()
}

func quickRequest(chain []uint64) Request {
	return Request{Service: "s", Class: ident.ClassQuick, Shares: onlyV1, Chain: chain, PromptTokens: len(chain) * blockTokens}
}

// TestSubset has 21 data centres with 34 nodes each and 12,000 endpoints in total.
// Each node uses a subset of limited size, and the nodes of a data centre cover its
// endpoints evenly: each shard of 48 of the 572 local endpoints has at least two nodes.
func TestSubset(t *testing.T) {
	const dcs, nodes, endpoints = 21, 34, 12000
	hosts := fleetHosts(endpoints, dcs)
	var local []ident.NodeID
	for i := range nodes {
		local = append(local, ident.NodeID(fmt.Sprintf("n%02d", i)))
	}
	used := map[ident.EndpointID]int{}
	for _, n := range local {
		tab := New(Options{Node: n, DataCentre: "dc0"})
		tab.SetNodes(Nodes{Live: nodes * dcs, Local: local})
		tab.SetHosts(epoch, hosts)
		p := tab.pools[poolKey{"s", "v1"}]
		tab.refresh(epoch, p)
		if p.subsetSize != MaxCandidates {
			t.Fatalf("node %s uses %d endpoints", n, p.subsetSize)
		}
		for _, m := range p.subset {
			if m.dc == "dc0" {
				used[m.id]++
			}
		}
	}
	if want := (endpoints + dcs - 1) / dcs; len(used) != want {
		t.Errorf("%d of %d local endpoints are used", len(used), want)
	}
	for id, n := range used {
		if n < 2 {
			t.Errorf("%s is used by %d nodes", id, n)
		}
	}
}

// TestWave makes 8 of 20 endpoints fail, then all of them, and then marks 14 as
// leaving. At most the allowed fraction is ejected, few requests go to the 8 failing
// endpoints, and each request gets an endpoint while one is usable.
func TestWave(t *testing.T) {
	const n = 20
	tab := New(Options{Node: "n0", DataCentre: "dc0"})
	tab.SetNodes(Nodes{Live: 8})
	tab.SetHosts(epoch, fleetHosts(n, 4))
	rng := rand.New(rand.NewPCG(1, 1))
	now, faults := epoch, 0
	send := func(requests int, failing func(int) bool) {
		for k := range requests {
			now = now.Add(10 * time.Millisecond)
			c, err := tab.Pick(now, rng, quickRequest(nil))
			if err != nil {
				t.Fatalf("request %d: %v", k, err)
			}
			var i int
			_, _ = fmt.Sscanf(string(c.Endpoint), "e%d", &i)
			a := ident.AttemptID(fmt.Sprint(now))
			f := Finish{Attempt: a, Outcome: OutcomeOK}
			if failing(i) {
				f.Outcome = OutcomeFault
				faults++
			}
			if tab.IsLeaving(c.Endpoint) {
				t.Fatalf("%s is leaving", c.Endpoint)
			}
			tab.Dispatched(now, Dispatch{Attempt: a, Endpoint: c.Endpoint})
			tab.Finished(now.Add(time.Millisecond), f)
			ejected := 0
			for _, m := range tab.endpoints {
				if m.health.ejected(now) {
					ejected++
				}
			}
			if ejected > n*3/10 {
				t.Fatalf("%d of %d endpoints are ejected", ejected, n)
			}
		}
	}
	send(500, func(i int) bool { return i < 8 })
	if faults > 500*8/n/2 {
		t.Errorf("%d faults of 500 requests", faults)
	}
	send(500, func(int) bool { return true })
	if s := tab.Stats(); s.Ejections < n*3/10 || s.EjectionsSkipped == 0 {
		t.Errorf("%d ejections, %d skipped", s.Ejections, s.EjectionsSkipped)
	}
	for i := 6; i < n; i++ {
		tab.MarkHost(now, platformapi.Notice{Host: ident.Host(fmt.Sprint("h", i)), Incarnation: 1})
	}
	send(100, func(int) bool { return false })
}

// TestSlowStart adds an endpoint to four existing ones: it gets a small share of the
// requests at first, an equal share later.
func TestSlowStart(t *testing.T) {
	tab := New(Options{Node: "n0", DataCentre: "dc0"})
	tab.SetHosts(epoch, fleetHosts(4, 1))
	tab.SetHosts(epoch.Add(time.Minute), fleetHosts(5, 1))
	rng := rand.New(rand.NewPCG(1, 1))
	count := func(now time.Time) (n int) {
		for range 1000 {
			if c, _ := tab.Pick(now, rng, quickRequest(nil)); c.Endpoint == "e004" {
				n++
			}
		}
		return n
	}
	if first, later := count(epoch.Add(time.Minute)), count(epoch.Add(2*time.Minute)); first == 0 || first > 100 || later < 150 {
		t.Errorf("new endpoint got %d of 1000 requests, later %d", first, later)
	}
}

// TestSlots checks that the free slots are divided between the nodes and that slots in
// use and on leaving hosts are deducted.
func TestSlots(t *testing.T) {
	tab := New(Options{Node: "n0", DataCentre: "dc0"})
	tab.SetNodes(Nodes{Live: 8})
	tab.SetHosts(epoch, fleetHosts(20, 4))
	if n := tab.Slots(epoch, "s"); n != 40 {
		t.Errorf("%d slots of 320 for one node of 8", n)
	}
	tab.MarkHost(epoch, platformapi.Notice{Host: "h0", Incarnation: 1})
	for i := 1; i < 10; i++ {
		tab.Report(epoch, endpoint.LoadReport{Endpoint: engineID(i), Running: 20, MaxRunning: 16})
	}
	if n := tab.Slots(epoch, "s"); n != 20 {
		t.Errorf("%d slots for one node of 8 with ten endpoints free", n)
	}
}

var sizes = []int{20, 200, 12000}

func BenchmarkPick(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			tab := New(Options{Node: "n0", DataCentre: "dc0"})
			tab.SetNodes(Nodes{Live: 8})
			tab.SetHosts(epoch, fleetHosts(n, 4))
			rng := rand.New(rand.NewPCG(1, 1))
			next := letters(rng)
			prompts := make([]prompt, 256)
			for i := range prompts {
				prompts[i] = next()
			}
			now := epoch
			for i := range 4096 {
				c, _ := tab.Pick(now, rng, quickRequest(prompts[i%256].chain))
				tab.Dispatched(now, Dispatch{Attempt: ident.AttemptID(fmt.Sprint(i)), Endpoint: c.Endpoint, Chain: prompts[i%256].chain})
				if i >= 64 {
					tab.Finished(now, Finish{Attempt: ident.AttemptID(fmt.Sprint(i - 64)), Outcome: OutcomeOK})
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				i++
				if _, err := tab.Pick(now, rng, quickRequest(prompts[i%256].chain)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSetHosts applies a host list and rebuilds the subset.
func BenchmarkSetHosts(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			tab := New(Options{Node: "n0", DataCentre: "dc0"})
			hosts := fleetHosts(n, 4)
			for b.Loop() {
				tab.SetHosts(epoch, hosts)
				tab.rebuild(epoch, tab.pools[poolKey{"s", "v1"}])
			}
		})
	}
}

func heapBytes() int {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int(s.HeapAlloc)
}

// TestMemory logs the memory used per endpoint and per prefix entry, and checks the
// limit on prefix entries.
func TestMemory(t *testing.T) {
	for _, n := range sizes {
		hosts := fleetHosts(n, 4)
		tables := make([]*Table, 24000/n)
		before := heapBytes()
		for i := range tables {
			tables[i] = New(Options{Node: "n0", DataCentre: "dc0"})
			tables[i].SetHosts(epoch, hosts)
			_, _ = tables[i].Pick(epoch, rand.New(rand.NewPCG(1, 1)), quickRequest(nil))
		}
		t.Logf("%5d endpoints: %d bytes each", n, (heapBytes()-before)/n/len(tables))
		runtime.KeepAlive(hosts)
		runtime.KeepAlive(tables)
	}
	before := heapBytes()
	x := newPrefixIndex(1<<17, time.Minute)
	for i := range uint64(1 << 18) {
		x.add(rendezvous.Mix(i), int(i%MaxCandidates))
	}
	t.Logf("prefix index: %d entries, %d bytes each", x.len(), (heapBytes()-before)/x.len())
	if x.len() > 1<<17 {
		t.Errorf("%d entries, maximum %d", x.len(), 1<<17)
	}
}
