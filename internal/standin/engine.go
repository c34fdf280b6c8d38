package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// EngineConfig describes one simulated engine.
type EngineConfig struct {
	BaseModel string
	// Slots is the number of adapter slots.
	Slots int
	// MaxBatch is the maximum number of sequences in one step.
	MaxBatch int
	// One step yields one token for each sequence in the batch. It takes
	// StepBase, plus StepPerSequence for each sequence, plus StepPerAdapter
	// for each distinct model in the batch.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerAdapter  time.Duration
	// KeepsFence makes the engine refuse orders with an old fencing number, and
	// loads, unloads and runs for another incarnation. An order is a request to
	// load or unload an adapter or to set the fencing number; a run is the
	// execution of one completion request.
	KeepsFence bool
	// WeightStore is the base URL of the weight store.
	WeightStore string
	// ReportLag is the age of the load reports that the engine returns.
	ReportLag time.Duration
}

// DefaultEngineConfig returns the configuration of a small engine.
func DefaultEngineConfig() EngineConfig {
	return EngineConfig{
		BaseModel: "base", Slots: 8, MaxBatch: 16,
		StepBase: 12 * time.Millisecond, StepPerSequence: 400 * time.Microsecond, StepPerAdapter: time.Millisecond,
		KeepsFence: true, ReportLag: time.Second,
	}
}

// sequence is the state of one run, the execution of one completion request.
type sequence struct {
	id     string
	model  string
	prompt string
	// total is the number of tokens requested, tokens the number produced.
	total    int
	priority int
	chat     bool
	// arrival numbers the sequences in the order in which they started.
	arrival uint64
	tokens  int
	// change is closed and replaced whenever tokens, cancelled or failed changes.
	change    chan struct{}
	cancelled bool
	failed    bool
}

func (s *sequence) done() bool { return s.cancelled || s.failed || s.tokens >= s.total }

// Engine simulates a model engine with continuous batching and a limited number
// of adapter slots.
type Engine struct {
	cfg EngineConfig

	mu sync.Mutex
	// incarnation is the Unix time of the last start, in nanoseconds. It
	// distinguishes the engine from the one before a restart.
	incarnation int64
	// fence is the highest fencing number received in this incarnation.
	fence       uint64
	adapters    map[string]string // model name to "loading" or "resident"
	sequences   map[string]*sequence
	lastArrival uint64
	slowFactor  float64
	wake        chan struct{}
	stopped     bool
	// cutNext is the number of streams that are still to be broken.
	cutNext int
	// batchSum and distinctSum add up the sequences and the distinct models
	// of all steps.
	steps       int
	batchSum    int
	distinctSum int
	// unloadsInUse counts orders to unload an adapter in use. A target process
	// must never send one.
	unloadsInUse int
	reports      []engineReport
}

// engineReport is the load report that GET /v1/load returns.
type engineReport struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
}

// NewEngine starts an engine. Close stops it.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, slowFactor: 1, wake: make(chan struct{}, 1)}
	e.reset()
	go e.loop()
	return e
}

// Close stops the batching loop.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.signal()
}

// Restart fails all sequences and empties the engine, as a crash followed by a
// new start does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		s.failed = true
		s.notify()
	}
	e.reset()
}

// reset begins a new incarnation without adapters, sequences or a fencing number.
func (e *Engine) reset() {
	e.incarnation = time.Now().UnixNano()
	e.fence = 0
	e.adapters = make(map[string]string)
	e.sequences = make(map[string]*sequence)
}

// SetSlow multiplies the time of each step by factor, to simulate a noisy
// neighbour.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// notify wakes all readers that wait for a change of the sequence.
func (s *sequence) notify() {
	close(s.change)
	s.change = make(chan struct{})
}

// signal wakes the batching loop.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// loop runs one step after the other, and waits while there is no sequence.
func (e *Engine) loop() {
	for {
		e.mu.Lock()
		batch := e.nextBatch()
		if e.stopped {
			e.mu.Unlock()
			return
		}
		if len(batch) == 0 {
			e.mu.Unlock()
			<-e.wake
			continue
		}
		delay := e.stepTime(batch)
		e.mu.Unlock()
		time.Sleep(delay)
		e.advance(batch)
	}
}

// nextBatch returns the sequences of the next step: lower priority numbers first,
// then earlier arrivals.
func (e *Engine) nextBatch() []*sequence {
	var unfinished []*sequence
	for _, s := range e.sequences {
		if !s.done() {
			unfinished = append(unfinished, s)
		}
	}
	slices.SortFunc(unfinished, func(a, b *sequence) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrival) - int(b.arrival)
	})
	e.recordReport(len(unfinished))
	return unfinished[:min(len(unfinished), e.cfg.MaxBatch)]
}

