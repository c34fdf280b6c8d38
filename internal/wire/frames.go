package wire

import (
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// uncountedFrameBytes of each frame are not counted, so that short frames never wait.
	uncountedFrameBytes = 4 << 10
	// defaultFrameBytes bounds the frames of a process whose memory is not known, and
	// minFrameBytes those of a small VM.
	defaultFrameBytes = 16 << 20
	minFrameBytes     = 4 * MaxFrameBytes
	// frameShare is the part of the memory of a VM for frames.
	frameShare = 16
	// slowFrameTime is the time after which a frame that is not whole may be ended for its room, and
	// frameInterval is the time between two looks at the room by a frame that waits for it.
	slowFrameTime = 500 * time.Millisecond
	frameInterval = 10 * time.Millisecond
)

// FrameRoom bounds the memory of the frames that are being read, over all connections. A frame
// takes all its room before its second part, so that those that have room never wait for more.
// One that finds none waits, and its sender with it; the shortest goes first. While one waits,
// the connection whose frame has been read longest is closed, once that is slow. It is safe for
// concurrent use.
type FrameRoom struct {
	mu      sync.Mutex
	free    int64
	reading map[*frameRead]bool
}

// frameRead is a frame that is being read.
type frameRead struct {
	room *FrameRoom
	// size is what it needs, and taken what it has, which is 0 while it waits.
	size, taken int64
	// since is when it got its room.
	since time.Time
	ended bool
	close func() error
}

// processFrames is the room of all connections of a process.
var processFrames = NewFrameRoom(defaultFrameBytes)

// NewFrameRoom returns room for a number of bytes, which is at least MaxFrameBytes.
func NewFrameRoom(bytes int64) *FrameRoom {
	return &FrameRoom{free: bytes, reading: make(map[*frameRead]bool)}
}

// LimitFrames bounds the frames that the process reads at once for a VM with a number of bytes
// of memory. It does nothing for 0 and is called before the first connection.
func LimitFrames(memoryBytes int64) {
	if memoryBytes > 0 {
		processFrames = NewFrameRoom(max(minFrameBytes, min(defaultFrameBytes, memoryBytes/frameShare)))
	}
}

// take takes room for a frame, which it holds until end is called. closeConn makes reading fail.
// It fails if there was none until deadline, unless that is zero.
func (r *FrameRoom) take(size int, deadline time.Time, closeConn func() error) (*frameRead, error) {
	f := &frameRead{room: r, size: int64(size), close: closeConn}
	r.mu.Lock()
	r.reading[f] = true
	r.mu.Unlock()
	for !f.tryTake() {
		if !deadline.IsZero() && time.Now().After(deadline) {
			f.end()
			return nil, result.New(result.FrameTooLarge, "the frames that are not whole take too much memory")
		}
		time.Sleep(frameInterval)
	}
	return f, nil
}

// tryTake takes the room, or ends the slowest frame if there is not enough.
func (f *frameRead) tryTake() bool {
	r := f.room
	r.mu.Lock()
	defer r.mu.Unlock()
	returning, shortest := int64(0), true
	var slowest *frameRead
	for other := range r.reading {
		switch {
		case other.taken == 0:
			shortest = shortest && f.size <= other.size
		case other.ended:
			returning += other.taken
		case time.Since(other.since) > slowFrameTime && (slowest == nil || other.since.Before(slowest.since)):
			slowest = other
		}
	}
	switch {
	case !shortest:
	case f.size <= r.free:
		r.free -= f.size
		f.taken, f.since = f.size, time.Now()
	case slowest != nil && r.free+returning < f.size:
		slowest.ended = true
		// The close of a TLS connection writes to it.
		go slowest.close()
	}
	return f.taken > 0
}

func (f *frameRead) end() {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	f.room.free += f.taken
	delete(f.room.reading, f)
}
