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
	// slowFrameTime is from when a frame that is not whole may be ended for its room, and
	// frameInterval is the time between two looks at the room by a frame that waits for it.
	slowFrameTime = time.Second
	frameInterval = 10 * time.Millisecond
)

// FrameRoom bounds the memory of the frames that are being read, over all connections. A frame
// that finds no room waits, so that its sender waits. While one waits, the connection whose
// frame has been read longest is closed, once that is slow. It is safe for concurrent use.
type FrameRoom struct {
	mu      sync.Mutex
	free    int64
	reading map[*frameRead]bool
}

// frameRead is a frame that is being read.
type frameRead struct {
	room    *FrameRoom
	taken   int64
	since   time.Time
	waiting bool
	ended   bool
	close   func() error
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

// start records that a frame is read until end is called. closeConn makes reading fail.
func (r *FrameRoom) start(closeConn func() error) *frameRead {
	f := &frameRead{room: r, since: time.Now(), close: closeConn}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reading[f] = true
	return f
}

func (f *frameRead) end() {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	f.room.free += f.taken
	delete(f.room.reading, f)
}

// grow takes room for a body of a number of bytes in all. It fails if the frame was ended for
// its room, or has waited until deadline, unless that is zero.
func (f *frameRead) grow(size int, deadline time.Time) error {
	need := int64(size) - f.taken
	for !f.tryGrow(need) {
		if f.isEnded() || !deadline.IsZero() && time.Now().After(deadline) {
			return result.New(result.FrameTooLarge, "the frames that are not whole take too much memory")
		}
		time.Sleep(frameInterval)
	}
	return nil
}

func (f *frameRead) isEnded() bool {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	return f.ended
}

// tryGrow takes room, or ends the slowest frame if there is none.
func (f *frameRead) tryGrow(need int64) bool {
	r := f.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.waiting = need > r.free; !f.waiting {
		r.free -= need
		f.taken += need
		return true
	}
	returning := int64(0)
	var slowest *frameRead
	for other := range r.reading {
		switch {
		case other.ended:
			returning += other.taken
		case other.taken > 0 && time.Since(other.since) > slowFrameTime && other.slowerThan(slowest):
			slowest = other
		}
	}
	if slowest != nil && r.free+returning < need {
		slowest.ended = true
		// The close of a TLS connection writes to it.
		go slowest.close()
	}
	return false
}

// slowerThan reports whether a frame is ended before another one, which may be nil: one whose
// sender is waited for before one that itself waits, then the older one.
func (f *frameRead) slowerThan(other *frameRead) bool {
	if other == nil || f.waiting != other.waiting {
		return other == nil || !f.waiting
	}
	return f.since.Before(other.since)
}
