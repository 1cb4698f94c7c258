package scaling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const testBoot = 4 * time.Second

var testServices = map[ident.Service]site.Service{"llm": {
	Name: "llm", Engine: &site.Engine{Slots: 48},
	Scale: &site.Scale{
		Min: 1, Max: 10, Boot: testBoot, ReclaimablePrice: 0.2,
		Prices: map[ident.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
	},
}}

// cloudSim simulates a cloud that executes orders, with engines that share the load
// evenly.
type cloudSim struct {
	t                 *testing.T
	now               time.Time
	planner           *Planner
	have              map[placement.CapacityPool]int
	booting           []booting
	refuseReclaimable bool // orders of reclaimable endpoints are refused
	running           int  // running requests
	orders            int
	cost              float64 // endpoint-seconds, weighted by price
	fewest            int     // smallest number of endpoints while there was load
}

type booting struct {
	readyAt time.Time
	pool    placement.CapacityPool
	count   int
}

func newCloudSim(t *testing.T, onDemand int) *cloudSim {
	sim := &cloudSim{t: t, now: time.Unix(1000, 0), have: make(map[placement.CapacityPool]int), fewest: 1000}
	for dc := range testServices["llm"].Scale.Prices {
		sim.have[placement.CapacityPool{DataCentre: dc}] = onDemand
	}
	sim.planner = New(func() map[ident.Service]site.Service { return testServices }, func(ident.Service) placement.Usage {
		u := placement.Usage{Endpoints: make(map[placement.CapacityPool]int), Running: sim.running}
		for p, n := range sim.have {
			u.Endpoints[p] = n
			u.Slots += 48 * n
		}
		return u
	})
	return sim
}

func (sim *cloudSim) total() int {
	n := 0
	for _, have := range sim.have {
		n += have
	}
	return n
}

// advance simulates d in steps of 250 ms.
func (sim *cloudSim) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(250 * time.Millisecond) {
		var stillBooting []booting
		for _, c := range sim.booting {
			if sim.now.Before(c.readyAt) {
				stillBooting = append(stillBooting, c)
			} else {
				sim.have[c.pool] += c.count
			}
		}
		sim.booting = stillBooting
		for range 50 {
			o, due := sim.planner.Next(sim.now)
			if !due {
				break
			}
			sim.execute(o)
		}
		for p, n := range sim.have {
			price := 1.0
			if p.Reclaimable {
				price = 0.2
			}
			sim.cost += price * float64(n) * 0.25
		}
		if sim.running > 0 {
			sim.fewest = min(sim.fewest, sim.total())
		}
	}
}

// execute carries out an order and returns its result to the planner.
func (sim *cloudSim) execute(o duty.EndpointOrder) {
	sim.orders++
	p := placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	s := testServices["llm"].Scale
	if o.Count+sim.have[placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: !o.Reclaimable}] > s.Max+s.Max {
		sim.t.Errorf("order %+v exceeds twice the limit of a data centre", o)
	}
	onOrder := 0
	for _, c := range sim.booting {
		if c.pool == p {
			onOrder += c.count
		}
	}
	more := o.Count - sim.have[p] - onOrder
	switch {
	case more > 0 && o.Reclaimable && sim.refuseReclaimable:
		sim.planner.OrderDone(sim.now, o, platformapi.ErrRefused)
		return
	case more > 0:
		sim.booting = append(sim.booting, booting{sim.now.Add(testBoot), p, more})
	case more < 0:
		sim.have[p] = max(o.Count-onOrder, 0)
	}
	sim.planner.OrderDone(sim.now, o, nil)
}

// reclaim removes all reclaimable endpoints of a data centre.
func (sim *cloudSim) reclaim(dc ident.DataCentre) {
	delete(sim.have, placement.CapacityPool{DataCentre: dc, Reclaimable: true})
}

func (sim *cloudSim) onDemand() int {
	n := 0
	for p, have := range sim.have {
		if !p.Reclaimable {
			n += have
		}
	}
	return n
}

