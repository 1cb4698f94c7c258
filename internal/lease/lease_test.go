package lease

import (
	"encoding/json"
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

// faults selects the faults that a run injects.
type faults struct {
	Pauses    bool // a process stops and later continues
	Suspends  bool // a machine stops, including its monotonic clock
	Jumps     bool // wall clocks jump forwards and backwards
	Drift     bool // clock rates differ from real time by up to 5%
	LostCalls bool // requests and responses of writes are lost
	Outages   bool // the store is unavailable for up to 40 s
	Releases  bool // nodes release the lease and become candidates again
	Restores  bool // the store is restored from a copy up to maxCopyAge old
}

// maxCopyAge is the age of the oldest copy that the store is restored from.
const maxCopyAge = 15 * time.Second

const (
	step          = 100 * time.Millisecond
	runTime       = 10 * time.Minute
	faultFreeTime = 2 * time.Minute // at the end of a run, without faults
	maxPause      = 30 * time.Second
)

// engine is an endpoint that executes orders.
type engine struct {
	checksFence bool
	fence       ident.Epoch
	version     ident.Epoch // version that it serves; here the epoch of the last order
}

// order is an order in flight, sent by a node that held the lease when it checked.
type order struct {
	at     time.Duration
	epoch  ident.Epoch
	engine *engine
	node   *node
}

// call is a store call in flight.
type call struct {
	effectAt, responseAt time.Duration
	sentIn, answeredIn   platformapi.Era // known to the node, and of the store
	put                  *PutAction
	read                 bool
	done                 bool
	object               platformapi.Object
	err                  error
}

type node struct {
	lease        *Lease
	clockRate    float64
	mono         time.Duration
	wall         time.Time
	stoppedUntil time.Duration // does not run before this time
	sleepUntil   time.Duration
	call         *call
	incarnation  ident.Incarnation
	era          platformapi.Era // that the node knows of
}

// simulation runs the candidates for one lease on a store with latency.
type simulation struct {
	rng         *rand.Rand
	f           faults
	now         time.Duration
	nodes       []*node
	object      platformapi.Object
	era         platformapi.Era      // of the store; zero without Restores
	copies      []platformapi.Object // the object at each step of the last maxCopyAge
	outageUntil time.Duration
	engines     []*engine
	orders      []order
	owners      map[ident.Epoch]Owner
	acts        []act // of the last term, in which the holders may not alternate
	held        int   // steps in which a node held the lease
}

// act is an action of a holder of the lease.
type act struct {
	at   time.Duration
	node *node
}

func newSimulation(seed uint64, f faults) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 9)), f: f, owners: map[ident.Epoch]Owner{}}
	s.engines = []*engine{{checksFence: true}, {}}
	if f.Restores {
		s.era = 1
	}
	for i := range 4 {
		n := &node{clockRate: 1, wall: time.Unix(1e9, 0)}
		if f.Drift {
			n.clockRate = 0.95 + 0.1*s.rng.Float64()
		}
		n.start(i)
		s.nodes = append(s.nodes, n)
	}
	return s
}

func (n *node) start(i int) {
	n.incarnation++
	owner := Owner{ident.NodeID(fmt.Sprint("n", i)), n.incarnation}
	n.lease = New(owner, Options{MaxPause: maxPause, StandbyDelay: time.Duration(i) * 500 * time.Millisecond})
	n.call, n.sleepUntil = nil, 0
}

func (n *node) instant() Instant { return Instant{Monotonic: n.mono, Wall: n.wall} }

func (s *simulation) chance(mean time.Duration) bool {
	return s.rng.Float64() < float64(step)/float64(mean)
}

func (s *simulation) run() {
	for s.now < runTime {
		s.now += step
		s.copies = append(s.copies, s.object)
		if n := len(s.copies) - int(maxCopyAge/step); n > 0 {
			s.copies = s.copies[n:]
		}
		s.executeCalls()
		if s.now < runTime-faultFreeTime {
			s.injectFaults()
		}
		for i, n := range s.nodes {
			n.mono += time.Duration(float64(step) * n.clockRate)
			n.wall = n.wall.Add(time.Duration(float64(step) * n.clockRate))
			if s.now >= n.stoppedUntil {
				s.runNode(i, n)
			}
		}
		s.deliver()
		s.check()
	}
}

