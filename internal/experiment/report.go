package experiment

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatelanding.example/agatelanding/internal/result"
)

// Record holds the attempts, times and result of one request.
type Record struct {
	Request
	arrived  time.Time
	attempts []attempt
	// adapterWaitTime is the total time during which the latest attempt at
	// that time waited for its adapter to be loaded.
	adapterWaitTime time.Duration
	firstToken      time.Duration
	total           time.Duration
	answer          []byte
	code            result.Code
	done            bool
}

// attempt is a reservation at a target and, if it got that far, the start of its
// execution.
type attempt struct {
	target  string
	at      time.Time
	started time.Time
}

// classBudgets returns the time budgets of the request's class: to the first
// token and to the end of the answer.
func (r *Record) classBudgets() (first, total time.Duration) {
	if r.Long {
		return longClass.FirstTokenBudget(), longClass.TotalBudget()
	}
	return shortClass.FirstTokenBudget(), shortClass.TotalBudget()
}

// answered reports whether the whole answer arrived within the time budgets of
// the class.
func (r *Record) answered() bool {
	first, total := r.classBudgets()
	return r.code == result.OK && r.firstToken <= first && r.total <= total
}

// Report is the result of a run, over the requests that arrived in the
// measured window.
type Report struct {
	Policy   string
	Requests int
	// Answered counts the requests whose whole answer arrived within both time
	// budgets of their class, Completed those whose whole answer arrived at any
	// time.
	Answered  int
	Completed int
	// Loads counts the adapter loads that started in the window, DuplicateLoads
	// those of adapters that another target held or was loading.
	Loads          int
	DuplicateLoads int
	LoadsPerSecond float64
	// MaxInFlight is the largest number of concurrent loads in the whole run.
	MaxInFlight         int
	StoreLimitsExceeded bool
	// StallShare is the share of request time spent waiting for an adapter to
	// be loaded.
	StallShare float64
	// BusiestRatio is the number of executions at the busiest target divided
	// by the mean of all targets.
	BusiestRatio float64
	// EjectedSlow and EjectedOther are the shares of time during which entries
	// treat slow and other targets as stragglers.
	EjectedSlow  float64
	EjectedOther float64
	// MeanBatch and MeanDistinctAdapters are means over the engine steps in
	// the window.
	MeanBatch            float64
	MeanDistinctAdapters float64
	TokensPerSecond      float64
	// Goodput is the number of requests in Answered per second.
	Goodput float64
	// Short holds the quantiles of the time from the arrival of a short request
	// to the end of its answer. A request without a whole answer counts with the
	// total budget of its class.
	Short Quantiles
	// ShortFirstToken holds the quantiles of the time to the first token. A
	// request without a whole answer counts in the same way.
	ShortFirstToken Quantiles
	// ShortP99 is the p99 of Short in seconds, or +Inf if more than 1% of the
	// short requests have no answer.
	ShortP99 float64
	Counters map[string]int
	// Violations describes wrong answers, requests that ended twice or never,
	// and orders that would fail on a real engine.
	Violations []string

	records []Record
	window  time.Duration
	from    time.Duration
	starts  []time.Duration
}

// Quantiles holds the quantiles of a latency.
type Quantiles struct {
	P50, P90, P95, P99, Max time.Duration
}

// maxDrainTime is how long a run continues after the measured window to let
// requests end.
const maxDrainTime = 200 * time.Second

// Run replays a trace with a policy and returns its report.
func Run(cfg Config, policy Policy, trace []Request) (*Report, error) {
	f, err := newFleet(cfg, policy)
	if err != nil {
		return nil, err
	}
	f.scheduleArrivals(trace)
	start := epoch.Add(startupTime)
	f.loop.runUntil(start.Add(cfg.From))
	before := f.engineStats()
	f.loop.runUntil(start.Add(cfg.To))
	after := f.engineStats()
	for end := f.loop.now.Add(maxDrainTime); f.unfinished > 0 && f.loop.now.Before(end); {
		f.loop.runUntil(f.loop.now.Add(time.Second))
	}
	if f.unfinished > 0 {
		f.violation("%d requests never ended", f.unfinished)
	}
	return f.report(policy, before, after), nil
}

