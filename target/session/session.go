// Package session implements the sessions of a target process. Each connected
// entry has one actor, which writes to the connection, and one goroutine, which
// reads from it.
package session

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// IdleTimeout ends a session whose entry sends nothing, not even the ping
	// that is due every 10 s.
	IdleTimeout = 25 * time.Second
	// MaxSessions bounds the sessions of one target process.
	MaxSessions = 1024
)

// Opened reports to the core that a session is open.
type Opened struct {
	ID scheduler.SessionID
	// Writer is the actor that sends messages to the entry.
	Writer *actor.PID
	Peer   *wire.Hello
}

// Received carries a message of a session to the core.
type Received struct {
	ID      scheduler.SessionID
	Message any
}

// Closed reports to the core that a session has ended.
type Closed struct{ ID scheduler.SessionID }

// ConnectionAccepted carries a new connection to the supervisor.
type ConnectionAccepted struct{ Conn net.Conn }

// Supervisor is the actor that has one child for each session. A failed session
// is stopped, and its entry connects again.
type Supervisor struct {
	Core  *actor.PID
	Hello func() wire.Hello
	// IdleTimeout ends a session whose entry sends nothing for this long.
	IdleTimeout time.Duration

	lastID       atomic.Uint64
	sessionCount int
	log          *telemetry.Logger
}

// Props returns the properties of the supervisor.
func Props(core *actor.PID, hello func() wire.Hello, idleTimeout time.Duration) *actor.Props {
	return actor.PropsFromProducer(func() actor.Actor {
		return &Supervisor{Core: core, Hello: hello, IdleTimeout: idleTimeout, log: telemetry.For("sessions")}
	}, actor.WithSupervisor(runtime.StopChildren()))
}

// Receive implements actor.Actor.
func (s *Supervisor) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *ConnectionAccepted:
		if s.sessionCount >= MaxSessions {
			s.log.Warn("too many sessions; refusing the connection of an entry")
			_ = m.Conn.Close()
			return
		}
		s.sessionCount++
		ctx.Spawn(actor.PropsFromProducer(func() actor.Actor {
			return &session{
				id: scheduler.SessionID(s.lastID.Add(1)), core: s.Core, hello: s.Hello, idleTimeout: s.IdleTimeout,
				conn: wire.NewConn(m.Conn), log: s.log,
			}
		}))
	case *actor.Terminated:
		s.sessionCount--
	}
}

// session is the actor that writes to one entry. Its reader goroutine ends with
// the connection.
type session struct {
	id          scheduler.SessionID
	core        *actor.PID
	hello       func() wire.Hello
	idleTimeout time.Duration
	conn        *wire.Conn
	log         *telemetry.Logger
}

// readerEnded reports to the session that its reader goroutine has ended.
type readerEnded struct{ err error }

// Receive implements actor.Actor.
func (s *session) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case *actor.Started:
		go s.read(ctx.ActorSystem().Root, ctx.Self())
	case *actor.Stopping, *actor.Restarting:
		_ = s.conn.Close()
		ctx.Send(s.core, &Closed{ID: s.id})
	case *readerEnded:
		s.log.With("peer", s.conn.RemoteAddr()).With("reason", m.err).Debug("session ended")
		ctx.Stop(ctx.Self())
	case *actor.Stopped:
	default:
		if err := s.conn.Write(m); err != nil {
			_ = s.conn.Close()
		}
	}
}

// read performs the handshake and passes the messages of the entry to the core
// until the connection ends.
func (s *session) read(root *actor.RootContext, self *actor.PID) {
	peer, err := s.conn.Handshake(s.hello())
	if err == nil {
		root.Send(s.core, &Opened{ID: s.id, Writer: self, Peer: peer})
		for err == nil {
			var message any
			if message, err = s.conn.Read(s.idleTimeout); err == nil {
				root.Send(s.core, &Received{ID: s.id, Message: message})
			}
		}
	}
	root.Send(self, &readerEnded{err: err})
}

// Accept passes connections to the supervisor until the listener closes.
func Accept(system *actor.ActorSystem, supervisor *actor.PID, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		system.Root.Send(supervisor, &ConnectionAccepted{Conn: conn})
	}
}
