// Package containment keeps requests under which targets crash away from the targets:
// requests with a certain part in their prompt, and single requests that come again. A
// Guard collects the crashes that this entry sees, exchanges them with other entries and
// applies the verdicts of package quarantine.
package containment

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

const (
	// tickInterval is the time between two evaluations while there is evidence.
	tickInterval = 100 * time.Millisecond
	// maxSeenIncarnations bounds the incarnations that were counted as crashed.
	maxSeenIncarnations = 1024

	// digestPrefix begins the digest of a whole request where entries exchange it as a
	// part. IDs of parts of prompts are hexadecimal.
	digestPrefix = "@"
	// firstAsk is above all numbers of requests of the broker.
	firstAsk = 1 << 63
	// ownDigestPart follows the digest as the last part.
	ownDigestPart = quarantine.Part("@")
)

// Config is the configuration of a Guard. All fields but Entry, Metrics and Log may be
// nil.
type Config struct {
	// Entry is the name of this entry.
	Entry string
	// OwnsTrial reports whether this entry is the one that sends a request with a
	// quarantined part to find out whether engines still crash.
	OwnsTrial func(part string) bool
	// Leaving reports whether a target was about to stop. Target.Draining says so too.
	Leaving func(*catalog.Target) bool
	// Replaced reports whether the published state has another incarnation at the address
	// of a target.
	Replaced func(*catalog.Target) bool
	// Remember keeps a fact at target processes. The default keeps none.
	Remember func(recall.Fact)
	// Targets returns the targets that the published state lists in a pool. The default is
	// none.
	Targets func(pool string) []*catalog.Target
	// AskPermit asks the entries for a permit, as permits.Exchange.Ask does. The default
	// grants each.
	AskPermit func(number uint64, a ratelimit.Ask, reply func(granted bool, retryAfter time.Duration))
	// Broadcast sends evidence to all other entries.
	Broadcast func(peers.Evidence)
	// EntryCount returns the number of known entries, including this one. The default is one.
	EntryCount func() int
	// Dial connects to an address and closes the connection, within a timeout. The
	// default uses TCP.
	Dial func(address string, timeout time.Duration) error
	// Now returns the time, by default that of the clock.
	Now     func() time.Time
	Metrics *telemetry.Metrics
	Log     *telemetry.Logger
}

// Guard decides which requests this entry keeps from the engines. It is safe for
// concurrent use.
type Guard struct {
	cfg Config
	// quarantinedParts and quarantinedRequests are the numbers of verdicts in force, and
	// suspectedRequests that of the requests which a crash counts against.
	quarantinedParts, quarantinedRequests, suspectedRequests atomic.Int64
	// concernsParts is set while there is evidence against parts, or a verdict on one.
	concernsParts atomic.Bool

	// lastAsk numbers the asks for permits, apart from those of the broker.
	lastAsk atomic.Uint64

	mu sync.Mutex
	// parts and requests find parts of prompts and whole requests.
	parts, requests *quarantine.Quarantine
	// broken holds the incarnations of which a connection broke and that are not yet
	// known to have crashed or not.
	broken   map[quarantine.Incarnation]*breakage
	watchers map[quarantine.Part]map[*watcher]bool
	// open holds the watchers of all open requests.
	open map[*watcher]bool
	// suspectsAt counts the suspected requests of this entry under way at each target.
	suspectsAt map[string]map[quarantine.Part]int
	// evidenceUntil is when the newest crash no longer counts. Until then a goroutine
	// evaluates the evidence; ticking is true while it runs.
	evidenceUntil time.Time
	ticking       bool
	// seen holds the incarnations that were counted as crashed, and when.
	seen map[quarantine.Incarnation]time.Time
	// refusals counts the requests refused here by their quarantined part.
	refusals map[quarantine.Part]int64
	// untold holds the further parts of suspects at this entry that others have not heard of,
	// and furtherBudget what may be sent of them.
	untold        []*untoldParts
	furtherBudget byteBudget
	// kept holds the crashes and begins that target processes keep, for those which are
	// reached later.
	kept *recall.Memory
}

// watcher calls onBlocked at most once. The mutex of the Guard protects its fields.
type watcher struct {
	parts     []quarantine.Part
	request   relay.Identity
	onBlocked func(relay.Cause)
}

