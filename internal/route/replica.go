package route

import (
	"math/bits"
	"time"
)

// A prefix that is known to be cached has homes in each data centre besides its
// holders: one at first, more while its hits pass a threshold. An added home is
// kept for a duration that doubles with each renewal (Ionitoiu and Angi, "An
// adaptive caching and replication mechanism for WWW", 1997). The nodes of a data
// centre share its homes with few others, so that they know their load better.
const (
	replicaFirst   = 10 * time.Second // the first duration
	replicaLongest = 5 * time.Minute
	replicaHits    = 0.5 // a second and home, past which one more is added
	maxReplicaKeys = 4096
)

// replicas is a prefix's number of homes in this data centre.
type replicas struct {
	homes    int
	hits     int // in this duration
	duration time.Duration
	until    time.Time
}

// hit counts a hit and returns the number of homes.
func (r *replicas) hit(now time.Time) int {
	if now.After(r.until) {
		r.renew()
		r.hits, r.until = 0, now.Add(r.duration)
	}
	r.hits++
	return r.homes
}

// renew adds a home where the hits of the last duration passed the threshold, and
// gives one up otherwise.
func (r *replicas) renew() {
	switch {
	case float64(r.hits) > replicaHits*r.duration.Seconds()*float64(r.homes):
		r.homes = min(r.homes+1, MaxCandidates)
		r.duration = min(2*r.duration, replicaLongest)
	case r.homes > 1:
		r.homes--
		r.duration = max(r.duration/2, replicaFirst)
	}
}

// localHomes counts a hit of a prefix and returns the number of its homes in this
// data centre. All counts begin anew where there are too many prefixes.
func (t *Table) localHomes(now time.Time, key uint64) int {
	r := t.replicas[key]
	if r == nil {
		if len(t.replicas) >= maxReplicaKeys {
			clear(t.replicas)
		}
		r = &replicas{homes: 1, duration: replicaFirst, until: now.Add(replicaFirst)}
		t.replicas[key] = r
	}
	return r.hit(now)
}

// local returns those of slots in this data centre, or all where it has none.
func (t *Table) local(p *pool, slots uint64) uint64 {
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
