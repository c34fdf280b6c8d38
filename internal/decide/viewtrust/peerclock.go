package viewtrust

import "time"

// offsetWindow is how long the offset of a peer's clock is kept at least, so that two clocks of
// different speed do not drift apart.
const offsetWindow = 30 * time.Second

// PeerClock converts times of a peer's clock to the own one, so that the age of what a message
// says includes the time for which the message was queued, under way or unread. The offset between
// the clocks is taken from the fastest message of the last two windows; its error is the time that
// this message took. The zero value knows no offset. It is not safe for concurrent use.
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
