package walltime

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

const (
	// tolerance is the maximum difference of two clocks that agree. Messages between nodes
	// take some milliseconds, and the clocks of hosts differ by as much.
	tolerance = 250 * time.Millisecond
	// stepAcceptDelay is how long a step of the host's clock must last before it is
	// followed without agreement of other nodes: clocks that step back do so within some
	// seconds.
	stepAcceptDelay = time.Minute
	// maxObservationAge is how long the time received from another node counts: each node
	// receives the time of some others every second.
	maxObservationAge = 5 * time.Second
	// quorum is the minimum number of clocks, including this node's, of which a majority
	// may overrule this node's.
	quorum = 3
)

// Reading is a reading of a host's clocks at one moment.
type Reading struct {
	// Wall is the time of day.
	Wall time.Time
	// SinceBoot is the time since boot, including the time that the host was suspended.
	SinceBoot time.Duration
}

// bootTime returns the time of day at boot.
func (r Reading) bootTime() time.Time { return r.Wall.Add(-r.SinceBoot) }

// Clock provides the time of day. It is not safe for concurrent use.
type Clock struct {
	bootTime     time.Time     // time of day at boot by this clock
	stepNoticed  time.Duration // time since boot when a step was noticed; zero if none is pending
	observations map[ident.NodeID]observation
}

// observation is the time of day at boot of this host by another node's clock, and the
// time since boot when it was received.
type observation struct {
	bootTime   time.Time
	observedAt time.Duration
}

// New returns a clock that starts with the host's time of day.
func New(r Reading) *Clock {
	return &Clock{bootTime: r.bootTime(), observations: make(map[ident.NodeID]observation)}
}

// Time returns the time of day.
func (c *Clock) Time(r Reading) time.Time { return c.bootTime.Add(r.SinceBoot) }

// Observe records the time of day that another node has just sent. Of the times that a
// node sent within maxObservationAge, the one furthest ahead counts, as a delay of the
// message makes it appear earlier.
func (c *Clock) Observe(r Reading, node ident.NodeID, wall time.Time) {
	bootTime := wall.Add(-r.SinceBoot)
	if old, ok := c.observations[node]; ok && r.SinceBoot-old.observedAt <= maxObservationAge && old.bootTime.After(bootTime) {
		return
	}
	c.observations[node] = observation{bootTime: bootTime, observedAt: r.SinceBoot}
}

// Correct sets the clock to the host's clock or to the time on which the majority of nodes
// agree. It returns the correction if that exceeds the tolerance, and zero otherwise.
func (c *Clock) Correct(r Reading) time.Duration {
	before := c.bootTime
	c.followHostClock(r)
	if majority, ok := c.majorityBootTime(r); ok && differ(majority, c.bootTime) {
		c.bootTime, c.stepNoticed = majority, r.SinceBoot
	}
	if !differ(c.bootTime, before) {
		return 0
	}
	return c.bootTime.Sub(before)
}

// followHostClock sets the clock to the host's time of day if it is within the tolerance,
// or has been outside it for stepAcceptDelay.
func (c *Clock) followHostClock(r Reading) {
	if !differ(r.bootTime(), c.bootTime) {
		c.bootTime, c.stepNoticed = r.bootTime(), 0
		return
	}
	if c.stepNoticed == 0 {
		c.stepNoticed = r.SinceBoot
	}
	if r.SinceBoot-c.stepNoticed >= stepAcceptDelay {
		c.bootTime, c.stepNoticed = r.bootTime(), 0
	}
}

// majorityBootTime returns the time of day at boot on which more than half of the clocks
// agree, and whether there is one.
func (c *Clock) majorityBootTime(r Reading) (time.Time, bool) {
	bootTimes := []time.Time{c.bootTime}
	for node, o := range c.observations {
		if r.SinceBoot-o.observedAt > maxObservationAge {
			delete(c.observations, node)
			continue
		}
		bootTimes = append(bootTimes, o.bootTime)
	}
	if len(bootTimes) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(bootTimes, func(a, b time.Time) int { return a.Compare(b) })
	median := bootTimes[len(bootTimes)/2]
	agreeing := 0
	for _, b := range bootTimes {
		if !differ(b, median) {
			agreeing++
		}
	}
	return median, 2*agreeing > len(bootTimes)
}

func differ(a, b time.Time) bool { return a.Sub(b).Abs() > tolerance }
