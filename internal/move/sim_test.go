package move

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// Times of the simulated move, which runs on two nodes.
const (
	simTick   = 2 * time.Second
	simWindow = 30 * time.Minute
	simBake   = 15 * time.Minute
)

var simStart = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// policy decides how requests are distributed over both versions.
type policy interface {
	// split returns the split that a node uses.
	split(node int) Split
	// ended records the end of a request of a node.
	ended(node int, o Outcome)
	// tick runs the policy at time t since the start of the move.
	tick(w *simWorld, t time.Duration)
	state() State
}

type simWorld struct {
	rng      *rand.Rand
	sc       scenario
	severity float64
	affected int // picks the route or workspace that the fault affects
	share    Share
	ends     [][]simEnd // ring buffer of the requests that end in each of the next seconds
	second   int

	faultSeen          bool // a request affected by the fault has ended
	requestsAfterFault int  // to the new version, after faultSeen
	shareAtFault       Share
	maxShare           Share
	fullInTime         bool
}

type simEnd struct {
	node    int
	outcome Outcome
	faulty  bool
}

const simHorizon = 120 // maximum duration of a request in seconds

func newSimWorld(sc scenario, seed uint64) *simWorld {
	w := &simWorld{rng: rand.New(rand.NewPCG(seed, 11)), sc: sc, ends: make([][]simEnd, simHorizon)}
	w.severity = 0.2 + 0.8*w.rng.Float64()
	w.affected = w.rng.IntN(20)
	if w.sc.rate == 0 {
		w.sc.rate = 5
	}
	return w
}

// run simulates the move and its bake time.
func (w *simWorld) run(p policy) {
	for t := time.Duration(0); t < simWindow+simBake+time.Minute; t += time.Second {
		w.arrivals(p, t)
		w.completions(p)
		if t%simTick == 0 {
			p.tick(w, t)
		}
		if t == simWindow {
			w.fullInTime = p.split(1).Share == FullShare
		}
		if p.state() == StateRolledBack {
			return
		}
	}
}

func (w *simWorld) poisson(mean float64) int {
	n, limit, p := 0, math.Exp(-mean), w.rng.Float64()
	for p > limit {
		n++
		p *= w.rng.Float64()
	}
	return n
}

