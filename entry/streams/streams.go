// Package streams keeps which software version began each stream, here and at target
// processes, so that a caller can take the stream up at the same version at any entry.
// Package softwareversion decides what follows from it.
package streams

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"strings"
	"sync"
	"time"

	"agatelanding.example/agatelanding/entry/broker"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/decide/softwareversion"
	"agatelanding.example/agatelanding/internal/relay"
	"agatelanding.example/agatelanding/internal/telemetry"
)

const (
	// streamTTL is how long after a send a stream may be taken up.
	streamTTL = 2 * time.Minute
	// versionTTL is how long target processes keep a listed version, and tellInterval how
	// often they are told of it.
	versionTTL   = 90 * time.Second
	tellInterval = 20 * time.Second
	// historyTimeout bounds the wait for the history of the store after a start.
	historyTimeout = time.Second
	keyBytes       = 16
	// maxPoolBytes bounds the names of pools that are kept as they are.
	maxPoolBytes = 48
)

// Holders keep facts outside of this entry.
type Holders interface {
	Remember(f recall.Fact, acked func())
	Recall(ctx context.Context, k recall.Kind, key string) broker.RecallResult
}

// Registry knows the software versions of streams. It is safe for concurrent use.
type Registry struct {
	// Holders may be set until the first request.
	Holders Holders
	Metrics *telemetry.Metrics
	// Confirm waits until the view of SetView is that of the store at the time of the call or
	// later, and reports whether it is. It may be set until the first request; without it,
	// every view is.
	Confirm func(ctx context.Context) bool

	// historyRead is closed once the history of the store has been read.
	historyRead chan struct{}
	started     time.Time

	mu     sync.Mutex
	seen   *softwareversion.Seen
	homes  *softwareversion.Homes
	own    *recall.Memory
	toldAt map[string]time.Time
}

// New returns a Registry of an entry that has started now.
func New(metrics *telemetry.Metrics) *Registry {
	return &Registry{
		Metrics: metrics, historyRead: make(chan struct{}), started: time.Now(), seen: softwareversion.NewSeen(time.Now()), homes: softwareversion.NewHomes(), own: recall.NewMemory(),
		toldAt: make(map[string]time.Time),
	}
}

// streamKey returns the key of an attempt of a caller. Another workspace, request, host or
// path does not find it, whatever attempt it names.
func streamKey(a relay.StreamAttempt) string {
	h := sha256.New()
	fields := []string{strings.ToLower(a.Host), a.Path, a.ID}
	if a.Workspace != "" {
		fields = append(fields, a.Workspace)
	}
	for _, s := range fields {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:keyBytes])
}

// streamValue returns the value of the fact that a version of a pool began a stream.
func streamValue(pool, version string) []byte { return []byte(versionKey(pool, version)) }

// versionKey returns the key of a version of a pool, poolKey that of the pool. The first
// byte of 0 ends the key of the pool.
func versionKey(pool, version string) string { return poolKey(pool) + "\x00" + version }

func poolKey(pool string) string {
	if len(pool) > maxPoolBytes || strings.Contains(pool, "\x00") {
		hash := sha256.Sum256([]byte(pool))
		return base64.RawURLEncoding.EncodeToString(hash[:keyBytes])
	}
	return pool
}

// Record implements relay.StreamVersions.
func (r *Registry) Record(a relay.StreamAttempt, pool, version string, order uint64) (confirmed <-chan struct{}) {
	now, done := time.Now(), make(chan struct{})
	f := recall.Fact{Kind: recall.Stream, Key: streamKey(a), Value: streamValue(pool, version), Order: order, At: now, TTL: streamTTL}
	r.mu.Lock()
	r.own.Put(now, f)
	r.mu.Unlock()
	r.Holders.Remember(f, func() { close(done) })
	return done
}

// Home implements relay.StreamVersions.
func (r *Registry) Home(a relay.StreamAttempt, pool string) (version string, bound bool) {
	r.mu.Lock()
	several := r.homes.Several(poolKey(pool))
	r.mu.Unlock()
	if !several {
		return "", false
	}
	key := a.Key()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.homes.Home(poolKey(pool), key)
}

// Resolve implements relay.StreamVersions.
func (r *Registry) Resolve(ctx context.Context, a relay.StreamAttempt, pool string) (softwareversion.Decision, string) {
	t := softwareversion.TakeUp{}
	key := streamKey(a)
	r.mu.Lock()
	f, known := r.own.Get(time.Now(), recall.Stream, key)
	r.mu.Unlock()
	source := "own"
	if !known && a.ID != "" {
		result := r.Holders.Recall(ctx, recall.Stream, key)
		f, known, source = result.Fact, result.Found, "holder"
	}
	if at, version, ok := bytes.Cut(f.Value, []byte{0}); known && ok {
		t.Known, t.Version, t.SamePool = true, string(version), string(at) == poolKey(pool)
	} else {
		source = "none"
		r.awaitHistory(ctx)
		r.conclude(&t, a, pool)
		if decision, _ := softwareversion.Decide(t); decision == softwareversion.Only {
			// The stream may have begun at a target that has joined since the last look at
			// the store.
			confirmed := r.Confirm == nil || r.Confirm(ctx)
			r.conclude(&t, a, pool)
			t.Complete = t.Complete && confirmed
		}
	}
	r.Metrics.Count("take_ups_known_by_" + source)
	decision, version := softwareversion.Decide(t)
	if decision == softwareversion.Only && !t.Known && len(t.Versions) > 1 {
		r.Metrics.Count("take_ups_at_home")
	}
	return decision, version
}

