package attempt

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// matches reports whether a message belongs to this request and this attempt. Messages
// that do not are counted; the caller drops them.
func (m *Machine) matches(a *activeAttempt, e Echo) bool {
	if a == nil {
		m.stats.LateDropped++
		return false
	}
	if e.Request != m.req.ID || e.Attempt != a.id {
		m.stats.Mismatched++
		return false
	}
	return true
}

func (m *Machine) chunk(now time.Time, c Chunk) []Action {
	a := m.find(c.Attempt)
	if !m.matches(a, c.Echo) {
		return nil
	}
	if c.Offset > m.offset {
		m.stats.Gaps++
		return m.fail(now, a, fmt.Errorf("received token %d, expected token %d", c.Offset, m.offset))
	}
	if m.isDuplicate(a, c) {
		m.stats.Duplicates++
		return nil
	}
	acts := append(m.scratch[:0], m.selectSource(now, a)...)
	newTokens := c.Tokens[m.offset-c.Offset:]
	if len(newTokens) > 0 {
		acts = append(acts, m.emit(a, newTokens))
	}
	if c.Finish == "" {
		return acts
	}
	if c.Total > 0 && c.Total != m.offset {
		m.stats.Gaps++
		return append(acts, m.fail(now, a, fmt.Errorf("response has %d of %d tokens", m.offset, c.Total))...)
	}
	a.finishReason = c.Finish
	return acts
}

// isDuplicate reports whether a chunk contains nothing that has not been delivered.
func (m *Machine) isDuplicate(a *activeAttempt, c Chunk) bool {
	end := c.Offset + len(c.Tokens)
	delivered := end == m.offset && len(c.Tokens) > 0 && c.Finish == ""
	return a.finishReason != "" || end < m.offset || delivered
}

// selectSource makes a the source of the response and cancels the other attempts.
func (m *Machine) selectSource(now time.Time, a *activeAttempt) []Action {
	if a.firstChunkAt.IsZero() {
		a.firstChunkAt = now
	}
	if m.source == a {
		return nil
	}
	m.source = a
	m.countResume(a)
	m.hedgeAt = time.Time{}
	return m.cancelAll(a, nil)
}

// countResume counts a resume, and the tokens that it computes again.
func (m *Machine) countResume(a *activeAttempt) {
	if a.resumeOffset == 0 {
		return
	}
	m.stats.Resumes++
	if !a.imported {
		m.stats.RecomputedTokens += m.req.PromptTokens + a.resumeOffset
	}
}

func (m *Machine) emit(a *activeAttempt, tokens []string) Action {
	e := Emit{Offset: m.offset, Tokens: tokens}
	if !m.req.Opaque {
		for _, s := range tokens {
			m.text.WriteString(s)
		}
	}
	m.offset += len(tokens)
	m.consecutiveFailures = 0
	m.excluded = nil
	m.retryDelay = 0
	m.preferred = a.endpoint
	if e.Offset+len(tokens) != m.offset || m.source != a {
		invariant.Violated(invariant.OffsetsContiguous, "request %q: token %d of attempt %q is not the next or not from the source", m.req.ID, e.Offset, a.id)
	}
	return e
}

func (m *Machine) end(now time.Time, ev End) []Action {
	a := m.find(ev.Attempt)
	if a == nil {
		m.stats.LateDropped++
		return nil
	}
	if a.finishReason == "" {
		return m.fail(now, a, fmt.Errorf("end mark after token %d without a finish reason", m.offset))
	}
	return m.finish(a)
}

func (m *Machine) response(now time.Time, r Response) []Action {
	a := m.find(r.Attempt)
	if !m.matches(a, r.Echo) {
		if a == nil {
			return nil
		}
		return m.fail(now, a, fmt.Errorf("response to request %q received on attempt %q", r.Echo.Request, a.id))
	}
	if m.offset > 0 {
		return m.fail(now, a, fmt.Errorf("received status %d, expected token %d", r.Status, m.offset))
	}
	if m.req.Idempotent && retryableStatus(r.Status) && m.mayRetry(now) && m.takeRetry() {
		return m.discardResponse(now, a, fmt.Errorf("endpoint responded with status %d", r.Status))
	}
	invariant.Check(r.Echo.Request == m.req.ID, invariant.AnswerMatchesRequest,
		"request %q received the response to %q", m.req.ID, r.Echo.Request)
	return m.finish(a, Respond{Attempt: a.id})
}

// discardResponse drops the response of an attempt and retries, unless another attempt is
// active.
func (m *Machine) discardResponse(now time.Time, a *activeAttempt, cause error) []Action {
	m.mayHaveRun = true
	m.remove(a)
	acts := []Action{Cancel{Attempt: a.id, Cause: cause}}
	if len(m.active) > 0 {
		return acts
	}
	return append(acts, m.redispatch(now, a, "")...)
}

// HTTP statuses that indicate a fault of one endpoint. They are defined here because
// packages with decision logic must not import net/http.
const (
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
	statusInternalError      = 500
)

// retryableStatus reports whether a status indicates a fault that another endpoint may not have.
func retryableStatus(status int) bool {
	return status == statusInternalError || status == statusBadGateway || status == statusServiceUnavailable || status == statusGatewayTimeout
}
