package broker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// factCopies is the number of holders of a fact.
	factCopies = 3
	// maxAsked is the number of holders that are asked for a fact: more than have it,
	// because sessions that opened or ended since may have changed the selection.
	maxAsked = 12
	// recallTimeout bounds the wait for the replies to one Recall, and sessionsTimeout the
	// wait for the first sessions of an entry that has started.
	recallTimeout   = 150 * time.Millisecond
	sessionsTimeout = time.Second
	// sessionsPollInterval is the time between two looks at the sessions meanwhile.
	sessionsPollInterval = 25 * time.Millisecond
	// maxUnanswered bounds what waits for replies of holders.
	maxUnanswered = 1 << 14
)

// Facts are what this entry knows and keeps at target processes. Its methods are called
// from the broker's actor and must not block.
type Facts interface {
	// Facts returns the facts for a holder that has been reached.
	Facts() []recall.Fact
	// ReceiveFacts takes the facts that a holder had.
	ReceiveFacts([]recall.Fact)
}

// rememberFact sends a fact to its holders.
type rememberFact struct {
	fact  recall.Fact
	acked func()
}

// recallFact asks the holders of a fact for it.
type recallFact struct {
	kind     recall.Kind
	key      string
	askedAt  time.Time
	returned chan RecallResult
}

// recallDue ends the wait for the replies to a recallFact.
type recallDue struct{ id uint64 }

// RecallResult is what the holders know of a fact.
type RecallResult struct {
	// Fact has the highest order of those that were found. Found is false without any.
	Fact  recall.Fact
	Found bool
	// Asked holders were asked, and Answered of them replied in time.
	Asked, Answered int
}

// unacked is a fact that no holder has replied to.
type unacked struct {
	acked  func()
	sentAt time.Time
}

// openRecall is a recallFact of which replies are awaited.
type openRecall struct {
	*recallFact
	result RecallResult
}

// Remember sends a fact to its holders. acked, unless nil, is called once the first one has
// replied that it keeps it, or at once if there is no holder.
func (b *Broker) Remember(f recall.Fact, acked func()) {
	b.root.Send(b.pid, &rememberFact{fact: f, acked: acked})
}

// Recall asks the holders for a fact and waits for their replies, for a short time. An
// entry that has just started waits for its first sessions.
func (b *Broker) Recall(ctx context.Context, k recall.Kind, key string) RecallResult {
	m := &recallFact{kind: k, key: key, askedAt: time.Now(), returned: make(chan RecallResult, 1)}
	b.root.Send(b.pid, m)
	select {
	case r := <-m.returned:
		return r
	case <-ctx.Done():
		return RecallResult{}
	}
}

// holderSelection returns the selection among the target processes with an open session.
func (b *brokerActor) holderSelection() *recall.Holders {
	if b.holders == nil {
		var list []recall.Holder
		for _, address := range slices.Sorted(maps.Keys(b.sessions)) {
			if p := b.sessions[address].peer; p != nil && p.Remembers {
				list = append(list, recall.Holder{Name: address, FailureDomain: p.FailureDomain})
			}
		}
		b.holders = recall.NewHolders(list)
	}
	return b.holders
}

func (b *brokerActor) remember(ctx actor.Context, now time.Time, m *rememberFact) {
	id := uint64(0)
	if m.acked != nil {
		if len(b.unacked) >= maxUnanswered {
			// A holder that replies has done so long before.
			maps.DeleteFunc(b.unacked, func(_ uint64, u unacked) bool { return now.Sub(u.sentAt) > recallTimeout })
		}
		b.lastRecall++
		id = b.lastRecall
		b.unacked[id] = unacked{acked: m.acked, sentAt: now}
	}
	holders := b.holderSelection().Of(m.fact.Key, factCopies)
	if len(holders) == 0 {
		b.remembered(id)
	}
	for _, address := range holders {
		ctx.Send(b.sessions[address].pid, &wire.Remember{ID: id, Facts: []wire.Fact{wire.FactMessage(m.fact, now)}})
	}
}

// holderReached exchanges facts with a holder whose session has opened.
func (b *brokerActor) holderReached(ctx actor.Context, now time.Time, address string, ps *processSession) {
	b.holders = nil
	if !ps.peer.Remembers {
		return
	}
	for _, k := range []recall.Kind{recall.Verdict, recall.SoftwareVersion, recall.Begin, recall.Crash, recall.SlackUse} {
		ctx.Send(ps.pid, &wire.Recall{Kind: uint8(k)})
	}
	message := &wire.Remember{}
	for _, f := range b.facts.Facts() {
		if slices.Contains(b.holderSelection().Of(f.Key, factCopies), address) && len(message.Facts) < wire.MaxFacts {
			message.Facts = append(message.Facts, wire.FactMessage(f, now))
		}
	}
	if len(message.Facts) > 0 {
		ctx.Send(ps.pid, message)
	}
}

// awaitsSessions reports whether the entry has started so lately that target processes that
// it knows may not be reached yet.
func (b *brokerActor) awaitsSessions(now time.Time) bool {
	if now.Sub(b.startedAt) > sessionsTimeout {
		return false
	}
	for _, ps := range b.sessions {
		if ps.peer == nil {
			return true
		}
	}
	return len(b.sessions) == 0
}

func (b *brokerActor) recall(ctx actor.Context, now time.Time, m *recallFact) {
	root, self := ctx.ActorSystem().Root, ctx.Self()
	if b.awaitsSessions(now) {
		time.AfterFunc(sessionsPollInterval, func() { root.Send(self, m) })
		return
	}
	asked := b.holderSelection().Of(m.key, maxAsked)
	if len(asked) == 0 || len(b.recalls) >= maxUnanswered {
		m.returned <- RecallResult{}
		return
	}
	b.lastRecall++
	id := b.lastRecall
	b.recalls[id] = &openRecall{recallFact: m, result: RecallResult{Asked: len(asked)}}
	for _, address := range asked {
		ctx.Send(b.sessions[address].pid, &wire.Recall{ID: id, Kind: uint8(m.kind), Keys: []string{m.key}})
	}
	time.AfterFunc(recallTimeout, func() { root.Send(self, &recallDue{id: id}) })
}

// recalled takes the reply of a holder.
func (b *brokerActor) recalled(now time.Time, m *wire.Recalled) {
	var facts []recall.Fact
	for _, f := range m.Facts {
		if f := wire.FactOf(f, now); f.Key != "" {
			facts = append(facts, f)
		}
	}
	if m.ID == 0 {
		b.facts.ReceiveFacts(facts)
		return
	}
	open, ok := b.recalls[m.ID]
	if !ok {
		return
	}
	for _, f := range facts {
		if f.Key == open.key && (!open.result.Found || f.Order > open.result.Fact.Order) {
			open.result.Fact, open.result.Found = f, true
		}
	}
	if open.result.Answered++; open.result.Answered == open.result.Asked {
		b.endRecall(m.ID)
	}
}

func (b *brokerActor) endRecall(id uint64) {
	if open, ok := b.recalls[id]; ok {
		delete(b.recalls, id)
		open.returned <- open.result
	}
}

// remembered passes on that a fact is kept.
func (b *brokerActor) remembered(id uint64) {
	if u, ok := b.unacked[id]; ok {
		delete(b.unacked, id)
		u.acked()
	}
}
