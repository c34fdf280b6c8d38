package load

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatelanding.example/agatelanding/internal/result"
)

// Options holds the settings of a run.
type Options struct {
	Workload Workload
	// Entries are the base URLs of the entries, used in rotation.
	Entries []string
	// Services are the base URLs of the plain services. The executions that
	// they count are compared with the answers.
	Services []string
	// ExpectedAdapters maps a model to adapter@version.
	ExpectedAdapters map[string]string
	// AllowedAnswers, if set, replaces ExpectedAdapters in runs during which the
	// tables change. It returns every adapter@version that may answer a request to
	// a model that started and ended at these times.
	AllowedAnswers func(model string, started, ended time.Time) []string
	// RepeatConcurrently sends a repeated call to all entries at the same time. If
	// it is false, a repetition follows the call and goes to the next entry.
	RepeatConcurrently bool
	// MaxRepetitions is the number of repetitions of a repeated call, RepeatDelay
	// the delay before each. 0 means one repetition and no delay. With a delay, a
	// repetition can reach a target process that has restarted meanwhile.
	MaxRepetitions int
	RepeatDelay    time.Duration
	// Closing Stop ends the arrivals early. Requests in flight finish.
	Stop <-chan struct{}
	// RequestTimeout is the time limit of one request.
	RequestTimeout time.Duration
}

// Report holds the results of a run.
type Report struct {
	Sent    int            `json:"sent"`
	Right   int            `json:"right"`
	Refused map[string]int `json:"refused"`
	Broken  int            `json:"broken"`
	Wrong   int            `json:"wrong"`
	// KeysExecutedTwice counts the idempotency keys that were executed more than
	// once, KeysNotExecuted those that were answered as done but not executed, and
	// KeysWronglyDenied those that were executed although every result reported
	// that they were not.
	KeysExecutedTwice int `json:"doubled_keys"`
	KeysNotExecuted   int `json:"lost_keys"`
	KeysWronglyDenied int `json:"denied_keys"`
	// Details describes the first broken and wrong answers.
	Details []string `json:"details,omitempty"`

	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	keys       map[string]*keyState
	mu         sync.Mutex
}

// keyState counts the results of an idempotency key: calls that were done, calls
// that were reported as not executed, and calls of which neither is known.
type keyState struct{ done, notExecuted, unknown int }

const (
	// maxLatencyMS is the largest latency that the histograms can record.
	maxLatencyMS = 10 * 60 * 1000
	// maxDetails is the largest number of entries in Report.Details.
	maxDetails = 10
)

func newReport() *Report {
	return &Report{
		Refused: make(map[string]int), keys: make(map[string]*keyState),
		firstToken: hdrhistogram.New(1, maxLatencyMS, 3), total: hdrhistogram.New(1, maxLatencyMS, 3),
	}
}

// OK reports whether there were right answers, none was wrong or broken, and the
// executions of every idempotency key agree with the results of its calls.
func (r *Report) OK() bool {
	return r.Right > 0 && r.Wrong == 0 && r.Broken == 0 && r.KeysExecutedTwice == 0 && r.KeysNotExecuted == 0 && r.KeysWronglyDenied == 0
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch res.Outcome {
	case Right:
		r.Right++
		_ = r.firstToken.RecordValue(max(1, res.FirstToken.Milliseconds()))
		_ = r.total.RecordValue(max(1, res.Total.Milliseconds()))
	case Refused:
		r.Refused[res.Code]++
	case Broken:
		r.Broken++
	case Wrong:
		r.Wrong++
	}
	if (res.Outcome == Broken || res.Outcome == Wrong) && len(r.Details) < maxDetails {
		r.Details = append(r.Details, res.Detail)
	}
}

// addKeyResult adds the result of a call with an idempotency key.
func (r *Report) addKeyResult(key string, res Result) {
	r.add(res)
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.keys[key]
	if !ok {
		k = &keyState{}
		r.keys[key] = k
	}
	switch {
	case res.Outcome == Right:
		k.done++
	case res.Outcome == Refused && isNotExecuted(res.Code):
		k.notExecuted++
	default:
		k.unknown++
	}
}

