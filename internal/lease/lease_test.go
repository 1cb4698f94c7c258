package lease

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// faults are what a run causes.
type faults struct {
	Pauses   bool // a process stops and goes on
	Suspends bool // a machine stops with its monotonic clock
	Jumps    bool // wall clocks jump both ways
	Drift    bool // clocks run up to 5% apart
	Lost     bool // answers and requests of writes are lost
	Outages  bool // the store is down for a while
	Releases bool // holders give up and come back
}

const (
	step     = 100 * time.Millisecond
	runTime  = 10 * time.Minute
	quiet    = 2 * time.Minute // without faults, at the end
	maxPause = 30 * time.Second
)

// engine is an endpoint that takes orders.
type engine struct {
	checksFence bool
	fence       ident.Epoch
	version     ident.Epoch // that it was told to serve; here the orderer's epoch
}

// order is on its way from a holder that has checked its right.
type order struct {
	at     time.Duration
	epoch  ident.Epoch
	engine *engine
	node   *node
}

// call is a store call on its way.
type call struct {
	effectAt, answerAt time.Duration
	put                *PutAction
	read               bool
	done               bool
	object             platformapi.Object
	err                error
}

type node struct {
	lease   *Lease
	rate    float64
	mono    time.Duration
	wall    time.Time
	stopped time.Duration // until then
	sleep   time.Duration
	call    *call
	life    ident.Incarnation
}

// world runs candidates for one lease over a store that takes time.
type world struct {
	rng     *rand.Rand
	f       faults
	now     time.Duration
	nodes   []*node
	object  platformapi.Object
	down    time.Duration
	engines []*engine
	orders  []order
	owners  map[ident.Epoch]Owner
	held    int // steps in which somebody held
}

func newWorld(seed uint64, f faults) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 9)), f: f, owners: map[ident.Epoch]Owner{}}
	w.engines = []*engine{{checksFence: true}, {}}
	for i := range 4 {
		n := &node{rate: 1, wall: time.Unix(1e9, 0)}
		if f.Drift {
			n.rate = 0.95 + 0.1*w.rng.Float64()
		}
		n.start(i)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (n *node) start(i int) {
	n.life++
	owner := Owner{ident.NodeID(fmt.Sprint("n", i)), n.life}
	n.lease = New(owner, Options{MaxPause: maxPause, StandbyDelay: time.Duration(i) * 500 * time.Millisecond})
	n.call, n.sleep = nil, 0
}

func (n *node) instant() Instant { return Instant{Monotonic: n.mono, Wall: n.wall} }

func (w *world) chance(mean time.Duration) bool {
	return w.rng.Float64() < float64(step)/float64(mean)
}

func (w *world) run() {
	for w.now < runTime {
		w.now += step
		w.store()
		if w.now < runTime-quiet {
			w.cause()
		}
		for i, n := range w.nodes {
			n.mono += time.Duration(float64(step) * n.rate)
			n.wall = n.wall.Add(time.Duration(float64(step) * n.rate))
			if w.now >= n.stopped {
				w.live(i, n)
			}
		}
		w.deliver()
		w.check()
	}
}

// cause makes the faults of the run happen.
func (w *world) cause() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	long := time.Duration(w.rng.Int64N(int64(40 * time.Second)))
	if w.f.Pauses && w.chance(20*time.Second) {
		n.stopped = w.now + long
	}
	if w.f.Suspends && w.chance(20*time.Second) && w.now >= n.stopped {
		n.stopped = w.now + long
		n.mono -= long // what the clock will not count
	}
	if w.f.Jumps && w.chance(20*time.Second) {
		// A jump back that makes up for a suspension cannot be seen; see the package.
		jump := time.Minute + time.Duration(w.rng.Int64N(int64(time.Hour)))
		n.wall = n.wall.Add(jump * time.Duration(1-2*w.rng.IntN(2)))
	}
	if w.f.Outages && w.chance(60*time.Second) {
		w.down = w.now + long
	}
	if w.f.Releases && w.chance(20*time.Second) {
		n.lease.Release(!slices.ContainsFunc(w.orders, func(o order) bool { return o.node == n }))
	}
}

// live lets one node take its answer and do its next step.
func (w *world) live(i int, n *node) {
	if c := n.call; c != nil {
		if w.now < c.answerAt {
			return
		}
		n.call = nil
		if c.read {
			n.lease.Read(n.instant(), c.object, c.err)
		} else {
			n.lease.Wrote(n.instant(), c.object.Version, c.err)
		}
	}
	if epoch, ok := n.lease.Held(n.instant()); ok && w.chance(time.Second) {
		w.act(n, epoch)
	}
	if n.lease.Released() {
		n.start(i)
	}
	if n.mono < n.sleep {
		return
	}
	delay := func() time.Duration { return time.Duration(w.rng.Int64N(int64(400 * time.Millisecond))) }
	c := &call{effectAt: w.now + delay()}
	c.answerAt = c.effectAt + delay()
	switch a := n.lease.Next(n.instant()).(type) {
	case ReadAction:
		c.read = true
		n.call = c
	case PutAction:
		c.put = &a
		n.call = c
	case WaitAction:
		n.sleep = n.mono + a.Delay
	}
}

