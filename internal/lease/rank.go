package lease

import (
	"github.com/jujubeshed/jujubeshed/internal/ident"
	"github.com/jujubeshed/jujubeshed/internal/rendezvous"
)

// Rank returns the rank of self among the candidates for a lease, by rendezvous hashing; 0
// is the first. Nodes with the same list of members compute the same ranks; where lists
// differ, the conditional update still lets only one node acquire the lease.
func Rank(name string, self ident.NodeID, members []ident.NodeID) int {
	own := rendezvous.Weight(name, string(self))
	rank := 0
	for _, m := range members {
		if w := rendezvous.Weight(name, string(m)); m != self && (w > own || w == own && m < self) {
			rank++
		}
	}
	return rank
}

// Candidates returns the n members with the lowest ranks for a lease, in order of rank.
func Candidates(name string, members []ident.NodeID, n int) []ident.NodeID {
	ranked := rendezvous.Rank(name, members)
	return ranked[:min(n, len(ranked))]
}
