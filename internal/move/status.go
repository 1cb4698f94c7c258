package move

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// String returns the share as a percentage, such as "2.5%".
func (s Share) String() string { return fmt.Sprintf("%.3g%%", float64(s)/10) }

// Status describes the progress of a move to operators.
type Status struct {
	Move     ident.MoveName `json:"move"`
	Service  ident.Service  `json:"service"`
	From     ident.Version  `json:"from"`
	To       ident.Version  `json:"to"`
	State    State          `json:"state"`
	Share    Share          `json:"share"` // in thousandths, in force on this node
	FinishBy time.Time      `json:"finish_by"`
	Reason   string         `json:"reason"`
	Next     string         `json:"next"`
	// Recorded reports whether the state is in the store.
	Recorded bool `json:"recorded"`
	// DecidedBy is the node that made the last change of state.
	DecidedBy ident.NodeID `json:"decided_by,omitempty"`
	Evidence  []Finding    `json:"evidence,omitempty"`
}

// Status returns the status of the move as of the last call of Tick.
func (c *Controller) Status() Status {
	r, in := c.record, c.in
	s := Status{
		Move: c.name, Service: r.Service, From: r.From, To: r.To, State: r.State,
		Share: c.Split().Share, FinishBy: r.FinishBy, Reason: r.Reason, Recorded: true,
		DecidedBy: r.Writer, Evidence: r.Evidence,
	}
	if r.State == StateAdvancing || r.State == StateBaking {
		if findings := c.comparison.Findings(); len(findings) > 0 {
			s.Evidence = findings
		}
	}
	switch {
	case r.State == "":
		s.Service, s.From, s.To, s.FinishBy = in.Move.Service, in.Move.From, in.Move.To, in.Move.FinishBy
		s.State, s.Recorded = StateWaiting, false
		if in.Move.SupersededBy != "" {
			s.State, s.Reason = StateSuperseded, fmt.Sprintf("superseded by move %q before it started", in.Move.SupersededBy)
		}
	case c.mark != nil && r.State != StateRolledBack && r.State != StateSuperseded:
		s.State, s.Reason, s.Recorded = StateRolledBack, "version marked as bad: "+c.mark.Reason, false
		s.DecidedBy = c.mark.By
	}
	s.Next = c.next(s)
	return s
}

// next describes the next transition of the move, or why there is none.
func (c *Controller) next(s Status) string {
	in := c.in
	switch s.State {
	case StateWaiting:
		if why := c.startObstacle(in); why != "" {
			return fmt.Sprintf("waits to start: %s; is undone if it cannot start by %s", why, formatTime(s.FinishBy))
		}
		return "starts as soon as a node holds the lease"
	case StateAdvancing:
		if why := c.stepObstacle(in, c.record); why != "" {
			return fmt.Sprintf("share stays at %s: %s; ends at %s at the latest", s.Share, why, formatTime(s.FinishBy))
		}
		share, _, _ := nextStep(c.record)
		return fmt.Sprintf("share grows to %s at the next step of the lease holder", share)
	case StateBaking:
		if why := c.doubtReason(); why != "" {
			return fmt.Sprintf("share is lowered to %s: %s; the move is undone if this continues", s.Share, why)
		}
		return fmt.Sprintf("version %q is kept ready until %s; the move is undone if version %q is found to be bad", s.From, formatTime(c.record.BakeUntil), s.To)
	case StateRolledBack:
		if !s.Recorded {
			return fmt.Sprintf("version %q gets no requests; this is recorded once the store responds", s.To)
		}
		return fmt.Sprintf("nothing: version %q serves; to try again, add a move with another name", in.Serving)
	case StateDone:
		return fmt.Sprintf("nothing: version %q serves", s.To)
	default:
		return "nothing: the move is superseded"
	}
}

func formatTime(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") }
