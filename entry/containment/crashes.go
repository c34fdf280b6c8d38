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
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// gatherTime is how long suspects of one incarnation are gathered: its connections
	// do not break at the same moment. Its listener has closed after that time too.
	gatherTime = 50 * time.Millisecond
	// dialTimeout bounds the connection that finds out whether a target has ended.
	dialTimeout = 150 * time.Millisecond
	// replacedInterval is the time between two looks at the published state.
	replacedInterval = 200 * time.Millisecond
	// maxBroken bounds the incarnations that are being looked at.
	maxBroken = 256
	// maxBrokenRequests bounds the requests under way at one of them.
	maxBrokenRequests = 96
	// maxBrokenParts bounds the parts of their prompts in all; of further prompts only the first
	// ones are kept.
	maxBrokenParts = 1 << 14
	// maxLoggedParts bounds the parts in a log line.
	maxLoggedParts = 16
	// maxConfirmTime is how long after the last dial a new incarnation at the address shows
	// that the one before has crashed. An incarnation registers at its start.
	maxConfirmTime = 2 * time.Second
)

// examineAfter is when, after a connection broke, the target is dialled. A target that ends
// may still accept a connection at the first dial.
var examineAfter = []time.Duration{gatherTime, 300 * time.Millisecond}

// breakage is an incarnation of which a connection broke before the end of an answer.
type breakage struct {
	at time.Time
	// suspects are the requests without an event, by their parts, and requests all
	// requests, by their digests. prompted is true if one of them has a prompt.
	suspects []quarantine.Suspect
	requests []quarantine.Suspect
	prompted bool
	// parts is the number of parts in suspects.
	parts int
}

// Broken records that the connection to a target ended before the end of an answer; it
// returns at once and examines the target in the background. Only a target that refuses
// connections, or that another incarnation has replaced, counts as crashed. A timeout must
// not be reported: silence is no evidence. Once the answer has begun, the parts of the
// prompt are no suspects.
func (g *Guard) Broken(target *catalog.Target, r relay.Identity, began bool, sentAt time.Time) {
	if g.leaving(target) {
		return
	}
	incarnation := incarnationOf(target)
	digest, prompt := digestParts(r), suspectParts(r)
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
	b.prompted = b.prompted || len(prompt) > 0
	if !began && len(prompt) > 1 && len(b.suspects) < wire.MaxSuspects {
		s := quarantine.Suspect{Parts: prompt, SentAt: sentAt}
		if b.parts+len(prompt) > maxBrokenParts {
			s = s.Leading()
			g.furtherDropped(target.ID, len(prompt)-len(s.Parts), "too many were under way at the target")
		}
		b.parts += len(s.Parts)
		b.suspects = append(b.suspects, s)
	}
	if len(b.requests) < maxBrokenRequests {
		b.requests = append(b.requests, quarantine.Suspect{Parts: digest, SentAt: sentAt})
	}
}

func (g *Guard) leaving(target *catalog.Target) bool {
	return target.Draining || g.cfg.Leaving != nil && g.cfg.Leaving(target)
}

// examine finds out whether an incarnation has crashed, and records it.
func (g *Guard) examine(target *catalog.Target, incarnation quarantine.Incarnation, b *breakage) {
	crashed, reason := g.dial(target)
	// Connections that break from now on are examined anew.
	g.mu.Lock()
	delete(g.broken, incarnation)
	g.mu.Unlock()
	if !crashed && reason == "" {
		crashed, reason = g.awaitReplaced(target)
	}
	now := g.cfg.Now()
	g.mu.Lock()
	if !crashed {
		g.mu.Unlock()
		g.cfg.Log.With("target", target.ID).With("suspects", len(b.requests)).With("reason", reason).Info("no crash, though a connection broke")
		return
	}
	crash := quarantine.Crash{Incarnation: incarnation, At: b.at, Pool: target.Pool, FailureDomain: target.FailureDomain}
	news := peers.Evidence{}
	if b.prompted {
		crash.Suspects = b.suspects
		_, known := g.seen[incarnation]
		news.Verdicts = g.recordCrash(now, crash, false)
		if !known || len(b.suspects) > 0 {
			news.Crashes = append(news.Crashes, g.parts.Exchanged(crash))
		}
		g.addUntold(crash)
	}
	for requests := range slices.Chunk(b.requests, wire.MaxSuspects) {
		crash.Suspects = requests
		news.Crashes = append(news.Crashes, crash)
		news.Verdicts = append(news.Verdicts, g.recordCrash(now, crash, false)...)
	}
	g.takeBegins(now, &news)
	news.Further = g.takeUntold(now)
	g.mu.Unlock()
	g.broadcast(news)
}

