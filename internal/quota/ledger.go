package quota

import (
	"cmp"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// DefaultSilenceTimeout spans several exchanges of node state.
	DefaultSilenceTimeout = 800 * time.Millisecond
	// DefaultNodeRetention is the time after which a silent node has ended, or has been
	// cut off for so long that its share may go to the others.
	DefaultNodeRetention = 15 * time.Second
	// rateWindow is the time constant of the smoothed rates from which shares are computed.
	rateWindow = 3 * time.Second
	// idleNodeShare is the fraction of an even share that a node without demand keeps.
	idleNodeShare = 0.5
	// usedOvershoot and usedSlack are the fractions of Options.Overshoot and Options.Slack
	// that are added to the limits. The rest covers what several nodes spend concurrently.
	usedOvershoot = 0.5
	usedSlack     = 0.25
	// minShare keeps the retry delay finite where the available share of a limit is zero.
	minShare = 0.01
	// minRetryAfter is the shortest retry delay returned to callers.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter is the longest retry delay: a bucket refills within a few seconds.
	maxRetryAfter = 5 * time.Second
)

// Spending is the total that a node has spent since its start, by workspace, in the unit
// of the workspace's limit.
type Spending map[ident.Workspace]float64

// NodeIncarnation identifies one incarnation of a node.
type NodeIncarnation struct {
	Node        ident.NodeID
	Incarnation ident.Incarnation
}

// Hash returns a hash that is the same at all nodes.
func (n NodeIncarnation) Hash() uint64 {
	return xxhash.Sum64String(string(n.Node) + "/" + strconv.FormatUint(uint64(n.Incarnation), 10))
}

// Options are the settings of a Ledger. Zero fields take their defaults.
type Options struct {
	Self NodeIncarnation
	// SilenceTimeout is the time without contact after which a node counts as silent and
	// its share of the limits is reserved. Default: DefaultSilenceTimeout.
	SilenceTimeout time.Duration
	// NodeRetention is the time without contact after which a node is removed and its
	// share is released. Default: DefaultNodeRetention.
	NodeRetention time.Duration
	// InitialFill is the fraction of the burst with which a bucket starts. Default: 1.
	InitialFill float64
	// Overshoot and Slack are what may be spent beyond a limit: Overshoot as a fraction of
	// the limit, Slack in tokens for limits that count tokens. A fraction of both is added
	// to the limits, so that callers within their limit are not refused because the nodes
	// know of each other's spending with a delay. Default: 0.
	Overshoot, Slack float64
}

// Ledger contains the buckets of all workspaces. It is not safe for concurrent use.
type Ledger struct {
	opts              Options
	buckets           map[ident.Workspace]*bucket
	spent             Spending
	peers             map[NodeIncarnation]*peer
	levelsInitialised bool
}

// bucket is the token bucket of a workspace, with the limit of the whole fleet.
type bucket struct {
	rate, burst float64
	level       float64
	refilled    time.Time
	ownRate     smoothedRate
	unsent      unsentSpending
	peerRates   map[NodeIncarnation]*smoothedRate
	totalRates  []sample                    // sums of the rates of all nodes, of the last 2*SilenceTimeout
	reserved    map[NodeIncarnation]float64 // shares of the limit reserved for silent nodes
}

// sample is the sum of the rates of all nodes at one time.
type sample struct {
	at    time.Time
	total float64
}

// peer is another node.
type peer struct {
	lastContact time.Time
	asOf        time.Time // time of its last report, by its own clock
	silent      bool
	spent       Spending
}

// smoothedRate is an exponentially smoothed rate per second.
type smoothedRate struct {
	value   float64
	updated time.Time
}

func (s *smoothedRate) add(now time.Time, n float64) {
	s.value = s.valueAt(now) + n/rateWindow.Seconds()
	s.updated = now
}

func (s *smoothedRate) valueAt(t time.Time) float64 {
	return s.value * math.Exp(-max(t.Sub(s.updated).Seconds(), 0)/rateWindow.Seconds())
}

// New returns a ledger without workspaces.
func New(opts Options) *Ledger {
	opts.SilenceTimeout = cmp.Or(opts.SilenceTimeout, DefaultSilenceTimeout)
	opts.InitialFill = cmp.Or(opts.InitialFill, 1)
	opts.NodeRetention = cmp.Or(opts.NodeRetention, DefaultNodeRetention)
	return &Ledger{
		opts: opts, buckets: make(map[ident.Workspace]*bucket), spent: make(Spending), peers: make(map[NodeIncarnation]*peer),
	}
}

