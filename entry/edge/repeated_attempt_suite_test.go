package edge_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// addEngine starts an engine that is one of the targets, with a target process beside it, and
// lists it.
func (s *refusingTargets) addEngine(f *fleet, i int) {
	r := standin.NewReplica(fmt.Sprintf("e-%d", i), "m", 2)
	t := s.listen(f.engineIP(i), r.ID, f.serve(f.engineIP(i), r))
	f.targetProcesses = append(f.targetProcesses, f.startTargetProcess(i, t.address))
	f.store.Register(r, "llm", t.address, "z1", "ready")
}

// runsOf returns how often a request ran.
func (s *refusingTargets) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.requests[id]; r != nil {
		return r.runs
	}
	return 0
}

// attemptCase is a case of targets of which each refuses each request once, but the last of
// several runs it. If repeated is true, each refuses it, and its callers send the refused attempt
// again with the same ID.
type attemptCase struct {
	engine               bool
	kind                 string
	targets, maxAttempts int
	first                refusal
	again                repetition
	repeated             bool
}

// start starts an entry and the targets of a case, and returns what sends a request with an ID
// and a path.
func (c attemptCase) start(s *refusingTargets) (call func(id, path string) response) {
	f := newFleet(0, 0)
	service, header := "raw", map[string]string{}
	if c.engine {
		service, header = "llm", map[string]string{"Model": "m", "Token-Usage": "100,20"}
		for i := range c.targets {
			s.addEngine(f, i)
		}
	} else {
		s.register(f, service, c.targets)
	}
	fields := map[string]any{}
	if !c.engine {
		fields["services"] = []map[string]any{{"name": service}}
	}
	f.configure(2, fields, route("call", "/call/", c.kind, service, map[string]any{"max_attempts": c.maxAttempts, "resumable": false}))
	f.start()
	return func(id, path string) response {
		sent := map[string]string{"Attempt-Id": id}
		for k, v := range header {
			sent[k] = v
		}
		a := f.call(context.Background(), 0, "POST", path, sent, "x")
		a.id = id
		return a
	}
}

// run sends requests one after the other, and checks what the targets ran.
func (c attemptCase) run() {
	refusals := max(1, c.targets-1)
	if c.repeated {
		refusals = c.targets
	}
	s := &refusingTargets{refusal: c.first, refusals: refusals, again: c.again, runTime: 20 * time.Millisecond}
	call := c.start(s)
	// Until an engine's report is known, no target gets a request.
	Eventually(func() int {
		id := fmt.Sprintf("probe-%d", lastRequestNumber.Add(1))
		if a := call(id, "/call/"+probe); a.status == 200 {
			return a.status
		}
		return call(id, "/call/"+probe).status
	}).Within(5 * time.Second).Should(Equal(200))
	var responses []response
	for range 6 {
		id := fmt.Sprintf("again-%d", lastRequestNumber.Add(1))
		a := call(id, "/call/1")
		if c.repeated {
			Expect(a.status).To(BeElementOf(408, 421, 429, 503))
			Expect(s.runsOf(id)).To(BeZero())
			a = call(id, "/call/1")
		}
		responses = append(responses, a)
	}
	if c.repeated || c.targets > 1 {
		Expect(s.outcomeOf(responses).ran).To(BeNumerically(">", 0))
	}
	s.expectPromisesKept(responses)
}

var _ = Describe("A caller that sends a refused attempt again with its ID", func() {
	// Guards against a request that counts as not run because of the refusal of an earlier send.
	DescribeTable("is not told that it has not run when it has", func(c attemptCase) {
		c.repeated = true
		c.run()
	},
		Entry("a call", attemptCase{kind: "non_idempotent", targets: 1, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("a call, one attempt", attemptCase{kind: "non_idempotent", targets: 1, maxAttempts: 1, first: full, again: once(full, runningID)}),
		Entry("a call, after 50 ms", attemptCase{kind: "non_idempotent", targets: 1, maxAttempts: 2, first: full, again: late(once(full, runningID), 50*time.Millisecond)}),
		Entry("a call, two targets", attemptCase{kind: "non_idempotent", targets: 2, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("a call, three targets, five attempts", attemptCase{kind: "non_idempotent", targets: 3, maxAttempts: 5, first: full, again: once(full, runningID)}),
		Entry("a call, 429", attemptCase{kind: "non_idempotent", targets: 1, maxAttempts: 2, first: tooMany, again: once(tooMany, runningID)}),
		Entry("a call, without an ID", attemptCase{kind: "non_idempotent", targets: 2, maxAttempts: 2, first: full, again: once(full, noID)}),
		Entry("a call, with the ID of another one", attemptCase{kind: "non_idempotent", targets: 2, maxAttempts: 2, first: full, again: once(full, otherID)}),
		Entry("a stream", attemptCase{kind: "stream", targets: 2, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("a stream of an engine", attemptCase{engine: true, kind: "stream", targets: 1, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("a stream of one of two engines", attemptCase{engine: true, kind: "stream", targets: 2, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("a stream of an engine, 429", attemptCase{engine: true, kind: "stream", targets: 1, maxAttempts: 1, first: tooMany, again: once(tooMany, runningID)}),
		Entry("a stream of an engine, without an ID", attemptCase{engine: true, kind: "stream", targets: 2, maxAttempts: 5, first: full, again: once(full, noID)}),
	)
})

var _ = Describe("An engine that refuses a request and writes the refusal again", func() {
	// Guards against a stream that may not be resumed and counts as not run because of a refusal of
	// an earlier send.
	DescribeTable("runs no request twice, and its callers are not told otherwise", func(c attemptCase) {
		c.engine, c.kind = true, "stream"
		c.run()
	},
		Entry("503 with its ID", attemptCase{targets: 1, maxAttempts: 2, first: full, again: once(full, runningID)}),
		Entry("503 with its ID, one of three, five attempts", attemptCase{targets: 3, maxAttempts: 5, first: full, again: once(full, runningID)}),
		Entry("503 with another ID, after 50 ms", attemptCase{targets: 3, maxAttempts: 2, first: full, again: late(once(full, otherID), 50*time.Millisecond)}),
		Entry("503 without an ID", attemptCase{targets: 3, maxAttempts: 2, first: full, again: once(full, noID)}),
		Entry("429 with its ID, five times", attemptCase{targets: 2, maxAttempts: 5, first: tooMany, again: times(once(tooMany, runningID), 5)}),
		Entry("421 with its ID after 503", attemptCase{targets: 2, maxAttempts: 5, first: full, again: once(misdirected, runningID)}),
	)
})
