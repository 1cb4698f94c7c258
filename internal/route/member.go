package route

import (
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
)

// member is the state of one endpoint in one incarnation.
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

	listed          bool
	lastList        uint64 // number of the last host list that contained the endpoint
	leaving         bool
	terminationTime time.Time // for leaving
	slowStartEnd    time.Time // zero if the endpoint was in the first host list

	slot     int // index in the pool's subset, or noSlot
	load     load
	health   health
	inflight []*inflightAttempt
}

// noSlot marks a member outside the candidate subset.
const noSlot = -1

// load is the last load report and this node's dispatches and completions since.
type load struct {
	report    endpoint.LoadReport
	hasReport bool
	at        time.Time // time of the reported state; without a report, of the first dispatch
	// This node's dispatches after at, less those of them that have ended.
	startedSince int
	// Estimated prompt tokens queued at backlogAt.
	backlog   float64
	backlogAt time.Time
	// This node's attempts dispatched up to at that have ended since.
	ended int
}

// inflightAttempt is one attempt of this node in flight.
type inflightAttempt struct {
	id             ident.AttemptID
	m              *member
	at             time.Time // of the dispatch
	uncachedTokens float64   // prompt tokens expected to need prefill
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

// sameIncarnation reports whether the listed endpoint is m in the same incarnation, on
// the same host and with the same service and version.
func (m *member) sameIncarnation(h *platformapi.HostInfo, info platformapi.EndpointInfo) bool {
	return m.host == h.Host && m.incarnation == h.Incarnation &&
		m.service == info.Service && m.version == info.Version
}

// usable reports whether new requests may be sent to the endpoint, apart from
// ejection.
func (m *member) usable() bool {
	return m.listed && !m.leaving && !m.reportsOtherVersion()
}

// reportsOtherVersion reports whether the endpoint's load report names another version
// than the host list, which lags.
func (m *member) reportsOtherVersion() bool {
	return m.load.report.Version != "" && m.load.report.Version != m.version
}

// setReport records a load report and recounts this node's dispatches from the time
// of the report.
func (m *member) setReport(now time.Time, r endpoint.LoadReport, trend backlogTrend) {
	at := now.Add(-r.Age)
	if m.load.hasReport && at.Before(m.load.at) {
		return
	}
	m.load = load{report: r, hasReport: true, at: at, backlog: float64(r.QueuedTokens), backlogAt: at}
	for _, a := range m.inflight {
		if a.at.After(at) {
			m.load.startedSince++
			m.addTokens(a, trend)
		}
	}
}

func (m *member) dispatched(a *inflightAttempt, trend backlogTrend) {
	m.inflight = append(m.inflight, a)
	if m.load.at.IsZero() {
		m.load.at = a.at
	}
	m.load.startedSince++
	m.addTokens(a, trend)
}

// addTokens adds a dispatch to the backlog, together with the tokens that other nodes
// are estimated to send along with it.
func (m *member) addTokens(a *inflightAttempt, trend backlogTrend) {
	m.load.backlog = m.backlog(a.at, trend) + a.uncachedTokens*trend.dispatchFactor
	m.load.backlogAt = a.at
}

func (m *member) finished(a *inflightAttempt) {
	m.inflight = slices.DeleteFunc(m.inflight, func(o *inflightAttempt) bool { return o == a })
	if a.at.After(m.load.at) {
		m.load.startedSince = max(0, m.load.startedSince-1)
		return
	}
	m.load.ended++
}

// slots returns the number of requests that the endpoint serves at once: as reported,
// as configured for the service, or fallback.
func (m *member) slots(configured, fallback int) int {
	switch {
	case m.load.report.MaxRunning > 0:
		return m.load.report.MaxRunning
	case configured > 0:
		return configured
	}
	return fallback
}

// prefillPerSec returns the endpoint's prefill speed in tokens per second.
func (m *member) prefillPerSec(fallback float64) float64 {
	if m.load.report.PrefillPerSec > 0 {
		return m.load.report.PrefillPerSec
	}
	return fallback
}

// running estimates the requests running or queued at the endpoint now: those
// reported, minus those that have ended since, plus the dispatches since. This node's
// own attempts are known exactly, and the result is never less than their number in
// flight.
func (m *member) running(peers peerActivity) float64 {
	l := &m.load
	n := float64(l.report.Running+l.report.Queued) - peers.ended + peers.requests
	n += float64(l.startedSince - l.ended)
	return max(n, float64(len(m.inflight)))
}

// backlogTrend describes how an endpoint's backlog changes.
type backlogTrend struct {
	perSec         float64 // tokens processed per second, minus those that other nodes send
	dispatchFactor float64 // tokens added per token that this node sends, other nodes' included
}

// backlog estimates the prompt tokens queued at the endpoint at now.
func (m *member) backlog(now time.Time, trend backlogTrend) float64 {
	n := m.load.backlog
	if dt := now.Sub(m.load.backlogAt); dt > 0 && n > 0 {
		n -= trend.perSec * dt.Seconds()
	}
	return max(n, 0)
}
