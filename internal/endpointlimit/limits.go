// Package endpointlimit divides the limits that endpoints name among the nodes, and the room of
// brittle endpoints.
//
// An endpoint in need names the number of requests per second that it takes from all nodes
// together. A node knows only its own requests, and asking the others before each one would
// cost more than the request. Each limit is therefore divided among a few nodes, its senders,
// so many that one request of each at the same moment is still within the limit of about a
// second. Rendezvous hashing of the endpoint and the live nodes chooses them, so that all
// nodes agree without a message, and the senders of different endpoints differ. A sender
// spends its share from a token bucket that holds one request; all other nodes send none.
//
// A brittle endpoint fails if it has to turn away too many requests per second for want of room.
// Its slots are divided among as many nodes as it has slots, or a few more where it bears some
// refusals; each sends no more requests at a time than its share, all others send none, and one
// whose request was turned away waits until all senders together stay within what it bears.
//
// A cold endpoint fails if it gets many more requests per second than it takes while it is cold.
// Its rate is divided in the same way, among so few nodes that the request that each has saved up
// stays within the bound as well; see cold.go.
//
// Limits is a deterministic state machine. Its inputs are the observations of this node and of
// the others: the limit that a response named, or that a response named none. Of several
// observations of an endpoint the latest counts. A response names no limit only if its request
// was sent after the latest response that named one: an older response may arrive late.
//
// Invariant: a node that has become a sender, or has just learned of a limit, starts with an
// empty bucket. What the senders of before and of now send while the nodes disagree on them
// stays within twice the limit.
package endpointlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// minPerSecond is the smallest rate at which an endpoint is used. Its responses show when
	// the limit is lifted.
	minPerSecond = 0.1
	// bucketSize is the number of requests that a sender can have saved up.
	bucketSize = 1
	// roomWait is how long a request waits for which this node's share of a brittle endpoint has
	// no room, and the other two bound the time after a refusal.
	roomWait       = 200 * time.Millisecond
	minRefusalWait = 500 * time.Millisecond
	maxRefusalWait = 3 * time.Second
	nodeRetention  = 15 * time.Second
	// otherNodeWait is how long a request waits that only other nodes could send.
	otherNodeWait = 700 * time.Millisecond
	// reportedAge is how long a node reports an observation. The senders of an endpoint have
	// a new one with each request.
	reportedAge = 30 * time.Second
	// maxEntries bounds the endpoints with a limit that a node knows of.
	maxEntries = 1024
	// fleetObservations is the number of observations that all nodes together report at
	// once, and the other two limit the number of each node.
	fleetObservations       = 512
	maxReportedObservations = 32
	minReportedObservations = 3
)

// Observation is what a response stated about the limit of one incarnation of an endpoint.
type Observation struct {
	Endpoint site.IncarnationHash
	// Limited reports whether the response named a limit, and PerSecond which one.
	Limited   bool
	PerSecond float64
	// Brittle reports whether the endpoint fails if it has to turn away more than MaxRefusals
	// requests per second.
	Brittle     bool
	MaxRefusals float64
	// At is the time of day at which a response with a limit, or of a brittle endpoint, was
	// received, or the request of a response that states neither was sent.
	At time.Time
}

// states reports whether the response named a limit or came from a brittle endpoint.
func (o Observation) states() bool { return o.Limited || o.Brittle }

// Limits are the limits that a node knows of. It is not safe for concurrent use.
type Limits struct {
	self  uint64   // hash of this node
	nodes []uint64 // hashes of the live nodes, including this one, in order
	names map[uint64]string
	// mostNodes is the largest number of live nodes in the last nodeRetention, seen at mostAt:
	// a node that is cut off from the others must not take their shares of a brittle endpoint.
	mostNodes int
	mostAt    time.Time
	entries   map[site.IncarnationHash]*entry

	cold      map[site.IncarnationHash]*coldEntry
	started   time.Time            // of the first call of SetNodes with a time
	lastAlive map[uint64]time.Time // when each node was last live, by its hash, for nodeRetention
	recent    []uint64             // the nodes in lastAlive, in order
}