// injectFaults injects the selected faults at random.
func (s *simulation) injectFaults() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration(s.rng.Int64N(int64(40 * time.Second)))
	if s.f.Pauses && s.chance(20*time.Second) {
		n.stoppedUntil = s.now + duration
	}
	if s.f.Suspends && s.chance(20*time.Second) && s.now >= n.stoppedUntil {
		n.stoppedUntil = s.now + duration
		n.mono -= duration // time that the monotonic clock does not count
	}
	if s.f.Jumps && s.chance(20*time.Second) {
		// A backward jump that compensates for a suspension cannot be detected; see the
		// package comment.
		jump := time.Minute + time.Duration(s.rng.Int64N(int64(time.Hour)))
		n.wall = n.wall.Add(jump * time.Duration(1-2*s.rng.IntN(2)))
	}
	if s.f.Outages && s.chance(60*time.Second) {
		s.outageUntil = s.now + duration
	}
	if s.f.Restores && s.chance(60*time.Second) {
		s.restore()
	}
	if s.f.Restores && s.chance(2*time.Second) {
		n.hearEra(s.era) // from another node
	}
	if s.f.Releases && s.chance(20*time.Second) {
		n.lease.Release(!slices.ContainsFunc(s.orders, func(o order) bool { return o.node == n }))
	}
}

// restore restores the store from a copy, after an outage. Revisions are given out again.
func (s *simulation) restore() {
	s.era++
	s.object = s.copies[s.rng.IntN(len(s.copies))]
	s.outageUntil = s.now + time.Duration(s.rng.Int64N(int64(5*time.Second)))
}

func (n *node) hearEra(era platformapi.Era) {
	n.era = max(n.era, era)
	n.lease.HandleEra(n.instant(), n.era)
}

// runNode passes a finished store call to one node and performs its next action.
func (s *simulation) runNode(i int, n *node) {
	if c := n.call; c != nil {
		if s.now < c.responseAt {
			return
		}
		n.call = nil
		n.hearEra(c.answeredIn)
		if !c.read && c.sentIn > 0 && n.era > c.sentIn {
			c.err = platformapi.ErrUnknown // as the client of the store does
		}
		if c.read {
			n.lease.HandleRead(n.instant(), c.object, c.err)
		} else {
			n.lease.HandleWrite(n.instant(), c.object.Version, c.err)
		}
	}
	if epoch, ok := n.lease.Held(n.instant()); ok && s.chance(time.Second) {
		s.sendOrders(n, epoch)
		s.checkAlternation(n)
	}
	if n.lease.Released() {
		n.start(i)
	}
	if n.mono < n.sleepUntil {
		return
	}
	delay := func() time.Duration { return time.Duration(s.rng.Int64N(int64(400 * time.Millisecond))) }
	c := &call{effectAt: s.now + delay(), sentIn: n.era}
	c.responseAt = c.effectAt + delay()
	switch a := n.lease.Next(n.instant()).(type) {
	case ReadAction:
		c.read = true
		n.call = c
	case PutAction:
		c.put = &a
		n.call = c
	case WaitAction:
		n.sleepUntil = n.mono + a.Delay
	}
}

// sendOrders sends an order to each engine; some arrive late, as the process may be paused
// after its check.
func (s *simulation) sendOrders(n *node, epoch ident.Epoch) {
	for _, e := range s.engines {
		if !e.checksFence && !n.lease.Settled(n.instant()) {
			continue
		}
		delay := time.Duration(0)
		if s.rng.IntN(4) == 0 {
			delay = time.Duration(s.rng.Int64N(int64(maxPause * 9 / 10)))
		}
		s.orders = append(s.orders, order{s.now + delay, epoch, e, n})
	}
}

