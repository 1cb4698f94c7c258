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

// Key returns the store key of the lease with that name.
func Key(name string) platformapi.Key { return platformapi.Key("lease/" + name) }

// Owner identifies one incarnation of a node, so that a restarted node does not mistake the
// lease of its previous incarnation for its own.
type Owner struct {
	Node        ident.NodeID      `json:"node"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Record is the stored lease.
type Record struct {
	Owner Owner       `json:"owner"`
	Epoch ident.Epoch `json:"epoch"`
	// Renewals grows with each write, so that observers can tell that the owner is alive.
	Renewals uint64 `json:"renewals"`
	// Released is set when the owner has stopped acting.
	Released bool `json:"released,omitempty"`
	// Unsettled is set with Released if actions of former holders may still arrive.
	Unsettled bool `json:"unsettled,omitempty"`
	// Era is the era of the store in which the record was written; zero for a store
	// without eras. A record of an earlier era comes from the copy that the store was
	// restored from: later holders may have existed.
	Era platformapi.Era `json:"era,omitempty"`
}

// Options are the settings of a lease.
type Options struct {
	// Term is the time after which observers treat an unchanged record as abandoned.
	// Default: 10s.
	Term time.Duration
	// HoldTime is how long the holder may act after the start of its last successful
	// renewal. Default: 2/3 of Term.
	HoldTime time.Duration
	// RenewInterval is the time between two renewals. Default: 1/4 of Term.
	RenewInterval time.Duration
	// ObserveInterval is the longest time between two reads of a lease held by another
	// node. Default: 1/2 of Term.
	ObserveInterval time.Duration
	// ConfirmTime is how long a holder counts as confirmed after the store has answered a
	// call on its record. Default: 1/10 of Term.
	ConfirmTime time.Duration
	// RetryDelay is the delay after a failed store call. Default: 1/20 of Term.
	RetryDelay time.Duration
	// MaxPause is the longest time assumed between a holder's check of its lease and
	// the arrival of the action at the endpoint. Default: 30s.
	MaxPause time.Duration
	// StandbyDelay is how long a candidate waits after the lease becomes free, so that
	// candidates of lower rank can acquire it first. Default: 0.
	StandbyDelay time.Duration
}

// WithDefaults returns o with defaults for its zero fields.
func (o Options) WithDefaults() Options {
	o.Term = cmp.Or(o.Term, 10*time.Second)
	o.HoldTime = cmp.Or(o.HoldTime, o.Term*2/3)
	o.RenewInterval = cmp.Or(o.RenewInterval, o.Term/4)
	o.ObserveInterval = cmp.Or(o.ObserveInterval, o.Term/2)
	o.ConfirmTime = cmp.Or(o.ConfirmTime, o.Term/10)
	o.RetryDelay = cmp.Or(o.RetryDelay, o.Term/20)
	o.MaxPause = cmp.Or(o.MaxPause, 30*time.Second)
	return o
}

// Validate returns an error for options with which two nodes could hold the lease at once.
func (o Options) Validate() error {
	if o.HoldTime > o.Term*4/5 {
		return fmt.Errorf("lease hold time %v exceeds four fifths of the term %v", o.HoldTime, o.Term)
	}
	if o.RenewInterval >= o.HoldTime {
		return fmt.Errorf("lease renewal interval %v is not shorter than the hold time %v", o.RenewInterval, o.HoldTime)
	}
	return nil
}

// Action is the next step that the driver of a Lease has to perform.
type Action interface{ action() }

// ReadAction requests a read of the record; its result is passed to HandleRead.
type ReadAction struct{}

// PutAction requests a conditional update of the record; its result is passed to HandleWrite.
type PutAction struct {
	Value  []byte
	Expect platformapi.Version
}

// WaitAction requests that Next be called again after Delay.
type WaitAction struct{ Delay time.Duration }

func (ReadAction) action() {}
func (PutAction) action()  {}
func (WaitAction) action() {}

// state determines the next step of a Lease.
type state uint8

const (
	needsRead state = iota // the record has to be read
	observing              // the record is owned by another node or released
	holding                // the record is owned by this node; the lease may have lapsed
)

// Lease is the state machine of one node for one lease. It is not safe for concurrent use.
type Lease struct {
	opts Options
	self Owner

	state     state
	record    Record
	version   platformapi.Version
	firstSeen Instant // when this version was first seen
	retryAt   Instant
	backoff   bool

	era      platformapi.Era
	eraSince Instant // when this node learned of the era
	lastHeld Instant // when Held last returned true; zero for never

	renewedAt    Instant // start of the last successful write as owner
	confirmedAt  Instant // when the store last answered that this node is the owner
	settledAt    Instant
	acquired     bool // the lease was acquired and has not lapsed since
	releasing    bool
	releasedIdle bool
	done         bool

	pending *pendingPut
}

// pendingPut is a write whose outcome is not yet known.
type pendingPut struct {
	record  Record
	started Instant
}

// New returns a Lease for which self is a candidate.
func New(self Owner, opts Options) *Lease {
	return &Lease{opts: opts.WithDefaults(), self: self}
}

// Held returns the fencing token and whether this node holds the lease at now. Call it
// immediately before each action that requires the lease.
func (l *Lease) Held(now Instant) (ident.Epoch, bool) {
	if !l.acquired || l.releasing || l.lapsed(now) {
		return 0, false
	}
	l.lastHeld = now
	return l.record.Epoch, true
}

// HandleEra processes the era of the store that this node knows of; call it before each
// other method. When the era rises, the stored record may be lost or replaced by an earlier
// one: the lease is no longer held, and a write in progress may not be taken for applied.
func (l *Lease) HandleEra(now Instant, era platformapi.Era) {
	if era <= l.era {
		return
	}
	unread := l.era == 0 && l.firstSeen == (Instant{}) && !l.acquired
	l.era, l.eraSince = era, now
	if unread {
		return
	}
	l.acquired, l.pending = false, nil
	l.state, l.backoff = needsRead, false
}

// isOfEra reports whether the record was written in the current era of the store.
func (l *Lease) isOfEra(r Record) bool { return r.Era == l.era }

// Settled reports whether the lease is held and actions of former holders can no longer
// arrive, so that orders may be sent to endpoints that ignore the fencing token.
func (l *Lease) Settled(now Instant) bool {
	_, held := l.Held(now)
	return held && now.Monotonic >= l.settledAt.Monotonic
}

// Confirmed reports whether the lease is held and the store has just said so: a partition of
// this node from it is then most likely not older than ConfirmTime. Actions that a partition may
// hold up and deliver after the next holder's are started only then.
func (l *Lease) Confirmed(now Instant) bool {
	_, held := l.Held(now)
	return held && !now.mayHaveElapsed(l.confirmedAt, l.opts.ConfirmTime)
}

// Record returns the last record read or written.
func (l *Lease) Record() Record { return l.record }

// Released reports whether the release started by Release is complete.
func (l *Lease) Released() bool { return l.done }

// Release starts the release of the lease. The lease is no longer held; the driver calls
// Next until Released returns true. If idle is false, an action of this holder may still
// be in progress, and the next holder waits for MaxPause before it is settled.
func (l *Lease) Release(idle bool) { l.releasing, l.releasedIdle = true, idle }

// Releasing reports whether Release was called.
func (l *Lease) Releasing() bool { return l.releasing }

func (l *Lease) lapsed(now Instant) bool {
	return now.mayHaveElapsed(l.renewedAt, l.opts.HoldTime)
}

// Next returns the action to perform at now.
func (l *Lease) Next(now Instant) Action {
	if l.acquired && l.lapsed(now) {
		l.acquired = false // holding it again requires a new epoch
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

// takeoverAt returns when the observed record may be taken over, without StandbyDelay: at
// once if it is released or absent, else after it has been unchanged for Term. If the store
// was restored since the record was written, there may be a holder of which no record is
// left; it stops within Term. A node that held the lease before another one waits for Term
// as well, so that the holders do not alternate faster than that.
func (l *Lease) takeoverAt() time.Duration {
	at := l.firstSeen.Monotonic
	if !l.record.Released && l.version != 0 {
		at += l.opts.Term
	}
	if l.era > 0 && !l.isOfEra(l.record) {
		at = max(at, l.eraSince.Monotonic+l.opts.Term, l.firstSeen.Monotonic+l.opts.Term)
	}
	if l.lastHeld != (Instant{}) {
		at = max(at, l.lastHeld.Monotonic+l.opts.Term)
	}
	return at
}

// observe takes over the record after takeoverAt and StandbyDelay; until then it waits.
func (l *Lease) observe(now Instant) Action {
	left := l.takeoverAt() + l.opts.StandbyDelay - now.Monotonic
	if left <= 0 {
		return l.write(now, Record{Owner: l.self, Epoch: l.nextEpoch()})
	}
	l.state = needsRead
	wait := min(left, l.opts.ObserveInterval)
	l.retryAt, l.backoff = now.Add(wait), true
	return WaitAction{wait}
}

// renew writes the next renewal when it is due, or the release. A lapsed lease is
// reacquired with a new epoch.
func (l *Lease) renew(now Instant) Action {
	next := l.record
	next.Renewals++
	switch {
	case l.releasing:
		next.Released = true
		next.Unsettled = !l.releasedIdle || now.Monotonic < l.settledAt.Monotonic
	case !l.acquired:
		next.Epoch = l.nextEpoch()
	default:
		if left := l.opts.RenewInterval - (now.Monotonic - l.renewedAt.Monotonic); left > 0 {
			return WaitAction{left}
		}
	}
	return l.write(now, next)
}

// nextEpoch returns the epoch of a new holder. It is above all earlier ones also if the
// record of the last holder is lost: it contains the era, and the revision that is replaced,
// so that two holders of one era never have the same.
func (l *Lease) nextEpoch() ident.Epoch {
	next := l.record.Epoch + 1
	if l.era > 0 {
		next = max(next, ident.Epoch(platformapi.NewVersion(l.era, l.version.Revision()+1)))
	}
	return next
}

func (l *Lease) write(now Instant, r Record) Action {
	r.Era = l.era
	value, err := json.Marshal(r)
	if err != nil {
		panic(errors.Wrap(err, "encode lease")) // all fields of the record can be encoded
	}
	l.pending = &pendingPut{record: r, started: now}
	return PutAction{Value: value, Expect: l.version}
}

// HandleWrite processes the result of a PutAction.
func (l *Lease) HandleWrite(now Instant, version platformapi.Version, err error) {
	switch {
	case err == nil:
		l.applyWrite(now, version)
	case errors.Is(err, platformapi.ErrUnknown):
		l.state = needsRead // a read shows whether the pending write took effect
	case errors.Is(err, platformapi.ErrConflict):
		l.pending = nil
		l.state = needsRead
	default:
		l.pending = nil
		l.retryAt, l.backoff = now.Add(l.opts.RetryDelay), true
	}
}

// applyWrite applies a pending write that took effect. HoldTime counts from its start.
func (l *Lease) applyWrite(now Instant, version platformapi.Version) {
	p := l.pending
	l.pending = nil
	takeover := p.record.Epoch != l.record.Epoch
	noLateActions := (l.version == 0 && l.era == 0 || l.record.Released && !l.record.Unsettled) && l.isOfEra(l.record)
	l.state, l.record, l.version = holding, p.record, version
	l.renewedAt, l.confirmedAt = p.started, now
	if p.record.Released {
		l.acquired, l.done = false, true
		return
	}
	l.acquired = true
	if takeover {
		l.settledAt = p.started
		if !noLateActions {
			l.settledAt = p.started.Add(l.opts.MaxPause)
		}
	}
}

// HandleRead processes the result of a ReadAction. For an absent object err is ErrNotFound.
func (l *Lease) HandleRead(now Instant, object platformapi.Object, err error) {
	var r Record
	switch {
	case errors.Is(err, platformapi.ErrNotFound):
		object = platformapi.Object{}
	case err != nil:
		l.retryAt, l.backoff = now.Add(l.opts.RetryDelay), true
		return
	default:
		if err := json.Unmarshal(object.Value, &r); err != nil {
			// A record that cannot be decoded is treated as held by another node.
			r = Record{Epoch: l.record.Epoch}
		}
	}
	l.handleRecord(now, r, object.Version)
}

// handleRecord processes a record read from the store.
func (l *Lease) handleRecord(now Instant, r Record, version platformapi.Version) {
	if p := l.pending; p != nil && p.record == r {
		l.applyWrite(now, version)
		return
	}
	l.pending = nil
	if epoch, held := l.Held(now); held {
		invariant.Check(r.Epoch != epoch || r.Owner == l.self, invariant.OneHolderPerEpoch,
			"epoch %d is held by %v, but its record is owned by %v", epoch, l.self, r.Owner)
	}
	if r.Owner == l.self && !r.Released && l.isOfEra(r) {
		l.handleOwnRecord(now, r, version)
		return
	}
	if version != l.version || l.firstSeen == (Instant{}) {
		l.firstSeen = now
	}
	r.Epoch = max(r.Epoch, l.record.Epoch)
	l.record, l.version = r, version
	l.state, l.acquired = observing, false
}

// handleOwnRecord processes a record owned by this node. If the version is unchanged, a
// write of unknown outcome had no effect and the lease is still held; otherwise it has to
// be reacquired with a new epoch.
func (l *Lease) handleOwnRecord(now Instant, r Record, version platformapi.Version) {
	l.acquired, l.confirmedAt = l.acquired && version == l.version, now
	l.state, l.record, l.version = holding, r, version
}