// recordReport records a load report for the given number of unfinished
// sequences. Of the reports older than ReportLag it keeps only the newest.
func (e *Engine) recordReport(unfinished int) {
	now := time.Now()
	e.reports = append(e.reports, engineReport{At: now, Running: min(unfinished, e.cfg.MaxBatch), Waiting: max(0, unfinished-e.cfg.MaxBatch)})
	for len(e.reports) > 1 && now.Sub(e.reports[1].At) > e.cfg.ReportLag {
		e.reports = e.reports[1:]
	}
}

// stepTime returns the time of one step of the batch and updates the counters.
func (e *Engine) stepTime(batch []*sequence) time.Duration {
	distinct := make(map[string]struct{})
	for _, s := range batch {
		distinct[s.model] = struct{}{}
	}
	e.steps++
	e.batchSum += len(batch)
	e.distinctSum += len(distinct)
	d := e.cfg.StepBase + time.Duration(len(batch))*e.cfg.StepPerSequence + time.Duration(len(distinct))*e.cfg.StepPerAdapter
	return time.Duration(float64(d) * e.slowFactor)
}

// advance adds one token to each unfinished sequence of the batch.
func (e *Engine) advance(batch []*sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range batch {
		if !s.done() {
			s.tokens++
		}
		s.notify()
	}
}

func (e *Engine) residentOrBase(model string) bool {
	return model == e.cfg.BaseModel || e.adapters[model] == "resident"
}

// inUse reports whether an unfinished sequence uses the model.
func (e *Engine) inUse(model string) bool {
	for _, s := range e.sequences {
		if s.model == model && !s.done() {
			return true
		}
	}
	return false
}

// checkFence reports whether an order with this fencing number is accepted, and
// records a higher number.
func (e *Engine) checkFence(fence uint64) bool {
	if e.cfg.KeepsFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// checkIncarnation reports whether an order or a run for this incarnation is
// accepted. 0 stands for any incarnation.
func (e *Engine) checkIncarnation(incarnation int64) bool {
	return !e.cfg.KeepsFence || incarnation == 0 || incarnation == e.incarnation
}

// checkOrder returns 200 if a load or unload order is accepted. Otherwise it
// returns the status and the text of the refusal.
func (e *Engine) checkOrder(fence uint64, incarnation int64) (int, string) {
	switch {
	case !e.checkIncarnation(incarnation):
		return http.StatusPreconditionFailed, "engine restarted"
	case !e.checkFence(fence):
		return http.StatusConflict, "old fencing number"
	}
	return http.StatusOK, ""
}

// load loads an adapter into a slot. The slot is occupied while the adapter
// loads. It returns the HTTP status and an error text.
func (e *Engine) load(r *http.Request, name, version string) (int, string) {
	model := ModelName(name, version)
	e.mu.Lock()
	if status, text := e.checkOrder(fenceParam(r), incarnationParam(r)); status != http.StatusOK {
		e.mu.Unlock()
		return status, text
	}
	if e.adapters[model] == "resident" {
		e.mu.Unlock()
		return http.StatusOK, ""
	}
	if len(e.adapters) >= e.cfg.Slots {
		e.mu.Unlock()
		return http.StatusInsufficientStorage, "no free adapter slot"
	}
	e.adapters[model] = "loading"
	incarnation := e.incarnation
	e.mu.Unlock()

	err := e.fetch(r, name, version)

	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation {
		return http.StatusServiceUnavailable, "engine restarted"
	}
	if err != nil {
		delete(e.adapters, model)
		return http.StatusServiceUnavailable, err.Error()
	}
	e.adapters[model] = "resident"
	return http.StatusOK, ""
}

// fetch reads the weights of an adapter from the weight store, if there is one.
func (e *Engine) fetch(r *http.Request, name, version string) error {
	if e.cfg.WeightStore == "" {
		return nil
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, e.cfg.WeightStore+"/v1/adapters/"+name+"/"+version, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store answered %d", resp.StatusCode)
	}
	return nil
}

// unload frees the slot of an adapter. It refuses while a sequence uses the
// adapter.
func (e *Engine) unload(r *http.Request, model string) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if status, text := e.checkOrder(fenceParam(r), incarnationParam(r)); status != http.StatusOK {
		return status, text
	}
	if e.inUse(model) {
		e.unloadsInUse++
		return http.StatusLocked, "adapter in use"
	}
	delete(e.adapters, model)
	return http.StatusOK, ""
}
