// Package prompt estimates how long engines take to read prompts. Entries and
// target processes both use it, because their predictions of one engine must
// agree.
package prompt

import "time"

// PrefillTokensPerMS is the assumed number of prompt tokens that an engine
// reads per millisecond. By their data sheets, engines read 29 to 39.
// PrefillTokensPerMS is lower to allow for the engine steps between the reads.
const PrefillTokensPerMS = 20.0

// PrefillTime returns the estimated time in which an engine reads prompt
// tokens.
func PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / PrefillTokensPerMS * float64(time.Millisecond))
}
