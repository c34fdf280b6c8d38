// Package broker runs the state machine of package steering as an actor. The
// actor passes its messages to the state machine as events and performs the
// actions that it returns. Its children are the sessions with the target
// processes of model engines.
package broker

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/entry/session"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/runtime"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

// PingInterval is the time between two pings of a session. A VM that lost its
// power is detected after three intervals.
const PingInterval = time.Second

// tick makes the state machine check its deadlines and timers.
type tick struct{}

// acquire requests a target. reply receives steering.Granted or
// steering.Refused.
type acquire struct {
	request steering.Request
	reply   chan any
}

// firstEvent reports the first event of a stream.
type firstEvent struct{ requestNumber uint64 }

// done reports the outcome of a request at its target, or its end before a
// grant.
type done struct {
	requestNumber uint64
	outcome       steering.Outcome
}

// notified passes on what a target has said of itself in an answer.
type notified struct {
	target *catalog.Target
	notice steering.Notice
}

// permitted is the reply to a request for a permit.
type permitted struct {
	requestNumber uint64
	targetID      string
	granted       bool
	retryAfter    time.Duration
}

// receivedRateLimits passes on what another entry has learnt of the rates of targets.
type receivedRateLimits struct{ limits []wire.RateLimit }

// getRateLimits requests the targets that name a rate.
type getRateLimits struct{}

// Permits asks the other entries for permits and passes rates on to them.
type Permits interface {
	Ask(requestNumber uint64, a ratelimit.Ask, reply func(granted bool, retryAfter time.Duration))
	Withdraw(requestNumber uint64)
	Broadcast(l wire.RateLimit)
}

// setView puts a view of the published state in force.
type setView struct{ view *catalog.View }

// Broker gives the goroutines that handle requests access to the actor. It
// implements relay.Broker.
type Broker struct {
	root *actor.RootContext
	pid  *actor.PID
	// lastRequestNumber is the number of the newest request.
	lastRequestNumber atomic.Uint64
}

// Start spawns the actor below root. internalPort is the port at which target
// processes accept sessions.
func Start(root *actor.RootContext, s *steering.Steering, permits Permits, demands Demands, facts Facts, local session.Options, internalPort string) *Broker {
	props := actor.PropsFromProducer(func() actor.Actor {
		return &brokerActor{
			steering: s, permits: permits, demands: demands, facts: facts, startedAt: time.Now(), unacked: make(map[uint64]unacked), recalls: make(map[uint64]*openRecall), local: local, internalPort: internalPort, sessions: make(map[string]*processSession), addresses: make(map[string]string),
			replies: make(map[uint64]chan any), tickTimer: runtime.NewTickTimer(&tick{}), log: telemetry.For("broker"),
		}
	}, actor.WithSupervisor(runtime.RestartChildren()))
	return &Broker{root: root, pid: root.Spawn(props)}
}

// SetView puts a view of the published state in force.
func (b *Broker) SetView(v *catalog.View) { b.root.Send(b.pid, &setView{view: v}) }

