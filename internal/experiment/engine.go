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

// The duration of an engine step is the sum of a base time, a time per sequence
// in the batch, a time per distinct adapter in it and a time per prefilled
// token.
const (
	stepBaseTime            = 12 * time.Millisecond
	stepTimePerSequence     = 400 * time.Microsecond
	stepTimePerAdapter      = time.Millisecond
	prefillTimePerToken     = 50 * time.Microsecond
	maxPrefillTokensPerStep = 512
	// maxEngineBatch is the largest number of sequences in a step. Further
	// sequences wait in order of priority.
	maxEngineBatch = 16
	// tokensPerChunk is the number of tokens in each chunk after the first.
	// Real engines send a chunk per token; larger chunks save events.
	// chunkText stands for the text of such a chunk.
	tokensPerChunk = 4
	chunkText      = "."
	// orderLatency is the duration of an order that loads no weights. An
	// order is a command of the target process to its engine.
	orderLatency = time.Millisecond
)

// sequence is a request in the engine.
type sequence struct {
	id       wire.AttemptID
	key      slots.Key
	priority int
	// prefill is the number of prompt tokens that are not prefilled yet.
	prefill int
	// output is the number of tokens to generate, produced those generated.
	output   int
	produced int
}

// engineEvents receives the output of an engine.
type engineEvents interface {
	chunk(id wire.AttemptID, data string)
	ended(c scheduler.Completion)
}

// engine models an engine with continuous batching and adapter slots.
type engine struct {
	loop   *loop
	store  *store
	events engineEvents
	// slotCount is the number of adapter slots.
	slotCount int
	// slowdown returns the factor on the step time.
	slowdown func(now time.Time) float64

	incarnation int64
	// fence is the fencing number that the target process set last.
	fence         uint64
	resident      map[slots.Key]bool
	loading       map[slots.Key]bool
	sequences     []*sequence
	stepScheduled bool
	stats         engineStats
}

// engineStats holds sums over all steps. batchSum adds up the batch sizes and
// distinctSum the numbers of distinct adapters in each batch. tokens counts the
// generated tokens.
type engineStats struct {
	steps, batchSum, distinctSum, tokens int
	// violations describes orders that would fail on a real engine.
	violations []string
}

func newEngine(l *loop, s *store, slotCount int, slowdown func(time.Time) float64) *engine {
	return &engine{
		loop: l, store: s, slotCount: slotCount, slowdown: slowdown, incarnation: 1,
		resident: make(map[slots.Key]bool), loading: make(map[slots.Key]bool),
	}
}

func (e *engine) state() scheduler.ProbeResult {
	keys := make([]slots.Key, 0, len(e.resident))
	for k := range e.resident {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b slots.Key) int {
		return cmp.Or(cmp.Compare(a.Adapter, b.Adapter), cmp.Compare(a.Version, b.Version))
	})
	return scheduler.ProbeResult{
		Fence:    authority.FenceState{Incarnation: e.incarnation, Fence: e.fence, ChecksFence: true},
		Resident: keys,
	}
}

func (e *engine) violation(format string, args ...any) {
	e.stats.violations = append(e.stats.violations, fmt.Sprintf(format, args...))
}

// load starts loading an adapter and calls done with the result.
func (e *engine) load(key slots.Key, done func(error)) {
	if len(e.resident)+len(e.loading) >= e.slotCount {
		e.violation("load of %v without a free slot", key)
		e.loop.after(orderLatency, func() { done(result.New(result.AdapterLoadFailed, "no free slot")) })
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

// unload removes an adapter from its slot.
func (e *engine) unload(key slots.Key, done func(error)) {
	for _, s := range e.sequences {
		if s.key == key {
			e.violation("unload of %v in use", key)
		}
	}
	delete(e.resident, key)
	e.loop.after(orderLatency, func() { done(nil) })
}

// execute adds a request to the running sequences. It fails the request if its
// adapter is not loaded.
func (e *engine) execute(s *sequence) {
	if s.key.Adapter != "" && !e.resident[s.key] {
		e.loop.after(orderLatency, func() {
			e.events.ended(scheduler.Completion{ID: s.id, Code: result.EngineFailed, Detail: "adapter not loaded"})
		})
		return
	}
	e.sequences = append(e.sequences, s)
	if !e.stepScheduled {
		e.step()
	}
}

// cancel removes a running request and reports it as cancelled.
func (e *engine) cancel(id wire.AttemptID) {
	before := len(e.sequences)
	e.sequences = slices.DeleteFunc(e.sequences, func(s *sequence) bool { return s.id == id })
	if len(e.sequences) < before {
		e.events.ended(scheduler.Completion{ID: id, Code: result.Cancelled})
	}
}

// restart drops all adapters and fails all running requests.
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

// step runs one step and schedules the next one while sequences are left.
func (e *engine) step() {
	if len(e.sequences) == 0 {
		e.stepScheduled = false
		return
	}
	e.stepScheduled = true
	batch := slices.Clone(e.sequences)
	slices.SortStableFunc(batch, func(a, b *sequence) int { return cmp.Compare(a.priority, b.priority) })
	batch = batch[:min(len(batch), maxEngineBatch)]
	distinct := make(map[slots.Key]struct{}, len(batch))
	prefillLeft := maxPrefillTokensPerStep
	prefilled := 0
	for _, s := range batch {
		distinct[s.key] = struct{}{}
		n := min(s.prefill, prefillLeft)
		s.prefill -= n
		prefillLeft -= n
		prefilled += n
	}
	e.stats.steps++
	e.stats.batchSum += len(batch)
	e.stats.distinctSum += len(distinct)
	stepTime := stepBaseTime + stepTimePerSequence*time.Duration(len(batch)) + stepTimePerAdapter*time.Duration(len(distinct)) +
		prefillTimePerToken*time.Duration(prefilled)
	stepTime = time.Duration(float64(stepTime) * e.slowdown(e.loop.now))
	incarnation := e.incarnation
	e.loop.after(stepTime, func() {
		if e.incarnation == incarnation {
			e.produce(batch)
		}
		e.step()
	})
}

// produce generates one token for every sequence of the batch whose prefill is
// complete.
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
				e.events.chunk(s.id, chunkText)
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

// answerHead and answerTail return the first and the last part of an answer.
// The head names the adapter that the engine used, so that finish can verify
// the answer.
func answerHead(key slots.Key) string { return key.Adapter + "@" + key.Version + ":" }

func answerTail(number uint64, tokens int) string { return fmt.Sprintf("%d:%d", number, tokens) }

// answer returns the whole answer to a request.
func answer(key slots.Key, number uint64, tokens int) string {
	return answerHead(key) + strings.Repeat(chunkText, (tokens-1)/tokensPerChunk) + answerTail(number, tokens)
}
