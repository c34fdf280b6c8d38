package edge_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A refusal that is cut in its status line, before the answer of a target that runs the request", func() {
	// Guards against the status of one response that is taken together with the headers of another.
	DescribeTable("does not say that the request has not run", func(stray string, first int) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 3 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				if n >= first {
					_, _ = io.WriteString(nc, stray)
				}
				return answer(nc, requestIDOf(r))
			}})
		}
		f.startScripted(targets...)
		f.configureOnce(5)
		f.start()
		var responses []response
		for range 12 {
			responses = append(responses, f.call(context.Background(), 0, "POST", "/call/1", nil, "x"))
		}
		awaitIdle(targets...)
		Expect(ran.requests()).To(BeNumerically(">", 0))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	},
		Entry("421 after the status, new connection", "HTTP/1.1 421 ", 0),
		Entry("421 in the reason, new connection", "HTTP/1.1 421 Misdirected Requ", 0),
		Entry("421 in the reason, kept connection", "HTTP/1.1 421 Misdirected Requ", 1),
		Entry("421 in the line's end, kept connection", "HTTP/1.1 421 Misdirected Request\r", 1),
		Entry("503 in the reason, new connection", "HTTP/1.1 503 Service Unavai", 0),
		Entry("503 in the reason, kept connection", "HTTP/1.1 503 Service Unavai", 1),
		Entry("429 in the reason, kept connection", "HTTP/1.1 429 Too Ma", 1),
		Entry("408 in the reason, kept connection", "HTTP/1.1 408 Request Ti", 1),
	)
})

var _ = Describe("A signed failure without Not-Executed, from a target that runs the request", func() {
	// Guards against a promise that the target has not made: Not-Executed alone says so.
	DescribeTable("does not say that the request has not run", func(status int) {
		f, ran := newFleet(0, 0), &runCount{}
		t := &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			if !readBody(r) {
				return false
			}
			ran.add(requestIDOf(r))
			_, err := io.WriteString(nc, head(status, requestIDOf(r), "Content-Length: 2\r\n\r\nok"))
			return err == nil
		}}
		f.startScripted(t)
		f.configureOnce(2)
		f.start()
		for range 3 {
			ran.expectOnce(f.call(context.Background(), 0, "POST", "/call/1", nil, "x"))
		}
	},
		Entry("408", 408), Entry("429", 429), Entry("503", 503),
	)
})

var _ = Describe("A refusal of any status that is written again on its connection, for the same attempt", func() {
	// Guards against a refusal that the connection does not record, because of its status.
	DescribeTable("does not say that the request has not run", func(status int) {
		f, ran := newFleet(0, 0), &runCount{}
		t := &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			if !readBody(r) {
				return false
			}
			text := fmt.Sprintf("HTTP/1.1 %d X\r\nNot-Executed: 1\r\nContent-Length: 0\r\nAttempt-Id: %s\r\n\r\n", status, requestIDOf(r))
			_, _ = io.WriteString(nc, text)
			if n == 0 {
				return true
			}
			ran.add(requestIDOf(r))
			return answer(nc, requestIDOf(r))
		}}
		f.startScripted(t)
		f.configureOnce(2)
		f.start()
		id := "same-id-1"
		for range 3 {
			a := f.call(context.Background(), 0, "POST", "/call/1", map[string]string{"Attempt-Id": id}, "x")
			a.id = id
			ran.expectOnce(a)
		}
	},
		Entry("503", 503), Entry("400", 400), Entry("500", 500),
	)
})
