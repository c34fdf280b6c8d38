package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LinesPerSecond and BytesPerSecond bound the log of one process under
	// load.
	LinesPerSecond = 300
	BytesPerSecond = 96 << 10
	// queuedLines is the number of lines that wait for a reader that stalls.
	queuedLines = 1024
	// reportEvery is the time between two lines on what was left out.
	reportEvery = time.Second
)

// BoundedWriter passes lines on without ever blocking their writer. Lines over
// the budget of a second, or beyond what a stalled reader leaves room for, are
// left out and counted. It may be used by any goroutine.
type BoundedWriter struct {
	lines, bytes int
	queue        chan []byte
	leftOut      atomic.Int64
	total        atomic.Int64
	now          func() time.Time
	stop         chan struct{}
	done         chan struct{}

	mu        sync.Mutex
	second    time.Time
	usedLines int
	usedBytes int
}

// NewBoundedWriter returns a writer to w with a budget of lines and bytes a
// second. It writes until Close.
func NewBoundedWriter(w io.Writer, lines, bytes int) *BoundedWriter {
	b := &BoundedWriter{
		lines: lines, bytes: bytes, queue: make(chan []byte, queuedLines), now: time.Now, stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// Write implements io.Writer for one line. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if !b.admit(len(line)) {
		b.drop()
		return len(line), nil
	}
	select {
	case b.queue <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *BoundedWriter) drop() {
	b.leftOut.Add(1)
	b.total.Add(1)
}

// LeftOut returns the number of lines that were left out so far.
func (b *BoundedWriter) LeftOut() int64 { return b.total.Load() }

func (b *BoundedWriter) admit(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.second) >= time.Second {
		b.second, b.usedLines, b.usedBytes = now, 0, 0
	}
	if b.usedLines >= b.lines || b.usedBytes+size > b.bytes {
		return false
	}
	b.usedLines++
	b.usedBytes += size
	return true
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.queue:
			// A reader that is gone costs lines, not requests.
			_, _ = w.Write(line)
		case <-ticker.C:
			b.report(w)
		case <-b.stop:
			b.drain(w)
			return
		}
	}
}

func (b *BoundedWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-b.queue:
			_, _ = w.Write(line)
		default:
			b.report(w)
			return
		}
	}
}

func (b *BoundedWriter) report(w io.Writer) {
	if n := b.leftOut.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "%s warn  log: lines were left out count=\"%d\"\n", b.now().UTC().Format(time.RFC3339Nano), n)
	}
}

// Close writes what is queued and ends. What is written afterwards is lost. A
// reader that stalls is waited for until the time limit.
func (b *BoundedWriter) Close(limit time.Duration) {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}
