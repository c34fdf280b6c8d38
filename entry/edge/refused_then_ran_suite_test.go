package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// copies says when a target that was full writes its refusals again.
type copies struct {
	// next writes the last refusal of a connection again once its next request has arrived.
	next bool
	// late writes each refusal again after a time, 0 for never.
	late time.Duration
	// own writes the refusal of a request again while the request runs on the connection that
	// carried it.
	own bool
}

// crowdedTarget is a plain service that refuses what exceeds its room, or every nth request
// without regard to it. It runs every silentOf-th request without an answer.
type crowdedTarget struct {
	ran      *runCount
	copies   copies
	room     int
	refuseOf int
	silentOf int
	work     time.Duration

	address string

	mu sync.Mutex
	// arrived counts the requests, refusals and copied those refused and the copies.
	arrived, running, refusals, copied, silent int
}

// place takes a place for a request, unless the target is full or refuses it.
func (t *crowdedTarget) place() (ok, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrived++
	if t.running >= t.room || t.refuseOf > 0 && rand.Intn(t.refuseOf) == 0 {
		t.refusals++
		return false, false
	}
	t.running++
	silent = t.silentOf > 0 && rand.Intn(t.silentOf) == 0
	if silent {
		t.silent++
	}
	return true, silent
}

func (t *crowdedTarget) leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
}

// copy writes a refusal again.
func (t *crowdedTarget) copy(nc net.Conn, id string) {
	t.mu.Lock()
	t.copied++
	t.mu.Unlock()
	_, _ = io.WriteString(nc, full.text(id))
}

func (t *crowdedTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	var refused []string
	copied := true
	for {
		r, err := http.ReadRequest(br)
		if err != nil || !readBody(r) {
			return
		}
		id := standin.RequestID(r.Header)
		if t.copies.next && !copied {
			copied = true
			t.copy(nc, refused[len(refused)-1])
		}
		ok, silent := t.place()
		if !ok {
			refused, copied = append(refused, id), false
			_, _ = io.WriteString(nc, full.text(id))
			if t.copies.late > 0 {
				time.AfterFunc(t.copies.late, func() { t.copy(nc, id) })
			}
			continue
		}
		t.ran.add(id)
		if t.copies.own && slices.Contains(refused, id) {
			t.copy(nc, id)
		}
		if silent {
			// The place is free once the entry has given up.
			_, _ = io.Copy(io.Discard, br)
			t.leave()
			return
		}
		time.Sleep(t.work)
		t.leave()
		if !answer(nc, id) {
			return
		}
	}
}

// start starts the target and lists it with so many slots.
func (t *crowdedTarget) start(f *fleet, id string, slots int) {
	l := listen("127.0.0.1:0")
	DeferCleanup(l.Close)
	t.address = l.Addr().String()
	go func() {
		for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
			go t.serve(nc)
		}
	}()
	f.store.Put("servers/"+id, map[string]any{"service": "raw", "address": t.address, "zone": "z1", "slots": slots, "state": "ready", "born": 5, "seq": 1})
}

// expectNoneRefused checks that no request ran twice, and that none that ran was answered with a
// status which says that it never will.
func (c *runCount) expectNoneRefused(responses []response) {
	GinkgoHelper()
	statuses, ran := make(map[int]int), 0
	var twice, refused []string
	for _, a := range responses {
		statuses[a.status]++
		runs := c.of(a.id)
		if runs > 0 {
			ran++
		}
		if runs > 1 {
			twice = append(twice, a.id)
		}
		if runs > 0 && slices.Contains([]int{408, 421, 429, 503}, a.status) {
			refused = append(refused, a.id)
		}
	}
	GinkgoWriter.Printf("statuses %v, ran %d, twice %d, ran and refused %d\n", statuses, ran, len(twice), len(refused))
	Expect(ran).To(BeNumerically(">", 0))
	Expect(twice).To(BeEmpty(), "requests that ran twice; %d more ran and were refused", len(refused))
	Expect(refused).To(BeEmpty(), "requests that ran and were refused")
}

var _ = Describe("A crowd at targets that are full and write their refusals again", func() {
	const callers, crowd = 90, 3 * time.Second
	// Guards against callers who are told that a request has not run which a target ran, and
	// against a second run, because of the copy of a refusal.
	DescribeTable("is told of no request that ran that it has not", func(maxAttempts int, c copies, refuseOf, silentOf int, keepID bool) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*crowdedTarget
		for i := range 4 {
			t := &crowdedTarget{ran: ran, copies: c, room: 4, refuseOf: refuseOf, silentOf: silentOf, work: 20 * time.Millisecond}
			t.start(f, fmt.Sprintf("raw-%d", i), 6)
			targets = append(targets, t)
		}
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": maxAttempts, "timeout_ms": 2500}))
		for range 4 {
			f.start()
		}
		// The shares of the entries bind once they know each other.
		time.Sleep(1500 * time.Millisecond)
		var responses []response
		var mu sync.Mutex
		ends := time.Now().Add(crowd)
		callEach(callers, func(i int) response {
			header := map[string]string{}
			for ; time.Now().Before(ends); time.Sleep(10 * time.Millisecond) {
				a := f.call(context.Background(), i%len(f.entries), "POST", "/call/1", header, "x")
				if id, ok := header["Attempt-Id"]; ok {
					a.id = id
				}
				delete(header, "Attempt-Id")
				if keepID && a.status == http.StatusServiceUnavailable && ran.of(a.id) == 0 {
					header["Attempt-Id"] = a.id
					continue
				}
				mu.Lock()
				responses = append(responses, a)
				mu.Unlock()
			}
			return response{}
		})
		// A request may also run after its answer.
		time.Sleep(100 * time.Millisecond)
		for i, t := range targets {
			t.mu.Lock()
			GinkgoWriter.Printf("target %d: arrived %d, refused %d, copies %d, silent %d\n", i, t.arrived, t.refusals, t.copied, t.silent)
			Expect(t.refusals).To(BeNumerically(">", 0))
			t.mu.Unlock()
		}
		ran.expectNoneRefused(responses)
	},
		Entry("one attempt, the same request", 1, copies{own: true}, 2, 100, false),
		Entry("two attempts, the same request", 2, copies{own: true}, 2, 100, false),
		Entry("one attempt, the next request", 1, copies{next: true}, 3, 100, false),
		Entry("two attempts, 1 ms late", 2, copies{late: time.Millisecond}, 3, 100, false),
		Entry("one attempt, 30 ms late", 1, copies{late: 30 * time.Millisecond}, 3, 100, false),
		Entry("one attempt, 0.5 s late", 1, copies{late: 500 * time.Millisecond}, 3, 100, false),
		Entry("two attempts, all of these, many silent", 2, copies{next: true, late: 30 * time.Millisecond, own: true}, 2, 30, false),
		Entry("one attempt, the same request, callers keep its ID", 1, copies{own: true}, 3, 100, true),
		Entry("two attempts, all of these, callers keep its ID", 2, copies{next: true, late: 30 * time.Millisecond, own: true}, 3, 100, true),
	)
})
