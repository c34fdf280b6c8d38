package router

import (
	"sync"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
)

// Answer passes the answer of one call from the router to the HTTP handler.
// The router writes without blocking; the handler reads.
type Answer struct {
	mu      sync.Mutex
	data    [][]byte
	bytes   int
	outcome *dispatch.Outcome
	notify  chan struct{}
}

// MaxBuffered bounds the bytes that wait for a caller who does not read.
const MaxBuffered = 16 << 20

// NewAnswer returns an empty answer.
func NewAnswer() *Answer { return &Answer{notify: make(chan struct{}, 1)} }

func (a *Answer) signal() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// deliver returns false when too much waits for the caller.
func (a *Answer) deliver(data []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data = append(a.data, data)
	a.bytes += len(data)
	a.signal()
	return a.bytes <= MaxBuffered
}

func (a *Answer) discard() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.data, a.bytes = nil, 0
}

func (a *Answer) finish(o dispatch.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcome = &o
	a.signal()
}

// Changed receives after each change.
func (a *Answer) Changed() <-chan struct{} { return a.notify }

// Take removes and returns the data that has arrived, and the outcome once
// the call has ended.
func (a *Answer) Take() ([][]byte, *dispatch.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	data := a.data
	a.data, a.bytes = nil, 0
	return data, a.outcome
}

// Outcome returns the outcome once the call has ended, without taking data.
func (a *Answer) Outcome() *dispatch.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outcome
}
