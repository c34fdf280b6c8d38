package edge_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// contact is the time after which entries in touch must know of what has happened.
	contact = 3 * time.Second
	// Parts of prompts: sharedPart is the first of all requests, crashingPart one under
	// which engines crash.
	sharedPart   = "f0"
	crashingPart = "bad0"
	callerCount  = 5
	// quarantineCode is in the body of a refusal for a quarantined part.
	quarantineCode = "2019 prompt_quarantined"
)

// crashFleet is a fleet whose engines can crash and come back.
type crashFleet struct {
	*fleet
	servers []*standin.Server
}

// newCrashFleet starts two entries before engines that crash on crashingPart and come
// back after a time as new incarnations under new IDs.
func newCrashFleet(engines int, prefill time.Duration) *crashFleet {
	f := &crashFleet{fleet: newFleet(0, 1)}
	for i := range engines {
		r := standin.NewReplica(fmt.Sprintf("e-%d", i), "m", 2)
		r.PrefillTime, r.EventTime = prefill, 10*time.Millisecond
		s, err := standin.Serve(f.engineIP(i)+":0", r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		register := func() { f.store.Register(r, "llm", s.Address, "z1", "ready") }
		newID := func() string {
			f.store.Deregister(r.ID)
			return fmt.Sprintf("e-%d-%d", i, len(r.Runs()))
		}
		register()
		s.RestartAfter(700*time.Millisecond, newID, register)
		s.CrashOn(crashingPart)
		f.engines, f.servers = append(f.engines, r), append(f.servers, s)
		f.targetProcesses = append(f.targetProcesses, f.startTargetProcess(i, s.Address))
	}
	f.start()
	f.start()
	return f
}

// crashes returns the times of the crashes of all engines in order.
func (f *crashFleet) crashes() []time.Time {
	var times []time.Time
	for _, s := range f.servers {
		times = append(times, s.Crashes()...)
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// prompted is the response to a request with parts of a prompt.
type prompted struct {
	response
	sent time.Time
	took time.Duration
}

func (p prompted) served() bool {
	return p.err == nil && p.status == http.StatusOK && p.body == standin.Stream(p.id, 5)
}

// prompt sends a request whose prompt has the given parts and one of its own.
func (f *crashFleet) prompt(i int, path string, parts ...string) prompted {
	var list strings.Builder
	for _, id := range parts {
		list.WriteString(id + ":100,")
	}
	p := prompted{sent: time.Now()}
	p.response = f.call(context.Background(), i%len(f.entries), "POST", path, map[string]string{
		"Model": "m", "Token-Usage": "500,20", "Prompt-Prefix": list.String() + fmt.Sprintf("%x:10", 1<<20+lastRequestNumber.Load()),
	}, "prompt")
	p.took = time.Since(p.sent)
	return p
}

// promptEvery sends a request at each interval for a time, over all entries, without
// waiting for responses. wait returns the responses, in any order.
func (f *crashFleet) promptEvery(interval, duration time.Duration, partsOf func(i int) []string) (wait func() []prompted) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var list []prompted
	group.Go(func() {
		for i := range int(duration / interval) {
			group.Go(func() {
				defer GinkgoRecover()
				p := f.prompt(i, "/query/x", partsOf(i)...)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, p)
			})
			time.Sleep(interval)
		}
	})
	return func() []prompted {
		group.Wait()
		return list
	}
}

func callerPart(i int) string { return fmt.Sprintf("c%d", i%callerCount) }

func soundParts(i int) []string { return []string{sharedPart, callerPart(i)} }

// servedRate returns the number of served requests a second among those that were sent
// in an interval.
func servedRate(list []prompted, from, to time.Time) float64 {
	served := 0
	for _, p := range list {
		if p.served() && !p.sent.Before(from) && p.sent.Before(to) {
			served++
		}
	}
	return float64(served) / to.Sub(from).Seconds()
}

// expectFewLateRuns checks that at most three requests of a list reached engines later than contact
// after the fifth crash, or the last one if there are fewer, and returns that time.
func (f *crashFleet) expectFewLateRuns(crashing []prompted) (known time.Time) {
	crashes := f.crashes()
	ExpectWithOffset(1, crashes).NotTo(BeEmpty())
	known = crashes[min(len(crashes), 5)-1].Add(contact)
	late := 0
	for _, p := range crashing {
		for _, run := range runsOf(p.id, f.engines) {
			if run.Started.After(known) {
				late++
			}
		}
	}
	ExpectWithOffset(1, late).To(BeNumerically("<=", 3), "runs of the part; %d crashes", len(crashes))
	return known
}

var _ = Describe("A part of prompts under which engines crash", func() {
	// Guards against entries that send requests with the part to engine after engine, and
	// against a refusal of the requests that share other parts with them.
	It("reaches three engines at most once it is known, and costs sound requests nothing", func() {
		const calm, trouble = 1500 * time.Millisecond, 9 * time.Second
		f := newCrashFleet(4, 30*time.Millisecond)
		began := time.Now()
		sound := f.promptEvery(50*time.Millisecond, calm+trouble, soundParts)
		time.Sleep(calm)
		firstCrashing := time.Now()
		crashing := f.promptEvery(250*time.Millisecond, trouble, func(i int) []string {
			return []string{sharedPart, callerPart(i), crashingPart}
		})()
		list := sound()
		known := f.expectFewLateRuns(crashing)
		for _, p := range crashing {
			runs := runsOf(p.id, f.engines)
			if slices.Contains([]int{408, 421, 429, 503}, p.status) {
				Expect(runs).To(BeEmpty(), "%d %s", p.status, p.body)
			}
			if p.sent.After(known) && len(runs) == 0 {
				Expect(p.status).To(Equal(http.StatusServiceUnavailable))
				Expect(p.body).To(ContainSubstring(quarantineCode))
				Expect(p.took).To(BeNumerically("<", 100*time.Millisecond))
			}
		}
		before := servedRate(list, began, firstCrashing)
		after := servedRate(list, firstCrashing.Add(2*contact), firstCrashing.Add(trouble))
		Expect(before).To(BeNumerically(">", 10))
		Expect(after).To(BeNumerically(">=", before/2))
	})

	// Guards against a verdict on a part of which only its neighbours crash engines.
	It("takes no sound part with it that shared its engines", func() {
		f := newCrashFleet(2, 100*time.Millisecond)
		shared := 0
		for began := time.Now(); shared < 3; {
			Expect(time.Since(began)).To(BeNumerically("<", 11*time.Second), "%d shared crashes", shared)
			ended := make(chan prompted, 1)
			// A route without retries, so that the request ends one engine.
			go func() {
				defer GinkgoRecover()
				ended <- f.prompt(0, "/brief/x", sharedPart, crashingPart)
			}()
			time.Sleep(30 * time.Millisecond)
			neighbours := f.promptEvery(time.Millisecond, 4*time.Millisecond, func(int) []string { return []string{sharedPart, "c1"} })()
			if crashing := <-ended; strings.Contains(crashing.body, quarantineCode) {
				break
			}
			sharing := false
			for _, p := range neighbours {
				Expect(p.served()).To(BeTrue(), "%d %s", p.status, p.body)
				sharing = sharing || len(runsOf(p.id, f.engines)) > 1
			}
			if sharing {
				shared++
			}
			time.Sleep(900 * time.Millisecond)
		}
		for i := range 10 {
			Expect(f.prompt(i, "/query/x", sharedPart, "c1").served()).To(BeTrue())
		}
		Expect(f.counter(0, "answers_broken_before_first_event_total")).NotTo(Equal("0"))
	})
})

// counter returns the value of a counter of the entry that serves the metrics address.
func (f *fleet) counter(i int, name string) string {
	resp, err := http.Get("http://" + f.settings[i].MetricsAddress() + "/metrics")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	_, value, found := strings.Cut(string(text), "agate_"+name+" ")
	Expect(found).To(BeTrue(), string(text))
	value, _, _ = strings.Cut(value, "\n")
	return value
}

var _ = Describe("Engines that crash for another reason", func() {
	// Guards against parts that are refused because of crashes, resets or silence that
	// have nothing to do with them.
	It("make entries refuse no part of a prompt", func() {
		f := newCrashFleet(4, 150*time.Millisecond)
		rng := rand.New(rand.NewSource(GinkgoRandomSeed()))
		sound := f.promptEvery(50*time.Millisecond, 10*time.Second, soundParts)
		time.Sleep(500 * time.Millisecond)
		for range 8 {
			f.servers[rng.Intn(len(f.servers))].Crash()
			time.Sleep(400 * time.Millisecond)
		}
		for range 2 {
			for _, s := range f.servers {
				s.Crash()
			}
			time.Sleep(time.Second)
		}
		for range 3 {
			for _, s := range f.servers {
				s.ResetConnections()
			}
			time.Sleep(200 * time.Millisecond)
		}
		f.engines[rng.Intn(len(f.engines))].Silence(1500 * time.Millisecond)
		time.Sleep(1500 * time.Millisecond)
		calm := time.Now()
		for _, p := range sound() {
			Expect(p.body).NotTo(ContainSubstring(quarantineCode))
			if p.sent.After(calm) {
				Expect(p.served()).To(BeTrue(), "%d %s %v", p.status, p.body, p.err)
			}
		}
	})
})
