// Package testseed sets a fixed seed for property tests, so that every run generates
// the same cases. Tests import it for its side effect; -rapid.seed on the command line
// overrides it.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers -rapid.seed
)

// seed is not zero because rapid then chooses a random seed.
const seed = "1"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
