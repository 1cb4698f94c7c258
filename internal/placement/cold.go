package placement

import (
	"time"

	"github.com/jujubeshed/jujubeshed/internal/endpointlimit"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// An endpoint is cold for some time after it has started, and may become cold again at any
// moment. A node learns of that late: by the endpoint's registration, which is some seconds old.
// An endpoint therefore counts as cold on any evidence that it may be: that it has just appeared,
// is back after it was missing or could not be connected to, or its data centre was evacuated.
// The limits keep what all nodes send it within its bound while it counts as cold.

// Evidence is why an endpoint counts as cold.
type Evidence string

// The kinds of evidence.
const (
	EvidenceRegistration Evidence = "registration"
	EvidenceAppeared     Evidence = "appeared"
	EvidenceReturned     Evidence = "returned"
	EvidenceStarted      Evidence = "started"
	EvidenceUnreachable  Evidence = "unreachable"
	EvidenceEvacuation   Evidence = "evacuation ended"
	EvidencePeer         Evidence = "another node"
)

// ColdEvent states that an endpoint began to count as cold, for a time from then.
type ColdEvent struct {
	Endpoint ident.EndpointID
	Evidence Evidence
	For      time.Duration
}

// maxColdEvents bounds the events that wait to be taken.
const maxColdEvents = 1024

// TakeColdEvents returns the events since the last call.
func (t *Table) TakeColdEvents() []ColdEvent {
	out := t.coldEvents
	t.coldEvents = nil
	return out
}

// coldFor returns for how long an endpoint counts as cold by its new registration e. m is what was
// known of it before; known is set if its incarnation was.
func (t *Table) coldFor(m *member, e site.Endpoint, known, missing bool, s site.Service) (time.Duration, Evidence) {
	switch {
	case s.ColdPerSecond <= 0 || missing:
		return 0, ""
	case !known && t.listed && s.ColdTime >= e.ColdFor:
		return s.ColdTime, EvidenceAppeared
	case known && !m.missingSince.IsZero() && s.ColdTime >= e.ColdFor:
		return s.ColdTime, EvidenceReturned
	case !known || m.ColdFor != e.ColdFor:
		return e.ColdFor, EvidenceRegistration
	default:
		return 0, ""
	}
}

// markCold records that an endpoint counts as cold for d.
func (t *Table) markCold(now time.Time, m *member, s site.Service, d time.Duration, why Evidence) {
	if s.ColdPerSecond <= 0 {
		return
	}
	onlyHere := why == EvidenceUnreachable // all nodes have the other evidence
	if t.limits.MarkCold(now, m.incarnation, t.coldTerms(s), now.Add(d), onlyHere) && len(t.coldEvents) < maxColdEvents {
		t.coldEvents = append(t.coldEvents, ColdEvent{m.ID, why, d})
	}
}

// coldTerms returns how many requests a cold endpoint of a service takes.
func (t *Table) coldTerms(s site.Service) endpointlimit.Cold {
	c := endpointlimit.Cold{PerSecond: s.ColdPerSecond}
	if t.opts.ColdOvershoot > 0 {
		c.Bound = s.ColdPerSecond*t.opts.ColdOvershoot + t.opts.ColdSlack
	}
	return c
}

// MarkStartedCold records that an endpoint, which started at Started, counts as cold for d.
func (t *Table) MarkStartedCold(now time.Time, id ident.EndpointID, d time.Duration) {
	if m := t.members[id]; m != nil {
		t.markCold(now, m, t.service(m.Service).settings, d, EvidenceStarted)
	}
}

// MergeCold records the endpoints that count as cold by the evidence of another node. left is how
// long each remains cold.
func (t *Table) MergeCold(now time.Time, left map[site.IncarnationHash]time.Duration) {
	if len(left) == 0 {
		return
	}
	for _, m := range t.members {
		if d, ok := left[m.incarnation]; ok {
			t.markCold(now, m, t.service(m.Service).settings, d, EvidencePeer)
		}
	}
}

// SetEvacuated sets the data centres to whose endpoints nothing is sent. The endpoints of one that
// returns count as cold.
func (t *Table) SetEvacuated(now time.Time, list []ident.DataCentre) {
	before := t.evacuated
	t.evacuated = make(map[ident.DataCentre]bool, len(list))
	for _, dc := range list {
		t.evacuated[dc] = true
	}
	for _, m := range t.members {
		if before[m.DataCentre] && !t.evacuated[m.DataCentre] {
			s := t.service(m.Service).settings
			t.markCold(now, m, s, s.ColdTime, EvidenceEvacuation)
		}
	}
}
