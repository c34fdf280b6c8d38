package containment

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/recall"
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

// factOf returns the fact by which target processes keep a verdict.
func factOf(v quarantine.Verdict, now time.Time) recall.Fact {
	ttl := quarantine.SharedParts.ForgetTime()
	if isDigest(v.Part) {
		ttl = quarantine.WholeRequests.ForgetTime()
	}
	// A struct of these types can always be encoded.
	value, _ := msgpack.Marshal(&keptVerdict{Quarantined: v.Quarantined, Crashes: v.Crashes, Entry: v.Entry, Trials: v.Trials, SinceMS: now.Sub(v.Since).Milliseconds()})
	return recall.Fact{Kind: recall.Verdict, Key: string(v.Part), Value: value, Order: v.Generation, At: now, TTL: ttl}
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

// Facts returns all verdicts, for a target process that keeps them.
func (g *Guard) Facts() []recall.Fact {
	now := g.cfg.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var facts []recall.Fact
	for _, v := range append(g.requests.Verdicts(), g.parts.Verdicts()...) {
		facts = append(facts, factOf(v, now))
	}
	return facts
}

// ReceiveFacts takes the verdicts that a target process has kept.
func (g *Guard) ReceiveFacts(facts []recall.Fact) {
	var e peers.Evidence
	for _, f := range facts {
		var v keptVerdict
		if f.Kind != recall.Verdict || msgpack.Unmarshal(f.Value, &v) != nil || v.SinceMS < 0 || v.Crashes < 0 {
			continue
		}
		e.Verdicts = append(e.Verdicts, quarantine.Verdict{
			Part: quarantine.Part(f.Key), Generation: f.Order, Quarantined: v.Quarantined, Crashes: v.Crashes, Entry: v.Entry, Trials: v.Trials,
			Since: f.At.Add(-time.Duration(v.SinceMS) * time.Millisecond), LastAskedAt: f.At,
		})
	}
	if len(e.Verdicts) > 0 {
		g.Receive(e)
	}
}
