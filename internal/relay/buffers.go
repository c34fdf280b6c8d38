package relay

import (
	"fmt"
	"io"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

const (
	// firstPartBytes is the size of the first part of a response without a length, and
	// partBytes that of the counted ones.
	firstPartBytes = 4 << 10
	partBytes      = 64 << 10
	// uncountedBytes of each response are not counted.
	uncountedBytes = 32 << 10
	// A caller may take slowPartTime to read partBytes (260 kbit/s) while others wait for its
	// room, for maxPoolWait at most. Targets abort a response that stays unread for some
	// seconds.
	slowPartTime = 2 * time.Second
	maxPoolWait  = 2500 * time.Millisecond
	poolInterval = 25 * time.Millisecond
)

// BufferPool bounds the memory of the responses that are read whole, over all
// requests. The first uncountedBytes of each response are not counted, so that large answers
// or answers without end do not keep short ones from being read. While callers that read
// slowly hold the pool, the reading of further responses waits, so that their targets wait,
// and the slowest of these callers is disconnected. If unfinished responses hold it, the
// largest one of the target that holds most is ended. Failure responses that are held while other
// targets are tried give up their room first. It is safe for concurrent use.
type BufferPool struct {
	mu   sync.Mutex
	free int64
	// writes are the responses with counted parts that are sent to their callers, and reads
	// those that are being read.
	writes map[*callerWrite]bool
	reads  map[*targetRead]bool
	// held are the failure responses that wait for another target.
	held    map[*heldResponse]bool
	metrics *telemetry.Metrics
}

// NewBufferPool returns a pool with the given number of bytes.
func NewBufferPool(size int64, metrics *telemetry.Metrics) *BufferPool {
	return &BufferPool{free: size, writes: make(map[*callerWrite]bool), reads: make(map[*targetRead]bool), held: make(map[*heldResponse]bool), metrics: metrics}
}

// endSlowest disconnects the caller that has taken longest to read the present part, if that
// is longer than slowPartTime. p.mu must be held.
func (p *BufferPool) endSlowest(now time.Time) {
	var slowest *callerWrite
	for w := range p.writes {
		if !w.ended && (slowest == nil || w.since.Before(slowest.since)) {
			slowest = w
		}
	}
	if slowest != nil && now.Sub(slowest.since) > slowPartTime {
		p.metrics.Count("slow_callers_disconnected")
		slowest.ended = true
		slowest.interrupt()
	}
}

func (p *BufferPool) give(n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free += n
}

// callerWrite is a response while it is sent to its caller.
type callerWrite struct {
	// pool is nil if the response has no counted parts.
	pool *BufferPool
	// since is when the present part began to be sent. interrupt ends it.
	since     time.Time
	interrupt func()
	ended     bool
}

// startWrite records that a response is sent to its caller until end is called.
func (b *buffers) startWrite(interrupt func()) *callerWrite {
	w := &callerWrite{since: time.Now(), interrupt: interrupt}
	if b.taken > 0 {
		w.pool = b.pool
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		b.pool.writes[w] = true
	}
	return w
}

// next begins the next part with setDeadline, and reports false if the caller is to be
// disconnected.
func (w *callerWrite) next(setDeadline func()) bool {
	if w.pool == nil {
		setDeadline()
		return true
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	if !w.ended {
		w.since = time.Now()
		setDeadline()
	}
	return !w.ended
}

func (w *callerWrite) end() {
	if w.pool == nil {
		return
	}
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	delete(w.pool.writes, w)
}

// buffers holds what one request has taken from a pool. One goroutine uses it.
type buffers struct {
	pool  *BufferPool
	taken int64
}

// read reads a response of a target to its end, in parts. It returns
// upstream.ErrOverBounds if the response is larger than maxResponseBytes or the pool is
// empty. length is the announced length, negative if there is none. interrupt makes reading
// fail; it may be called from another goroutine.
func (b *buffers) read(r io.Reader, length int64, target string, interrupt func()) ([][]byte, error) {
	if length > maxResponseBytes {
		return nil, fmt.Errorf("%d bytes are announced: %w", length, upstream.ErrOverBounds)
	}
	reading := b.pool.startRead(target, interrupt)
	parts, err := reading.parts(r, length)
	b.taken += reading.end(err == nil)
	return parts, err
}

// nextPart returns the size of the part after a number of bytes.
func nextPart(total int) int {
	if total < uncountedBytes {
		return uncountedBytes - total
	}
	return partBytes
}

// fill reads until the part is full or reading fails. Unlike io.ReadFull it keeps
// io.EOF, the end of a whole response, apart from io.ErrUnexpectedEOF.
func fill(r io.Reader, part []byte) (int, error) {
	n := 0
	for n < len(part) {
		m, err := r.Read(part[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// adopt takes over what other has taken.
func (b *buffers) adopt(other *buffers) {
	b.taken += other.taken
	other.taken = 0
}

// release returns what was taken to the pool.
func (b *buffers) release() {
	if b.taken > 0 {
		b.pool.give(b.taken)
		b.taken = 0
	}
}
