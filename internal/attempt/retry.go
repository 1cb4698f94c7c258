package attempt

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func (m *Machine) notDispatched(now time.Time, ev NotDispatched) []Action {
	t := m.find(ev.Attempt)
	if t == nil {
		return nil
	}
	m.retryAfter = max(m.retryAfter, ev.RetryAfter)
	m.remove(t)
	if len(m.tries) > 0 {
		return nil
	}
	if !ev.NoEndpoint && m.mayRetryRefused(now) && (m.free(ev) || m.budget.Take()) {
		m.excludeRefused(t)
		return m.dispatch(now, Dispatch{Prefer: m.prefer})
	}
	if m.worthWaiting() {
		return m.wait(now)
	}
	return m.giveUp(verdict.CodeUnavailable, ev.Cause)
}

// worthWaiting tells whether a request waits where it can't be dispatched now: it
// was cut off by a reclaim, by the stop of a node or in the middle of its answer,
// and can still be whole.
func (m *Machine) worthWaiting() bool {
	return m.req.Idempotent && (m.moved || m.offset > 0)
}

// wait lets time pass before the next dispatch. All endpoints but those that
// leave may be chosen again.
func (m *Machine) wait(now time.Time) []Action {
	m.excluded = nil
	m.retryGap = min(max(2*m.retryGap, retryWaitMin), retryWaitMax)
	m.retryAt = now.Add(m.retryGap)
	return nil
}

// failed takes the failure of an attempt that may have run.
func (m *Machine) failed(now time.Time, id ident.AttemptID, cause error) []Action {
	t := m.find(id)
	if t == nil {
		return nil
	}
	return m.fail(now, t, cause)
}

func (m *Machine) fail(now time.Time, t *try, cause error) []Action {
	m.mayHaveRun = true
	m.remove(t)
	acts := []Action{Cancel{Attempt: t.id, Cause: cause}}
	if len(m.tries) > 0 {
		return acts
	}
	if !m.req.Idempotent || !m.mayRetry(now) {
		return append(acts, m.giveUp(verdict.CodeUpstream, cause)...)
	}
	switch {
	case m.isLeaving(t.endpoint) || m.budget.Take():
		return append(acts, m.again(now, t, "")...)
	case m.worthWaiting():
		m.exclude(t)
		return append(acts, m.wait(now)...)
	default:
		return append(acts, m.giveUp(verdict.CodeUpstream, cause)...)
	}
}

// Bounds of the wait for an endpoint.
const (
	retryWaitMin = 100 * time.Millisecond
	retryWaitMax = 2 * time.Second
)

// again dispatches at the offset delivered so far, elsewhere.
func (m *Machine) again(now time.Time, t *try, importFrom ident.AttemptID) []Action {
	m.exclude(t)
	return m.dispatch(now, Dispatch{Prefer: m.prefer, ImportFrom: importFrom})
}

// exclude keeps the endpoint of a failed attempt from being chosen next.
func (m *Machine) exclude(t *try) {
	if m.prefer == t.endpoint {
		m.prefer = ""
	}
	if m.isLeaving(t.endpoint) {
		return
	}
	m.barren++
	if t.endpoint != "" {
		m.excluded = append(m.excluded, t.endpoint)
	}
}

func (m *Machine) mayRetry(now time.Time) bool {
	return m.barren+1 < m.opts.MaxAttempts && !m.spent() && now.Before(m.req.Deadline)
}

// free tells whether another try burdens no endpoint twice.
func (m *Machine) free(ev NotDispatched) bool { return ev.NeverSent && m.opts.MaxRefusals > 0 }

// mayRetryRefused tells whether a request that an endpoint did not run may be sent
// to another one.
func (m *Machine) mayRetryRefused(now time.Time) bool {
	if m.opts.MaxRefusals == 0 {
		return m.mayRetry(now)
	}
	return m.refused < m.opts.MaxRefusals && now.Before(m.req.Deadline)
}

// excludeRefused keeps an endpoint that refused from being chosen next.
func (m *Machine) excludeRefused(t *try) {
	if m.opts.MaxRefusals == 0 {
		m.exclude(t)
		return
	}
	m.refused++
	if t.endpoint != "" {
		m.excluded = append(m.excluded, t.endpoint)
	}
}

func (m *Machine) isLeaving(e ident.EndpointID) bool {
	_, ok := m.leaves(e)
	return ok
}

// leaves returns the earliest time at which an endpoint goes away.
func (m *Machine) leaves(e ident.EndpointID) (time.Time, bool) {
	var at time.Time
	found := false
	for _, l := range m.leaving {
		if l.Endpoint == e && (!found || l.Deadline.Before(at)) {
			at, found = l.Deadline, true
		}
	}
	return at, found
}

// moveAt returns when an attempt on a leaving endpoint is resumed elsewhere.
func (m *Machine) moveAt(t *try) (time.Time, bool) {
	at, leaving := m.leaves(t.endpoint)
	if !leaving || !m.req.Idempotent {
		return time.Time{}, false
	}
	return at.Add(-m.opts.MigrationMargin), true
}

// move resumes elsewhere what would not end in time on a leaving endpoint.
func (m *Machine) move(now time.Time) []Action {
	var acts []Action
	for _, t := range append([]*try(nil), m.tries...) {
		if m.moveDue(now, t) {
			acts = append(acts, m.moveNow(now, t)...)
		}
	}
	return acts
}

// moveDue tells whether an attempt is to be moved now. A stream that isn't
// expected to end in time is moved at once: its cost grows with each token.
func (m *Machine) moveDue(now time.Time, t *try) bool {
	at, leaving := m.moveAt(t)
	switch {
	case !leaving || m.spent():
		return false
	case !now.Before(at):
		return true
	case !m.req.Stream:
		return false
	case t != m.source:
		return true
	default:
		return m.outlasts(now, t, at)
	}
}

// outlasts tells whether a stream is expected to go on after that time.
func (m *Machine) outlasts(now time.Time, t *try, by time.Time) bool {
	if m.req.MaxTokens == 0 || m.offset <= t.resumed {
		return false
	}
	perToken := now.Sub(t.first) / time.Duration(m.offset-t.resumed)
	left := time.Duration(max(m.req.MaxTokens-m.offset, 0)) * perToken
	return now.Add(left).After(by)
}

// moveNow goes on elsewhere; the retry budget is not asked. Where the KV cache is
// moved, the driver cancels the old attempt once that is done.
func (m *Machine) moveNow(now time.Time, t *try) []Action {
	m.remove(t)
	m.moved, m.mayHaveRun = true, true
	cancel := []Action{Cancel{Attempt: t.id}}
	if len(m.tries) > 0 {
		return cancel
	}
	if m.offset > 0 && m.opts.Costs.TransferIsCheaper(m.req.PromptTokens+m.offset) {
		return m.again(now, t, t.id)
	}
	return append(cancel, m.again(now, t, "")...)
}
