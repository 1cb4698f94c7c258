package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/jujubeshed/jujubeshed/internal/duty"
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/placement"
	"github.com/jujubeshed/jujubeshed/internal/platform"
	"github.com/jujubeshed/jujubeshed/internal/site"
)

const (
	// repeatAfter is the time after which an order whose endpoints have not come is
	// placed again, on top of their boot time.
	repeatAfter = 2 * time.Second
	// refusedFor is how long reclaimable endpoints of a data centre count as not to
	// be had after a refusal.
	refusedFor = 2500 * time.Millisecond
	// retryAfter is the pause after an order that got no answer.
	retryAfter = time.Second
	// calmFor is how long reclaimable endpoints must have been complete before the
	// lasting ones that stood in for them are given back.
	calmFor = 3 * time.Second
)

// Shares of the endpoints that the demand needs.
const (
	// lastingShare is the part that lasting endpoints carry at all times: what is left
	// of a service while all reclaimable ones are being replaced.
	lastingShare = 0.3
	// reserveShare is what is held beyond the need, all of it reclaimable: one of four
	// data centres may lose its reclaimable ones.
	reserveShare = 0.25
	// standInShare is the part of the need up to which lasting endpoints are ordered
	// while reclaimable ones are not to be had.
	standInShare = 0.8
	// minReclaimable is the least number of reclaimable endpoints in a data centre.
	minReclaimable = 1
)

// Planner plans the endpoints of all services that may be scaled. It is not safe
// for use by several goroutines.
type Planner struct {
	services map[ident.Service]site.Service
	usage    func(ident.Service) placement.Usage
	ordered  map[key]order
	calm     map[ident.Service]time.Time
	demand   map[ident.Service]*demand
}

type key struct {
	service ident.Service
	place   placement.Place
}

// order is the last one placed for a service in a place.
type order struct {
	count   int
	at      time.Time
	failed  time.Time // when it got no answer; zero otherwise
	refused time.Time // when there were none to be had; zero otherwise
}

var _ duty.Planner = (*Planner)(nil)

// New returns a planner; usage tells how busy a service is.
func New(usage func(ident.Service) placement.Usage) *Planner {
	return &Planner{
		usage: usage, ordered: make(map[key]order), calm: make(map[ident.Service]time.Time), demand: make(map[ident.Service]*demand),
	}
}

// SetServices takes the services of the configuration.
func (p *Planner) SetServices(services map[ident.Service]site.Service) { p.services = services }

// Reset implements duty.Planner.
func (p *Planner) Reset() {
	clear(p.ordered)
	clear(p.calm)
	clear(p.demand)
}

// Placed implements duty.Planner.
func (p *Planner) Placed(now time.Time, o duty.Order, err error) {
	k := key{o.Service, placement.Place{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}}
	next := order{count: o.Count, at: now}
	switch {
	case errors.Is(err, platform.ErrRefused):
		next.refused = now
	case err != nil:
		next.failed = now
	}
	p.ordered[k] = next
}

// Next implements duty.Planner.
func (p *Planner) Next(now time.Time) (duty.Order, bool) {
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		if s.Scale == nil {
			continue
		}
		u := p.usage(name)
		wanted := p.wanted(now, s, u)
		for _, place := range sortedPlaces(wanted) {
			if o, due := p.due(now, s, place, wanted[place], u.Endpoints[place]); due {
				return o, true
			}
		}
	}
	return duty.Order{}, false
}

// due returns the order that brings a place to the wanted count, unless it was
// placed already.
func (p *Planner) due(now time.Time, s site.Service, place placement.Place, want, have int) (duty.Order, bool) {
	k := key{s.Name, place}
	last, placed := p.ordered[k]
	o := duty.Order{Service: s.Name, DataCentre: place.DataCentre, Count: want, Reclaimable: place.Reclaimable}
	switch {
	case !placed:
		return o, want != have
	case !last.failed.IsZero():
		return o, now.Sub(last.failed) >= retryAfter
	case !last.refused.IsZero():
		return o, now.Sub(last.refused) >= refusedFor && have < want
	case last.count != want:
		return o, true
	default:
		return o, have < want && now.Sub(last.at) >= s.Scale.Boot+repeatAfter
	}
}

