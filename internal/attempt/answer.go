package attempt

import (
	"fmt"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/invariant"
)

// matches tells whether a message answers this request on that attempt. One that
// doesn't is dropped and counted.
func (m *Machine) matches(t *try, e Echo) bool {
	if t == nil {
		m.stats.LateDropped++
		return false
	}
	if e.Request != m.req.ID || e.Attempt != t.id {
		m.stats.Crossed++
		return false
	}
	return true
}

func (m *Machine) chunk(now time.Time, c Chunk) []Action {
	t := m.find(c.Attempt)
	if !m.matches(t, c.Echo) {
		return nil
	}
	if c.Offset > m.offset {
		m.stats.Gaps++
		return m.fail(now, t, fmt.Errorf("token %d came where token %d was due", c.Offset, m.offset))
	}
	if m.isDuplicate(t, c) {
		m.stats.Duplicates++
		return nil
	}
	acts := append(m.scratch[:0], m.choose(now, t)...)
	fresh := c.Tokens[m.offset-c.Offset:]
	if len(fresh) > 0 {
		acts = append(acts, m.emit(t, fresh))
	}
	if c.Finish == "" {
		return acts
	}
	if c.Total > 0 && c.Total != m.offset {
		m.stats.Gaps++
		return append(acts, m.fail(now, t, fmt.Errorf("answer has %d tokens of %d", m.offset, c.Total))...)
	}
	t.finish = c.Finish
	return acts
}

// isDuplicate tells whether a chunk brings nothing new.
func (m *Machine) isDuplicate(t *try, c Chunk) bool {
	end := c.Offset + len(c.Tokens)
	delivered := end == m.offset && len(c.Tokens) > 0 && c.Finish == ""
	return t.finish != "" || end < m.offset || delivered
}

// choose makes t the source of the answer and cancels the others.
func (m *Machine) choose(now time.Time, t *try) []Action {
	if t.first.IsZero() {
		t.first = now
	}
	if m.source == t {
		return nil
	}
	m.source = t
	m.countResume(t)
	m.hedgeAt = time.Time{}
	return m.cancelAll(t, nil)
}

// countResume counts what an attempt that goes on with an answer computes again.
func (m *Machine) countResume(t *try) {
	if t.resumed == 0 {
		return
	}
	m.stats.Resumes++
	if !t.imported {
		m.stats.RecomputedTokens += m.req.PromptTokens + t.resumed
	}
}

func (m *Machine) emit(t *try, tokens []string) Action {
	e := Emit{Offset: m.offset, Tokens: tokens}
	if !m.req.Opaque {
		for _, s := range tokens {
			m.text.WriteString(s)
		}
	}
	m.offset += len(tokens)
	m.barren = 0
	m.excluded = nil
	m.retryGap = 0
	m.prefer = t.endpoint
	if e.Offset+len(tokens) != m.offset || m.source != t {
		invariant.Violated(invariant.OffsetsContiguous, "request %q delivered token %d of attempt %q", m.req.ID, e.Offset, t.id)
	}
	return e
}

func (m *Machine) end(now time.Time, ev End) []Action {
	t := m.find(ev.Attempt)
	if t == nil {
		m.stats.LateDropped++
		return nil
	}
	if t.finish == "" {
		return m.fail(now, t, fmt.Errorf("end mark came after token %d without a finished answer", m.offset))
	}
	return m.finish(t)
}

func (m *Machine) response(now time.Time, r Response) []Action {
	t := m.find(r.Attempt)
	if !m.matches(t, r.Echo) {
		if t == nil {
			return nil
		}
		return m.fail(now, t, fmt.Errorf("answer to request %q came on attempt %q", r.Echo.Request, t.id))
	}
	if m.offset > 0 {
		return m.fail(now, t, fmt.Errorf("status %d in the place of token %d", r.Status, m.offset))
	}
	if m.req.Idempotent && passing(r.Status) && m.mayRetry(now) && m.budget.Take() {
		return m.passOver(now, t, fmt.Errorf("endpoint answered with status %d", r.Status))
	}
	invariant.Check(r.Echo.Request == m.req.ID, invariant.AnswerMatchesRequest,
		"request %q got the answer to %q", m.req.ID, r.Echo.Request)
	return m.finish(t, Respond{Attempt: t.id})
}

// passOver drops an attempt's answer for that of another attempt.
func (m *Machine) passOver(now time.Time, t *try, cause error) []Action {
	m.mayHaveRun = true
	m.remove(t)
	acts := []Action{Cancel{Attempt: t.id, Cause: cause}}
	if len(m.tries) > 0 {
		return acts
	}
	return append(acts, m.again(now, t, "")...)
}

// HTTP statuses that speak of a fault of one endpoint. They stand here because
// package net/http is closed to decision logic.
const (
	statusBadGateway         = 502
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
	statusInternalError      = 500
)

// passing tells whether a status speaks of a fault that another endpoint may not have.
func passing(status int) bool {
	return status == statusInternalError || status == statusBadGateway || status == statusServiceUnavailable || status == statusGatewayTimeout
}
