package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Key returns the store key of the lease of that name.
func Key(name string) platformapi.Key { return platformapi.Key("lease/" + name) }

// Owner names one life of a node, so that a restarted node does not take the
// lease of its former life for its own.
type Owner struct {
	Node        ident.NodeID      `json:"node"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Record is the stored lease.
type Record struct {
	Owner Owner       `json:"owner"`
	Epoch ident.Epoch `json:"epoch"`
	// Renewals grows with each write, so that observers see life in it.
	Renewals uint64 `json:"renewals"`
	// Released tells that the owner has stopped acting.
	Released bool `json:"released,omitempty"`
	// Unsettled tells, with Released, that acts of former holders may still arrive.
	Unsettled bool `json:"unsettled,omitempty"`
}

// Instant is a reading of both clocks of a node.
type Instant struct {
	// Monotonic time since some fixed point of the process's life.
	Monotonic time.Duration
	Wall      time.Time
}

// Add returns the instant later by d.
func (i Instant) Add(d time.Duration) Instant {
	return Instant{Monotonic: i.Monotonic + d, Wall: i.Wall.Add(d)}
}

// maxSetBack is how far the wall clock may fall behind the monotonic one while a
// lease is held. Past that a suspension of the machine could go unseen.
const maxSetBack = 500 * time.Millisecond

// past tells whether d may have passed since earlier: by either clock, or by one
// that cannot be told any more.
func (i Instant) past(earlier Instant, d time.Duration) bool {
	mono, wall := i.Monotonic-earlier.Monotonic, i.Wall.Sub(earlier.Wall)
	return mono >= d || wall >= d || wall < mono-maxSetBack
}

// Options are the settings of a lease.
type Options struct {
	// Term after which observers take an unchanged record for abandoned. Default: 10s.
	Term time.Duration
	// HoldTime is how long the holder acts after the start of its last renewal.
	// Default: 2/3 of Term.
	HoldTime time.Duration
	// RenewInterval is the time between two renewals. Default: 1/4 of Term.
	RenewInterval time.Duration
	// ObserveInterval is the longest time between two looks at somebody else's lease.
	// Default: 1/2 of Term.
	ObserveInterval time.Duration
	// RetryDelay is the pause after a failed call. Default: 1/20 of Term.
	RetryDelay time.Duration
	// MaxPause is the longest time assumed from a holder's check of its right to
	// the arrival of the act. Default: 30s.
	MaxPause time.Duration
	// StandbyDelay is the further time that a candidate leaves to better ones once
	// the lease is free. Default: 0.
	StandbyDelay time.Duration
}

// WithDefaults returns the options with defaults filled in.
func (o Options) WithDefaults() Options {
	o.Term = cmp.Or(o.Term, 10*time.Second)
	o.HoldTime = cmp.Or(o.HoldTime, o.Term*2/3)
	o.RenewInterval = cmp.Or(o.RenewInterval, o.Term/4)
	o.ObserveInterval = cmp.Or(o.ObserveInterval, o.Term/2)
	o.RetryDelay = cmp.Or(o.RetryDelay, o.Term/20)
	o.MaxPause = cmp.Or(o.MaxPause, 30*time.Second)
	return o
}

// Validate refuses options under which two nodes could hold at once.
func (o Options) Validate() error {
	if o.HoldTime > o.Term*4/5 {
		return fmt.Errorf("lease is held for %v of a term of %v; at most four fifths are allowed", o.HoldTime, o.Term)
	}
	if o.RenewInterval >= o.HoldTime {
		return fmt.Errorf("lease is renewed every %v and held for %v; it must be renewed sooner", o.RenewInterval, o.HoldTime)
	}
	return nil
}

// Action is what a lease asks its driver to do next.
type Action interface{ action() }

// ReadAction asks for the record, to be answered with Read.
type ReadAction struct{}

// PutAction asks for a conditional update, to be answered with Wrote.
type PutAction struct {
	Value  []byte
	Expect platformapi.Version
}

// WaitAction asks to wait and call Next again.
type WaitAction struct{ Delay time.Duration }

func (ReadAction) action() {}
func (PutAction) action()  {}
func (WaitAction) action() {}

// state of the next step.
type state uint8

const (
	mustRead  state = iota // the record is not known
	observing              // somebody else's record
	holding                // own record, perhaps lapsed
)

// Lease is one node's view of one lease. It is not safe for concurrent use.
type Lease struct {
	opts Options
	self Owner

	state     state
	record    Record
	version   platformapi.Version
	firstSeen Instant // when this version was first seen
	retryAt   Instant
	backoff   bool

	granted   Instant // start of the last successful write as holder
	settled   Instant
	acquired  bool // since the last lapse
	releasing bool
	idle      bool
	done      bool

	pending *pendingPut
}

// pendingPut is a write whose outcome is not known yet.
type pendingPut struct {
	record  Record
	started Instant
}

// New returns a lease that self is a candidate for.
func New(self Owner, opts Options) *Lease {
	return &Lease{opts: opts.WithDefaults(), self: self}
}

// Held returns the fencing number and whether the right is in force at now. It
// must be asked right before each act.
func (l *Lease) Held(now Instant) (ident.Epoch, bool) {
	if !l.acquired || l.releasing || l.lapsed(now) {
		return 0, false
	}
	return l.record.Epoch, true
}

// Settled tells whether acts of former holders can no longer arrive, so that
// endpoints which ignore the fencing number may be given orders.
func (l *Lease) Settled(now Instant) bool {
	_, held := l.Held(now)
	return held && now.Monotonic >= l.settled.Monotonic
}

// Record returns the last record seen.
func (l *Lease) Record() Record { return l.record }

// Released tells whether Release has come to its end.
func (l *Lease) Released() bool { return l.done }

// Release gives the lease up. From now on it is not held; the driver goes on
// until Released. Idle tells that no act of this holder is under way; otherwise
// the next holder waits for MaxPause.
func (l *Lease) Release(idle bool) { l.releasing, l.idle = true, idle }

// Releasing tells whether Release was called.
func (l *Lease) Releasing() bool { return l.releasing }

func (l *Lease) lapsed(now Instant) bool {
	return now.past(l.granted, l.opts.HoldTime)
}

// Next returns what to do at now.
func (l *Lease) Next(now Instant) Action {
	if l.acquired && l.lapsed(now) {
		l.acquired = false // what follows is a new epoch
	}
	if l.releasing && (l.done || l.state != holding && l.pending == nil) {
		l.done = true
		return WaitAction{l.opts.Term}
	}
	if l.backoff {
		if left := l.retryAt.Monotonic - now.Monotonic; left > 0 {
			return WaitAction{left}
		}
		l.backoff = false
	}
	switch l.state {
	case observing:
		return l.observe(now)
	case holding:
		return l.renew(now)
	default:
		return ReadAction{}
	}
}

// observe waits until the record has stood unchanged for the term, then takes over.
func (l *Lease) observe(now Instant) Action {
	due := l.firstSeen.Monotonic + l.opts.Term + l.opts.StandbyDelay
	if l.record.Released || l.version == 0 {
		due = l.firstSeen.Monotonic + l.opts.StandbyDelay
	}
	left := due - now.Monotonic
	if left <= 0 {
		return l.write(now, Record{Owner: l.self, Epoch: l.record.Epoch + 1})
	}
	l.state = mustRead
	wait := min(left, l.opts.ObserveInterval)
	l.retryAt, l.backoff = now.Add(wait), true
	return WaitAction{wait}
}

// renew writes the next renewal when it is due. A lapsed lease is taken anew.
func (l *Lease) renew(now Instant) Action {
	next := l.record
	next.Renewals++
	switch {
	case l.releasing:
		next.Released = true
		next.Unsettled = !l.idle || now.Monotonic < l.settled.Monotonic
	case !l.acquired:
		next.Epoch++
	default:
		if left := l.opts.RenewInterval - (now.Monotonic - l.granted.Monotonic); left > 0 {
			return WaitAction{left}
		}
	}
	return l.write(now, next)
}

func (l *Lease) write(now Instant, r Record) Action {
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode lease")) // the record holds nothing that JSON does not
	}
	l.pending = &pendingPut{record: r, started: now}
	return PutAction{Value: value, Expect: l.version}
}

// Wrote takes the answer to a PutAction.
func (l *Lease) Wrote(now Instant, version platformapi.Version, err error) {
	switch {
	case err == nil:
		l.won(version)
	case errors.Is(err, platformapi.ErrUnknown):
		l.state = mustRead // the pending write tells whether it took effect
	case errors.Is(err, platformapi.ErrConflict):
		l.pending = nil
		l.state = mustRead
	default:
		l.pending = nil
		l.retryAt, l.backoff = now.Add(l.opts.RetryDelay), true
	}
}

// won takes a write that took effect. The right counts from its start.
func (l *Lease) won(version platformapi.Version) {
	p := l.pending
	l.pending = nil
	takeover := p.record.Epoch != l.record.Epoch
	clean := l.version == 0 || l.record.Released && !l.record.Unsettled
	l.state, l.record, l.version = holding, p.record, version
	l.granted = p.started
	if p.record.Released {
		l.acquired, l.done = false, true
		return
	}
	l.acquired = true
	if takeover {
		l.settled = p.started
		if !clean {
			l.settled = p.started.Add(l.opts.MaxPause)
		}
	}
}

// Read takes the answer to a ReadAction. An absent object is ErrNotFound.
func (l *Lease) Read(now Instant, object platformapi.Object, err error) {
	var r Record
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
		object = platformapi.Object{}
	case err != nil:
		l.retryAt, l.backoff = now.Add(l.opts.RetryDelay), true
		return
	default:
		if err := json.Unmarshal(object.Value, &r); err != nil {
			// A record that cannot be read is waited out like any other.
			r = Record{Epoch: l.record.Epoch}
		}
	}
	l.saw(now, r, object.Version)
}

// saw takes a record read from the store.
func (l *Lease) saw(now Instant, r Record, version platformapi.Version) {
	if p := l.pending; p != nil && p.record == r {
		l.won(version)
		return
	}
	l.pending = nil
	if epoch, held := l.Held(now); held {
		invariant.Check(r.Epoch != epoch || r.Owner == l.self, invariant.OneHolderPerEpoch,
			"epoch %d of %v is held by %v", epoch, l.self, r.Owner)
	}
	if r.Owner == l.self && !r.Released {
		l.sawOwn(r, version)
		return
	}
	if version != l.version || l.firstSeen == (Instant{}) {
		l.firstSeen = now
	}
	r.Epoch = max(r.Epoch, l.record.Epoch)
	l.record, l.version = r, version
	l.state, l.acquired = observing, false
}

// sawOwn takes an own record. Where a lost write had no effect the last one still
// counts; a version not known means a new epoch.
func (l *Lease) sawOwn(r Record, version platformapi.Version) {
	l.acquired = l.acquired && version == l.version
	l.state, l.record, l.version = holding, r, version
}
