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

// The toy engine keeps the target of 38 ms between tokens exactly with 16
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

// load describes a trace: Poisson arrivals with rate(t) per second.
type load struct {
	seed      int64
	length    time.Duration
	rate      func(at time.Duration) float64
	longShare float64
	budget    time.Duration
	adapters  int
	// hot is the share of requests that all go to adapter 0.
	hot float64
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// trace draws the arrivals. Each request draws the same numbers whether it is
// long or not, so that the short work of two traces is the same.
func (l load) trace() []arrival {
	rng := rand.New(rand.NewSource(l.seed))
	zipf := rand.NewZipf(rng, 1.1, 1, uint64(l.adapters-1))
	var list []arrival
	for at := time.Duration(0); at < l.length; {
		at += time.Duration(rng.ExpFloat64() / l.rate(at) * float64(time.Second))
		a := arrival{at: at, adapter: int(zipf.Uint64()), tokens: 20 + rng.Intn(41), budget: l.budget}
		if rng.Float64() < l.hot {
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

// outcome is what one run of a trace measured.
type outcome struct {
	answered, late, refused, expired int
	first, whole                     []time.Duration
	tokens                           int
	busy                             time.Duration
	steps, batch, distinct           int
	byAdapter                        map[int]int
	lastLimit                        int
	// ended counts finished requests, slow those of them above 38 ms a token.
	ended, slow int
	offeredBy   map[int]int
}

func (o *outcome) tokensPerSecond() float64 { return float64(o.tokens) / o.busy.Seconds() }
func (o *outcome) distinctPerStep() float64 { return float64(o.distinct) / float64(o.steps) }

func (o *outcome) String() string {
	return fmt.Sprintf("answered %d, late %d, refused %d, expired %d; %.0f tokens/s, batch %.1f, adapters %.2f; "+
		"short p99 first token %v, whole %v; limit %d; %d of %d above 38 ms/token", o.answered, o.late, o.refused, o.expired, o.tokensPerSecond(),
		float64(o.batch)/float64(o.steps), o.distinctPerStep(), quantile(o.first, 0.99), quantile(o.whole, 0.99), o.lastLimit, o.slow, o.ended)
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

type stream struct {
	arrival
	id      wire.AttemptID
	left    int
	started time.Duration
}

// engine runs a trace through a queue under virtual time. Requests join and
// leave the batch between steps; each step gives every request one token.
type engine struct {
	queue   *admission.Queue
	trace   []arrival
	next    int
	batch   []*stream
	outcome outcome
}

// runTrace returns what the requests that arrive between from and to, and the
// engine in that time, did.
func runTrace(cfg admission.Config, trace []arrival, from, to time.Duration) *outcome {
	e := &engine{queue: admission.New(cfg, rand.New(rand.NewSource(1))), trace: trace}
	e.outcome.byAdapter, e.outcome.offeredBy = make(map[int]int), make(map[int]int)
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
	e.outcome.lastLimit = e.queue.Limit()
	return &e.outcome
}

func (e *engine) admit(at, from, to time.Duration) {
	now := epoch.Add(at)
	for ; e.next < len(e.trace) && e.trace[e.next].at <= at; e.next++ {
		a := e.trace[e.next]
		d := e.queue.Offer(epoch.Add(a.at), admission.Item{
			ID: id(e.next), Adapter: adapter(a.adapter), Class: fmt.Sprint(a.long), Long: a.long,
			Deadline: epoch.Add(a.at + a.budget), Tokens: a.tokens,
		}, 0)
		if a.at < from || a.at >= to {
			continue
		}
		e.outcome.offeredBy[a.adapter]++
		if d.Refusal != admission.Admitted {
			e.outcome.refused++
		}
	}
	for _, item := range e.queue.Expired(now) {
		if a := e.trace[item.ID.Request.Number]; a.at >= from && a.at < to {
			e.outcome.expired++
		}
	}
	for {
		item, ok := e.queue.Next(now, always)
		if !ok {
			return
		}
		a := e.trace[item.ID.Request.Number]
		e.batch = append(e.batch, &stream{arrival: a, id: item.ID, left: a.tokens, started: at})
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
	e.outcome.tokens += len(e.batch)
	e.outcome.busy += step
	e.outcome.steps++
	e.outcome.batch += len(e.batch)
	e.outcome.distinct += e.adapters()
}

// advance gives every request of the batch a token at the end of a step.
func (e *engine) advance(at, from, to time.Duration) {
	e.batch = slices.DeleteFunc(e.batch, func(s *stream) bool {
		counts := s.at >= from && s.at < to
		if s.left--; counts && s.left == s.tokens-1 {
			e.firstToken(at, s)
		}
		if s.left == s.tokens-1 {
			e.queue.FirstToken(epoch.Add(at), s.id)
		}
		if s.left > 0 {
			return false
		}
		e.queue.Finished(epoch.Add(at), s.id, admission.Outcome{Tokens: s.tokens})
		if counts {
			e.outcome.ended++
		}
		if counts && at-s.started > time.Duration(s.tokens)*38*time.Millisecond {
			e.outcome.slow++
		}
		if counts && !s.long {
			e.outcome.whole = append(e.outcome.whole, at-s.at)
		}
		return true
	})
}

func (e *engine) firstToken(at time.Duration, s *stream) {
	if at-s.at > s.budget {
		e.outcome.late++
		return
	}
	e.outcome.answered++
	e.outcome.byAdapter[s.adapter]++
	if !s.long {
		e.outcome.first = append(e.outcome.first, at-s.at)
	}
}
