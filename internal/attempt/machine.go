package attempt

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/invariant"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

// Machine is the state machine of one request. It does no I/O and is not safe
// for concurrent use.
type Machine struct {
	scratch [4]Action // reused for the actions on a chunk, the most frequent event

	req    Request
	opts   Options
	budget *Budget

	active              []*activeAttempt // in the order of their dispatch
	source              *activeAttempt   // the attempt whose tokens are delivered
	attempts            int              // attempts so far, including those made by other nodes
	consecutiveFailures int              // failed attempts since the last delivered token
	refusals            int              // attempts proved not to have run; counted only with MaxRefusals

	offset    int // tokens delivered
	text      strings.Builder
	preferred ident.EndpointID

	excluded   []ident.EndpointID
	leaving    []Leaving
	mayHaveRun bool
	callerGone bool
	migrated   bool      // a reclaim or the shutdown of a node interrupted the request
	hedgeAt    time.Time // zero where no hedge is scheduled
	retryAt    time.Time // zero where no dispatch is scheduled
	retryDelay time.Duration
	retryAfter time.Duration
	// unsent is the payment of the last attempt if it was never sent, so that the next one
	// may have it; next is that of the next attempt.
	unsent, next payment
	done         bool
	stats        Stats
}

// payment is why an attempt may be sent.
type payment uint8

const (
	unpaid payment = iota
	free           // it needs no retry from the budget
	taken          // a retry was taken for it
)

// activeAttempt is an attempt that has been dispatched and has not ended.
type activeAttempt struct {
	id           ident.AttemptID
	endpoint     ident.EndpointID
	resumeOffset int // tokens delivered before its dispatch
	imported     bool
	payment      payment
	firstChunkAt time.Time
	finishReason string
}

// New returns the state machine of a request. The budget is shared with other requests.
func New(req Request, opts Options, budget *Budget) *Machine {
	m := &Machine{req: req, opts: opts.withDefaults(), budget: budget}
	m.attempts, m.offset, m.preferred = req.Resume.Attempts, req.Resume.Offset, req.Resume.Endpoint
	m.mayHaveRun = req.Resume.MayHaveRun
	m.migrated = req.Resume.Attempts > 0
	m.text.WriteString(req.Resume.Text)
	return m
}

// Stats returns the counts so far.
func (m *Machine) Stats() Stats { return m.stats }

// Done reports whether the request has ended on this node.
func (m *Machine) Done() bool { return m.done }

// Step processes an event and returns the actions to perform. The slice is valid until
// the next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.done {
		m.countLate(ev)
		return nil
	}
	switch ev := ev.(type) {
	case Start:
		return m.start(now)
	case Picked:
		return m.picked(now, ev)
	case NotDispatched:
		return m.notDispatched(now, ev)
	case Failed:
		return m.failed(now, ev.Attempt, ev.Cause)
	case Chunk:
		return m.chunk(now, ev)
	case *Chunk:
		return m.chunk(now, *ev)
	case End:
		return m.end(now, ev)
	case Truncated:
		return m.failed(now, ev.Attempt, fmt.Errorf("response ended after token %d without an end mark", m.offset))
	case Response:
		return m.response(now, ev)
	case Leaving:
		m.leaving = append(m.leaving, ev)
		return m.migrate(now)
	case Stop:
		return m.stop()
	case Terminate:
		return m.giveUp(verdict.CodeStopping, errTerminated)
	case CallerGone:
		return m.callerLeft()
	default:
		return m.tick(now)
	}
}

// countLate counts messages that arrive after the request has ended.
func (m *Machine) countLate(ev Event) {
	switch ev.(type) {
	case Chunk, *Chunk, Response, End:
		m.stats.LateDropped++
	}
}

func (m *Machine) start(now time.Time) []Action {
	if m.mayHedge() {
		m.hedgeAt = now.Add(m.opts.HedgeAfter)
	}
	m.next = free
	return m.dispatch(now, Dispatch{Prefer: m.preferred})
}

func (m *Machine) mayHedge() bool {
	quick := m.req.Class == ident.ClassQuick || m.req.Class == ident.ClassLookup
	return m.req.Idempotent && quick && m.opts.HedgeAfter > 0
}

// dispatch starts an attempt at the current offset. The fields Prefer, ImportFrom
// and Hedge of d are passed through.
func (m *Machine) dispatch(now time.Time, d Dispatch) []Action {
	if !now.Before(m.req.Deadline) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("deadline has passed"))
	}
	if !m.req.DispatchBy.IsZero() && !now.Before(m.req.DispatchBy) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("dispatch deadline has passed"))
	}
	invariant.Check(m.req.Idempotent || !m.mayHaveRun, invariant.OrderEffectAtMostOnce,
		"request %q is dispatched again although it may have run", m.req.ID)
	m.attempts++
	m.stats.Attempts++
	d.Attempt = ident.AttemptID(fmt.Sprintf("%s.%d", m.req.ID, m.attempts))
	d.Exclude = m.exclusions()
	d.ResumeOffset, d.PrefixText = m.offset, m.text.String()
	m.active = append(m.active, &activeAttempt{id: d.Attempt, resumeOffset: m.offset, imported: d.ImportFrom != "", payment: m.next})
	m.next = unpaid
	return []Action{d}
}

