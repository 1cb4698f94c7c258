package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPick measures a choice by the number of engines.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{18, 90, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := New(Options{DataCentre: "a"})
			table.SetEndpoints(now, makeEndpoints(n, llmEndpoint), nil, services)
			rng := rand.New(rand.NewPCG(1, 2))
			r := sharedPrefixRequest(7, 1)
			for b.Loop() {
				if _, err := table.Pick(now, rng, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPickCachedPrefix chooses among engines that can fetch KV cache from each other,
// one of which has the prefix.
func BenchmarkPickCachedPrefix(b *testing.B) {
	for _, n := range []int{18, 90, 720} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := New(Options{DataCentre: "a"})
			table.SetEndpoints(now, makeEndpoints(n, llmEndpoint), nil, linkedServices)
			rng := rand.New(rand.NewPCG(1, 2))
			r := sharedPrefixRequest(7, 1)
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
