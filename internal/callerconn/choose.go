package callerconn

import (
	"slices"
	"time"
)

// state is the state of a connection.
type state struct {
	// active reports whether a request has begun to arrive and is not answered, and serving whether its
	// head is complete.
	active, serving bool
	// used reports whether a response was sent.
	used  bool
	since time.Time
}

// Limits bound the connections of clients at one address. Zero means no limit.
type Limits struct {
	// Idle is how long a connection may be open without a request.
	Idle time.Duration
	// Connections is the number of connections from which the ones that are idle for longest are
	// closed to make room.
	Connections int
	// Total is the number of connections at which one has to make room for each further one. If none
	// can, the further one is closed.
	Total int
}

// choose returns the connections to close: those that have been idle for too long, and as many of
// the ones that are idle for longest as there are too many. A connection on which no request has
// come yet is closed for its time only.
func choose[C comparable](states map[C]state, limits Limits, now time.Time) []C {
	var out, waiting []C
	for c, s := range states {
		switch {
		case s.active:
		case limits.Idle > 0 && now.Sub(s.since) > limits.Idle:
			out = append(out, c)
		case s.used:
			waiting = append(waiting, c)
		}
	}
	if limits.Connections <= 0 {
		return out
	}
	excess := min(max(len(states)-len(out)-limits.Connections, 0), len(waiting))
	if excess > 0 {
		slices.SortFunc(waiting, func(a, b C) int { return states[a].since.Compare(states[b].since) })
	}
	return append(out, waiting[:excess]...)
}
