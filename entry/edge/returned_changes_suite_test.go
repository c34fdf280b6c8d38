package edge_test

import (
	"fmt"
	"sync"

	. "github.com/onsi/ginkgo/v2"
)

// targetChange is the end of the instance at the address of the first target that comes to a
// moment, and the begin of another one.
type targetChange struct {
	at moment
	// by is the service of the other instance, empty for the same one, and renamed whether it has
	// another ID.
	by      string
	renamed bool
	// reset is true if the connections of the former instance are reset. Otherwise it goes on
	// with what it got.
	reset bool
}

// apply returns what makes the change, for targets of a service.
func (c *targetChange) apply(f *fleet, service string) func(*refusingTarget, moment) {
	var once sync.Once
	return func(t *refusingTarget, m moment) {
		if m != c.at {
			return
		}
		once.Do(func() {
			t.mu.Lock()
			id := t.instance
			t.mu.Unlock()
			next := id
			if c.renamed || c.by != "" {
				next += "-next"
				f.store.Deregister(id)
			}
			t.setInstance(next, c.reset)
			if c.by != "" {
				service = c.by
			}
			f.list(service, next, t.address, 2)
		})
	}
}

var _ = Describe("A target that refuses a request and ends", Ordered, ContinueOnFailure, func() {
	repeats := once(full, runningID)
	x := &repeatedCases{}
	for _, m := range []struct {
		text string
		at   moment
	}{{"before the refusal", beforeRefusal}, {"after the refusal", afterRefusal}, {"while the request runs", whileItRuns}} {
		for _, c := range []struct {
			text string
			targetChange
		}{
			{"restarted", targetChange{reset: true}},
			{"restarted with another ID", targetChange{reset: true, renamed: true}},
			{"restarted beside the former instance", targetChange{renamed: true}},
			{"its address taken over by another service", targetChange{reset: true, by: "taker"}},
			{"its address taken over, while it goes on", targetChange{by: "taker"}},
		} {
			for _, targets := range []int{1, 2} {
				change := c.targetChange
				change.at = m.at
				x.cases = append(x.cases, repeatedCase{
					text: fmt.Sprintf("%s %s, targets: %d", c.text, m.text, targets), targets: targets, maxAttempts: 2, refusals: targets,
					first: full, again: repeats, change: &change,
				})
			}
		}
	}
	BeforeAll(func() { x.run(2, false) })
	// Guards against a request that runs at the former instance and at the next one.
	x.specs("runs no request twice, and its callers are not told otherwise")
})

var _ = Describe("A target whose connections are reset in its refusals", Ordered, ContinueOnFailure, func() {
	x := &repeatedCases{}
	for _, part := range []float64{0, 0.05, 0.2, 0.4, 0.6, 0.8, 0.99, 1} {
		cut := refusal{status: 503, notExecuted: true, reset: true, written: part}
		for _, kind := range []string{"non_idempotent", "stream"} {
			x.cases = append(x.cases,
				repeatedCase{
					text: fmt.Sprintf("the first one, after %.0f%%, %s", 100*part, kind), targets: 2, maxAttempts: 5, refusals: 2, kind: kind,
					first: cut, again: once(full, runningID),
				},
				repeatedCase{
					text: fmt.Sprintf("a repeated one, after %.0f%%, %s", 100*part, kind), targets: 1, maxAttempts: 2, refusals: 1, kind: kind,
					first: full, again: once(cut, runningID),
				})
		}
	}
	BeforeAll(func() { x.run(2, false) })
	// Guards against a request that counts as not run because of the refusal of an earlier send.
	x.specs("runs no request twice, and its callers are not told otherwise")
})