// act sends an order; the process may be paused after its check.
func (w *world) act(n *node, epoch ident.Epoch) {
	for _, e := range w.engines {
		if !e.checksFence && !n.lease.Settled(n.instant()) {
			continue
		}
		late := time.Duration(0)
		if w.rng.IntN(4) == 0 {
			late = time.Duration(w.rng.Int64N(int64(maxPause * 9 / 10)))
		}
		w.orders = append(w.orders, order{w.now + late, epoch, e, n})
	}
}

func (w *world) deliver() {
	rest := w.orders[:0]
	for _, o := range w.orders {
		if o.at > w.now {
			rest = append(rest, o)
			continue
		}
		o.engine.take(o.epoch)
	}
	w.orders = rest
}

func (e *engine) take(epoch ident.Epoch) {
	if e.checksFence && epoch < e.fence {
		return
	}
	invariant.Check(epoch >= e.fence, invariant.OneHolderPerEpoch,
		"order of epoch %d took effect after one of epoch %d", epoch, e.fence)
	e.fence, e.version = epoch, epoch
}

// store gives calls their effect.
func (w *world) store() {
	for _, n := range w.nodes {
		c := n.call
		if c == nil || c.done || w.now < c.effectAt {
			continue
		}
		c.done = true
		switch {
		case w.now < w.down:
			c.err = platformapi.ErrUnavailable
		case c.read && w.object.Version == 0:
			c.err = platformapi.ErrNotFound
		case c.read:
			c.object = w.object
		default:
			w.put(c)
		}
	}
}

func (w *world) put(c *call) {
	lost := w.f.Lost && w.rng.IntN(4) == 0
	if lost && w.rng.IntN(2) == 0 {
		c.err = platformapi.ErrUnknown // had no effect
		return
	}
	if w.object.Version != c.put.Expect {
		c.err = platformapi.ErrConflict
		return
	}
	w.object = platformapi.Object{Version: w.object.Version + 1, Value: c.put.Value}
	c.object.Version = w.object.Version
	if lost {
		c.err = platformapi.ErrUnknown
	}
}

// check asserts that no two nodes may act, and that each epoch has one owner.
func (w *world) check() {
	var holder *node
	for _, n := range w.nodes {
		epoch, ok := n.lease.Held(n.instant())
		if !ok || w.now < n.stopped {
			continue
		}
		invariant.Check(holder == nil, invariant.OneHolderPerEpoch, "two nodes hold at %v", w.now)
		holder = n
		owner, known := w.owners[epoch]
		invariant.Check(!known || owner == n.lease.self, invariant.OneHolderPerEpoch,
			"epoch %d is held by %v and %v", epoch, owner, n.lease.self)
		w.owners[epoch] = n.lease.self
	}
	if holder != nil {
		w.held++
	}
}

// TestOneHolder runs each fault, and all at once, over many seeds.
func TestOneHolder(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for _, c := range []struct {
		name   string
		f      faults
		epochs int     // at least, over the run
		held   float64 // least share of the time
	}{
		{"two candidates", faults{}, 1, 0.95},
		{"paused holder", faults{Pauses: true}, 2, 0.3},
		{"suspended machine", faults{Suspends: true}, 2, 0.3},
		{"lost renewal answer", faults{Lost: true}, 1, 0.9},
		{"clock jump", faults{Jumps: true, Drift: true}, 1, 0.9},
		{"store outage", faults{Outages: true}, 2, 0.3},
		{"releases", faults{Releases: true}, 2, 0.8},
		{"all at once", faults{true, true, true, true, true, true, true}, 2, 0.2},
	} {
		t.Run(c.name, func(t *testing.T) {
			total, epochs := 0.0, 0
			n := leaseSeeds(t, 12)
			for seed := range n {
				w := newWorld(uint64(seed), c.f)
				w.run()
				epochs += len(w.owners)
				total += float64(w.held) / float64(runTime/step)
				last := w.engines[0].version
				if w.engines[1].version != last || last == 0 {
					t.Errorf("seed %d: engines were left with the orders of epochs %d and %d", seed, last, w.engines[1].version)
				}
			}
			t.Logf("%d seeds: %.1f epochs a run, held %.1f%% of the time", n, float64(epochs)/float64(n), 100*total/float64(n))
			if epochs < c.epochs*n || total < c.held*float64(n) {
				t.Errorf("%d epochs, held %.0f%% of the time", epochs, 100*total/float64(n))
			}
		})
	}
}

func leaseSeeds(t *testing.T, short int) int {
	v := os.Getenv("JUJUBESHED_SEEDS")
	if v == "" {
		return short
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// TestValidate refuses options that let two nodes hold at once.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		o  Options
		ok bool
	}{
		{Options{}, true},
		{Options{HoldTime: 10 * time.Second}, false},
		{Options{RenewInterval: 8 * time.Second}, false},
	} {
		if err := c.o.WithDefaults().Validate(); (err == nil) != c.ok {
			t.Errorf("%+v: %v", c.o, err)
		}
	}
}

// TestRank checks that the candidates are agreed on and spread.
func TestRank(t *testing.T) {
	members := []ident.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"}
	first := map[ident.NodeID]int{}
	for i := range 800 {
		name := fmt.Sprint("move/service-", i)
		for r, m := range Candidates(name, members, 8) {
			if Rank(name, m, members) != r {
				t.Fatalf("%s: %s has rank %d, not %d", name, m, Rank(name, m, members), r)
			}
		}
		first[Candidates(name, members, 1)[0]]++
	}
	for _, m := range members {
		if first[m] < 50 || first[m] > 200 {
			t.Errorf("%s is first of %d leases of 800", m, first[m])
		}
	}
}
