// Package drain decides which requests a stopping node still sends to endpoints.
//
// A stopping node accepts requests until the load balancer has removed it, and exits at a known
// time. A request that may not end by then would be cut off without a
// response, so it is refused before anything is sent and its caller goes to another node.
package drain

import "time"

const (
	// balancerDelay is how long a stopping node continues to accept connections: the load
	// balancer checks readiness once a second and removes the node after two failures.
	balancerDelay = 2500 * time.Millisecond
	// exitMargin is the part of the grace time before SIGKILL that is reserved for ending the
	// remaining requests and exiting.
	exitMargin = 600 * time.Millisecond
	// unknownGrace is assumed where the platform states no grace time.
	unknownGrace = 1600 * time.Millisecond
	// Shares of the time until End in which requests that have no bound before it are still
	// sent: most end long before their deadline. A request that can't be repeated has to have
	// more time left.
	repeatableShare   = 1.0 / 3
	unrepeatableShare = 1.0 / 4
)

// Plan is the time that a stopping node has. The zero value is that of a node that isn't
// stopping.
type Plan struct {
	// Begin is when the stop began.
	Begin time.Time
	// Close is when the node stops to accept connections.
	Close time.Time
	// End is when the requests that still run are ended.
	End time.Time
	// Exit is when the node has closed all connections.
	Exit time.Time
}

// New returns the plan of a stop that begins at begin. The node is killed after grace; zero if that
// time is unknown.
func New(begin time.Time, grace time.Duration) Plan {
	if grace <= 0 {
		grace = unknownGrace
	}
	margin := min(exitMargin, grace/2)
	return Plan{
		Begin: begin, Close: begin.Add(min(balancerDelay, grace/2)),
		End: begin.Add(grace - margin), Exit: begin.Add(grace - margin/2),
	}
}

// MaySend reports whether a request may be sent to an endpoint now. It ends at its deadline at
// the latest. Repeatable reports whether its caller may repeat it after it was cut off.
func (p Plan) MaySend(now, deadline time.Time, repeatable bool) bool {
	if p.Begin.IsZero() || !deadline.After(p.End) {
		return true
	}
	share := unrepeatableShare
	if repeatable {
		share = repeatableShare
	}
	return now.Sub(p.Begin) < time.Duration(share*float64(p.End.Sub(p.Begin)))
}
