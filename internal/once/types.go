package once

import (
	"cmp"
	"crypto/sha256"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Key names a request of a workspace: its idempotency key.
type Key struct {
	Workspace ident.Workspace
	Name      string
}

// MaxKeyBytes is the longest name of a Key.
const MaxKeyBytes = 255

// Digest is the SHA-256 digest of a body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// Options are the settings of a Ledger.
type Options struct {
	// Node and Incarnation name this process in its claims.
	Node        ident.NodeID
	Incarnation ident.Incarnation
	// Prefix of the ledger's objects. Default: "once/".
	Prefix platformapi.Key
	// Buckets is the number of bucket objects; all nodes must agree, and it
	// can be changed only where no key is retained. Default: 64.
	Buckets int
	// Retention is how long a key is kept after its end. Default: 24h.
	Retention time.Duration
	// ClockSkew between nodes is added to the retention. Default: 1m.
	ClockSkew time.Duration
	// DispatchBound is how long after its arrival a claim may be granted and
	// dispatched. Default: 5s.
	DispatchBound time.Duration
	// ClaimGrace is added to the deadline of a claim; after it others take a claim
	// without outcome for lost. Default: 10s.
	ClaimGrace time.Duration
	// MaxInlineBody is the largest answer body kept in a bucket. Default: 4 KiB.
	MaxInlineBody int
	// SealBytes of finished entries are moved from a bucket to a segment. Default:
	// 16 KiB.
	SealBytes int
	// MaxBucketBytes bounds a bucket. Default: platformapi.MaxObjectBytes.
	MaxBucketBytes int
	// PollInterval is how often a claim held by another node is looked at while a
	// repeat waits for it; it doubles up to PollMax. Defaults: 100ms and 1s.
	PollInterval, PollMax time.Duration
	// RetryMin and RetryMax bound the wait between calls to a failing store.
	// Defaults: 20ms and 2s.
	RetryMin, RetryMax time.Duration
	// IdleAfter drops the state of an unused bucket from memory. Default: 1m.
	IdleAfter time.Duration
}

func (o Options) withDefaults() Options {
	o.Prefix = cmp.Or(o.Prefix, "once/")
	o.Buckets = cmp.Or(o.Buckets, 64)
	o.Retention = cmp.Or(o.Retention, 24*time.Hour)
	o.ClockSkew = cmp.Or(o.ClockSkew, time.Minute)
	o.DispatchBound = cmp.Or(o.DispatchBound, 5*time.Second)
	o.ClaimGrace = cmp.Or(o.ClaimGrace, 10*time.Second)
	o.MaxInlineBody = cmp.Or(o.MaxInlineBody, 4<<10)
	o.SealBytes = cmp.Or(o.SealBytes, 16<<10)
	o.MaxBucketBytes = cmp.Or(o.MaxBucketBytes, platformapi.MaxObjectBytes)
	o.PollInterval = cmp.Or(o.PollInterval, 100*time.Millisecond)
	o.PollMax = cmp.Or(o.PollMax, time.Second)
	o.RetryMin = cmp.Or(o.RetryMin, 20*time.Millisecond)
	o.RetryMax = cmp.Or(o.RetryMax, 2*time.Second)
	o.IdleAfter = cmp.Or(o.IdleAfter, time.Minute)
	return o
}

// HeaderField is one header of a recorded answer.
type HeaderField struct {
	Name, Value string
}

// Answer is the response to a request as it is recorded and given again.
type Answer struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// Omitted is set where the body was too large to keep.
	Omitted bool
}

// Event is an input of a Ledger: Claim, Outcome, Withdraw, StoreResult, NodeGone
// or Tick.
type Event interface{ event() }

// Claim asks for the right to dispatch a request. It is answered by one Reply.
type Claim struct {
	Key     Key
	Body    Digest
	Attempt ident.AttemptID // unique across the fleet
	// Deadline is when the request is given up.
	Deadline time.Time
}

// Outcome tells how the request of a granted claim ended. It is answered by one
// Recorded action once it is durable.
type Outcome struct {
	Key     Key
	Attempt ident.AttemptID
	// Verdict is Ran with an Answer; MayHaveRun; or NotRun, which removes the
	// claim and needs proof that the attempt did not and will not run.
	Verdict verdict.Verdict
	Answer  Answer
}

// Withdraw ends the wait for the Reply to a claim; it is answered at once. A claim
// that was granted already, with a Reply that nobody received, is removed.
type Withdraw struct {
	Key     Key
	Attempt ident.AttemptID
}

// NodeGone tells that a node's life has ended. It is a hint: a claim of that life
// without outcome is then reported as unconfirmed instead of waited for.
type NodeGone struct {
	Node        ident.NodeID
	Incarnation ident.Incarnation
}

// CallID matches a store call with its result.
type CallID uint64

// StoreResult is the result of the store call of that ID.
type StoreResult struct {
	Call CallID
	// Object of a StoreGet; of a StorePut only its Version.
	Object platformapi.Object
	// Err is nil or one of the errors of package platform; any other counts as
	// platformapi.ErrUnknown.
	Err error
}

// Tick lets time pass. It is due at the time that Ledger.Next returns.
type Tick struct{}

func (Claim) event()       {}
func (Outcome) event()     {}
func (Withdraw) event()    {}
func (NodeGone) event()    {}
func (StoreResult) event() {}
func (Tick) event()        {}

// Action is an output of a Ledger: StoreGet, StorePut, StoreDelete, Reply or
// Recorded.
type Action interface{ action() }

// StoreGet asks for an object.
type StoreGet struct {
	Call   CallID
	Object platformapi.Key
}

// StorePut asks for a conditional update.
type StorePut struct {
	Call   CallID
	Object platformapi.Key
	Value  []byte
	Expect platformapi.Version
}

// StoreDelete asks for the removal of an object that is no longer needed. It has
// no result.
type StoreDelete struct {
	Object platformapi.Key
}

// ReplyKind is the kind of answer to a claim.
type ReplyKind uint8

// The answers to a claim.
const (
	Granted     ReplyKind = iota + 1 // the request may be dispatched until DispatchBy
	Replayed                         // the request ran before; Answer is what it returned
	Wait                             // another attempt still runs, or its answer can't be read now
	Conflict                         // the key was used with another body
	Unconfirmed                      // another attempt may have run
	Unavailable                      // the claim could not be kept; not run
)

var replyNames = [...]string{"", "granted", "replayed", "wait", "conflict", "unconfirmed", "unavailable"}

// String returns the name used in logs and metrics.
func (k ReplyKind) String() string { return replyNames[k] }

// Reply answers a claim.
type Reply struct {
	Key     Key
	Attempt ident.AttemptID
	Kind    ReplyKind
	// DispatchBy bounds the dispatch of a Granted claim. The holder checks it
	// right before the dispatch, and records NotRun where it has passed.
	DispatchBy time.Time
	Answer     Answer // of Replayed
	// Err is set unless the claim was Granted or Replayed. NotRun says that this
	// attempt did not and will not run, and that no other of its key is known.
	Err *verdict.Error
}

// Recorded answers an Outcome: it is durable, or it came too late.
type Recorded struct {
	Key     Key
	Attempt ident.AttemptID
	// Stale is set where the claim was no longer there; nothing was recorded.
	Stale bool
}

func (StoreGet) action()    {}
func (StorePut) action()    {}
func (StoreDelete) action() {}
func (Reply) action()       {}
func (Recorded) action()    {}