// SetSilenceTimeout sets the time without contact after which a node counts as silent.
func (l *Ledger) SetSilenceTimeout(d time.Duration) { l.opts.SilenceTimeout = d }

// SetWorkspaces sets the limits in force. A lower limit applies at once.
func (l *Ledger) SetWorkspaces(now time.Time, workspaces []site.Workspace) {
	listed := make(map[ident.Workspace]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		listed[w.Name] = true
		b := l.buckets[w.Name]
		isNew := b == nil
		if isNew {
			b = &bucket{refilled: now, level: math.Inf(1), peerRates: make(map[NodeIncarnation]*smoothedRate), reserved: make(map[NodeIncarnation]float64)}
			l.buckets[w.Name] = b
		}
		l.refill(now, b)
		b.rate = w.Rate * (1 + usedOvershoot*l.opts.Overshoot)
		b.burst = w.Burst * (1 + usedOvershoot*l.opts.Overshoot)
		if w.CountTokens && w.Rate > 0 {
			b.burst += usedSlack * l.opts.Slack
		}
		b.level = min(b.level, b.burst)
		if isNew {
			b.level *= l.opts.InitialFill
		}
	}
	for name := range l.buckets {
		if !listed[name] {
			delete(l.buckets, name)
		}
	}
}

// Take spends cost from the bucket of a workspace and reports whether the bucket had
// enough. If not, nothing is spent and Take returns the delay after which to retry.
// Workspaces without a limit are always admitted.
func (l *Ledger) Take(now time.Time, w ident.Workspace, cost float64) (time.Duration, bool) {
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	l.refill(now, b)
	// A request larger than the burst is admitted by a full bucket, whose level becomes
	// negative.
	share := b.availableShare()
	need := min(cost, b.burst*share)
	if share == 0 || b.level < need {
		retryAfter := time.Duration((need - b.level) / (b.rate * max(share, minShare)) * float64(time.Second))
		return min(max(retryAfter, minRetryAfter), maxRetryAfter), false
	}
	b.level -= cost
	b.ownRate.add(now, cost)
	b.unsent.add(now, b.rate/float64(len(l.peers)+1), cost)
	l.spent[w] += cost
	return 0, true
}

// Refund returns the cost of a request that did not run to the bucket.
func (l *Ledger) Refund(now time.Time, w ident.Workspace, cost float64) {
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return
	}
	l.refill(now, b)
	b.level = min(b.level+cost, b.burst)
	b.ownRate.add(now, -cost)
	l.spent[w] -= cost
}

// refill adds what the reachable nodes may spend for the time since the last refill.
func (l *Ledger) refill(now time.Time, b *bucket) {
	if dt := now.Sub(b.refilled).Seconds(); dt > 0 {
		share := b.availableShare()
		b.level = min(b.level+b.rate*share*dt, b.burst*share)
		b.refilled = now
	}
}

// availableShare returns the fraction of the limit that the reachable nodes may spend.
func (b *bucket) availableShare() float64 {
	share := 1.0
	for _, reserved := range b.reserved {
		share -= reserved
	}
	return max(share, 0)
}

// rateAt returns a node's rate at a time, but at least the rate that a node without
// demand keeps.
func (l *Ledger) rateAt(at time.Time, b *bucket, s *smoothedRate) float64 {
	minRate := idleNodeShare * b.rate / float64(len(l.peers)+1)
	if s == nil {
		return minRate
	}
	return max(s.valueAt(at), minRate)
}

// recordTotalRate records the sum of the rates of all nodes. The rate of a silent node is
// the one at its last contact.
func (l *Ledger) recordTotalRate(now time.Time, b *bucket) {
	total := l.rateAt(now, b, &b.ownRate)
	for id, p := range l.peers {
		at := now
		if p.silent {
			at = p.lastContact
		}
		total += l.rateAt(at, b, b.peerRates[id])
	}
	recent := b.totalRates[:0]
	for _, s := range b.totalRates {
		if now.Sub(s.at) <= 2*l.opts.SilenceTimeout {
			recent = append(recent, s)
		}
	}
	b.totalRates = append(recent, sample{now, total})
}

// totalRateAt returns the sum of the rates of all nodes at a time within the
// last 2*SilenceTimeout.
func (b *bucket) totalRateAt(at time.Time) float64 {
	total := b.totalRates[0].total
	for _, s := range b.totalRates {
		if s.at.After(at) {
			break
		}
		total = s.total
	}
	return total
}

