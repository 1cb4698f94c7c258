package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// departureRetention is how long a departure is kept after the endpoint was last
	// registered. The copies that the store is restored from are some seconds old.
	departureRetention = 2 * time.Minute
	// sharedDepartureAge is the age up to which a departure is sent to all other nodes, which
	// includes several rounds of exchanges. maxSharedDepartures limits their number.
	sharedDepartureAge  = 30 * time.Second
	maxSharedDepartures = 128
)

// Departure states that one incarnation of an endpoint leaves or has ended.
type Departure struct {
	Endpoint ident.EndpointID
	// Started identifies the incarnation.
	Started time.Time
	// Leaving is set if the endpoint has reported that it leaves, which it does not take
	// back. If it is not set, its registration was removed, and is valid again only if the
	// endpoint has registered since.
	Leaving bool
	// Era is the era of the store in which the registration was removed.
	Era platformapi.Era
}

// of reports whether the departure is that of an endpoint's incarnation.
func (d Departure) of(e site.Endpoint) bool {
	return d.Endpoint == e.ID && d.Started.UnixMilli() == e.Started.UnixMilli()
}

// departures are the latest known departures, one for each endpoint.
type departures map[ident.EndpointID]timedDeparture

type timedDeparture struct {
	Departure
	at time.Time
	// fromStore is set if all nodes learn of the departure from the store.
	fromStore bool
}

// add records a departure and reports whether it was new.
func (ds departures) add(now time.Time, d Departure, fromStore bool) bool {
	old, ok := ds[d.Endpoint]
	switch {
	case ok && old.Started.After(d.Started):
		return false // a later incarnation is known
	case ok && old.Started.Equal(d.Started) && (old.Leaving || !d.Leaving && old.Era >= d.Era):
		return false
	}
	ds[d.Endpoint] = timedDeparture{d, now, fromStore}
	return true
}

// find returns the departure of an endpoint's incarnation.
func (ds departures) find(e site.Endpoint) (Departure, bool) {
	d, ok := ds[e.ID]
	return d.Departure, ok && d.of(e)
}

// shared returns the departures to send to other nodes, the latest first. Those that all
// nodes learn of from the store are left out unless all is set.
func (ds departures) shared(now time.Time, all bool) []Departure {
	var recent []timedDeparture
	for _, d := range ds {
		if all || now.Sub(d.at) <= sharedDepartureAge && !d.fromStore {
			recent = append(recent, d)
		}
	}
	slices.SortFunc(recent, func(a, b timedDeparture) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	out := make([]Departure, 0, min(len(recent), maxSharedDepartures))
	for _, d := range recent[:min(len(recent), maxSharedDepartures)] {
		out = append(out, d.Departure)
	}
	return out
}

// expire drops old departures of endpoints that are not registered.
func (ds departures) expire(now time.Time, registered func(ident.EndpointID) bool) {
	for id, d := range ds {
		if now.Sub(d.at) > departureRetention && !registered(id) {
			delete(ds, id)
		}
	}
}
