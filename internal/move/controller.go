package move

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/config"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Action is an operation that a controller requests from its driver.
type Action interface{ action() }

// ReadAction requests a read of the record from the store. Its result is passed to
// HandleRead.
type ReadAction struct{}

// PutAction requests a conditional update of the record. Its result is passed to
// HandlePut.
type PutAction struct {
	Value  []byte
	Expect platformapi.Version
}

// MarkAction reports that this node marked the version as bad. The driver sends the
// mark to the other nodes.
type MarkAction struct{ Mark Mark }

func (ReadAction) action() {}
func (PutAction) action()  {}
func (MarkAction) action() {}

// Input is the state of a node that a controller decides on.
type Input struct {
	Now time.Time
	// Move is the move in the configuration in force; Present reports whether the
	// configuration contains it.
	Move    config.Move
	Present bool
	// Revision is the revision of the configuration in force.
	Revision ident.Revision
	// Serving is the version that serves while no move is in progress; see the
	// function Serving.
	Serving ident.Version
	// Capacity is the share of all requests that the ready endpoints of the new
	// version can serve.
	Capacity Share
	// Routes is the number of routes to the service.
	Routes int
	// Epoch is the fencing epoch of this node's lease of the service; it is valid
	// only if LeaseHeld is set.
	Epoch     ident.Epoch
	LeaseHeld bool
	// Poll makes this node read the record from the store at Options.ReadInterval.
	Poll bool
	// Old and New are the totals of both versions over all nodes.
	Old, New Totals
}

// Controller decides on one move on one node. It is not safe for concurrent use.
type Controller struct {
	opts Options
	name ident.MoveName
	in   Input

	record      Record              // newest known, from the store or a peer
	base        Record              // as read from the store
	baseVersion platformapi.Version // store version of base
	baseCurrent bool                // base was the stored record at the last store call
	nextRead    time.Time
	pendingPut  *Record
	callPending bool

	mark           *Mark
	comparison     *Comparison
	compareFrom    time.Time // start of the comparison; zero if not set yet
	comparedAtStep uint64    // requests compared at the last step
	rate           rateMeter
}

// NewController returns the controller of the named move.
func NewController(name ident.MoveName, opts Options) *Controller {
	return &Controller{opts: opts.WithDefaults(), name: name, comparison: NewComparison()}
}

// Record returns the newest record known; its state is empty if there is none.
func (c *Controller) Record() Record { return c.record }

// Mark returns the mark of the new version that this node knows, if any.
func (c *Controller) Mark() (Mark, bool) {
	if c.mark == nil {
		return Mark{}, false
	}
	return *c.mark, true
}

// Tick evaluates the input and returns the actions to perform.
func (c *Controller) Tick(in Input) []Action {
	c.in = in
	var out []Action
	if mark, bad := c.evaluate(in); bad {
		c.mark = &mark
		out = append(out, MarkAction{mark})
	}
	if c.callPending {
		return out
	}
	next, reason, change := c.decide(in)
	switch {
	case change && c.baseCurrent:
		out = append(out, c.put(next, reason))
	case change || in.Poll && !in.Now.Before(c.nextRead) && !c.settled():
		c.callPending = true
		out = append(out, ReadAction{})
	}
	return out
}

// settled reports whether the record never changes again.
func (c *Controller) settled() bool {
	return c.record.State == StateRolledBack || c.record.State == StateSuperseded
}

// evaluate tests the evidence and returns the mark if the version is bad. A node
// marks a version only once.
func (c *Controller) evaluate(in Input) (Mark, bool) {
	if s := c.record.State; s != StateAdvancing && s != StateBaking {
		return Mark{}, false
	}
	if c.collectingBaseline(in) {
		c.comparison.SetBaseline(in.Old, in.New)
		return Mark{}, false
	}
	c.comparison.Observe(in.Now, in.Routes, in.Old, in.New)
	c.rate.observe(in.Now, in.Old, in.New)
	worst, ok := c.comparison.Worst()
	if !ok || c.mark != nil {
		return Mark{}, false
	}
	if worst.LogEValue >= c.opts.DoubtThreshold {
		c.comparison.alarm.raise(in.Now)
	}
	reason := worst.String()
	switch {
	case c.comparison.alarm.repeated():
		reason = fmt.Sprintf("in doubt %d times, again each time its share was restored; latest finding: %s", c.comparison.alarm.raises, reason)
	case worst.LogEValue < markThreshold(c.opts.Alpha, c.opts.Evaluators):
		return Mark{}, false
	}
	return Mark{
		Move: c.name, Service: c.record.Service, Version: c.record.To,
		Reason: reason, At: in.Now, By: c.opts.Self,
	}, true
}

// A node that first sees a move within startTolerance of its start compares all of
// its requests. A node that sees it later first receives the counters of other nodes
// for baselineWait; the requests in them are not evidence.
const (
	startTolerance = 10 * time.Second
	baselineWait   = 5 * time.Second
)

// collectingBaseline reports whether the totals still belong to the baseline of the
// comparison.
func (c *Controller) collectingBaseline(in Input) bool {
	if c.compareFrom.IsZero() {
		c.compareFrom = in.Now
		if in.Now.Sub(c.record.Begun) > startTolerance {
			c.compareFrom = in.Now.Add(baselineWait)
		}
		return true
	}
	return in.Now.Before(c.compareFrom)
}

