package edge_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/entry/edge"
	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// crashingBody is the body of the request that crashes replicas.
	crashingBody = "crash"
	// requestQuarantineCode is in the body of a refusal of such a request.
	requestQuarantineCode = "2021 request_quarantined"
)

func isCrashing(run standin.Run) bool { return strings.HasPrefix(run.Body, crashingBody) }

// newServiceFleet starts two entries before one engine and four replicas of the plain
// service that crash under a request with crashingBody and come back under new IDs.
func newServiceFleet() *crashFleet {
	f := &crashFleet{fleet: newFleet(1, 0)}
	for i := range 4 {
		r := standin.NewReplica(fmt.Sprintf("s-%d", i), "", 0)
		r.WorkTime = 30 * time.Millisecond
		s, err := standin.Serve("127.0.0.1:0", r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		register := func() { f.store.Register(r, "ledger", s.Address, fmt.Sprint("z", i), "ready") }
		newID := func() string {
			f.store.Deregister(r.ID)
			return fmt.Sprintf("s-%d-%d", i, len(r.Runs()))
		}
		register()
		s.RestartAfter(700*time.Millisecond, newID, register)
		s.CrashUnder(isCrashing, 5*time.Millisecond)
		f.services, f.servers = append(f.services, r), append(f.servers, s)
	}
	f.start()
	f.start()
	return f
}

// restartEntries ends all entries at once and starts them again with the same settings.
func (f *fleet) restartEntries() {
	for _, e := range f.entries {
		e.Close()
	}
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	for i, s := range f.settings {
		e := edge.New(s)
		Eventually(e.Provision).Within(2 * time.Second).Should(Succeed())
		e.Start()
		DeferCleanup(e.Close)
		f.entries[i] = e
	}
	for i := range f.entries {
		Eventually(func() int { return f.readiness(i) }).Within(3 * time.Second).Should(Equal(http.StatusOK))
	}
}

// callEvery sends a request at each interval for a time, in turn to all entries, and
// returns the responses.
func (f *crashFleet) callEvery(interval, duration time.Duration, method, path string, bodyOf func(i int) string) []prompted {
	var mu sync.Mutex
	var group sync.WaitGroup
	var list []prompted
	for i := range int(duration / interval) {
		group.Go(func() {
			defer GinkgoRecover()
			p := prompted{sent: time.Now()}
			p.response = f.call(context.Background(), i%len(f.entries), method, path, nil, bodyOf(i))
			p.took = time.Since(p.sent)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, p)
		})
		time.Sleep(interval)
	}
	group.Wait()
	return list
}

// callInTurn sends requests at the same time, in turn to all entries.
func callInTurn(count int, call func(entry int) response, entries int) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			defer GinkgoRecover()
			call(i % entries)
		})
	}
	return &group
}

func crashing(int) string { return crashingBody }

// crashingRunsAfter counts the runs of the crashing request that began later than a time.
func (f *crashFleet) crashingRunsAfter(at time.Time) (n int) {
	for _, r := range append(slices.Clone(f.services), f.engines...) {
		for _, run := range r.Runs() {
			if isCrashing(run) && run.Started.After(at) {
				n++
			}
		}
	}
	return n
}

