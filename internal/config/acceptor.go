package config

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// Pauses of an acceptance round between two tries.
const (
	minAcceptBackoff = 50 * time.Millisecond
	maxAcceptBackoff = 3 * time.Second
)

// Action is what an acceptance round asks its driver to do next.
type Action interface{ action() }

// ReadAction asks for the accepted object, then the status object, then the
// files. The order matters: a conditional update against versions read before
// the files can never put an older set of files in place of a newer one.
type ReadAction struct{}

// PutAction asks for a conditional update, to be answered with Put.
type PutAction struct {
	Key    platformapi.Key
	Value  []byte
	Expect platformapi.Version
}

// WaitAction asks to wait and then read again.
type WaitAction struct {
	Delay time.Duration
	Cause error
}

// DoneAction ends the round.
type DoneAction struct {
	Accepted Accepted
	Status   Status
	// Err is set where the round can never succeed.
	Err error
}

func (ReadAction) action() {}
func (PutAction) action()  {}
func (WaitAction) action() {}
func (DoneAction) action() {}

// ReadResult answers a ReadAction.
type ReadResult struct {
	Accepted platformapi.Object // Version zero where it does not exist
	Status   platformapi.Object
	Files    []File
	Err      error
}

// Acceptor is one round of acceptance. Any number of rounds may run at once, and
// any may die at any step: the conditional update decides, and the next round
// does what is left. It is not safe for concurrent use.
type Acceptor struct {
	rng      *rand.Rand
	known    ident.Revision
	tries    int
	read     ReadResult
	proposal Proposal
	putting  platformapi.Key
}

// NewAcceptor returns a round; known is the highest revision known to be in force.
func NewAcceptor(known ident.Revision, rng *rand.Rand) *Acceptor {
	return &Acceptor{rng: rng, known: known}
}

// Start returns the first action.
func (a *Acceptor) Start() Action { return ReadAction{} }

// Read takes the answer to a ReadAction.
func (a *Acceptor) Read(r ReadResult) Action {
	if r.Err != nil {
		return a.wait(r.Err)
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
	a.putting = KeyAccepted
	return PutAction{Key: KeyAccepted, Value: value, Expect: r.Accepted.Version}
}

// refuseTooLarge refuses every changed file, as the whole would not fit the store.
func (a *Acceptor) refuseTooLarge(prev Accepted, size int) {
	p := &proposer{prev: prev, files: make(map[string]File), working: make(map[string]File), reasons: make(map[string][]Diagnostic)}
	for _, f := range a.read.Files {
		p.files[f.Name] = f
		p.working[f.Name] = f
	}
	for _, name := range p.changed() {
		d := Diagnostic{File: name, Severity: SeverityError}
		d.Message = errors.Newf("the accepted configuration would have %d bytes; at most %d are allowed", size, platformapi.MaxObjectBytes).Error()
		p.takeBack(name, []Diagnostic{d})
	}
	a.proposal = Proposal{Accepted: prev, Status: p.status(prev, nil)}
}

// Put takes the answer to a PutAction.
func (a *Acceptor) Put(err error) Action {
	switch {
	case err == nil && a.putting == KeyAccepted:
		return a.putStatus()
	case err == nil:
		return a.done()
	case errors.Is(err, platformapi.ErrTooLarge):
		return DoneAction{Err: err}
	default:
		// A conflict means that another round got further; an unknown outcome may
		// mean that this one did. Reading again tells, as rounds are idempotent.
		return a.wait(err)
	}
}

// Waited takes the end of a WaitAction.
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
	a.putting = KeyStatus
	return PutAction{Key: KeyStatus, Value: value, Expect: a.read.Status.Version}
}

func (a *Acceptor) done() Action {
	return DoneAction{Accepted: a.proposal.Accepted, Status: a.proposal.Status}
}

// wait backs off with jitter, so that racing rounds spread out.
func (a *Acceptor) wait(cause error) Action {
	limit := min(minAcceptBackoff<<min(a.tries, 8), maxAcceptBackoff)
	a.tries++
	return WaitAction{Delay: limit/2 + time.Duration(a.rng.Int64N(int64(limit/2))), Cause: cause}
}