// entry is the limit of an endpoint and this node's share.
type entry struct {
	Observation
	share
	own  bool // this node has made the observation
	rank int  // number of live nodes that rank above this one for the endpoint
	// refusedUntil is until when a brittle endpoint that has turned a request away gets none.
	refusedUntil time.Time
}

// share is this node's part of a rate that is divided among some nodes.
type share struct {
	perSecond float64 // of all senders together
	senders   int     // number of nodes that may send to the endpoint
	isSender  bool    // this node is one of them
	bucket    float64 // requests that this node may send now; negative after one that could not wait
	updated   time.Time
}

// setSender sets whether this node is a sender. One that becomes a sender starts with an empty
// bucket.
func (s *share) setSender(isSender bool) {
	if isSender && !s.isSender {
		s.bucket = 0
	}
	s.isSender = isSender
}

// refill adds to the bucket what this node may send since the last call.
func (s *share) refill(now time.Time) {
	if s.isSender {
		s.bucket = min(s.bucket+s.rate()*max(now.Sub(s.updated).Seconds(), 0), bucketSize)
	}
	s.updated = now
}

// rate is this node's share in requests per second, if it is a sender.
func (s *share) rate() float64 { return s.perSecond / float64(s.senders) }

// wait returns how long this node must wait before it may send a request; zero if it may send one
// now.
func (s *share) wait(now time.Time) time.Duration {
	if !s.isSender {
		return otherNodeWait
	}
	s.refill(now)
	if s.bucket >= 1 {
		return 0
	}
	return time.Duration((1 - s.bucket) / s.rate() * float64(time.Second))
}

// New returns the limits of a node that knows none.
func New(self string) *Limits {
	l := &Limits{
		self: xxhash.Sum64String(self), entries: make(map[site.IncarnationHash]*entry),
		cold: make(map[site.IncarnationHash]*coldEntry), lastAlive: make(map[uint64]time.Time),
	}
	l.SetNodes(time.Time{}, []string{self})
	return l
}

// Empty reports whether no endpoint has named a limit.
func (l *Limits) Empty() bool { return len(l.entries) == 0 }

// SetNodes sets the live nodes, including this one.
func (l *Limits) SetNodes(now time.Time, nodes []string) {
	if len(nodes) >= l.mostNodes || now.Sub(l.mostAt) > nodeRetention {
		l.mostNodes, l.mostAt = len(nodes), now
	}
	hashes := make([]uint64, 0, len(nodes))
	names := make(map[uint64]string, len(nodes))
	for _, n := range nodes {
		hash := xxhash.Sum64String(n)
		hashes, names[hash] = append(hashes, hash), n
	}
	slices.Sort(hashes)
	l.retainNodes(now, hashes)
	if slices.Equal(hashes, l.nodes) {
		return
	}
	l.nodes, l.names = hashes, names
	for _, e := range l.entries {
		l.rank(e)
	}
}

// senderCount returns the number of nodes among which a limit is divided.
func senderCount(perSecond float64, nodes int) int {
	return max(int(min(math.Floor(perSecond)+1, float64(nodes))), 1)
}

// rank computes whether this node is a sender for an endpoint.
func (l *Limits) rank(e *entry) {
	e.perSecond, e.senders = e.PerSecond, senderCount(e.PerSecond, len(l.nodes))
	own := rendezvous.Mix(l.self ^ uint64(e.Endpoint))
	e.rank = 0
	for _, n := range l.nodes {
		if rendezvous.Mix(n^uint64(e.Endpoint)) > own {
			e.rank++
		}
	}
	e.setSender(e.rank < e.senders)
}

// Observe records an observation of this node. It reports whether it changes the limit.
func (l *Limits) Observe(now time.Time, o Observation) bool { return l.record(now, o, true) }

// Merge records the observations of another node.
func (l *Limits) Merge(now time.Time, list []Observation) {
	for _, o := range list {
		l.record(now, o, false)
	}
}

