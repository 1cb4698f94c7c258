package route

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// member is one endpoint in one incarnation.
type member struct {
	id          ident.EndpointID
	hash        uint64
	host        ident.Host
	dc          ident.DataCentre
	service     ident.Service
	version     ident.Version
	address     string
	incarnation ident.Incarnation
	price       float64 // per hour

	listed   bool
	listedIn uint64 // the last host list that had it
	leaving  bool
	deadline time.Time // of leaving
	warmAt   time.Time // end of slow start; zero where it was there at the start

	slot     int // bit in the pool's subset, or noSlot
	load     load
	health   health
	inflight []*work
}

// noSlot marks a member outside the candidate subset.
const noSlot = -1

// load is the last report and this node's own work since.
type load struct {
	report   endpoint.LoadReport
	reported bool
	at       time.Time // when the report was true; before any, the first dispatch
	// This node's dispatches after at.
	sinceCount int
	// Prompt tokens estimated to wait at backlogAt.
	backlog   float64
	backlogAt time.Time
	// Own attempts that the report counts and that have ended since.
	ended int
}

// work is one attempt of this node in flight.
type work struct {
	attempt ident.AttemptID
	m       *member
	at      time.Time
	tokens  float64 // uncached prompt tokens expected
}

func newMember(h *platformapi.HostInfo, info platformapi.EndpointInfo, hash uint64) *member {
	return &member{
		id:          info.ID,
		hash:        hash,
		host:        h.Host,
		dc:          h.DataCentre,
		service:     info.Service,
		version:     info.Version,
		address:     info.Address,
		incarnation: h.Incarnation,
		price:       h.PricePerHour,
		listed:      true,
		slot:        noSlot,
	}
}

// sameLife tells whether the listed endpoint is this one in this incarnation.
func (m *member) sameLife(h *platformapi.HostInfo, info platformapi.EndpointInfo) bool {
	return m.host == h.Host && m.incarnation == h.Incarnation &&
		m.service == info.Service && m.version == info.Version
}

// usable tells whether new work may go to the endpoint at all.
func (m *member) usable() bool {
	return m.listed && !m.leaving && !m.servesOther()
}

// servesOther tells whether the endpoint's own report names another version than
// the host list, which lags.
func (m *member) servesOther() bool {
	return m.load.report.Version != "" && m.load.report.Version != m.version
}

// setReport takes a load report and counts own work anew from its time.
func (m *member) setReport(now time.Time, r endpoint.LoadReport, d drift) {
	at := now.Add(-r.Age)
	if m.load.reported && at.Before(m.load.at) {
		return
	}
	m.load = load{report: r, reported: true, at: at, backlog: float64(r.QueuedTokens), backlogAt: at}
	for _, w := range m.inflight {
		if w.at.After(at) {
			m.load.sinceCount++
			m.addTokens(w, d)
		}
	}
}

func (m *member) dispatched(w *work, d drift) {
	m.inflight = append(m.inflight, w)
	if m.load.at.IsZero() {
		m.load.at = w.at
	}
	m.load.sinceCount++
	m.addTokens(w, d)
}

// addTokens adds a dispatch to the backlog, and what other nodes send along with it.
func (m *member) addTokens(w *work, d drift) {
	m.load.backlog = m.backlog(w.at, d) + w.tokens*d.perDispatch
	m.load.backlogAt = w.at
}

func (m *member) finished(w *work) {
	m.inflight = slices.DeleteFunc(m.inflight, func(o *work) bool { return o == w })
	if w.at.After(m.load.at) {
		m.load.sinceCount = max(0, m.load.sinceCount-1)
		return
	}
	m.load.ended++
}

// slots returns how many requests the endpoint serves at once.
func (m *member) slots(configured, fallback int) int {
	switch {
	case m.load.report.MaxRunning > 0:
		return m.load.report.MaxRunning
	case configured > 0:
		return configured
	}
	return fallback
}

// prefillPerSec returns the endpoint's prefill speed in tokens.
func (m *member) prefillPerSec(fallback float64) float64 {
	if m.load.report.PrefillPerSec > 0 {
		return m.load.report.PrefillPerSec
	}
	return fallback
}

// running estimates the requests at the endpoint now: those reported, less those
// that have likely ended, plus the dispatches since. Own ones are known, and there
// are never fewer than those in flight.
func (m *member) running(others arrivals) float64 {
	l := &m.load
	n := float64(l.report.Running+l.report.Queued) - others.ended + others.requests
	n += float64(l.sinceCount - l.ended)
	return max(n, float64(len(m.inflight)))
}

// drift is how an endpoint's backlog changes.
type drift struct {
	perSec      float64 // tokens worked off, less those that other nodes send
	perDispatch float64 // tokens added for each of this node's, with other nodes'
}

// backlog estimates the prompt tokens that wait at the endpoint at now.
func (m *member) backlog(now time.Time, d drift) float64 {
	n := m.load.backlog
	if dt := now.Sub(m.load.backlogAt); dt > 0 && n > 0 {
		n -= d.perSec * dt.Seconds()
	}
	return max(n, 0)
}
