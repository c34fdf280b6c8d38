package edge_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	full        = refusal{status: 503, notExecuted: true}
	tooMany     = refusal{status: 429, notExecuted: true}
	timedOut    = refusal{status: 408, notExecuted: true}
	misdirected = refusal{status: 421}
)

// register lists so many targets of a plain service, which take one request at a time.
func (s *refusingTargets) register(f *fleet, service string, targets int) {
	for i := range targets {
		id := fmt.Sprintf("%s-%d", service, i)
		f.store.Put("servers/"+id, map[string]any{"service": service, "address": s.listen(), "zone": "z1", "slots": 1, "state": "ready", "born": 5, "seq": 1})
	}
}

// awaitShares waits until an entry sends requests to targets again that have rejected them.
func (f *fleet) awaitShares(entry int, path string) {
	Eventually(func() int { return f.call(context.Background(), entry, "POST", path+probe, nil, "x").status }).Within(8*time.Second).Should(Equal(200), path)
}

var _ = Describe("A target that gets a request again which it refused", func() {
	// Guards against a request that counts as not run because of the refusal of an earlier send.
	DescribeTable("and repeats the refusal while it runs it, in a crowd", func(targets int) {
		s := &refusingTargets{refusal: full, refusals: 2, again: repetition{refusal: full, times: 1, ids: runningID}, runTime: 20 * time.Millisecond}
		f := newFleet(0, 0)
		s.register(f, "raw", targets)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 2, "timeout_ms": 5500}))
		for range 3 {
			f.start()
		}
		// The shares bind once the entries know each other and a target has refused a request.
		time.Sleep(1500 * time.Millisecond)
		s.expectPromisesKept(callEach(200, func(i int) response {
			return f.call(context.Background(), i%len(f.entries), "POST", "/call/1", nil, "x")
		}))
	},
		Entry("at two targets", 2),
		Entry("at one target", 1),
	)
})

// repeatedCase is a case of targets that write a refusal again. If it is unbound, the entry
// knows no other one, so that its shares do not bind.
type repeatedCase struct {
	text                           string
	targets, maxAttempts, refusals int
	unbound                        bool
	first                          refusal
	again                          repetition
}

// start starts the targets of a case and returns the route to them.
func (c repeatedCase) start(f *fleet, service string) (s *refusingTargets, to map[string]any) {
	s = &refusingTargets{refusal: c.first, refusals: c.refusals, again: c.again, runTime: 20 * time.Millisecond}
	s.register(f, service, c.targets)
	return s, route(service, "/"+service+"/", "non_idempotent", service, map[string]any{"max_attempts": c.maxAttempts, "timeout_ms": 5500})
}