var _ = Describe("A request that crashes the replicas which run it", func() {
	// Guards against entries that send the same request to replica after replica.
	It("reaches three replicas at most once it is known, and costs sound requests nothing", func() {
		const trouble = 7 * time.Second
		f := newServiceFleet()
		sound := make(chan []prompted, 1)
		go func() {
			defer GinkgoRecover()
			sound <- f.callEvery(40*time.Millisecond, trouble, "POST", "/lookup/1", func(i int) string { return fmt.Sprint("sound", i%5) })
		}()
		list := f.callEvery(200*time.Millisecond, trouble, "POST", "/lookup/1", crashing)
		crashes := f.crashes()
		Expect(len(crashes)).To(BeNumerically(">=", 3))
		known := crashes[2].Add(contact)
		Expect(f.crashingRunsAfter(known)).To(BeNumerically("<=", 3), "%d crashes", len(crashes))
		for _, p := range list {
			runs := runsOf(p.id, f.services)
			if slices.Contains([]int{408, 421, 429, 503}, p.status) {
				Expect(runs).To(BeEmpty(), "%d %s", p.status, p.body)
			}
			if p.sent.After(known) && len(runs) == 0 {
				Expect(p.body).To(ContainSubstring(requestQuarantineCode))
				Expect(p.took).To(BeNumerically("<", 100*time.Millisecond))
			}
		}
		for _, p := range <-sound {
			Expect(p.body).NotTo(ContainSubstring(requestQuarantineCode))
			if p.sent.After(known) {
				Expect(p.status).To(Equal(http.StatusOK), p.body)
			}
		}
	})

	// Guards against entries that forget such a request when all of them lose power.
	It("is refused also after all entries have restarted at once", func() {
		f := newServiceFleet()
		f.callEvery(200*time.Millisecond, 3*time.Second, "POST", "/release/1", crashing)
		crashes := f.crashes()
		Expect(len(crashes)).To(BeNumerically(">=", 3))
		for range 3 {
			f.restartEntries()
			f.callEvery(200*time.Millisecond, time.Second, "POST", "/release/1", crashing)
		}
		Expect(f.crashingRunsAfter(crashes[2].Add(contact))).To(BeNumerically("<=", 3), "%d crashes", len(f.crashes()))
	})

	// Guards against crashes that count for nothing because all entries lose power before
	// there is a verdict.
	It("is found although all entries restart after each second crash", func() {
		f := newServiceFleet()
		for range 14 {
			a := f.call(context.Background(), 0, "POST", "/lookup/1", nil, crashingBody)
			Expect(a.status).NotTo(Equal(http.StatusOK))
			// The crash has been looked into by then.
			time.Sleep(500 * time.Millisecond)
			f.restartEntries()
			Expect(f.lookup().status).To(Equal(http.StatusOK))
		}
		crashes := f.crashes()
		Expect(len(crashes)).To(BeNumerically(">=", 3))
		Expect(f.crashingRunsAfter(crashes[2].Add(contact))).To(BeNumerically("<=", 3), "%d crashes", len(crashes))
	})

	// Guards against a verdict on parts of the prompt that sound requests share, and against
	// none because the last part is the request's own or an event had arrived.
	DescribeTable("is quarantined as a whole if it has a prompt with shared parts", func(crashAfter time.Duration) {
		const trouble = 7 * time.Second
		f := newCrashFleet(4, 10*time.Millisecond)
		for _, s := range f.servers {
			s.CrashUnder(isCrashing, crashAfter)
		}
		sound := f.promptEvery(80*time.Millisecond, trouble, soundParts)
		for sent := 0; sent < int(trouble/(300*time.Millisecond)); sent++ {
			go func() {
				defer GinkgoRecover()
				f.call(context.Background(), sent%2, "POST", "/query/x", map[string]string{
					"Model": "m", "Token-Usage": "500,20", "Prompt-Prefix": sharedPart + ":100," + callerPart(0) + ":100,0e:10",
				}, crashingBody)
			}()
			time.Sleep(300 * time.Millisecond)
		}
		list := sound()
		crashes := f.crashes()
		Expect(len(crashes)).To(BeNumerically(">=", 3))
		known := crashes[2].Add(contact)
		Expect(f.crashingRunsAfter(known)).To(BeNumerically("<=", 3), "%d crashes", len(crashes))
		for _, p := range list {
			Expect(p.body).NotTo(ContainSubstring(quarantineCode))
			Expect(p.body).NotTo(ContainSubstring(requestQuarantineCode))
		}
	},
		Entry("before its first event", time.Duration(0)),
		Entry("after its first event", 50*time.Millisecond),
	)

	// Guards against a trial of a quarantined request that is sent to one target after the
	// other.
	It("is sent to one replica for a trial", func() {
		f := newServiceFleet()
		began := time.Now()
		f.callEvery(100*time.Millisecond, 9*time.Second, "POST", "/lookup/1", crashing)
		Expect(len(f.crashes())).To(BeNumerically(">=", 3))
		Expect(f.crashingRunsAfter(began.Add(contact))).To(BeNumerically("<=", 1))
	})

	// Guards against a popular sound request that stays refused once all its replicas, which
	// lost power together, are back.
	It("does not keep a sound request out that was under way when all replicas lost power", func() {
		f := newServiceFleet()
		for _, r := range f.services {
			r.WorkTime = 300 * time.Millisecond
		}
		popular := func(entry int) response {
			return f.call(context.Background(), entry, "POST", "/lookup/1", nil, "popular")
		}
		group := callInTurn(40, popular, len(f.entries))
		time.Sleep(150 * time.Millisecond)
		for _, s := range f.servers {
			s.Crash()
		}
		group.Wait()
		Eventually(func() string { return popular(0).body }).Within(3*time.Second).Should(ContainSubstring(requestQuarantineCode), "the crashes are taken as those of the request")
		for i := range f.entries {
			Eventually(func() int { popular(1 - i); return popular(i).status }).WithPolling(50 * time.Millisecond).Within(15 * time.Second).Should(Equal(http.StatusOK))
		}
	})
})
