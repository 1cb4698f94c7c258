package route

import (
	"math/bits"
	"time"
)

// Placement is the way in which homes of a prefix are chosen.
type Placement uint8

// The placements.
const (
	PlaceRendezvous Placement = iota // homes anywhere in the subset
	PlaceDomain                      // one home in each data centre, replicated past a threshold
	PlaceSingle                      // one home in each data centre, never replicated
)

// Settings of PlaceDomain.
const (
	domainFirst   = 10 * time.Second // the first duration of a replica
	domainLongest = 5 * time.Minute
	domainHits    = 0.5 // a second and copy, past which a prefix is replicated
	domainKeys    = 4096
)

// domain is a prefix's copies in this data centre, after Ionitoiu and Angi (1997).
type domain struct {
	copies   int
	hits     int
	duration time.Duration
	until    time.Time
}

// copies counts a hit and returns how many homes the prefix has here.
func (t *Table) copies(now time.Time, key uint64) int {
	d := t.domains[key]
	if d == nil {
		if len(t.domains) >= domainKeys {
			clear(t.domains)
		}
		d = &domain{copies: 1, duration: domainFirst, until: now.Add(domainFirst)}
		t.domains[key] = d
	}
	if now.After(d.until) {
		if float64(d.hits) > domainHits*d.duration.Seconds()*float64(d.copies) {
			d.copies++
			d.duration = min(2*d.duration, domainLongest)
		} else if d.copies > 1 {
			d.copies--
			d.duration = max(d.duration/2, domainFirst)
		}
		d.hits, d.until = 0, now.Add(d.duration)
	}
	d.hits++
	return d.copies
}

// local returns the eligible slots of this data centre, or all where it has none.
func (t *Table) local(p *pool, eligible uint64) uint64 {
	var local uint64
	for s := eligible; s != 0; s &= s - 1 {
		if i := bits.TrailingZeros64(s); p.subset[i].dc == t.opts.DataCentre {
			local |= 1 << i
		}
	}
	if local == 0 {
		return eligible
	}
	return local
}
