package edge

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the connections of callers, so that a planned stop closes none
// from which a request has been read. It is safe for concurrent use.
//
// http.Server counts a connection as idle until it has read a whole head, and
// Server.SetKeepAlivesEnabled and Server.Shutdown close idle ones at once. An expired
// read deadline instead ends only a read that has returned nothing.
type callerConns struct {
	mu sync.Mutex
	// idle is true for the connections without a request in progress.
	idle map[net.Conn]bool
}

// stateChanged is the ConnState hook of the server.
func (c *callerConns) stateChanged(nc net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateNew, http.StateIdle:
		c.idle[nc] = true
	case http.StateActive:
		c.idle[nc] = false
		// closeIdle may have set it between the read and this call.
		_ = nc.SetReadDeadline(time.Time{})
	case http.StateClosed, http.StateHijacked:
		delete(c.idle, nc)
	}
}

// closeIdle makes the server close the idle connections and returns the number of
// connections that were open.
func (c *callerConns) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc, idle := range c.idle {
		if idle {
			_ = nc.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(c.idle)
}
