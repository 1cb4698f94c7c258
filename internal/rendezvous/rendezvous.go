// Package rendezvous ranks members for a key by highest random weight. Members
// that agree on the list agree on the ranking, and a member that comes or goes
// moves only its own keys.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a member for a key.
func Weight(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Rank orders members for a key, the heaviest first. Equal weights are ordered
// by name. The argument is left as it is.
func Rank[T ~string](key string, members []T) []T {
	type weighted struct {
		member T
		weight uint64
	}
	all := make([]weighted, 0, len(members))
	for _, m := range members {
		all = append(all, weighted{m, Weight(key, string(m))})
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].member < all[j].member
	})
	out := make([]T, 0, len(all))
	for _, w := range all {
		out = append(out, w.member)
	}
	return out
}

// First returns the heaviest member, and false where there is none.
func First[T ~string](key string, members []T) (T, bool) {
	var best T
	var bestWeight uint64
	for i, m := range members {
		w := Weight(key, string(m))
		if i == 0 || w > bestWeight || (w == bestWeight && m < best) {
			best, bestWeight = m, w
		}
	}
	return best, len(members) > 0
}
