package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections and can be cut, for tests of partitions. Cut
// closes the open connections. While the relay is cut, it accepts new
// connections and closes them at once.
type Relay struct {
	listener net.Listener
	upstream string
	// delay is a time.Duration: how long data is delayed in each direction.
	delay atomic.Int64

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// NewRelay starts a relay that forwards the connections of l to upstream.
func NewRelay(l net.Listener, upstream string) *Relay {
	r := &Relay{listener: l, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r
}

// Address returns the listen address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all connections, and new ones until Heal is called.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// Heal makes the relay forward new connections again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// SetDelay delays all data that is read from now on by d, in both directions.
// Data of one connection stays in order.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Close closes all connections and the listener.
func (r *Relay) Close() error {
	r.Cut()
	return r.listener.Close()
}

func (r *Relay) accept() {
	for {
		down, err := r.listener.Accept()
		if err != nil {
			return
		}
		up, err := net.Dial("tcp", r.upstream)
		if err != nil || !r.track(down, up) {
			_ = down.Close()
			if up != nil {
				_ = up.Close()
			}
			continue
		}
		go r.copy(up, down)
		go r.copy(down, up)
	}
}

// track registers connections for Cut. It returns false, and registers none,
// if the relay is cut.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		return false
	}
	for _, c := range conns {
		r.conns[c] = struct{}{}
	}
	return true
}

// copy forwards the data from src to dst, then closes both.
func (r *Relay) copy(dst, src net.Conn) {
	r.forward(dst, src)
	_ = dst.Close()
	_ = src.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, dst)
	delete(r.conns, src)
}

const (
	// relayBufferBytes is the maximum size of one read. relayQueueLength is
	// the maximum number of delayed reads in one direction.
	relayBufferBytes = 32 << 10
	relayQueueLength = 256
)

// delayedRead is the data of one read and the time at which it is written.
type delayedRead struct {
	due  time.Time
	data []byte
}

// forward copies data until a read or a write fails. After a failed read, which
// includes the end of the data, it still writes the delayed data when due. After
// a failed write, for example because dst is closed, it drops the delayed data.
func (r *Relay) forward(dst, src net.Conn) {
	queue := make(chan delayedRead, relayQueueLength)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, relayBufferBytes)
			n, err := src.Read(buffer)
			if n > 0 {
				queue <- delayedRead{due: time.Now().Add(time.Duration(r.delay.Load())), data: buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	var writeErr error
	for h := range queue {
		if writeErr != nil {
			continue
		}
		time.Sleep(time.Until(h.due))
		if _, writeErr = dst.Write(h.data); writeErr != nil {
			_ = src.Close()
		}
	}
}