func (s *simulation) deliver() {
	inFlight := s.orders[:0]
	for _, o := range s.orders {
		if o.at > s.now {
			inFlight = append(inFlight, o)
			continue
		}
		o.engine.apply(o.epoch)
	}
	s.orders = inFlight
}

func (e *engine) apply(epoch ident.Epoch) {
	if e.checksFence && epoch < e.fence {
		return
	}
	invariant.Check(epoch >= e.fence, invariant.OneHolderPerEpoch,
		"order of epoch %d took effect after one of epoch %d", epoch, e.fence)
	e.fence, e.version = epoch, epoch
}

// executeCalls executes the store calls that are due.
func (s *simulation) executeCalls() {
	for _, n := range s.nodes {
		c := n.call
		if c == nil || c.done || s.now < c.effectAt {
			continue
		}
		c.done, c.answeredIn = true, s.era
		switch {
		case s.now < s.outageUntil:
			c.err = platformapi.ErrUnavailable
		case !c.read && c.put.Expect != 0 && c.put.Expect.Era() < c.sentIn:
			c.err = platformapi.ErrConflict // the client of the store doesn't send it
		case c.read && s.object.Version == 0:
			c.err = platformapi.ErrNotFound
		case c.read:
			c.object = s.object
			c.object.Version = platformapi.NewVersion(s.era, s.object.Version.Revision())
		default:
			s.put(c)
		}
	}
}

func (s *simulation) put(c *call) {
	lost := s.f.LostCalls && s.rng.IntN(4) == 0
	if lost && s.rng.IntN(2) == 0 {
		c.err = platformapi.ErrUnknown // the write has no effect
		return
	}
	// The store compares revisions only.
	if s.object.Version.Revision() != c.put.Expect.Revision() {
		c.err = platformapi.ErrConflict
		return
	}
	s.object = platformapi.Object{Version: platformapi.NewVersion(s.era, s.object.Version.Revision()+1), Value: c.put.Value}
	c.object.Version = s.object.Version
	if lost {
		c.err = platformapi.ErrUnknown
	}
}

// checkAlternation asserts that the holders do not act in the order A, B, A within a term.
// It does not apply where a node releases the lease and is a candidate again at once.
func (s *simulation) checkAlternation(n *node) {
	term := Options{}.WithDefaults().Term
	s.acts = slices.DeleteFunc(s.acts, func(a act) bool { return s.now-a.at >= term })
	if i := slices.IndexFunc(s.acts, func(a act) bool { return a.node == n }); i >= 0 && !s.f.Releases {
		other := slices.ContainsFunc(s.acts[i:], func(a act) bool { return a.node != n })
		invariant.Check(!other, invariant.OneHolderPerEpoch, "two holders alternate within a term at %v", s.now)
	}
	s.acts = append(s.acts, act{s.now, n})
}

// check asserts that at most one node holds the lease, and that each epoch has one owner.
func (s *simulation) check() {
	var holder *node
	for _, n := range s.nodes {
		epoch, ok := n.lease.Held(n.instant())
		if !ok || s.now < n.stoppedUntil {
			continue
		}
		invariant.Check(holder == nil, invariant.OneHolderPerEpoch, "two nodes hold the lease at %v", s.now)
		holder = n
		owner, known := s.owners[epoch]
		invariant.Check(!known || owner == n.lease.self, invariant.OneHolderPerEpoch,
			"epoch %d is held by %v and %v", epoch, owner, n.lease.self)
		s.owners[epoch] = n.lease.self
	}
	if holder != nil {
		s.held++
	}
}

