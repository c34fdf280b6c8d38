package engineagent

import (
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/heldprompts"
	"agatelanding.example/agatelanding/internal/decide/prompt"
	"agatelanding.example/agatelanding/internal/wire"
)

// SetEntries sets the number of entries that get the reports.
func (a *Agent) SetEntries(n int) { a.entries = n }

func ownerOf(x Adapter) heldprompts.Owner {
	return heldprompts.Owner{Model: x.Model, Adapter: x.Name}
}

// updateUnread sets how much of its prompt the engine has to read for a waiting request.
func (a *Agent) updateUnread(r *reservation) {
	r.prompt = r.promptLength - a.heldPrompts.Held(r.prefixes, r.promptLength)
}

// isMistaken reports whether a request that was sent here for a held prefix would wait
// longer, for the returned time, than the prefix saves: other entries have chosen the
// engine by the same report, or the engine does not hold the prefix any more. Without a
// wait nothing is lost, because the request would not be read sooner anywhere else.
func (a *Agent) isMistaken(now time.Time, r *reservation, expectedHeld int) (time.Duration, bool) {
	if expectedHeld <= 0 {
		return 0, false
	}
	delay := a.startDelay(now, r)
	return delay, delay > prompt.PrefillTime(r.promptLength-r.prompt)
}

// admitPrefixes records that a request goes to the engine.
func (a *Agent) admitPrefixes(now time.Time, r *reservation) {
	if len(r.prefixes) == 0 {
		return
	}
	held, again := a.heldPrompts.Admit(now, ownerOf(r.adapter), r.prefixes, r.promptLength)
	if held > 0 {
		a.rec.Add("prompt_tokens_held", int64(held))
	}
	if again > 0 {
		a.rec.Add("prompt_tokens_read_again", int64(again))
	}
}

// releasePrefixes records that an admitted request has left the engine. Only streams
// have a first event; other requests count as read after the time which that takes.
func (a *Agent) releasePrefixes(now time.Time, r *reservation) {
	if r.phase == reading && now.Sub(r.admittedAt) >= expectedFirstEventDelay+prompt.PrefillTime(r.prompt) {
		a.heldPrompts.Read(r.prefixes)
	}
	a.heldPrompts.Release(now, r.prefixes)
}

// dropPrefixesOf drops the prefixes of an adapter or, with an empty name, of a base
// model and all its adapters.
func (a *Agent) dropPrefixesOf(x Adapter) {
	a.heldPrompts.Drop(func(o heldprompts.Owner) bool {
		return o.Model == x.Model && (x.Name == "" || o.Adapter == x.Name)
	})
}

// dropUnloadedPrefixes drops the prefixes of the adapters that have been unloaded or
// replaced by another version, and of unloaded base models, as a new status shows.
func (a *Agent) dropUnloadedPrefixes(next EngineStatus) {
	for x, version := range a.status.Held {
		if next.Held[x] != version {
			a.dropPrefixesOf(x)
		}
	}
	for _, m := range a.status.Models {
		if !slices.Contains(next.Models, m) {
			a.dropPrefixesOf(Adapter{Model: m})
		}
	}
}

// reportPrefixes adds to a report what entries need to know of the held prefixes. A
// report with all set goes to one new session, the others to all sessions.
func (a *Agent) reportPrefixes(now time.Time, r *wire.EngineReport, all bool) {
	if all {
		r.HeldPrefixes, r.AllHeldPrefixes = a.heldPrompts.All(), true
	} else {
		r.HeldPrefixes = a.heldPrompts.Changes(now, a.entries)
	}
	if len(r.HeldPrefixes) > 0 {
		r.Entries = a.entries
	}
}
