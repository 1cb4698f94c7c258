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

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platform"
)

// The simulated move: two nodes before two versions of a service.
const (
	simTick   = 2 * time.Second
	simWindow = 30 * time.Minute
	simBake   = 15 * time.Minute
)

var simStart = time.Date(2026, 12, 4, 1, 0, 0, 0, time.UTC)

// scenario is one case to cause.
type scenario struct {
	name string
	bad  bool
	rate float64 // requests a second; 0 means 5
	// fault changes a request on the new version, t after the begin of the move.
	fault func(w *simWorld, q *simRequest, t time.Duration)
	// trouble changes a request on either version.
	trouble  func(w *simWorld, q *simRequest, t time.Duration)
	capacity func(t time.Duration) Share
	outage   bool // of the store, from 10 to 18 minutes
	pause    bool // of the lease's holder, from 10 to 13 minutes
	reversed bool // a later move goes the other way at 12 minutes
}

type simRequest struct {
	route, workspace int
	fresh            bool // on the new version
	result           Result
	latency          time.Duration
	size             int
	faulty           bool // the fault struck it
}

// shares of the routes and workspaces; the last route is not idempotent.
var (
	simRoutes     = []float64{0.5, 0.25, 0.05, 0.2}
	simWorkspaces = []float64{0.4, 0.3, 0.15, 0.1, 0.05}
)

var (
	simRouteNames     = []ident.RouteName{"chat", "drafts", "wording", "tags"}
	simWorkspaceNames = []ident.Workspace{"a", "b", "c", "d", "e"}
)

func fails(p float64) func(*simWorld, *simRequest) {
	return func(w *simWorld, q *simRequest) {
		if w.rng.Float64() < p {
			q.result, q.faulty = Failed, true
		}
	}
}

func scenarios() []scenario {
	hit := func(w *simWorld, q *simRequest) { fails(w.severity)(w, q) }
	return []scenario{
		{name: "fails at once", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) { hit(w, q) }},
		{name: "slow at once", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			q.latency, q.faulty = time.Duration(float64(q.latency)*(2+3*w.severity)), true
		}},
		{name: "fails after 10 minutes", bad: true, fault: func(w *simWorld, q *simRequest, t time.Duration) {
			if t > 10*time.Minute {
				hit(w, q)
			}
		}},
		{name: "fails above half load", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			if w.share > FullShare/2 {
				hit(w, q)
			}
		}},
		{name: "fails on one route of four", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			if q.route == w.pick%len(simRoutes) {
				hit(w, q)
			}
		}},
		{name: "fails for one workspace of five", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			if q.workspace == w.pick%len(simWorkspaces) {
				hit(w, q)
			}
		}},
		{name: "streams truncate", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) { fails(w.severity/2)(w, q) }},
		{name: "errors hidden in a 200", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			if w.rng.Float64() < w.severity {
				q.size, q.latency, q.faulty = 8+w.rng.IntN(8), q.latency/2, true
			}
		}},
		{name: "no trouble"},
		{name: "reclaim wave", trouble: func(w *simWorld, q *simRequest, t time.Duration) {
			if t < 12*time.Minute || t > 13*time.Minute {
				return
			}
			p := 0.1
			if q.fresh {
				p = 0.4
			}
			if w.rng.Float64() < p {
				q.result = Excused
				if w.rng.Float64() < 0.05 {
					q.result = Failed
				}
			}
		}, capacity: func(t time.Duration) Share {
			if t > 12*time.Minute && t < 16*time.Minute {
				return 300
			}
			return FullShare
		}},
		{name: "both versions slow and failing", trouble: func(w *simWorld, q *simRequest, t time.Duration) {
			if t > 8*time.Minute && t < 18*time.Minute {
				q.latency *= 5
				fails(0.2)(w, q)
				q.faulty = false
			}
		}},
		{name: "both versions failing in the bake time", trouble: func(w *simWorld, q *simRequest, t time.Duration) {
			if t > 33*time.Minute && t < 40*time.Minute {
				fails(0.2)(w, q)
				q.faulty = false
			}
		}},
		{name: "few requests at night", rate: 0.05},
		{name: "starts refused", capacity: func(t time.Duration) Share {
			if t < 18*time.Minute {
				return 80
			}
			return FullShare
		}},
		{name: "store outage", outage: true},
		{name: "holder paused and back", pause: true},
		{name: "two operators, both ways", reversed: true},
	}
}

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

// ours runs two nodes with real controllers over one store object.
type ours struct {
	evidence [2]*Evidence
	node     [2]*Controller
	object   platform.Object
	calls    int
	late     *PutAction // of the paused holder
}

func newOurs() *ours {
	o := &ours{}
	for i := range o.node {
		id := ident.NodeID(fmt.Sprint("n", i))
		o.evidence[i] = NewEvidence(Source{Node: id})
		o.node[i] = NewController("up", Options{Self: id})
	}
	return o
}

func (o *ours) split(node int) Split        { return o.node[node].Split() }
func (o *ours) ended(node int, out Outcome) { o.evidence[node].Record(out) }
func (o *ours) state() State                { return o.node[1].Record().State }
func (o *ours) down(w *simWorld, t time.Duration) bool {
	return w.sc.outage && t > 10*time.Minute && t < 18*time.Minute
}

