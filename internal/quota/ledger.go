package quota

import (
	"cmp"
	"math"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// DefaultSilenceTimeout is how long a node may be silent: some exchanges.
	DefaultSilenceTimeout = 800 * time.Millisecond
	// DefaultNodeRetention is when a silent node has surely ended, or is cut off for
	// so long that its part may go to the others.
	DefaultNodeRetention = 15 * time.Second
	// rateWindow is the time constant of the rates that parts are worked out from.
	rateWindow = 3 * time.Second
	// evenShare is the part of an even share that a node keeps without any demand.
	evenShare = 0.5
	// usedOvershoot and usedSlack are the parts of what may be taken beyond a limit that
	// are taken on purpose; the rest is for what nodes spend at the same time.
	usedOvershoot = 0.5
	usedSlack     = 0.25
	// minPart keeps the time to come back finite where a node has no part of a limit.
	minPart = 0.01
	// minRetryAfter is the shortest time to come back that callers are told.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfter bounds it: a bucket refills within some seconds.
	maxRetryAfter = 5 * time.Second
)

// Spending is what a node has spent since its start, by workspace.
type Spending map[ident.Workspace]float64

// NodeIncarnation names one life of a node.
type NodeIncarnation struct {
	Node        ident.NodeID
	Incarnation ident.Incarnation
}

// Options are the settings of a Ledger. Zero fields take their defaults.
type Options struct {
	Self           NodeIncarnation
	SilenceTimeout time.Duration
	NodeRetention  time.Duration
	// InitialFill is the part of a burst that a bucket begins with. Default: 1.
	InitialFill float64
	// Overshoot and Slack are what may be taken beyond a limit, as a part of it and in
	// its unit. Some of both is used, so that callers within their limit are not
	// refused for what the nodes don't know yet of each other. Default: 0.
	Overshoot, Slack float64
}

// Ledger keeps the buckets of all workspaces. It is not safe for use by several
// goroutines.
type Ledger struct {
	opts    Options
	buckets map[ident.Workspace]*bucket
	spent   Spending
	peers   map[NodeIncarnation]*peer
	joined  bool
}

// bucket is a workspace's allowance of the whole fleet.
type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
	own         smoothed
	untold      untold
	theirs      map[NodeIncarnation]*smoothed
	totals      []sample                    // of the rates of all nodes, for some time back
	kept        map[NodeIncarnation]float64 // parts of the limit that lost nodes keep
}

// sample is the sum of the rates of all nodes at a time.
type sample struct {
	at    time.Time
	total float64
}

// peer is another node.
type peer struct {
	heard time.Time
	asOf  time.Time // of its spending, by its own clock
	lost  bool
	spent Spending
}

// smoothed is an exponentially smoothed rate a second.
type smoothed struct {
	value float64
	at    time.Time
}

func (s *smoothed) add(now time.Time, n float64) {
	s.value = s.valueAt(now) + n/rateWindow.Seconds()
	s.at = now
}

func (s *smoothed) valueAt(t time.Time) float64 {
	return s.value * math.Exp(-max(t.Sub(s.at).Seconds(), 0)/rateWindow.Seconds())
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

// SetSilenceTimeout sets how long a node may be silent.
func (l *Ledger) SetSilenceTimeout(d time.Duration) { l.opts.SilenceTimeout = d }

// SetWorkspaces takes the limits in force. A lower limit holds at once.
func (l *Ledger) SetWorkspaces(now time.Time, workspaces []site.Workspace) {
	seen := make(map[ident.Workspace]bool, len(workspaces))
	for i := range workspaces {
		w := &workspaces[i]
		seen[w.Name] = true
		b := l.buckets[w.Name]
		fresh := b == nil
		if fresh {
			b = &bucket{at: now, level: math.Inf(1), theirs: make(map[NodeIncarnation]*smoothed), kept: make(map[NodeIncarnation]float64)}
			l.buckets[w.Name] = b
		}
		l.refill(now, b)
		b.rate = w.Rate * (1 + usedOvershoot*l.opts.Overshoot)
		b.burst = w.Burst * (1 + usedOvershoot*l.opts.Overshoot)
		if w.CountTokens && w.Rate > 0 {
			b.burst += usedSlack * l.opts.Slack
		}
		b.level = min(b.level, b.burst)
		if fresh {
			b.level *= l.opts.InitialFill
		}
	}
	for name := range l.buckets {
		if !seen[name] {
			delete(l.buckets, name)
		}
	}
}

// Take spends cost of a workspace where its bucket has it. Otherwise it returns the
// time after which to come back.
func (l *Ledger) Take(now time.Time, w ident.Workspace, cost float64) (time.Duration, bool) {
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	l.refill(now, b)
	// A request larger than the burst passes a full bucket; the debt is paid after.
	part := b.part()
	need := min(cost, b.burst*part)
	if part == 0 || b.level < need {
		after := time.Duration((need - b.level) / (b.rate * max(part, minPart)) * float64(time.Second))
		return min(max(after, minRetryAfter), maxRetryAfter), false
	}
	b.level -= cost
	b.own.add(now, cost)
	b.untold.add(now, b.rate/float64(len(l.peers)+1), cost)
	l.spent[w] += cost
	return 0, true
}

// Refund returns what a request took that did not run.
func (l *Ledger) Refund(now time.Time, w ident.Workspace, cost float64) {
	b := l.buckets[w]
	if b == nil || b.rate <= 0 {
		return
	}
	l.refill(now, b)
	b.level = min(b.level+cost, b.burst)
	b.own.add(now, -cost)
	l.spent[w] -= cost
}

// refill adds what this node's side of the fleet may spend since the last time.
func (l *Ledger) refill(now time.Time, b *bucket) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		part := b.part()
		b.level = min(b.level+b.rate*part*dt, b.burst*part)
		b.at = now
	}
}

