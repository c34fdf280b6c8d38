package containment

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/recall"
)

const (
	// keptCrashesDelay is how long crashes that target processes have kept wait: begins
	// that void them may arrive later, from other target processes.
	keptCrashesDelay = 500 * time.Millisecond
	// keptCrashBytes and keptSuspectBytes are upper bounds of the encoded sizes of a crash
	// without its suspects and of a suspect without its parts.
	keptCrashBytes   = 256
	keptSuspectBytes = 16
)

// keptVerdict is a verdict as target processes keep it. Its times are ages in milliseconds
// at the time of the fact.
type keptVerdict struct {
	Quarantined bool   `msgpack:"q,omitempty"`
	Crashes     int    `msgpack:"c,omitempty"`
	Entry       string `msgpack:"e,omitempty"`
	Trials      int    `msgpack:"n,omitempty"`
	SinceMS     int64  `msgpack:"s,omitempty"`
}

// keptCrash is a crash record as target processes keep it, or a part of one.
type keptCrash struct {
	Target        string        `msgpack:"t"`
	StartedAtMS   int64         `msgpack:"b,omitempty"`
	Pool          string        `msgpack:"p,omitempty"`
	FailureDomain string        `msgpack:"d,omitempty"`
	Suspects      []keptSuspect `msgpack:"s,omitempty"`
}

// keptSuspect was sent a time before the crash, 0 if it was sent after the first connection
// broke.
type keptSuspect struct {
	Parts  []quarantine.Part `msgpack:"p"`
	SentMS int64             `msgpack:"a"`
}

// factOf returns the fact by which target processes keep a verdict.
func factOf(v quarantine.Verdict, now time.Time) recall.Fact {
	ttl := kindOf(v.Part).ForgetTime()
	// A struct of these types can always be encoded.
	value, _ := msgpack.Marshal(&keptVerdict{Quarantined: v.Quarantined, Crashes: v.Crashes, Entry: v.Entry, Trials: v.Trials, SinceMS: now.Sub(v.Since).Milliseconds()})
	return recall.Fact{Kind: recall.Verdict, Key: string(v.Part), Value: value, Order: v.Generation, At: now, TTL: ttl}
}

// kindOf returns what a part or digest is evidence of.
func kindOf(p quarantine.Part) quarantine.Kind {
	if isDigest(p) {
		return quarantine.WholeRequests
	}
	return quarantine.SharedParts
}

// crashFacts returns the facts by which target processes keep a crash record.
func crashFacts(c quarantine.Crash) (facts []recall.Fact) {
	kind := quarantine.SharedParts
	if len(c.Suspects) > 0 {
		kind = kindOf(c.Suspects[0].Parts[0])
	}
	for rest := c.Suspects; len(facts) == 0 || len(rest) > 0; {
		kept := keptCrash{Target: c.Target, StartedAtMS: c.StartedAtMS, Pool: c.Pool, FailureDomain: c.FailureDomain}
		for size := keptCrashBytes; len(rest) > 0; rest = rest[1:] {
			for _, p := range rest[0].Parts {
				size += len(p) + 2
			}
			if size += keptSuspectBytes; size > recall.MaxCrashBytes {
				break
			}
			kept.Suspects = append(kept.Suspects, keptSuspect{Parts: rest[0].Parts, SentMS: max(0, c.At.Sub(rest[0].SentAt).Milliseconds())})
		}
		// A struct of these types can always be encoded.
		value, _ := msgpack.Marshal(&kept)
		hash := sha256.Sum256(value)
		facts = append(facts, recall.Fact{Kind: recall.Crash, Key: base64.RawURLEncoding.EncodeToString(hash[:16]), Value: value, At: c.At, TTL: kind.EvidenceTTL()})
	}
	return facts
}

