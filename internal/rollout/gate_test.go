package rollout

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const within = 12 * time.Second

// trial lets some nodes move a service while requests come, and returns the share of
// the target and what was reported.
type trial struct {
	gates    []*Gate
	rng      *rand.Rand
	now      time.Time
	toTarget int
	all      int
	after    int // requests to the target after its 50th fault
	faults   int
	reported site.MoveState
}

// version tells how requests of a version end.
type version struct {
	faults float64
	millis float64
	from   time.Duration // from when on it is like this; before it is like the base
	route  ident.RouteName
}

var base = version{faults: 0.02, millis: 50}

func runTrial(seed uint64, target version) *trial {
	t := &trial{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	start := t.now
	for range 8 {
		g := NewGate(Share)
		g.SetMoves(t.now, []site.VersionMove{{Service: "s", Target: "v2", Within: within}})
		t.gates = append(t.gates, g)
	}
	const step = 10 * time.Millisecond
	for ; t.now.Sub(start) < within; t.now = t.now.Add(step) {
		for range 2 { // 200 requests a second
			t.request(t.now.Sub(start), target)
		}
		if t.now.UnixMilli()%200 == 0 {
			t.exchange()
		}
	}
	return t
}

func (t *trial) request(at time.Duration, target version) {
	g := t.gates[t.rng.IntN(len(t.gates))]
	route := []ident.RouteName{"r1", "r2"}[t.rng.IntN(2)]
	only, _ := g.ChooseVersion(t.rng, "s")
	v, like := ident.Version("v1"), base
	if only == "v2" {
		v = "v2"
		if at >= target.from && (target.route == "" || target.route == route) {
			like = target
		}
	}
	t.all++
	fault := t.rng.Float64() < like.faults
	if v == "v2" {
		t.toTarget++
		if t.faults >= 50 {
			t.after++
		}
		if fault {
			t.faults++
		}
	}
	g.Record(Arm{"s", v, route}, fault, time.Duration(like.millis*(0.5+t.rng.Float64()))*time.Millisecond)
}

// exchange lets the nodes hear of each other; the first one holds the duties.
func (t *trial) exchange() {
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

// TestBadVersions: faults or slowness, at once, later or on one route, are found in
// time and with little exposure.
func TestBadVersions(t *testing.T) {
	for name, target := range map[string]version{
		"fails":         {faults: 0.5, millis: 50},
		"fails a part":  {faults: 0.25, millis: 50},
		"slow":          {faults: 0.02, millis: 250},
		"fails later":   {faults: 0.6, millis: 50, from: 3 * time.Second},
		"one route":     {faults: 0.7, millis: 50, route: "r2"},
		"slow, a route": {faults: 0.02, millis: 400, route: "r1"},
	} {
		for seed := range uint64(30) {
			r := runTrial(seed, target)
			if r.reported != site.MoveRolledBack {
				t.Errorf("%s, seed %d: reported %q after %d requests", name, seed, r.reported, r.toTarget)
			}
			if float64(r.toTarget) > 0.1*float64(r.all) || r.after > 0 {
				t.Errorf("%s, seed %d: the target had %d of %d requests, %d after its 50th fault", name, seed, r.toTarget, r.all, r.after)
			}
		}
	}
}

// TestGoodVersions are completed by their deadline.
func TestGoodVersions(t *testing.T) {
	undone := 0
	for seed := range uint64(100) {
		r := runTrial(seed, base)
		if r.reported != site.MoveDone {
			undone++
		}
	}
	if undone > 2 {
		t.Errorf("%d of 100 good versions were not completed", undone)
	}
}

// TestUndoneStaysUndone: what the store says of a target outlives a node, and another
// target begins anew.
func TestUndoneStaysUndone(t *testing.T) {
	g := NewGate(Share)
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	undone := site.VersionMove{Service: "s", Target: "v2", Within: within, State: site.MoveRolledBack, StateTarget: "v2"}
	g.SetMoves(now, []site.VersionMove{undone})
	if only, avoid := g.ChooseVersion(rng, "s"); only != "" || avoid != "v2" {
		t.Errorf("drew %q, avoiding %q", only, avoid)
	}
	if due := g.PendingOutcomes(now.Add(within)); len(due) != 0 {
		t.Errorf("reports %+v again", due)
	}
	next := undone
	next.Target = "v3"
	g.SetMoves(now, []site.VersionMove{next})
	if due := g.PendingOutcomes(now); len(due) != 1 || due[0].State != site.MoveRunning || due[0].Target != "v3" {
		t.Errorf("the next move: %+v", due)
	}
}

// TestCountJSON pins the names under which a count is written to the log.
func TestCountJSON(t *testing.T) {
	raw, err := json.Marshal(Count{Requests: 1, Faults: 2, LatencyMillis: 3})
	if want := `{"Requests":1,"Faults":2,"Millis":3}`; err != nil || string(raw) != want {
		t.Errorf("encoded as %s, error %v; want %s", raw, err, want)
	}
}
