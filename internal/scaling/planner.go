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
	// reorderMargin is the time beyond the boot time after which an order is placed again
	// if its endpoints have not appeared.
	reorderMargin = 2 * time.Second
	// refusalBackoff is how long reclaimable endpoints of a data centre count as
	// unavailable after a refusal.
	refusalBackoff = 2500 * time.Millisecond
	// retryDelay is the pause after an order that failed without a refusal.
	retryDelay = time.Second
	// replacementHoldTime is how long on-demand replacements are kept after fewer of them
	// are needed: reclaimable endpoints that have just returned may be reclaimed again.
	replacementHoldTime = 3 * time.Second
)

// Fractions of the estimated need, and limits.
const (
	// onDemandShare is the fraction of the need that on-demand endpoints cover at all
	// times: it remains while all reclaimable ones are being replaced.
	onDemandShare = 0.3
	// reserveShare is the capacity ordered beyond the need, as a fraction of it: a data
	// centre may lose all its reclaimable endpoints. All of it is reclaimable, as that is
	// cheap.
	reserveShare = 0.6
	// minCapacityShare is the fraction of the need that on-demand and expected reclaimable
	// endpoints must cover together; on-demand replacements fill the gap.
	minCapacityShare = 0.8
	// onDemandShareWhenRefused is the fraction of the need that on-demand endpoints cover
	// while orders of reclaimable ones are refused: the remaining reclaimable ones may be
	// lost at any moment, and an on-demand one takes longer to boot than the notice of a
	// reclaim lasts.
	onDemandShareWhenRefused = 0.7
	// minReclaimable is the minimum number of reclaimable endpoints in a data centre.
	minReclaimable = 1
)

// Planner plans the endpoints of all services that may be scaled. It is not safe
// for concurrent use.
type Planner struct {
	services     func() map[ident.Service]site.Service
	usage        func(ident.Service) placement.Usage
	lastOrders   map[orderKey]lastOrder
	replacements map[ident.Service]replacements
	demand       map[ident.Service]*demand
}

// replacements contains the number of on-demand replacements of a service, and when all
// of them were last needed.
type replacements struct {
	count      int
	lastNeeded time.Time
}

type orderKey struct {
	service ident.Service
	pool    placement.CapacityPool
}

// lastOrder is the latest order for a service in a capacity pool.
type lastOrder struct {
	count     int
	placedAt  time.Time
	failedAt  time.Time // when it failed without a refusal; zero otherwise
	refusedAt time.Time // when the platform refused it; zero otherwise
}

var _ duty.Planner = (*Planner)(nil)

// New returns a planner. The function services returns the services of the configuration
// in force, and usage returns the endpoints and load of a service.
func New(services func() map[ident.Service]site.Service, usage func(ident.Service) placement.Usage) *Planner {
	return &Planner{
		services: services, usage: usage, lastOrders: make(map[orderKey]lastOrder), replacements: make(map[ident.Service]replacements),
		demand: make(map[ident.Service]*demand),
	}
}

// Reset implements duty.Planner.
func (p *Planner) Reset() {
	clear(p.lastOrders)
	clear(p.replacements)
	clear(p.demand)
}

// OrderDone implements duty.Planner.
func (p *Planner) OrderDone(now time.Time, o duty.EndpointOrder, err error) {
	k := orderKey{o.Service, placement.CapacityPool{DataCentre: o.DataCentre, Reclaimable: o.Reclaimable}}
	last := lastOrder{count: o.Count, placedAt: now}
	switch {
	case errors.Is(err, platformapi.ErrRefused):
		last.refusedAt = now
	case err != nil:
		last.failedAt = now
	}
	p.lastOrders[k] = last
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
		desired := p.desiredEndpoints(now, s, u)
		for _, pool := range sortedPools(desired) {
			if o, due := p.dueOrder(now, s, pool, desired[pool], u.Endpoints[pool]); due {
				return o, true
			}
		}
	}
	return duty.EndpointOrder{}, false
}

// dueOrder returns the order that brings a pool from have to want endpoints, and reports
// whether it must be placed now.
func (p *Planner) dueOrder(now time.Time, s site.Service, pool placement.CapacityPool, want, have int) (duty.EndpointOrder, bool) {
	k := orderKey{s.Name, pool}
	last, placed := p.lastOrders[k]
	o := duty.EndpointOrder{Service: s.Name, DataCentre: pool.DataCentre, Count: want, Reclaimable: pool.Reclaimable}
	switch {
	case !placed:
		return o, want != have
	case !last.failedAt.IsZero():
		return o, now.Sub(last.failedAt) >= retryDelay
	case !last.refusedAt.IsZero():
		return o, now.Sub(last.refusedAt) >= refusalBackoff && have < want
	case last.count != want:
		return o, true
	default:
		return o, have < want && now.Sub(last.placedAt) >= s.Scale.Boot+reorderMargin
	}
}

// estimateNeed returns how many endpoints a service needs for its load, and whether the
// estimate has settled.
func (p *Planner) estimateNeed(now time.Time, s site.Service, u placement.Usage) (int, bool) {
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
	return d.need(), d.settled(now)
}

