package wire

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/quarantine"
)

// Bounds of the fields of Items that entries use to quarantine parts of prompts. What
// exceeds them is dropped on receipt.
const (
	MaxCrashRecords = 64
	MaxSuspects     = 32
	MaxSuspectParts = quarantine.LeadingParts + 1
	MaxPartBytes    = quarantine.MaxPartBytes
	// MaxFurtherBytes bounds Suspect.Further, and maxMessageFurther those of a message.
	MaxFurtherBytes   = 8 << 10
	maxMessageFurther = 32 << 10
	MaxBegunParts     = 256
	MaxBegunRuns      = 256
	maxRunsBytes      = 256
	MaxPartVerdicts   = 256
	maxNameBytes      = 64
	maxEvidenceAgeMS  = int64(7 * 24 * time.Hour / time.Millisecond)
)

// CrashRecord is a crash of a target, as one entry saw it. Times are ages in
// milliseconds, because the clocks of entries differ.
type CrashRecord struct {
	Target string `msgpack:"t"`
	// StartedAtMS is the start time of the incarnation that crashed, as the target
	// registered it.
	StartedAtMS int64     `msgpack:"b,omitempty"`
	AgeMS       int64     `msgpack:"a"`
	Suspects    []Suspect `msgpack:"s,omitempty"`
	// Pool and FailureDomain are those of the target. A former build leaves them out.
	Pool          string `msgpack:"p,omitempty"`
	FailureDomain string `msgpack:"d,omitempty"`
}

// Suspect is a request that was sent to a target AgeMS milliseconds ago and was under way
// when the target crashed. Its parts are those of its prompt, if no event had arrived; the
// last one is its own. Or they are the digest of the request, as in package containment,
// and a constant.
type Suspect struct {
	// Parts holds up to MaxSuspectParts. Further holds others of a longer prompt in the form of
	// quarantine.FormatFurther; several records of one crash may hold different ones. Former
	// builds ignore it.
	Parts   []string `msgpack:"p"`
	Further string   `msgpack:"f,omitempty"`
	AgeMS   int64    `msgpack:"a"`
}

// BegunPart says that an engine began, AgeMS milliseconds ago, to answer a request with
// a part that entries suspect.
type BegunPart struct {
	Part  string `msgpack:"p"`
	AgeMS int64  `msgpack:"a"`
}

// BegunRuns says that an engine began, AgeMS milliseconds ago, to answer a request with the parts
// of a suspect that have certain positions (quarantine.BegunRuns).
type BegunRuns struct {
	Target      string `msgpack:"t"`
	StartedAtMS int64  `msgpack:"b,omitempty"`
	Suspect     string `msgpack:"s"`
	Runs        string `msgpack:"r"`
	AgeMS       int64  `msgpack:"a"`
}

// PartVerdict is what an entry concluded of a part of prompts.
type PartVerdict struct {
	Part       string `msgpack:"p"`
	Generation uint64 `msgpack:"g"`
	// Quarantined is false if the part was released.
	Quarantined bool `msgpack:"q,omitempty"`
	// AgeMS is the age of this generation.
	AgeMS   int64  `msgpack:"a"`
	Crashes int    `msgpack:"c,omitempty"`
	Entry   string `msgpack:"e,omitempty"`
	Trials  int    `msgpack:"n,omitempty"`
	// AskedAgeMS is the time since a request last asked for the part.
	AskedAgeMS int64 `msgpack:"l,omitempty"`
}

// AgeMS returns the age of an event in milliseconds, within the range that is accepted
// on receipt.
func AgeMS(age time.Duration) int64 { return max(0, min(age.Milliseconds(), maxEvidenceAgeMS)) }

// Age returns the duration of an age in milliseconds.
func Age(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// HasEvidence reports whether the message has crash records, begun parts or verdicts.
func (x *Items) HasEvidence() bool {
	return len(x.Crashes) > 0 || len(x.Begun) > 0 || len(x.BegunRuns) > 0 || len(x.Verdicts) > 0
}

// BoundEvidence drops crash records, begun parts and verdicts that exceed the bounds or
// are malformed.
func (x *Items) BoundEvidence() {
	further := 0
	x.Crashes = keep(x.Crashes, MaxCrashRecords, func(c *CrashRecord) bool {
		c.Suspects = keep(c.Suspects, MaxSuspects, func(s *Suspect) bool {
			if further += len(s.Further); len(s.Further) > MaxFurtherBytes || further > maxMessageFurther {
				s.Further = ""
			}
			// A list without some parts could end with a part that is not the last.
			return len(s.Parts) > 0 && len(s.Parts) <= MaxSuspectParts && !slices.ContainsFunc(s.Parts, invalidPart) && validAge(s.AgeMS)
		})
		c.Pool, c.FailureDomain = c.Pool[:min(len(c.Pool), maxNameBytes)], c.FailureDomain[:min(len(c.FailureDomain), maxNameBytes)]
		return c.Target != "" && len(c.Target) <= maxNameBytes && validAge(c.AgeMS)
	})
	x.Begun = keep(x.Begun, MaxBegunParts, func(b *BegunPart) bool { return !invalidPart(b.Part) && validAge(b.AgeMS) })
	x.BegunRuns = keep(x.BegunRuns, MaxBegunRuns, func(b *BegunRuns) bool {
		return b.Target != "" && len(b.Target) <= maxNameBytes && !invalidPart(b.Suspect) && len(b.Runs) <= maxRunsBytes && validAge(b.AgeMS)
	})
	x.Verdicts = keep(x.Verdicts, MaxPartVerdicts, func(v *PartVerdict) bool {
		v.Entry = v.Entry[:min(len(v.Entry), maxNameBytes)]
		return !invalidPart(v.Part) && validAge(v.AgeMS) && validAge(v.AskedAgeMS) && v.Crashes >= 0 && v.Trials >= 0
	})
}

// keep returns the first n elements that are valid.
func keep[T any](list []T, n int, valid func(*T) bool) []T {
	kept := list[:0]
	for i := range list {
		if len(kept) < n && valid(&list[i]) {
			kept = append(kept, list[i])
		}
	}
	return kept
}

func invalidPart(p string) bool { return p == "" || len(p) > MaxPartBytes }
func validAge(ageMS int64) bool { return ageMS >= 0 && ageMS <= maxEvidenceAgeMS }
