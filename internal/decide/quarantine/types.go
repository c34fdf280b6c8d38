// Package quarantine finds the parts of prompts, and the whole requests, under which
// targets crash, and decides which requests are refused because of them. A Quarantine
// looks for one of the two, its Kind.
//
// An engine may crash as soon as it begins to answer a request that holds a certain
// part. The evidence is the crash records of all entries: which requests an engine
// had got and not begun to answer when it crashed (suspects), and which parts an
// engine has begun to answer since. Each entry holds the same evidence after the
// time in which messages between entries arrive, and decides alone.
//
// Everywhere in this package the parts of a request are those of its prompt in
// order, including the last one, which is never suspected: it belongs to the request or
// to its session. In a suspect its place is taken by the ID of the request, which is the
// same for all attempts at it (NewRequestID). A prompt has any number of parts. The first
// LeadingParts are always recorded and exchanged; of those behind them, which are many,
// what is kept is bounded over all records (FurtherPart).
//
// For whole requests the shared part is the digest of the request, and a begin is the end
// of a whole answer or SurvivalTime of work: a request may crash its target after the first
// event.
//
// A Quarantine is a state machine without I/O or a clock of its own. It is not safe
// for concurrent use.
package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"iter"
	"slices"
	"strings"
	"time"
)

// Part is the ID of a part of a prompt.
type Part string

// HashedPart returns a part of fixed length for an ID that is none: too long, or malformed. It is
// no hexadecimal number, so that no part has it as its own ID.
func HashedPart(id string) Part { return Part("." + shortHash(id, sha256.Size)[:MaxPartBytes-1]) }

// sessionBytes and contentBytes are the lengths of the hashes in a request ID, which is within
// MaxPartBytes.
const sessionBytes, contentBytes = 6, 12

// NewRequestID returns the ID of a request with this last part of its prompt and this
// content. Turns of a session have the last part in common, attempts at a request both.
func NewRequestID(lastPart, content string) Part {
	return Part(shortHash(lastPart, sessionBytes) + sessionSeparator + shortHash(content, contentBytes))
}

// sessionSeparator is in no ID of a part and in no short hash.
const sessionSeparator = "/"

// sessionOf returns what the requests of one session have in common.
func sessionOf(s Suspect) Part {
	session, _, _ := strings.Cut(string(s.Parts[len(s.Parts)-1]), sessionSeparator)
	return Part(session)
}

func shortHash(s string, n int) string {
	hash := sha256.Sum256([]byte(s))
	return base64.RawURLEncoding.EncodeToString(hash[:n])
}

// Suspect is a request that an engine had got and not begun to answer when it
// crashed.
type Suspect struct {
	// Parts ends with the ID of the request.
	Parts []Part
	// Further holds parts that are not in Parts, in order of position.
	Further []FurtherPart
	SentAt  time.Time
	// begun holds what other entries have said of begins of further parts.
	begun []mergedRun
}

// FurtherPart is a part of a prompt behind the first LeadingParts.
type FurtherPart struct {
	// Position is its place in the prompt, from 0 on.
	Position int
	Part     Part
}

// LeadingParts is the number of shared parts of a prompt that each record names.
const LeadingParts = 7

// shared returns the positions and the parts that other requests may share.
func (s *Suspect) shared() iter.Seq2[int, Part] {
	return func(yield func(int, Part) bool) {
		for i, p := range sharedParts(s.Parts) {
			if !yield(i, p) {
				return
			}
		}
		for _, f := range s.Further {
			if !yield(f.Position, f.Part) {
				return
			}
		}
	}
}

// has reports whether the suspect shares a part.
func (s *Suspect) has(part Part) bool {
	return slices.Contains(sharedParts(s.Parts), part) || slices.ContainsFunc(s.Further, func(f FurtherPart) bool { return f.Part == part })
}

// Incarnation identifies one run of a target.
type Incarnation struct {
	Target      string
	StartedAtMS int64
}

// Crash is the record of the end of an engine. Entries that sent requests to it
// contribute their suspects; a record without suspects counts as a crash, too.
type Crash struct {
	Incarnation
	At       time.Time
	Suspects []Suspect
	// Pool and FailureDomain are those of the target, empty if they are not known.
	Pool          string
	FailureDomain string
}

// Begin says that an engine began to answer a request with a part.
type Begin struct {
	Part Part
	At   time.Time
}

// BegunRuns says that an engine began to answer a request with further parts of a suspect: those
// with certain positions. Long prompts share most of their parts, so that this is much shorter
// than the parts.
type BegunRuns struct {
	Incarnation
	// Suspect is the ID of the request, and Runs are positions in the form "7-12,20".
	Suspect Part
	Runs    string
	At      time.Time
}

// Verdict is what an entry has concluded of a part. A higher Generation replaces a
// lower one.
type Verdict struct {
	Part       Part
	Generation uint64
	// Quarantined is false after a trial that the engine began to answer.
	Quarantined bool
	// Since is the time of this generation.
	Since time.Time
	// Crashes is the number of crash records behind the verdict.
	Crashes int
	// Entry is the entry that concluded it.
	Entry string
	// Trials is the number of trials so far, and of those that are left out.
	Trials int
	// LastAskedAt is when a request last asked for the part, as far as known. If
	// it is zero in a received verdict, the time of arrival counts.
	LastAskedAt time.Time
}

