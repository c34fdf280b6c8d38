package edge

import (
	"bytes"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// manyLines is the number of lines from which a head waits for a slot. Ordinary heads have
	// far fewer.
	manyLines = 85
	// headBytes is what a head of many lines takes while it is read: 16 KiB of short lines were
	// seen to take 280 KB, and the collector falls behind if many are read at once.
	headBytes = 512 << 10
)

// headSlots bounds the heads of many lines that are read at once.
type headSlots chan struct{}

// callerConn is a connection of a caller. net/http keeps a head in a map, which takes many
// times the bytes of its lines if these are short, so that such heads are not read all at
// once.
type callerConn struct {
	*net.TCPConn
	slots headSlots
	// inHead is true until the server has read a head. lines counts its lines.
	inHead atomic.Bool
	lines  atomic.Int64
	// holds is true while the connection has a slot.
	holds atomic.Bool
	// interrupted receives when a read is to end at once.
	interrupted chan struct{}
}

func newCallerConn(tcp *net.TCPConn, slots headSlots) *callerConn {
	c := &callerConn{TCPConn: tcp, slots: slots, interrupted: make(chan struct{}, 1)}
	c.inHead.Store(true)
	return c
}

// Read implements net.Conn. It passes the bytes of a head of many lines on once there is a
// slot.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if !c.inHead.Load() || c.lines.Add(int64(bytes.Count(p[:n], []byte("\n")))) <= manyLines || c.holds.Load() {
		return n, err
	}
	timer := time.NewTimer(defaultHeaderTimeout)
	defer timer.Stop()
	select {
	case c.slots <- struct{}{}:
		c.holds.Store(true)
		return n, err
	case <-c.interrupted:
	case <-timer.C:
	}
	return 0, os.ErrDeadlineExceeded
}

// SetReadDeadline implements net.Conn.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(time.Now()) {
		select {
		case c.interrupted <- struct{}{}:
		default:
		}
	} else {
		select {
		case <-c.interrupted:
		default:
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// setInHead records whether the server reads a head, and gives the slot back once it has.
func (c *callerConn) setInHead(inHead bool) {
	c.inHead.Store(inHead)
	c.lines.Store(0)
	if !inHead && c.holds.CompareAndSwap(true, false) {
		<-c.slots
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.setInHead(false)
	return c.TCPConn.Close()
}
