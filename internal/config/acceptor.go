package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Limits of the backoff between two attempts of an acceptance round.
const (
	minAcceptBackoff = 50 * time.Millisecond
	maxAcceptBackoff = 3 * time.Second
)

// Action is the next step that the driver of an acceptance round must perform.
type Action interface{ action() }

// ReadAction requests the accepted object, then the status object, then the files,
// to be answered with Read. The order matters: a conditional update against versions
// read before the files can never replace a newer set of files by an older one.
type ReadAction struct{}

// PutAction requests a conditional update, to be answered with Put.
type PutAction struct {
	Key    platformapi.Key
	Value  []byte
	Expect platformapi.Version
}

// WaitAction requests a wait of Delay, to be answered with Waited.
type WaitAction struct {
	Delay time.Duration
	Cause error
}

// DoneAction ends the round.
type DoneAction struct {
	Accepted Accepted
	Status   Status
	// Err is set if the round failed permanently.
	Err error
}

func (ReadAction) action() {}
func (PutAction) action()  {}
func (WaitAction) action() {}
func (DoneAction) action() {}

// ReadResult is the result of a ReadAction.
type ReadResult struct {
	Accepted platformapi.Object // version zero if it does not exist
	Status   platformapi.Object
	Files    []File
	Err      error
}

// Acceptor is one acceptance round. Any number of rounds may run concurrently, and each
// may stop at any step: the conditional update decides between them, and the next
// round completes what is missing. An Acceptor is not safe for concurrent use.
type Acceptor struct {
	rng        *rand.Rand
	known      ident.Revision
	attempts   int
	read       ReadResult
	proposal   Proposal
	pendingKey platformapi.Key
}

// NewAcceptor returns a new round. known is the highest revision known to be in force.
func NewAcceptor(known ident.Revision, rng *rand.Rand) *Acceptor {
	return &Acceptor{rng: rng, known: known}
}

// Start returns the first action.
func (a *Acceptor) Start() Action { return ReadAction{} }

// Read handles the result of a ReadAction and returns the next action.
func (a *Acceptor) Read(r ReadResult) Action {
	if r.Err != nil {
		return a.backOff(r.Err)
	}
	prev, err := DecodeAccepted(r.Accepted.Value)
	if err != nil {
		return DoneAction{Err: err}
	}
	files := slices.DeleteFunc(slices.Clone(r.Files), func(f File) bool { return !ValidFileName(f.Name) })
	r.Files = files
	a.read = r
	a.proposal = Propose(prev, files, a.known)
	if !a.proposal.Changed {
		return a.putStatus()
	}
	value, err := a.proposal.Accepted.Encode()
	if err != nil {
		return DoneAction{Err: err}
	}
	if len(value) > platformapi.MaxObjectBytes {
		a.refuseTooLarge(prev, len(value))
		return a.putStatus()
	}
	a.pendingKey = KeyAccepted
	return PutAction{Key: KeyAccepted, Value: value, Expect: r.Accepted.Version}
}

// refuseTooLarge refuses every changed file, as the accepted object would exceed the
// maximum object size of the store.
func (a *Acceptor) refuseTooLarge(prev Accepted, size int) {
	p := &proposer{prev: prev, files: make(map[string]File), candidates: make(map[string]File), reasons: make(map[string][]Diagnostic)}
	for _, f := range a.read.Files {
		p.files[f.Name] = f
		p.candidates[f.Name] = f
	}
	for _, name := range p.changed() {
		d := Diagnostic{File: name, Severity: SeverityError}
		d.Message = errors.Newf("the accepted configuration would have %d bytes; at most %d are allowed", size, platformapi.MaxObjectBytes).Error()
		p.revert(name, []Diagnostic{d})
	}
	a.proposal = Proposal{Accepted: prev, Status: p.status(prev, nil)}
}

// Put handles the result of a PutAction and returns the next action.
func (a *Acceptor) Put(err error) Action {
	switch {
	case err == nil && a.pendingKey == KeyAccepted:
		return a.putStatus()
	case err == nil:
		return a.done()
	case errors.Is(err, platformapi.ErrTooLarge):
		return DoneAction{Err: err}
	default:
		// A conflict means that another round has written; after an unknown outcome
		// this round may have written. As rounds are idempotent, read again in both cases.
		return a.backOff(err)
	}
}

// Waited handles the end of a WaitAction and returns the next action.
func (a *Acceptor) Waited() Action { return ReadAction{} }

func (a *Acceptor) putStatus() Action {
	have, err := DecodeStatus(a.read.Status.Value)
	want := a.proposal.Status
	if err == nil && have.Revision == want.Revision && have.FilesDigest == want.FilesDigest && a.read.Status.Version != 0 {
		return a.done()
	}
	value, err := want.Encode()
	if err != nil {
		return DoneAction{Err: err}
	}
	a.pendingKey = KeyStatus
	return PutAction{Key: KeyStatus, Value: value, Expect: a.read.Status.Version}
}

func (a *Acceptor) done() Action {
	return DoneAction{Accepted: a.proposal.Accepted, Status: a.proposal.Status}
}

// backOff returns a WaitAction with exponential backoff and jitter, so that concurrent
// rounds don't retry together.
func (a *Acceptor) backOff(cause error) Action {
	limit := min(minAcceptBackoff<<min(a.attempts, 8), maxAcceptBackoff)
	a.attempts++
	return WaitAction{Delay: limit/2 + time.Duration(a.rng.Int64N(int64(limit/2))), Cause: cause}
}
