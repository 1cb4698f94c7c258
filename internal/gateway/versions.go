package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/directory"
	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/kernel"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/rollout"
	"github.com/jujubeshed/jujubeshed/internal/serve"
	"github.com/jujubeshed/jujubeshed/internal/sharing"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// evaluateInterval is how often versions are compared. A bad version must receive no more
// requests a few seconds after its faults show.
const evaluateInterval = 200 * time.Millisecond

// versions drives the rollout gate: it feeds it with orders and evidence, and reports the
// outcome of version moves.
type versions struct {
	platform Adapter
	lease    duty.LeaseStatus
	log      *slog.Logger
	loop     *kernel.Loop

	mu struct {
		sync.Mutex
		gate  *rollout.Gate
		rng   *rand.Rand
		moves map[platformapi.Key]listedMove
	}
}

// listedMove is an order in the store.
type listedMove struct {
	site.VersionMove
	version platformapi.Version
}

var (
	_ serve.Versions     = (*versions)(nil)
	_ directory.Listener = (*versions)(nil)
)

func newVersions(p Adapter, share float64, lease duty.LeaseStatus, log *slog.Logger) *versions {
	v := &versions{platform: p, lease: lease, log: log}
	v.mu.gate = rollout.NewGate(share)
	v.mu.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	v.mu.moves = make(map[platformapi.Key]listedMove)
	v.loop = kernel.NewLoop(evaluateInterval, v.step)
	return v
}

// Start implements kernel.Starter.
func (v *versions) Start(ctx context.Context) error { return v.loop.Start(ctx) }

// Stop implements kernel.Stopper.
func (v *versions) Stop(ctx context.Context) error { return v.loop.Stop(ctx) }

// ChooseVersion implements serve.Versions.
func (v *versions) ChooseVersion(s ident.Service) (only, avoid ident.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mu.gate.ChooseVersion(v.mu.rng, s)
}

// Record implements serve.Versions.
func (v *versions) Record(s ident.Service, version ident.Version, o placement.Outcome, route ident.RouteName, p serve.Progress) {
	r := rollout.Result{
		Counts: o == placement.OutcomeSuccess || o == placement.OutcomeFault, Fault: o == placement.OutcomeFault,
		Latency: p.Latency, Events: p.Events, Streaming: p.Streaming,
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mu.gate.Record(rollout.Arm{Service: s, Version: version, Route: route}, r)
}

// Replace implements directory.Listener.
func (v *versions) Replace(objects []platformapi.Object) {
	v.mu.Lock()
	clear(v.mu.moves)
	v.mu.Unlock()
	v.Change(objects)
}

// Change implements directory.Listener.
func (v *versions) Change(objects []platformapi.Object) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range objects {
		if o.Version == 0 {
			delete(v.mu.moves, o.Key)
			continue
		}
		m, err := v.platform.DecodeMove(o.Value, o.Status)
		if err != nil {
			v.log.Warn("rollout: Order cannot be read.", "key", string(o.Key), "revision", o.Version, "error", err)
			continue
		}
		v.log.Info("rollout: Order received.", "service", m.Service, "target", m.Target, "within", m.Within, "state", string(m.State), "revision", o.Version)
		v.mu.moves[o.Key] = listedMove{m, o.Version}
	}
	list := make([]site.VersionMove, 0, len(v.mu.moves))
	for _, m := range v.mu.moves {
		list = append(list, m.VersionMove)
	}
	v.mu.gate.SetMoves(time.Now(), list)
}

// addLocalState sets this node's evidence and bad versions in the node state that is sent to
// the other nodes.
func (v *versions) addLocalState(own *sharing.NodeState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	own.Evidence, own.BadVersions, own.CompletedVersions = v.mu.gate.LocalEvidence(), v.mu.gate.BadVersions(), v.mu.gate.CompletedVersions()
}

// recordPeerStates applies the evidence and the bad versions of all other nodes.
func (v *versions) recordPeerStates(states []*sharing.NodeState) {
	v.mu.Lock()
	defer v.mu.Unlock()
	sum := make(rollout.Evidence)
	for _, peer := range states {
		sum.Add(peer.Evidence)
		v.mu.gate.MarkBadVersions(peer.BadVersions)
		v.mu.gate.MarkCompletedVersions(peer.CompletedVersions)
	}
	v.mu.gate.SetPeers(sum)
}

// step compares the versions and, if this node holds the lease on the duties, reports the
// outcome of moves.
func (v *versions) step(ctx context.Context) {
	v.mu.Lock()
	bad := v.mu.gate.Evaluate()
	pending := v.mu.gate.PendingOutcomes(time.Now())
	v.mu.Unlock()
	for _, o := range bad {
		v.log.Warn("rollout: Version is bad and gets no more requests.", "service", o.Service, "target", o.Target,
			"target_count", o.TargetCount, "base_count", o.BaseCount)
	}
	for _, o := range pending {
		if _, held := v.lease.Held(); !held {
			return
		}
		v.reportOutcome(ctx, o)
	}
}

// reportOutcome writes the state of a move to the store.
func (v *versions) reportOutcome(ctx context.Context, o rollout.Outcome) {
	status, err := v.platform.EncodeMoveStatus(o.Target, o.State)
	if err != nil {
		v.log.Error("rollout: Status cannot be encoded.", "service", o.Service, "error", err)
		return
	}
	key := v.platform.MoveKind + "/" + platformapi.Key(o.Service)
	v.mu.Lock()
	listed, ok := v.mu.moves[key]
	v.mu.Unlock()
	if !ok || listed.Target != o.Target {
		return // the order has been replaced or removed since
	}
	// The condition keeps a holder that was paused, or whose write was held up, from replacing a
	// later state.
	err = v.platform.Store.PutStatus(ctx, key, status, listed.version)
	v.log.Info("rollout: State reported.", "service", o.Service, "target", o.Target, "state", string(o.State), "reason", o.Reason,
		"target_count", o.TargetCount, "base_count", o.BaseCount, "error", err)
	if err != nil {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mu.gate.MarkReported(o)
}