// reserveShare reserves a silent node's share of the limit: the one at its last contact,
// computed from the same rates as the node itself then computed it from.
func (l *Ledger) reserveShare(now time.Time, b *bucket, id NodeIncarnation, p *peer) {
	l.refill(now, b)
	if len(b.totalRates) == 0 {
		return
	}
	previous := b.availableShare()
	rate := l.rateAt(p.lastContact, b, b.peerRates[id])
	b.reserved[id] = min(rate/b.totalRateAt(p.lastContact), 1)
	if previous > 0 && b.level > 0 {
		b.level *= b.availableShare() / previous // a share of the current level belongs to the silent node
	}
}

// Spent returns what this node has spent since its start. The map is not a copy.
func (l *Ledger) Spent() Spending { return l.spent }

// Levels returns the levels of the buckets, for InitLevels on a node that starts.
func (l *Ledger) Levels(now time.Time) map[ident.Workspace]float64 {
	out := make(map[ident.Workspace]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		out[name] = b.level
	}
	return out
}

// InitLevels lowers the levels of the buckets to those of another node: a new bucket does
// not include what was spent before. Only the first call with any levels has an effect.
func (l *Ledger) InitLevels(now time.Time, levels map[ident.Workspace]float64) {
	if l.levelsInitialised || len(levels) == 0 {
		return
	}
	l.levelsInitialised = true
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			l.refill(now, b)
			b.level = min(b.level, level)
		}
	}
}

// RecordPeerSpending records the total spending of another node at the time asOf of that
// node's clock. Workspaces missing from spent have not changed. A report that is older
// than an earlier one, as it came through other nodes, only renews the time of contact.
func (l *Ledger) RecordPeerSpending(now time.Time, from NodeIncarnation, asOf time.Time, spent Spending) {
	if from == l.opts.Self {
		return
	}
	p := l.peers[from]
	if p == nil {
		p = &peer{spent: copyOf(spent), asOf: asOf}
		l.peers[from] = p
		l.removeOldIncarnations(from)
	}
	if asOf.Before(p.asOf) {
		spent = nil
	} else {
		p.asOf = asOf
	}
	wasSilent := p.silent
	for name, total := range spent {
		delta := total - p.spent[name]
		b := l.buckets[name]
		p.spent[name] = total
		if b == nil || delta == 0 {
			continue
		}
		l.refill(now, b)
		if !wasSilent {
			b.level -= delta // otherwise the node's reserved share covers it
		}
		l.peerRate(b, from).add(now, delta)
	}
	if wasSilent {
		for _, b := range l.buckets {
			l.refill(now, b)
			delete(b.reserved, from)
		}
	}
	p.lastContact, p.silent = now, false
}

// removeOldIncarnations removes the earlier incarnations of a node that has restarted.
func (l *Ledger) removeOldIncarnations(current NodeIncarnation) {
	for old := range l.peers {
		if old.Node == current.Node && old.Incarnation < current.Incarnation {
			l.removePeer(old)
		}
	}
}

func (l *Ledger) removePeer(id NodeIncarnation) {
	delete(l.peers, id)
	for _, b := range l.buckets {
		delete(b.peerRates, id)
		delete(b.reserved, id)
	}
}

func (l *Ledger) peerRate(b *bucket, id NodeIncarnation) *smoothedRate {
	s := b.peerRates[id]
	if s == nil {
		s = &smoothedRate{}
		b.peerRates[id] = s
	}
	return s
}

// Tick marks the nodes that have been silent for longer than SilenceTimeout, removes those
// silent for longer than NodeRetention, and returns the newly silent ones.
func (l *Ledger) Tick(now time.Time) []NodeIncarnation {
	for _, b := range l.buckets {
		l.recordTotalRate(now, b)
	}
	var newlySilent []NodeIncarnation
	for id, p := range l.peers {
		silence := now.Sub(p.lastContact)
		if silence > l.opts.NodeRetention {
			l.removePeer(id)
			continue
		}
		if silence > l.opts.SilenceTimeout && !p.silent {
			for _, b := range l.buckets {
				l.reserveShare(now, b, id, p)
			}
			p.silent = true
			newlySilent = append(newlySilent, id)
		}
	}
	return newlySilent
}

func copyOf(s Spending) Spending {
	out := make(Spending, len(s))
	for k, v := range s {
		out[k] = v
	}
	return out
}
