package attempt

import (
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
	scratch [4]Action // of the actions on a chunk, the most frequent event

	req    Request
	opts   Options
	budget *Budget

	tries   []*try // under way, in the order of their dispatch
	source  *try   // whose tokens are delivered
	made    int    // attempts so far, elsewhere too
	barren  int    // attempts in a row that brought no token
	refused int    // attempts that provably did not run

	offset int // tokens delivered
	text   strings.Builder
	prefer ident.EndpointID

	excluded   []ident.EndpointID
	leaving    []Leaving
	mayHaveRun bool
	moved      bool      // a reclaim or the stop of a node cut it off
	hedgeAt    time.Time // zero where no hedge is due
	retryAt    time.Time // zero where no dispatch waits
	retryGap   time.Duration
	retryAfter time.Duration
	done       bool
	stats      Stats
}

// try is one attempt under way.
type try struct {
	id       ident.AttemptID
	endpoint ident.EndpointID
	resumed  int // offset at its dispatch
	imported bool
	first    time.Time
	finish   string
}

// New returns the machine of a request.
func New(req Request, opts Options, budget *Budget) *Machine {
	m := &Machine{req: req, opts: opts.withDefaults(), budget: budget}
	m.made, m.offset, m.prefer = req.Resume.Attempts, req.Resume.Offset, req.Resume.Endpoint
	m.mayHaveRun = req.Resume.MayHaveRun
	m.moved = req.Resume.Attempts > 0
	m.text.WriteString(req.Resume.Text)
	return m
}

// Stats returns what happened so far.
func (m *Machine) Stats() Stats { return m.stats }

// Done tells whether the request has ended here.
func (m *Machine) Done() bool { return m.done }

// Step takes an event and returns what is to be done; the slice is valid until the
// next call.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	if m.done {
		m.late(ev)
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
		return m.failed(now, ev.Attempt, fmt.Errorf("answer ended after token %d without its end mark", m.offset))
	case Response:
		return m.response(now, ev)
	case Leaving:
		m.leaving = append(m.leaving, ev)
		return m.move(now)
	case Stop:
		return m.stop()
	case CallerGone:
		return m.callerGone()
	default:
		return m.tick(now)
	}
}

// late counts what comes after the end.
func (m *Machine) late(ev Event) {
	switch ev.(type) {
	case Chunk, *Chunk, Response, End:
		m.stats.LateDropped++
	}
}

func (m *Machine) start(now time.Time) []Action {
	if m.mayHedge() {
		m.hedgeAt = now.Add(m.opts.HedgeAfter)
	}
	return m.dispatch(now, Dispatch{Prefer: m.prefer})
}

func (m *Machine) mayHedge() bool {
	quick := m.req.Class == ident.ClassQuick || m.req.Class == ident.ClassLookup
	return m.req.Idempotent && quick && m.opts.HedgeAfter > 0
}

// dispatch makes an attempt at the current offset. The fields Prefer, ImportFrom
// and Hedge of d are kept.
func (m *Machine) dispatch(now time.Time, d Dispatch) []Action {
	if !now.Before(m.req.Deadline) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("deadline has passed"))
	}
	if !m.req.DispatchBy.IsZero() && !now.Before(m.req.DispatchBy) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("time for the dispatch has passed"))
	}
	invariant.Check(m.req.Idempotent || !m.mayHaveRun, invariant.OrderEffectAtMostOnce,
		"request %q is dispatched again though it may have run", m.req.ID)
	m.made++
	m.stats.Attempts++
	d.Attempt = ident.AttemptID(fmt.Sprintf("%s.%d", m.req.ID, m.made))
	d.Exclude = m.exclusions()
	d.ResumeOffset, d.PrefixText = m.offset, m.text.String()
	m.tries = append(m.tries, &try{id: d.Attempt, resumed: m.offset, imported: d.ImportFrom != ""})
	return []Action{d}
}

// spent tells whether no attempt more may be sent.
func (m *Machine) spent() bool {
	return m.opts.MaxSent > 0 && m.made-m.refused >= m.opts.MaxSent
}

