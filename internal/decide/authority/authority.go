// Package authority decides whether a target process may still send orders to
// its engine after a pause, and with which fencing number. An order is a command
// to load or unload an adapter. A process that may send orders holds authority.
// Each takeover of the engine raises the fencing number, and the engine refuses
// orders with a lower one.
//
// A probe is a request to the engine for its state: its incarnation, that is, its
// start time, and the highest fencing number that it has seen. Authority ends
// with a pause of the process, with an order that the engine refuses and with a
// restart of the engine. It returns only with the result of a probe that was sent
// after that: a result that was in flight during the pause describes an engine
// that another process may have taken over since. A process that has been
// superseded by a higher fencing number never takes authority again.
//
// Engines that do not check fencing numbers cannot show that another process took
// over. With them the only protection is the fixed local port on which the target
// process listens and which only one process can bind, and an order that was in
// flight during the pause can arrive late.
//
// A Guard is a pure state machine used by one goroutine.
package authority

import "time"

// MaxTickGap is the largest gap between two ticks that does not count as a
// pause. Ticks come every few tens of milliseconds. A longer gap means that the
// process or its VM was suspended and may have been replaced since.
const MaxTickGap = time.Second

// FenceState is the state that an engine reports in the result of a probe.
type FenceState struct {
	// Incarnation changes when the engine restarts.
	Incarnation int64
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// ChecksFence is true if the engine refuses lower numbers.
	ChecksFence bool
}

// FencingStamp is sent with each order and each request that the engine runs.
// The engine can use it to refuse orders and requests that were decided before
// a takeover or a restart.
type FencingStamp struct {
	Fence uint64
	// Incarnation is that of the engine for which the order or request was
	// decided.
	Incarnation int64
}

// Guard tracks the authority of one target process over its engine.
type Guard struct {
	lastTick time.Time
	// fence is the last fencing number that the engine accepted, 0 before
	// the first; incarnation is that of the engine at that time.
	fence       uint64
	incarnation int64
	// requestedFence is the highest fencing number that this process has
	// requested.
	requestedFence uint64
	// lastProbe is the number of the newest probe. Probes below minProbe are
	// outdated: they were sent before authority was last lost or before the
	// last fencing number was taken.
	lastProbe uint64
	minProbe  uint64
	// awaitsProbe is true while authority can return only with the result
	// of a new probe.
	awaitsProbe bool
	// confirmed is true while the process holds authority.
	confirmed  bool
	superseded bool
}

// New returns a guard that has no authority yet.
func New(now time.Time) *Guard { return &Guard{lastTick: now} }

// DetectPause records that the process runs at now and reports whether it was
// paused before. After a pause the guard has no authority until HandleProbe
// returns Unchanged or FenceAccepted returns true.
func (g *Guard) DetectPause(now time.Time) bool {
	last := g.lastTick
	if last.Before(now) || last.Sub(now) > MaxTickGap {
		g.lastTick = now
	}
	// The monotonic clock does not advance while a VM is suspended, but the
	// wall clock does. A large step back of the wall clock counts as a pause
	// too, because it can hide one.
	elapsed := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	if elapsed <= MaxTickGap && wall <= MaxTickGap && wall >= -MaxTickGap {
		return false
	}
	g.invalidate()
	return true
}

// invalidate ends the authority until the result of a probe that is sent later.
func (g *Guard) invalidate() {
	g.confirmed = false
	g.awaitsProbe = true
	g.minProbe = g.lastProbe + 1
}

// StartProbe records that a new probe is being sent to the engine and returns
// its number. The calling code sends the probe and passes the result to
// HandleProbe.
func (g *Guard) StartProbe() uint64 {
	g.lastProbe++
	return g.lastProbe
}

// ProbeOutcome is what a probe shows about the engine.
type ProbeOutcome uint8

const (
	// Unchanged means that the engine has neither restarted nor been taken
	// over, as far as it shows.
	Unchanged ProbeOutcome = iota
	// NeedsFence means that this process must take a new fencing number: it
	// has none yet, the engine has restarted, or the engine holds a higher
	// number that this process requested itself.
	NeedsFence
	// Superseded means that another process has taken a higher fencing
	// number.
	Superseded
	// Outdated means that the result is ignored, because the probe was sent
	// before authority was last lost or the last fencing number was taken.
	Outdated
)

// HandleProbe handles the result of a probe. On NeedsFence the calling code
// must set NextFence at the engine and report that by FenceAccepted. probe is
// the number from StartProbe; 0 stands for the newest probe.
func (g *Guard) HandleProbe(probe uint64, view FenceState) ProbeOutcome {
	switch {
	case g.superseded:
		return Superseded
	case probe != 0 && probe < g.minProbe:
		return Outdated
	case g.fence != 0 && view.Incarnation == g.incarnation && view.ChecksFence && view.Fence > max(g.fence, g.requestedFence):
		g.supersede()
		return Superseded
	case g.fence == 0 || view.Incarnation != g.incarnation || (view.ChecksFence && view.Fence > g.fence):
		// In the last case this process requested the higher number itself
		// but did not receive the reply.
		g.awaitsProbe = false
		g.confirmed = false
		return NeedsFence
	}
	g.awaitsProbe = false
	g.confirmed = true
	return Unchanged
}

func (g *Guard) supersede() {
	g.confirmed = false
	g.superseded = true
}

// NextFence returns the fencing number to request. It is one above the higher of two
// numbers: the one in view and the last one that the engine accepted from this
// process.
func (g *Guard) NextFence(view FenceState) uint64 {
	next := max(view.Fence, g.fence) + 1
	g.requestedFence = max(g.requestedFence, next)
	return next
}

// FenceAccepted records that the engine accepted the fencing number and reports
// whether the guard now has authority; view is the state of the engine
// afterwards. There is no authority if the process was superseded, or if
// authority was lost after the last probe result, for example by a pause.
func (g *Guard) FenceAccepted(view FenceState, fence uint64) bool {
	if g.superseded {
		return false
	}
	g.fence = fence
	g.requestedFence = max(g.requestedFence, fence)
	g.incarnation = view.Incarnation
	// A probe that was sent earlier may describe the engine before its last
	// restart. If its result were used, it would look like another restart
	// and end every running request that has started since.
	g.minProbe = g.lastProbe + 1
	if view.ChecksFence && view.Fence > g.requestedFence {
		g.supersede()
		return false
	}
	g.confirmed = !g.awaitsProbe
	return g.confirmed
}

// OrderFenced records that the engine refused an order because of its fencing
// number.
func (g *Guard) OrderFenced() { g.invalidate() }

// HoldsAuthority reports whether orders may be sent now.
func (g *Guard) HoldsAuthority() bool { return g.confirmed }

// Superseded reports whether another process has taken over the engine. It stays
// true.
func (g *Guard) Superseded() bool { return g.superseded }

// Fence returns the last fencing number that the engine accepted, 0 before the
// first.
func (g *Guard) Fence() uint64 { return g.fence }

// Stamp returns the stamp of an order or request that is sent now.
func (g *Guard) Stamp() FencingStamp { return FencingStamp{Fence: g.fence, Incarnation: g.incarnation} }

// Incarnation returns the engine incarnation at the last call of FenceAccepted.
func (g *Guard) Incarnation() int64 { return g.incarnation }
