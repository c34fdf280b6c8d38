// Package wire defines the protocol between the system's own processes. It runs
// over TCP. A frame is a 4-byte big-endian length, one byte for the message kind
// and a msgpack body.
//
// Many goroutines may write to a Conn concurrently, but only one may read from
// it. After a read or write error the owner of the Conn must close it, except
// where Write states otherwise.
package wire

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/internal/result"
)

const (
	// MaxFrameBytes is the maximum size of a frame in bytes, without the length field.
	MaxFrameBytes = 1 << 20
	// readBufferBytes is small because an entry may have hundreds of sessions.
	// The body of a larger frame is read directly into its own buffer.
	readBufferBytes = 4 << 10
	// headerBytes is the size of the length field and the kind byte.
	headerBytes = 5
	// WriteTimeout bounds the write of one frame. A write that takes longer
	// fails, so a peer that does not read for this time is treated as lost.
	WriteTimeout = 5 * time.Second
	// HandshakeTimeout bounds the reads of the TLS handshake and the wait for
	// the peer's Hello.
	HandshakeTimeout = 3 * time.Second
)

// Conn is a connection that sends and receives messages in frames.
type Conn struct {
	nc      net.Conn
	reader  *bufio.Reader
	frames  *FrameRoom
	writeMu sync.Mutex
}

// NewConn returns a Conn over a connected socket. Its frames share the room of the process.
func NewConn(nc net.Conn) *Conn { return processFrames.NewConn(nc) }

// NewConn returns a Conn over a connected socket whose frames share the room.
func (r *FrameRoom) NewConn(nc net.Conn) *Conn {
	return &Conn{nc: nc, reader: bufio.NewReaderSize(nc, readBufferBytes), frames: r}
}

// Close closes the socket. Pending reads and writes fail.
func (c *Conn) Close() error { return c.nc.Close() }

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Write sends one message, given as a pointer to a message type. It returns an
// error with result.FrameTooLarge if the message does not fit into a frame;
// nothing was sent then and the Conn remains usable.
func (c *Conn) Write(message any) error {
	kind, err := kindOf(message)
	if err != nil {
		return err
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		return result.Wrap(result.MalformedMessage, err)
	}
	if len(body)+1 > MaxFrameBytes {
		return result.Newf(result.FrameTooLarge, "message of %d bytes exceeds the frame limit", len(body))
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)+1))
	frame[4] = byte(kind)
	frame = append(frame, body...)

	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if err := c.nc.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return err
	}
	_, err = c.nc.Write(frame)
	return err
}

// Read returns the next message as a pointer to its type. If the whole message
// has not arrived within timeout, it returns an error for which IsTimeout
// reports true; with timeout 0 it waits without a limit.
func (c *Conn) Read(timeout time.Duration) (any, error) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 {
		return nil, result.New(result.MalformedMessage, "empty frame")
	}
	if size > MaxFrameBytes {
		return nil, result.Newf(result.FrameTooLarge, "frame of %d bytes exceeds the limit", size)
	}
	body := make([]byte, min(int(size-1), uncountedFrameBytes))
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return nil, err
	}
	if len(body) < int(size-1) {
		frame, err := c.frames.take(int(size), deadline, c.nc.Close)
		if err != nil {
			return nil, err
		}
		defer frame.end()
		if body, err = readRest(c.reader, body, int(size-1)); err != nil {
			return nil, err
		}
	}
	return decode(Kind(header[4]), body)
}

// readRest reads the rest of the body of a frame. It takes memory as the bytes arrive, because a
// process that only announces large frames must not cost their size.
func readRest(r io.Reader, body []byte, size int) ([]byte, error) {
	for len(body) < size {
		n := len(body)
		larger := min(size, 4*n)
		body = append(make([]byte, 0, larger), body...)[:larger]
		if _, err := io.ReadFull(r, body[n:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// Handshake sends the local Hello and returns the peer's. It fails with
// result.VersionMismatch if the peer has another protocol version, and with
// result.UntrustedPeer if a TLS peer's certificate is not for its process name.
func (c *Conn) Handshake(local Hello) (*Hello, error) {
	local.Protocol = ProtocolVersion
	// The first Write performs the TLS handshake, which also reads. Without
	// this deadline a peer that connects and sends nothing would block it
	// forever.
	if err := c.nc.SetDeadline(time.Now().Add(HandshakeTimeout)); err != nil {
		return nil, err
	}
	if err := c.Write(&local); err != nil {
		return nil, err
	}
	message, err := c.Read(HandshakeTimeout)
	if err != nil {
		return nil, err
	}
	peer, ok := message.(*Hello)
	if !ok {
		return nil, result.New(result.UnexpectedFrame, "the first message is not a Hello")
	}
	if peer.Protocol != ProtocolVersion {
		return nil, result.Newf(result.VersionMismatch, "peer %s has protocol version %d, this process has %d", peer.Process, peer.Protocol, ProtocolVersion)
	}
	return peer, c.verifyPeerName(peer.Process)
}

// verifyPeerName rejects a TLS peer whose certificate is not for the process name
// in its Hello. It accepts every peer on plain TCP.
func (c *Conn) verifyPeerName(process string) error {
	tlsConn, ok := c.nc.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := tlsConn.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return result.New(result.UntrustedPeer, "the peer sent no certificate")
	}
	if err := certs[0].VerifyHostname(process); err != nil {
		return result.Wrap(result.UntrustedPeer, err)
	}
	return nil
}

// IsTimeout reports whether a read or write failed because its time limit passed.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
