package walltime

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

const (
	// tolerance is the difference of two clocks that are taken to agree: messages
	// between nodes take some milliseconds, and hosts' clocks differ by as much.
	tolerance = 250 * time.Millisecond
	// trustAfter is how long a stepped clock must stay before it is followed without
	// the word of other nodes: clocks that jump back do so within some seconds.
	trustAfter = time.Minute
	// hearsayAge is how long the word of another node counts: each node hears some
	// others every second.
	hearsayAge = 5 * time.Second
	// quorum is the least number of clocks, the own one included, of which most can be
	// believed against the own one.
	quorum = 3
)

// Reading is what a host's clocks say at one moment.
type Reading struct {
	// Wall is the time of day.
	Wall time.Time
	// Boot is the time since boot, the time in which the host was suspended included.
	Boot time.Duration
}

// base returns the time of day at boot.
func (r Reading) base() time.Time { return r.Wall.Add(-r.Boot) }

// Clock tells the time of day. It is not safe for use by several goroutines.
type Clock struct {
	base    time.Time // of the time told
	stepped time.Duration
	heard   map[ident.NodeID]word
}

// word is what another node takes for the time of day at boot of this host.
type word struct {
	base time.Time
	at   time.Duration
}

// New returns a clock that begins with the host's time of day.
func New(r Reading) *Clock {
	return &Clock{base: r.base(), heard: make(map[ident.NodeID]word)}
}

// Time returns the time of day.
func (c *Clock) Time(r Reading) time.Time { return c.base.Add(r.Boot) }

// Observe takes what another node told as the time just now. Of what it told lately the
// furthest counts: a message that was delayed tells of an earlier time.
func (c *Clock) Observe(r Reading, node ident.NodeID, told time.Time) {
	base := told.Add(-r.Boot)
	if old, ok := c.heard[node]; ok && r.Boot-old.at <= hearsayAge && old.base.After(base) {
		return
	}
	c.heard[node] = word{base: base, at: r.Boot}
}

// Correct follows the host's clock, or what most nodes agree on. It returns by how
// much the time told was changed where that was more than the tolerance.
func (c *Clock) Correct(r Reading) time.Duration {
	before := c.base
	c.follow(r)
	if agreed, ok := c.agreed(r); ok && apart(agreed, c.base) {
		c.base, c.stepped = agreed, r.Boot
	}
	if !apart(c.base, before) {
		return 0
	}
	return c.base.Sub(before)
}

// follow takes the host's time of day where it is close, or has stayed away for long.
func (c *Clock) follow(r Reading) {
	if !apart(r.base(), c.base) {
		c.base, c.stepped = r.base(), 0
		return
	}
	if c.stepped == 0 {
		c.stepped = r.Boot
	}
	if r.Boot-c.stepped >= trustAfter {
		c.base, c.stepped = r.base(), 0
	}
}

// agreed returns the time of day at boot that more than half of the clocks share.
func (c *Clock) agreed(r Reading) (time.Time, bool) {
	bases := []time.Time{c.base}
	for node, w := range c.heard {
		if r.Boot-w.at > hearsayAge {
			delete(c.heard, node)
			continue
		}
		bases = append(bases, w.base)
	}
	if len(bases) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(bases, func(a, b time.Time) int { return a.Compare(b) })
	median := bases[len(bases)/2]
	near := 0
	for _, b := range bases {
		if !apart(b, median) {
			near++
		}
	}
	return median, 2*near > len(bases)
}

func apart(a, b time.Time) bool { return a.Sub(b).Abs() > tolerance }
