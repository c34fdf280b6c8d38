package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// The step time of an engine: a base, a part per sequence, a part per distinct
// adapter, and the prefill of new sequences.
const (
	stepBase       = 12 * time.Millisecond
	stepSequence   = 400 * time.Microsecond
	stepAdapter    = time.Millisecond
	prefillToken   = 50 * time.Microsecond
	prefillPerStep = 512
	// engineBatch is the largest batch of an engine; more sequences wait in
	// order of priority.
	engineBatch = 16
	// tokensPerChunk is the number of tokens in a chunk after the first;
	// engines send one each, fewer chunks save events. chunkMark stands for
	// the text of such a chunk.
	tokensPerChunk = 4
	chunkMark      = "."
	// orderTime is the time of an order that moves no weights.
	orderTime = time.Millisecond
)

type sequence struct {
	id       wire.AttemptID
	key      slots.Key
	priority int
	prefill  int
	output   int
	produced int
}

// engineEvents is what an engine reports.
type engineEvents interface {
	chunk(id wire.AttemptID, data string)
	ended(c scheduler.Completion)
}

// engine models one engine with continuous batching and adapter slots.
type engine struct {
	loop     *loop
	store    *store
	events   engineEvents
	capacity int
	// slow multiplies the step time.
	slow func(now time.Time) float64

	incarnation int64
	fence       uint64
	resident    map[slots.Key]bool
	loading     map[slots.Key]bool
	sequences   []*sequence
	stepping    bool
	stats       engineStats
}

// engineStats sums over steps.
type engineStats struct {
	steps, batch, distinct, tokens int
	// violations describes orders that a real engine would fail on.
	violations []string
}

func newEngine(l *loop, s *store, capacity int, slow func(time.Time) float64) *engine {
	return &engine{
		loop: l, store: s, capacity: capacity, slow: slow, incarnation: 1,
		resident: make(map[slots.Key]bool), loading: make(map[slots.Key]bool),
	}
}

func (e *engine) state() scheduler.EngineState {
	keys := make([]slots.Key, 0, len(e.resident))
	for k := range e.resident {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b slots.Key) int {
		return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return scheduler.EngineState{
		View:     authority.EngineView{Incarnation: e.incarnation, Fence: e.fence, KeepsFence: true},
		Resident: keys,
	}
}

func (e *engine) violation(format string, args ...any) {
	e.stats.violations = append(e.stats.violations, fmt.Sprintf(format, args...))
}

// load starts a load and calls done with its result.
func (e *engine) load(key slots.Key, done func(error)) {
	if len(e.resident)+len(e.loading) >= e.capacity {
		e.violation("load of %v without a free slot", key)
		e.loop.after(orderTime, func() { done(result.New(result.AdapterLoadFailed, "no free slot")) })
		return
	}
	e.loading[key] = true
	incarnation := e.incarnation
	e.store.load(func() {
		if e.incarnation != incarnation {
			done(result.New(result.AdapterLoadFailed, "the engine restarted"))
			return
		}
		delete(e.loading, key)
		e.resident[key] = true
		done(nil)
	})
}

// unload frees a slot.
func (e *engine) unload(key slots.Key, done func(error)) {
	for _, s := range e.sequences {
		if s.key == key {
			e.violation("unload of %v in use", key)
		}
	}
	delete(e.resident, key)
	e.loop.after(orderTime, func() { done(nil) })
}

// execute adds a request to the batch.
func (e *engine) execute(s *sequence) {
	if s.key.Adapter != "" && !e.resident[s.key] {
		e.loop.after(orderTime, func() {
			e.events.ended(scheduler.Completion{ID: s.id, Code: result.EngineFailed, Detail: "adapter not loaded"})
		})
		return
	}
	e.sequences = append(e.sequences, s)
	if !e.stepping {
		e.step()
	}
}

// cancel ends a request.
func (e *engine) cancel(id wire.AttemptID) {
	before := len(e.sequences)
	e.sequences = slices.DeleteFunc(e.sequences, func(s *sequence) bool { return s.id == id })
	if len(e.sequences) < before {
		e.events.ended(scheduler.Completion{ID: id, Code: result.Cancelled})
	}
}

// restart empties the engine and fails what runs.
func (e *engine) restart() {
	e.incarnation++
	e.fence = 0
	clear(e.resident)
	clear(e.loading)
	failed := e.sequences
	e.sequences = nil
	for _, s := range failed {
		e.events.ended(scheduler.Completion{ID: s.id, Code: result.EngineFailed, Detail: "the engine restarted"})
	}
}

// step runs one step of the batch.
func (e *engine) step() {
	if len(e.sequences) == 0 {
		e.stepping = false
		return
	}
	e.stepping = true
	batch := slices.Clone(e.sequences)
	slices.SortStableFunc(batch, func(a, b *sequence) int { return cmp.Compare(a.priority, b.priority) })
	batch = batch[:min(len(batch), engineBatch)]
	distinct := make(map[slots.Key]struct{}, len(batch))
	room := prefillPerStep
	prefilled := 0
	for _, s := range batch {
		distinct[s.key] = struct{}{}
		n := min(s.prefill, room)
		s.prefill -= n
		room -= n
		prefilled += n
	}
	e.stats.steps++
	e.stats.batch += len(batch)
	e.stats.distinct += len(distinct)
	took := stepBase + stepSequence*time.Duration(len(batch)) + stepAdapter*time.Duration(len(distinct)) +
		prefillToken*time.Duration(prefilled)
	took = time.Duration(float64(took) * e.slow(e.loop.now))
	incarnation := e.incarnation
	e.loop.after(took, func() {
		if e.incarnation == incarnation {
			e.produce(batch)
		}
		e.step()
	})
}

// produce gives every prefilled sequence of the batch one token.
func (e *engine) produce(batch []*sequence) {
	for _, s := range batch {
		if s.prefill > 0 || !slices.Contains(e.sequences, s) {
			continue
		}
		s.produced++
		e.stats.tokens++
		if s.produced == 1 {
			e.events.chunk(s.id, answerHead(s.key))
		}
		if s.produced < s.output {
			if s.produced%tokensPerChunk == 0 {
				e.events.chunk(s.id, chunkMark)
			}
			continue
		}
		e.sequences = slices.DeleteFunc(e.sequences, func(x *sequence) bool { return x == s })
		e.events.chunk(s.id, answerTail(s.id.Request.Number, s.produced))
		e.events.ended(scheduler.Completion{
			ID: s.id, Code: result.OK, Status: 200, Adapter: s.key.Adapter, Version: s.key.Version,
		})
	}
}

// answerHead and answerTail make up an answer; the engine names the adapter
// that it used, so that the driver can verify the answer.
func answerHead(key slots.Key) string { return key.Adapter + "@" + key.Version + ":" }

func answerTail(number uint64, tokens int) string { return fmt.Sprintf("%d:%d", number, tokens) }

// answer is the whole answer to a request.
func answer(key slots.Key, number uint64, tokens int) string {
	return answerHead(key) + strings.Repeat(chunkMark, (tokens-1)/tokensPerChunk) + answerTail(number, tokens)
}
