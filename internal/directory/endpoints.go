package directory

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// MissingRetention is the maximum time that an endpoint that is no longer registered
	// may serve as a last resort. Registrations that expired while the store was
	// unavailable are back within 2 s.
	MissingRetention = 1800 * time.Millisecond
	// DefaultDoubtTime is the time after which the store has removed the registration of an
	// endpoint that does not renew it: three heartbeats of 1.2 s, with a margin.
	DefaultDoubtTime = 4500 * time.Millisecond
)

// Endpoints is the set of registered and missing endpoints. It does no I/O, and is not
// safe for concurrent use.
//
// A store that was restored from a copy lists endpoints again that have left since the copy
// was made. An endpoint that had reported that it leaves stays leaving. One whose
// registration was removed in an earlier era is in doubt: it is not used until it registers
// again, or until the store would have removed it.
type Endpoints struct {
	grace      time.Duration
	doubtTime  time.Duration
	listed     map[ident.EndpointID]registration
	missing    map[ident.EndpointID]missing
	doubtful   map[ident.EndpointID]doubtful
	departures departures
	era        platformapi.Era // of the latest objects
}

// registration is a registered endpoint. confirmed is set if it was received as a change,
// that is, written in this era, and not only as a part of all objects.
type registration struct {
	endpoint  site.Endpoint
	confirmed bool
}

type missing struct {
	endpoint site.Endpoint
	since    time.Time
}

type doubtful struct {
	endpoint site.Endpoint
	until    time.Time
}

// NewEndpoints returns an empty set. Missing endpoints may serve for the time grace.
func NewEndpoints(grace, doubtTime time.Duration) *Endpoints {
	return &Endpoints{
		grace: grace, doubtTime: doubtTime,
		listed:     make(map[ident.EndpointID]registration),
		missing:    make(map[ident.EndpointID]missing),
		doubtful:   make(map[ident.EndpointID]doubtful),
		departures: make(departures),
	}
}

// Set records that an endpoint has registered or changed its registration.
func (s *Endpoints) Set(now time.Time, e site.Endpoint) { s.list(now, e, true) }

// list adds an endpoint to those registered. It marks the endpoint as leaving if it was
// leaving before in the same incarnation; an earlier removal no longer counts.
func (s *Endpoints) list(now time.Time, e site.Endpoint, confirmed bool) {
	if d, ok := s.departures.find(e); ok {
		e.Leaving = e.Leaving || d.Leaving
		if !d.Leaving {
			delete(s.departures, e.ID)
		}
	}
	if e.Leaving {
		s.departures.add(now, departureOf(e, true, s.era), true)
	}
	delete(s.missing, e.ID)
	delete(s.doubtful, e.ID)
	s.listed[e.ID] = registration{e, confirmed}
}

func departureOf(e site.Endpoint, leaving bool, era platformapi.Era) Departure {
	return Departure{Endpoint: e.ID, Started: e.Started, Leaving: leaving, Era: era}
}

// Remove records that an endpoint is no longer registered. It is then missing, unless it
// was leaving.
func (s *Endpoints) Remove(now time.Time, id ident.EndpointID) {
	delete(s.doubtful, id)
	r, ok := s.listed[id]
	if !ok {
		return
	}
	delete(s.listed, id)
	s.departures.add(now, departureOf(r.endpoint, false, s.era), true)
	if !r.endpoint.Leaving {
		s.missing[id] = missing{r.endpoint, now}
	}
}

// Replace sets the complete list of registered endpoints in an era of the store; the others
// are removed.
func (s *Endpoints) Replace(now time.Time, era platformapi.Era, list []site.Endpoint) {
	s.era = max(s.era, era)
	seen := make(map[ident.EndpointID]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		if d, ok := s.departures.find(e); ok && !d.Leaving && d.Era < s.era {
			s.doubt(now, e)
			continue
		}
		s.list(now, e, false)
	}
	for id := range s.listed {
		if !seen[id] {
			s.Remove(now, id)
		}
	}
	for id := range s.doubtful {
		if !seen[id] {
			delete(s.doubtful, id)
		}
	}
}

// doubt keeps an endpoint from being used for doubtTime.
func (s *Endpoints) doubt(now time.Time, e site.Endpoint) {
	delete(s.listed, e.ID)
	if _, ok := s.doubtful[e.ID]; !ok {
		s.doubtful[e.ID] = doubtful{e, now.Add(s.doubtTime)}
	}
}

// RecordDepartures records departures that another node or an endpoint itself has reported.
// It returns whether the registered endpoints changed.
func (s *Endpoints) RecordDepartures(now time.Time, list []Departure) bool {
	changed := false
	for _, d := range list {
		if m, ok := s.missing[d.Endpoint]; ok && d.Leaving && d.of(m.endpoint) {
			delete(s.missing, d.Endpoint) // it must not serve as a last resort
			changed = true
		}
		r, ok := s.listed[d.Endpoint]
		current := ok && d.of(r.endpoint)
		if !d.Leaving && current && (r.confirmed || d.Era >= s.era) {
			continue // it has registered again
		}
		if !s.departures.add(now, d, false) || !current {
			continue
		}
		changed = true
		if d.Leaving {
			s.list(now, r.endpoint, r.confirmed)
		} else {
			s.doubt(now, r.endpoint)
		}
	}
	return changed
}

// Departures returns the departures to send to other nodes, which these don't learn of from
// the store.
func (s *Endpoints) Departures(now time.Time) []Departure { return s.departures.shared(now, false) }

// AllDepartures returns the departures to send to a node that starts: the store may have been
// restored, and list endpoints that have left.
func (s *Endpoints) AllDepartures(now time.Time) []Departure { return s.departures.shared(now, true) }

// Expire drops the endpoints that have been missing for longer than the grace period, and
// lists those whose doubt has ended. It reports whether there were any.
func (s *Endpoints) Expire(now time.Time) bool {
	changed := false
	for id, m := range s.missing {
		if now.Sub(m.since) > s.grace {
			delete(s.missing, id)
			changed = true
		}
	}
	for id, d := range s.doubtful {
		if now.After(d.until) {
			delete(s.departures, id)
			s.list(now, d.endpoint, true)
			changed = true
		}
	}
	s.departures.expire(now, func(id ident.EndpointID) bool {
		_, ok := s.listed[id]
		return ok
	})
	return changed
}

// Listed returns the registered endpoints, ordered by ID.
func (s *Endpoints) Listed() []site.Endpoint {
	out := make([]site.Endpoint, 0, len(s.listed))
	for _, r := range s.listed {
		out = append(out, r.endpoint)
	}
	return sortByID(out)
}

// Missing returns the endpoints that may serve as a last resort, ordered by ID.
func (s *Endpoints) Missing() []site.Endpoint {
	out := make([]site.Endpoint, 0, len(s.missing))
	for _, m := range s.missing {
		out = append(out, m.endpoint)
	}
	return sortByID(out)
}

func sortByID(list []site.Endpoint) []site.Endpoint {
	slices.SortFunc(list, func(a, b site.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
