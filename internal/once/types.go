package once

import (
	"cmp"
	"crypto/sha256"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Key identifies a request by its workspace and idempotency key.
type Key struct {
	Workspace ident.Workspace
	Name      string
}

// MaxKeyBytes is the maximum length of Key.Name in bytes.
const MaxKeyBytes = 255

// Digest is the SHA-256 digest of a request or response body.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest { return sha256.Sum256(body) }

// Options are the settings of a Ledger.
type Options struct {
	// Node and Incarnation identify this process in its claims.
	Node        ident.NodeID
	Incarnation ident.Incarnation
	// Prefix of the names of the ledger's objects. Default: "once/".
	Prefix platformapi.Key
	// Buckets is the number of bucket objects. It must be equal on all nodes and
	// may be changed only while no key is retained. Default: 64.
	Buckets int
	// Retention is how long an entry is kept after its claim's expiry or its outcome,
	// whichever is later. Default: 24h.
	Retention time.Duration
	// ClockSkew is the maximum clock difference between nodes. It is added to the
	// retention. Default: 1m.
	ClockSkew time.Duration
	// MaxDispatchDelay is the maximum time between the arrival of a claim and the
	// dispatch of its request. Default: 5s.
	MaxDispatchDelay time.Duration
	// ClaimGrace is added to the deadline of a claim. A claim that has no outcome by
	// then is marked unconfirmed by the next repeat of its request. Default: 10s.
	ClaimGrace time.Duration
	// MaxInlineBody is the size in bytes up to which a response body is stored in the
	// bucket; a larger one is stored in its own object. Default: 4 KiB.
	MaxInlineBody int
	// SealBytes is the size of the finished entries in a bucket above which they are
	// moved to a segment. Default: 16 KiB.
	SealBytes int
	// MaxBucketBytes is the maximum size of a bucket object. Default:
	// platformapi.MaxObjectBytes.
	MaxBucketBytes int
	// PollInterval is the initial interval at which the bucket is read again while a
	// repeat waits for another node's attempt; it doubles up to PollMax. Defaults:
	// 100ms and 1s.
	PollInterval, PollMax time.Duration
	// RetryMin and RetryMax are the minimum and maximum backoff between calls to a
	// failing store. Defaults: 20ms and 2s.
	RetryMin, RetryMax time.Duration
	// IdleTimeout is the time after which the state of an unused bucket is dropped
	// from memory. Default: 1m.
	IdleTimeout time.Duration
}

func (o Options) withDefaults() Options {
	o.Prefix = cmp.Or(o.Prefix, "once/")
	o.Buckets = cmp.Or(o.Buckets, 64)
	o.Retention = cmp.Or(o.Retention, 24*time.Hour)
	o.ClockSkew = cmp.Or(o.ClockSkew, time.Minute)
	o.MaxDispatchDelay = cmp.Or(o.MaxDispatchDelay, 5*time.Second)
	o.ClaimGrace = cmp.Or(o.ClaimGrace, 10*time.Second)
	o.MaxInlineBody = cmp.Or(o.MaxInlineBody, 4<<10)
	o.SealBytes = cmp.Or(o.SealBytes, 16<<10)
	o.MaxBucketBytes = cmp.Or(o.MaxBucketBytes, platformapi.MaxObjectBytes)
	o.PollInterval = cmp.Or(o.PollInterval, 100*time.Millisecond)
	o.PollMax = cmp.Or(o.PollMax, time.Second)
	o.RetryMin = cmp.Or(o.RetryMin, 20*time.Millisecond)
	o.RetryMax = cmp.Or(o.RetryMax, 2*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, time.Minute)
	return o
}

// HeaderField is one header of a recorded response.
type HeaderField struct {
	Name, Value string
}

// Answer is the recorded response to a request, which is replayed to repeats.
type Answer struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// Omitted is set if the body was too large to store.
	Omitted bool
}

// Event is an input of a Ledger: Claim, Outcome, Withdraw, StoreResult, NodeGone
// or Tick.
type Event interface{ event() }

// Claim requests permission to dispatch a request. It results in one Reply.
type Claim struct {
	Key     Key
	Body    Digest
	Attempt ident.AttemptID // unique across the fleet
	// Deadline of the request.
	Deadline time.Time
}

// Outcome reports the outcome of a request whose claim was granted. It results in
// one Recorded action once it is durable.
type Outcome struct {
	Key     Key
	Attempt ident.AttemptID
	// Verdict is Ran, with Answer set; MayHaveRun; or NotRun, which removes the
	// claim. NotRun is allowed only if it is certain that the attempt did not and
	// will not run.
	Verdict verdict.Verdict
	Answer  Answer
}

// Withdraw cancels a waiting claim, which gets its Reply immediately. A claim that
// was already granted, but whose Reply was not received, is removed.
type Withdraw struct {
	Key     Key
	Attempt ident.AttemptID
}

// NodeGone reports that an incarnation of a node has ended. It is a hint: repeats no
// longer wait for claims of that incarnation that have no outcome, which become
// unconfirmed.
type NodeGone struct {
	Node        ident.NodeID
	Incarnation ident.Incarnation
}

// CallID identifies a store call and its result.
type CallID uint64

// StoreResult is the result of a store call.
type StoreResult struct {
	Call CallID
	// Object returned by a StoreGet. After a StorePut only its Version is set.
	Object platformapi.Object
	// Err is nil or one of the errors of package platformapi; any other error is
	// handled as platformapi.ErrUnknown.
	Err error
}

// Tick triggers time-outs and retries. It is due at the time returned by Ledger.Next.
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

// StoreGet requests a read of an object.
type StoreGet struct {
	Call   CallID
	Object platformapi.Key
}

// StorePut requests a conditional update of an object.
type StorePut struct {
	Call   CallID
	Object platformapi.Key
	Value  []byte
	Expect platformapi.Version
}

// StoreDelete requests the deletion of an object that is no longer referenced. No
// StoreResult is expected.
type StoreDelete struct {
	Object platformapi.Key
}

// ReplyKind is the kind of a Reply.
type ReplyKind uint8

// The kinds of replies to a claim.
const (
	Granted     ReplyKind = iota + 1 // the request may be dispatched before DispatchBy
	Replayed                         // the request ran before; Answer is its recorded response
	Wait                             // another attempt is still running, or its record can't be read now
	Conflict                         // the key was used with a different request body
	Unconfirmed                      // another attempt may have run; its outcome is not known
	Unavailable                      // the claim could not be stored; this attempt did not run
)

var replyNames = [...]string{"", "granted", "replayed", "wait", "conflict", "unconfirmed", "unavailable"}

// String returns the name used in logs and metrics.
func (k ReplyKind) String() string { return replyNames[k] }

// Reply is the result of a Claim.
type Reply struct {
	Key     Key
	Attempt ident.AttemptID
	Kind    ReplyKind
	// DispatchBy is the time before which a Granted request must be dispatched. The
	// holder checks it right before the dispatch, and records NotRun if it has passed.
	DispatchBy time.Time
	Answer     Answer // set for Replayed
	// Err is set unless the claim was Granted or Replayed. Its verdict NotRun means
	// that this attempt did not and will not run, and that no other attempt of its
	// key is known.
	Err *verdict.Error
}

// Recorded reports that an Outcome is durable, or was too late to be recorded.
type Recorded struct {
	Key     Key
	Attempt ident.AttemptID
	// Stale is set if nothing was recorded: the claim was removed, or already has
	// another outcome.
	Stale bool
}

func (StoreGet) action()    {}
func (StorePut) action()    {}
func (StoreDelete) action() {}
func (Reply) action()       {}
func (Recorded) action()    {}