// conclude sets what is known of a pool's versions.
func (r *Registry) conclude(t *softwareversion.TakeUp, a relay.StreamAttempt, pool string) {
	key, now := a.Key(), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t.Versions, t.Complete = r.seen.Versions(now, poolKey(pool))
	t.Home, t.HasHome = r.homes.BegunAt(now, poolKey(pool), key)
}

func (r *Registry) awaitHistory(ctx context.Context) {
	select {
	case <-r.historyRead:
	case <-time.After(time.Until(r.started.Add(historyTimeout))):
	case <-ctx.Done():
	}
}

// SetView records the versions that the published state lists.
func (r *Registry) SetView(v *catalog.View) {
	now := time.Now()
	r.mu.Lock()
	var news []recall.Fact
	pools := make(map[string][]softwareversion.Target)
	for _, t := range v.Targets {
		if !t.Draining {
			pools[poolKey(t.Pool)] = append(pools[poolKey(t.Pool)], homeTarget(t))
		}
		r.seen.Add(now, poolKey(t.Pool), t.SoftwareVersion, now)
		if key := versionKey(t.Pool, t.SoftwareVersion); now.Sub(r.toldAt[key]) >= tellInterval {
			r.toldAt[key] = now
			news = append(news, versionFact(key, now))
		}
	}
	r.homes.Update(now, pools)
	for key, at := range r.toldAt {
		if now.Sub(at) >= versionTTL {
			delete(r.toldAt, key)
		}
	}
	r.mu.Unlock()
	for _, f := range news {
		r.Holders.Remember(f, nil)
	}
}

func versionFact(key string, at time.Time) recall.Fact {
	return recall.Fact{Kind: recall.SoftwareVersion, Key: key, At: at, TTL: versionTTL}
}

func homeTarget(t *catalog.Target) softwareversion.Target {
	return softwareversion.Target{ID: t.ID, Version: t.SoftwareVersion, StartedAtMS: t.StartedAtMS}
}

// AddPassing records targets that were listed since the last view and are in no view.
func (r *Registry) AddPassing(targets []*catalog.Target) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var past []softwareversion.Past
	for _, t := range targets {
		r.seen.Add(now, poolKey(t.Pool), t.SoftwareVersion, now)
		past = append(past, softwareversion.Past{Pool: poolKey(t.Pool), Target: homeTarget(t), Since: now, Gone: true})
	}
	r.homes.AddPast(now, past)
}

// ChangesMissed records that targets may have come and gone which no view has shown.
func (r *Registry) ChangesMissed() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen.Uncover(now)
	r.homes.Uncover(now)
}

// Change is a change of a target in the history of the store. Target is nil if the target was
// removed, or described so that nothing may use it.
type Change struct {
	ID     string
	Target *catalog.Target
}

// AddHistory records the changes in the history of the store, in order, which is complete for a
// span of the past. Targets register at an interval. It is called at most once.
func (r *Registry) AddHistory(changes []Change, span, interval time.Duration) {
	now := time.Now()
	r.mu.Lock()
	for _, c := range changes {
		if c.Target != nil {
			r.seen.Add(now, poolKey(c.Target.Pool), c.Target.SoftwareVersion, now.Add(-span))
		}
	}
	r.seen.Cover(now.Add(-span))
	r.homes.AddPast(now, pastOf(now, changes, span, interval))
	r.mu.Unlock()
	close(r.historyRead)
}

// pastOf returns what the changes of targets tell of each of their incarnations that took new
// requests. As many registrations without a change between them took as many intervals, but one.
func pastOf(now time.Time, changes []Change, span, interval time.Duration) []softwareversion.Past {
	var list []softwareversion.Past
	// current is the index of the incarnation that a target had last, and registrations counts
	// those of it.
	current, registrations := make(map[string]int), make(map[string]int)
	for _, c := range changes {
		i, known := current[c.ID]
		ready := c.Target != nil && !c.Target.Draining
		if known && (!ready || list[i].Target != homeTarget(c.Target) || list[i].Pool != poolKey(c.Target.Pool)) {
			list[i].Gone = true
			delete(current, c.ID)
			known = false
		}
		if !ready {
			continue
		}
		if !known {
			i = len(list)
			current[c.ID], registrations[c.ID] = i, 0
			list = append(list, softwareversion.Past{Pool: poolKey(c.Target.Pool), Target: homeTarget(c.Target)})
		}
		registrations[c.ID]++
		list[i].Since = now.Add(-min(span, time.Duration(registrations[c.ID]-1)*interval))
	}
	return list
}

// Facts returns the listed versions, for a target process that keeps them.
func (r *Registry) Facts() []recall.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	var facts []recall.Fact
	for key, at := range r.toldAt {
		facts = append(facts, versionFact(key, at))
	}
	return facts
}

// ReceiveFacts takes the versions that a target process has kept.
func (r *Registry) ReceiveFacts(facts []recall.Fact) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range facts {
		if pool, version, ok := strings.Cut(f.Key, "\x00"); ok && f.Kind == recall.SoftwareVersion {
			r.seen.Add(now, pool, version, f.At)
		}
	}
}
