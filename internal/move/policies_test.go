package move

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// controllerPolicy runs two nodes with real controllers and one stored object.
type controllerPolicy struct {
	evidence   [2]*Evidence
	node       [2]*Controller
	object     platformapi.Object
	calls      int
	delayedPut *PutAction // write of the paused lease holder, completed after the pause
}

func newControllerPolicy() *controllerPolicy {
	o := &controllerPolicy{}
	for i := range o.node {
		id := ident.NodeID(fmt.Sprint("n", i))
		o.evidence[i] = NewEvidence(Source{Node: id})
		o.node[i] = NewController("up", Options{Self: id})
	}
	return o
}

func (o *controllerPolicy) split(node int) Split        { return o.node[node].Split() }
func (o *controllerPolicy) ended(node int, out Outcome) { o.evidence[node].Record(out) }
func (o *controllerPolicy) state() State                { return o.node[1].Record().State }
func (o *controllerPolicy) down(w *simWorld, t time.Duration) bool {
	return w.sc.outage && t > 10*time.Minute && t < 18*time.Minute
}

func (o *controllerPolicy) tick(w *simWorld, t time.Duration) {
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
			o.node[1-i].ApplyRecord(c.Record())
		}
	}
	if o.delayedPut != nil && !paused && t > 13*time.Minute {
		o.node[0].HandlePut(o.put(*o.delayedPut)) // arrives after the pause and expects an old object version
		o.delayedPut = nil
	}
}

func (o *controllerPolicy) input(w *simWorld, t time.Duration, i int) Input {
	in := Input{
		Now: simStart.Add(t), Present: true, Revision: 1, Serving: "v1", Capacity: FullShare, Routes: len(simRoutes), Poll: true,
		Move: config.Move{Name: "up", Service: "model", From: "v1", To: "v2", FinishBy: simStart.Add(simWindow), Bake: simBake},
		Old:  o.evidence[i].Totals("model", "v1"), New: o.evidence[i].Totals("model", "v2"),
		LeaseHeld: i == 0, Epoch: 1,
	}
	if w.sc.capacity != nil {
		in.Capacity = w.sc.capacity(t)
	}
	if w.sc.pause && t > 10*time.Minute {
		in.LeaseHeld, in.Epoch = i == 1 && t > 10*time.Minute+15*time.Second, 2
	}
	if w.sc.reversed && t > 12*time.Minute {
		in.Move.SupersededBy, in.Revision = "back", 2
	}
	return in
}

func (o *controllerPolicy) act(w *simWorld, t time.Duration, i int, a Action) {
	c := o.node[i]
	o.calls++
	switch a := a.(type) {
	case MarkAction:
		o.calls--
		o.node[1-i].ApplyMark(a.Mark)
	case ReadAction:
		switch {
		case o.down(w, t):
			c.HandleRead(platformapi.Object{}, platformapi.ErrUnavailable)
		case o.object.Version == 0:
			c.HandleRead(platformapi.Object{}, platformapi.ErrNotFound)
		default:
			c.HandleRead(o.object, nil)
		}
	case PutAction:
		switch {
		case o.down(w, t):
			c.HandlePut(0, platformapi.ErrUnavailable)
		case w.rng.IntN(4) == 0:
			if w.rng.IntN(2) == 0 {
				_, _ = o.put(a)
			}
			c.HandlePut(0, platformapi.ErrUnknown)
		case w.sc.pause && i == 0 && t > 9*time.Minute && o.delayedPut == nil && t < 10*time.Minute+simTick:
			o.delayedPut = &a // paused between the check of its lease and the write
		default:
			c.HandlePut(o.put(a))
		}
	}
}

func (o *controllerPolicy) put(a PutAction) (platformapi.Version, error) {
	if o.object.Version != a.Expect {
		return 0, platformapi.ErrConflict
	}
	o.object = platformapi.Object{Version: a.Expect + 1, Value: a.Value}
	return o.object.Version, nil
}

// naivePolicy raises the share at fixed times and checks the mean error rate.
type naivePolicy struct {
	share   Share
	undone  bool
	done    bool
	recent  []ArmCount // of the new version, by tick
	current ArmCount   // of this tick
}

func (n *naivePolicy) split(int) Split { return Split{Share: n.share} }

func (n *naivePolicy) ended(_ int, o Outcome) {
	if o.Version == "v2" {
		n.current.Trials++
		if o.Result != OK {
			n.current.Events++
		}
	}
}

func (n *naivePolicy) state() State {
	switch {
	case n.undone:
		return StateRolledBack
	case n.done:
		return StateDone
	default:
		return StateAdvancing
	}
}

// tick raises the share at each quarter of the window, and rolls the move back if
// more than 5% of at least 20 requests of the last 5 minutes failed.
func (n *naivePolicy) tick(w *simWorld, t time.Duration) {
	n.recent = append(n.recent, n.current)
	n.current = ArmCount{}
	if maxTicks := int(5 * time.Minute / simTick); len(n.recent) > maxTicks {
		n.recent = n.recent[1:]
	}
	var sum ArmCount
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