// crashOf returns the crash record, or the part of one, that target processes have kept.
func crashOf(f recall.Fact) (c quarantine.Crash, ok bool) {
	var kept keptCrash
	if msgpack.Unmarshal(f.Value, &kept) != nil || kept.Target == "" {
		return quarantine.Crash{}, false
	}
	c = quarantine.Crash{
		Incarnation: quarantine.Incarnation{Target: kept.Target, StartedAtMS: kept.StartedAtMS}, At: f.At, Pool: kept.Pool, FailureDomain: kept.FailureDomain,
	}
	for _, s := range kept.Suspects {
		if len(s.Parts) == 0 || s.SentMS < 0 {
			return quarantine.Crash{}, false
		}
		c.Suspects = append(c.Suspects, quarantine.Suspect{Parts: s.Parts, SentAt: f.At.Add(-time.Duration(s.SentMS) * time.Millisecond)})
	}
	return c, true
}

// keep sends the crashes and begins that this entry has seen to target processes, which keep
// them. remember does so for verdicts.
func (g *Guard) keep(e peers.Evidence) {
	if g.cfg.Remember == nil {
		return
	}
	var facts []recall.Fact
	for _, b := range e.Begins {
		facts = append(facts, recall.Fact{Kind: recall.Begin, Key: string(b.Part), At: b.At, TTL: kindOf(b.Part).EvidenceTTL()})
	}
	for _, c := range e.Crashes {
		facts = append(facts, crashFacts(c)...)
	}
	g.keepHere(facts)
	for _, f := range facts {
		g.cfg.Remember(f)
	}
}

// keepHere keeps facts at this entry, for target processes that are reached later.
func (g *Guard) keepHere(facts []recall.Fact) {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, f := range facts {
		g.kept.Put(now, f)
	}
}

// remember keeps verdicts that this entry has concluded at target processes.
func (g *Guard) remember(verdicts []quarantine.Verdict) {
	if g.cfg.Remember == nil {
		return
	}
	now := g.cfg.Now()
	for _, v := range verdicts {
		if v.Entry == g.cfg.Entry {
			g.cfg.Remember(factOf(v, now))
		}
	}
}

// Facts returns all verdicts, crashes and begins, for a target process that keeps them.
func (g *Guard) Facts() []recall.Fact {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var facts []recall.Fact
	for _, v := range append(g.requests.Verdicts(), g.parts.Verdicts()...) {
		facts = append(facts, factOf(v, now))
	}
	return append(append(facts, g.kept.List(now, recall.Begin)...), g.kept.List(now, recall.Crash)...)
}

// ReceiveFacts takes what a target process has kept.
func (g *Guard) ReceiveFacts(facts []recall.Fact) {
	var e, crashes peers.Evidence
	for _, f := range facts {
		switch f.Kind {
		case recall.Verdict:
			if v, ok := verdictOf(f); ok {
				e.Verdicts = append(e.Verdicts, v)
			}
		case recall.Begin:
			e.Begins = append(e.Begins, quarantine.Begin{Part: quarantine.Part(f.Key), At: f.At})
			g.keepHere([]recall.Fact{f})
		case recall.Crash:
			if c, ok := crashOf(f); ok {
				crashes.Crashes = append(crashes.Crashes, c)
				g.keepHere([]recall.Fact{f})
			}
		}
	}
	if len(e.Verdicts)+len(e.Begins) > 0 {
		g.Receive(e)
	}
	if len(crashes.Crashes) > 0 {
		time.AfterFunc(keptCrashesDelay, func() { g.Receive(crashes) })
	}
}

// verdictOf returns the verdict that target processes have kept.
func verdictOf(f recall.Fact) (v quarantine.Verdict, ok bool) {
	var kept keptVerdict
	if msgpack.Unmarshal(f.Value, &kept) != nil || kept.SinceMS < 0 || kept.Crashes < 0 {
		return quarantine.Verdict{}, false
	}
	return quarantine.Verdict{
		Part: quarantine.Part(f.Key), Generation: f.Order, Quarantined: kept.Quarantined, Crashes: kept.Crashes, Entry: kept.Entry, Trials: kept.Trials,
		Since: f.At.Add(-time.Duration(kept.SinceMS) * time.Millisecond), LastAskedAt: f.At,
	}, true
}