// TestOneHolder checks, for each fault and for all faults together over many seeds, that at
// most one node holds the lease and that the engines end with the orders of the last epoch.
func TestOneHolder(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for _, c := range []struct {
		name   string
		f      faults
		epochs int     // minimum per run, on average
		held   float64 // minimum share of the time
	}{
		{"two candidates", faults{}, 1, 0.95},
		{"paused holder", faults{Pauses: true}, 2, 0.3},
		{"suspended machine", faults{Suspends: true}, 2, 0.3},
		{"lost renewal response", faults{LostCalls: true}, 1, 0.9},
		{"clock jump", faults{Jumps: true, Drift: true}, 1, 0.9},
		{"store outage", faults{Outages: true}, 2, 0.3},
		{"releases", faults{Releases: true}, 2, 0.8},
		{"restored store", faults{Restores: true}, 4, 0.5},
		{"restored store, releases", faults{Restores: true, Releases: true}, 4, 0.3},
		{"restored store, paused holder", faults{Restores: true, Pauses: true, LostCalls: true}, 4, 0.2},
		{"all faults", faults{true, true, true, true, true, true, true, true}, 2, 0.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			total, epochs := 0.0, 0
			n := leaseSeeds(t, 12)
			for seed := range n {
				s := newSimulation(uint64(seed), c.f)
				s.run()
				epochs += len(s.owners)
				total += float64(s.held) / float64(runTime/step)
				last := s.engines[0].version
				if s.engines[1].version != last || last == 0 {
					t.Errorf("seed %d: engines ended with the orders of epochs %d and %d", seed, last, s.engines[1].version)
				}
			}
			t.Logf("%d seeds: %.1f epochs per run, lease held %.1f%% of the time", n, float64(epochs)/float64(n), 100*total/float64(n))
			if epochs < c.epochs*n || total < c.held*float64(n) {
				t.Errorf("%d epochs, lease held %.0f%% of the time", epochs, 100*total/float64(n))
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

// TestValidate checks that options with which two nodes could hold the lease are refused.
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

// TestRank checks that Rank and Candidates agree and that leases are spread evenly.
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
			t.Errorf("%s has rank 0 for %d of 800 leases", m, first[m])
		}
	}
}

// TestFormerHolderWaits checks that a node that has held the lease does not take it over from
// a holder that releases it at once, before a term has passed since its own last action.
func TestFormerHolderWaits(t *testing.T) {
	o := Options{}.WithDefaults()
	l := New(Owner{"a", 1}, o)
	at := func(d time.Duration) Instant { return Instant{Monotonic: d, Wall: time.Unix(1e9, 0).Add(d)} }
	record := func(owner ident.NodeID, epoch ident.Epoch, released bool) platformapi.Object {
		raw, err := json.Marshal(Record{Owner: Owner{owner, 1}, Epoch: epoch, Released: released})
		if err != nil {
			t.Fatal(err)
		}
		return platformapi.Object{Version: platformapi.Version(epoch) * 10, Value: raw}
	}
	now := time.Second
	l.HandleRead(at(now), platformapi.Object{}, platformapi.ErrNotFound)
	if _, ok := l.Next(at(now)).(PutAction); !ok {
		t.Fatal("an absent record is not taken over")
	}
	l.HandleWrite(at(now), 10, nil)
	lastAction := now + o.HoldTime/2
	if _, held := l.Held(at(lastAction)); !held {
		t.Fatal("the lease is not held after its acquisition")
	}
	now = lastAction + time.Second // another node holds the lease meanwhile, and releases it
	l.Next(at(now))
	l.HandleRead(at(now), record("b", 2, true), nil)
	for ; now < lastAction+o.Term; now += 100 * time.Millisecond {
		switch a := l.Next(at(now)).(type) {
		case PutAction:
			t.Fatalf("the lease is taken over %s after the node's own last action", now-lastAction)
		case ReadAction:
			l.HandleRead(at(now), record("b", 2, true), nil)
		case WaitAction:
			if a.Delay <= 0 {
				t.Fatalf("waits for %s", a.Delay)
			}
		}
	}
	for range 3 {
		now += o.ObserveInterval
		if _, ok := l.Next(at(now)).(PutAction); ok {
			return
		}
		l.HandleRead(at(now), record("b", 2, true), nil)
	}
	t.Error("the released lease is never taken over")
}

// TestRecordOfEarlierEra checks that a node does not take the lease over before a term since
// it learned of the era if the record is of an earlier era, released or absent: there may be a
// holder whose record is lost.
func TestRecordOfEarlierEra(t *testing.T) {
	o := Options{}.WithDefaults()
	at := func(d time.Duration) Instant { return Instant{Monotonic: d, Wall: time.Unix(1e9, 0).Add(d)} }
	for name, r := range map[string]*Record{
		"absent":                   nil,
		"released":                 {Owner: Owner{"b", 1}, Epoch: 7, Released: true, Era: 1},
		"own, held":                {Owner: Owner{"a", 1}, Epoch: 7, Era: 1},
		"written without eras":     {Owner: Owner{"b", 1}, Epoch: 7, Released: true},
		"prepared in earlier eras": {Owner: Owner{"b", 1}, Epoch: 7, Renewals: 3, Released: true, Unsettled: true, Era: 2},
	} {
		const era = 3
		l := New(Owner{"a", 1}, o)
		now := time.Second
		start := now
		l.HandleEra(at(now), era)
		var taken *PutAction
		for ; taken == nil && now < start+2*o.Term; now += 50 * time.Millisecond {
			switch a := l.Next(at(now)).(type) {
			case ReadAction:
				object, err := platformapi.Object{}, platformapi.ErrNotFound
				if r != nil {
					raw, encodeErr := json.Marshal(r)
					if encodeErr != nil {
						t.Fatal(encodeErr)
					}
					object, err = platformapi.Object{Version: platformapi.NewVersion(era, 40), Value: raw}, nil
				}
				l.HandleRead(at(now), object, err)
			case PutAction:
				taken = &a
			}
		}
		if taken == nil || now-start < o.Term {
			t.Errorf("%s: taken over after %s, want a term of %s", name, now-start, o.Term)
			continue
		}
		l.HandleWrite(at(now), platformapi.NewVersion(era, 41), nil)
		epoch, held := l.Held(at(now))
		if !held || epoch <= 7 || platformapi.Version(epoch).Era() != era {
			t.Errorf("%s: held %v with epoch %d", name, held, epoch)
		}
		if l.Settled(at(now)) {
			t.Errorf("%s: settled at once, though actions of a former holder may arrive", name)
		}
	}
}

// TestConfirmed guards against actions of a holder that has not heard of the store: the lease is
// confirmed only for a short time after each answer that names this node the owner.
func TestConfirmed(t *testing.T) {
	l := New(Owner{Node: "a"}, Options{Term: 10 * time.Second})
	now := Instant{Monotonic: time.Hour, Wall: time.Unix(1e9, 0)}
	advance := func(d time.Duration) { now = now.Add(d) }
	check := func(what string, want bool) {
		t.Helper()
		if _, held := l.Held(now); !held {
			t.Fatalf("%s: the lease is not held", what)
		}
		if got := l.Confirmed(now); got != want {
			t.Errorf("%s: confirmed is %v", what, got)
		}
	}
	l.HandleRead(now, platformapi.Object{}, platformapi.ErrNotFound)
	put, ok := l.Next(now).(PutAction)
	if !ok {
		t.Fatal("the free lease is not acquired")
	}
	advance(2 * time.Second)
	l.HandleWrite(now, 1, nil)
	check("acquired by a slow write", true)
	advance(time.Second - time.Millisecond)
	check("before the time has passed", true)
	advance(time.Millisecond)
	check("after the time", false)

	if _, ok := l.Next(now).(PutAction); !ok {
		t.Fatal("the lease is not renewed")
	}
	l.HandleWrite(now, 0, platformapi.ErrUnknown)
	check("after a renewal without an answer", false)
	l.HandleRead(now, platformapi.Object{}, platformapi.ErrUnavailable)
	check("after a read without an answer", false)
	l.HandleRead(now, platformapi.Object{Value: put.Value, Version: 1}, nil)
	check("after a read that names this node", true)
	advance(time.Second)
	check("after the time", false)
}
