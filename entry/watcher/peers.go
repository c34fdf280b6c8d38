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

// PeerClient asks other entries for their configuration.
type PeerClient struct {
	Hello func() wire.Hello
	// Keys is nil for plain TCP.
	Keys *trust.Keys
}

// Peer is a connection to another entry.
type Peer struct{ conn *wire.Conn }

// Dial connects to the peer of that name. The connection lives as long as the context.
func (c PeerClient) Dial(ctx context.Context, name, address string) (*Peer, error) {
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
	return &Peer{conn: conn}, nil
}

// Close ends the connection.
func (p *Peer) Close() { _ = p.conn.Close() }

func ask[T any](p *Peer, question any) (*T, error) {
	if err := p.conn.Write(question); err != nil {
		return nil, err
	}
	message, err := p.conn.Read(callTimeout)
	if err != nil {
		return nil, err
	}
	reply, ok := message.(*T)
	if !ok {
		return nil, result.New(result.UnexpectedFrame, "the peer sent another reply")
	}
	return reply, nil
}

// Revision asks for the peer's revision, and for its manifest if its snapshot
// is another than that with the digest.
func (p *Peer) Revision(digest uint64) (*wire.RevisionReply, error) {
	return ask[wire.RevisionReply](p, &wire.RevisionQuery{Digest: digest})
}

// Part asks for a part of the peer's snapshot.
func (p *Peer) Part(key string) ([]byte, error) {
	reply, err := ask[wire.PartReply](p, &wire.PartQuery{Key: key})
	if err != nil {
		return nil, err
	}
	return reply.Data, nil
}

const (
	// peerIdle ends a peer's connection that asks nothing.
	peerIdle = 10 * time.Second
	// maxPeers bounds the connections of peers at one time.
	maxPeers = 64
)

// PeerServer answers other entries.
type PeerServer struct {
	Hello    func() wire.Hello
	Snapshot func() *tables.Snapshot
}

// Serve answers on l until it closes.
func (s *PeerServer) Serve(l net.Listener) {
	tokens := make(chan struct{}, maxPeers)
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		select {
		case tokens <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		go func() {
			defer func() { <-tokens }()
			s.answer(wire.NewConn(nc))
		}()
	}
}

func (s *PeerServer) answer(conn *wire.Conn) {
	defer conn.Close()
	if _, err := conn.Handshake(s.Hello()); err != nil {
		return
	}
	for {
		message, err := conn.Read(peerIdle)
		if err != nil {
			return
		}
		reply := s.reply(message)
		if reply == nil || conn.Write(reply) != nil {
			return
		}
	}
}

// reply answers a question; it returns nil for a message that is none.
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
