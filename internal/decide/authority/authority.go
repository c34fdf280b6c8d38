// Package authority decides whether a target process may still give orders to
// its engine after a pause, and with which fencing number.
//
// A Guard is a pure state machine used by one goroutine.
package authority

import "time"

// MaxGap is the largest gap between two ticks that does not count as a pause.
// Ticks come every few tens of milliseconds; a gap this long means that the
// process or its VM stood still and may have been replaced meanwhile.
const MaxGap = time.Second

// EngineView is what the engine says of itself.
type EngineView struct {
	// Incarnation changes when the engine restarts.
	Incarnation int64
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64
	// KeepsFence tells whether the engine refuses lower numbers.
	KeepsFence bool
}

// Guard tracks the authority of one target process over its engine.
type Guard struct {
	lastTick    time.Time
	fence       uint64
	incarnation int64
	confirmed   bool
	fenced      bool
}

// New returns a guard that has no authority yet.
func New(now time.Time) *Guard { return &Guard{lastTick: now} }

// Tick records that the process runs. It returns true after a pause; the
// guard then has no authority until Confirm.
func (g *Guard) Tick(now time.Time) bool {
	gap := now.Sub(g.lastTick)
	g.lastTick = now
	if gap <= MaxGap {
		return false
	}
	g.confirmed = false
	return true
}

// Change says what a look at the engine revealed.
type Change uint8

const (
	// Unchanged means that the engine is as it was left.
	Unchanged Change = iota
	// Restarted means that the engine is new or has restarted.
	Restarted
	// Superseded means that another process has taken a higher fence.
	Superseded
)

// Confirm takes a fresh look at the engine into account. On Restarted the
// caller sets NextFence at the engine and reports it by Took.
func (g *Guard) Confirm(view EngineView) Change {
	if g.fence != 0 && view.KeepsFence && view.Fence > g.fence && view.Incarnation == g.incarnation {
		g.confirmed = false
		g.fenced = true
		return Superseded
	}
	if view.Incarnation != g.incarnation {
		g.confirmed = false
		return Restarted
	}
	g.confirmed = g.fence != 0
	return Unchanged
}

// NextFence returns the fencing number to take.
func (g *Guard) NextFence(view EngineView) uint64 { return max(view.Fence, g.fence) + 1 }

// Took records that the engine accepted the fencing number.
func (g *Guard) Took(view EngineView, fence uint64) {
	g.fence = fence
	g.incarnation = view.Incarnation
	g.confirmed = true
	g.fenced = false
}

// Lost records that the engine refused an order for its fence.
func (g *Guard) Lost() {
	g.confirmed = false
	g.fenced = true
}

// Holds reports whether orders may be given now.
func (g *Guard) Holds() bool { return g.confirmed && !g.fenced }

// Fence returns the fencing number for orders.
func (g *Guard) Fence() uint64 { return g.fence }

// Incarnation returns the engine incarnation that the guard knows.
func (g *Guard) Incarnation() int64 { return g.incarnation }