// sendLimitReached reports whether MaxSent allows no further attempt.
func (m *Machine) sendLimitReached() bool {
	return m.opts.MaxSent > 0 && m.attempts-m.refusals >= m.opts.MaxSent
}

// exclusions returns the endpoints tried since the last token, the leaving endpoints
// and those of the active attempts.
func (m *Machine) exclusions() []ident.EndpointID {
	out := append([]ident.EndpointID(nil), m.excluded...)
	for _, l := range m.leaving {
		out = append(out, l.Endpoint)
	}
	for _, a := range m.active {
		if a.endpoint != "" {
			out = append(out, a.endpoint)
		}
	}
	return out
}

func (m *Machine) picked(now time.Time, ev Picked) []Action {
	a := m.find(ev.Attempt)
	if a == nil {
		return nil
	}
	a.endpoint = ev.Endpoint
	return m.migrate(now)
}

func (m *Machine) find(id ident.AttemptID) *activeAttempt {
	for _, a := range m.active {
		if a.id == id {
			return a
		}
	}
	return nil
}

func (m *Machine) remove(a *activeAttempt) {
	remaining := m.active[:0]
	for _, o := range m.active {
		if o != a {
			remaining = append(remaining, o)
		}
	}
	m.active = remaining
	if m.source == a {
		m.source = nil
	}
}

// giveUp ends the request immediately with an error.
func (m *Machine) giveUp(code verdict.Code, cause error) []Action {
	v := verdict.NotRun
	if m.mayHaveRun || m.offset > 0 || len(m.active) > 0 {
		v = verdict.MayHaveRun
	}
	acts := m.cancelAll(nil, cause)
	m.close()
	after := max(m.retryAfter, m.opts.RetryAfter)
	return append(acts, GiveUp{Err: verdict.Wrap(v, code, cause).After(after)})
}

// cancelAll cancels all attempts except keep.
func (m *Machine) cancelAll(keep *activeAttempt, cause error) []Action {
	var acts []Action
	for _, a := range append([]*activeAttempt(nil), m.active...) {
		if a == keep {
			continue
		}
		m.remove(a)
		m.mayHaveRun = true
		acts = append(acts, Cancel{Attempt: a.id, Cause: cause})
	}
	return acts
}

// close ends the request on this node and returns a retry that was not used.
func (m *Machine) close() {
	m.done = true
	if m.unsent == taken {
		m.budget.Return()
	}
}

// finish ends the request with a complete response.
func (m *Machine) finish(a *activeAttempt, acts ...Action) []Action {
	reason := a.finishReason
	m.remove(a)
	acts = append(acts, m.cancelAll(nil, nil)...)
	m.close()
	m.budget.Success()
	return append(acts, Finish{Reason: reason})
}

func (m *Machine) tick(now time.Time) []Action {
	if !now.Before(m.req.Deadline) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("no complete response by the deadline"))
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		if !m.takeRetry() {
			m.retryAt = now.Add(retryDelayMin)
			return nil
		}
		return m.dispatch(now, Dispatch{Prefer: m.preferred})
	}
	acts := m.migrate(now)
	if m.done || m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return acts
	}
	m.hedgeAt = time.Time{}
	if m.source != nil || len(m.active) != 1 || m.sendLimitReached() || !m.takeRetry() {
		return acts
	}
	m.stats.Hedges++
	return append(acts, m.dispatch(now, Dispatch{Hedge: true})...)
}

// Next returns the time at which the next Tick is due, or zero if the request has ended.
func (m *Machine) Next() time.Time {
	if m.done {
		return time.Time{}
	}
	next := m.req.Deadline
	for _, at := range []time.Time{m.hedgeAt, m.retryAt} {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	for _, a := range m.active {
		if at, ok := m.migrateAt(a); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// stop hands an idempotent request over to another node. Any other request ends on this
// node: its response is recorded, and any node can replay it.
func (m *Machine) stop() []Action {
	if !m.req.Idempotent {
		return nil
	}
	s := State{Attempts: m.attempts, Offset: m.offset, Text: m.text.String(), Endpoint: m.preferred}
	if m.source != nil {
		s.Endpoint = m.source.endpoint
	}
	acts := m.cancelAll(nil, nil)
	s.MayHaveRun = m.mayHaveRun
	m.close()
	return append(acts, HandOver{State: s})
}

var (
	errCallerGone = errors.New("caller disconnected")
	errTerminated = errors.New("node exits before the response")
)

// callerLeft ends an idempotent request, and one with EndWithCaller. Any other continues as long
// as an attempt may run, so that its outcome becomes known, and isn't dispatched again.
func (m *Machine) callerLeft() []Action {
	m.callerGone = true
	if !m.req.Idempotent && !m.req.EndWithCaller && len(m.active) > 0 {
		return nil
	}
	acts := m.cancelAll(nil, nil)
	return append(acts, m.giveUp(verdict.CodeDeadline, errCallerGone)...)
}
