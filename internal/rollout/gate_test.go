package rollout

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const moveTime = 12 * time.Second

// simulation runs a move of one service on several nodes under load, and records the
// requests that the target got and the state that was reported.
type simulation struct {
	gates          []*Gate
	rng            *rand.Rand
	now            time.Time
	targetRequests int
	requests       int
	lateRequests   int // to the target after its 50th fault
	targetFaults   int
	reported       site.MoveState
}

// behaviour describes the results of a version's requests.
type behaviour struct {
	faultRate     float64
	latencyMillis float64
	gapMillis     float64       // between events; zero for baseGapMillis
	cancelled     bool          // callers cancel all requests before their end
	from          time.Duration // start of this behaviour; before it the version behaves like the base
	route         ident.RouteName
}

const baseGapMillis = 10

var baseBehaviour = behaviour{faultRate: 0.02, latencyMillis: 50}

func simulate(seed uint64, target behaviour) *simulation {
	t := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	start := t.now
	for range 8 {
		g := NewGate(Share)
		g.SetMoves(t.now, []site.VersionMove{{Service: "s", Target: "v2", Within: moveTime}})
		t.gates = append(t.gates, g)
	}
	const step = 10 * time.Millisecond
	for ; t.now.Sub(start) < moveTime; t.now = t.now.Add(step) {
		for range 2 { // 200 requests a second
			t.request(t.now.Sub(start), target)
		}
		if t.now.UnixMilli()%200 == 0 {
			t.exchange()
		}
	}
	return t
}

func (t *simulation) request(at time.Duration, target behaviour) {
	g := t.gates[t.rng.IntN(len(t.gates))]
	route := []ident.RouteName{"r1", "r2"}[t.rng.IntN(2)]
	only, _ := g.ChooseVersion(t.rng, "s")
	v, b := ident.Version("v1"), baseBehaviour
	if only == "v2" {
		v = "v2"
		if at >= target.from && (target.route == "" || target.route == route) {
			b = target
		}
	}
	t.requests++
	fault := t.rng.Float64() < b.faultRate
	if v == "v2" {
		t.targetRequests++
		if t.targetFaults >= 50 {
			t.lateRequests++
		}
		if fault {
			t.targetFaults++
		}
	}
	g.Record(Arm{"s", v, route}, Result{
		Counts: !b.cancelled, Fault: fault, Latency: time.Duration(b.latencyMillis*(0.5+t.rng.Float64())) * time.Millisecond,
		Events: 5, Streaming: time.Duration(4 * cmp.Or(b.gapMillis, baseGapMillis) * (0.5 + t.rng.Float64()) * float64(time.Millisecond)),
	})
}

// exchange distributes evidence and bad versions among the nodes; the first node holds
// the duties and reports.
func (t *simulation) exchange() {
	for i, g := range t.gates {
		sum := make(Evidence)
		for j, o := range t.gates {
			if i != j {
				sum.Add(o.LocalEvidence())
				g.MarkBadVersions(o.BadVersions())
			}
		}
		g.SetPeers(sum)
		g.Evaluate()
	}
	for _, o := range t.gates[0].PendingOutcomes(t.now) {
		t.reported = o.State
		for _, g := range t.gates {
			g.MarkReported(o)
		}
	}
}

// TestBadVersions checks that a target with faults or a high latency, from the start, later
// or on one route only, is rolled back in time and gets few requests.
func TestBadVersions(t *testing.T) {
	for name, target := range map[string]behaviour{
		"fails":                  {faultRate: 0.5, latencyMillis: 50},
		"fails a quarter":        {faultRate: 0.25, latencyMillis: 50},
		"slow":                   {faultRate: 0.02, latencyMillis: 250},
		"fails later":            {faultRate: 0.6, latencyMillis: 50, from: 3 * time.Second},
		"one route":              {faultRate: 0.7, latencyMillis: 50, route: "r2"},
		"slow events":            {faultRate: 0.02, latencyMillis: 75, gapMillis: 50},
		"slow events, cancelled": {latencyMillis: 75, gapMillis: 50, cancelled: true},
		"one slow route":         {faultRate: 0.02, latencyMillis: 400, route: "r1"},
	} {
		for seed := range uint64(30) {
			r := simulate(seed, target)
			if r.reported != site.MoveRolledBack {
				t.Errorf("%s, seed %d: reported %q after %d requests", name, seed, r.reported, r.targetRequests)
			}
			if float64(r.targetRequests) > 0.1*float64(r.requests) || r.lateRequests > 0 {
				t.Errorf("%s, seed %d: the target had %d of %d requests, %d after its 50th fault", name, seed, r.targetRequests, r.requests, r.lateRequests)
			}
		}
	}
}

