package attempt

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/verdict"
)

func (m *Machine) notDispatched(now time.Time, ev NotDispatched) []Action {
	a := m.find(ev.Attempt)
	if a == nil {
		return nil
	}
	m.retryAfter = max(m.retryAfter, ev.RetryAfter)
	m.remove(a)
	if len(m.active) > 0 {
		return nil
	}
	m.unsent = unpaid
	if m.costsNoRetry(ev) {
		m.unsent = a.payment
	}
	if m.callerGone {
		return m.giveUp(verdict.CodeDeadline, errCallerGone)
	}
	if ev.Held {
		return m.giveUp(verdict.CodeHeld, ev.Cause)
	}
	if ev.Stopping {
		return m.giveUp(verdict.CodeStopping, ev.Cause)
	}
	if !ev.NoEndpoint && m.mayRetryRefused(now) && m.takeRetry() {
		m.excludeRefused(a)
		return m.dispatch(now, Dispatch{Prefer: m.preferred})
	}
	if m.mayWait() {
		return m.scheduleRetry(now)
	}
	return m.giveUp(verdict.CodeUnavailable, ev.Cause)
}

// takeRetry reports whether another attempt may be sent. It takes a retry from the budget,
// unless the last attempt was not sent.
func (m *Machine) takeRetry() bool {
	switch {
	case m.unsent != unpaid:
		m.next, m.unsent = m.unsent, unpaid
	case m.budget.Take():
		m.next = taken
	default:
		return false
	}
	return true
}

// mayWait reports whether a request that can't be dispatched now waits for an endpoint:
// it is idempotent, so that it can still be completed, and was interrupted by a reclaim,
// by the shutdown of a node or in the middle of its response.
func (m *Machine) mayWait() bool {
	return m.req.Idempotent && (m.migrated || m.offset > 0)
}

// scheduleRetry schedules the next dispatch, for which the retry budget is checked then. All
// endpoints except leaving ones may be chosen again.
func (m *Machine) scheduleRetry(now time.Time) []Action {
	m.excluded = nil
	m.retryDelay = min(max(2*m.retryDelay, retryDelayMin), retryDelayMax)
	m.retryAt = now.Add(m.retryDelay)
	return nil
}

// failed handles the failure of an attempt that may have run.
func (m *Machine) failed(now time.Time, id ident.AttemptID, cause error) []Action {
	a := m.find(id)
	if a == nil {
		return nil
	}
	return m.fail(now, a, cause)
}

func (m *Machine) fail(now time.Time, a *activeAttempt, cause error) []Action {
	m.mayHaveRun = true
	m.remove(a)
	acts := []Action{Cancel{Attempt: a.id, Cause: cause}}
	if len(m.active) > 0 {
		return acts
	}
	if !m.req.Idempotent || !m.mayRetry(now) {
		return append(acts, m.giveUp(verdict.CodeUpstream, cause)...)
	}
	switch {
	case m.isLeaving(a.endpoint):
		m.next = free
		return append(acts, m.redispatch(now, a, "")...)
	case m.takeRetry():
		return append(acts, m.redispatch(now, a, "")...)
	case m.mayWait():
		m.exclude(a)
		return append(acts, m.scheduleRetry(now)...)
	default:
		return append(acts, m.giveUp(verdict.CodeUpstream, cause)...)
	}
}

// Limits of the exponential backoff while no endpoint is available.
const (
	retryDelayMin = 100 * time.Millisecond
	retryDelayMax = 2 * time.Second
)

// redispatch starts another attempt on another endpoint, at the offset delivered so far.
func (m *Machine) redispatch(now time.Time, a *activeAttempt, importFrom ident.AttemptID) []Action {
	m.exclude(a)
	return m.dispatch(now, Dispatch{Prefer: m.preferred, ImportFrom: importFrom})
}

// exclude counts a failed attempt and excludes its endpoint from the next choice. A
// failure on a leaving endpoint is not counted.
func (m *Machine) exclude(a *activeAttempt) {
	if m.preferred == a.endpoint {
		m.preferred = ""
	}
	if m.isLeaving(a.endpoint) {
		return
	}
	m.consecutiveFailures++
	if a.endpoint != "" {
		m.excluded = append(m.excluded, a.endpoint)
	}
}