func (o *ours) tick(w *simWorld, t time.Duration) {
	paused := w.sc.pause && t > 10*time.Minute && t < 13*time.Minute
	for i, e := range o.evidence {
		if !paused {
			e.Merge(o.evidence[1-i].Changed())
		}
	}
	for i, c := range o.node {
		if paused && i == 0 {
			continue
		}
		in := o.input(w, t, i)
		for _, a := range c.Tick(in) {
			o.act(w, t, i, a)
		}
		if !paused {
			o.node[1-i].Learn(c.Record())
		}
	}
	if o.late != nil && !paused && t > 13*time.Minute {
		o.node[0].Wrote(o.put(*o.late)) // arrives after the pause, on an old version
		o.late = nil
	}
}

func (o *ours) input(w *simWorld, t time.Duration, i int) Input {
	in := Input{
		Now: simStart.Add(t), Present: true, Revision: 1, Serving: "v1", Capacity: FullShare, Routes: len(simRoutes), Poll: true,
		Move: config.Move{Name: "up", Service: "model", From: "v1", To: "v2", FinishBy: simStart.Add(simWindow), Bake: simBake},
		Old:  o.evidence[i].Totals("model", "v1"), New: o.evidence[i].Totals("model", "v2"),
		Held: i == 0, Epoch: 1,
	}
	if w.sc.capacity != nil {
		in.Capacity = w.sc.capacity(t)
	}
	if w.sc.pause && t > 10*time.Minute {
		in.Held, in.Epoch = i == 1 && t > 10*time.Minute+15*time.Second, 2
	}
	if w.sc.reversed && t > 12*time.Minute {
		in.Move.SupersededBy, in.Revision = "back", 2
	}
	return in
}

func (o *ours) act(w *simWorld, t time.Duration, i int, a Action) {
	c := o.node[i]
	o.calls++
	switch a := a.(type) {
	case MarkAction:
		o.calls--
		o.node[1-i].Marked(a.Mark)
	case ReadAction:
		switch {
		case o.down(w, t):
			c.Read(platform.Object{}, platform.ErrUnavailable)
		case o.object.Version == 0:
			c.Read(platform.Object{}, platform.ErrNotFound)
		default:
			c.Read(o.object, nil)
		}
	case PutAction:
		switch {
		case o.down(w, t):
			c.Wrote(0, platform.ErrUnavailable)
		case w.rng.IntN(4) == 0:
			if w.rng.IntN(2) == 0 {
				_, _ = o.put(a)
			}
			c.Wrote(0, platform.ErrUnknown)
		case w.sc.pause && i == 0 && t > 9*time.Minute && o.late == nil && t < 10*time.Minute+simTick:
			o.late = &a // paused between the check of its right and the write
		default:
			c.Wrote(o.put(a))
		}
	}
}

func (o *ours) put(a PutAction) (platform.Version, error) {
	if o.object.Version != a.Expect {
		return 0, platform.ErrConflict
	}
	o.object = platform.Object{Version: a.Expect + 1, Value: a.Value}
	return o.object.Version, nil
}

// naive raises the share by a timer and looks at the mean error rate.
type naive struct {
	share  Share
	undone bool
	done   bool
	recent []Arm // of the new version, by tick
	cur    Arm
}

func (n *naive) split(int) Split { return Split{Share: n.share} }

func (n *naive) ended(_ int, o Outcome) {
	if o.Version == "v2" {
		n.cur.Trials++
		if o.Result != OK {
			n.cur.Events++
		}
	}
}

func (n *naive) state() State {
	switch {
	case n.undone:
		return StateUndone
	case n.done:
		return StateDone
	default:
		return StateAdvancing
	}
}

// tick steps at each quarter of the window, and undoes where more than 5% of at
// least 20 requests of the last 5 minutes failed.
func (n *naive) tick(w *simWorld, t time.Duration) {
	n.recent = append(n.recent, n.cur)
	n.cur = Arm{}
	if keep := int(5 * time.Minute / simTick); len(n.recent) > keep {
		n.recent = n.recent[1:]
	}
	var sum Arm
	for _, a := range n.recent {
		sum.add(a)
	}
	if sum.Trials >= 20 && sum.Events*20 > sum.Trials {
		n.undone, n.share = true, 0
		return
	}
	shares := []Share{100, 250, 500, FullShare}
	n.share = shares[min(int(t*4/simWindow), 3)]
	n.done = t > simWindow+simBake
	if w.sc.reversed && t > 12*time.Minute {
		n.share = 0
	}
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
			short := 10
			if sc.bad {
				short = 36
			}
			n := simSeeds(t, short)
			var wg sync.WaitGroup
			for worker := range simWorkers {
				wg.Go(func() {
					for seed := firstSeed(t) + worker; seed < firstSeed(t)+n; seed += simWorkers {
						w, o := newSimWorld(sc, uint64(seed)), newOurs()
						w.run(o)
						own.add(w, o)
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