// dial reports whether a target of which a connection broke refuses new ones, and why it is
// taken that it has not crashed, empty if it accepts them.
func (g *Guard) dial(target *catalog.Target) (crashed bool, reason string) {
	brokeAt := time.Now()
	for _, after := range examineAfter {
		time.Sleep(time.Until(brokeAt.Add(after)))
		err := g.cfg.Dial(target.Address, dialTimeout)
		switch {
		case g.leaving(target):
			return false, "the target leaves"
		case errors.Is(err, syscall.ECONNREFUSED):
			return true, ""
		case err != nil:
			return false, err.Error()
		}
	}
	return false, ""
}

// awaitReplaced reports whether another incarnation is listed at the address of a target that
// accepts connections.
func (g *Guard) awaitReplaced(target *catalog.Target) (crashed bool, reason string) {
	for end := time.Now().Add(maxConfirmTime); g.cfg.Replaced != nil && time.Now().Before(end); {
		if g.cfg.Replaced(target) {
			return !g.leaving(target), "the target leaves"
		}
		time.Sleep(replacedInterval)
	}
	return false, "the target accepts connections"
}

// takeBegins adds what other entries should hear of the answers at this entry.
func (g *Guard) takeBegins(now time.Time, e *peers.Evidence) {
	e.Begins = append(e.Begins, append(g.parts.TakeBegins(now), g.requests.TakeBegins(now)...)...)
	e.FurtherBegins = append(e.FurtherBegins, g.parts.TakeRuns()...)
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
	if len(c.Suspects) > 0 && isDigest(c.Suspects[0].Parts[0]) {
		return g.recordRequests(now, c, fromPeer)
	}
	ttl := quarantine.SharedParts.EvidenceTTL()
	if now.Sub(c.At) >= ttl {
		return nil
	}
	for incarnation, at := range g.seen {
		if now.Sub(at) > ttl {
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
	changed := g.parts.RecordCrash(now, c)
	g.concernsParts.Store(true)
	if n := g.parts.TakeDropped(); n > 0 {
		g.furtherDropped(c.Target, n, "the crash records hold too many")
	}
	g.adopt(changed)
	g.evaluateUntil(c.At.Add(ttl))
	return changed
}

// recordRequests records a crash with the digests of the requests under way.
func (g *Guard) recordRequests(now time.Time, c quarantine.Crash, fromPeer bool) []quarantine.Verdict {
	ttl := quarantine.WholeRequests.EvidenceTTL()
	if now.Sub(c.At) >= ttl {
		return nil
	}
	if !fromPeer {
		g.cfg.Metrics.Count("target_crashes_seen")
		g.cfg.Log.With("target", c.Target).With("pool", c.Pool).With("requests", len(c.Suspects)).With("digests", joinedDigests(c)).
			With("ago_ms", now.Sub(c.At).Milliseconds()).Info("target crashed")
	}
	changed := g.requests.RecordCrash(now, c)
	g.requests.Discard(g.parts.Explained())
	g.adopt(changed)
	g.refresh()
	g.evaluateUntil(c.At.Add(ttl))
	return changed
}

// evaluateUntil makes a goroutine evaluate the evidence until a time.
func (g *Guard) evaluateUntil(until time.Time) {
	if until.After(g.evidenceUntil) {
		g.evidenceUntil = until
	}
	if !g.ticking {
		g.ticking = true
		go g.evaluate()
	}
}

// joinedDigests returns the digests of the suspects for a log line.
func joinedDigests(c quarantine.Crash) string {
	var digests []string
	for _, s := range c.Suspects {
		if len(digests) < maxLoggedParts {
			digests = append(digests, causeOf(s.Parts[0]).Digest)
		}
	}
	return strings.Join(digests, ",")
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
		changed := append(g.parts.Tick(now), g.requests.Tick(now)...)
		g.adopt(changed)
		g.ticking = now.Before(g.evidenceUntil)
		ends := !g.ticking
		if ends {
			g.refresh()
		}
		news := peers.Evidence{Verdicts: changed, Further: g.takeUntold(now)}
		g.mu.Unlock()
		g.broadcast(news)
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
	ofRequest := func(v quarantine.Verdict) bool { return isDigest(v.Part) }
	onRequests, onParts := split(e.Verdicts, ofRequest)
	merged := append(g.parts.Merge(now, onParts), g.requests.Merge(now, onRequests)...)
	g.adopt(merged)
	// A begin voids the hits of its part before it, so it is merged first.
	answered, begun := split(e.Begins, func(b quarantine.Begin) bool { return isDigest(b.Part) })
	changed := append(g.parts.MergeBegins(now, begun), g.requests.MergeBegins(now, answered)...)
	g.adopt(changed)
	for _, v := range merged {
		if v.Entry == g.cfg.Entry {
			changed = append(changed, v)
		}
	}
	for _, c := range slices.Concat(e.Crashes, e.Further) {
		changed = append(changed, g.recordCrash(now, c, true)...)
	}
	// These name suspects of the crashes.
	begunFurther := g.parts.MergeRuns(now, e.FurtherBegins)
	g.adopt(begunFurther)
	changed = append(changed, begunFurther...)
	news := peers.Evidence{Verdicts: changed}
	if len(e.Crashes)+len(e.Further) > 0 {
		g.takeBegins(now, &news)
		news.Further = g.takeUntold(now)
	}
	g.mu.Unlock()
	g.broadcast(news)
}

// split returns the elements for which first returns true, and the others.
func split[T any](list []T, first func(T) bool) (yes, no []T) {
	for _, x := range list {
		if first(x) {
			yes = append(yes, x)
		} else {
			no = append(no, x)
		}
	}
	return yes, no
}

// Evidence returns all verdicts, begins of suspected parts and crash records, the newest
// first.
func (g *Guard) Evidence() peers.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	e := peers.Evidence{
		Begins: append(g.parts.Begins(), g.requests.Begins()...), FurtherBegins: g.parts.Runs(),
		Verdicts: append(g.parts.Verdicts(), g.requests.Verdicts()...),
	}
	explained := g.parts.Explained()
	for _, c := range g.parts.Crashes(now) {
		e.Crashes = append(e.Crashes, g.parts.Exchanged(c))
		if !slices.Contains(explained, c.Incarnation) {
			e.Further = append(e.Further, inPieces(c)...)
		}
	}
	for _, c := range g.requests.Crashes(now) {
		for suspects := range slices.Chunk(c.Suspects, wire.MaxSuspects) {
			c.Suspects = suspects
			e.Crashes = append(e.Crashes, c)
		}
	}
	slices.SortFunc(e.Crashes, func(a, b quarantine.Crash) int { return b.At.Compare(a.At) })
	slices.SortStableFunc(e.Further, func(a, b quarantine.Crash) int { return b.At.Compare(a.At) })
	slices.SortFunc(e.Begins, func(a, b quarantine.Begin) int { return b.At.Compare(a.At) })
	slices.SortFunc(e.Verdicts, func(a, b quarantine.Verdict) int { return b.Since.Compare(a.Since) })
	return e
}
