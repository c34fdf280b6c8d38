package edge_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A send that was given up before its refusal came", func() {
	// Guards against the late refusal of a send that counts as that of the next send of its request.
	DescribeTable("says nothing of the next send of its request", func(kind string, targets int, header map[string]string, leaveAfter time.Duration) {
		f, ran := newFleet(0, 0), &runCount{}
		var mu sync.Mutex
		seen, refused := make(map[string]bool), make(map[net.Conn]bool)
		reused := 0
		script := func(nc net.Conn, r *http.Request, _ int) bool {
			id := requestIDOf(r)
			mu.Lock()
			first := !seen[id]
			seen[id] = true
			if refused[nc] {
				reused++
			}
			refused[nc] = refused[nc] || first
			mu.Unlock()
			if !readBody(r) {
				return false
			}
			if first {
				time.Sleep(700 * time.Millisecond)
				full.write(nc, id)
				return full.write(nc, id)
			}
			ran.add(id)
			time.Sleep(100 * time.Millisecond)
			return answer(nc, id)
		}
		var list []*scriptedTarget
		for range targets {
			list = append(list, &scriptedTarget{script: script})
		}
		f.startScripted(list...)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", kind, "raw", map[string]any{"max_attempts": 2, "timeout_ms": 5500}))
		f.start()
		for i := range 3 {
			id := fmt.Sprintf("given-up-%d-%d", f.subnet, i)
			ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
			all := map[string]string{"Attempt-Id": id}
			for name, value := range header {
				all[name] = value
			}
			f.call(ctx, 0, "POST", "/call/1", all, "x")
			cancel()
			before := ran.of(id)
			a := f.call(context.Background(), 0, "POST", "/call/1", map[string]string{"Attempt-Id": id}, "x")
			Expect(ran.of(id)).To(Equal(before+1), "%d %s", a.status, a.body)
			Expect(a.status).To(Equal(200), a.body)
		}
		mu.Lock()
		defer mu.Unlock()
		Expect(reused).To(BeZero())
	},
		Entry("by its caller", "non_idempotent", 1, nil, 300*time.Millisecond),
		Entry("at its deadline", "non_idempotent", 1, map[string]string{"Deadline-Ms": "300"}, 2*time.Second),
		Entry("by its caller, if it may be repeated", "idempotent", 1, nil, 300*time.Millisecond),
		Entry("at its deadline, if it may be repeated", "idempotent", 1, map[string]string{"Deadline-Ms": "300"}, 2*time.Second),
		Entry("for another target, because its own was silent", "idempotent", 2, nil, 2*time.Second),
	)
})
