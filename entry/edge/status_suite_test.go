package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a caller that gets the status of what is no answer, or waits until its route's
// timeout because the target has answered with it.
var _ = Describe("A target that answers with a status that does not exist", func() {
	const timeout = 2500 * time.Millisecond
	// odd returns the response to the request with an ID, which is whole but for its status line.
	odd := func(status, fields string) func(id string) string {
		return func(id string) string {
			return strings.Replace(head(200, id, fields+"Content-Length: 2\r\n\r\nok"), "200 X", status, 1)
		}
	}
	DescribeTable("does not reach the caller", func(response func(id string) string) {
		f := newFleet(0, 0)
		ran, arrived := &runCount{}, &atomic.Int64{}
		target := func(answers func(id string) string) *scriptedTarget {
			return &scriptedTarget{script: func(nc net.Conn, r *http.Request, _ int) bool {
				if !readBody(r) {
					return false
				}
				id := requestIDOf(r)
				ran.add(id)
				arrived.Add(1)
				_, err := io.WriteString(nc, answers(id))
				return err == nil
			}}
		}
		f.startScripted(target(response))
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 1, "timeout_ms": timeout.Milliseconds()}),
			route("read", "/read/", "idempotent", "raw", map[string]any{"max_attempts": 2, "timeout_ms": timeout.Milliseconds()}))
		f.start()

		for range 3 {
			began := time.Now()
			a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
			Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
			Expect(time.Since(began)).To(BeNumerically("<", timeout/2))
			ran.expectOnce(a)
		}

		sound := target(func(id string) string { return head(200, id, "Content-Length: 2\r\n\r\nok") })
		sound.start()
		DeferCleanup(sound.crash)
		f.store.RegisterAddress("sound", sound.address, 8)
		time.Sleep(500 * time.Millisecond)
		for range 6 {
			a := f.call(context.Background(), 0, "GET", "/read/1", nil, "")
			Expect(a.status).To(Equal(http.StatusOK), a.body)
			Expect(a.body).To(Equal("ok"))
		}
	},
		Entry("000", odd("000 Odd", "")),
		Entry("001", odd("001 Odd", "")),
		Entry("099", odd("099 Odd", "")),
		Entry("+20", odd("+20 Odd", "")),
		Entry("101 without an upgrade", odd("101 Switching Protocols", "")),
		Entry("103 with a length", odd("103 Early Hints", "")),
		Entry("600", odd("600 Odd", "")),
		Entry("700", odd("700 Odd", "")),
		Entry("999", odd("999 Odd", "")),
		Entry("one that is not a number", odd("2x0 Odd", "")),
	)

	It("passes over interim answers that exist", func() {
		f := newFleet(0, 0)
		f.startScripted(&scriptedTarget{script: func(nc net.Conn, r *http.Request, _ int) bool {
			if !readBody(r) {
				return false
			}
			_, err := fmt.Fprintf(nc, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n%s", head(200, requestIDOf(r), "Content-Length: 2\r\n\r\nok"))
			return err == nil
		}})
		f.configureOnce(1)
		f.start()
		Expect(f.call(context.Background(), 0, "POST", "/call/1", nil, "x").body).To(Equal("ok"))
	})
})
