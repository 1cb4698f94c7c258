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
	digestFanout           = 2                      // most digests sent each interval to peers, to remote delegates, and to other addresses
	delegatesPerDC         = 2                      // nodes that exchange state with other data centres
	rumourRounds           = 3                      // intervals in which a new mark is sent without request
	rumourBytes            = 1 << 10                // maximum size of the new marks in a digest message
	recentIntervals        = 15                     // up to this age a mark is the likely cause of differing hashes
	reconnectOdds          = 8                      // a node with peers contacts other addresses at random once in so many intervals
	witnessQuorum          = 2                      // nodes that must suspect a member before it is declared gone
	maxStepIntervals       = 2                      // largest step of the node's clock, in intervals
	maxSalts               = 32                     // recent digests for which heartbeats are accepted
	joinIntervals          = 5                      // intervals after its start in which a node is not a delegate
	lastLeg                = 2                      // last message of a digest exchange
	fleetHeartbeatPerDC    = 250 * time.Millisecond // least heartbeat interval of fleet logs, times the number of data centres
	fleetSilenceHeartbeats = 3                      // missed heartbeats after which a fleet log is silent, on top of SuspectAfter
	markAgeSlack           = 5 * time.Second        // difference of a mark's age between nodes above which it is corrected
	markExpiryMargin       = time.Minute            // time before its expiry in which a mark is not reconciled
	deletionRetention      = 5 * time.Minute        // how long the deletion of an entry is stored, so that it reaches all copies
)

// maxIncarnation is the highest valid incarnation. It is above any that a clock
// gives, so that a higher one comes from a malformed message.
const maxIncarnation = 1 << 62

// Options configures a Node.
type Options struct {
	ID         ident.NodeID
	DataCentre ident.DataCentre
	// Address is the "ip:port" of the listener for peers.
	Address string
	// Incarnation of this process; it should grow with each start. A node that
	// receives a higher one of itself continues with the next higher number.
	Incarnation ident.Incarnation
	// Seeds are addresses of nodes to contact for joining. Default: none.
	Seeds []string
	// Interval between calls of Tick. Default: 1s.
	Interval time.Duration
	// SuspectAfter is the silence after which a member is suspected. Default: 5s.
	SuspectAfter time.Duration
	// DropAfter is the silence after which a log is dropped without a second
	// witness. Default: 10m.
	DropAfter time.Duration
	// TombstoneRetention is how long the logs of an ended incarnation are refused.
	// Default: 1h.
	TombstoneRetention time.Duration
	// LeavingRetention is how long leaving marks are stored. Default: 1h.
	LeavingRetention time.Duration
	// BadVersionRetention is how long marks of bad versions and of move records are
	// stored. Default: 168h.
	BadVersionRetention time.Duration
	// Fanout is the number of random peers to which a new mark is sent at once.
	// Default: 3.
	Fanout int
	// MessageBytes is the maximum size of a message in bytes. Each of this node's own
	// logs is limited to half of it. Default: 32 KiB.
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
