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
	Performance  Performance
}

// candidate is an offer that can be bought now.
type candidate struct {
	offer Offer
	// capacity is the rate (requests a second) at which a host keeps the target.
	capacity float64
	// price is the price of an hour of service, including the expected cost of reclaims.
	price float64
}

func (c candidate) unitPrice() float64 {
	return c.price / c.capacity
}

// capacityByDataCentre is the capacity of each data centre in requests a second.
type capacityByDataCentre map[ident.DataCentre]float64

// withoutLargest returns the capacity left after the loss of the largest data centre.
func (c capacityByDataCentre) withoutLargest() float64 {
	return c.sumUpTo(inf) - c.largest()
}

func (c capacityByDataCentre) largest() float64 {
	largest := 0.0
	for _, v := range c {
		largest = max(largest, v)
	}
	return largest
}

// sumUpTo returns the total capacity with each data centre counted up to limit. The
// order of the additions is fixed, because rounding depends on it.
func (c capacityByDataCentre) sumUpTo(limit float64) float64 {
	sum := 0.0
	for _, dc := range slices.Sorted(maps.Keys(c)) {
		sum += min(c[dc], limit)
	}
	return sum
}

// epsilon absorbs rounding in sums of capacities.
const epsilon = 1e-9

var inf = math.Inf(1)

// choosePurchases returns the cheapest purchases after which the capacity covers need
// even after the loss of any one data centre. Existing capacity costs nothing. If the
// candidates don't allow that, it returns purchases that cover need with all data
// centres up.
//
// It tries several limits on the capacity counted per data centre: a low limit spreads
// hosts widely and needs fewer of them, a high limit allows more hosts in the cheap
// data centres.
func choosePurchases(need float64, have capacityByDataCentre, candidates []candidate) []candidate {
	if have.withoutLargest() >= need-epsilon || len(candidates) == 0 {
		return nil
	}
	best, bestPrice := []candidate(nil), inf
	cheapest := cheapestPerDataCentre(candidates)
	for _, limit := range candidateLimits(need, have, cheapest) {
		purchases, ok := fillCapacity(need+limit, limit, have, cheapest)
		if price := totalPrice(purchases); ok && price < bestPrice-epsilon {
			best, bestPrice = purchases, price
		}
	}
	if best == nil {
		best, _ = fillCapacity(need, inf, have, cheapest)
	}
	return best
}

// cheapestPerDataCentre returns the candidate with the lowest unit price in each data
// centre, cheapest first.
func cheapestPerDataCentre(candidates []candidate) []candidate {
	sorted := slices.Clone(candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.unitPrice(), b.unitPrice()),
			cmp.Compare(a.offer.DataCentre, b.offer.DataCentre),
			cmp.Compare(a.offer.Class, b.offer.Class),
		)
	})
	seen := make(map[ident.DataCentre]bool)
	return slices.DeleteFunc(sorted, func(c candidate) bool {
		duplicate := seen[c.offer.DataCentre]
		seen[c.offer.DataCentre] = true
		return duplicate
	})
}

// maxLimits is the approximate maximum number of limits that choosePurchases tries.
const maxLimits = 64

// candidateLimits returns the limits on the capacity per data centre to try: multiples
// of the smallest host's capacity.
func candidateLimits(need float64, have capacityByDataCentre, candidates []candidate) []float64 {
	smallest := inf
	for _, c := range candidates {
		smallest = min(smallest, c.capacity)
	}
	dataCentres := make(map[ident.DataCentre]bool)
	for dc := range have {
		dataCentres[dc] = true
	}
	for _, c := range candidates {
		dataCentres[c.offer.DataCentre] = true
	}
	low := math.Ceil(need/smallest/float64(max(1, len(dataCentres)-1)) - epsilon)
	high := max(low, math.Ceil(need/smallest))
	step := max(1, math.Ceil((high-low)/maxLimits))
	var out []float64
	for hosts := max(1, low); hosts <= high; hosts += step {
		out = append(out, hosts*smallest)
	}
	return out
}

// fillCapacity buys in the order of the candidates until the capacity, with each data
// centre counted up to limit, reaches required. It returns false if it can't.
func fillCapacity(required, limit float64, have capacityByDataCentre, candidates []candidate) ([]candidate, bool) {
	missing := required - have.sumUpTo(limit)
	var purchases []candidate
	for _, c := range candidates {
		remaining := limit - min(have[c.offer.DataCentre], limit)
		for missing > epsilon && remaining > epsilon {
			gain := min(c.capacity, remaining)
			purchases = append(purchases, c)
			missing -= gain
			remaining -= gain
		}
	}
	return purchases, missing <= epsilon
}

func totalPrice(purchases []candidate) float64 {
	sum := 0.0
	for _, p := range purchases {
		sum += p.price
	}
	return sum
}

// interleave orders purchases so that any prefix of the result is spread over the data
// centres.
func interleave(purchases []candidate) []candidate {
	type ranked struct {
		candidate
		rank int // within the data centre
	}
	counts := make(map[ident.DataCentre]int)
	order := make([]ranked, 0, len(purchases))
	for _, p := range purchases {
		order = append(order, ranked{p, counts[p.offer.DataCentre]})
		counts[p.offer.DataCentre]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	out := make([]candidate, 0, len(order))
	for _, r := range order {
		out = append(out, r.candidate)
	}
	return out
}