// ApplyMark applies the mark of another node.
func (c *Controller) ApplyMark(m Mark) {
	if m.Move == c.name && c.mark == nil {
		c.mark = &m
	}
}

// ApplyRecord applies a record received from a peer if it is newer than the one
// known.
func (c *Controller) ApplyRecord(r Record) {
	if c.applyNewer(r) {
		c.baseCurrent = false
	}
}

// applyNewer applies a record if it is newer than the one known, and reports
// whether it was.
func (c *Controller) applyNewer(r Record) bool {
	if r.Move != c.name || r.Sequence <= c.record.Sequence {
		return false
	}
	invariant.Check(c.record.State != StateRolledBack || r.State == StateRolledBack, invariant.UndoneStaysUndone,
		"move %q went from %s to %s", c.name, c.record.State, r.State)
	invariant.Check(r.Share <= c.opts.MaxUnprovedShare || r.Proved, invariant.UnprovedShareBounded,
		"unproved move %q has a share of %d", c.name, r.Share)
	c.record = r
	return true
}

// HandleRead handles the result of a ReadAction. The error is
// platformapi.ErrNotFound if the store has no record.
func (c *Controller) HandleRead(object platformapi.Object, err error) {
	c.callPending = false
	c.nextRead = c.in.Now.Add(c.opts.ReadInterval)
	var r Record
	switch {
	case err == nil && object.Version == c.baseVersion:
		r = c.base
	case errors.Is(err, platformapi.ErrNotFound):
		object.Version = 0
	case err != nil:
		c.baseCurrent = false
		return
	default:
		if r, err = DecodeRecord(object.Value); err != nil {
			c.baseCurrent = false
			return
		}
	}
	c.pendingPut = nil
	c.base, c.baseVersion, c.baseCurrent = r, object.Version, true
	c.applyNewer(r)
	// If the record of a peer is newer than the one read, the read was overtaken by a
	// write or the store lost the object. Nothing must be written based on the read.
	c.baseCurrent = c.base.Sequence >= c.record.Sequence
}

// HandlePut handles the result of a PutAction.
func (c *Controller) HandlePut(version platformapi.Version, err error) {
	c.callPending = false
	if err != nil {
		c.baseCurrent = false // the next read shows whether the write took effect
		return
	}
	c.base, c.baseVersion = *c.pendingPut, version
	c.applyNewer(*c.pendingPut)
	c.pendingPut = nil
}

// put returns the action that replaces the record last read by the next one.
func (c *Controller) put(next Record, reason string) Action {
	next.Move = c.name
	next.Reason = reason
	next.Sequence = c.base.Sequence + 1
	next.Writer = c.opts.Self
	next.Evidence = c.comparison.Findings()
	if c.in.LeaseHeld {
		next.Epoch = max(next.Epoch, c.in.Epoch)
	}
	invariant.Check(next.Share <= c.opts.MaxUnprovedShare || next.Proved, invariant.UnprovedShareBounded,
		"unproved move %q would have a share of %d", c.name, next.Share)
	c.pendingPut = &next
	c.callPending = true
	return PutAction{Value: next.Encode(), Expect: c.baseVersion}
}

// decide returns the next record, the reason for it, and whether it differs from
// the newest record known. Tick writes it only if that record is the stored one.
func (c *Controller) decide(in Input) (next Record, reason string, change bool) {
	r := c.record
	switch {
	case r.State == StateRolledBack || r.State == StateSuperseded:
		return r, "", false
	case c.mark != nil:
		return c.rollBack(r), "version marked as bad: " + c.mark.Reason, true
	case r.State == StateDone:
		return r, "", false
	case c.replaced(in, r) && in.LeaseHeld:
		return c.supersede(in, r)
	case !in.LeaseHeld || in.Epoch < r.Epoch:
		return r, "", false
	case r.State == "":
		return c.start(in)
	case r.State == StateBaking:
		if in.Now.Before(r.BakeUntil) {
			return r, "", false
		}
		r.State = StateDone
		return r, "no adverse evidence up to the end of the bake time", true
	default:
		return c.advance(in, r)
	}
}

// replaced reports whether the configuration no longer contains a move that was
// recorded, or contains a later move of the service.
func (c *Controller) replaced(in Input, r Record) bool {
	return r.State != "" && (!in.Present || in.Move.SupersededBy != "")
}

func (c *Controller) supersede(in Input, r Record) (Record, string, bool) {
	if r.Begun.IsZero() {
		return r, "", false
	}
	why := "its file was removed"
	if in.Present {
		why = fmt.Sprintf("superseded by move %q", in.Move.SupersededBy)
	}
	if in.Revision <= r.Revision {
		return r, "", false // this node's configuration is not newer than the move's
	}
	if r.State == StateBaking {
		r.State = StateDone
		return r, "bake time ended early: " + why, true
	}
	r.State, r.Share = StateSuperseded, 0
	return r, why, true
}

func (c *Controller) rollBack(r Record) Record {
	if r.State == "" {
		r = c.initialRecord(c.in)
	}
	r.State, r.Share = StateRolledBack, 0
	return r
}

// initialRecord returns the first record of a move, without a state.
func (c *Controller) initialRecord(in Input) Record {
	return Record{
		Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
		Begun: in.Now, Stepped: in.Now, FinishBy: in.Move.FinishBy, Revision: in.Revision,
	}
}
