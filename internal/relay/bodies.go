package relay

import (
	"slices"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/decide/bodybudget"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// roomInterval is the time between two looks at the bodies while some wait.
const roomInterval = 100 * time.Millisecond

// Bodies bounds the memory of the requests' bodies of one process. It is safe for concurrent
// use.
type Bodies struct {
	metrics *telemetry.Metrics
	log     *telemetry.Logger
	mu      sync.Mutex
	budget  *bodybudget.Budget
	open    map[uint64]*openBody
	lastID  uint64
	// ticking is true while a timer for the next tick is set.
	ticking bool
	// loggedAt is when a body was last refused with a log line.
	loggedAt time.Time
}

// NewBodies returns a bound of a number of bytes.
func NewBodies(size int64, metrics *telemetry.Metrics, log *telemetry.Logger) *Bodies {
	return &Bodies{metrics: metrics, log: log, budget: bodybudget.New(size), open: make(map[uint64]*openBody)}
}

// openBody is the body of one request. Its fields but id and verdict belong to Bodies.mu.
type openBody struct {
	id uint64
	// verdict receives the decisions about the body while it waits.
	verdict chan bodybudget.Verdict
	// interrupt ends a read of the body; it is nil once the body is complete.
	interrupt func()
	// refused is the final verdict, 0 without one.
	refused bodybudget.Verdict
}

// add adds the body of a request.
func (b *Bodies) add(owner string, interrupt func()) *openBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	o := &openBody{id: b.lastID, verdict: make(chan bodybudget.Verdict, 1), interrupt: interrupt}
	b.open[o.id] = o
	b.budget.Open(time.Now(), o.id, owner)
	return o
}

// try takes room without waiting, and returns nil if there is none.
func (b *Bodies) try(owner string, bytes int64) *openBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastID++
	now, id := time.Now(), b.lastID
	b.budget.Open(now, id, owner)
	decisions := b.budget.Ask(now, id, bytes)
	// The others may have decisions, too.
	b.apply(decisions)
	if !slices.Contains(decisions, bodybudget.Decision{ID: id, Verdict: bodybudget.Granted}) {
		b.apply(b.budget.Release(now, id))
		b.metrics.Count("heads_without_room")
		return nil
	}
	b.budget.Complete(id)
	o := &openBody{id: id}
	b.open[id] = o
	return o
}

// ask waits for room for a buffer, until the deadline at the latest. It returns Granted if
// there is room.
func (b *Bodies) ask(o *openBody, bytes int64, deadline time.Time) bodybudget.Verdict {
	if bytes <= bodybudget.FreeBytes {
		return bodybudget.Granted
	}
	b.mu.Lock()
	if o.refused != 0 {
		b.mu.Unlock()
		return o.refused
	}
	b.apply(b.budget.Ask(time.Now(), o.id, bytes))
	b.mu.Unlock()
	select {
	case v := <-o.verdict:
		return v
	default:
	}
	b.metrics.Count("body_waits")
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case v := <-o.verdict:
		return v
	case <-timer.C:
		return bodybudget.NoRoom
	}
}

// giveBack gives back the room of a buffer that was replaced.
func (b *Bodies) giveBack(o *openBody, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.apply(b.budget.Return(time.Now(), o.id, bytes))
}

// received records bytes of a body.
func (b *Bodies) received(o *openBody, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Received(o.id, bytes)
}

// complete records the end of a body, which is not interrupted from then on. It reports false
// if the body was refused before.
func (b *Bodies) complete(o *openBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.interrupt = nil
	b.budget.Complete(o.id)
	return o.refused == 0
}

// refusal returns the final verdict on a body, 0 without one.
func (b *Bodies) refusal(o *openBody) bodybudget.Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return o.refused
}

// release returns the room of a body.
func (b *Bodies) release(o *openBody) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o.interrupt = nil
	delete(b.open, o.id)
	b.apply(b.budget.Release(time.Now(), o.id))
}

// ConnsShort records whether the places for connections are nearly used up.
func (b *Bodies) ConnsShort(short bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.ConnsShort(time.Now(), short)
	b.apply(nil)
}

// Held returns the bytes that bodies hold.
func (b *Bodies) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Held()
}

// apply carries decisions out and sets the timer of the next tick. b.mu must be held.
func (b *Bodies) apply(decisions []bodybudget.Decision) {
	for _, d := range decisions {
		o := b.open[d.ID]
		if o == nil {
			continue
		}
		if d.Verdict != bodybudget.TooSlow {
			// Only a body that waits gets these, and it gets one.
			o.verdict <- d.Verdict
		}
		if d.Verdict != bodybudget.Granted {
			o.refused = d.Verdict
			b.logRefused(d.Verdict)
		}
		if d.Verdict == bodybudget.TooSlow && o.interrupt != nil {
			o.interrupt()
		}
	}
	if !b.ticking && b.budget.Short() {
		b.ticking = true
		time.AfterFunc(roomInterval, b.tick)
	}
}

func (b *Bodies) tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticking = false
	b.apply(b.budget.Tick(time.Now()))
}

// logRefused writes a line about a shortage, at most one per second.
func (b *Bodies) logRefused(v bodybudget.Verdict) {
	name := "bodies_without_room"
	if v == bodybudget.TooSlow {
		name = "bodies_too_slow"
	}
	b.metrics.Count(name)
	if now := time.Now(); now.Sub(b.loggedAt) >= time.Second {
		b.loggedAt = now
		b.log.With("reason", name).With("held", b.budget.Held()).With("open", len(b.open)).Warn("bodies: a body was refused")
	}
}
