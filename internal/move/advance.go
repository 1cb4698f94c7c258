package move

import (
	"fmt"
)

// begin starts a move where it can start.
func (c *Controller) begin(in Input) (Record, string, bool) {
	r := c.blank(in)
	if !in.Present || in.Move.SupersededBy != "" {
		return r, "", false
	}
	switch {
	case in.Move.To == in.Serving:
		r.State, r.Share, r.Proved = StateDone, FullShare, true
		return r, fmt.Sprintf("version %q served already", in.Move.To), true
	case !in.Now.Before(in.Move.FinishBy):
		return c.undo(r), "the time to finish had passed before the move could begin: " + c.obstacle(in), true
	case c.obstacle(in) != "":
		return r, "", false
	}
	r.State, r.Share = StateAdvancing, c.opts.FirstShare
	return r, fmt.Sprintf("begun with %s of the requests", r.Share), true
}

// obstacle says what keeps a move from its begin, empty where nothing does.
func (c *Controller) obstacle(in Input) string {
	switch {
	case in.Move.From != in.Serving:
		return fmt.Sprintf("version %q does not serve, %q does", in.Move.From, in.Serving)
	case in.Capacity < c.opts.FirstShare:
		return fmt.Sprintf("no endpoint of version %q is ready", in.Move.To)
	default:
		return ""
	}
}

// advance raises the share where the evidence, the pace and the capacity allow.
func (c *Controller) advance(in Input, r Record) (Record, string, bool) {
	if in.Move.From == r.From && in.Move.To == r.To {
		r.FinishBy = in.Move.FinishBy
	}
	if !in.Now.Before(r.FinishBy.Add(-lead(r))) {
		return c.finish(in, r)
	}
	if r.Share >= FullShare {
		return c.bake(in, r), "all requests go to the new version", true
	}
	if c.hold(in, r) != "" {
		return r, "", false
	}
	share, _, _ := nextStep(r)
	r.Proved = r.Proved || c.proved()
	r.Share, r.Stepped = share, in.Now
	c.seen = c.comparison.Compared()
	return r, fmt.Sprintf("%d requests compared without adverse evidence", c.seen), true
}

// hold says what keeps the share from its next step, empty where nothing does.
func (c *Controller) hold(in Input, r Record) string {
	share, due, late := nextStep(r)
	compared := c.comparison.Compared()
	switch {
	case c.doubt() != "":
		return c.doubt()
	case in.Serving != r.From:
		return fmt.Sprintf("version %q serves no more, %q does", r.From, in.Serving)
	case in.Now.Before(due):
		return fmt.Sprintf("next step to %s is due at %s", share, due.Format("15:04:05 MST"))
	case in.Now.Sub(r.Stepped) < dwell(r, c.opts.Dwell):
		return "each step stands for a while"
	case share > c.opts.SmallShare && !r.Proved && !c.proved():
		return fmt.Sprintf("%d of %d requests compared", compared, c.opts.ProofRequests)
	case in.Now.Before(late) && compared-min(compared, c.seen) < uint64(c.opts.StepRequests):
		return fmt.Sprintf("%d of %d requests compared since the last step", compared-min(compared, c.seen), c.opts.StepRequests)
	case share > in.Capacity:
		return fmt.Sprintf("ready endpoints of the new version can take %s of the requests", in.Capacity)
	default:
		return ""
	}
}

// doubt names the finding that keeps the share from growing, if there is one.
func (c *Controller) doubt() string {
	worst, ok := c.comparison.Worst()
	switch {
	case !ok || !c.comparison.Alarmed(c.in.Now):
		return ""
	case worst.Odds >= c.opts.DoubtOdds:
		return "doubtful: " + worst.String()
	default:
		return "doubtful a moment ago, by a burst of failures on the new version alone or by: " + worst.String()
	}
}

// proved tells whether enough requests were compared without doubt.
func (c *Controller) proved() bool {
	return c.comparison.Compared() >= uint64(c.opts.ProofRequests) && c.doubt() == ""
}

// finish ends a move at its time: the version serves all, or is undone.
func (c *Controller) finish(in Input, r Record) (Record, string, bool) {
	compared := c.comparison.Compared()
	switch {
	case r.Share >= FullShare:
		return c.bake(in, r), "all requests go to the new version", true
	case in.Serving != r.From:
		return c.undo(r), fmt.Sprintf("version %q serves no more, %q does", r.From, in.Serving), true
	case c.doubt() != "":
		return c.undo(r), "at the time to finish it was " + c.doubt(), true
	case !r.Proved && !c.proved():
		return c.undo(r), fmt.Sprintf("at the time to finish only %d of %d requests were compared", compared, c.opts.ProofRequests), true
	case in.Capacity < FullShare:
		return c.undo(r), fmt.Sprintf("at the time to finish the ready endpoints could take only %s of the requests", in.Capacity), true
	}
	r.Proved = true
	return c.bake(in, r), fmt.Sprintf("%d requests compared without adverse evidence at the time to finish", compared), true
}

func (c *Controller) bake(in Input, r Record) Record {
	r.State, r.Share, r.Stepped = StateBaking, FullShare, in.Now
	r.BakeUntil = in.Now.Add(in.Move.Bake)
	return r
}
