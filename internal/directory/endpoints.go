package directory

import (
	"slices"
	"strings"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

// MissingRetention is the maximum time that an endpoint that is no longer registered may
// serve as a last resort. Registrations that expired while the store was unavailable are
// back within 2 s.
const MissingRetention = 1800 * time.Millisecond

// Endpoints is the set of registered and missing endpoints. It does no I/O, and is not
// safe for concurrent use.
type Endpoints struct {
	grace   time.Duration
	listed  map[ident.EndpointID]site.Endpoint
	missing map[ident.EndpointID]missing
}

type missing struct {
	endpoint site.Endpoint
	since    time.Time
}

// NewEndpoints returns an empty set. Missing endpoints may serve for the time grace.
func NewEndpoints(grace time.Duration) *Endpoints {
	return &Endpoints{grace: grace, listed: make(map[ident.EndpointID]site.Endpoint), missing: make(map[ident.EndpointID]missing)}
}

// Set records the registration of an endpoint.
func (s *Endpoints) Set(e site.Endpoint) {
	delete(s.missing, e.ID)
	s.listed[e.ID] = e
}

// Remove records that an endpoint is no longer registered. It is then missing, unless it
// was leaving.
func (s *Endpoints) Remove(now time.Time, id ident.EndpointID) {
	e, ok := s.listed[id]
	if !ok {
		return
	}
	delete(s.listed, id)
	if !e.Leaving {
		s.missing[id] = missing{e, now}
	}
}

// Replace sets the complete list of registered endpoints; the others are removed.
func (s *Endpoints) Replace(now time.Time, list []site.Endpoint) {
	seen := make(map[ident.EndpointID]bool, len(list))
	for _, e := range list {
		seen[e.ID] = true
		s.Set(e)
	}
	for id := range s.listed {
		if !seen[id] {
			s.Remove(now, id)
		}
	}
}

// Expire drops the endpoints that have been missing for longer than the grace period. It
// reports whether there were any.
func (s *Endpoints) Expire(now time.Time) bool {
	changed := false
	for id, m := range s.missing {
		if now.Sub(m.since) > s.grace {
			delete(s.missing, id)
			changed = true
		}
	}
	return changed
}

// Listed returns the registered endpoints, ordered by ID.
func (s *Endpoints) Listed() []site.Endpoint {
	out := make([]site.Endpoint, 0, len(s.listed))
	for _, e := range s.listed {
		out = append(out, e)
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