// Acquire implements relay.Broker.
func (b *Broker) Acquire(ctx context.Context, r steering.Request) (steering.Grant, uint64, *steering.Refused) {
	r.Number = b.lastRequestNumber.Add(1)
	message := &acquire{request: r, reply: make(chan any, 1)}
	b.root.Send(b.pid, message)
	select {
	case reply := <-message.reply:
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
func (b *Broker) FirstEvent(requestNumber uint64) {
	b.root.Send(b.pid, &firstEvent{requestNumber: requestNumber})
}

// Done implements relay.Broker.
func (b *Broker) Done(requestNumber uint64, outcome steering.Outcome) {
	b.root.Send(b.pid, &done{requestNumber: requestNumber, outcome: outcome})
}

// Notified implements relay.Broker.
func (b *Broker) Notified(target *catalog.Target, n steering.Notice) {
	b.root.Send(b.pid, &notified{target: target, notice: n})
}

// ReceiveRateLimits takes what another entry has learnt of the rates of targets.
func (b *Broker) ReceiveRateLimits(limits []wire.RateLimit) {
	b.root.Send(b.pid, &receivedRateLimits{limits: limits})
}

// RateLimits returns the targets that name a rate.
func (b *Broker) RateLimits() ([]steering.RateLimitStatus, error) {
	reply, err := b.root.RequestFuture(b.pid, &getRateLimits{}, time.Second).Result()
	if err != nil {
		return nil, err
	}
	list, _ := reply.([]steering.RateLimitStatus)
	return list, nil
}

// Stop stops the actor and its sessions.
func (b *Broker) Stop() { _ = b.root.StopFuture(b.pid).Wait() }

// processSession is the session with the target process at one address. For a
// while after an engine restarts under a new ID, its address has two target IDs.
type processSession struct {
	pid       *actor.PID
	targetIDs map[string]bool
	// peer is nil while the session is down.
	peer *wire.Hello
}

// brokerActor is the actor behind a Broker.
type brokerActor struct {
	steering *steering.Steering
	permits  Permits
	demands  Demands
	// members is the number of entries that reported their demand at membersAt.
	members      int
	membersAt    time.Time
	local        session.Options
	internalPort string
	// sessions holds the sessions by the address of the target process. The
	// broker uses the address as the name of the process, so that Target in the
	// messages of a session is the address.
	sessions map[string]*processSession
	// addresses holds the session address of each target ID.
	addresses map[string]string
	// replies holds the reply channel of each request that waits for a target.
	replies map[uint64]chan any
	// holders selects among the open sessions, nil if they have changed. unacked and
	// recalls hold what waits for replies of holders.
	facts      Facts
	startedAt  time.Time
	holders    *recall.Holders
	unacked    map[uint64]unacked
	recalls    map[uint64]*openRecall
	lastRecall uint64
	tickTimer  *runtime.TickTimer
	log        *telemetry.Logger
}

// Receive implements actor.Actor.
func (b *brokerActor) Receive(ctx actor.Context) {
	now := time.Now()
	switch m := ctx.Message().(type) {
	case *actor.Stopping:
		b.tickTimer.Stop()
		return
	case *acquire:
		b.replies[m.request.Number] = m.reply
		b.perform(ctx, now, b.steering.Acquire(now, m.request))
	case *done:
		delete(b.replies, m.requestNumber)
		b.perform(ctx, now, b.steering.Done(now, m.requestNumber, m.outcome))
	case *firstEvent:
		b.perform(ctx, now, b.steering.FirstEvent(m.requestNumber))
	case *notified:
		actions, isNew := b.steering.Notified(now, m.target, m.notice)
		if isNew {
			b.logNotice(m)
		}
		b.perform(ctx, now, actions)
	case *permitted:
		if !m.granted {
			b.log.With("entry", b.local.Hello().Process).With("number", m.requestNumber).With("target", m.targetID).With("after_ms", m.retryAfter.Milliseconds()).Info("no permit for a target that names a rate limit")
		}
		b.perform(ctx, now, b.steering.Permitted(now, m.requestNumber, m.targetID, m.granted, m.retryAfter))
	case *receivedRateLimits:
		for _, l := range m.limits {
			b.log.With("target", l.Target).With("per_second", l.PerSecond).With("age_ms", l.AgeMS).With("by", ratelimit.FromEntry).Info("rate limit received")
		}
		b.perform(ctx, now, b.steering.ReceiveRateLimits(now, m.limits))
	case *getRateLimits:
		ctx.Respond(b.steering.RateLimits(now))
	case *setView:
		b.perform(ctx, now, b.steering.SetView(now, m.view))
	case *receivedDemands:
		b.perform(ctx, now, b.receiveDemands(now, m))
	case *getServiceShares:
		ctx.Respond(b.steering.ServiceShares(now))
	case *tick:
		b.updateMembers(now)
		b.perform(ctx, now, b.steering.Tick(now))
	case *session.Opened:
		b.sessionUp(ctx, now, m)
	case *session.Closed:
		b.sessionDown(ctx, now, m)
	case *rememberFact:
		b.remember(ctx, now, m)
	case *recallFact:
		b.recall(ctx, now, m)
	case *recallDue:
		b.endRecall(m.id)
	case *session.MessageReceived:
		switch reply := m.Message.(type) {
		case *wire.Remembered:
			b.remembered(reply.ID)
			return
		case *wire.Recalled:
			b.recalled(now, reply)
			return
		}
		if ps, ok := b.sessions[m.Target]; ok {
			for targetID := range ps.targetIDs {
				b.perform(ctx, now, b.steering.Message(now, targetID, m.Message))
			}
		}
	}
	interval := runtime.IdleTickInterval
	if b.steering.InFlight() > 0 {
		interval = busyTickInterval
	}
	if wait, ok := b.steering.NextService(now); ok {
		interval = min(interval, max(wait, time.Millisecond))
	}
	b.tickTimer.ScheduleWithin(ctx, now, interval)
}

func (b *brokerActor) logNotice(m *notified) {
	line := b.log.With("target", m.target.ID)
	if n := m.notice; n.Leaving || n.RetryAfter > 0 {
		line.With("leaving", n.Leaving).With("retry_after_ms", n.RetryAfter.Milliseconds()).Info("target wants no new requests")
	}
	if m.notice.RateLimit > 0 {
		line.With("per_second", m.notice.RateLimit).With("by", ratelimit.FromAnswer).Info("target names a rate limit")
	}
	if !m.notice.NoRateLimitSentAt.IsZero() {
		line.Info("target names no rate limit any more")
	}
}

// busyTickInterval bounds how late a deadline is noticed while there are open
// requests.
const busyTickInterval = 25 * time.Millisecond

func (b *brokerActor) sessionUp(ctx actor.Context, now time.Time, m *session.Opened) {
	ps, ok := b.sessions[m.Target]
	if !ok {
		return
	}
	ps.peer = m.Peer
	b.log.With("target", m.Target).Info("target process reached")
	b.holderReached(ctx, now, m.Target, ps)
	for targetID := range ps.targetIDs {
		b.perform(ctx, now, b.steering.SessionUp(now, targetID))
	}
}

func (b *brokerActor) sessionDown(ctx actor.Context, now time.Time, m *session.Closed) {
	ps, ok := b.sessions[m.Target]
	if !ok {
		return
	}
	ps.peer, b.holders = nil, nil
	b.log.With("target", m.Target).Warn("target process lost")
	for targetID := range ps.targetIDs {
		b.perform(ctx, now, b.steering.SessionLost(now, targetID))
	}
}

// perform carries out the actions that the steering returned.
func (b *brokerActor) perform(ctx actor.Context, now time.Time, actions []steering.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case steering.Granted:
			b.reply(a.Number, a)
		case steering.Refused:
			b.reply(a.Number, a)
		case steering.Send:
			if ps, ok := b.sessions[b.addresses[a.Target]]; ok {
				ctx.Send(ps.pid, a.Message)
			}
		case steering.AskPermit:
			root, self := ctx.ActorSystem().Root, ctx.Self()
			b.permits.Ask(a.Number, a.Ask, func(granted bool, retryAfter time.Duration) {
				root.Send(self, &permitted{requestNumber: a.Number, targetID: a.Ask.Key.Target, granted: granted, retryAfter: retryAfter})
			})
		case steering.WithdrawAsk:
			b.permits.Withdraw(a.Number)
		case steering.BroadcastRateLimit:
			b.permits.Broadcast(a.Limit)
		case steering.ReportDemands:
			b.reportDemands(a.Demands)
		case steering.Connect:
			b.connect(ctx, now, a.Target)
		case steering.Disconnect:
			b.disconnect(ctx, a.Target)
		}
	}
}

