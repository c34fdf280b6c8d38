package containment

import (
	"errors"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// gatherTime is how long suspects of one incarnation are gathered: its connections
	// do not break at the same moment. Its listener has closed after that time too.
	gatherTime = 50 * time.Millisecond
	// dialTimeout bounds the connection that finds out whether a target has ended.
	dialTimeout = 150 * time.Millisecond
	// maxBroken bounds the incarnations that are being looked at.
	maxBroken = 256
	// maxLoggedParts bounds the parts in a log line.
	maxLoggedParts = 16
)

// breakage is an incarnation of which a connection broke before the first event.
type breakage struct {
	at       time.Time
	suspects []quarantine.Suspect
}

// Broken records that the connection to a target ended before the first event of an
// answer; it returns at once and dials the target in the background. Only a target that
// refuses the connection counts as crashed. A timeout must not be reported: silence is
// no evidence. Without shared parts the crash counts, but the request is no suspect.
func (g *Guard) Broken(target *catalog.Target, parts []string, sentAt time.Time) {
	if g.leaving(target) {
		return
	}
	incarnation := incarnationOf(target)
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.broken[incarnation]
	if b == nil {
		if len(g.broken) >= maxBroken {
			return
		}
		b = &breakage{at: g.cfg.Now()}
		g.broken[incarnation] = b
		go g.examine(target, incarnation, b)
	}
	if list := bounded(parts); len(list) > 1 && len(b.suspects) < wire.MaxSuspects {
		b.suspects = append(b.suspects, quarantine.Suspect{Parts: list, SentAt: sentAt})
	}
}

func (g *Guard) leaving(target *catalog.Target) bool {
	return target.Draining || g.cfg.Leaving != nil && g.cfg.Leaving(target)
}

// examine finds out whether an incarnation has crashed, and records it.
func (g *Guard) examine(target *catalog.Target, incarnation quarantine.Incarnation, b *breakage) {
	time.Sleep(gatherTime)
	err := g.cfg.Dial(target.Address, dialTimeout)
	crashed := errors.Is(err, syscall.ECONNREFUSED) && !g.leaving(target)
	now := g.cfg.Now()
	g.mu.Lock()
	delete(g.broken, incarnation)
	if !crashed {
		g.mu.Unlock()
		reason := "the target accepts connections"
		if err != nil {
			reason = err.Error()
		}
		g.cfg.Log.With("target", target.ID).With("suspects", len(b.suspects)).With("reason", reason).Info("no crash, though a connection broke")
		return
	}
	crash := quarantine.Crash{Incarnation: incarnation, At: b.at, Suspects: b.suspects}
	news := peers.Evidence{}
	if _, known := g.seen[incarnation]; !known || len(b.suspects) > 0 {
		news.Crashes = []quarantine.Crash{crash}
	}
	news.Verdicts = g.recordCrash(now, crash, false)
	news.Begins = g.quarantine.TakeBegins(now)
	g.mu.Unlock()
	g.broadcast(news)
}

// dialTCP connects to an address and closes the connection.
func dialTCP(address string, timeout time.Duration) error {
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return err
	}
	return conn.Close()
}

// recordCrash records a crash record of this or another entry and returns new verdicts.
// The caller holds mu.
func (g *Guard) recordCrash(now time.Time, c quarantine.Crash, fromPeer bool) []quarantine.Verdict {
	if now.Sub(c.At) >= evidenceTTL {
		return nil
	}
	for incarnation, at := range g.seen {
		if now.Sub(at) > evidenceTTL {
			delete(g.seen, incarnation)
		}
	}
	_, counted := g.seen[c.Incarnation]
	if !counted && len(g.seen) < maxSeenIncarnations {
		g.seen[c.Incarnation] = now
		g.cfg.Metrics.Count("engine_crashes_seen")
	}
	// Every entry logs its own suspects, so that the logs of all have them once.
	if !fromPeer || !counted {
		g.cfg.Log.With("target", c.Target).With("suspects", len(c.Suspects)).With("parts", joinedParts(c)).
			With("ago_ms", now.Sub(c.At).Milliseconds()).With("from_peer", fromPeer).Info("engine crashed")
	}
	changed := g.quarantine.RecordCrash(now, c)
	g.adopt(changed)
	if until := c.At.Add(evidenceTTL); until.After(g.evidenceUntil) {
		g.evidenceUntil = until
	}
	if !g.ticking {
		g.ticking = true
		go g.evaluate()
	}
	return changed
}

// joinedParts returns the parts of the suspects for a log line.
func joinedParts(c quarantine.Crash) string {
	var parts []string
	for _, s := range c.Suspects {
		for _, p := range s.Parts {
			if len(parts) < maxLoggedParts && !slices.Contains(parts, string(p)) {
				parts = append(parts, string(p))
			}
		}
	}
	return strings.Join(parts, ",")
}

// evaluate evaluates the evidence at an interval until none is left.
func (g *Guard) evaluate() {
	for range time.Tick(tickInterval) {
		g.mu.Lock()
		now := g.cfg.Now()
		changed := g.quarantine.Tick(now)
		g.adopt(changed)
		g.ticking = now.Before(g.evidenceUntil)
		ends := !g.ticking
		g.mu.Unlock()
		g.broadcast(peers.Evidence{Verdicts: changed})
		if ends {
			return
		}
	}
}

// Receive takes evidence of another entry. Verdicts that follow from it here go to all
// entries, because another entry may lack a part of the evidence.
func (g *Guard) Receive(e peers.Evidence) {
	now := g.cfg.Now()
	g.mu.Lock()
	merged := g.quarantine.Merge(now, e.Verdicts)
	g.adopt(merged)
	// A begin voids the hits of its part before it, so it is merged first.
	changed := g.quarantine.MergeBegins(now, e.Begins)
	g.adopt(changed)
	for _, v := range merged {
		if v.Entry == g.cfg.Entry {
			changed = append(changed, v)
		}
	}
	for _, c := range e.Crashes {
		changed = append(changed, g.recordCrash(now, c, true)...)
	}
	news := peers.Evidence{Verdicts: changed}
	if len(e.Crashes) > 0 {
		news.Begins = g.quarantine.TakeBegins(now)
	}
	g.mu.Unlock()
	g.broadcast(news)
}

// Evidence returns all verdicts, begins of suspected parts and crash records, the newest
// first.
func (g *Guard) Evidence() peers.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := peers.Evidence{Crashes: g.quarantine.Crashes(g.cfg.Now()), Begins: g.quarantine.Begins(), Verdicts: g.quarantine.Verdicts()}
	slices.SortFunc(e.Crashes, func(a, b quarantine.Crash) int { return b.At.Compare(a.At) })
	slices.SortFunc(e.Begins, func(a, b quarantine.Begin) int { return b.At.Compare(a.At) })
	slices.SortFunc(e.Verdicts, func(a, b quarantine.Verdict) int { return b.Since.Compare(a.Since) })
	return e
}
