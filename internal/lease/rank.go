package lease

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/jujubeshed/jujubeshed/internal/ident"
)

// Rank returns the place of self among the candidates for a lease, by rendezvous
// hashing: 0 is the first. Nodes whose views of the members agree agree on ranks;
// where views differ the conditional update still lets one win.
func Rank(name string, self ident.NodeID, members []ident.NodeID) int {
	own := weight(name, self)
	rank := 0
	for _, m := range members {
		if w := weight(name, m); m != self && (w > own || w == own && m < self) {
			rank++
		}
	}
	return rank
}

// Candidates returns the first n members for a lease, best first.
func Candidates(name string, members []ident.NodeID, n int) []ident.NodeID {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b ident.NodeID) int {
		return cmp.Or(cmp.Compare(weight(name, b), weight(name, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}

func weight(name string, node ident.NodeID) uint64 {
	return xxhash.Sum64String(name + "\x00" + string(node))
}