// reply answers the Acquire call of a request.
func (b *brokerActor) reply(requestNumber uint64, m any) {
	if reply, ok := b.replies[requestNumber]; ok {
		delete(b.replies, requestNumber)
		reply <- m
	}
}

// connect opens a session with the process of a target, or uses the open one at
// its address.
func (b *brokerActor) connect(ctx actor.Context, now time.Time, t *catalog.Target) {
	ip, _, err := net.SplitHostPort(t.Address)
	if err != nil {
		b.log.With("target", t.ID).Error(result.Wrap(result.MalformedTable, err), "the address of the target is not a host and port")
		return
	}
	address := net.JoinHostPort(ip, b.internalPort)
	ps, ok := b.sessions[address]
	if !ok {
		// The address is also the name that the process sends in its Hello.
		ps = &processSession{targetIDs: make(map[string]bool), pid: ctx.Spawn(session.Props(address, address, ctx.Self(), b.local))}
		b.sessions[address] = ps
	}
	ps.targetIDs[t.ID] = true
	b.addresses[t.ID] = address
	b.log.With("target", t.ID).With("address", t.Address).With("failure_domain", t.FailureDomain).Info("target seen")
	if ps.peer != nil {
		b.perform(ctx, now, b.steering.SessionUp(now, t.ID))
	}
}

// disconnect ends the session with the process of a target unless another target
// ID uses it.
func (b *brokerActor) disconnect(ctx actor.Context, targetID string) {
	address := b.addresses[targetID]
	delete(b.addresses, targetID)
	ps, ok := b.sessions[address]
	if !ok {
		return
	}
	b.log.With("target", targetID).Info("target gone")
	delete(ps.targetIDs, targetID)
	if len(ps.targetIDs) == 0 {
		ctx.Stop(ps.pid)
		delete(b.sessions, address)
		b.holders = nil
	}
}
