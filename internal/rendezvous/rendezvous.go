// Package rendezvous implements rendezvous hashing (highest random weight). All nodes
// that have the same list of members compute the same ranking, and adding or removing a
// member reassigns only the keys of that member.
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

// Rank returns the members ordered by descending weight for key. Equal weights are
// ordered by name. The argument is not modified.
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

// First returns the member with the highest weight for key, or false if members is empty.
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