// New returns a Guard without evidence.
func New(cfg Config) *Guard {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Broadcast == nil {
		cfg.Broadcast = func(peers.Evidence) {}
	}
	if cfg.Targets == nil {
		cfg.Targets = func(string) []*catalog.Target { return nil }
	}
	if cfg.EntryCount == nil {
		cfg.EntryCount = func() int { return 1 }
	}
	if cfg.AskPermit == nil {
		cfg.AskPermit = func(_ uint64, _ ratelimit.Ask, reply func(bool, time.Duration)) { reply(true, 0) }
	}
	g := &Guard{
		cfg: cfg, broken: make(map[quarantine.Incarnation]*breakage), watchers: make(map[quarantine.Part]map[*watcher]bool),
		open: make(map[*watcher]bool), suspectsAt: make(map[string]map[quarantine.Part]int),
		seen: make(map[quarantine.Incarnation]time.Time), refusals: make(map[quarantine.Part]int64), kept: recall.NewMemory(),
	}
	config := quarantine.Config{Entry: cfg.Entry}
	if cfg.OwnsTrial != nil {
		config.OwnsTrial = func(p quarantine.Part) bool { return cfg.OwnsTrial(string(p)) }
	}
	g.lastAsk.Store(firstAsk)
	g.parts = quarantine.New(config)
	config.Kind = quarantine.WholeRequests
	g.requests = quarantine.New(config)
	return g
}

// digestParts returns the digest of a request in the form in which it is exchanged.
func digestParts(r relay.Identity) []quarantine.Part {
	return []quarantine.Part{quarantine.Part(digestPrefix + r.Digest()), ownDigestPart}
}

func isDigest(p quarantine.Part) bool { return strings.HasPrefix(string(p), digestPrefix) }

// causeOf returns what is quarantined by a verdict on a part or digest.
func causeOf(p quarantine.Part) relay.Cause {
	if digest, ok := strings.CutPrefix(string(p), digestPrefix); ok {
		return relay.Cause{Digest: digest}
	}
	return relay.Cause{Part: string(p)}
}

// Blocked returns what is quarantined of a request, if anything is. The request must then
// be refused: it is counted as such. A caller that also uses Watch calls Watch first, so
// that no verdict falls between the two.
func (g *Guard) Blocked(r relay.Identity) (cause relay.Cause, blocked bool) {
	if g.quarantinedRequests.Load() > 0 {
		if cause, blocked = g.check(g.requests, digestParts(r)); blocked {
			return cause, true
		}
	}
	if g.quarantinedParts.Load() > 0 {
		return g.check(g.parts, partsOf(r))
	}
	return relay.Cause{}, false
}

func (g *Guard) check(q *quarantine.Quarantine, parts []quarantine.Part) (cause relay.Cause, blocked bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, blocked := q.Check(g.cfg.Now(), parts)
	g.refresh()
	if !blocked {
		return relay.Cause{}, false
	}
	g.countRefusal(p)
	return causeOf(p), true
}

func (g *Guard) countRefusal(p quarantine.Part) {
	g.refusals[p]++
	if isDigest(p) {
		g.cfg.Metrics.Count("request_quarantine_refusals")
		return
	}
	g.cfg.Metrics.Count("quarantine_refusals")
}

