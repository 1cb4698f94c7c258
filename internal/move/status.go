package move

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// String returns the share as a percentage.
func (s Share) String() string { return fmt.Sprintf("%.3g%%", float64(s)/10) }

// Status tells the operator where a move stands.
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
	// Recorded is false where the state is known to nodes but not in the store yet.
	Recorded bool `json:"recorded"`
	// DecidedBy is the node that wrote the last change.
	DecidedBy ident.NodeID `json:"decided_by,omitempty"`
	Evidence  []Finding    `json:"evidence,omitempty"`
}

// Status returns where the move stands.
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
			s.State, s.Reason = StateSuperseded, fmt.Sprintf("superseded by move %q before it began", in.Move.SupersededBy)
		}
	case c.mark != nil && r.State != StateUndone && r.State != StateSuperseded:
		s.State, s.Reason, s.Recorded = StateUndone, "braked: "+c.mark.Reason, false
		s.DecidedBy = c.mark.By
	}
	s.Next = c.next(s)
	return s
}

// next says what happens next.
func (c *Controller) next(s Status) string {
	in := c.in
	switch s.State {
	case StateWaiting:
		if why := c.obstacle(in); why != "" {
			return fmt.Sprintf("begins once it can: %s; is undone if it cannot by %s", why, clock(s.FinishBy))
		}
		return "begins as soon as a node holds its lease"
	case StateAdvancing:
		if why := c.hold(in, c.record); why != "" {
			return fmt.Sprintf("share stays at %s: %s; ends at %s at the latest", s.Share, why, clock(s.FinishBy))
		}
		share, _, _ := nextStep(c.record)
		return fmt.Sprintf("share grows to %s at the next step of the lease's holder", share)
	case StateBaking:
		if why := c.doubt(); why != "" {
			return fmt.Sprintf("share is lowered to %s: %s; the move is undone if that goes on", s.Share, why)
		}
		return fmt.Sprintf("version %q is kept ready until %s; the move is undone if version %q turns out bad", s.From, clock(c.record.BakeUntil), s.To)
	case StateUndone:
		if !s.Recorded {
			return fmt.Sprintf("version %q gets no requests; this is recorded once the store answers", s.To)
		}
		return fmt.Sprintf("nothing: version %q serves; to try again, add a move of another name", in.Serving)
	case StateDone:
		return fmt.Sprintf("nothing: version %q serves", s.To)
	default:
		return "nothing: the later move decides"
	}
}

func clock(t time.Time) string { return t.Format("2006-01-02 15:04:05 MST") }
