package edge

import (
	"context"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/entry/containment"
	"agatelanding.example/agatelanding/entry/streams"
	"agatelanding.example/agatelanding/internal/decide/recall"
	"agatelanding.example/agatelanding/internal/decide/retry"
)

// budgetInterval is the time between two looks at what this entry uses of the slack of its
// retry budget.
const budgetInterval = 250 * time.Millisecond

// knowledge is what this entry keeps at target processes.
type knowledge struct {
	guard   *containment.Guard
	streams *streams.Registry
	slack   slackKeeper
}

// Facts implements broker.Facts.
func (k knowledge) Facts() []recall.Fact {
	return slices.Concat(k.guard.Facts(), k.streams.Facts(), k.slack.facts(time.Now()))
}

// ReceiveFacts implements broker.Facts.
func (k knowledge) ReceiveFacts(facts []recall.Fact) {
	k.guard.ReceiveFacts(facts)
	k.streams.ReceiveFacts(facts)
	k.slack.receiveFacts(time.Now(), facts)
}

// slackKeeper turns what an entry uses of the slack of its retry budget into facts that
// target processes keep, and back after the entry has started again.
type slackKeeper struct {
	entry  string
	budget *retry.SharedBudget
	window time.Duration
}

func (e *Edge) slackKeeper() slackKeeper {
	return slackKeeper{entry: e.settings.Name, budget: e.retryBudget, window: e.settings.Bounds.RetryWindow}
}

func (k slackKeeper) fact(u retry.SlackUse) recall.Fact {
	// A number can always be encoded.
	value, _ := msgpack.Marshal(u.Repeats)
	return recall.Fact{Kind: recall.SlackUse, Key: k.entry + "\x00" + u.Pool, Value: value, At: u.At, TTL: k.window}
}

// facts returns all uses, for a target process that keeps them.
func (k slackKeeper) facts(now time.Time) (facts []recall.Fact) {
	for _, u := range k.budget.SlackUses(now) {
		facts = append(facts, k.fact(u))
	}
	return facts
}

// receiveFacts takes the uses of this entry that a target process has kept.
func (k slackKeeper) receiveFacts(now time.Time, facts []recall.Fact) {
	for _, f := range facts {
		entry, pool, ok := strings.Cut(f.Key, "\x00")
		var repeats float64
		if !ok || f.Kind != recall.SlackUse || entry != k.entry || msgpack.Unmarshal(f.Value, &repeats) != nil || !(repeats >= 0) || math.IsInf(repeats, 0) {
			continue
		}
		k.budget.Restore(now, retry.SlackUse{Pool: pool, Repeats: repeats, At: f.At})
	}
}

// maintainRetryBudget sets the number of entries that share the retry budget and has target
// processes keep each use of its slack that has risen, until ctx ends.
func (e *Edge) maintainRetryBudget(ctx context.Context) {
	k := e.slackKeeper()
	kept := make(map[string]float64)
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-time.After(budgetInterval):
			e.retryBudget.SetEntries(e.mesh.EntryCount())
			uses := make(map[string]float64)
			for _, u := range e.retryBudget.SlackUses(now) {
				uses[u.Pool] = u.Repeats
				if u.Repeats > kept[u.Pool] {
					e.broker.Remember(k.fact(u), nil)
				}
			}
			kept = uses
		}
	}
}
