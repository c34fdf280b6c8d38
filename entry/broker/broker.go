// Package broker runs the steering of an entry on the users' platform as an
// actor: it turns messages into events and performs the actions. Its children
// are the sessions with the processes beside the engines.
package broker

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

// PingInterval is the time between two pings of a session. A VM that has lost
// its power is noticed after three.
const PingInterval = time.Second

// tick drives what depends on time.
type tick struct{}

// want asks for a target.
type want struct {
	request steering.Request
	reply   chan any
}

// firstEvent reports the first event of a stream.
type firstEvent struct{ number uint64 }

// done ends a request at its target.
type done struct {
	number  uint64
	outcome steering.Outcome
}

// viewChanged puts a view in force.
type viewChanged struct{ view *catalog.View }

// Broker gives the goroutines of requests access to the actor. It implements
// relay.Broker.
type Broker struct {
	root   *actor.RootContext
	pid    *actor.PID
	number atomic.Uint64
}

// Start spawns the actor below root. port is the internal port of the
// processes beside engines.
func Start(root *actor.RootContext, s *steering.Steering, local session.Local, port string) *Broker {
	props := actor.PropsFromProducer(func() actor.Actor {
		return &broker{
			steering: s, local: local, port: port, sessions: make(map[string]*link), names: make(map[string]string),
			replies: make(map[uint64]chan any), pacer: runtime.NewPacer(&tick{}), log: telemetry.For("broker"),
		}
	}, actor.WithSupervisor(runtime.RestartChildren()))
	return &Broker{root: root, pid: root.Spawn(props)}
}

// SetView puts a view of the published state in force.
func (b *Broker) SetView(v *catalog.View) { b.root.Send(b.pid, &viewChanged{view: v}) }

// Acquire implements relay.Broker.
func (b *Broker) Acquire(ctx context.Context, r steering.Request) (steering.Grant, uint64, *steering.Refused) {
	r.Number = b.number.Add(1)
	w := &want{request: r, reply: make(chan any, 1)}
	b.root.Send(b.pid, w)
	select {
	case reply := <-w.reply:
		switch m := reply.(type) {
		case steering.Granted:
			return m.Grant, r.Number, nil
		case steering.Refused:
			return steering.Grant{}, r.Number, &m
		}
	case <-ctx.Done():
	}
	b.Done(r.Number, steering.Abandoned)
	return steering.Grant{}, r.Number, &steering.Refused{Number: r.Number, Code: result.DeadlinePassed}
}

// FirstEvent implements relay.Broker.
func (b *Broker) FirstEvent(number uint64) {
	b.root.Send(b.pid, &firstEvent{number: number})
}

// Done implements relay.Broker.
func (b *Broker) Done(number uint64, outcome steering.Outcome) {
	b.root.Send(b.pid, &done{number: number, outcome: outcome})
}

// Stop ends the actor and its sessions.
func (b *Broker) Stop() { _ = b.root.StopFuture(b.pid).Wait() }

// link is the session with the process at one address. An engine that has
// started again under another ID has two IDs at one address for a while.
type link struct {
	pid *actor.PID
	ids map[string]bool
	up  *wire.Hello
}

type broker struct {
	steering *steering.Steering
	local    session.Local
	port     string
	sessions map[string]*link
	// names holds the session address of each target ID.
	names   map[string]string
	replies map[uint64]chan any
	pacer   *runtime.Pacer
	log     *telemetry.Logger
}

// Receive implements actor.Actor.
func (b *broker) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		b.pacer.Stop()
		return
	case *want:
		b.replies[m.request.Number] = m.reply
		b.perform(ctx, now, b.steering.Want(now, m.request))
	case *done:
		delete(b.replies, m.number)
		b.perform(ctx, now, b.steering.Done(now, m.number, m.outcome))
	case *firstEvent:
		b.perform(ctx, now, b.steering.FirstEvent(m.number))
	case *viewChanged:
		b.perform(ctx, now, b.steering.SetView(now, m.view))
	case *tick:
		b.perform(ctx, now, b.steering.Tick(now))
	case *session.Up:
		b.sessionUp(ctx, now, m)
	case *session.Down:
		b.sessionDown(ctx, now, m)
	case *session.Received:
		if l, ok := b.sessions[m.Target]; ok {
			for id := range l.ids {
				b.perform(ctx, now, b.steering.Message(now, id, m.Message))
			}
		}
	}
	interval := runtime.IdleTick
	if b.steering.InFlight() > 0 {
		interval = busyTick
	}
	b.pacer.Within(ctx, now, interval)
}

// busyTick bounds how late a deadline is noticed while requests are open.
const busyTick = 25 * time.Millisecond

func (b *broker) sessionUp(ctx actor.Context, now time.Time, m *session.Up) {
	l, ok := b.sessions[m.Target]
	if !ok {
		return
	}
	l.up = m.Peer
	b.log.With("target", m.Target).Info("target process reached")
	for id := range l.ids {
		b.perform(ctx, now, b.steering.SessionUp(now, id))
	}
}

func (b *broker) sessionDown(ctx actor.Context, now time.Time, m *session.Down) {
	l, ok := b.sessions[m.Target]
	if !ok {
		return
	}
	l.up = nil
	b.log.With("target", m.Target).Warn("target process lost")
	for id := range l.ids {
		b.perform(ctx, now, b.steering.SessionDown(now, id))
	}
}

func (b *broker) perform(ctx actor.Context, now time.Time, actions []steering.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case steering.Granted:
			b.reply(a.Number, a)
		case steering.Refused:
			b.reply(a.Number, a)
		case steering.Send:
			if l, ok := b.sessions[b.names[a.Target]]; ok {
				ctx.Send(l.pid, a.Message)
			}
		case steering.Connect:
			b.connect(ctx, now, a.Target)
		case steering.Disconnect:
			b.disconnect(ctx, a.Target)
		}
	}
}

func (b *broker) reply(number uint64, m any) {
	if reply, ok := b.replies[number]; ok {
		delete(b.replies, number)
		reply <- m
	}
}

func (b *broker) connect(ctx actor.Context, now time.Time, t *catalog.Target) {
	ip, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		b.log.With("target", t.ID).Error(result.Wrap(result.MalformedTable, err), "a target without address")
		return
	}
	address := net.JoinHostPort(ip, b.port)
	l, ok := b.sessions[address]
	if !ok {
		l = &link{ids: make(map[string]bool), pid: ctx.Spawn(session.Props(address, address, ctx.Self(), b.local))}
		b.sessions[address] = l
	}
	l.ids[t.ID] = true
	b.names[t.ID] = address
	b.log.With("target", t.ID).With("address", t.Address).With("failure_domain", t.FailureDomain).Info("target seen")
	if l.up != nil {
		b.perform(ctx, now, b.steering.SessionUp(now, t.ID))
	}
}

func (b *broker) disconnect(ctx actor.Context, id string) {
	address := b.names[id]
	delete(b.names, id)
	l, ok := b.sessions[address]
	if !ok {
		return
	}
	b.log.With("target", id).Info("target gone")
	delete(l.ids, id)
	if len(l.ids) == 0 {
		ctx.Stop(l.pid)
		delete(b.sessions, address)
	}
}
