package admission_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

func id(n int) wire.AttemptID { return wire.AttemptID{Request: wire.RequestID{Number: uint64(n)}} }

func adapter(n int) slots.Key { return slots.Key{Adapter: fmt.Sprintf("a%03d", n), Version: "1"} }

func always(*admission.Item) bool { return true }

// The simulated engine needs exactly 38 ms per step, and so per token, with 16
// running requests of 8 adapters.
const (
	stepBase       = 10 * time.Millisecond
	stepPerRequest = 500 * time.Microsecond
	stepPerAdapter = 2500 * time.Microsecond
	engineRunning  = 16
	engineSlots    = 8
)

// arrival is one request of a trace.
type arrival struct {
	at      time.Duration
	adapter int
	long    bool
	tokens  int
	budget  time.Duration
}

// load describes a trace: Poisson arrivals at rate(at) per second.
type load struct {
	seed      int64
	length    time.Duration
	rate      func(at time.Duration) float64
	longShare float64
	budget    time.Duration
	adapters  int
	// hotShare is the share of requests that are sent to adapter 0, in addition
	// to those that the Zipf distribution assigns to it.
	hotShare float64
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// trace draws the arrivals. Each arrival takes the same number of random draws
// whatever longShare is, so that traces that differ only in longShare have the
// same short requests.
func (l load) trace() []arrival {
	rng := rand.New(rand.NewSource(l.seed))
	zipf := rand.NewZipf(rng, 1.1, 1, uint64(l.adapters-1))
	var list []arrival
	for at := time.Duration(0); at < l.length; {
		at += time.Duration(rng.ExpFloat64() / l.rate(at) * float64(time.Second))
		a := arrival{at: at, adapter: int(zipf.Uint64()), tokens: 20 + rng.Intn(41), budget: l.budget}
		if rng.Float64() < l.hotShare {
			a.adapter = 0
		}
		if rng.Float64() < l.longShare {
			l := a
			l.long, l.tokens, l.budget = true, 10*a.tokens, 20*a.budget
			list = append(list, l)
		}
		list = append(list, a)
	}
	return list
}

// traceResult holds the measurements of one run of a trace. answered and late
// count first tokens by the deadline and after it; batchItems and distinct are
// the sums over all steps of the requests and the distinct adapters in the batch.
type traceResult struct {
	answered, late, refused, expired int
	firstToken, total                []time.Duration
	tokens                           int
	busyTime                         time.Duration
	steps, batchItems, distinct      int
	answeredByAdapter                map[int]int
	lastLimit                        int
	// ended counts finished requests, slow those above 38 ms per token.
	ended, slow      int
	offeredByAdapter map[int]int
}

func (o *traceResult) tokensPerSecond() float64 { return float64(o.tokens) / o.busyTime.Seconds() }
func (o *traceResult) distinctPerStep() float64 { return float64(o.distinct) / float64(o.steps) }

func (o *traceResult) String() string {
	return fmt.Sprintf("answered %d, late %d, refused %d, expired %d; %.0f tokens/s, batch %.1f, adapters %.2f; "+
		"short p99 first token %v, whole %v; limit %d; %d of %d above 38 ms/token", o.answered, o.late, o.refused, o.expired, o.tokensPerSecond(),
		float64(o.batchItems)/float64(o.steps), o.distinctPerStep(), quantile(o.firstToken, 0.99), quantile(o.total, 0.99), o.lastLimit, o.slow, o.ended)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// activeRequest is a request in the running batch.
type activeRequest struct {
	arrival
	id              wire.AttemptID
	remainingTokens int
	started         time.Duration
}

// engine simulates a model engine with continuous batching that runs a trace
// through a queue in simulated time. Requests join and leave the batch between
// steps; each step generates one token for every request.
type engine struct {
	queue  *admission.Queue
	trace  []arrival
	next   int
	batch  []*activeRequest
	result traceResult
}

// runTrace returns the measurements of the requests that arrive between from
// and to, and of the engine in that time.
func runTrace(cfg admission.Config, trace []arrival, from, to time.Duration) *traceResult {
	e := &engine{queue: admission.New(cfg, rand.New(rand.NewSource(1))), trace: trace}
	e.result.answeredByAdapter, e.result.offeredByAdapter = make(map[int]int), make(map[int]int)
	for at := time.Duration(0); ; {
		e.admit(at, from, to)
		if len(e.batch) == 0 {
			if e.next == len(trace) {
				break
			}
			at = trace[e.next].at
			continue
		}
		step := e.step()
		at += step
		if at >= from && at < to {
			e.measure(step)
		}
		e.advance(at, from, to)
	}
	e.result.lastLimit = e.queue.Limit()
	return &e.result
}

func (e *engine) admit(at, from, to time.Duration) {
	now := epoch.Add(at)
	for ; e.next < len(e.trace) && e.trace[e.next].at <= at; e.next++ {
		a := e.trace[e.next]
		d := e.queue.Admit(epoch.Add(a.at), admission.Item{
			ID: id(e.next), Adapter: adapter(a.adapter), Class: fmt.Sprint(a.long), Long: a.long,
			FirstTokenDeadline: epoch.Add(a.at + a.budget), EstimatedTokens: a.tokens,
		}, 0)
		if a.at < from || a.at >= to {
			continue
		}
		e.result.offeredByAdapter[a.adapter]++
		if d.Result != admission.Admitted {
			e.result.refused++
		}
	}
	for _, item := range e.queue.RemoveExpired(now) {
		if a := e.trace[item.ID.Request.Number]; a.at >= from && a.at < to {
			e.result.expired++
		}
	}
	for {
		item, ok := e.queue.Next(now, always)
		if !ok {
			return
		}
		a := e.trace[item.ID.Request.Number]
		e.batch = append(e.batch, &activeRequest{arrival: a, id: item.ID, remainingTokens: a.tokens, started: at})
	}
}

func (e *engine) adapters() int {
	seen := make(map[int]bool)
	for _, s := range e.batch {
		seen[s.adapter] = true
	}
	return len(seen)
}

func (e *engine) step() time.Duration {
	return stepBase + time.Duration(len(e.batch))*stepPerRequest + time.Duration(e.adapters())*stepPerAdapter
}

func (e *engine) measure(step time.Duration) {
	e.result.tokens += len(e.batch)
	e.result.busyTime += step
	e.result.steps++
	e.result.batchItems += len(e.batch)
	e.result.distinct += e.adapters()
}

// advance adds a token to every request of the batch at the end of a step and
// finishes the complete ones.
func (e *engine) advance(at, from, to time.Duration) {
	e.batch = slices.DeleteFunc(e.batch, func(s *activeRequest) bool {
		counted := s.at >= from && s.at < to
		if s.remainingTokens--; counted && s.remainingTokens == s.tokens-1 {
			e.firstToken(at, s)
		}
		if s.remainingTokens == s.tokens-1 {
			e.queue.FirstToken(epoch.Add(at), s.id)
		}
		if s.remainingTokens > 0 {
			return false
		}
		e.queue.Finished(epoch.Add(at), s.id, admission.Outcome{Tokens: s.tokens})
		if counted {
			e.result.ended++
		}
		if counted && at-s.started > time.Duration(s.tokens)*38*time.Millisecond {
			e.result.slow++
		}
		if counted && !s.long {
			e.result.total = append(e.result.total, at-s.at)
		}
		return true
	})
}

func (e *engine) firstToken(at time.Duration, s *activeRequest) {
	if at-s.at > s.budget {
		e.result.late++
		return
	}
	e.result.answered++
	e.result.answeredByAdapter[s.adapter]++
	if !s.long {
		e.result.firstToken = append(e.result.firstToken, at-s.at)
	}
}