// part returns the part of a limit that the nodes in touch may spend.
func (b *bucket) part() float64 {
	part := 1.0
	for _, kept := range b.kept {
		part -= kept
	}
	return max(part, 0)
}

// rateAt returns a node's rate at a time, or the floor that it keeps without demand.
func (l *Ledger) rateAt(at time.Time, b *bucket, s *smoothed) float64 {
	floor := evenShare * b.rate / float64(len(l.peers)+1)
	if s == nil {
		return floor
	}
	return max(s.valueAt(at), floor)
}

// observe notes the sum of all rates. Those of lost nodes stand still.
func (l *Ledger) observe(now time.Time, b *bucket) {
	total := l.rateAt(now, b, &b.own)
	for life, p := range l.peers {
		at := now
		if p.lost {
			at = p.heard
		}
		total += l.rateAt(at, b, b.theirs[life])
	}
	keep := b.totals[:0]
	for _, s := range b.totals {
		if now.Sub(s.at) <= 2*l.opts.SilenceTimeout {
			keep = append(keep, s)
		}
	}
	b.totals = append(keep, sample{now, total})
}

// totalAt returns the sum of all rates at a time not long ago.
func (b *bucket) totalAt(at time.Time) float64 {
	total := b.totals[0].total
	for _, s := range b.totals {
		if s.at.After(at) {
			break
		}
		total = s.total
	}
	return total
}

// keep sets a lost node's part of a limit aside: the part that it had when it was
// last heard of, as the node itself then saw it.
func (l *Ledger) keep(now time.Time, b *bucket, life NodeIncarnation, p *peer) {
	l.refill(now, b)
	if len(b.totals) == 0 {
		return
	}
	before := b.part()
	rate := l.rateAt(p.heard, b, b.theirs[life])
	b.kept[life] = min(rate/b.totalAt(p.heard), 1)
	if before > 0 && b.level > 0 {
		b.level *= b.part() / before // a part of what is in the bucket is the lost node's
	}
}

// Spent returns what this node has spent since its start.
func (l *Ledger) Spent() Spending { return l.spent }

// Levels returns the levels of the buckets, for a node that starts.
func (l *Ledger) Levels(now time.Time) map[ident.Workspace]float64 {
	out := make(map[ident.Workspace]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		out[name] = b.level
	}
	return out
}

// InitLevels takes the levels that another node sees, once: a bucket that was just made
// knows nothing of what was spent before.
func (l *Ledger) InitLevels(now time.Time, levels map[ident.Workspace]float64) {
	if l.joined || len(levels) == 0 {
		return
	}
	l.joined = true
	for name, level := range levels {
		if b := l.buckets[name]; b != nil {
			l.refill(now, b)
			b.level = min(b.level, level)
		}
	}
}

// RecordPeerSpending takes the total spending of another node as of a time by that node's clock.
// Workspaces that are not named have spent what they had. What is older than what was
// heard before, as it came by a longer way, only shows that the node lives.
func (l *Ledger) RecordPeerSpending(now time.Time, from NodeIncarnation, asOf time.Time, spent Spending) {
	if from == l.opts.Self {
		return
	}
	p := l.peers[from]
	if p == nil {
		p = &peer{spent: copyOf(spent), asOf: asOf}
		l.peers[from] = p
		l.forgetLives(from)
	}
	if asOf.Before(p.asOf) {
		spent = nil
	} else {
		p.asOf = asOf
	}
	back := p.lost
	for name, total := range spent {
		delta := total - p.spent[name]
		b := l.buckets[name]
		p.spent[name] = total
		if b == nil || delta == 0 {
			continue
		}
		l.refill(now, b)
		if !back {
			b.level -= delta // a lost node's part was kept free for it
		}
		l.rateOf(b, from).add(now, delta)
	}
	if back {
		for _, b := range l.buckets {
			l.refill(now, b)
			delete(b.kept, from)
		}
	}
	p.heard, p.lost = now, false
}

// forgetLives drops the earlier lives of a node that has started again.
func (l *Ledger) forgetLives(life NodeIncarnation) {
	for old := range l.peers {
		if old.Node == life.Node && old.Incarnation < life.Incarnation {
			l.forget(old)
		}
	}
}

func (l *Ledger) forget(life NodeIncarnation) {
	delete(l.peers, life)
	for _, b := range l.buckets {
		delete(b.theirs, life)
		delete(b.kept, life)
	}
}

func (l *Ledger) rateOf(b *bucket, life NodeIncarnation) *smoothed {
	s := b.theirs[life]
	if s == nil {
		s = &smoothed{}
		b.theirs[life] = s
	}
	return s
}

// Tick notes which nodes have been silent for too long. It returns those that are
// newly lost.
func (l *Ledger) Tick(now time.Time) []NodeIncarnation {
	for _, b := range l.buckets {
		l.observe(now, b)
	}
	var lost []NodeIncarnation
	for life, p := range l.peers {
		silent := now.Sub(p.heard)
		if silent > l.opts.NodeRetention {
			l.forget(life)
			continue
		}
		if silent > l.opts.SilenceTimeout && !p.lost {
			for _, b := range l.buckets {
				l.keep(now, b, life, p)
			}
			p.lost = true
			lost = append(lost, life)
		}
	}
	return lost
}

func copyOf(s Spending) Spending {
	out := make(Spending, len(s))
	for k, v := range s {
		out[k] = v
	}
	return out
}
