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

// Action is what a controller asks its driver to do.
type Action interface{ action() }

// ReadAction asks for the record, to be answered with Read.
type ReadAction struct{}

// PutAction asks for a conditional update, to be answered with Wrote.
type PutAction struct {
	Value  []byte
	Expect platformapi.Version
}

// MarkAction tells that this node marked the version as bad; the driver spreads
// the mark to the other nodes.
type MarkAction struct{ Mark Mark }

func (ReadAction) action() {}
func (PutAction) action()  {}
func (MarkAction) action() {}

// Input is what a node knows at one time.
type Input struct {
	Now time.Time
	// Move as in the configuration in force; Present tells whether it is there.
	Move    config.Move
	Present bool
	// Revision of the configuration in force.
	Revision ident.Revision
	// Serving is the version that serves where no move is under way; see Serving.
	Serving ident.Version
	// Capacity is the share of all requests that the ready endpoints of the new
	// version can take.
	Capacity Share
	// Routes is the number of routes to the service.
	Routes int
	// Epoch is this node's fencing number for the move, if Held.
	Epoch ident.Epoch
	Held  bool
	// Poll makes this node read the record regularly.
	Poll bool
	// Old and New are the totals of both versions.
	Old, New Totals
}

// Controller is one node's view of one move. It is not safe for concurrent use.
type Controller struct {
	opts Options
	name ident.MoveName
	in   Input

	record   Record              // the newest known, from the store or a peer
	base     Record              // as read from the store
	version  platformapi.Version // of base
	fresh    bool                // base is what the store held at the last call
	nextRead time.Time
	pending  *Record
	busy     bool

	mark       *Mark
	comparison *Comparison
	observing  time.Time // from when on the evidence is compared; zero: not yet
	seen       uint64    // requests compared at the last step
	rate       rateMeter
}

// NewController returns the controller of a move.
func NewController(name ident.MoveName, opts Options) *Controller {
	return &Controller{opts: opts.WithDefaults(), name: name, comparison: NewComparison()}
}

// Record returns the newest record known; its state is empty where there is none.
func (c *Controller) Record() Record { return c.record }

// Mark returns this node's mark of the new version, if there is one.
func (c *Controller) Mark() (Mark, bool) {
	if c.mark == nil {
		return Mark{}, false
	}
	return *c.mark, true
}

// Tick takes what the node knows now, and returns what to do.
func (c *Controller) Tick(in Input) []Action {
	c.in = in
	var out []Action
	if mark, bad := c.evaluate(in); bad {
		c.mark = &mark
		out = append(out, MarkAction{mark})
	}
	if c.busy {
		return out
	}
	next, reason, change := c.decide(in)
	switch {
	case change && c.fresh:
		out = append(out, c.put(next, reason))
	case change || in.Poll && !in.Now.Before(c.nextRead) && !c.settled():
		c.busy = true
		out = append(out, ReadAction{})
	}
	return out
}

// settled tells whether the record never changes again.
func (c *Controller) settled() bool {
	return c.record.State == StateUndone || c.record.State == StateSuperseded
}

// evaluate tests the evidence. A node marks a version once.
func (c *Controller) evaluate(in Input) (Mark, bool) {
	if s := c.record.State; s != StateAdvancing && s != StateBaking {
		return Mark{}, false
	}
	if c.warming(in) {
		c.comparison.Baseline(in.Old, in.New)
		return Mark{}, false
	}
	c.comparison.Observe(in.Now, in.Routes, in.Old, in.New)
	c.rate.observe(in.Now, in.Old, in.New)
	worst, ok := c.comparison.Worst()
	if !ok || c.mark != nil {
		return Mark{}, false
	}
	if worst.Odds >= c.opts.DoubtOdds {
		c.comparison.alarm.raise(in.Now)
	}
	reason := worst.String()
	switch {
	case c.comparison.alarm.sure():
		reason = fmt.Sprintf("in doubt %d times, each time its share was raised again; last seen: %s", c.comparison.alarm.raises, reason)
	case worst.Odds < brakeOdds(c.opts.Alpha, c.opts.Evaluators):
		return Mark{}, false
	}
	return Mark{
		Move: c.name, Service: c.record.Service, Version: c.record.To,
		Reason: reason, At: in.Now, By: c.opts.Self,
	}, true
}

// How late after the begin of a move a node takes part from its begin, and how
// long a node that came later lets others' counters arrive before it compares.
const (
	fromBegin = 10 * time.Second
	warmUp    = 5 * time.Second
)

