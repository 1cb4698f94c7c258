package route

import (
	"math/bits"
	"time"
)

// A prefix that is known to be cached has home endpoints in each data centre in
// addition to its holders: one initially, more while its hit rate exceeds a threshold.
// The period after which the number of homes is reconsidered doubles with each added
// home and halves with each removed one (after Ionitoiu and Angi, "An adaptive caching
// and replication mechanism for WWW", 1997). Few nodes outside a data centre use its
// homes, so the nodes inside it estimate their load better.
const (
	minReplicaPeriod = 10 * time.Second // also the first period
	maxReplicaPeriod = 5 * time.Minute
	replicaHitRate   = 0.5 // per second and home, above which a home is added
	maxReplicaKeys   = 4096
)

// prefixReplicas is the number of homes of a prefix in this data centre, with its hits.
type prefixReplicas struct {
	homes     int
	hits      int // in this period
	period    time.Duration
	periodEnd time.Time
}

// hit counts a hit and returns the number of homes, renewed if the period has ended.
func (r *prefixReplicas) hit(now time.Time) int {
	if now.After(r.periodEnd) {
		r.renew()
		r.hits, r.periodEnd = 0, now.Add(r.period)
	}
	r.hits++
	return r.homes
}

// renew adds a home if the hits of the last period exceed the threshold, and removes
// one otherwise.
func (r *prefixReplicas) renew() {
	switch {
	case float64(r.hits) > replicaHitRate*r.period.Seconds()*float64(r.homes):
		r.homes = min(r.homes+1, MaxCandidates)
		r.period = min(2*r.period, maxReplicaPeriod)
	case r.homes > 1:
		r.homes--
		r.period = max(r.period/2, minReplicaPeriod)
	}
}

// localHomes counts a hit of a prefix and returns the number of its homes in this
// data centre. All counts are reset when there are more than maxReplicaKeys prefixes.
func (t *Table) localHomes(now time.Time, key uint64) int {
	r := t.replicas[key]
	if r == nil {
		if len(t.replicas) >= maxReplicaKeys {
			clear(t.replicas)
		}
		r = &prefixReplicas{homes: 1, period: minReplicaPeriod, periodEnd: now.Add(minReplicaPeriod)}
		t.replicas[key] = r
	}
	return r.hit(now)
}

// preferLocal returns those of slots in this data centre, or all if there are none.
func (t *Table) preferLocal(p *pool, slots uint64) uint64 {
	var local uint64
	for s := slots; s != 0; s &= s - 1 {
		if i := bits.TrailingZeros64(s); p.subset[i].dc == t.opts.DataCentre {
			local |= 1 << i
		}
	}
	if local == 0 {
		return slots
	}
	return local
}
