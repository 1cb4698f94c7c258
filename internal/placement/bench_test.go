package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPick shows what a choice costs by the number of engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 90, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := New(Options{DataCentre: "a"})
			table.SetEndpoints(now, some(n, llm), nil, services)
			rng := rand.New(rand.NewPCG(1, 2))
			r := draft(7, 1)
			for b.Loop() {
				if _, err := table.Pick(now, rng, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPickHeld chooses among engines that exchange cache, one of which holds the
// prefix.
func BenchmarkPickHeld(b *testing.B) {
	for _, n := range []int{18, 90, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := New(Options{DataCentre: "a"})
			table.SetEndpoints(now, some(n, llm), nil, linked)
			rng := rand.New(rand.NewPCG(1, 2))
			r := draft(7, 1)
			c, err := table.Pick(now, rng, r)
			if err != nil {
				b.Fatal(err)
			}
			table.Dispatched(now, "a", c, r.Prompt)
			for b.Loop() {
				if _, err := table.Pick(now, rng, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
