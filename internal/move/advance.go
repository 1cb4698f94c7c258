package move

import (
	"fmt"
)

// start starts a move if nothing prevents it.
func (c *Controller) start(in Input) (Record, string, bool) {
	r := c.initialRecord(in)
	if !in.Present || in.Move.SupersededBy != "" {
		return r, "", false
	}
	switch {
	case in.Move.To == in.Serving:
		r.State, r.Share, r.Proved = StateDone, FullShare, true
		return r, fmt.Sprintf("version %q was serving already", in.Move.To), true
	case !in.Now.Before(in.Move.FinishBy):
		return c.rollBack(r), "the finish time passed before the move could start: " + c.startObstacle(in), true
	case c.startObstacle(in) != "":
		return r, "", false
	}
	r.State, r.Share = StateAdvancing, c.opts.InitialShare
	return r, fmt.Sprintf("started with %s of the requests", r.Share), true
}

// startObstacle describes what prevents a move from starting; it is empty if
// nothing does.
func (c *Controller) startObstacle(in Input) string {
	switch {
	case in.Move.From != in.Serving:
		return fmt.Sprintf("version %q does not serve, %q does", in.Move.From, in.Serving)
	case in.Capacity < c.opts.InitialShare:
		return fmt.Sprintf("no endpoint of version %q is ready", in.Move.To)
	default:
		return ""
	}
}

// advance raises the share if the evidence, the schedule and the capacity allow it.
func (c *Controller) advance(in Input, r Record) (Record, string, bool) {
	if in.Move.From == r.From && in.Move.To == r.To {
		r.FinishBy = in.Move.FinishBy
	}
	if !in.Now.Before(r.FinishBy.Add(-decisionLead(r))) {
		return c.finish(in, r)
	}
	if r.Share >= FullShare {
		return c.bake(in, r), "all requests go to the new version", true
	}
	if c.stepObstacle(in, r) != "" {
		return r, "", false
	}
	share, _, _ := nextStep(r)
	r.Proved = r.Proved || c.proved()
	r.Share, r.Stepped = share, in.Now
	c.comparedAtStep = c.comparison.Compared()
	return r, fmt.Sprintf("%d requests compared without adverse evidence", c.comparedAtStep), true
}

// stepObstacle describes what prevents the next step of the share; it is empty if
// nothing does.
func (c *Controller) stepObstacle(in Input, r Record) string {
	share, due, overdue := nextStep(r)
	compared := c.comparison.Compared()
	switch {
	case c.doubtReason() != "":
		return c.doubtReason()
	case in.Serving != r.From:
		return fmt.Sprintf("version %q no longer serves, %q does", r.From, in.Serving)
	case in.Now.Before(due):
		return fmt.Sprintf("next step to %s is due at %s", share, due.Format("15:04:05 MST"))
	case in.Now.Sub(r.Stepped) < minDwell(r, c.opts.Dwell):
		return "minimum time between two steps has not passed"
	case share > c.opts.MaxUnprovedShare && !r.Proved && !c.proved():
		return fmt.Sprintf("%d of %d requests compared", compared, c.opts.ProofRequests)
	case in.Now.Before(overdue) && compared-min(compared, c.comparedAtStep) < uint64(c.opts.StepRequests):
		return fmt.Sprintf("%d of %d requests compared since the last step", compared-min(compared, c.comparedAtStep), c.opts.StepRequests)
	case share > in.Capacity:
		return fmt.Sprintf("ready endpoints of the new version can serve %s of the requests", in.Capacity)
	default:
		return ""
	}
}

// doubtReason describes why the version is in doubt; it is empty if it is not.
func (c *Controller) doubtReason() string {
	worst, ok := c.comparison.Worst()
	switch {
	case !ok || !c.comparison.InDoubt(c.in.Now):
		return ""
	case worst.LogEValue >= c.opts.DoubtThreshold:
		return "in doubt: " + worst.String()
	default:
		return "in doubt within the last minute, due to a burst of failures on the new version alone or to: " + worst.String()
	}
}

// proved reports whether enough requests were compared and the version is not in
// doubt.
func (c *Controller) proved() bool {
	return c.comparison.Compared() >= uint64(c.opts.ProofRequests) && c.doubtReason() == ""
}

// finish decides the outcome of a move near its finish time: the new version gets
// all requests, or the move is rolled back.
func (c *Controller) finish(in Input, r Record) (Record, string, bool) {
	compared := c.comparison.Compared()
	switch {
	case r.Share >= FullShare:
		return c.bake(in, r), "all requests go to the new version", true
	case in.Serving != r.From:
		return c.rollBack(r), fmt.Sprintf("version %q no longer serves, %q does", r.From, in.Serving), true
	case c.doubtReason() != "":
		return c.rollBack(r), "at the finish time the version was " + c.doubtReason(), true
	case !r.Proved && !c.proved():
		return c.rollBack(r), fmt.Sprintf("at the finish time only %d of %d requests were compared", compared, c.opts.ProofRequests), true
	case in.Capacity < FullShare:
		return c.rollBack(r), fmt.Sprintf("at the finish time the ready endpoints could serve only %s of the requests", in.Capacity), true
	}
	r.Proved = true
	return c.bake(in, r), fmt.Sprintf("%d requests compared without adverse evidence at the finish time", compared), true
}

func (c *Controller) bake(in Input, r Record) Record {
	r.State, r.Share, r.Stepped = StateBaking, FullShare, in.Now
	r.BakeUntil = in.Now.Add(in.Move.Bake)
	return r
}
