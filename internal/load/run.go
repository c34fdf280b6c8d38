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

// Options sets where a run sends its requests.
type Options struct {
	Workload Workload
	// Entries are the base URLs of the entries, used in turn.
	Entries []string
	// Services are the base URLs of the plain services, whose executions are
	// compared with the answers.
	Services []string
	// Expected maps a model to adapter@version.
	Expected map[string]string
	// Allowed, where set, returns the adapter@version that a request may be
	// answered with, for runs during which the tables change. It replaces
	// Expected.
	Allowed func(model string, started, ended time.Time) []string
	// Together sends the repetitions of a call to every entry at the same
	// time as the call, instead of to another entry after it.
	Together bool
	// Repeats is how often a call that is repeated is sent again, RepeatEvery
	// the time before each; 0 means once and at once. Callers that wait see
	// a target process that has restarted since.
	Repeats     int
	RepeatEvery time.Duration
	// Stop ends the arrivals early when it is closed; open requests finish.
	Stop <-chan struct{}
	// Timeout bounds one request.
	Timeout time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Sent    int            `json:"sent"`
	Right   int            `json:"right"`
	Refused map[string]int `json:"refused"`
	Broken  int            `json:"broken"`
	Wrong   int            `json:"wrong"`
	// DoubledKeys were executed more than once, LostKeys were answered as
	// done and not executed, DeniedKeys were executed although the caller
	// was told that they were not.
	DoubledKeys int `json:"doubled_keys"`
	LostKeys    int `json:"lost_keys"`
	DeniedKeys  int `json:"denied_keys"`
	// Details holds the first failures.
	Details []string `json:"details,omitempty"`

	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	keys       map[string]*keyState
	mu         sync.Mutex
}

type keyState struct{ done, notRun, unknown int }

const (
	maxMillis  = 10 * 60 * 1000
	maxDetails = 10
)

func newReport() *Report {
	return &Report{
		Refused: make(map[string]int), keys: make(map[string]*keyState),
		firstToken: hdrhistogram.New(1, maxMillis, 3), total: hdrhistogram.New(1, maxMillis, 3),
	}
}

// OK reports whether every answer was right, whole and once.
func (r *Report) OK() bool {
	return r.Right > 0 && r.Wrong == 0 && r.Broken == 0 && r.DoubledKeys == 0 && r.LostKeys == 0 && r.DeniedKeys == 0
}

func (r *Report) add(res Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch res.Verdict {
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
	if (res.Verdict == Broken || res.Verdict == Wrong) && len(r.Details) < maxDetails {
		r.Details = append(r.Details, res.Detail)
	}
}

func (r *Report) addKey(key string, res Result) {
	r.add(res)
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.keys[key]
	if !ok {
		k = &keyState{}
		r.keys[key] = k
	}
	switch {
	case res.Verdict == Right:
		k.done++
	case res.Verdict == Refused && isNotRun(res.Code):
		k.notRun++
	default:
		k.unknown++
	}
}

// UnknownKeys returns the number of keys of which no caller learned whether
// the call ran.
func (r *Report) UnknownKeys() int {
	n := 0
	for _, k := range r.keys {
		if k.done == 0 && k.unknown > 0 {
			n++
		}
	}
	return n
}

func isNotRun(code string) bool {
	var n uint16
	_, _ = fmt.Sscan(code, &n)
	return result.Code(n).Info().Execution == result.NotRun
}

// Run sends the workload and returns when every request has ended.
func Run(ctx context.Context, o Options) (*Report, error) {
	report := newReport()
	clients := make([]*client, len(o.Entries))
	transport := &http.Transport{MaxIdleConnsPerHost: 512}
	for i, base := range o.Entries {
		clients[i] = &client{base: base, http: &http.Client{Transport: transport, Timeout: o.Timeout}, expected: o.Expected, allowed: o.Allowed}
	}
	started := time.Now()
	var wg sync.WaitGroup
	for i, a := range o.Workload.Arrivals() {
		select {
		case <-time.After(time.Until(started.Add(a.At))):
		case <-o.Stop:
			wg.Wait()
			return report, report.checkEffects(o.Services)
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
	return report, report.checkEffects(o.Services)
}

func send(ctx context.Context, o Options, report *Report, clients []*client, i int, a Arrival) {
	c := clients[i%len(clients)]
	if !a.Call {
		report.add(c.complete(ctx, a, fmt.Sprintf("request %d of seed %d", i, o.Workload.Seed)))
		return
	}
	key := newKey()
	body := fmt.Appendf(nil, "gate %d key %s", i, key)
	if a.Repeat && o.Together {
		var wg sync.WaitGroup
		for _, other := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				report.addKey(key, other.call(ctx, o.Workload.CallPath, key, body))
			}()
		}
		wg.Wait()
		return
	}
	report.addKey(key, c.call(ctx, o.Workload.CallPath, key, body))
	for n := 1; a.Repeat && n <= max(1, o.Repeats); n++ {
		time.Sleep(o.RepeatEvery)
		other := clients[(i+n)%len(clients)]
		report.addKey(key, other.call(ctx, o.Workload.CallPath, key, body))
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

// checkEffects compares the executions that the services counted with what
// callers were told.
func (r *Report) checkEffects(services []string) error {
	if len(services) == 0 {
		return nil
	}
	effects := make(map[string]int)
	for _, base := range services {
		if err := readEffects(base, effects); err != nil {
			return err
		}
	}
	for key, k := range r.keys {
		n := effects[key]
		switch {
		case n > 1:
			r.DoubledKeys++
		case n == 0 && k.done > 0:
			r.LostKeys++
		case n == 1 && k.done == 0 && k.unknown == 0:
			r.DeniedKeys++
		}
	}
	return nil
}

func readEffects(base string, into map[string]int) error {
	resp, err := http.Get(base + "/effects")
	if err != nil {
		return result.Wrap(result.PlatformUnreached, err)
	}
	defer resp.Body.Close()
	var effects map[string]int
	if err := json.NewDecoder(resp.Body).Decode(&effects); err != nil {
		return result.Wrap(result.PlatformUnreached, err)
	}
	for k, n := range effects {
		into[k] += n
	}
	return nil
}
