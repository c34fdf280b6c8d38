package edge_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A silent target that ends its connection while another one runs the request", func() {
	// Guards against a caller who gets no answer although the other target is about to give it.
	It("does not end the send to the other one", func() {
		f, ran := newFleet(0, 0), &runCount{}
		var began atomic.Bool
		script := func(nc net.Conn, r *http.Request, _ int) bool {
			id := requestIDOf(r)
			ran.add(id)
			if began.CompareAndSwap(false, true) {
				// Silent targets are replaced after 500 ms.
				time.Sleep(650 * time.Millisecond)
				return false
			}
			time.Sleep(400 * time.Millisecond)
			return readBody(r) && answer(nc, id)
		}
		f.startScripted(&scriptedTarget{script: script}, &scriptedTarget{script: script})
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "idempotent", "raw", map[string]any{"max_attempts": 2, "timeout_ms": 5500}))
		f.start()
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Expect(ran.of(a.id)).To(Equal(2))
		Expect(a.status).To(Equal(200), a.body)
	})
})
