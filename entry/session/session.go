// Package session holds the sessions of an entry: the connections with the target
// processes. Each session is an actor that connects, writes the messages that it
// gets, and connects again after a failure.
package session

import (
	"net"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/trust"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// dialTimeout bounds the time to connect to a target process.
	dialTimeout = 2 * time.Second
	// defaultPingInterval is the time between two pings, which keep a session
	// alive and refresh the load report. At 128 sessions, pings every 5 s would
	// use 2.6 of the 3 KB/s that one VM may use for control traffic.
	defaultPingInterval = 10 * time.Second
	// defaultIdleTimeout is how long a session stays open without a message from
	// the target process. It may be long because a reservation without an answer
	// fails after dispatch.ReserveTimeout.
	defaultIdleTimeout = 25 * time.Second
	// maxUnansweredPings is the idle timeout in ping intervals, where
	// Options.PingInterval is set.
	maxUnansweredPings = 3
)

// Opened reports to the parent actor that the session with a target process is
// open. Target is the name that was given to Props: the router uses the name of
// the target, the broker the address of the target process. Peer is the Hello
// of the process.
type Opened struct {
	Target string
	Peer   *wire.Hello
}

// Closed reports to the parent actor that a session has ended. Target is as in
// Opened.
type Closed struct{ Target string }

// MessageReceived carries a message from a target process to the parent actor.
// Target is as in Opened.
type MessageReceived struct {
	Target  string
	Message any
}

// Options describes the entry process to its sessions.
type Options struct {
	// Hello returns the message with which the entry opens a session.
	Hello func() wire.Hello
	// Keys is nil for plain TCP.
	Keys *trust.Keys
	// PingInterval replaces defaultPingInterval where a lost VM must be noticed
	// sooner; 0 means the default.
	PingInterval time.Duration
}

func (l Options) pingInterval() time.Duration {
	if l.PingInterval > 0 {
		return l.PingInterval
	}
	return defaultPingInterval
}

// idleTimeout returns how long a session stays open without a message from the
// target process.
func (l Options) idleTimeout() time.Duration {
	if l.PingInterval > 0 {
		return maxUnansweredPings * l.PingInterval
	}
	return defaultIdleTimeout
}

// session is the actor that holds the connection with one target process.
type session struct {
	// target is the name that the process must send in its Hello, address the
	// address at which it accepts sessions.
	target  string
	address string
	// parent is the actor that created the session: the router of package router
	// or the broker of package broker.
	parent *actor.PID
	local  Options
	log    *telemetry.Logger

	// conn is nil while the session is not open.
	conn *wire.Conn
	// generation counts the connections. connectionLost and pingDue messages of
	// an earlier connection are ignored.
	generation int
	backoff    backoff
	// stopped is closed when the actor stops, after which no timer sends to it.
	stopped      chan struct{}
	pingSequence uint64
}

// connected reports a successful attempt to connect.
type connected struct {
	conn *wire.Conn
	peer *wire.Hello
}

// connectFailed reports a failed attempt to connect.
type connectFailed struct{ err error }

// connectionLost reports that a connection has failed.
type connectionLost struct {
	generation int
	err        error
}

// reconnect starts the next attempt to connect.
type reconnect struct{}

// pingDue makes the session send a ping.
type pingDue struct{ generation int }

// Props returns the properties of the actor that holds the session with one target
// process. target is the name that the process must send in its Hello. The processes
// of package target/agent send their address.
func Props(target, address string, parent *actor.PID, local Options) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &session{
			target: target, address: address, parent: parent, local: local,
			log: telemetry.For("session").With("target", target), stopped: make(chan struct{}),
		}
	})
}

