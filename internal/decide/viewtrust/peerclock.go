package viewtrust

import "time"

// offsetWindow is how long the offset of a peer's clock is kept at least, so that two clocks of
// different speed do not drift apart.
const offsetWindow = 30 * time.Second

// PeerClock converts times of a peer's clock. What a message tells is therefore as old as it is,
// however long the message was on its way: its sender may have been suspended with the message in
// its queue, or the receiver before it read it. The offset is that of the fastest message of the
// last windows, and has an error of its time on the way. The zero value knows no offset.
type PeerClock struct {
	offset, previous time.Duration
	known            bool
	windowStart      time.Duration
}

// Observe records that a message which was sent at a time of the peer's clock was received at a
// time of the own one.
func (c *PeerClock) Observe(sent, received time.Duration) {
	offset := received - sent
	switch {
	case !c.known:
		c.offset, c.previous, c.known, c.windowStart = offset, offset, true, received
	case received-c.windowStart > offsetWindow:
		c.offset, c.previous, c.windowStart = offset, c.offset, received
	default:
		c.offset = min(c.offset, offset)
	}
}

// Age returns how long before now a time of the peer's clock was, and false if that is not known.
func (c *PeerClock) Age(at, now time.Duration) (time.Duration, bool) {
	return max(0, now-at-min(c.offset, c.previous)), c.known
}
