package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A refusal without an ID, from a target that runs the request", func() {
	const (
		full       = "503 Service Unavailable\r\nNot-Executed: 1"
		limited    = "429 Too Many Requests\r\nNot-Executed: 1"
		timeout    = "408 Request Timeout\r\nNot-Executed: 1"
		misplaced  = "421 Misdirected Request"
		unpromised = "503 Service Unavailable"
	)
	type script = func(ran *runCount, refusal string) *scriptedTarget
	run := func(ran *runCount, nc net.Conn, r *http.Request) bool {
		ran.add(requestIDOf(r))
		return answer(nc, requestIDOf(r))
	}
	// keptAfter refuses the second request of each connection after a pause, and runs it.
	keptAfter := func(pause time.Duration, times int) script {
		return func(ran *runCount, refusal string) *scriptedTarget {
			return &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				readBody(r)
				if n > 0 {
					time.Sleep(pause)
					_, _ = io.WriteString(nc, strings.Repeat(refusalWithoutID(refusal), times))
				}
				return run(ran, nc, r)
			}}
		}
	}
	// afterAnswer writes the refusal after the first response of a connection, whether or not a
	// request has arrived by then.
	afterAnswer := func(pause time.Duration) script {
		return func(ran *runCount, refusal string) *scriptedTarget {
			return &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				readBody(r)
				ok := run(ran, nc, r)
				if n == 0 {
					time.AfterFunc(pause, func() { _, _ = io.WriteString(nc, refusalWithoutID(refusal)) })
				}
				return ok
			}}
		}
	}
	beforeRequest := func(ran *runCount, refusal string) *scriptedTarget {
		return &scriptedTarget{greeting: refusalWithoutID(refusal), script: func(nc net.Conn, r *http.Request, n int) bool {
			readBody(r)
			return run(ran, nc, r)
		}}
	}
	onNew := func(ran *runCount, refusal string) *scriptedTarget {
		return &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			readBody(r)
			_, _ = io.WriteString(nc, refusalWithoutID(refusal))
			return run(ran, nc, r)
		}}
	}
	// inInterim writes the refusal between two interim responses, from request first of a
	// connection on.
	inInterim := func(first int) script {
		return func(ran *runCount, refusal string) *scriptedTarget {
			return &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				readBody(r)
				if n >= first {
					const hints = "HTTP/1.1 103 Early Hints\r\n\r\n"
					_, _ = io.WriteString(nc, hints+refusalWithoutID(refusal)+hints)
				}
				return run(ran, nc, r)
			}}
		}
	}
	// inBody writes the refusal after half of a body, from request first of a connection on, and
	// reads on after a pause.
	inBody := func(first int, pause time.Duration) script {
		return func(ran *runCount, refusal string) *scriptedTarget {
			return &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if n >= first {
					_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/2)
					_, _ = io.WriteString(nc, refusalWithoutID(refusal))
					time.Sleep(pause)
				}
				return readBody(r) && run(ran, nc, r)
			}}
		}
	}
	// Guards against a second run of a request, and against callers who are told that a request
	// has not run, because of a response that does not name it.
	DescribeTable("is no reason to send the request to another target", func(target script, refusal string, maxAttempts, bodyBytes, calls int) {
		f, ran := newFleet(0, 0), &runCount{}
		targets := []*scriptedTarget{target(ran, refusal), target(ran, refusal), target(ran, refusal)}
		f.startScripted(targets...)
		f.configureOnce(maxAttempts)
		f.start()
		var responses []response
		for range calls {
			responses = append(responses, f.call(context.Background(), 0, "POST", "/call/1", nil, strings.Repeat("x", bodyBytes)))
		}
		awaitIdle(targets...)
		Expect(ran.requests()).To(BeNumerically(">", 0))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	},
		Entry("on a kept connection, 503", keptAfter(0, 1), full, 1, 600, 40),
		Entry("on a kept connection, 503, two attempts", keptAfter(0, 1), full, 2, 600, 40),
		Entry("on a kept connection, 503, five attempts", keptAfter(0, 1), full, 5, 600, 40),
		Entry("on a kept connection, 429", keptAfter(0, 1), limited, 1, 600, 40),
		Entry("on a kept connection, 421", keptAfter(0, 1), misplaced, 1, 600, 40),
		Entry("on a kept connection, 408", keptAfter(0, 1), timeout, 1, 600, 40),
		Entry("on a kept connection, 503 without a promise", keptAfter(0, 1), unpromised, 2, 600, 40),
		Entry("on a kept connection, 50 ms late", keptAfter(50*time.Millisecond, 1), full, 2, 600, 12),
		Entry("on a kept connection, 800 ms late", keptAfter(800*time.Millisecond, 1), full, 2, 600, 4),
		Entry("on a kept connection, five times", keptAfter(0, 5), full, 2, 600, 40),
		Entry("just after the first answer of a connection", afterAnswer(0), full, 2, 600, 400),
		Entry("1 ms after the first answer of a connection", afterAnswer(time.Millisecond), full, 2, 600, 400),
		Entry("before the request of a new connection is read, 503", beforeRequest, full, 2, 600, 40),
		Entry("before the request of a new connection is read, 421", beforeRequest, misplaced, 2, 600, 40),
		Entry("on a new connection, 503", onNew, full, 2, 600, 40),
		Entry("on a new connection, 421", onNew, misplaced, 2, 600, 40),
		Entry("between interim responses of a new connection", inInterim(0), full, 2, 600, 40),
		Entry("between interim responses of a kept connection", inInterim(1), full, 2, 600, 40),
		Entry("in the middle of a long body of a new connection", inBody(0, 0), full, 2, 60000, 40),
		Entry("in the middle of a long body of a kept connection", inBody(1, 0), full, 2, 60000, 40),
		Entry("in the middle of a long body, 50 ms before the rest is read", inBody(0, 50*time.Millisecond), full, 2, 60000, 12),
	)
})
