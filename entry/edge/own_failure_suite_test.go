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

var _ = Describe("A target's own failure whose status says that a request has not run, from a target that ran it", func() {
	long := strings.Repeat("overload", 1000)
	withLength := func(text string) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text)
	}
	forms := []struct {
		text, rest string
		// interim is written before the head, ends is true if the connection ends after the rest.
		interim string
		ends    bool
	}{
		{text: "short, with a length", rest: withLength("busy")},
		{text: "empty", rest: withLength("")},
		{text: "long, with a length", rest: withLength(long)},
		{text: "short, in chunks", rest: chunked + chunk("busy") + "0\r\n\r\n"},
		{text: "long, in chunks", rest: chunked + chunk(long) + chunk(long) + "0\r\n\r\n"},
		{text: "in chunks with Not-Executed in the trailer", rest: "Trailer: Not-Executed\r\n" + chunked + chunk("busy") + "0\r\nNot-Executed: 1\r\n\r\n"},
		{text: "short, without a length", rest: "Connection: close\r\n\r\nbusy", ends: true},
		{text: "long, without a length", rest: "\r\n" + long, ends: true},
		{text: "cut in its body", rest: "Content-Length: 9000\r\n\r\n" + long, ends: true},
		{text: "cut in a chunk", rest: chunked + chunk(long) + "40\r\nbusy", ends: true},
		{text: "cut before its last chunk", rest: chunked + chunk(long), ends: true},
		{text: "over the size of any response", rest: "Content-Length: 20000000\r\n\r\n" + long, ends: true},
		{text: "with several megabytes", rest: withLength(strings.Repeat(long, 512))},
		{text: "with Retry-After and Connection: close", rest: "Retry-After: 0.5\r\nConnection: close\r\n" + withLength("busy"), ends: true},
		{text: "with an encoding", rest: "Content-Encoding: gzip\r\n" + withLength("busy")},
		{text: "as a stream of events", rest: eventStream + chunk(numbered(1)) + "0\r\n\r\n"},
		{text: "after an interim response", interim: "HTTP/1.1 103 Early Hints\r\n\r\n", rest: withLength("busy")},
		{text: "after an extra response to another request", interim: "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n", rest: withLength("busy")},
	}
	for _, form := range forms {
		// Guards against callers who are told that a request has not run which a target ran.
		It("is passed on to no caller: "+form.text, func() {
			f, ran := newFleet(0, 0), &runCount{}
			var status atomic.Int64
			var targets []*scriptedTarget
			for range 3 {
				targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
					if !readBody(r) {
						return false
					}
					ran.add(requestIDOf(r))
					_, err := io.WriteString(nc, form.interim+head(int(status.Load()), requestIDOf(r), form.rest))
					return err == nil && !form.ends
				}})
			}
			f.startScripted(targets...)
			f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
				route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 5}),
				route("one", "/one/", "non_idempotent", "raw", map[string]any{"max_attempts": 1}),
				route("flow", "/flow/", "stream", "raw", map[string]any{"max_attempts": 5, "resumable": false}))
			f.start()
			for _, path := range []string{"/call/1", "/one/1", "/flow/1"} {
				for _, s := range []int64{503, 429, 408} {
					status.Store(s)
					ran.expectOnce(f.call(context.Background(), 0, "POST", path, nil, "x"))
				}
			}
			Expect(ran.requests()).To(BeNumerically(">", 2))
		})
	}

	// Guards against callers of streams that may be resumed who are told that nothing has run.
	DescribeTable("is passed on to no caller of a stream that may be resumed", func(status int) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 2 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				_, err := io.WriteString(nc, head(status, requestIDOf(r), withLength("busy")))
				return err == nil
			}})
		}
		f.startScripted(targets...)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("events", "/events/", "stream", "raw", map[string]any{"resumable": true}))
		f.start()
		a := f.call(context.Background(), 0, "POST", "/events/1", nil, "x")
		Expect(ran.of(a.id)).To(BeNumerically(">", 0))
		Expect(a.status).To(Equal(http.StatusBadGateway), a.body)
	},
		Entry("503", 503), Entry("429", 429), Entry("408", 408),
	)

	// Guards against a promise in the answer to a caller while the memory for answers is used up.
	It("is passed on to no caller: beyond the room for answers", func() {
		f, ran := newFleet(0, 0), &runCount{}
		t := &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			if !readBody(r) {
				return false
			}
			ran.add(requestIDOf(r))
			_, _ = io.WriteString(nc, head(503, requestIDOf(r), "Content-Length: 12000000\r\n\r\n"))
			part := strings.Repeat("x", 1_000_000)
			for range 12 {
				if _, err := io.WriteString(nc, part); err != nil {
					return false
				}
				time.Sleep(20 * time.Millisecond)
			}
			return true
		}}
		f.startScripted(t)
		f.configureOnce(2)
		f.start()
		responses := callEach(30, func(int) response {
			return f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		})
		awaitIdle(t)
		Expect(ran.requests()).To(BeNumerically(">", 1))
		for _, a := range responses {
			ran.expectOnce(a)
		}
	})
})