var _ = Describe("A target that gets a request again which it refused, and writes a refusal while it runs it", Ordered, ContinueOnFailure, func() {
	once := func(r refusal, ids func(running, other string) []string) repetition {
		return repetition{refusal: r, times: 1, ids: ids}
	}
	times := func(r repetition, times int) repetition { r.times = times; return r }
	late := func(r repetition, delay time.Duration) repetition { r.delay = delay; return r }
	onFirst := func(r repetition) repetition { r.onFirst = true; return r }
	plain := func(r refusal) refusal { r.notExecuted = false; return r }
	own, other, both, none := once(full, runningID), once(full, otherID), once(full, bothIDs), once(full, noID)

	cases := []repeatedCase{
		{"503 with its ID", 1, 2, 1, false, full, own},
		{"503 with its ID, five times", 1, 2, 1, false, full, times(own, 5)},
		{"503 with its ID, without end", 1, 2, 1, false, full, times(own, 1000)},
		{"503 with its ID, after 50 ms", 1, 2, 1, false, full, late(own, 50*time.Millisecond)},
		{"503 with its ID, after 0.8 s", 1, 2, 1, false, full, late(own, 800*time.Millisecond)},
		{"503 with its ID, after 3 s", 1, 2, 1, false, full, late(own, 3*time.Second)},
		{"503 with its ID, one attempt", 1, 1, 1, false, full, own},
		{"503 with its ID, one attempt, refused twice", 1, 1, 2, false, full, own},
		{"503 with its ID, five attempts", 1, 5, 1, false, full, own},
		{"503 with its ID, five attempts, refused twice", 1, 5, 2, false, full, own},
		{"503 with its ID, on the connection of the first refusal", 1, 2, 1, false, full, onFirst(own)},
		{"503 with its ID, without Not-Executed", 1, 2, 1, false, full, once(plain(full), runningID)},
		{"503 with its ID, one of three targets", 3, 2, 3, false, full, own},
		{"503 with its ID, one of three targets, five attempts", 3, 5, 3, false, full, own},
		{"503 with its ID, one of three targets, on the connection of the first refusal", 3, 5, 3, false, full, onFirst(own)},
		{"503 with its ID, shares that do not bind", 1, 2, 1, true, full, own},
		{"503 with its ID, one of three targets, shares that do not bind", 3, 5, 2, true, full, own},
		{"503 with another ID", 1, 2, 1, false, full, other},
		{"503 with another ID, five times", 1, 2, 1, false, full, times(other, 5)},
		{"503 with both IDs", 1, 2, 1, false, full, both},
		{"503 with both IDs, five attempts", 1, 5, 1, false, full, both},
		{"503 without an ID", 1, 2, 1, false, full, none},
		{"503 without an ID, after 50 ms, one of three targets", 3, 2, 3, false, full, late(none, 50*time.Millisecond)},
		{"503 without an ID, without Not-Executed", 1, 2, 1, false, full, once(plain(full), noID)},
		{"429 with its ID", 1, 2, 1, false, tooMany, once(tooMany, runningID)},
		{"429 with its ID, after 0.8 s, five attempts", 1, 5, 1, false, tooMany, late(once(tooMany, runningID), 800*time.Millisecond)},
		{"429 with its ID after 503, without Not-Executed", 1, 2, 1, false, full, once(plain(tooMany), runningID)},
		{"429 without an ID, five times", 1, 2, 1, false, tooMany, times(once(tooMany, noID), 5)},
		{"408 with its ID", 1, 2, 1, false, timedOut, once(timedOut, runningID)},
		{"408 with its ID after 503, without Not-Executed", 1, 2, 1, false, full, once(plain(timedOut), runningID)},
		{"421 with its ID after 503", 1, 2, 1, false, full, once(misdirected, runningID)},
		{"421 with its ID after 503, five attempts", 1, 5, 1, false, full, once(misdirected, runningID)},
		{"421 without an ID after 503", 1, 2, 1, false, full, once(misdirected, noID)},
	}
	targets, responses := make([]*refusingTargets, len(cases)), make([][]response, len(cases))

	// runCases runs the cases at once, each with a service of its own, behind so many entries.
	runCases := func(entries int, unbound bool) {
		f := newFleet(0, 0)
		var services, routes []map[string]any
		for i, c := range cases {
			if c.unbound != unbound {
				continue
			}
			s, r := c.start(f, fmt.Sprintf("raw%d", i))
			targets[i], routes = s, append(routes, r)
			services = append(services, map[string]any{"name": r["service"]})
		}
		f.configure(2, map[string]any{"services": services}, routes...)
		for range entries {
			f.start()
		}
		callEach(len(cases), func(i int) response {
			if cases[i].unbound != unbound {
				return response{}
			}
			path := fmt.Sprintf("/raw%d/", i)
			for entry := range entries {
				if !unbound {
					f.awaitShares(entry, path)
				}
			}
			for _, concurrent := range []int{1, 2} {
				responses[i] = append(responses[i], callEach(concurrent*entries, func(n int) response {
					return f.call(context.Background(), n%entries, "POST", path+"1", nil, "x")
				})...)
			}
			return response{}
		})
	}
	BeforeAll(func() {
		runCases(2, false)
		runCases(1, true)
	})

	for i, c := range cases {
		// Guards against a request that counts as not run because of the refusal of an earlier send.
		It("runs it once, and its caller is not told otherwise: "+c.text, func() { targets[i].expectPromisesKept(responses[i]) })
	}
})
