package edge_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// limitWindow is the span over which the rate that a target named is judged.
	limitWindow = 4 * time.Second
	// Of the requests that a rate allows in a window, a target may get limitFactor times
	// as many and limitSlack more.
	limitFactor = 1.5
	limitSlack  = 5
)

func allowedInWindow(rate float64) int {
	return int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
}

// mostInWindow returns the most runs that began in a window which begins after a time.
func mostInWindow(runs []standin.Run, from time.Time) int {
	var times []time.Time
	for _, r := range runs {
		if r.Started.After(from) {
			times = append(times, r.Started)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most := 0
	for i, first := range times {
		n, _ := slices.BinarySearchFunc(times[i:], first.Add(limitWindow), time.Time.Compare)
		most = max(most, n)
	}
	return most
}

// load calls all entries in turn, one call each interval, and returns the statuses.
func (f *fleet) load(duration, interval time.Duration, call func(entry, i int) response) map[int]int {
	var mu sync.Mutex
	var group sync.WaitGroup
	statuses := map[int]int{}
	for i := range int(duration / interval) {
		group.Go(func() {
			defer GinkgoRecover()
			status := call(i%len(f.entries), i).status
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
		time.Sleep(interval)
	}
	group.Wait()
	return statuses
}

var _ = Describe("A target that names the requests a second that it takes", func() {
	// Guards against entries that send as before, each for itself or all together.
	DescribeTable("gets no more than that from all entries together", func(engines, services int, rate float64) {
		f := newFleet(engines, services)
		for range 4 {
			f.start()
		}
		call, limited := f.lookupAt, slices.Concat(f.services, f.engines)[0]
		if engines > 0 {
			call = f.queryAt
		}
		f.load(time.Second, 10*time.Millisecond, call)
		limited.NameLimit(strconv.FormatFloat(rate, 'f', -1, 64))
		named := time.Now()
		statuses := f.load(contact+limitWindow+time.Second, 10*time.Millisecond, call)
		Expect(mostInWindow(limited.Runs(), named.Add(contact))).To(BeNumerically("<=", allowedInWindow(rate)))
		total := 0
		for _, n := range statuses {
			total += n
		}
		Expect(statuses[200]).To(BeNumerically(">=", total*9/10), "%v", statuses)
	},
		Entry("an engine", 3, 0, 1.2), Entry("a plain service", 0, 3, 1.2),
	)
})

var _ = Describe("A pool of which all targets name a rate", func() {
	// Guards against callers that wait for room that does not come.
	It("refuses at once what has no room, with the time to come back", func() {
		f := newFleet(0, 2)
		f.start()
		for _, s := range f.services {
			s.NameLimit("0.3")
		}
		f.load(time.Second, 25*time.Millisecond, f.lookupAt)
		// A request may wait for room for 0.7 of its route's 3 s.
		const maxWait = 2100 * time.Millisecond
		var slowest, slowestServed time.Duration
		var mu sync.Mutex
		refused := 0
		f.load(2*time.Second, 25*time.Millisecond, func(entry, i int) response {
			sent := time.Now()
			r := f.lookupAt(entry, i)
			mu.Lock()
			defer mu.Unlock()
			if r.status == 503 {
				refused++
				Expect(r.body).To(ContainSubstring("2020 targets_limited"))
				Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
				slowest = max(slowest, time.Since(sent))
			} else {
				slowestServed = max(slowestServed, time.Since(sent))
			}
			return r
		})
		Expect(refused).To(BeNumerically(">=", 70))
		Expect(slowest).To(BeNumerically("<", 300*time.Millisecond))
		Expect(len(f.services[0].Runs()) + len(f.services[1].Runs())).To(BeNumerically("<", 45))
		Expect(slowestServed).To(BeNumerically("<", maxWait+300*time.Millisecond))
	})
})

var _ = Describe("A target that names no rate any more", func() {
	// Guards against a target that stays bounded after its need.
	DescribeTable("gets its work back", func(engines, services int) {
		f := newFleet(engines, services)
		for range 2 {
			f.start()
		}
		call, limited := f.lookupAt, slices.Concat(f.services, f.engines)[0]
		if engines > 0 {
			call = f.queryAt
		}
		limited.NameLimit("2")
		f.load(3*time.Second, 20*time.Millisecond, call)
		bounded := len(limited.Runs())
		f.load(2*time.Second, 20*time.Millisecond, call)
		Expect(len(limited.Runs()) - bounded).To(BeNumerically("<=", 11))
		limited.NameLimit("")
		f.load(2*time.Second, 20*time.Millisecond, call)
		bounded = len(limited.Runs())
		f.load(time.Second, 20*time.Millisecond, call)
		Expect(len(limited.Runs()) - bounded).To(BeNumerically(">=", 45))
	},
		Entry("an engine", 1, 0), Entry("a plain service", 0, 1),
	)
})

var _ = Describe("An engine that names a rate", func() {
	// Guards against entries that go around the bound, and a new process without it.
	It("gets no more while its target process is gone and after it has come back", func() {
		f := newFleet(2, 0)
		for range 3 {
			f.start()
		}
		limited := f.engines[0]
		address := f.engineAddress(0)
		limited.NameLimit("1.5")
		f.load(2*time.Second, 20*time.Millisecond, f.queryAt)
		began := time.Now()
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			time.Sleep(time.Second)
			f.targetProcesses[0].Shutdown(context.Background())
			time.Sleep(3 * time.Second)
		}()
		go func() {
			defer GinkgoRecover()
			<-stopped
			f.targetProcesses[0] = f.startTargetProcess(0, address)
		}()
		f.load(9*time.Second, 20*time.Millisecond, f.queryAt)
		Expect(mostInWindow(limited.Runs(), began)).To(BeNumerically("<=", allowedInWindow(1.5)))
	})
})

func (f *fleet) lookupAt(entry, i int) response {
	return f.call(context.Background(), entry, "GET", fmt.Sprintf("/lookup/%d", i), nil, "")
}

func (f *fleet) queryAt(entry, i int) response {
	return f.call(context.Background(), entry, "POST", "/query/x", map[string]string{"Model": fmt.Sprintf("m/a%d", i%4), "Token-Usage": "100,20"}, "prompt")
}
