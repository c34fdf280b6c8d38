package upstream

import "sync/atomic"

// Usage is the connection on which a request was sent.
type Usage struct {
	// Connection is the number of the connection, which is unique in the process; 0 if
	// there was no connection.
	Connection uint64
	// Carried is the number of requests that were sent on it before, 0 on a new one.
	Carried int
}

// Kept reports whether the connection had carried another request.
func (u Usage) Kept() bool { return u.Carried > 0 }

// connections is the number of connections that the process has opened.
var connections atomic.Uint64

func newUsage() Usage { return Usage{Connection: connections.Add(1)} }
