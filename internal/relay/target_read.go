package relay

import (
	"fmt"
	"io"
	"time"

	"agatelanding.example/agatelanding/internal/upstream"
)

// giveBackTime is how long others wait for the room of a response that was ended, before another
// one is. An event may still be sent to a caller that reads slowly.
const giveBackTime = 200 * time.Millisecond

// targetRead is a response while it is read from its target.
type targetRead struct {
	pool      *BufferPool
	target    string
	interrupt func()
	// taken is what the response has taken from the pool, since is when its present part
	// began to be read, and endedAt when it was interrupted, zero if it was not. The pool's
	// mutex protects them.
	taken   int64
	since   time.Time
	endedAt time.Time
}

// startRead records that a response is read until end is called.
func (p *BufferPool) startRead(target string, interrupt func()) *targetRead {
	r := &targetRead{pool: p, target: target, interrupt: interrupt, since: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads[r] = true
	return r
}

// end returns what the response keeps of the pool, nothing if it is not whole.
func (r *targetRead) end(whole bool) int64 {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	delete(r.pool.reads, r)
	taken := r.taken
	r.taken = 0
	if whole {
		return taken
	}
	r.pool.free += taken
	return 0
}

// keep takes room for a number of bytes of an event, and gives back all of it for few.
func (r *targetRead) keep(bytes int) bool {
	if bytes <= uncountedBytes {
		if r.taken > 0 {
			r.pool.mu.Lock()
			defer r.pool.mu.Unlock()
			r.pool.free += r.taken
			r.taken = 0
		}
		return true
	}
	for r.taken < int64(bytes) {
		if !r.take() {
			return false
		}
	}
	return true
}

// parts reads the response to its end.
func (r *targetRead) parts(body io.Reader, length int64) ([][]byte, error) {
	size := firstPartBytes
	if length >= 0 {
		size = min(int(length), partBytes)
	}
	var parts [][]byte
	for total := 0; ; size = nextPart(total) {
		if total+size > maxResponseBytes {
			return nil, fmt.Errorf("more than %d bytes: %w", total, upstream.ErrOverBounds)
		}
		if total+size > uncountedBytes && !r.take() {
			return nil, fmt.Errorf("%d bytes and no room for more: %w", total, upstream.ErrOverBounds)
		}
		// The extra byte lets a full part see the end of the response.
		part := make([]byte, size+1)
		n, err := fill(body, part)
		total += n
		parts = append(parts, part[:n])
		switch {
		case err == io.EOF:
			return parts, nil
		case r.interrupted():
			return nil, fmt.Errorf("%d bytes and others need their room: %w", total, upstream.ErrOverBounds)
		case err != nil:
			return nil, err
		}
	}
}

func (r *targetRead) interrupted() bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.ended()
}

// ended reports whether the response was interrupted. The pool's mutex must be held.
func (r *targetRead) ended() bool { return !r.endedAt.IsZero() }

// take takes room for a part, if there is none after a wait for the callers that are being sent
// their responses, and for unfinished responses that are ended for it.
func (r *targetRead) take() bool {
	p := r.pool
	for began := time.Now(); ; time.Sleep(poolInterval) {
		p.mu.Lock()
		now := time.Now()
		for !r.ended() && p.free < partBytes && p.dropHeld() {
		}
		if r.ended() || p.free >= partBytes {
			taken := !r.ended()
			if taken {
				p.free -= partBytes
				r.taken += partBytes
				r.since = now
			}
			p.mu.Unlock()
			return taken
		}
		p.endSlowest(now)
		waits := len(p.writes) > 0 && now.Sub(began) < maxPoolWait
		if !waits && now.Sub(began) < 2*maxPoolWait {
			waits = p.givingBack(now) || p.endLargest(now, r)
		}
		p.mu.Unlock()
		if !waits {
			return false
		}
	}
}

// givingBack reports whether a response was just ended and has not yet given back its room.
// p.mu must be held.
func (p *BufferPool) givingBack(now time.Time) bool {
	for r := range p.reads {
		if r.taken > 0 && now.Sub(r.endedAt) < giveBackTime {
			return true
		}
	}
	return false
}

// endLargest ends the largest unfinished response of the target that holds most, if that is
// another one than the response that asks for a part. It reports whether it did. p.mu must be
// held.
func (p *BufferPool) endLargest(now time.Time, asks *targetRead) bool {
	// The part that is asked for counts, so that equal responses do not end each other.
	taken := func(r *targetRead) int64 {
		if r == asks {
			return r.taken + partBytes
		}
		return r.taken
	}
	sums := make(map[string]int64)
	for r := range p.reads {
		if !r.ended() {
			sums[r.target] += taken(r)
		}
	}
	most := asks.target
	for target, sum := range sums {
		if sum > sums[most] {
			most = target
		}
	}
	var largest *targetRead
	for r := range p.reads {
		if r.target != most || r.ended() {
			continue
		}
		if largest == nil || taken(r) > taken(largest) || taken(r) == taken(largest) && r.since.Before(largest.since) {
			largest = r
		}
	}
	if largest == asks {
		return false
	}
	p.metrics.Count("unfinished_answers_ended")
	largest.endedAt = now
	go largest.interrupt()
	return true
}
