package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// LinesPerSecond and BytesPerSecond bound the log output of one process.
	LinesPerSecond = 300
	BytesPerSecond = 96 << 10
	// maxQueuedLines bounds the lines that wait for a stalled underlying writer.
	maxQueuedLines = 1024
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// BoundedWriter writes lines to an underlying writer in the background. Write
// never blocks: lines over the budget of a second, and lines that do not fit into
// the queue while the underlying writer stalls, are dropped and counted. It is
// safe for concurrent use.
type BoundedWriter struct {
	// maxLines and maxBytes are the budget of a second.
	maxLines, maxBytes int
	queue              chan []byte
	// unreported counts the dropped lines since the last report, dropped all.
	unreported atomic.Int64
	dropped    atomic.Int64
	now        func() time.Time
	stop       chan struct{}
	done       chan struct{}

	mu sync.Mutex
	// windowStart is the start of the current second of the budget.
	windowStart time.Time
	usedLines   int
	usedBytes   int
}

// NewBoundedWriter returns a writer to w with a budget of lines and bytes per
// second. It writes until Close.
func NewBoundedWriter(w io.Writer, maxLines, maxBytes int) *BoundedWriter {
	b := &BoundedWriter{
		maxLines: maxLines, maxBytes: maxBytes, queue: make(chan []byte, maxQueuedLines), now: time.Now, stop: make(chan struct{}), done: make(chan struct{}),
	}
	go b.run(w)
	return b
}

// Write implements io.Writer; line is one log line. It never fails.
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
	b.unreported.Add(1)
	b.dropped.Add(1)
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// admit reports whether a line of this size is within the budget of the current
// second, and takes it from the budget if so.
func (b *BoundedWriter) admit(size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.windowStart) >= time.Second {
		b.windowStart, b.usedLines, b.usedBytes = now, 0, 0
	}
	if b.usedLines >= b.maxLines || b.usedBytes+size > b.maxBytes {
		return false
	}
	b.usedLines++
	b.usedBytes += size
	return true
}

func (b *BoundedWriter) run(w io.Writer) {
	defer close(b.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-b.queue:
			// An error of w loses this line and must not affect requests.
			_, _ = w.Write(line)
		case <-ticker.C:
			b.report(w)
		case <-b.stop:
			b.drain(w)
			return
		}
	}
}

// drain writes the queued lines and the last report.
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

// report writes a line with the number of lines dropped since the last report, if
// there are any.
func (b *BoundedWriter) report(w io.Writer) {
	if n := b.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "%s warn  log: lines were left out count=\"%d\"\n", b.now().UTC().Format(time.RFC3339Nano), n)
	}
}

// Close writes the queued lines and stops. Lines written afterwards are lost. If
// the underlying writer stalls, Close returns after timeout.
func (b *BoundedWriter) Close(timeout time.Duration) {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}
