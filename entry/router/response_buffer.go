package router

import (
	"sync"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
)

// ResponseBuffer passes the response to one call (see Submit) from the router to
// the HTTP handler. The router writes without blocking; the handler reads.
type ResponseBuffer struct {
	mu            sync.Mutex
	data          [][]byte
	bufferedBytes int
	outcome       *dispatch.Outcome
	changed       chan struct{}
}

// MaxBufferedBytes bounds the buffered bytes for a caller that does not read.
const MaxBufferedBytes = 16 << 20

// NewResponseBuffer returns an empty buffer.
func NewResponseBuffer() *ResponseBuffer { return &ResponseBuffer{changed: make(chan struct{}, 1)} }

// signal wakes the handler. A signal that the handler has not received yet
// stands for any number of changes.
func (b *ResponseBuffer) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// deliver appends data. It returns false if the buffer is now over its limit.
func (b *ResponseBuffer) deliver(data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data = append(b.data, data)
	b.bufferedBytes += len(data)
	b.signal()
	return b.bufferedBytes <= MaxBufferedBytes
}

// discard drops the buffered data, because another attempt starts over.
func (b *ResponseBuffer) discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.data, b.bufferedBytes = nil, 0
}

// finish sets the outcome of the call.
func (b *ResponseBuffer) finish(o dispatch.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcome = &o
	b.signal()
}

// Changed returns a channel that receives after new data or the outcome. Changes
// in quick succession may give one value.
func (b *ResponseBuffer) Changed() <-chan struct{} { return b.changed }

// Take removes and returns the data that has arrived, and the outcome once
// the call has ended.
func (b *ResponseBuffer) Take() ([][]byte, *dispatch.Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	data := b.data
	b.data, b.bufferedBytes = nil, 0
	return data, b.outcome
}

// Outcome returns the outcome once the call has ended, without taking data.
func (b *ResponseBuffer) Outcome() *dispatch.Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outcome
}