// Watch calls onBlocked once, in another goroutine, when something of the request becomes
// quarantined, until stop is called. The request counts as refused then. What is
// quarantined already does not count: the request may be a trial.
func (g *Guard) Watch(r relay.Identity, onBlocked func(relay.Cause)) (stop func()) {
	w := &watcher{request: r, onBlocked: onBlocked}
	// A long prompt is parsed for each verdict instead, of which there are few.
	if r.AllParts == nil && len(r.PromptParts) > 1 {
		// The last part is the request's own.
		list := partsOf(r)
		w.parts = list[:len(list)-1]
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[w] = true
	for _, p := range w.parts {
		if g.watchers[p] == nil {
			g.watchers[p] = make(map[*watcher]bool)
		}
		g.watchers[p][w] = true
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.removeWatcher(w)
	}
}

func (g *Guard) removeWatcher(w *watcher) {
	delete(g.open, w)
	for _, p := range w.parts {
		delete(g.watchers[p], w)
		if len(g.watchers[p]) == 0 {
			delete(g.watchers, p)
		}
	}
}

// Began records that a target began to answer a request. Other entries hear of it if a
// part of its prompt is suspected: a part that is served is sound.
func (g *Guard) Began(r relay.Identity) {
	list := leadingPartsOf(r)
	if g.concernsParts.Load() {
		list = partsOf(r)
	}
	if len(list) > 1 {
		g.recordServed(g.parts, list)
	}
}

// Answered records that a target answered the whole of a request. Other entries hear of
// it if the request is suspected.
func (g *Guard) Answered(r relay.Identity) {
	if g.suspectedRequests.Load()+g.quarantinedRequests.Load() > 0 {
		g.recordServed(g.requests, digestParts(r))
	}
}

func (g *Guard) recordServed(q *quarantine.Quarantine, list []quarantine.Part) {
	now := g.cfg.Now()
	g.mu.Lock()
	suspected, changed := q.RecordBegan(now, now, list)
	g.adopt(changed)
	news := peers.Evidence{Verdicts: changed}
	for _, p := range suspected {
		news.Begins = append(news.Begins, quarantine.Begin{Part: p, At: now})
	}
	news.FurtherBegins = q.TakeRuns()
	g.mu.Unlock()
	g.broadcast(news)
}

// broadcast sends evidence to other entries, if there is any, and has target processes keep
// it. The caller does not hold mu.
func (g *Guard) broadcast(e peers.Evidence) {
	e.Crashes = append(e.Crashes, g.explanations(e.Verdicts)...)
	if len(e.Crashes)+len(e.Begins)+len(e.Verdicts)+len(e.Further)+len(e.FurtherBegins) > 0 {
		g.keep(e)
		g.cfg.Broadcast(e)
	}
}

// explanations returns the crashes that new verdicts of this entry on further parts explain. Other
// entries may hold them without these parts.
func (g *Guard) explanations(verdicts []quarantine.Verdict) (list []quarantine.Crash) {
	if len(verdicts) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range verdicts {
		if v.Quarantined && v.Entry == g.cfg.Entry {
			list = append(list, g.parts.ExplainedBy(v.Part)...)
		}
	}
	return list
}

// adopt logs and counts verdicts that are new here, and ends the requests that they
// concern.
func (g *Guard) adopt(verdicts []quarantine.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	g.remember(verdicts)
	for _, v := range verdicts {
		if isDigest(v.Part) {
			g.adoptOnRequest(v)
			continue
		}
		line := g.cfg.Log.With("part", v.Part).With("crashes", v.Crashes).With("by", v.Entry).With("generation", v.Generation).With("trials", v.Trials)
		if !v.Quarantined {
			g.cfg.Metrics.Count("parts_released")
			line.Info("part released")
			continue
		}
		g.cfg.Metrics.Count("parts_quarantined")
		line.With("watched", len(g.watchers[v.Part])).Warn("part quarantined")
		for w := range g.watchers[v.Part] {
			g.removeWatcher(w)
			g.countRefusal(v.Part)
			go w.onBlocked(causeOf(v.Part))
		}
		g.blockLongPrompts(v.Part)
	}
	g.requests.Discard(g.parts.Explained())
	g.refresh()
}

// adoptOnRequest logs and counts a verdict on a whole request, and ends the open requests
// that it concerns.
func (g *Guard) adoptOnRequest(v quarantine.Verdict) {
	line := g.cfg.Log.With("digest", causeOf(v.Part).Digest).With("crashes", v.Crashes).With("by", v.Entry).With("generation", v.Generation).With("trials", v.Trials)
	if !v.Quarantined {
		g.cfg.Metrics.Count("requests_released")
		line.Info("request released")
		return
	}
	g.cfg.Metrics.Count("requests_quarantined")
	line.Warn("request quarantined")
	g.blockOpen(v.Part, func(r relay.Identity) bool { return digestParts(r)[0] == v.Part })
}

// blockLongPrompts ends the open requests with a part in a prompt that is not among watchers.
func (g *Guard) blockLongPrompts(p quarantine.Part) {
	g.blockOpen(p, func(r relay.Identity) bool {
		if r.AllParts == nil {
			return false
		}
		list := partsOf(r)
		return len(list) > 1 && slices.Contains(list[:len(list)-1], p)
	})
}

// blockOpen ends the open requests that a verdict concerns. Whether it does is worked out
// without the mutex.
func (g *Guard) blockOpen(p quarantine.Part, concerns func(relay.Identity) bool) {
	open := slices.Collect(maps.Keys(g.open))
	go func() {
		for _, w := range open {
			if concerns(w.request) {
				g.block(w, p)
			}
		}
	}()
}

// block ends an open request, unless it has ended.
func (g *Guard) block(w *watcher, p quarantine.Part) {
	g.mu.Lock()
	open := g.open[w]
	if open {
		g.removeWatcher(w)
		g.countRefusal(p)
	}
	g.mu.Unlock()
	if open {
		w.onBlocked(causeOf(p))
	}
}

// refresh updates the numbers of verdicts and suspects, and forgets the refusals of parts
// and requests that are no longer known.
func (g *Guard) refresh() {
	known := make(map[quarantine.Part]bool)
	count := func(q *quarantine.Quarantine) (n int64) {
		for _, v := range q.Verdicts() {
			known[v.Part] = true
			if v.Quarantined {
				n++
			}
		}
		return n
	}
	g.quarantinedParts.Store(count(g.parts))
	g.concernsParts.Store(len(known) > 0 || g.parts.SuspectedCount() > 0)
	g.quarantinedRequests.Store(count(g.requests))
	g.suspectedRequests.Store(int64(g.requests.SuspectedCount()))
	maps.DeleteFunc(g.refusals, func(p quarantine.Part, _ int64) bool { return !known[p] })
}