// exclusions lists the endpoints tried since the last token, those that leave,
// and those in use.
func (m *Machine) exclusions() []ident.EndpointID {
	out := append([]ident.EndpointID(nil), m.excluded...)
	for _, l := range m.leaving {
		out = append(out, l.Endpoint)
	}
	for _, t := range m.tries {
		if t.endpoint != "" {
			out = append(out, t.endpoint)
		}
	}
	return out
}

func (m *Machine) picked(now time.Time, ev Picked) []Action {
	t := m.find(ev.Attempt)
	if t == nil {
		return nil
	}
	t.endpoint = ev.Endpoint
	return m.move(now)
}

func (m *Machine) find(id ident.AttemptID) *try {
	for _, t := range m.tries {
		if t.id == id {
			return t
		}
	}
	return nil
}

func (m *Machine) remove(t *try) {
	kept := m.tries[:0]
	for _, o := range m.tries {
		if o != t {
			kept = append(kept, o)
		}
	}
	m.tries = kept
	if m.source == t {
		m.source = nil
	}
}

// giveUp ends the request with an error, at once.
func (m *Machine) giveUp(code verdict.Code, cause error) []Action {
	v := verdict.NotRun
	if m.mayHaveRun || m.offset > 0 || len(m.tries) > 0 {
		v = verdict.MayHaveRun
	}
	acts := m.cancelAll(nil, cause)
	m.done = true
	after := max(m.retryAfter, m.opts.RetryAfter)
	return append(acts, GiveUp{Err: verdict.Wrap(v, code, cause).After(after)})
}

// cancelAll cancels all attempts but keep.
func (m *Machine) cancelAll(keep *try, cause error) []Action {
	var acts []Action
	for _, t := range append([]*try(nil), m.tries...) {
		if t == keep {
			continue
		}
		m.remove(t)
		m.mayHaveRun = true
		acts = append(acts, Cancel{Attempt: t.id, Cause: cause})
	}
	return acts
}

// finish ends the request with a whole answer.
func (m *Machine) finish(t *try, acts ...Action) []Action {
	reason := t.finish
	m.remove(t)
	acts = append(acts, m.cancelAll(nil, nil)...)
	m.done = true
	m.budget.Success()
	return append(acts, Finish{Reason: reason})
}

func (m *Machine) tick(now time.Time) []Action {
	if !now.Before(m.req.Deadline) {
		return m.giveUp(verdict.CodeDeadline, fmt.Errorf("no whole answer by the deadline"))
	}
	if !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		return m.dispatch(now, Dispatch{Prefer: m.prefer})
	}
	acts := m.move(now)
	if m.done || m.hedgeAt.IsZero() || now.Before(m.hedgeAt) {
		return acts
	}
	m.hedgeAt = time.Time{}
	if m.source != nil || len(m.tries) != 1 || m.spent() || !m.budget.Take() {
		return acts
	}
	m.stats.Hedges++
	return append(acts, m.dispatch(now, Dispatch{Hedge: true})...)
}

// Next returns when the next Tick is due; zero where the request has ended.
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
	for _, t := range m.tries {
		if at, ok := m.moveAt(t); ok && at.Before(next) {
			next = at
		}
	}
	return next
}

// stop hands an idempotent request over. Any other ends where it began: its
// answer is recorded, and any node gives it again.
func (m *Machine) stop() []Action {
	if !m.req.Idempotent {
		return nil
	}
	s := State{Attempts: m.made, Offset: m.offset, Text: m.text.String(), Endpoint: m.prefer}
	if m.source != nil {
		s.Endpoint = m.source.endpoint
	}
	acts := m.cancelAll(nil, nil)
	s.MayHaveRun = m.mayHaveRun
	m.done = true
	return append(acts, HandOver{State: s})
}

// callerGone ends an idempotent request, and one whose answer is for its caller
// only. Any other goes on so that its outcome is known.
func (m *Machine) callerGone() []Action {
	if !m.req.Idempotent && !m.req.EndWithCaller {
		return nil
	}
	acts := m.cancelAll(nil, nil)
	return append(acts, m.giveUp(verdict.CodeDeadline, fmt.Errorf("caller has gone"))...)
}
