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

// world is a cloud that carries orders out, and engines that share the load evenly.
type world struct {
	t        *testing.T
	now      time.Time
	planner  *Planner
	have     map[placement.CapacityPool]int
	coming   []coming
	dry      bool // no reclaimable endpoints are to be had
	load     int  // requests that run
	orders   int
	seconds  float64 // of endpoints, by price
	shortest int     // the fewest endpoints so far, once traffic began
}

type coming struct {
	at    time.Time
	place placement.CapacityPool
	n     int
}

func newWorld(t *testing.T, lasting int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), have: make(map[placement.CapacityPool]int), shortest: 1000}
	for dc := range testServices["llm"].Scale.Prices {
		w.have[placement.CapacityPool{DataCentre: dc}] = lasting
	}
	w.planner = New(func() map[ident.Service]site.Service { return testServices }, func(ident.Service) placement.Usage {
		u := placement.Usage{Endpoints: make(map[placement.CapacityPool]int), Running: w.load}
		for p, n := range w.have {
			u.Endpoints[p] = n
			u.Slots += 48 * n
		}
		return u
	})
	return w
}

func (w *world) total() int {
	n := 0
	for _, have := range w.have {
		n += have
	}
	return n
}

// run lets time pass with a step each 250 ms.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		var left []coming
		for _, c := range w.coming {
			if w.now.Before(c.at) {
				left = append(left, c)
			} else {
				w.have[c.place] += c.n
			}
		}
		w.coming = left
		for range 50 {
			o, due := w.planner.Next(w.now)
			if !due {
				break
			}
			w.place(o)
		}
		for p, n := range w.have {
			price := 1.0
			if p.Reclaimable {
				price = 0.2
			}
			w.seconds += price * float64(n) * 0.25
		}
		if w.load > 0 {
			w.shortest = min(w.shortest, w.total())
		}
	}
}

// place carries an order out as the cloud does.
func (w *world) place(o duty.EndpointOrder) {
	w.orders++
	p := placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}
	s := testServices["llm"].Scale
	if o.Count+w.have[placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: !o.Reclaimable}] > s.Max+s.Max {
		w.t.Errorf("order %+v is out of all bounds", o)
	}
	onTheWay := 0
	for _, c := range w.coming {
		if c.place == p {
			onTheWay += c.n
		}
	}
	more := o.Count - w.have[p] - onTheWay
	switch {
	case more > 0 && o.Reclaimable && w.dry:
		w.planner.OrderDone(w.now, o, platformapi.ErrRefused)
		return
	case more > 0:
		w.coming = append(w.coming, coming{w.now.Add(testBoot), p, more})
	case more < 0:
		w.have[p] = max(o.Count-onTheWay, 0)
	}
	w.planner.OrderDone(w.now, o, nil)
}

// reclaim takes all reclaimable endpoints of a data centre away.
func (w *world) reclaim(dc ident.DataCentre) {
	delete(w.have, placement.CapacityPool{DataCentre: dc, Reclaimable: true})
}

func (w *world) lasting() int {
	n := 0
	for p, have := range w.have {
		if !p.Reclaimable {
			n += have
		}
	}
	return n
}

// TestCheapEndpointsTakeOver: with a steady load most endpoints are reclaimable, and
// there are never fewer than the load needs.
func TestCheapEndpointsTakeOver(t *testing.T) {
	w := newWorld(t, 5)
	w.run(8 * time.Second)
	w.load = 80
	w.run(60 * time.Second)
	if w.lasting() > 6 || w.total() < 8 {
		t.Errorf("for a load of 80 there are %v", w.have)
	}
	if w.shortest < 8 {
		t.Errorf("at times there were only %d", w.shortest)
	}
	if naive := 20 * 68.0; w.seconds > 0.6*naive {
		t.Errorf("%.0f endpoint-seconds were paid for; without any order it is %.0f", w.seconds, naive)
	}
}

// TestWaveOfReclaims answers the pattern of one data centre after the other losing
// its reclaimable endpoints while no others are to be had: lasting ones stand in, in
// time for most of the wave, and are given up after it.
func TestWaveOfReclaims(t *testing.T) {
	w := newWorld(t, 5)
	w.run(8 * time.Second)
	w.load = 100
	w.run(20 * time.Second)
	before := w.lasting()
	w.dry = true
	for _, dc := range []ident.DataCentre{"a", "b", "c", "d"} {
		w.reclaim(dc)
		w.run(3 * time.Second)
	}
	w.run(6 * time.Second)
	if w.lasting() < 7 || w.lasting() <= before {
		t.Errorf("after the wave %d lasting endpoints stand, %d did before", w.lasting(), before)
	}
	w.dry = false
	w.run(25 * time.Second)
	if w.lasting() > before+1 {
		t.Errorf("%d lasting endpoints stay after the wave, %d stood before", w.lasting(), before)
	}
}

// TestCrowdIsFollowed answers the pattern of traffic that doubles: endpoints come
// within their boot time and little more.
func TestCrowdIsFollowed(t *testing.T) {
	w := newWorld(t, 3)
	w.run(8 * time.Second)
	w.load = 60
	w.run(30 * time.Second)
	w.load = 240
	w.run(testBoot + 6*time.Second)
	if w.total() < 20 {
		t.Errorf("for a load of 240 there are %d", w.total())
	}
}

// TestNothingIsGivenUpBeforeItIsKnown: the list of endpoints fills for some seconds,
// and says nothing of the need meanwhile.
func TestNothingIsGivenUpBeforeItIsKnown(t *testing.T) {
	w := newWorld(t, 0)
	for i := range 18 {
		w.have[placement.CapacityPool{DataCentre: ident.DataCentre(fmt.Sprint("abcd"[i%4 : i%4+1]))}]++
		w.run(250 * time.Millisecond)
	}
	if w.orders != 0 {
		t.Errorf("%d orders were placed while the list grew", w.orders)
	}
	w.run(2*settleFor + testBoot)
	if w.total() < 12 {
		t.Errorf("of 18 endpoints found, %d are left before the first request", w.total())
	}
}

// TestOrdersAreFew: orders go out when something has changed, not at each look.
func TestOrdersAreFew(t *testing.T) {
	w := newWorld(t, 5)
	rng := rand.New(rand.NewPCG(1, 2))
	w.run(8 * time.Second)
	w.load = 100
	w.run(20 * time.Second)
	w.orders = 0
	for range 60 {
		w.load = 90 + rng.IntN(20)
		w.run(time.Second)
	}
	if w.orders > 60 {
		t.Errorf("%d orders in a minute of steady load", w.orders)
	}
}