// desiredEndpoints returns the number of endpoints that a service should have in each
// pool; nil while the need is unknown.
func (p *Planner) desiredEndpoints(now time.Time, s site.Service, u placement.Usage) map[placement.CapacityPool]int {
	out := make(map[placement.CapacityPool]int)
	need, settled := p.estimateNeed(now, s, u)
	if !settled {
		return nil
	}
	dataCentres := slices.DeleteFunc(dataCentresByPrice(s.Scale), func(dc ident.DataCentre) bool { return u.Evacuated[dc] })
	if len(dataCentres) == 0 {
		return nil // nothing that could be ordered would be used
	}
	onDemand := max(ceil(onDemandShare*float64(need)), len(dataCentres))
	reclaimable := ceil((1+reserveShare)*float64(need)) - onDemand
	reclaimablePerDataCentre := max(ceil(float64(reclaimable)/float64(len(dataCentres))), minReclaimable)
	expectedReclaimable := 0
	for i, dc := range dataCentres {
		onDemandPool, reclaimablePool := placement.CapacityPool{DataCentre: dc}, placement.CapacityPool{DataCentre: dc, Reclaimable: true}
		out[onDemandPool] = clamp(onDemand/len(dataCentres)+remainderAt(i, onDemand%len(dataCentres)), s.Scale)
		out[reclaimablePool] = min(reclaimablePerDataCentre, s.Scale.Max-out[onDemandPool])
		expectedReclaimable += min(p.expectedEndpoints(now, s, reclaimablePool, u.Endpoints[reclaimablePool]), out[reclaimablePool])
	}
	shortfall := ceil(minCapacityShare*float64(need)) - onDemand - expectedReclaimable
	if p.reclaimableRefused(s.Name) {
		shortfall = max(shortfall, ceil(onDemandShareWhenRefused*float64(need))-onDemand)
	}
	extra := p.onDemandReplacements(now, s.Name, shortfall)
	p.addOnDemand(s, out, dataCentres, extra)
	return out
}

// reclaimableRefused reports whether the latest order of reclaimable endpoints of a
// service was refused in any data centre.
func (p *Planner) reclaimableRefused(name ident.Service) bool {
	for k, o := range p.lastOrders {
		if k.service == name && k.pool.Reclaimable && !o.refusedAt.IsZero() {
			return true
		}
	}
	return false
}

// expectedEndpoints returns the number of endpoints of a pool that are present or still
// booting.
func (p *Planner) expectedEndpoints(now time.Time, s site.Service, pool placement.CapacityPool, have int) int {
	last, placed := p.lastOrders[orderKey{s.Name, pool}]
	if !placed || !last.refusedAt.IsZero() || !last.failedAt.IsZero() || now.Sub(last.placedAt) > s.Scale.Boot+reorderMargin {
		return have
	}
	return max(have, last.count)
}

// onDemandReplacements returns the number of on-demand endpoints that replace missing
// reclaimable ones. It falls only after it has exceeded the shortfall for
// replacementHoldTime.
func (p *Planner) onDemandReplacements(now time.Time, name ident.Service, shortfall int) int {
	shortfall = max(shortfall, 0)
	r := p.replacements[name]
	switch {
	case shortfall >= r.count:
		r = replacements{count: shortfall, lastNeeded: now}
	case now.Sub(r.lastNeeded) >= replacementHoldTime:
		r.count = shortfall
	}
	p.replacements[name] = r
	return r.count
}

// addOnDemand adds count on-demand endpoints to out, the cheapest data centres first.
func (p *Planner) addOnDemand(s site.Service, out map[placement.CapacityPool]int, dataCentres []ident.DataCentre, count int) {
	for count > 0 {
		before := count
		for _, dc := range dataCentres {
			onDemandPool, reclaimablePool := placement.CapacityPool{DataCentre: dc}, placement.CapacityPool{DataCentre: dc, Reclaimable: true}
			if count > 0 && out[onDemandPool]+out[reclaimablePool] < s.Scale.Max {
				out[onDemandPool]++
				count--
			}
		}
		if count == before {
			return // every data centre is at its limit
		}
	}
}

// remainderAt returns one if i is less than n, and zero otherwise: it spreads a remainder
// of n over the first n data centres.
func remainderAt(i, n int) int {
	if i < n {
		return 1
	}
	return 0
}

func ceil(x float64) int { return int(math.Ceil(x)) }

func clamp(n int, s *site.Scale) int { return min(max(n, s.Min), s.Max) }

// dataCentresByPrice returns the data centres of a service, cheapest first.
func dataCentresByPrice(s *site.Scale) []ident.DataCentre {
	return slices.SortedFunc(maps.Keys(s.Prices), func(a, b ident.DataCentre) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), strings.Compare(string(a), string(b)))
	})
}

// sortedPools returns the pools in a fixed order, on-demand ones first.
func sortedPools(m map[placement.CapacityPool]int) []placement.CapacityPool {
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