func (m *Machine) mayRetry(now time.Time) bool {
	return m.consecutiveFailures+1 < m.opts.MaxAttempts && !m.sendLimitReached() && now.Before(m.req.Deadline)
}

// costsNoRetry reports whether another attempt costs no further retry: no endpoint received
// the failed one, so that it adds no load.
func (m *Machine) costsNoRetry(ev NotDispatched) bool {
	return ev.NoEndpoint || ev.NeverSent && m.opts.MaxRefusals > 0
}

// mayRetryRefused reports whether a request that an endpoint did not run may be sent
// to another one.
func (m *Machine) mayRetryRefused(now time.Time) bool {
	if m.opts.MaxRefusals == 0 {
		return m.mayRetry(now)
	}
	return m.refusals < m.opts.MaxRefusals && now.Before(m.req.Deadline)
}

// excludeRefused counts a refusal and excludes its endpoint from the next choice.
func (m *Machine) excludeRefused(a *activeAttempt) {
	if m.opts.MaxRefusals == 0 {
		m.exclude(a)
		return
	}
	m.refusals++
	if a.endpoint != "" {
		m.excluded = append(m.excluded, a.endpoint)
	}
}

func (m *Machine) isLeaving(e ident.EndpointID) bool {
	_, ok := m.terminationTime(e)
	return ok
}

// terminationTime returns the earliest announced termination time of a leaving endpoint.
func (m *Machine) terminationTime(e ident.EndpointID) (time.Time, bool) {
	var at time.Time
	found := false
	for _, l := range m.leaving {
		if l.Endpoint == e && (!found || l.Deadline.Before(at)) {
			at, found = l.Deadline, true
		}
	}
	return at, found
}

// migrateAt returns the latest time at which an attempt on a leaving endpoint is resumed
// elsewhere.
func (m *Machine) migrateAt(a *activeAttempt) (time.Time, bool) {
	at, leaving := m.terminationTime(a.endpoint)
	if !leaving || !m.req.Idempotent {
		return time.Time{}, false
	}
	return at.Add(-m.opts.MigrationMargin), true
}

// migrate resumes elsewhere each attempt that would not end in time on a leaving endpoint.
func (m *Machine) migrate(now time.Time) []Action {
	var acts []Action
	for _, a := range append([]*activeAttempt(nil), m.active...) {
		if m.shouldMigrate(now, a) {
			acts = append(acts, m.migrateAttempt(now, a)...)
		}
	}
	return acts
}

// shouldMigrate reports whether an attempt is to be migrated now. A stream that isn't
// expected to end in time is migrated immediately, as the cost grows with each token.
func (m *Machine) shouldMigrate(now time.Time, a *activeAttempt) bool {
	at, leaving := m.migrateAt(a)
	switch {
	case !leaving || m.sendLimitReached():
		return false
	case !now.Before(at):
		return true
	case !m.req.Stream:
		return false
	case a != m.source:
		return true
	default:
		return m.outlasts(now, a, at)
	}
}

// outlasts reports whether a stream is expected to end after that time.
func (m *Machine) outlasts(now time.Time, a *activeAttempt, by time.Time) bool {
	if m.req.MaxTokens == 0 || m.offset <= a.resumeOffset {
		return false
	}
	timePerToken := now.Sub(a.firstChunkAt) / time.Duration(m.offset-a.resumeOffset)
	left := time.Duration(max(m.req.MaxTokens-m.offset, 0)) * timePerToken
	return now.Add(left).After(by)
}

// migrateAttempt resumes an attempt elsewhere, at no cost to the retry budget. Where the KV
// cache is transferred, the driver cancels the old attempt after the transfer.
func (m *Machine) migrateAttempt(now time.Time, a *activeAttempt) []Action {
	m.remove(a)
	m.migrated, m.mayHaveRun, m.next = true, true, free
	cancel := []Action{Cancel{Attempt: a.id}}
	if len(m.active) > 0 {
		return cancel
	}
	if m.offset > 0 && m.opts.Costs.TransferIsCheaper(m.req.PromptTokens+m.offset) {
		return m.redispatch(now, a, a.id)
	}
	return append(cancel, m.redispatch(now, a, "")...)
}
