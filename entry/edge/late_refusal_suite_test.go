package edge_test

import (
	"context"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
)

var _ = Describe("A target that refuses or begins to run a request about its deadline", func() {
	// Guards against callers who are told at the deadline of a send that a request has not run
	// which a target runs later, and against its run at two targets.
	DescribeTable("is waited for, or its callers are told that the request may have run", func(maxAttempts int, keepID, stops bool) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 4 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				id := requestIDOf(r)
				refuses, quick := rand.Intn(2) == 0, rand.Intn(3) == 0
				if !quick {
					time.Sleep(200*time.Millisecond + time.Duration(rand.Intn(250))*time.Millisecond)
				}
				if refuses {
					_, err := io.WriteString(nc, full.text(id))
					return err == nil
				}
				// It runs also if the connection has ended.
				ran.add(id)
				return answer(nc, id)
			}})
		}
		f.startScripted(targets...)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": maxAttempts, "timeout_ms": 350}))
		for range 2 {
			f.start()
		}
		var responses []response
		var mu sync.Mutex
		ends := time.Now().Add(2 * time.Second)
		if stops {
			time.AfterFunc(time.Second, func() { f.entries[1].Shutdown(context.Background()) })
		}
		callEach(60, func(i int) response {
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
		awaitIdle(targets...)
		ran.expectNoneRefused(responses)
	},
		Entry("one attempt", 1, false, false),
		Entry("two attempts", 2, false, false),
		Entry("five attempts", 5, false, false),
		Entry("one attempt, callers keep its ID", 1, true, false),
		Entry("five attempts, callers keep its ID", 5, true, false),
		Entry("two attempts, an entry that stops", 2, false, true),
	)
})
