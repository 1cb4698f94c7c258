// Package simclock runs randomised tests of state machines on a simulated clock. Events are
// executed in the order of their times, and a run is reproducible from its seed.
package simclock

import (
	"container/heap"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// SeedsEnv is the environment variable that sets the number of seeds of a long run.
const SeedsEnv = "JUJUBESHED_SEEDS"

// defaultSeeds is the number of seeds if SeedsEnv is not set.
const defaultSeeds = 300

// Clock is a simulated clock with scheduled events and a random source.
type Clock struct {
	Now   time.Time
	Start time.Time
	rng   *rand.Rand
	queue queue
	seq   int
}

// New returns a Clock whose random source is initialised with seed.
func New(seed uint64) *Clock {
	start := time.Unix(1_700_000_000, 0)
	return &Clock{Now: start, Start: start, rng: rand.New(rand.NewPCG(seed, 1))}
}

// After schedules f to run after d.
func (c *Clock) After(d time.Duration, f func()) {
	c.seq++
	heap.Push(&c.queue, event{c.Now.Add(d), c.seq, f})
}

// Elapsed returns the simulated time since Start.
func (c *Clock) Elapsed() time.Duration { return c.Now.Sub(c.Start) }

// Within returns a random duration in [0, d).
func (c *Clock) Within(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// IntN returns a random number in [0, n).
func (c *Clock) IntN(n int) int { return c.rng.IntN(n) }

// Chance returns true with that probability in percent.
func (c *Clock) Chance(percent int) bool { return c.rng.IntN(100) < percent }

// Run executes events until none remains or d has passed since Start.
func (c *Clock) Run(d time.Duration) {
	for len(c.queue) > 0 && c.Elapsed() < d {
		e := heap.Pop(&c.queue).(event)
		c.Now = e.at
		e.run()
	}
}

// LongSeeds returns the number of seeds set in SeedsEnv, or zero if it is not set to a number.
func LongSeeds() int {
	n, err := strconv.Atoi(os.Getenv(SeedsEnv))
	if err != nil {
		return 0
	}
	return n
}

// EachSeed calls f for each seed. Violations of invariants are fatal, and a panic in f fails
// the test with its seed.
func EachSeed(t testing.TB, f func(seed uint64)) {
	t.Helper()
	defer invariant.SetFatal(invariant.SetFatal(true))
	n := LongSeeds()
	if n == 0 {
		n = defaultSeeds
	}
	seed := uint64(0)
	defer func() {
		if r := recover(); r != nil {
			t.Fatalf("seed %d: %v", seed, r)
		}
	}()
	for ; seed < uint64(n); seed++ {
		f(seed)
	}
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if c := q[i].at.Compare(q[j].at); c != 0 {
		return c < 0
	}
	return q[i].seq < q[j].seq
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
