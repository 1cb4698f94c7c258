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

// The simulated move: two nodes before two versions of a service.
const (
	simTick   = 2 * time.Second
	simWindow = 30 * time.Minute
	simBake   = 15 * time.Minute
)

var simStart = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// policy decides the spread of requests.
type policy interface {
	// split returns the spread that a node uses.
	split(node int) Split
	// ended counts a request whose end a node has seen.
	ended(node int, o Outcome)
	// tick lets the policy act at a time since the begin.
	tick(w *simWorld, t time.Duration)
	state() State
}

type simWorld struct {
	rng      *rand.Rand
	sc       scenario
	severity float64
	pick     int
	share    Share
	ends     [][]simEnd // ring of the seconds to come
	second   int

	shown      bool // a faulty answer was seen
	after      int  // requests to the new version since
	atShown    Share
	maxShare   Share
	fullInTime bool
}

type simEnd struct {
	node    int
	outcome Outcome
	faulty  bool
}

const simHorizon = 120 // seconds that a request may take

func newSimWorld(sc scenario, seed uint64) *simWorld {
	w := &simWorld{rng: rand.New(rand.NewPCG(seed, 11)), sc: sc, ends: make([][]simEnd, simHorizon)}
	w.severity = 0.2 + 0.8*w.rng.Float64()
	w.pick = w.rng.IntN(20)
	if w.sc.rate == 0 {
		w.sc.rate = 5
	}
	return w
}

// run plays the move and its bake time.
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
		if p.state() == StateUndone {
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
			node = 1 // a paused node takes no requests
		}
		s := p.split(node)
		w.share, w.maxShare = s.Share, max(w.maxShare, s.Share)
		q := simRequest{route: pickShare(w.rng, simRoutes), workspace: pickShare(w.rng, simWorkspaces)}
		q.fresh = Share(w.rng.IntN(int(FullShare))) < s.Share
		if q.fresh && w.shown {
			w.after++
		}
		w.send(node, q, t)
		if q.route < len(simRoutes)-1 && Share(w.rng.IntN(int(FullShare))) < s.Shadow {
			q.fresh = !q.fresh
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
	if q.fresh && w.sc.fault != nil {
		w.sc.fault(w, &q, t)
	}
	if w.sc.trouble != nil {
		w.sc.trouble(w, &q, t)
	}
	version := ident.Version("v1")
	if q.fresh {
		version = "v2"
	}
	// A node sees the end after the latency; others one second later.
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
		if e.faulty && !w.shown {
			w.shown, w.atShown = true, w.share
		}
	}
	w.ends[w.second] = w.ends[w.second][:0]
}

// tally sums up the runs of one case.
type tally struct {
	sync.Mutex
	runs, undone, inTime, superseded, shown int
	after                                   []int
	shares, calls                           []int
}

func (l *tally) add(w *simWorld, p policy) {
	l.Lock()
	defer l.Unlock()
	l.runs++
	switch p.state() {
	case StateUndone:
		l.undone++
	case StateSuperseded:
		l.superseded++
	}
	if w.fullInTime && p.state() == StateDone {
		l.inTime++
	}
	if w.shown {
		l.shown++
		l.after = append(l.after, w.after)
	}
	l.shares = append(l.shares, int(w.maxShare))
	if o, ok := p.(*ours); ok {
		l.calls = append(l.calls, o.calls)
	}
}

func quantile(v []int, q float64) int {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

func (l *tally) String() string {
	return fmt.Sprintf("undone %5.1f%%, in time %5.1f%%, superseded %5.1f%%, after fault shown p50 %d p95 %d max %d, largest share p50 %s p95 %s, store calls p50 %d",
		pct(l.undone, l.runs), pct(l.inTime, l.runs), pct(l.superseded, l.runs),
		quantile(l.after, 0.5), quantile(l.after, 0.95), quantile(l.after, 1), Share(quantile(l.shares, 0.5)), Share(quantile(l.shares, 0.95)), quantile(l.calls, 0.5))
}

func pct(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// firstSeed lets a long run be cut into parts.
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

// simWorkers is the number of seeds played at once.
const simWorkers = 2

// Targets of the simulated moves, in percent.
const (
	bestTakenBack = 98
	bestInTime    = 98
)

// TestMoves plays every case, against the naive policy.
func TestMoves(t *testing.T) {
	defer invariant.SetFatal(invariant.SetFatal(true))
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			var own, plain tally
			short := 4
			if sc.bad {
				short = 24
			}
			n := simSeeds(t, short)
			var wg sync.WaitGroup
			for worker := range simWorkers {
				wg.Go(func() {
					for seed := firstSeed(t) + worker; seed < firstSeed(t)+n; seed += simWorkers {
						w, o := newSimWorld(sc, uint64(seed)), newOurs()
						w.run(o)
						own.add(w, o)
						if end := o.state(); sc.bad != (end == StateUndone) {
							t.Logf("seed %d, severity %.2f, pick %d: %s, %s", seed, w.severity, w.pick, end, o.node[1].Record().Reason)
						}
						v, p := newSimWorld(sc, uint64(seed)), &naive{}
						v.run(p)
						plain.add(v, p)
					}
				})
			}
			wg.Wait()
			t.Logf("%d seeds\nours:  %v\nnaive: %v", n, &own, &plain)
			good := pct(own.inTime, n)
			if sc.reversed {
				good = pct(own.superseded, n)
			}
			if sc.bad && pct(own.undone, n) < bestTakenBack || !sc.bad && good < bestInTime {
				t.Errorf("%v", &own)
			}
		})
	}
}