// record records an observation and reports whether it changes the limit.
func (l *Limits) record(now time.Time, o Observation, own bool) bool {
	o.PerSecond = max(o.PerSecond, minPerSecond)
	e := l.entries[o.Endpoint]
	switch {
	case e == nil && own && !o.states():
		return false // most endpoints never name a limit
	case e == nil:
		e = &entry{}
		l.entries[o.Endpoint] = e
		l.evict()
	case o.At.Before(e.At), o.At.Equal(e.At) && !o.states():
		return false
	case !e.states() && !o.states():
		return false // the first one is reported, by the node that made it
	}
	changed := o.Limited != e.Limited || o.Limited && o.PerSecond != e.PerSecond || o.Brittle != e.Brittle || o.MaxRefusals != e.MaxRefusals
	if !e.Limited {
		e.isSender, e.updated = false, now // starts with an empty bucket
	}
	e.refill(now)
	e.Observation, e.own = o, own
	l.rank(e)
	return changed
}

// evict removes the oldest entries beyond maxEntries, those without a limit first.
func (l *Limits) evict() {
	if len(l.entries) <= maxEntries {
		return
	}
	all := slices.SortedFunc(maps.Values(l.entries), func(a, b *entry) int {
		if a.states() != b.states() {
			return map[bool]int{false: -1, true: 1}[a.states()]
		}
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	for _, e := range all[:len(all)-maxEntries] {
		delete(l.entries, e.Endpoint)
	}
}

// Wait returns how long this node must wait before it may send a request to an endpoint, by the
// limit that it has named and since it is cold; zero if it may send one now.
func (l *Limits) Wait(now time.Time, endpoint site.IncarnationHash) time.Duration {
	var wait time.Duration
	if len(l.cold) > 0 {
		wait = l.coldWait(now, endpoint)
	}
	if len(l.entries) == 0 {
		return wait
	}
	if e := l.entries[endpoint]; e != nil && e.Limited {
		wait = max(wait, e.wait(now))
	}
	return wait
}

// Room returns how long this node must wait until it may send a request to an endpoint with a
// number of slots, at which inflight requests of this node are; zero if it may send one now. A
// caller that returns sooner may reach a node that has room.
func (l *Limits) Room(now time.Time, endpoint site.IncarnationHash, inflight, slots int) time.Duration {
	if len(l.entries) == 0 {
		return 0
	}
	e := l.entries[endpoint]
	if e == nil || !e.Brittle {
		return 0
	}
	senders := l.brittleSenders(e, slots)
	switch {
	case now.Before(e.refusedUntil):
		return e.refusedUntil.Sub(now)
	case e.rank >= senders || inflight >= max(slots/senders, 1):
		return roomWait
	default:
		return 0
	}
}

// brittleSenders returns the number of nodes that may send to a brittle endpoint. Half of the
// refusals that it bears make up for nodes that disagree, and for its requests that end late.
func (l *Limits) brittleSenders(e *entry, slots int) int {
	return max(min(slots+int(min(e.MaxRefusals, float64(slots))/2), l.mostNodes), 1)
}

// Refused records that an endpoint with a number of slots has turned a request of this node away.
func (l *Limits) Refused(now time.Time, endpoint site.IncarnationHash, slots int) {
	e := l.entries[endpoint]
	if e == nil || !e.Brittle {
		return
	}
	wait := time.Duration(float64(l.brittleSenders(e, slots)) / max(e.MaxRefusals/2, 1) * float64(time.Second))
	e.refusedUntil = now.Add(min(max(wait, minRefusalWait), maxRefusalWait))
}

// Spend records that this node sends a request to an endpoint. A request that can't wait, since
// it continues one, is deducted from the share of the following time.
func (l *Limits) Spend(now time.Time, endpoint site.IncarnationHash) {
	if e := l.entries[endpoint]; e != nil && e.Limited {
		e.refill(now)
		e.bucket--
	}
	if c := l.cold[endpoint]; c != nil {
		c.refill(now)
		c.bucket--
	}
}

// Report returns the recent observations of this node that are the latest that it knows of, the
// most recent first. Their number is bounded by the number of nodes.
func (l *Limits) Report(wallTime time.Time) []Observation {
	if len(l.entries) == 0 {
		return nil
	}
	var out []Observation
	for _, e := range l.entries {
		if e.own && wallTime.Sub(e.At) <= reportedAge {
			out = append(out, e.Observation)
		}
	}
	slices.SortFunc(out, func(a, b Observation) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	return out[:min(len(out), max(min(fleetObservations/len(l.nodes), maxReportedObservations), minReportedObservations))]
}
