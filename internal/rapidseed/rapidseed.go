// Package rapidseed gives property tests a fixed seed, so that CI has the same
// verdict on the same tree. Test packages import it for its effect.
//
// `make explore` runs the property tests with other seeds and more cases.
package rapidseed

import (
	"flag"

	// The flag is registered by the initialisation of rapid.
	_ "pgregory.net/rapid"
)

// Seed is the seed of a run without the flag -rapid.seed.
const Seed = "1"

func init() {
	if f := flag.Lookup("rapid.seed"); f != nil {
		_ = f.Value.Set(Seed)
	}
}
