package steering

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/decide/heldprompts"
	"agatelanding.example/agatelanding/internal/decide/prompt"
	"agatelanding.example/agatelanding/internal/wire"
)

// saving subtracts from the cost of each engine the time that a request does not take
// there because the engine holds a prefix of its prompt.
type saving struct {
	s *Steering
	r *request
	// rates holds the requests per second with each prefix at this entry, and holders the
	// number of engines that hold it and no longer one.
	rates   [heldprompts.MaxParts]float64
	holders [heldprompts.MaxParts]int
	// plain is the engine with the lowest cost without a saving.
	plain     *target
	plainCost float64
}

// savingOf returns the saving of a request. It saves nothing if the request lists no
// parts or the configuration does not state the engines' prompt memory.
func (s *Steering) savingOf(now time.Time, r *request) *saving {
	x := &saving{s: s, r: r, plainCost: math.Inf(1)}
	if s.view.Config.Pools[r.Pool].Engine.PromptMemoryTokens <= 0 {
		r.prefixes = nil
		return x
	}
	if r.prefixes == nil && len(r.PartTokens) > 0 {
		r.prefixes = heldprompts.Prefixes(r.Model, r.Adapter, r.PromptParts, r.PartTokens)
		s.prefixDemand.Add(now, r.prefixes)
	}
	for i, p := range r.prefixes {
		x.rates[i] = s.prefixDemand.Rate(now, p.Fingerprint)
	}
	if len(r.prefixes) > 0 {
		for _, listed := range s.view.Pools[r.Pool] {
			if t, ok := s.targets[listed.ID]; ok {
				t.saved, t.savedIndex = t.heldPrefixes.Saved(r.prefixes, r.PromptTokens)
				if t.saved < s.cfg.MinHeldTokens {
					t.saved, t.savedIndex = 0, 0
				}
				if t.saved > 0 {
					x.holders[t.savedIndex]++
				}
			}
		}
	}
	return x
}

// apply returns the cost of the request at an engine less the saving there.
func (x *saving) apply(now time.Time, t *target, cost float64) float64 {
	if len(x.r.prefixes) == 0 {
		return cost
	}
	if !now.Before(t.avoidUntil) && cost < x.plainCost {
		x.plain, x.plainCost = t, cost
	}
	saved, index := t.saved, t.savedIndex
	if saved <= 0 || t.waitExceedsSaving {
		return cost
	}
	freeSlots := t.engine.MaxRunning - t.requests() - t.reservations
	share := heldprompts.Share(x.rates[index], t.entries, x.holders[index], saved, x.r.PromptTokens-saved, freeSlots)
	if share < 1 && x.s.random() >= share {
		return cost
	}
	return cost - float64(saved)/prompt.PrefillTokensPerMS
}

// decided reports whether the request would go to another engine without the saving.
func (x *saving) decided(best *target) bool { return x.plain != nil && x.plain != best }

// expectedHeld returns what the target process is told that the entry expects the engine
// to hold. The target process refuses the request if it would wait longer than that saves.
func (r *request) expectedHeld() int {
	if !r.relied {
		return 0
	}
	return r.heldTokens
}

// updatePrefixes applies what a report says of held prefixes.
func (t *target) updatePrefixes(m *wire.EngineReport) {
	if m.StartedAtMS != t.report.StartedAtMS {
		// The engine has restarted and holds nothing of before.
		t.heldPrefixes.Clear()
	}
	t.waitExceedsSaving = false
	t.heldPrefixes.Apply(m.AllHeldPrefixes, m.HeldPrefixes)
	if m.Entries > 0 {
		t.entries = m.Entries
	}
}
