// Package containment keeps requests with a part in their prompt under which engines
// crash away from the engines. A Guard collects the crashes that this entry sees,
// exchanges them with other entries and applies the verdicts of package quarantine.
package containment

import (
	"encoding/hex"
	"hash/fnv"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/entry/peers"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// evidenceTTL is how long a crash counts as evidence.
	evidenceTTL = 60 * time.Second
	// tickInterval is the time between two evaluations while there is evidence.
	tickInterval = 100 * time.Millisecond
	// maxSeenIncarnations bounds the incarnations that were counted as crashed.
	maxSeenIncarnations = 1024
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
	// Broadcast sends evidence to all other entries.
	Broadcast func(peers.Evidence)
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
	// quarantinedCount is the number of quarantined parts.
	quarantinedCount atomic.Int64

	mu         sync.Mutex
	quarantine *quarantine.Quarantine
	// broken holds the incarnations of which a connection broke and that are not yet
	// known to have crashed or not.
	broken   map[quarantine.Incarnation]*breakage
	watchers map[quarantine.Part]map[*watcher]bool
	// evidenceUntil is when the newest crash no longer counts. Until then a goroutine
	// evaluates the evidence; ticking is true while it runs.
	evidenceUntil time.Time
	ticking       bool
	// seen holds the incarnations that were counted as crashed, and when.
	seen map[quarantine.Incarnation]time.Time
	// refusals counts the requests refused here by their quarantined part.
	refusals map[quarantine.Part]int64
}

// watcher calls onBlocked at most once. The mutex of the Guard protects its fields.
type watcher struct {
	parts     []quarantine.Part
	onBlocked func(part string)
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
	g := &Guard{
		cfg: cfg, broken: make(map[quarantine.Incarnation]*breakage), watchers: make(map[quarantine.Part]map[*watcher]bool),
		seen: make(map[quarantine.Incarnation]time.Time), refusals: make(map[quarantine.Part]int64),
	}
	config := quarantine.Config{Entry: cfg.Entry}
	if cfg.OwnsTrial != nil {
		config.OwnsTrial = func(p quarantine.Part) bool { return cfg.OwnsTrial(string(p)) }
	}
	g.quarantine = quarantine.New(config)
	return g
}

// Blocked returns the quarantined part of a request, if it has one. The request must
// then be refused: it is counted as such. A caller that also uses Watch calls Watch
// first, so that no verdict falls between the two.
func (g *Guard) Blocked(parts []string) (part string, blocked bool) {
	if g.quarantinedCount.Load() == 0 {
		return "", false
	}
	list := bounded(parts)
	g.mu.Lock()
	defer g.mu.Unlock()
	p, blocked := g.quarantine.Check(g.cfg.Now(), list)
	g.refresh()
	if !blocked {
		return "", false
	}
	g.countRefusal(p)
	return string(p), true
}

func (g *Guard) countRefusal(p quarantine.Part) {
	g.refusals[p]++
	g.cfg.Metrics.Count("quarantine_refusals")
}

// Watch calls onBlocked once, in another goroutine, when one of the parts becomes
// quarantined, until stop is called. The request counts as refused then. A part that is
// quarantined already does not count: the request may be a trial.
func (g *Guard) Watch(parts []string, onBlocked func(part string)) (stop func()) {
	list := bounded(parts)
	if len(list) < 2 {
		return func() {}
	}
	// The last part is the request's own.
	w := &watcher{parts: list[:len(list)-1], onBlocked: onBlocked}
	g.mu.Lock()
	defer g.mu.Unlock()
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
	for _, p := range w.parts {
		delete(g.watchers[p], w)
		if len(g.watchers[p]) == 0 {
			delete(g.watchers, p)
		}
	}
}

// Began records that a target began to answer a request with these parts. Other entries
// hear of it if a part is suspected: a part that is served is sound.
func (g *Guard) Began(parts []string) {
	list := bounded(parts)
	if len(list) < 2 {
		return
	}
	now := g.cfg.Now()
	g.mu.Lock()
	suspected, changed := g.quarantine.RecordBegan(now, now, list)
	g.adopt(changed)
	g.mu.Unlock()
	news := peers.Evidence{Verdicts: changed}
	for _, p := range suspected {
		news.Begins = append(news.Begins, quarantine.Begin{Part: p, At: now})
	}
	g.broadcast(news)
}

// broadcast sends evidence, if there is any. The caller does not hold mu.
func (g *Guard) broadcast(e peers.Evidence) {
	if len(e.Crashes)+len(e.Begins)+len(e.Verdicts) > 0 {
		g.cfg.Broadcast(e)
	}
}

// adopt logs and counts verdicts that are new here, and ends the requests that they
// concern.
func (g *Guard) adopt(verdicts []quarantine.Verdict) {
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
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
			go w.onBlocked(string(v.Part))
		}
	}
	g.refresh()
}

// refresh updates the number of quarantined parts, and forgets the refusals of parts
// that are no longer known.
func (g *Guard) refresh() {
	count := int64(0)
	known := make(map[quarantine.Part]bool)
	for _, v := range g.quarantine.Verdicts() {
		known[v.Part] = true
		if v.Quarantined {
			count++
		}
	}
	g.quarantinedCount.Store(count)
	maps.DeleteFunc(g.refusals, func(p quarantine.Part, _ int64) bool { return !known[p] })
}

// bounded returns the parts that are considered, in the form in which entries exchange
// them: the first shared ones and the last one, which is the request's own. A long ID is
// replaced by its hash.
func bounded(parts []string) []quarantine.Part {
	var list []quarantine.Part
	for i, p := range parts {
		if p == "" || len(list) == wire.MaxSuspectParts-1 && i < len(parts)-1 {
			continue
		}
		if len(p) > wire.MaxPartBytes {
			h := fnv.New128a()
			h.Write([]byte(p))
			p = hex.EncodeToString(h.Sum(nil))
		}
		list = append(list, quarantine.Part(p))
	}
	return list
}
