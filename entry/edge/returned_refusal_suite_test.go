package edge_test

import (
	"cmp"
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

func once(r refusal, ids func(running, other string) []string) repetition {
	return repetition{refusal: r, times: 1, ids: ids}
}

func times(r repetition, times int) repetition { r.times = times; return r }

func late(r repetition, delay time.Duration) repetition { r.delay = delay; return r }

func onFirst(r repetition) repetition { r.onFirst = true; return r }

func plain(r refusal) refusal { r.notExecuted = false; return r }

// register lists so many targets of a plain service, which take one request at a time.
func (s *refusingTargets) register(f *fleet, service string, targets int) {
	for i := range targets {
		id := fmt.Sprintf("%s-%d", service, i)
		f.list(service, id, s.listen("127.0.0.1", id, "").address, 1)
	}
}

// list lists a target of a plain service that takes one request at a time.
func (f *fleet) list(service, id, address string, starts int) {
	f.store.Put("servers/"+id, map[string]any{"service": service, "address": address, "zone": "z1", "slots": 1, "state": "ready", "born": 5 * starts, "seq": starts})
}

// probeRoute returns a route to a service for requests that may go to targets again which have
// rejected them.
func probeRoute(service string) map[string]any {
	return route(probe+"-"+service, "/"+probe+"-"+service+"/", "idempotent", service, map[string]any{"max_attempts": 5, "timeout_ms": 5500})
}

// awaitShares waits until an entry sends requests to targets of a service again that have rejected
// them.
func (f *fleet) awaitShares(entry int, service string) {
	Eventually(func() int {
		return f.call(context.Background(), entry, "POST", "/"+probe+"-"+service+"/"+probe, nil, "x").status
	}).Within(8*time.Second).Should(Equal(200), service)
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
		Entry("at three targets", 3),
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
	// kind is that of the route, non_idempotent if it is empty.
	kind string
	// change is what becomes of a target, nil if nothing does.
	change *targetChange
}

// start starts the targets of a case and returns the route to them.
func (c repeatedCase) start(f *fleet, service string) (s *refusingTargets, to map[string]any) {
	s = &refusingTargets{refusal: c.first, refusals: c.refusals, again: c.again, runTime: 20 * time.Millisecond}
	s.register(f, service, c.targets)
	if c.change != nil {
		s.notify = c.change.apply(f, service)
	}
	fields := map[string]any{"max_attempts": c.maxAttempts, "timeout_ms": 5500, "resumable": false}
	return s, route(service, "/"+service+"/", cmp.Or(c.kind, "non_idempotent"), service, fields)
}

// repeatedCases are cases that run at once, each with a service of its own.
type repeatedCases struct {
	cases     []repeatedCase
	targets   []*refusingTargets
	responses [][]response
}

// run runs the cases whose shares bind, or the others, behind so many entries.
func (x *repeatedCases) run(entries int, unbound bool) {
	x.targets = append(x.targets, make([]*refusingTargets, len(x.cases)-len(x.targets))...)
	x.responses = append(x.responses, make([][]response, len(x.cases)-len(x.responses))...)
	f := newFleet(0, 0)
	var services, routes []map[string]any
	for i, c := range x.cases {
		if c.unbound != unbound {
			continue
		}
		s, r := c.start(f, fmt.Sprintf("raw%d", i))
		x.targets[i], routes = s, append(routes, r, probeRoute(r["service"].(string)))
		services = append(services, map[string]any{"name": r["service"]})
	}
	f.configure(2, map[string]any{"services": services}, routes...)
	for range entries {
		f.start()
	}
	callEach(len(x.cases), func(i int) response {
		if x.cases[i].unbound != unbound {
			return response{}
		}
		service := fmt.Sprintf("raw%d", i)
		for entry := range entries {
			if !unbound {
				f.awaitShares(entry, service)
			}
		}
		for _, concurrent := range []int{1, 2} {
			x.responses[i] = append(x.responses[i], callEach(concurrent*entries, func(n int) response {
				return f.call(context.Background(), n%entries, "POST", "/"+service+"/1", nil, "x")
			})...)
		}
		return response{}
	})
}

// specs defines a spec for each case.
func (x *repeatedCases) specs(text string) {
	for i, c := range x.cases {
		It(text+": "+c.text, func() { x.targets[i].expectPromisesKept(x.responses[i]) })
	}
}

var _ = Describe("A target that gets a request again which it refused, and writes a refusal while it runs it", Ordered, ContinueOnFailure, func() {
	own, other, both, none := once(full, runningID), once(full, otherID), once(full, bothIDs), once(full, noID)

	cases := []repeatedCase{
		{"503 with its ID", 1, 2, 1, false, full, own, "", nil},
		{"503 with its ID, five times", 1, 2, 1, false, full, times(own, 5), "", nil},
		{"503 with its ID, without end", 1, 2, 1, false, full, times(own, 1000), "", nil},
		{"503 with its ID, after 50 ms", 1, 2, 1, false, full, late(own, 50*time.Millisecond), "", nil},
		{"503 with its ID, after 0.8 s", 1, 2, 1, false, full, late(own, 800*time.Millisecond), "", nil},
		{"503 with its ID, after 3 s", 1, 2, 1, false, full, late(own, 3*time.Second), "", nil},
		{"503 with its ID, one attempt", 1, 1, 1, false, full, own, "", nil},
		{"503 with its ID, one attempt, refused twice", 1, 1, 2, false, full, own, "", nil},
		{"503 with its ID, five attempts", 1, 5, 1, false, full, own, "", nil},
		{"503 with its ID, five attempts, refused twice", 1, 5, 2, false, full, own, "", nil},
		{"503 with its ID, on the connection of the first refusal", 1, 2, 1, false, full, onFirst(own), "", nil},
		{"503 with its ID, without Not-Executed", 1, 2, 1, false, full, once(plain(full), runningID), "", nil},
		{"503 with its ID, one of three targets", 3, 2, 3, false, full, own, "", nil},
		{"503 with its ID, one of three targets, five attempts", 3, 5, 3, false, full, own, "", nil},
		{"503 with its ID, one of three targets, on the connection of the first refusal", 3, 5, 3, false, full, onFirst(own), "", nil},
		{"503 with its ID, shares that do not bind", 1, 2, 1, true, full, own, "", nil},
		{"503 with its ID, one of three targets, shares that do not bind", 3, 5, 2, true, full, own, "", nil},
		{"503 with another ID", 1, 2, 1, false, full, other, "", nil},
		{"503 with another ID, five times", 1, 2, 1, false, full, times(other, 5), "", nil},
		{"503 with both IDs", 1, 2, 1, false, full, both, "", nil},
		{"503 with both IDs, five attempts", 1, 5, 1, false, full, both, "", nil},
		{"503 without an ID", 1, 2, 1, false, full, none, "", nil},
		{"503 without an ID, after 50 ms, one of three targets", 3, 2, 3, false, full, late(none, 50*time.Millisecond), "", nil},
		{"503 without an ID, without Not-Executed", 1, 2, 1, false, full, once(plain(full), noID), "", nil},
		{"429 with its ID", 1, 2, 1, false, tooMany, once(tooMany, runningID), "", nil},
		{"429 with its ID, after 0.8 s, five attempts", 1, 5, 1, false, tooMany, late(once(tooMany, runningID), 800*time.Millisecond), "", nil},
		{"429 with its ID after 503, without Not-Executed", 1, 2, 1, false, full, once(plain(tooMany), runningID), "", nil},
		{"429 without an ID, five times", 1, 2, 1, false, tooMany, times(once(tooMany, noID), 5), "", nil},
		{"408 with its ID", 1, 2, 1, false, timedOut, once(timedOut, runningID), "", nil},
		{"408 with its ID after 503, without Not-Executed", 1, 2, 1, false, full, once(plain(timedOut), runningID), "", nil},
		{"421 with its ID after 503", 1, 2, 1, false, full, once(misdirected, runningID), "", nil},
		{"421 with its ID after 503, five attempts", 1, 5, 1, false, full, once(misdirected, runningID), "", nil},
		{"503 with another ID, at the next target", 2, 2, 1, false, full, other, "", nil},
		{"503 with another ID, at the third target, five attempts", 3, 5, 2, false, full, late(other, 50*time.Millisecond), "", nil},
		{"503 with both IDs, at the next target", 2, 2, 1, false, full, once(full, func(running, other string) []string { return []string{other, running} }), "", nil},
		{"503 without an ID, at the next target", 2, 2, 1, false, full, none, "", nil},
		{"503 without an ID, at the third target, after 0.8 s", 3, 2, 2, false, full, late(none, 800*time.Millisecond), "", nil},
		{"503 without an ID, at the next target, shares that do not bind", 2, 2, 1, true, full, times(none, 5), "", nil},
		{"429 without an ID, at the next target", 2, 1, 1, false, tooMany, once(tooMany, noID), "", nil},
		{"421 without an ID, at the next target", 2, 5, 1, false, full, once(misdirected, noID), "", nil},
		{"421 without an ID after 503", 1, 2, 1, false, full, once(misdirected, noID), "", nil},
	}
	x := &repeatedCases{cases: cases}
	BeforeAll(func() {
		x.run(2, false)
		x.run(1, true)
	})
	// Guards against a request that counts as not run because of the refusal of an earlier send.
	x.specs("runs it once, and its caller is not told otherwise")
})
