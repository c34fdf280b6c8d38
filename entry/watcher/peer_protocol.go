package watcher

import (
	"context"
	"net"
	"time"

	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/trust"
	"agatelanding.example/agatelanding/internal/wire"
)

// PeerClient connects to other entries and to target processes, which are the
// peers of this package. A connection is opened for one round of queries and closed
// after it. The entries of package edge use the connections of package peers
// instead, which stay open.
type PeerClient struct {
	// Hello returns the message that opens a connection.
	Hello func() wire.Hello
	// Keys is nil for plain TCP.
	Keys *trust.Keys
}

// PeerConn is a connection to another entry or to a target process.
type PeerConn struct{ conn *wire.Conn }

// Dial connects to the peer with that name at an address. The connection is closed
// when ctx ends.
func (c PeerClient) Dial(ctx context.Context, name, address string) (*PeerConn, error) {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(result.PlatformUnreached, err)
	}
	conn := wire.NewConn(c.Keys.Client(nc, name))
	context.AfterFunc(ctx, func() { _ = conn.Close() })
	if _, err := conn.Handshake(c.Hello()); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &PeerConn{conn: conn}, nil
}

// Close ends the connection.
func (p *PeerConn) Close() { _ = p.conn.Close() }

// call sends a query and waits for the reply, which must be of type T.
func call[T any](p *PeerConn, query any) (*T, error) {
	if err := p.conn.Write(query); err != nil {
		return nil, err
	}
	message, err := p.conn.Read(callTimeout)
	if err != nil {
		return nil, err
	}
	reply, ok := message.(*T)
	if !ok {
		return nil, result.New(result.UnexpectedFrame, "the peer replied with a message of another type")
	}
	return reply, nil
}

// Revision returns the peer's revision, and its manifest if the digest of its
// snapshot is not the given one. A target process sends no manifest.
func (p *PeerConn) Revision(digest uint64) (*wire.RevisionReply, error) {
	return call[wire.RevisionReply](p, &wire.RevisionQuery{Digest: digest})
}

// Part returns a part of the peer's snapshot, or nothing if the peer lacks it.
func (p *PeerConn) Part(key string) ([]byte, error) {
	reply, err := call[wire.PartReply](p, &wire.PartQuery{Key: key})
	if err != nil {
		return nil, err
	}
	return reply.Data, nil
}

const (
	// idleTimeout is how long a connection of a peer stays open without a query.
	idleTimeout = 10 * time.Second
	// maxConns bounds the connections of peers that are open at once.
	maxConns = 64
)

// PeerServer answers the queries of peers from the snapshot in force.
type PeerServer struct {
	// Hello returns the message that opens a connection.
	Hello func() wire.Hello
	// Snapshot returns the snapshot in force, or nil.
	Snapshot func() *tables.Snapshot
}

// Serve accepts connections until l is closed. It closes connections above
// maxConns at once.
func (s *PeerServer) Serve(l net.Listener) {
	semaphore := make(chan struct{}, maxConns)
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case semaphore <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		go func() {
			defer func() { <-semaphore }()
			s.answer(wire.NewConn(nc))
		}()
	}
}

// answer replies to the queries on a connection. It closes the connection after a
// message that is no query.
func (s *PeerServer) answer(conn *wire.Conn) {
	defer conn.Close()
	if _, err := conn.Handshake(s.Hello()); err != nil {
		return
	}
	for {
		message, err := conn.Read(idleTimeout)
		if err != nil {
			return
		}
		reply := s.reply(message)
		if reply == nil || conn.Write(reply) != nil {
			return
		}
	}
}

// reply returns the reply to a query, or nil for a message that is no query.
func (s *PeerServer) reply(message any) any {
	snapshot := s.Snapshot()
	switch m := message.(type) {
	case *wire.PartQuery:
		reply := &wire.PartReply{Key: m.Key}
		if snapshot != nil {
			reply.Data, _ = snapshot.Part(m.Key)
		}
		return reply
	case *wire.RevisionQuery:
		reply := &wire.RevisionReply{}
		if snapshot != nil {
			reply.Revision = snapshot.Revision
			if m.Digest != snapshot.Digest {
				reply.Manifest = snapshot.Manifest()
			}
		}
		return reply
	default:
		return nil
	}
}
