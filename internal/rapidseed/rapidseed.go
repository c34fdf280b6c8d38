// Package rapidseed gives property tests a fixed seed, so that repeated CI runs on
// the same commit have the same result. Test packages import it for its side
// effect.
//
// `make explore` runs the property tests with other seeds and more cases.
package rapidseed

import (
	"flag"

	// The initialization of rapid registers the flag rapid.seed.
	_ "pgregory.net/rapid"
)

// Seed is the seed of runs without the flag -rapid.seed.
const Seed = "1"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set(Seed)
	}
}
