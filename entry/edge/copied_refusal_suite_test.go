package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// copyingTarget is a target that refuses each request once. It runs a request that comes again,
// and writes its refusal on that connection, whichever carried the first one. At another one of
// the targets a request is refused no more.
type copyingTarget struct {
	copies *copyingTargets
	// started is called when a request that was refused before runs.
	started func()
}

// copyingTargets count what copying targets refused and ran, by the ID of the request.
type copyingTargets struct {
	mu       sync.Mutex
	refused  map[string]int
	ran      map[string]int
	targets  map[string]map[*copyingTarget]bool
	runTime  time.Duration
	refusals int
}

func (c *copyingTargets) target(started func()) *scriptedTarget {
	t := &copyingTarget{copies: c, started: started}
	return &scriptedTarget{script: t.serve}
}

func (t *copyingTarget) serve(nc net.Conn, r *http.Request, _ int) bool {
	if !readBody(r) {
		return false
	}
	id, c := requestIDOf(r), t.copies
	c.mu.Lock()
	refuses := c.refused[id] < c.refusals
	if refuses {
		c.refused[id]++
	} else {
		c.ran[id]++
		if c.targets[id] == nil {
			c.targets[id] = make(map[*copyingTarget]bool)
		}
		c.targets[id][t] = true
	}
	c.mu.Unlock()
	switch {
	case refuses:
		return full.write(nc, id)
	case strings.HasSuffix(r.URL.Path, probe):
		return answer(nc, id)
	}
	t.started()
	time.Sleep(c.runTime)
	_, err := io.WriteString(nc, full.text(id)+head(200, id, "Content-Length: 2\r\n\r\nok"))
	return err == nil
}

func newCopyingTargets(refusals int) *copyingTargets {
	return &copyingTargets{refused: make(map[string]int), ran: make(map[string]int), targets: make(map[string]map[*copyingTarget]bool), runTime: 300 * time.Millisecond, refusals: refusals}
}

var _ = Describe("A target that writes its refusal of a request on another connection, while it runs the request", func() {
	// Guards against a repeatable request that runs at more targets than its route's attempts.
	It("is followed by no other one if the route allows one attempt", func() {
		c, f := newCopyingTargets(1), newFleet(0, 0)
		var second *scriptedTarget
		first := c.target(sync.OnceFunc(func() { f.list("raw", "raw-1", second.address, 1) }))
		second = c.target(func() {})
		for _, t := range []*scriptedTarget{first, second} {
			t.start()
			DeferCleanup(t.crash)
		}
		f.list("raw", "raw-0", first.address, 1)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}}, probeRoute("raw"),
			route("call", "/call/", "idempotent", "raw", map[string]any{"max_attempts": 1, "timeout_ms": 5500}))
		f.start()
		f.start()
		f.awaitShares(0, "raw")
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		c.mu.Lock()
		defer c.mu.Unlock()
		GinkgoWriter.Printf("%d %s: %d refusals, %d runs at %d targets\n", a.status, a.body, c.refused[a.id], c.ran[a.id], len(c.targets[a.id]))
		Expect(c.refused[a.id]).To(Equal(1))
		Expect(c.ran[a.id]).To(BeNumerically(">=", 1))
		Expect(c.targets[a.id]).To(HaveLen(1))
	})

	// Guards against a request that may run once and counts as not run by the refusal of another
	// target at the same address: its former incarnation, or one behind the same proxy.
	It("does not refuse it, if it has the address of the one that did", func() {
		c, f := newCopyingTargets(1), newFleet(0, 0)
		t := c.target(func() {})
		t.start()
		DeferCleanup(t.crash)
		f.list("raw", "raw-0", t.address, 1)
		f.list("raw", "raw-1", t.address, 1)
		f.configureOnce(2)
		f.start()
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		c.mu.Lock()
		defer c.mu.Unlock()
		GinkgoWriter.Printf("%d %s: %d refusals, %d runs\n", a.status, a.body, c.refused[a.id], c.ran[a.id])
		Expect(c.refused[a.id]).To(Equal(1))
		Expect(c.ran[a.id]).To(Equal(1))
		Expect(a.status).NotTo(BeElementOf(408, 421, 429, 503), a.body)
	})
})