// Receive implements actor.Actor.
func (s *session) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *actor.Started, *reconnect:
		go s.connect(ctx.ActorSystem().Root, ctx.Self())
	case *actor.Stopping, *actor.Restarting:
		close(s.stopped)
		s.disconnect(ctx)
	case *actor.Stopped:
	case *connected:
		s.handleConnected(ctx, m)
	case *connectFailed:
		s.scheduleReconnect(ctx, m.err)
	case *connectionLost:
		if m.generation == s.generation && s.conn != nil {
			s.disconnect(ctx)
			s.scheduleReconnect(ctx, m.err)
		}
	case *pingDue:
		if m.generation == s.generation && s.conn != nil {
			s.pingSequence++
			s.schedulePing(ctx.ActorSystem().Root, ctx.Self())
			s.write(&wire.Ping{Sequence: s.pingSequence, Revision: s.local.Hello().Revision})
		}
	default:
		s.write(m)
	}
}

// connect makes one attempt to connect and sends the result to the actor.
func (s *session) connect(root *actor.RootContext, self *actor.PID) {
	nc, err := net.DialTimeout("tcp", s.address, dialTimeout)
	if err != nil {
		root.Send(self, &connectFailed{err: err})
		return
	}
	conn := wire.NewConn(s.local.Keys.Client(nc, s.target))
	peer, err := conn.Handshake(s.local.Hello())
	if err != nil {
		_ = conn.Close()
		root.Send(self, &connectFailed{err: err})
		return
	}
	root.Send(self, &connected{conn: conn, peer: peer})
}

// handleConnected opens the session on a new connection, unless another process has
// answered.
func (s *session) handleConnected(ctx actor.Context, m *connected) {
	if m.peer.Process != s.target {
		s.log.With("peer", m.peer.Process).Warn("another target process answers at this address")
		_ = m.conn.Close()
		s.scheduleReconnect(ctx, nil)
		return
	}
	s.conn = m.conn
	s.generation++
	s.backoff.sessionOpened()
	s.log.Info("session open")
	ctx.Send(s.parent, &Opened{Target: s.target, Peer: m.peer})
	root, self, generation := ctx.ActorSystem().Root, ctx.Self(), s.generation
	go s.read(root, self, m.conn, generation)
	s.schedulePing(root, self)
}

// read passes messages to the parent actor until the connection fails.
func (s *session) read(root *actor.RootContext, self *actor.PID, conn *wire.Conn, generation int) {
	for {
		message, err := conn.Read(s.local.idleTimeout())
		if err != nil {
			root.Send(self, &connectionLost{generation: generation, err: err})
			return
		}
		root.Send(s.parent, &MessageReceived{Target: s.target, Message: message})
	}
}

// schedulePing schedules the next ping. It uses a timer, because a goroutine for
// each session would take more memory.
func (s *session) schedulePing(root *actor.RootContext, self *actor.PID) {
	message := &pingDue{generation: s.generation}
	time.AfterFunc(s.local.pingInterval(), func() {
		select {
		case <-s.stopped:
		default:
			root.Send(self, message)
		}
	})
}

// write sends a message if the session is open. A failed write closes the
// connection, which then ends the session through read.
func (s *session) write(message any) {
	if s.conn == nil {
		return
	}
	if err := s.conn.Write(message); err != nil {
		s.log.With("error", err).Debug("writing to the target process failed")
		_ = s.conn.Close()
	}
}

// disconnect ends the session and reports it to the parent actor.
func (s *session) disconnect(ctx actor.Context) {
	if s.conn == nil {
		return
	}
	_ = s.conn.Close()
	s.conn = nil
	s.backoff.sessionEnded(time.Now())
	ctx.Send(s.parent, &Closed{Target: s.target})
}

// scheduleReconnect connects again after a delay. err may be nil.
func (s *session) scheduleReconnect(ctx actor.Context, err error) {
	s.log.With("error", err).Debug("no session; connecting again after a delay")
	delay := s.backoff.nextDelay(time.Now(), randomUpTo)
	root, self := ctx.ActorSystem().Root, ctx.Self()
	time.AfterFunc(delay, func() {
		select {
		case <-s.stopped:
		default:
			root.Send(self, &reconnect{})
		}
	})
}
