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
	"github.com/jujubeshed/jujubeshed/internal/platformapi"
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
	// calmFor is how long reclaimable endpoints must be back before the lasting ones
	// that stood in for them are given up.
	calmFor = 3 * time.Second
)

// Shares of the endpoints that the demand needs.
const (
	// lastingShare is the part that lasting endpoints carry at all times: what is left
	// of a service while all reclaimable ones are being replaced.
	lastingShare = 0.3
	// reserveShare is what is held beyond the need, all of it reclaimable and cheap:
	// data centres may lose theirs.
	reserveShare = 0.6
	// standInShare is the part of the need up to which lasting endpoints are ordered
	// while reclaimable ones are not to be had.
	standInShare = 0.8
	// dryShare is the part of the need that lasting endpoints carry while reclaimable
	// ones are refused: those that are left may go at any moment, and a lasting one
	// takes longer to boot than a notice lasts.
	dryShare = 0.7
	// minReclaimable is the least number of reclaimable endpoints in a data centre.
	minReclaimable = 1
)

// Planner plans the endpoints of all services that may be scaled. It is not safe
// for use by several goroutines.
type Planner struct {
	services func() map[ident.Service]site.Service
	usage    func(ident.Service) placement.Usage
	ordered  map[key]order
	standing map[ident.Service]standing
	demand   map[ident.Service]*demand
}

// standing is the number of lasting endpoints that stand in, and when there were
// last none too many of them.
type standing struct {
	count  int
	enough time.Time
}

type key struct {
	service ident.Service
	place   placement.CapacityPool
}

// order is the last one placed for a service in a place.
type order struct {
	count   int
	at      time.Time
	failed  time.Time // when it got no answer; zero otherwise
	refused time.Time // when there were none to be had; zero otherwise
}

var _ duty.Planner = (*Planner)(nil)

// New returns a planner. Services returns those of the configuration in force, and
// usage tells how busy one is.
func New(services func() map[ident.Service]site.Service, usage func(ident.Service) placement.Usage) *Planner {
	return &Planner{
		services: services, usage: usage, ordered: make(map[key]order), standing: make(map[ident.Service]standing),
		demand: make(map[ident.Service]*demand),
	}
}

// Reset implements duty.Planner.
func (p *Planner) Reset() {
	clear(p.ordered)
	clear(p.standing)
	clear(p.demand)
}

// OrderDone implements duty.Planner.
func (p *Planner) OrderDone(now time.Time, o duty.EndpointOrder, err error) {
	k := key{o.Service, placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}}
	next := order{count: o.Count, at: now}
	switch {
	case errors.Is(err, platformapi.ErrRefused):
		next.refused = now
	case err != nil:
		next.failed = now
	}
	p.ordered[k] = next
}

// Next implements duty.Planner.
func (p *Planner) Next(now time.Time) (duty.EndpointOrder, bool) {
	services := p.services()
	for _, name := range slices.Sorted(maps.Keys(services)) {
		s := services[name]
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
	return duty.EndpointOrder{}, false
}

// due returns the order that brings a place to the wanted count, unless it was
// placed already.
func (p *Planner) due(now time.Time, s site.Service, place placement.CapacityPool, want, have int) (duty.EndpointOrder, bool) {
	k := key{s.Name, place}
	last, placed := p.ordered[k]
	o := duty.EndpointOrder{Service: s.Name, DataCentre: place.DataCentre, Count: want, Reclaimable: place.Reclaimable}
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

// need returns how many endpoints a service needs for its load, and whether that is
// known yet.
func (p *Planner) need(now time.Time, s site.Service, u placement.Usage) (int, bool) {
	d := p.demand[s.Name]
	if d == nil {
		d = &demand{}
		p.demand[s.Name] = d
	}
	present := 0
	for _, n := range u.Endpoints {
		present += n
	}
	d.update(now, u.Running, present, u.Slots/max(present, 1))
	return d.endpoints(), d.settled(now)
}

// wanted returns the endpoints that a service should have by place.
func (p *Planner) wanted(now time.Time, s site.Service, u placement.Usage) map[placement.CapacityPool]int {
	out := make(map[placement.CapacityPool]int)
	need, known := p.need(now, s, u)
	if !known {
		return nil
	}
	places := byPrice(s.Scale)
	lasting := max(ceil(lastingShare*float64(need)), len(places))
	spots := ceil((1+reserveShare)*float64(need)) - lasting
	perPlace := max(ceil(float64(spots)/float64(len(places))), minReclaimable)
	reclaimable := 0
	for i, dc := range places {
		place, spot := placement.CapacityPool{DataCentre: dc}, placement.CapacityPool{DataCentre: dc, Reclaimable: true}
		out[place] = clamp(lasting/len(places)+below(i, lasting%len(places)), s.Scale)
		out[spot] = min(perPlace, s.Scale.Max-out[place])
		reclaimable += min(p.expected(now, s, spot, u.Endpoints[spot]), out[spot])
	}
	short := ceil(standInShare*float64(need)) - lasting - reclaimable
	if p.refused(s.Name) {
		short = max(short, ceil(dryShare*float64(need))-lasting)
	}
	extra := p.standIns(now, s.Name, short)
	p.spread(s, out, places, extra)
	return out
}

// refused tells whether reclaimable endpoints of a service are not to be had in some
// place.
func (p *Planner) refused(name ident.Service) bool {
	for k, o := range p.ordered {
		if k.service == name && k.place.Reclaimable && !o.refused.IsZero() {
			return true
		}
	}
	return false
}

// expected returns the endpoints of a place that are there, or on their way.
func (p *Planner) expected(now time.Time, s site.Service, place placement.CapacityPool, have int) int {
	last, placed := p.ordered[key{s.Name, place}]
	if !placed || !last.refused.IsZero() || !last.failed.IsZero() || now.Sub(last.at) > s.Scale.Boot+repeatAfter {
		return have
	}
	return max(have, last.count)
}

// standIns returns the number of lasting endpoints that stand in for reclaimable
// ones. It falls only after it has been too high for a while, as reclaimable ones
// that are just back may be taken away again.
func (p *Planner) standIns(now time.Time, name ident.Service, short int) int {
	short = max(short, 0)
	in := p.standing[name]
	switch {
	case short >= in.count:
		in = standing{count: short, enough: now}
	case now.Sub(in.enough) >= calmFor:
		in.count = short
	}
	p.standing[name] = in
	return in.count
}

// spread adds lasting endpoints, the cheapest data centres first.
func (p *Planner) spread(s site.Service, out map[placement.CapacityPool]int, places []ident.DataCentre, extra int) {
	for extra > 0 {
		before := extra
		for _, dc := range places {
			place, spot := placement.CapacityPool{DataCentre: dc}, placement.CapacityPool{DataCentre: dc, Reclaimable: true}
			if extra > 0 && out[place]+out[spot] < s.Scale.Max {
				out[place]++
				extra--
			}
		}
		if extra == before {
			return // every data centre is at its limit
		}
	}
}

// below returns one for the first n of some places, and zero for the others.
func below(i, n int) int {
	if i < n {
		return 1
	}
	return 0
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
func sortedPlaces(m map[placement.CapacityPool]int) []placement.CapacityPool {
	return slices.SortedFunc(maps.Keys(m), func(a, b placement.CapacityPool) int {
		if a.Reclaimable != b.Reclaimable {
			if a.Reclaimable {
				return 1
			}
			return -1
		}
		return strings.Compare(string(a.DataCentre), string(b.DataCentre))
	})
}
