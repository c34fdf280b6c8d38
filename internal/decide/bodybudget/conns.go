package bodybudget

import "time"

// ConnState is what a connection of a caller does.
type ConnState uint8

// Values of ConnState.
const (
	// Unsent connections have sent no whole head yet. Idle ones have, and wait for the
	// next. Busy ones have a request in progress and are never closed here.
	Unsent ConnState = iota + 1
	Idle
	Busy
)

type caller struct {
	owner   string
	state   ConnState
	since   time.Time
	number  uint64
	closing bool
}

// Conns bounds the number of open connections of callers. K identifies one of them. Beyond
// the limit a new connection takes the place of one without a request in progress: first of
// one that has sent none, then of an idle one; of these, first of the owner with most
// connections and then of the one that has been in this state for longest. It is not safe
// for concurrent use.
type Conns[K comparable] struct {
	limit  int
	open   map[K]*caller
	owners map[string]int
	number uint64
	// closing is the number of connections that are about to be closed, busy that of the
	// busy ones.
	closing, busy int
}

// NewConns returns a bound on the number of connections, 0 for none.
func NewConns[K comparable](limit int) *Conns[K] {
	return &Conns[K]{limit: limit, open: make(map[K]*caller), owners: make(map[string]int)}
}

// Count returns the number of open connections.
func (c *Conns[K]) Count() int { return len(c.open) }

// Short reports whether the connections that have a request in progress leave less than an
// eighth of the places.
func (c *Conns[K]) Short() bool { return c.limit > 0 && c.busy >= c.limit-c.limit/8 }

// Open adds a new connection. If there is no place for it, ok is false and it must be closed.
// If victim is true, evict must be closed.
func (c *Conns[K]) Open(now time.Time, k K, owner string) (evict K, victim, ok bool) {
	if c.limit > 0 && len(c.open) > c.limit+c.limit/8 {
		// Those that were chosen have not been closed yet.
		return evict, false, false
	}
	if c.limit > 0 && len(c.open)-c.closing >= c.limit {
		if evict, victim = c.choose(); !victim {
			return evict, false, false
		}
		c.open[evict].closing = true
		c.closing++
	}
	c.number++
	c.open[k] = &caller{owner: owner, state: Unsent, since: now, number: c.number}
	c.owners[owner]++
	return evict, victim, true
}

// choose returns the connection that another one replaces.
func (c *Conns[K]) choose() (K, bool) {
	var best K
	var chosen *caller
	for k, x := range c.open {
		if x.state == Busy || x.closing {
			continue
		}
		if chosen == nil || c.before(x, chosen) {
			best, chosen = k, x
		}
	}
	return best, chosen != nil
}

func (c *Conns[K]) before(x, y *caller) bool {
	switch nx, ny := c.owners[x.owner], c.owners[y.owner]; {
	case x.state != y.state:
		return x.state < y.state
	case nx != ny:
		return nx > ny
	case !x.since.Equal(y.since):
		return x.since.Before(y.since)
	}
	return x.number < y.number
}

// Set records the state of a connection. A connection that becomes busy is not closed even if
// it was chosen: a head has arrived.
func (c *Conns[K]) Set(now time.Time, k K, s ConnState) {
	x := c.open[k]
	if x == nil {
		return
	}
	if s == Busy && x.closing {
		x.closing = false
		c.closing--
	}
	c.countBusy(x, -1)
	x.state, x.since = s, now
	c.countBusy(x, 1)
}

func (c *Conns[K]) countBusy(x *caller, n int) {
	if x.state == Busy {
		c.busy += n
	}
}

// Close removes a connection.
func (c *Conns[K]) Close(k K) {
	x := c.open[k]
	if x == nil {
		return
	}
	if x.closing {
		c.closing--
	}
	c.countBusy(x, -1)
	if c.owners[x.owner]--; c.owners[x.owner] == 0 {
		delete(c.owners, x.owner)
	}
	delete(c.open, k)
}

// Evicted calls f for each connection that was chosen to be closed and is still open, and
// returns their number.
func (c *Conns[K]) Evicted(f func(K)) int {
	if c.closing == 0 {
		return 0
	}
	for k, x := range c.open {
		if x.closing {
			f(k)
		}
	}
	return c.closing
}

// Each calls f for each connection without a request in progress.
func (c *Conns[K]) Each(f func(K)) {
	for k, x := range c.open {
		if x.state != Busy {
			f(k)
		}
	}
}
