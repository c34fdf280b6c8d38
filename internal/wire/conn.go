// Package wire defines the protocol between the system's own processes: TCP
// frames of a 4-byte big-endian length, one byte for the kind and a msgpack
// body.
//
// A Conn may be written by many goroutines and read by one. Read and write
// errors are final: the connection is then closed by its owner.
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
	// MaxFrame is the largest frame in bytes, without the length field.
	MaxFrame = 1 << 20
	// readBuffer is small because an entry may hold hundreds of sessions.
	// Larger frames are read past it into their own memory.
	readBuffer = 4 << 10
	// headerSize is the length field and the kind byte.
	headerSize = 5
	// WriteTimeout bounds one frame write. A peer that does not read for
	// this long is treated as lost.
	WriteTimeout = 5 * time.Second
	// HelloTimeout bounds the opening exchange.
	HelloTimeout = 3 * time.Second
)

// Conn is a framed connection.
type Conn struct {
	nc      net.Conn
	reader  *bufio.Reader
	writeMu sync.Mutex
}

// NewConn wraps a connected socket.
func NewConn(nc net.Conn) *Conn {
	return &Conn{nc: nc, reader: bufio.NewReaderSize(nc, readBuffer)}
}

// Close closes the socket. Pending reads and writes fail.
func (c *Conn) Close() error { return c.nc.Close() }

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.nc.RemoteAddr().String() }

// Write sends one message. It returns FrameTooLarge without closing the
// connection if the message does not fit into a frame.
func (c *Conn) Write(message any) error {
	kind, err := kindOf(message)
	if err != nil {
		return err
	}
	body, err := msgpack.Marshal(message)
	if err != nil {
		return result.Wrap(result.MalformedMessage, err)
	}
	if len(body)+1 > MaxFrame {
		return result.Newf(result.FrameTooLarge, "message of %d bytes", len(body))
	}
	frame := make([]byte, headerSize, headerSize+len(body))
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

// Read returns the next message as a pointer to its type. A peer that sends
// nothing for idle is reported as a timeout; idle 0 waits without limit.
func (c *Conn) Read(idle time.Duration) (any, error) {
	deadline := time.Time{}
	if idle > 0 {
		deadline = time.Now().Add(idle)
	}
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	var header [headerSize]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size == 0 {
		return nil, result.New(result.MalformedMessage, "empty frame")
	}
	if size > MaxFrame {
		return nil, result.Newf(result.FrameTooLarge, "frame of %d bytes", size)
	}
	body := make([]byte, size-1)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return nil, err
	}
	return decode(Kind(header[4]), body)
}

// Handshake sends the local Hello and returns the peer's. It fails with
// VersionMismatch when the peer speaks another protocol version.
func (c *Conn) Handshake(local Hello) (*Hello, error) {
	local.Protocol = ProtocolVersion
	// The deadline covers the reads of a TLS handshake inside Write, which a
	// peer that connects and stays silent would otherwise hold up for ever.
	if err := c.nc.SetDeadline(time.Now().Add(HelloTimeout)); err != nil {
		return nil, err
	}
	if err := c.Write(&local); err != nil {
		return nil, err
	}
	message, err := c.Read(HelloTimeout)
	if err != nil {
		return nil, err
	}
	peer, ok := message.(*Hello)
	if !ok {
		return nil, result.New(result.UnexpectedFrame, "the first frame is not a hello")
	}
	if peer.Protocol != ProtocolVersion {
		return nil, result.Newf(result.VersionMismatch, "peer %s speaks version %d, this process %d", peer.Process, peer.Protocol, ProtocolVersion)
	}
	return peer, c.checkName(peer.Process)
}

// checkName refuses a peer whose certificate is for another process.
func (c *Conn) checkName(process string) error {
	secure, ok := c.nc.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := secure.ConnectionState().PeerCertificates
	if len(certs) == 0 {
		return result.New(result.UntrustedPeer, "no certificate")
	}
	if err := certs[0].VerifyHostname(process); err != nil {
		return result.Wrap(result.UntrustedPeer, err)
	}
	return nil
}

// IsTimeout reports whether a read ended because the peer was silent.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
