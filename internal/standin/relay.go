package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Relay forwards TCP connections and can be cut, for tests of partitions.
// While it is cut, open connections are frozen or closed and new ones are
// refused.
type Relay struct {
	listener net.Listener
	upstream string
	// delay is how long data is held back, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]struct{}
}

// NewRelay forwards the connections of l to upstream.
func NewRelay(l net.Listener, upstream string) *Relay {
	r := &Relay{listener: l, upstream: upstream, conns: make(map[net.Conn]struct{})}
	go r.accept()
	return r
}

// Address returns the listen address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut closes all connections and refuses new ones until Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for c := range r.conns {
		_ = c.Close()
	}
	clear(r.conns)
}

// Heal lets connections through again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// SetDelay holds back everything that is read from now on, in both directions.
// The order within a connection stays.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Close ends the relay.
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
	// relayBuffer is the size of one read, relayQueue the number of reads
	// that are held back at once in one direction.
	relayBuffer = 32 << 10
	relayQueue  = 256
)

// held is data that is written when it is due.
type held struct {
	due  time.Time
	data []byte
}

// forward copies until one side ends. Data that is held back when the
// connections are closed is lost, as on a network.
func (r *Relay) forward(dst, src net.Conn) {
	queue := make(chan held, relayQueue)
	go func() {
		defer close(queue)
		for {
			buffer := make([]byte, relayBuffer)
			n, err := src.Read(buffer)
			if n > 0 {
				queue <- held{due: time.Now().Add(time.Duration(r.delay.Load())), data: buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	var failed error
	for h := range queue {
		if failed != nil {
			continue
		}
		time.Sleep(time.Until(h.due))
		if _, failed = dst.Write(h.data); failed != nil {
			_ = src.Close()
		}
	}
}