// UnknownKeys returns the number of keys without a right answer and with at least
// one result that leaves open whether the call was executed.
func (r *Report) UnknownKeys() int {
	n := 0
	for _, k := range r.keys {
		if k.done == 0 && k.unknown > 0 {
			n++
		}
	}
	return n
}

// isNotExecuted reports whether a result code means that the call was not executed.
func isNotExecuted(code string) bool {
	var n uint16
	_, _ = fmt.Sscan(code, &n)
	return result.Code(n).Info().Execution == result.NotRun
}

// Run sends the workload and returns the report when every request has ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	report := newReport()
	clients := make([]*client, len(o.Entries))
	transport := &http.Transport{MaxIdleConnsPerHost: 512}
	for i, base := range o.Entries {
		clients[i] = &client{base: base, http: &http.Client{Transport: transport, Timeout: o.RequestTimeout}, expected: o.ExpectedAdapters, allowed: o.AllowedAnswers}
	}
	started := time.Now()
	var wg sync.WaitGroup
	for i, a := range o.Workload.Arrivals() {
		select {
		case <-time.After(time.Until(started.Add(a.At))):
		case <-o.Stop:
			wg.Wait()
			return report, report.checkExecutions(o.Services)
		case <-ctx.Done():
			wg.Wait()
			return report, ctx.Err()
		}
		report.Sent++
		wg.Add(1)
		go func() {
			defer wg.Done()
			send(ctx, o, report, clients, i, a)
		}()
	}
	wg.Wait()
	return report, report.checkExecutions(o.Services)
}

// send sends an arrival and, if it is a repeated call, its repetitions.
func send(ctx context.Context, o Options, report *Report, clients []*client, i int, a Arrival) {
	c := clients[i%len(clients)]
	if !a.Call {
		report.add(c.complete(ctx, a, fmt.Sprintf("request %d of seed %d", i, o.Workload.Seed)))
		return
	}
	key := newKey()
	body := fmt.Appendf(nil, "gate %d key %s", i, key)
	if a.Repeat && o.RepeatConcurrently {
		var wg sync.WaitGroup
		for _, other := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				report.addKeyResult(key, other.call(ctx, o.Workload.CallPath, key, body))
			}()
		}
		wg.Wait()
		return
	}
	report.addKeyResult(key, c.call(ctx, o.Workload.CallPath, key, body))
	for n := 1; a.Repeat && n <= max(1, o.MaxRepetitions); n++ {
		time.Sleep(o.RepeatDelay)
		other := clients[(i+n)%len(clients)]
		report.addKeyResult(key, other.call(ctx, o.Workload.CallPath, key, body))
	}
}

// newKey returns a UUIDv7, which carries its creation time.
func newKey() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(b[:6], ms[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}

// checkExecutions compares the executions that the services counted with the
// results of the calls.
func (r *Report) checkExecutions(services []string) error {
	if len(services) == 0 {
		return nil
	}
	executions := make(map[string]int)
	for _, base := range services {
		if err := addExecutions(base, executions); err != nil {
			return err
		}
	}
	for key, k := range r.keys {
		n := executions[key]
		switch {
		case n > 1:
			r.KeysExecutedTwice++
		case n == 0 && k.done > 0:
			r.KeysNotExecuted++
		case n == 1 && k.done == 0 && k.unknown == 0:
			r.KeysWronglyDenied++
		}
	}
	return nil
}

// addExecutions adds the execution counts of a plain service by idempotency key. It
// returns PlatformUnreached if the service gives no readable answer.
func addExecutions(base string, into map[string]int) error {
	resp, err := http.Get(base + "/effects")
	if err != nil {
		return result.Wrap(result.PlatformUnreached, err)
	}
	defer resp.Body.Close()
	var executions map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&executions); err != nil {
		return result.Wrap(result.PlatformUnreached, err)
	}
	for k, n := range executions {
		into[k] += n
	}
	return nil
}