func (f *fleet) engineStats() engineStats {
	var sum engineStats
	for _, t := range f.targets {
		sum.steps += t.engine.stats.steps
		sum.batchSum += t.engine.stats.batchSum
		sum.distinctSum += t.engine.stats.distinctSum
		sum.tokens += t.engine.stats.tokens
		sum.violations = append(sum.violations, t.engine.stats.violations...)
	}
	return sum
}

func (f *fleet) report(policy Policy, before, after engineStats) *Report {
	start := epoch.Add(startupTime)
	window := f.cfg.To - f.cfg.From
	r := &Report{
		Policy: policy.Name, Loads: f.store.loads(start.Add(f.cfg.From), start.Add(f.cfg.To)),
		DuplicateLoads: f.duplicateLoads,
		MaxInFlight:    f.store.maxInFlight, StoreLimitsExceeded: f.store.exceeded(), Counters: f.counters,
		Violations: append(f.violations, f.engineStats().violations...), records: f.records, window: window, from: f.cfg.From,
	}
	steps := float64(max(after.steps-before.steps, 1))
	r.MeanBatch = float64(after.batchSum-before.batchSum) / steps
	r.MeanDistinctAdapters = float64(after.distinctSum-before.distinctSum) / steps
	r.TokensPerSecond = float64(after.tokens-before.tokens) / window.Seconds()
	r.LoadsPerSecond = float64(r.Loads) / window.Seconds()
	r.BusiestRatio = f.busiestRatio()
	r.EjectedSlow = float64(f.ejected[0]) / float64(max(f.sampled[0], 1))
	r.EjectedOther = float64(f.ejected[1]) / float64(max(f.sampled[1], 1))
	for _, t := range f.store.starts {
		r.starts = append(r.starts, t.Sub(start))
	}
	r.summarize()
	return r
}

// busiestRatio returns Report.BusiestRatio.
func (f *fleet) busiestRatio() float64 {
	sum, most := 0, 0
	for _, t := range f.targets {
		sum += t.executed
		most = max(most, t.executed)
	}
	return float64(most) * float64(len(f.targets)) / float64(max(sum, 1))
}

// summarize fills the figures that come from the records.
func (r *Report) summarize() {
	short, first := newHistogram(), newHistogram()
	var adapterWaitTime, total time.Duration
	shorts, unanswered := 0, 0
	for i := range r.records {
		rec := &r.records[i]
		if rec.At < r.from || rec.At >= r.from+r.window {
			continue
		}
		r.Requests++
		adapterWaitTime += rec.adapterWaitTime
		total += rec.total
		if rec.code == result.OK {
			r.Completed++
		}
		if rec.answered() {
			r.Answered++
		}
		if rec.Long {
			continue
		}
		shorts++
		firstToken, whole := rec.firstToken, rec.total
		if rec.code != result.OK {
			unanswered++
			firstToken, whole = shortClass.TotalBudget(), shortClass.TotalBudget()
		}
		_ = short.RecordValue(whole.Microseconds())
		_ = first.RecordValue(firstToken.Microseconds())
	}
	r.StallShare = float64(adapterWaitTime) / float64(max(total, 1))
	r.Goodput = float64(r.Answered) / r.window.Seconds()
	r.Short, r.ShortFirstToken = quantiles(short), quantiles(first)
	r.ShortP99 = r.Short.P99.Seconds()
	if unanswered*100 > shorts {
		r.ShortP99 = math.Inf(1)
	}
}

// newHistogram returns a histogram of microseconds up to 10 minutes with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P90: at(90), P95: at(95), P99: at(99), Max: at(100)}
}

// AnsweredShare returns the share of requests answered within the budgets of
// their class.
func (r *Report) AnsweredShare() float64 { return float64(r.Answered) / float64(max(r.Requests, 1)) }

