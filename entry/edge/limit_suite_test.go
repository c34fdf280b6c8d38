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
	// Guards against entries that pass the header on and send as before, each for itself
	// or all together.
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

func (f *fleet) lookupAt(entry, i int) response {
	return f.call(context.Background(), entry, "GET", fmt.Sprintf("/lookup/%d", i), nil, "")
}

func (f *fleet) queryAt(entry, i int) response {
	return f.call(context.Background(), entry, "POST", "/query/x", map[string]string{"Model": fmt.Sprintf("m/a%d", i%4), "Token-Usage": "100,20"}, "prompt")
}