// warming tells whether the totals are still a baseline.
func (c *Controller) warming(in Input) bool {
	if c.observing.IsZero() {
		c.observing = in.Now
		if in.Now.Sub(c.record.Begun) > fromBegin {
			c.observing = in.Now.Add(warmUp)
		}
		return true
	}
	return in.Now.Before(c.observing)
}

// Marked takes the mark of another node.
func (c *Controller) Marked(m Mark) {
	if m.Move == c.name && c.mark == nil {
		c.mark = &m
	}
}

// ApplyRecord takes a record that a peer knows.
func (c *Controller) ApplyRecord(r Record) {
	if c.take(r) {
		c.fresh = false
	}
}

// take puts a record in force where it is newer. It reports whether it was.
func (c *Controller) take(r Record) bool {
	if r.Move != c.name || r.Sequence <= c.record.Sequence {
		return false
	}
	invariant.Check(c.record.State != StateUndone || r.State == StateUndone, invariant.UndoneStaysUndone,
		"move %q went from %s to %s", c.name, c.record.State, r.State)
	invariant.Check(r.Share <= c.opts.SmallShare || r.Proved, invariant.UnprovedShareBounded,
		"move %q has a share of %d without proof", c.name, r.Share)
	c.record = r
	return true
}

// Read takes the answer to a ReadAction. An absent object is ErrNotFound.
func (c *Controller) Read(object platformapi.Object, err error) {
	c.busy = false
	c.nextRead = c.in.Now.Add(c.opts.ReadInterval)
	var r Record
	switch {
	case err == nil && object.Version == c.version:
		r = c.base
	case errors.Is(err, platformapi.ErrNotFound):
		object.Version = 0
	case err != nil:
		c.fresh = false
		return
	default:
		if r, err = DecodeRecord(object.Value); err != nil {
			c.fresh = false
			return
		}
	}
	c.pending = nil
	c.base, c.version, c.fresh = r, object.Version, true
	c.take(r)
	// A record from a peer that is newer than the store's means that the read was
	// overtaken, or that the object was lost; nothing is written on top of it.
	c.fresh = c.base.Sequence >= c.record.Sequence
}

// Wrote takes the answer to a PutAction.
func (c *Controller) Wrote(version platformapi.Version, err error) {
	c.busy = false
	if err != nil {
		c.fresh = false // the next read tells whether the write took effect
		return
	}
	c.base, c.version = *c.pending, version
	c.take(*c.pending)
	c.pending = nil
}

// put writes the next record on top of the one read.
func (c *Controller) put(next Record, reason string) Action {
	next.Move = c.name
	next.Reason = reason
	next.Sequence = c.base.Sequence + 1
	next.Writer = c.opts.Self
	next.Evidence = c.comparison.Findings()
	if c.in.Held {
		next.Epoch = max(next.Epoch, c.in.Epoch)
	}
	invariant.Check(next.Share <= c.opts.SmallShare || next.Proved, invariant.UnprovedShareBounded,
		"move %q would have a share of %d without proof", c.name, next.Share)
	c.pending = &next
	c.busy = true
	return PutAction{Value: next.Encode(), Expect: c.version}
}

// decide returns the record that should follow, and why. It decides on the
// newest record known; Tick writes only where that is the store's.
func (c *Controller) decide(in Input) (next Record, reason string, change bool) {
	r := c.record
	switch {
	case r.State == StateUndone || r.State == StateSuperseded:
		return r, "", false
	case c.mark != nil:
		return c.undo(r), "braked: " + c.mark.Reason, true
	case r.State == StateDone:
		return r, "", false
	case c.replaced(in, r) && in.Held:
		return c.supersede(in, r)
	case !in.Held || in.Epoch < r.Epoch:
		return r, "", false
	case r.State == "":
		return c.begin(in)
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

// replaced tells whether a later configuration than that of the move's begin took
// the move out, or has a later move of the service.
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
		return r, "", false // this node's configuration is older than the move
	}
	if r.State == StateBaking {
		r.State = StateDone
		return r, "bake time ended early: " + why, true
	}
	r.State, r.Share = StateSuperseded, 0
	return r, why, true
}

func (c *Controller) undo(r Record) Record {
	if r.State == "" {
		r = c.blank(c.in)
	}
	r.State, r.Share = StateUndone, 0
	return r
}

// blank returns the first record of a move.
func (c *Controller) blank(in Input) Record {
	return Record{
		Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
		Begun: in.Now, Stepped: in.Now, FinishBy: in.Move.FinishBy, Revision: in.Revision,
	}
}