// need returns how many endpoints a service needs for its load.
func (p *Planner) need(now time.Time, s site.Service, u placement.Usage) int {
	d := p.demand[s.Name]
	if d == nil {
		d = &demand{}
		p.demand[s.Name] = d
	}
	present := 0
	for _, n := range u.Endpoints {
		present += n
	}
	d.update(now, u.Running, present)
	return d.endpoints(now, u.Slots/max(present, 1))
}

// wanted returns the endpoints that a service should have by place.
func (p *Planner) wanted(now time.Time, s site.Service, u placement.Usage) map[placement.Place]int {
	out := make(map[placement.Place]int)
	need := p.need(now, s, u)
	places := byPrice(s.Scale)
	lasting := max(ceil(lastingShare*float64(need)), len(places))
	spots := ceil((1+reserveShare)*float64(need)) - lasting
	perPlace := max(ceil(float64(spots)/float64(len(places))), minReclaimable)
	missing, present := 0, 0
	for i, dc := range places {
		place, spot := placement.Place{DataCentre: dc}, placement.Place{DataCentre: dc, Reclaimable: true}
		out[place] = clamp(lasting/len(places)+below(i, lasting%len(places)), s.Scale)
		out[spot] = min(perPlace, s.Scale.Max-out[place])
		missing += max(out[spot]-u.Endpoints[spot], 0)
		present += u.Endpoints[place] + u.Endpoints[spot]
	}
	if missing > 0 {
		p.calm[s.Name] = time.Time{}
	} else if p.calm[s.Name].IsZero() {
		p.calm[s.Name] = now
	}
	p.standIn(now, s, u, out, ceil(standInShare*float64(need))-present)
	return out
}

// below returns one for the first n of some places, and zero for the others.
func below(i, n int) int {
	if i < n {
		return 1
	}
	return 0
}

// standIn adds lasting endpoints while there are too few, the cheapest data centres
// first. Those that stand in, or were there at the start, are kept until the
// reclaimable ones have been complete for a while.
func (p *Planner) standIn(now time.Time, s site.Service, u placement.Usage, out map[placement.Place]int, short int) {
	calm := p.calm[s.Name]
	if !calm.IsZero() && now.Sub(calm) >= calmFor {
		return
	}
	places := byPrice(s.Scale)
	for _, dc := range places {
		place := placement.Place{DataCentre: dc}
		coming := p.ordered[key{s.Name, place}].count - u.Endpoints[place]
		short -= max(coming, 0)
		out[place] = max(out[place], u.Endpoints[place], min(p.ordered[key{s.Name, place}].count, s.Scale.Max))
	}
	for short > 0 {
		before := short
		for _, dc := range places {
			place, spot := placement.Place{DataCentre: dc}, placement.Place{DataCentre: dc, Reclaimable: true}
			if short > 0 && out[place]+out[spot] < s.Scale.Max {
				out[place]++
				short--
			}
		}
		if short == before {
			return // every data centre is at its limit
		}
	}
}

func ceil(x float64) int { return int(math.Ceil(x)) }

func clamp(n int, s *site.Scale) int { return min(max(n, s.Min), s.Max) }

// byPrice returns the data centres of a service, the cheapest first.
func byPrice(s *site.Scale) []ident.DataCentre {
	return slices.SortedFunc(maps.Keys(s.Prices), func(a, b ident.DataCentre) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), strings.Compare(string(a), string(b)))
	})
}

// sortedPlaces returns places in a fixed order, lasting ones first.
func sortedPlaces(m map[placement.Place]int) []placement.Place {
	return slices.SortedFunc(maps.Keys(m), func(a, b placement.Place) int {
		if a.Reclaimable != b.Reclaimable {
			if a.Reclaimable {
				return 1
			}
			return -1
		}
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
}