// TestGoodVersions checks that a move to a good version is completed by its deadline, but
// for at most 2 of 100 seeds.
func TestGoodVersions(t *testing.T) {
	notCompleted := 0
	for seed := range uint64(100) {
		r := simulate(seed, baseBehaviour)
		if r.reported != site.MoveDone {
			notCompleted++
		}
	}
	if notCompleted > 2 {
		t.Errorf("%d of 100 good versions were not completed", notCompleted)
	}
}

// TestRolledBackMoveStaysRolledBack checks that a restarted node respects the stored state
// of a target that was rolled back, and that a move to another target starts anew.
func TestRolledBackMoveStaysRolledBack(t *testing.T) {
	g := NewGate(Share)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	rolledBack := site.VersionMove{Service: "s", Target: "v2", Within: moveTime, State: site.MoveRolledBack, StateTarget: "v2"}
	g.SetMoves(now, []site.VersionMove{rolledBack})
	if only, avoid := g.ChooseVersion(rng, "s"); only != "" || avoid != "v2" {
		t.Errorf("chosen version %q, avoided version %q; want none and v2", only, avoid)
	}
	if due := g.PendingOutcomes(now.Add(moveTime)); len(due) != 0 {
		t.Errorf("outcome of a move that was rolled back is reported again: %+v", due)
	}
	next := rolledBack
	next.Target = "v3"
	g.SetMoves(now, []site.VersionMove{next})
	if due := g.PendingOutcomes(now); len(due) != 1 || due[0].State != site.MoveRunning || due[0].Target != "v3" {
		t.Errorf("outcomes of the move to v3: %+v, want only that it is running", due)
	}
}

// TestCountJSON pins the names under which a count is written to the log.
func TestCountJSON(t *testing.T) {
	raw, err := json.Marshal(Count{Requests: 1, Faults: 2, LatencyMillis: 3})
	if want := `{"Requests":1,"Faults":2,"Millis":3}`; err != nil || string(raw) != want {
		t.Errorf("encoded as %s, error %v; want %s", raw, err, want)
	}
}

// TestOutcomeSurvivesRestore checks that an outcome is reported again, and not another one,
// if the store is restored from a copy with an earlier state of the move, or without the move.
func TestOutcomeSurvivesRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	order := site.VersionMove{Service: "s", Target: "v2", Within: moveTime}
	running := order
	running.State, running.StateTarget = site.MoveRunning, "v2"
	for name, c := range map[string]struct {
		outcome site.MoveState
		copied  [][]site.VersionMove // lists received after the restore
	}{
		"done":                      {site.MoveDone, [][]site.VersionMove{{running}}},
		"rolled back":               {site.MoveRolledBack, [][]site.VersionMove{{running}}},
		"done, order lost":          {site.MoveDone, [][]site.VersionMove{nil, {order}}},
		"rolled back, order lost":   {site.MoveRolledBack, [][]site.VersionMove{nil, {order}}},
		"rolled back, status empty": {site.MoveRolledBack, [][]site.VersionMove{{order}}},
	} {
		g, restarted := NewGate(Share), NewGate(Share)
		g.SetMoves(now, []site.VersionMove{running})
		g.MarkReported(Outcome{Service: "s", Target: "v2", State: c.outcome})
		for _, list := range c.copied {
			g.SetMoves(now, list)
			restarted.SetMoves(now, list)
		}
		restarted.MarkBadVersions(g.BadVersions())
		restarted.MarkCompletedVersions(g.CompletedVersions())
		for who, gate := range map[string]*Gate{"node": g, "restarted node": restarted} {
			pending := gate.PendingOutcomes(now.Add(moveTime))
			if len(pending) != 1 || pending[0].State != c.outcome {
				t.Errorf("%s: %s reports %+v", name, who, pending)
			}
			only, avoid := gate.ChooseVersion(rand.New(rand.NewPCG(1, 1)), "s")
			if c.outcome == site.MoveDone && only != "v2" || c.outcome == site.MoveRolledBack && avoid != "v2" {
				t.Errorf("%s: %s sends requests only to %q and not to %q", name, who, only, avoid)
			}
		}
	}
}
