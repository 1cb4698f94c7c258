package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Offer is a kind of host that the cloud sells.
type Offer struct {
	DataCentre   ident.DataCentre
	Class        string
	Reclaimable  bool
	PricePerHour float64
	Machine      Machine
}

// place is an offer that can be bought now.
type place struct {
	offer Offer
	// capacity is the rate (requests a second) at which a host keeps the target.
	capacity float64
	// price of an hour of service: the offer's, and what reclaims waste.
	price float64
}

func (p place) unitPrice() float64 {
	return p.price / p.capacity
}

// byCentre is the capacity of each data centre.
type byCentre map[ident.DataCentre]float64

// spare returns what is left after the loss of the largest data centre.
func (c byCentre) spare() float64 {
	return c.upTo(inf) - c.largest()
}

func (c byCentre) largest() float64 {
	largest := 0.0
	for _, v := range c {
		largest = max(largest, v)
	}
	return largest
}

// upTo returns the sum, with each data centre counted up to bound. The order of
// the sum is fixed, as its rounding depends on it.
func (c byCentre) upTo(bound float64) float64 {
	sum := 0.0
	for _, dc := range slices.Sorted(maps.Keys(c)) {
		sum += min(c[dc], bound)
	}
	return sum
}

// epsilon absorbs rounding in sums of capacities.
const epsilon = 1e-9

var inf = math.Inf(1)

// choose returns the cheapest purchases after which need is met without any one
// data centre. Capacity that is there already is free. Where the places don't
// allow that, it returns what meets need with all data centres up.
//
// Each candidate bounds what one data centre is counted for; a low bound spreads
// wide and needs fewer hosts, a high one allows more in the cheap data centres.
func choose(need float64, have byCentre, places []place) []place {
	if have.spare() >= need-epsilon || len(places) == 0 {
		return nil
	}
	best, bestPrice := []place(nil), inf
	best1 := bestOfEach(places)
	for _, bound := range bounds(need, have, best1) {
		buy, ok := fill(need+bound, bound, have, best1)
		if price := sumPrice(buy); ok && price < bestPrice-epsilon {
			best, bestPrice = buy, price
		}
	}
	if best == nil {
		best, _ = fill(need, inf, have, best1)
	}
	return best
}

// bestOfEach returns the place of the lowest price for its capacity in each data
// centre, cheapest first.
func bestOfEach(places []place) []place {
	sorted := slices.Clone(places)
	slices.SortFunc(sorted, func(a, b place) int {
		return cmp.Or(
			cmp.Compare(a.unitPrice(), b.unitPrice()),
			cmp.Compare(a.offer.DataCentre, b.offer.DataCentre),
			cmp.Compare(a.offer.Class, b.offer.Class),
		)
	})
	seen := make(map[ident.DataCentre]bool)
	return slices.DeleteFunc(sorted, func(p place) bool {
		again := seen[p.offer.DataCentre]
		seen[p.offer.DataCentre] = true
		return again
	})
}

// maxBounds limits the candidates that choose tries.
const maxBounds = 64

// bounds returns the candidate bounds: whole numbers of hosts up to need.
func bounds(need float64, have byCentre, places []place) []float64 {
	unit := inf
	for _, p := range places {
		unit = min(unit, p.capacity)
	}
	centres := make(map[ident.DataCentre]bool)
	for dc := range have {
		centres[dc] = true
	}
	for _, p := range places {
		centres[p.offer.DataCentre] = true
	}
	low := math.Ceil(need/unit/float64(max(1, len(centres)-1)) - epsilon)
	high := max(low, math.Ceil(need/unit))
	step := max(1, math.Ceil((high-low)/maxBounds))
	var out []float64
	for hosts := max(1, low); hosts <= high; hosts += step {
		out = append(out, hosts*unit)
	}
	return out
}

// fill buys in the order of places until the capacity, with each data centre
// counted up to bound, reaches want. It returns false where it doesn't.
func fill(want, bound float64, have byCentre, places []place) ([]place, bool) {
	missing := want - have.upTo(bound)
	var buy []place
	for _, p := range places {
		room := bound - min(have[p.offer.DataCentre], bound)
		for missing > epsilon && room > epsilon {
			gain := min(p.capacity, room)
			buy = append(buy, p)
			missing -= gain
			room -= gain
		}
	}
	return buy, missing <= epsilon
}

func sumPrice(places []place) float64 {
	sum := 0.0
	for _, p := range places {
		sum += p.price
	}
	return sum
}

// interleave orders purchases so that any first few of them spread over the data
// centres.
func interleave(places []place) []place {
	type ranked struct {
		place
		rank int // within the data centre
	}
	seen := make(map[ident.DataCentre]int)
	all := make([]ranked, 0, len(places))
	for _, p := range places {
		all = append(all, ranked{p, seen[p.offer.DataCentre]})
		seen[p.offer.DataCentre]++
	}
	slices.SortStableFunc(all, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]place, 0, len(all))
	for _, r := range all {
		out = append(out, r.place)
	}
	return out
}
