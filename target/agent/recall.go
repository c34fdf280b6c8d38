package agent

import (
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"agatelanding.example/agatelanding/internal/decide/engineagent"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/wire"
)

// maxRecalledFacts bounds the facts in one reply.
const maxRecalledFacts = 128

// remember keeps facts of an entry.
func (c *core) remember(ctx actor.Context, now time.Time, id engineagent.SessionID, m *wire.Remember) {
	for _, f := range m.Facts[:min(len(m.Facts), wire.MaxFacts)] {
		c.memory.Put(now, wire.FactOf(f, now))
	}
	if m.ID != 0 {
		c.send(ctx, id, &wire.Remembered{ID: m.ID})
	}
}

// recall replies with the facts that an entry asks for.
func (c *core) recall(ctx actor.Context, now time.Time, id engineagent.SessionID, m *wire.Recall) {
	kind := recall.Kind(m.Kind)
	var facts []recall.Fact
	if len(m.Keys) == 0 {
		facts = c.memory.List(now, kind)
	}
	for _, key := range m.Keys[:min(len(m.Keys), wire.MaxFacts)] {
		if f, ok := c.memory.Get(now, kind, key); ok {
			facts = append(facts, f)
		}
	}
	for {
		message := &wire.Recalled{ID: m.ID, Kind: m.Kind, More: len(facts) > maxRecalledFacts}
		for _, f := range facts[:min(len(facts), maxRecalledFacts)] {
			message.Facts = append(message.Facts, wire.FactMessage(f, now))
		}
		c.send(ctx, id, message)
		if !message.More {
			return
		}
		facts = slices.Clone(facts[maxRecalledFacts:])
	}
}