func pickShare(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, s := range shares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (w *simWorld) arrivals(p policy, t time.Duration) {
	for range w.poisson(w.sc.rate) {
		node := w.rng.IntN(2)
		if w.sc.pause && node == 0 && t > 10*time.Minute && t < 13*time.Minute {
			node = 1 // a paused node gets no requests
		}
		s := p.split(node)
		w.share, w.maxShare = s.Share, max(w.maxShare, s.Share)
		q := simRequest{route: pickShare(w.rng, simRoutes), workspace: pickShare(w.rng, simWorkspaces)}
		q.onNew = Share(w.rng.IntN(int(FullShare))) < s.Share
		if q.onNew && w.faultSeen {
			w.requestsAfterFault++
		}
		w.send(node, q, t)
		if q.route < len(simRoutes)-1 && Share(w.rng.IntN(int(FullShare))) < s.Shadow {
			q.onNew = !q.onNew
			w.send(node, q, t)
		}
	}
}

func (w *simWorld) send(node int, q simRequest, t time.Duration) {
	q.latency = time.Duration(float64(600*time.Millisecond) * math.Exp(0.5*w.rng.NormFloat64()) * float64(1+q.route))
	q.size = int(200 * math.Exp(0.8*w.rng.NormFloat64()))
	if w.rng.Float64() < 0.003 {
		q.result = Failed
	}
	if q.onNew && w.sc.fault != nil {
		w.sc.fault(w, &q, t)
	}
	if w.sc.commonFault != nil {
		w.sc.commonFault(w, &q, t)
	}
	version := ident.Version("v1")
	if q.onNew {
		version = "v2"
	}
	// The end is recorded after the latency, rounded up to full seconds; other nodes receive
	// it at the next tick.
	at := (w.second + 1 + int(q.latency/time.Second)) % simHorizon
	w.ends[at] = append(w.ends[at], simEnd{node, Outcome{
		Service: "model", Version: version, Route: simRouteNames[q.route],
		Workspace: simWorkspaceNames[q.workspace], Result: q.result, Latency: q.latency, Size: q.size,
	}, q.faulty})
}

func (w *simWorld) completions(p policy) {
	w.second = (w.second + 1) % simHorizon
	for _, e := range w.ends[w.second] {
		p.ended(e.node, e.outcome)
		if e.faulty && !w.faultSeen {
			w.faultSeen, w.shareAtFault = true, w.share
		}
	}
	w.ends[w.second] = w.ends[w.second][:0]
}

// summary aggregates the runs of one scenario.
type summary struct {
	sync.Mutex
	runs, undone, inTime, superseded, faultSeen int
	requestsAfterFault                          []int
	shares, calls                               []int
}

func (s *summary) add(w *simWorld, p policy) {
	s.Lock()
	defer s.Unlock()
	s.runs++
	switch p.state() {
	case StateRolledBack:
		s.undone++
	case StateSuperseded:
		s.superseded++
	}
	if w.fullInTime && p.state() == StateDone {
		s.inTime++
	}
	if w.faultSeen {
		s.faultSeen++
		s.requestsAfterFault = append(s.requestsAfterFault, w.requestsAfterFault)
	}
	s.shares = append(s.shares, int(w.maxShare))
	if o, ok := p.(*controllerPolicy); ok {
		s.calls = append(s.calls, o.calls)
	}
}

func quantile(v []int, q float64) int {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

func (s *summary) String() string {
	return fmt.Sprintf("undone %5.1f%%, in time %5.1f%%, superseded %5.1f%%, requests after the first faulty one p50 %d p95 %d max %d, largest share p50 %s p95 %s, store calls p50 %d",
		pct(s.undone, s.runs), pct(s.inTime, s.runs), pct(s.superseded, s.runs),
		quantile(s.requestsAfterFault, 0.5), quantile(s.requestsAfterFault, 0.95), quantile(s.requestsAfterFault, 1), Share(quantile(s.shares, 0.5)), Share(quantile(s.shares, 0.95)), quantile(s.calls, 0.5))
}

func pct(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// firstSeed returns the first seed, so that a long run can be divided.
func firstSeed(t *testing.T) int {
	v := os.Getenv("JUJUBESHED_FIRST_SEED")
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func simSeeds(t *testing.T, short int) int {
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

// simWorkers is the number of seeds simulated concurrently.
const simWorkers = 2

// Minimum success rates of the simulated moves, in percent.
const (
	minUndone = 98
	minInTime = 98
)

// TestMoves simulates every scenario with the controllers and with the naive policy,
// and checks the success rate of the controllers.
func TestMoves(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			var controllers, naive summary
			short := 4
			if sc.bad {
				short = 24
			}
			n := simSeeds(t, short)
			var wg sync.WaitGroup
			for worker := range simWorkers {
				wg.Go(func() {
					for seed := firstSeed(t) + worker; seed < firstSeed(t)+n; seed += simWorkers {
						w, o := newSimWorld(sc, uint64(seed)), newControllerPolicy()
						w.run(o)
						controllers.add(w, o)
						if end := o.state(); sc.bad != (end == StateRolledBack) {
							t.Logf("seed %d, severity %.2f, affected %d: %s, %s", seed, w.severity, w.affected, end, o.node[1].Record().Reason)
						}
						v, p := newSimWorld(sc, uint64(seed)), &naivePolicy{}
						v.run(p)
						naive.add(v, p)
					}
				})
			}
			wg.Wait()
			t.Logf("%d seeds\ncontrollers:  %v\nnaive policy: %v", n, &controllers, &naive)
			good := pct(controllers.inTime, n)
			if sc.reversed {
				good = pct(controllers.superseded, n)
			}
			if sc.bad && pct(controllers.undone, n) < minUndone || !sc.bad && good < minInTime {
				t.Errorf("%v", &controllers)
			}
		})
	}
}
