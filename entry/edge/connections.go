package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/internal/decide/bodybudget"
	"agatelanding.example/agatelanding/internal/telemetry"
)

// callerConns tracks the connections of callers, so that there are not more than fit into the
// VM and a planned stop closes none from which a request has been read. It is safe for
// concurrent use.
//
// http.Server counts a connection as idle until it has read a whole head, and
// Server.SetKeepAlivesEnabled and Server.Shutdown close idle ones at once. An expired
// read deadline instead ends only a read that has returned nothing.
type callerConns struct {
	mu    sync.Mutex
	conns *bodybudget.Conns[net.Conn]
	// changed receives after a connection was closed or became idle.
	changed chan struct{}
	// full is true once a connection has waited for a place in vain, until one is free.
	full bool
	// short is told whether requests in progress use up the connections, nil if nobody is.
	short    func(bool)
	wasShort bool
	metrics  *telemetry.Metrics
	// slots bounds the heads of many lines that are read at once.
	slots headSlots
}

func newCallerConns(s memoryShares, metrics *telemetry.Metrics) *callerConns {
	return &callerConns{conns: bodybudget.NewConns[net.Conn](s.connections), slots: make(headSlots, s.heads), changed: make(chan struct{}, 1), metrics: metrics}
}

// placeTimeout bounds the wait for a place for a new connection. It is longer than the time
// after which a body that stands still is ended while connections are short.
const placeTimeout = bodybudget.PaceWindow + 500*time.Millisecond

// evictInterval is the time after which connections that are to be closed are interrupted
// again.
const evictInterval = 20 * time.Millisecond

// boundedListener accepts the connections of callers.
type boundedListener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener. A connection beyond the limit waits until another one has
// been closed for it, so that the kernel holds those that follow. If none without a request
// can be closed within placeTimeout, it is closed itself, and so are the next ones at once.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := nc.(*net.TCPConn); ok {
			// The kernel otherwise keeps up to some MB for a caller that does not read.
			_ = tcp.SetWriteBuffer(sendBufferBytes)
			nc = newCallerConn(tcp, l.conns.slots)
		}
		if l.conns.admit(nc) {
			return nc, nil
		}
		l.conns.metrics.Count("caller_connections_refused")
		_ = nc.Close()
	}
}

// admit adds a connection and reports whether there is a place for it.
func (c *callerConns) admit(nc net.Conn) bool {
	for began := time.Now(); !c.opened(nc); {
		select {
		case <-c.changed:
		case <-time.After(evictInterval):
		}
		if !c.mayWait(began) {
			return false
		}
	}
	return true
}

// mayWait reports whether a connection may go on waiting for a place.
func (c *callerConns) mayWait(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The server replaces the read deadline when it begins to read a head, so that the one of
	// opened may be lost.
	if c.conns.Evicted(interruptRead) > 0 {
		return true
	}
	c.full = c.full || time.Since(since) >= placeTimeout
	return !c.full
}

// interruptRead ends the read of a connection.
func interruptRead(nc net.Conn) { _ = nc.SetReadDeadline(time.Unix(1, 0)) }

// opened adds a connection if there is a place for it.
func (c *callerConns) opened(nc net.Conn) bool {
	owner, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		owner = nc.RemoteAddr().String()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	evicted, victim, ok := c.conns.Open(time.Now(), nc, owner)
	if victim {
		c.metrics.Count("caller_connections_evicted")
		// This ends a head that has arrived in part, too. No request of it was read.
		interruptRead(evicted)
	}
	return ok
}

// stateChanged is the ConnState hook of the server.
func (c *callerConns) stateChanged(nc net.Conn, s http.ConnState) {
	if caller, ok := nc.(*callerConn); ok {
		caller.setInHead(s == http.StateNew || s == http.StateIdle)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateIdle:
		c.conns.Set(time.Now(), nc, bodybudget.Idle)
		c.placeFreed()
	case http.StateActive:
		c.conns.Set(time.Now(), nc, bodybudget.Busy)
		// closeIdle may have set it between the read and this call.
		_ = nc.SetReadDeadline(time.Time{})
	case http.StateClosed, http.StateHijacked:
		c.conns.Close(nc)
		c.placeFreed()
	}
	if short := c.conns.Short(); short != c.wasShort && c.short != nil {
		c.wasShort = short
		c.short(short)
	}
}

// placeFreed wakes a connection that waits for a place. c.mu must be held.
func (c *callerConns) placeFreed() {
	c.full = false
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// closeIdle makes the server close the idle connections and returns the number of
// connections that were open.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns.Each(interruptRead)
	return c.conns.Count()
}

// listenForCallers opens the listener for callers, whose connections keep little of what the
// entry has not read.
func listenForCallers(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit it. Without it the kernel may keep some MB of
			// each body that waits. A failure leaves the default.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// listenInternal opens a listener for the load balancer and other entries.
func listenInternal(address string) (net.Listener, error) { return net.Listen("tcp", address) }
