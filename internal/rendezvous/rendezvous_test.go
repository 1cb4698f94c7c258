package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestRankIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfNDistinct(rapid.StringN(1, 4, -1), 1, 20, rapid.ID).Draw(t, "members")
		key := rapid.String().Draw(t, "key")
		ranked := Rank(key, members)
		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		if !slices.Equal(ranked, Rank(key, shuffled)) {
			t.Fatal("ranking depends on the order of the list")
		}
		if first, ok := First(key, shuffled); !ok || first != ranked[0] {
			t.Fatalf("First = %q, Rank = %q", first, ranked)
		}
		removed := rapid.IntRange(0, len(members)-1).Draw(t, "removed")
		rest := slices.Delete(slices.Clone(ranked), removed, removed+1)
		if !slices.Equal(rest, Rank(key, rest)) {
			t.Fatal("removing a member changed the order of the others")
		}
	})
}

func TestFirstSpreads(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	counts := make(map[string]int)
	const keys = 4000
	for i := range keys {
		m, _ := First(fmt.Sprint(i), members)
		counts[m]++
	}
	for _, m := range members {
		if n := counts[m]; n < keys/len(members)*8/10 || n > keys/len(members)*12/10 {
			t.Errorf("member %s got %d of %d keys", m, n, keys)
		}
	}
	if _, ok := First[string]("k", nil); ok {
		t.Error("First of an empty list returned a member")
	}
}
