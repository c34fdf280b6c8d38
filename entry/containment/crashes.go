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
// no evidence.
func (g *Guard) Broken(target *catalog.Target, parts []string, sentAt time.Time) {
	list := bounded(parts)
	if len(list) == 0 || g.leaving(target) {
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
		b = &breakage{at: time.Now()}
		g.broken[incarnation] = b
		go g.examine(target, incarnation, b)
	}
	if len(b.suspects) < wire.MaxSuspects {
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
	now := time.Now()
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
	changed := g.recordCrash(now, crash, false)
	g.adopt(changed)
	g.mu.Unlock()
	crash.Suspects = slices.Clone(crash.Suspects)
	g.broadcast(peers.Evidence{Crashes: []quarantine.Crash{crash}, Verdicts: changed})
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
	g.forgetOld(now)
	if _, counted := g.seen[c.Incarnation]; !counted && len(g.seen) < maxSeenIncarnations {
		g.seen[c.Incarnation] = now
		g.cfg.Metrics.Count("engine_crashes_seen")
	}
	var parts []string
	for _, s := range c.Suspects {
		for _, p := range s.Parts {
			if t := g.times[p]; c.At.After(t.crash) {
				g.setTimes(p, partTimes{crash: c.At, begun: t.begun})
			}
			if len(parts) < maxLoggedParts && !slices.Contains(parts, string(p)) {
				parts = append(parts, string(p))
			}
		}
	}
	g.cfg.Log.With("target", c.Target).With("suspects", len(c.Suspects)).With("parts", strings.Join(parts, ",")).
		With("ago_ms", now.Sub(c.At).Milliseconds()).With("from_peer", fromPeer).Info("engine crashed")
	until := int64(c.At.Add(evidenceTTL).Sub(g.started))
	g.suspectUntil.Store(max(until, g.suspectUntil.Load()))
	return g.quarantine.RecordCrash(now, c)
}

// forgetOld forgets parts and incarnations whose crashes are too old to count.
func (g *Guard) forgetOld(now time.Time) {
	for p, t := range g.times {
		if now.Sub(t.crash) > evidenceTTL {
			delete(g.times, p)
		}
	}
	for incarnation, at := range g.seen {
		if now.Sub(at) > evidenceTTL {
			delete(g.seen, incarnation)
		}
	}
}

// Receive takes evidence of another entry. Verdicts that follow from it here go to all
// entries, because another entry may lack a part of the evidence.
func (g *Guard) Receive(e peers.Evidence) {
	now := time.Now()
	g.mu.Lock()
	g.adopt(g.quarantine.Merge(now, e.Verdicts))
	// A begin frees a part from the crashes before it only, so the order matters.
	slices.SortFunc(e.Crashes, func(a, b quarantine.Crash) int { return a.At.Compare(b.At) })
	slices.SortFunc(e.Begun, func(a, b peers.Begun) int { return a.At.Compare(b.At) })
	var changed []quarantine.Verdict
	for len(e.Crashes)+len(e.Begun) > 0 {
		if len(e.Begun) == 0 || len(e.Crashes) > 0 && !e.Crashes[0].At.After(e.Begun[0].At) {
			changed = append(changed, g.recordCrash(now, e.Crashes[0], true)...)
			e.Crashes = e.Crashes[1:]
			continue
		}
		b := e.Begun[0]
		e.Begun = e.Begun[1:]
		if t, known := g.times[b.Part]; known && b.At.After(t.begun) {
			g.times[b.Part] = partTimes{crash: t.crash, begun: b.At}
		}
		_, released := g.quarantine.RecordBegan(now, b.At, []quarantine.Part{b.Part})
		changed = append(changed, released...)
	}
	g.adopt(changed)
	g.mu.Unlock()
	g.broadcast(peers.Evidence{Verdicts: changed})
}

// Evidence returns all verdicts and crash records, the newest first.
func (g *Guard) Evidence() peers.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := peers.Evidence{Crashes: g.quarantine.Crashes(time.Now()), Verdicts: g.quarantine.Verdicts()}
	slices.SortFunc(e.Crashes, func(a, b quarantine.Crash) int { return b.At.Compare(a.At) })
	slices.SortFunc(e.Verdicts, func(a, b quarantine.Verdict) int { return b.Since.Compare(a.Since) })
	return e
}
