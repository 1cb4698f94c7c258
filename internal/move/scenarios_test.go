package move

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// scenario is one simulated case.
type scenario struct {
	name string
	bad  bool
	rate float64 // requests per second; 0 means 5
	// fault changes a request on the new version, t after the start of the move.
	fault func(w *simWorld, q *simRequest, t time.Duration)
	// commonFault changes a request on either version.
	commonFault func(w *simWorld, q *simRequest, t time.Duration)
	capacity    func(t time.Duration) Share
	outage      bool // of the store, from 10 to 18 minutes
	pause       bool // of the lease holder, from 10 to 13 minutes
	reversed    bool // a later move back to the old version appears at 12 minutes
}

type simRequest struct {
	route, workspace int
	onNew            bool // sent to the new version
	result           Result
	latency          time.Duration
	size             int
	faulty           bool // affected by the fault of the new version
}

// Fractions of the requests by route and workspace. The last route is not idempotent.
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
			if q.route == w.affected%len(simRoutes) {
				hit(w, q)
			}
		}},
		{name: "fails for one workspace of five", bad: true, fault: func(w *simWorld, q *simRequest, _ time.Duration) {
			if q.workspace == w.affected%len(simWorkspaces) {
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
		{name: "reclaim wave", commonFault: func(w *simWorld, q *simRequest, t time.Duration) {
			if t < 12*time.Minute || t > 13*time.Minute {
				return
			}
			p := 0.1
			if q.onNew {
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
		{name: "both versions slow and failing", commonFault: func(w *simWorld, q *simRequest, t time.Duration) {
			if t > 8*time.Minute && t < 18*time.Minute {
				q.latency *= 5
				fails(0.2)(w, q)
				q.faulty = false
			}
		}},
		{name: "both versions failing in the bake time", commonFault: func(w *simWorld, q *simRequest, t time.Duration) {
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
