// Package testseed fixes the seed of property tests, so that every run draws the
// same cases. Tests import it for its effect; -rapid.seed on the command line goes
// before it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed of every run; rapid takes zero for a random one.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
