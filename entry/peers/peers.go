// Package peers connects the entries with each other. An entry that does not
// hear the store asks others for the changes of the published state; while it
// hears the store, nothing is sent but a beat, so that the cost does not grow
// with the size of the state. Entries find each other through seeds and tell
// each other the addresses they know.
package peers

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// dialTimeout bounds a connection to a peer.
	dialTimeout = time.Second
	// redialInterval is the time between two attempts to reach a peer.
	redialInterval = time.Second
	// beatInterval is the time between two messages on a quiet connection,
	// and silence what ends one.
	beatInterval = time.Second
	silence      = 3 * time.Second
	// queueLength bounds the messages that wait for a slow peer. One that
	// falls behind is connected again.
	queueLength = 64
	// peerLife is how long a peer that cannot be reached still counts.
	peerLife = 60 * time.Second
	// maxBatch bounds the bytes of values in one message.
	maxBatch = 512 << 10
)

// Mesh is the set of connections with other entries. It may be used by any
// goroutine.
type Mesh struct {
	// Address is the own address for peers.
	Address string
	Seeds   []string
	Hello   func() wire.Hello
	// Changes returns the items that changed after a revision, and the
	// revision up to which they are complete.
	Changes func(after uint64) ([]wire.Item, uint64)
	// Receive takes what a peer answered.
	Receive func(items []wire.Item, upto uint64)
	Log     *telemetry.Logger

	mu    sync.Mutex
	known map[string]time.Time
	links map[*link]bool
}

// link is one connection.
type link struct {
	conn  *wire.Conn
	queue chan any
	// address is that of the peer, once it is known.
	address string
}

// Run keeps the connections until ctx ends. listener may be nil.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) {
	m.mu.Lock()
	m.known = make(map[string]time.Time)
	m.links = make(map[*link]bool)
	m.mu.Unlock()
	m.Learn(m.Seeds)
	if listener != nil {
		go m.accept(ctx, listener)
	}
	ticker := time.NewTicker(redialInterval)
	defer ticker.Stop()
	for {
		for _, address := range m.missing() {
			go m.dial(ctx, address)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			m.closeAll()
			return
		}
	}
}

// Learn takes addresses of entries.
func (m *Mesh) Learn(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if _, ok := m.known[a]; !ok && a != m.Address {
			m.known[a] = time.Now()
		}
	}
}

// Entries returns the number of entries that are known, this one included.
func (m *Mesh) Entries() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.known) + 1
}

// missing returns the known peers without a connection and forgets those that
// could not be reached for long.
func (m *Mesh) missing() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for l := range m.links {
		if l.address != "" {
			m.known[l.address] = now
		}
	}
	var list []string
	for address, seen := range m.known {
		if now.Sub(seen) > peerLife && !slices.Contains(m.Seeds, address) {
			delete(m.known, address)
			continue
		}
		if now.Sub(seen) > 0 {
			list = append(list, address)
		}
	}
	return list
}

func (m *Mesh) dial(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		m.serve(ctx, nc, address)
	}
}

func (m *Mesh) accept(ctx context.Context, listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go m.serve(ctx, nc, "")
	}
}

// serve runs one connection until it ends.
func (m *Mesh) serve(ctx context.Context, nc net.Conn, address string) {
	l := &link{conn: wire.NewConn(nc), queue: make(chan any, queueLength), address: address}
	defer l.conn.Close()
	if _, err := l.conn.Handshake(m.Hello()); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = l.conn.Close() })
	defer stop()
	m.add(l)
	defer m.drop(l)
	go m.write(l)
	for {
		message, err := l.conn.Read(silence)
		if err != nil {
			return
		}
		switch x := message.(type) {
		case *wire.ItemsQuery:
			m.answer(l, x)
		case *wire.Items:
			if len(x.Peers) > 0 {
				m.named(l, x.Peers)
			}
			if len(x.Items) > 0 || x.Upto > 0 {
				m.Receive(x.Items, x.Upto)
			}
		default:
			return
		}
	}
}

// answer sends the changes after a revision.
func (m *Mesh) answer(l *link, q *wire.ItemsQuery) {
	items, upto := m.Changes(q.After)
	list := batches(items)
	for i, batch := range list {
		reply := &wire.Items{Items: batch}
		if i == len(list)-1 {
			reply.Upto = upto
		}
		m.queue(l, reply)
	}
	if len(list) == 0 {
		m.queue(l, &wire.Items{Upto: upto})
	}
}

// queue passes a message to the writer of a connection. A peer that does not
// read loses the connection.
func (m *Mesh) queue(l *link, message any) {
	select {
	case l.queue <- message:
	default:
		_ = l.conn.Close()
	}
}

// Ask asks some peers for the changes after a revision.
func (m *Mesh) Ask(count int, after uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.links {
		if l.address == "" {
			continue
		}
		if count--; count < 0 {
			return
		}
		m.queue(l, &wire.ItemsQuery{After: after})
	}
}

// named takes the addresses that a peer knows; the first is its own.
func (m *Mesh) named(l *link, addresses []string) {
	m.mu.Lock()
	first := l.address == ""
	l.address = addresses[0]
	m.mu.Unlock()
	m.Learn(addresses)
	if first {
		m.Log.With("peer", addresses[0]).Info("peer reached")
	}
}

func (m *Mesh) add(l *link) {
	m.mu.Lock()
	m.links[l] = true
	peers := []string{m.Address}
	for address := range m.known {
		peers = append(peers, address)
	}
	m.mu.Unlock()
	l.queue <- &wire.Items{Peers: peers}
}

// batches splits items into messages of at most maxBatch bytes each.
func batches(items []wire.Item) [][]wire.Item {
	var list [][]wire.Item
	size := 0
	for _, item := range items {
		if len(list) == 0 || size+len(item.Value) > maxBatch {
			list, size = append(list, nil), 0
		}
		list[len(list)-1] = append(list[len(list)-1], item)
		size += len(item.Value) + len(item.Key)
	}
	return list
}

func (m *Mesh) drop(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.links, l)
	// Ask sends under the lock, answer from the goroutine that calls drop.
	close(l.queue)
}

func (m *Mesh) write(l *link) {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	for {
		message := any(&wire.Items{})
		select {
		case queued, open := <-l.queue:
			if !open {
				return
			}
			message = queued
		case <-ticker.C:
		}
		if err := l.conn.Write(message); err != nil {
			m.Log.With("peer", l.address).With("error", err).Debug("write failed")
			_ = l.conn.Close()
		}
	}
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for l := range m.links {
		_ = l.conn.Close()
	}
}