// LoadsPerRequest returns the adapter loads per completed request. Only completed
// requests count, so that refusing requests does not improve the figure.
func (r *Report) LoadsPerRequest() float64 { return float64(r.Loads) / float64(max(r.Completed, 1)) }

// LoadsPerRequestIn returns the loads per completed request in [from, to), on the
// time scale of the trace.
func (r *Report) LoadsPerRequestIn(from, to time.Duration) float64 {
	loads, completed := 0, 0
	for _, t := range r.starts {
		if t >= from && t < to {
			loads++
		}
	}
	for i := range r.records {
		if rec := &r.records[i]; rec.At >= from && rec.At < to && rec.code == result.OK {
			completed++
		}
	}
	return float64(loads) / float64(max(completed, 1))
}

// WriteSlowest writes the timelines of the n slowest short requests.
func (r *Report) WriteSlowest(w io.Writer, n int) error {
	var list []*Record
	for i := range r.records {
		rec := &r.records[i]
		if !rec.Long && rec.At >= r.from && rec.At < r.from+r.window {
			list = append(list, rec)
		}
	}
	slices.SortStableFunc(list, func(a, b *Record) int { return cmp.Compare(b.latency(), a.latency()) })
	for _, rec := range list[:min(n, len(list))] {
		if _, err := fmt.Fprintln(w, rec); err != nil {
			return err
		}
	}
	return nil
}

// latency returns the time to the whole answer, or the total budget of a short
// request if there is none.
func (r *Record) latency() time.Duration {
	if r.code != result.OK {
		return shortClass.TotalBudget()
	}
	return r.total
}

// Digest returns a hash of the summary and of all records.
func (r *Report) Digest() string {
	h := sha256.New()
	fmt.Fprintln(h, r.Summary())
	for i := range r.records {
		fmt.Fprintln(h, &r.records[i])
	}
	return hex.EncodeToString(h.Sum(nil))
}

// String returns the timeline of the request.
func (r *Record) String() string {
	s := fmt.Sprintf("%9.3fs %s out=%d code=%d first=%s total=%s stall=%s", r.At.Seconds(),
		adapterName(r.Adapter), r.Output, r.code, ms(r.firstToken), ms(r.total), ms(r.adapterWaitTime))
	for _, a := range r.attempts {
		s += fmt.Sprintf(" [%s at +%s", a.target, ms(a.at.Sub(r.arrived)))
		if !a.started.IsZero() {
			s += " started +" + ms(a.started.Sub(r.arrived))
		}
		s += "]"
	}
	return s
}

func ms(d time.Duration) string { return fmt.Sprintf("%.1fms", d.Seconds()*1000) }

// Summary returns the figures and counters of the run on one line.
func (r *Report) Summary() string {
	s := fmt.Sprintf("requests=%d answered=%.3f completed=%.3f loads/s=%.2f loads/answer=%.3f duplicates=%d stall=%.3f busiest=%.2f "+
		"batch=%.2f distinct=%.2f tokens/s=%.0f in-flight=%d ejected slow=%.2f other=%.2f first p50=%s p99=%s whole p50=%s p99=%s",
		r.Requests, r.AnsweredShare(), float64(r.Completed)/float64(max(r.Requests, 1)), r.LoadsPerSecond,
		r.LoadsPerRequest(), r.DuplicateLoads, r.StallShare, r.BusiestRatio, r.MeanBatch, r.MeanDistinctAdapters, r.TokensPerSecond, r.MaxInFlight, r.EjectedSlow, r.EjectedOther,
		ms(r.ShortFirstToken.P50), ms(r.ShortFirstToken.P99), ms(r.Short.P50), ms(r.Short.P99))
	names := slices.Sorted(maps.Keys(r.Counters))
	for _, name := range names {
		s += fmt.Sprintf(" %q=%d", name, r.Counters[name])
	}
	return s
}
