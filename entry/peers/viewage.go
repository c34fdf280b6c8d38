package peers

import (
	"time"

	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
	"agatelanding.example/agatelanding/internal/wire"
)

// viewStamp returns the question and the reply of a keep-alive message, nil if this entry
// exchanges none.
func (m *Mesh) viewStamp(c *peerConn) *wire.ViewStamp {
	if m.ViewAge == nil {
		return nil
	}
	s := &wire.ViewStamp{Clock: boottime.Now().Microseconds(), Echo: c.peerClock.Load()}
	// The age is read after the echo, so that it is not older than the question.
	if age, at, known := m.ViewAge(); known {
		s.AgeUS, s.Era, s.Revision = roundUpMicros(age), at.Era, at.Revision
	}
	return s
}

// withViewStamp returns a broadcast of the state with a stamp for the peer, which makes its
// view as fresh at once, and other messages as they are.
func (m *Mesh) withViewStamp(c *peerConn, x *wire.Items) *wire.Items {
	if x.UpToRevision == 0 || m.ViewAge == nil {
		return x
	}
	stamped := *x
	stamped.View = m.viewStamp(c)
	return &stamped
}

// roundUpMicros returns a time in microseconds that is not below d.
func roundUpMicros(d time.Duration) int64 { return d.Microseconds() + 1 }

// observeClock compares the clock of the peer with the own one.
func (c *peerConn) observeClock(s *wire.ViewStamp) {
	if s != nil {
		c.clock.Observe(time.Duration(s.Clock)*time.Microsecond, boottime.Now())
	}
}

// ageOf returns how long ago the sender of a broadcast read the state. For a message of a former
// build it does not include the time on the way.
func (c *peerConn) ageOf(x *wire.Items) time.Duration {
	age := time.Duration(x.AgeMS) * time.Millisecond
	if x.ReadAtUS > 0 {
		if byClock, known := c.clock.Age(time.Duration(x.ReadAtUS)*time.Microsecond, boottime.Now()); known {
			return max(age, byClock)
		}
	}
	return age
}

// receiveViewStamp keeps a peer's question for the next keep-alive message, and passes on its
// reply. A clock that this entry cannot have sent yet is no reply.
func (m *Mesh) receiveViewStamp(c *peerConn, s *wire.ViewStamp) {
	if s == nil || m.ReceiveViewAge == nil {
		return
	}
	c.peerClock.Store(s.Clock)
	echo := time.Duration(s.Echo) * time.Microsecond
	if s.Echo <= 0 || s.AgeUS <= 0 || s.AgeUS > maxViewAge.Microseconds() || echo > boottime.Now() {
		return
	}
	m.ReceiveViewAge(viewtrust.Stamp{
		Echo: echo, Age: time.Duration(s.AgeUS) * time.Microsecond, At: catalog.Position{Era: s.Era, Revision: s.Revision},
	})
}

// maxViewAge bounds the ages that are read. An older view confirms nothing of use.
const maxViewAge = time.Hour
