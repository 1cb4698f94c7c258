package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

// avoidTime is how long a node is not chosen again after it could not relay a request.
const avoidTime = time.Second

// Relays chooses the nodes through which a node without paths reaches the endpoints. It is not
// safe for concurrent use.
type Relays struct {
	avoided map[string]time.Time // until when, by address
}

// NewRelays returns the choice of a node that has just started.
func NewRelays() *Relays { return &Relays{avoided: make(map[string]time.Time)} }

// Choose returns up to n of the candidates, in the order in which to try them. All nodes without
// paths choose at random, so that their requests are spread over the others.
func (r *Relays) Choose(now time.Time, rng *rand.Rand, candidates []string, n int) []string {
	out := slices.DeleteFunc(slices.Clone(candidates), func(c string) bool { return now.Before(r.avoided[c]) })
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}

// Failed records that a node could not be reached, or could not relay a request.
func (r *Relays) Failed(now time.Time, address string) {
	for a, until := range r.avoided {
		if !now.Before(until) {
			delete(r.avoided, a)
		}
	}
	r.avoided[address] = now.Add(avoidTime)
}