// TestReclaimableEndpointsReplaceOnDemand checks that under a steady load most endpoints
// become reclaimable, and that there are never fewer than the load needs.
func TestReclaimableEndpointsReplaceOnDemand(t *testing.T) {
	sim := newCloudSim(t, 5)
	sim.advance(8 * time.Second)
	sim.running = 80
	sim.advance(60 * time.Second)
	if sim.onDemand() > 6 || sim.total() < 8 {
		t.Errorf("80 running requests: endpoints are %v, want at least 8, at most 6 of them on demand", sim.have)
	}
	if sim.fewest < 8 {
		t.Errorf("fewest endpoints: %d, want at least 8", sim.fewest)
	}
	if onDemandCost := 20 * 68.0; sim.cost > 0.6*onDemandCost {
		t.Errorf("cost is %.0f endpoint-seconds, want at most 0.6 of the %.0f without any order", sim.cost, onDemandCost)
	}
}

// TestReclaimsInOneDataCentreAfterAnother: the data centres lose their reclaimable
// endpoints one after another, every 3 s, while new ones are refused. On-demand
// endpoints must replace them in time for most of the losses, and be released afterwards.
func TestReclaimsInOneDataCentreAfterAnother(t *testing.T) {
	sim := newCloudSim(t, 5)
	sim.advance(8 * time.Second)
	sim.running = 100
	sim.advance(20 * time.Second)
	before := sim.onDemand()
	sim.refuseReclaimable = true
	for _, dc := range []ident.DataCentre{"a", "b", "c", "d"} {
		sim.reclaim(dc)
		sim.advance(3 * time.Second)
	}
	sim.advance(6 * time.Second)
	if sim.onDemand() < 7 || sim.onDemand() <= before {
		t.Errorf("after the reclaims there are %d on-demand endpoints, want at least 7 and more than the %d before", sim.onDemand(), before)
	}
	sim.refuseReclaimable = false
	sim.advance(25 * time.Second)
	if sim.onDemand() > before+1 {
		t.Errorf("25 s after the last refusal there are still %d on-demand endpoints, %d before the reclaims", sim.onDemand(), before)
	}
}

// TestLoadIncreaseAddsEndpoints: the load rises fourfold. The endpoints must be there
// within their boot time and 6 s.
func TestLoadIncreaseAddsEndpoints(t *testing.T) {
	sim := newCloudSim(t, 3)
	sim.advance(8 * time.Second)
	sim.running = 60
	sim.advance(30 * time.Second)
	sim.running = 240
	sim.advance(testBoot + 6*time.Second)
	if sim.total() < 20 {
		t.Errorf("240 running requests: %d endpoints, want at least 20", sim.total())
	}
}

// TestNoOrderWhileEndpointsRegister: endpoints register over some seconds after the
// start. Meanwhile their number is no measure of the need, so nothing may be ordered.
func TestNoOrderWhileEndpointsRegister(t *testing.T) {
	sim := newCloudSim(t, 0)
	for i := range 18 {
		sim.have[placement.CapacityPool{DataCentre: ident.DataCentre(fmt.Sprint("abcd"[i%4 : i%4+1]))}]++
		sim.advance(250 * time.Millisecond)
	}
	if sim.orders != 0 {
		t.Errorf("%d orders were placed while endpoints registered", sim.orders)
	}
	sim.advance(2*settleTime + testBoot)
	if sim.total() < 12 {
		t.Errorf("%d of 18 initial endpoints remain before the first request, want at least 12", sim.total())
	}
}

// TestSteadyLoadNeedsFewOrders checks that small variations of the load cause at most one
// order a second on average.
func TestSteadyLoadNeedsFewOrders(t *testing.T) {
	sim := newCloudSim(t, 5)
	rng := rand.New(rand.NewPCG(1, 2))
	sim.advance(8 * time.Second)
	sim.running = 100
	sim.advance(20 * time.Second)
	sim.orders = 0
	for range 60 {
		sim.running = 90 + rng.IntN(20)
		sim.advance(time.Second)
	}
	if sim.orders > 60 {
		t.Errorf("%d orders in a minute of steady load, want at most 60", sim.orders)
	}
}