// Kind is what a Quarantine looks for.
type Kind uint8

// Values of Kind.
const (
	// SharedParts are parts of prompts that different requests share.
	SharedParts Kind = iota
	// WholeRequests are requests that come again.
	WholeRequests
)

// rules are the bounds and the decision of a Kind.
type rules struct {
	// evidenceTTL is how long crash records and begins count.
	evidenceTTL             time.Duration
	maxRecords, maxSuspects int
	maxQuarantined          int
	// maxTrials is the number of failed trials after which there are no more, and
	// maxTrialSends the number of requests that this entry sends for them. Sends
	// without an outcome may have crashed a target.
	maxTrials, maxTrialSends int
	// trialDelay is the time from a generation of a verdict to its trial, by the number of
	// trials before.
	trialDelay func(trials int) time.Duration
	// forgetTime is the time without a request after which a verdict is deleted.
	forgetTime time.Duration
	// find returns what is to be quarantined next.
	find func(records []*Crash, begunAt func(Part) time.Time) (candidate, bool)
}

var rulesOf = map[Kind]rules{
	SharedParts: {
		evidenceTTL: time.Minute, maxRecords: 64, maxSuspects: 32, maxQuarantined: 256, maxTrials: 2, maxTrialSends: 3, forgetTime: time.Hour,
		trialDelay: func(trials int) time.Duration { return quarantineTime << trials },
		find:       mostSuspectPart,
	},
	// The sends of a request that has crashed three targets are bounded over a whole day,
	// and its repeats may be far apart.
	WholeRequests: {
		evidenceTTL: 24 * time.Hour, maxRecords: 128, maxSuspects: 96, maxQuarantined: 1024, maxTrials: 2, maxTrialSends: 2, forgetTime: 24 * time.Hour,
		trialDelay: requestTrialDelay,
		find:       mostSuspectRequest,
	},
}

// EvidenceTTL returns how long crash records of a kind count.
func (k Kind) EvidenceTTL() time.Duration { return rulesOf[k].evidenceTTL }

// ForgetTime returns how long after the last request for it a verdict of a kind counts.
func (k Kind) ForgetTime() time.Duration { return rulesOf[k].forgetTime }

// Config configures a Quarantine.
type Config struct {
	Kind Kind
	// Entry is the name of this entry.
	Entry string
	// OwnsTrial reports whether this entry makes the trials of a part. If it is
	// nil, this entry makes all.
	OwnsTrial func(Part) bool
}

// SurvivalTime is the time since the first event after which a target that still answers a
// request does not crash under it.
const SurvivalTime = 2 * time.Second

const (
	// settleTime is the time after a crash in which the evidence of all entries
	// arrives. A younger record counts for no verdict, because the suspect that
	// explains it, or a begin that shows that another is sound, may arrive later.
	settleTime = 400 * time.Millisecond
	// groupInterval is the time within which crashes are one group. Engines that lose
	// power together crash within it, as seen by different entries.
	groupInterval = 250 * time.Millisecond
	// maxTransit is subtracted from the times of begins at other entries, which are
	// late by the transit of the message. Without it a begin just before the first
	// crash under a part would void the next ones, too.
	maxTransit = 150 * time.Millisecond

	// minHits is the number of hits for a verdict while nothing else crashes.
	minHits = 3
	// othersPerHit is the number of other crashes for which one more hit is needed,
	// and hitsPerRival the number of hits for another part that is in as many crashes
	// or in one less. Where engines crash whatever they serve, sound requests are
	// suspects by chance.
	othersPerHit = 3
	hitsPerRival = 1
	// minHitsInMost is the number of hits that suffices, however many other crashes
	// there are, for a part that is in at least half of the crashes.
	minHitsInMost = 5
	// noiseWindow is the shortest time over which other crashes are counted, and
	// maxOthersPerGroup how many of a group count, so that a loss of power does not
	// hide a crashing part.
	noiseWindow       = 5 * time.Second
	maxOthersPerGroup = 4
	// minMassCrash is the number of crashes from which a group whose crashes all hold
	// the part counts as two hits. A popular part may end every engine within a
	// second, and a loss of power hits engines without it, too.
	minMassCrash = 3

	// quarantineTime is the time from a verdict to the first trial. For parts of prompts it
	// doubles with each trial that fails.
	quarantineTime = 10 * time.Minute
	// trialTimeout is the time after which a trial without an outcome is repeated.
	trialTimeout = 30 * time.Second

	// MaxPartBytes is the longest ID of a part.
	MaxPartBytes = 32
	maxNameBytes = 64
	// maxPosition is above the positions of parts in any head.
	maxPosition = 1 << 20
	// maxFurtherParts bounds the further parts in all records together.
	maxFurtherParts = 1 << 15
	// maxBegunRuns bounds the begins of further parts that are kept with a suspect.
	maxBegunRuns = 16
	maxReleased  = 256
	// maxBegins is the number of begins in each of the two maps of begins.
	maxBegins = 4096
)

// sharedParts returns the parts of a request that other requests may share.
func sharedParts(parts []Part) []Part {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}
