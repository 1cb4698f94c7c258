package peer

import (
	"cmp"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Defaults of Options.
const (
	DefaultInterval            = time.Second
	DefaultSuspectAfter        = 5 * time.Second
	DefaultDropAfter           = 10 * time.Minute
	DefaultTombstoneRetention  = time.Hour
	DefaultLeavingRetention    = time.Hour
	DefaultBadVersionRetention = 7 * 24 * time.Hour
	DefaultFanout              = 3
	DefaultMessageBytes        = 32 << 10
)

const (
	digestPeers       = 2       // peers of the data centre that get a digest each interval
	delegatesPerDC    = 2       // nodes that speak for a data centre
	rumourRounds      = 3       // intervals in which a new mark is sent again
	rumourBytes       = 1 << 10 // of marks that go with a digest unasked
	youngIntervals    = 15      // after which a mark is no longer the likely cause of a difference
	reconnectOdds     = 8       // one interval in so many tries an address not in the membership
	witnessesNeeded   = 2       // nodes that must find a member silent before it is gone
	clampIntervals    = 2       // largest step of time, in intervals
	saltsKept         = 32      // digests whose answers are still taken
	joinIntervals     = 5       // after its start in which a node speaks for no data centre
	lastLeg           = 2       // of a digest exchange
	fleetBeatPerDC    = 250 * time.Millisecond
	fleetSilenceBeats = 3
	markAgeSlack      = 5 * time.Second
	markQuiet         = time.Minute // end of a mark's life in which it isn't reconciled
	deletedFor        = 5 * time.Minute
)

// maxIncarnation is above any that a clock gives; a higher one is garbled.
const maxIncarnation = 1 << 62

// Options configures a Node.
type Options struct {
	ID         ident.NodeID
	DataCentre ident.DataCentre
	// Address is the "ip:port" of the peers' listener.
	Address string
	// Incarnation of this life; it should grow with each start. A node that meets
	// a higher one of itself takes the next.
	Incarnation ident.Incarnation
	// Seeds are addresses to join by. Default: none.
	Seeds []string
	// Interval between calls of Tick. Default: 1s.
	Interval time.Duration
	// SuspectAfter is the silence after which a member is suspected. Default: 5s.
	SuspectAfter time.Duration
	// DropAfter is the silence after which a log is forgotten without a second
	// witness. Default: 10m.
	DropAfter time.Duration
	// TombstoneRetention is how long a life that is over is refused. Default: 1h.
	TombstoneRetention time.Duration
	// LeavingRetention is how long leaving marks are kept. Default: 1h.
	LeavingRetention time.Duration
	// BadVersionRetention is how long marks of bad versions are kept. Default: 168h.
	BadVersionRetention time.Duration
	// Fanout is the number of peers that get a new mark at once. Default: 3.
	Fanout int
	// MessageBytes bounds a message, and this node's own log. Default: 32 KiB.
	MessageBytes int
}

func (o Options) withDefaults() Options {
	o.Interval = cmp.Or(o.Interval, DefaultInterval)
	o.SuspectAfter = cmp.Or(o.SuspectAfter, DefaultSuspectAfter)
	o.DropAfter = cmp.Or(o.DropAfter, DefaultDropAfter)
	o.TombstoneRetention = cmp.Or(o.TombstoneRetention, DefaultTombstoneRetention)
	o.LeavingRetention = cmp.Or(o.LeavingRetention, DefaultLeavingRetention)
	o.BadVersionRetention = cmp.Or(o.BadVersionRetention, DefaultBadVersionRetention)
	o.Fanout = cmp.Or(o.Fanout, DefaultFanout)
	o.MessageBytes = cmp.Or(o.MessageBytes, DefaultMessageBytes)
	return o
}
