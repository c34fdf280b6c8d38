package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Bytes that belong to no request, before the answer of a target that runs it", func() {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
	// Guards against bytes that are joined with the answer, or taken for it, and then say that
	// the request has not run.
	DescribeTable("are no reason to send the request to another target", func(stray string, first int) {
		f, ran := newFleet(0, 0), &runCount{}
		var targets []*scriptedTarget
		for range 3 {
			targets = append(targets, &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
				if !readBody(r) {
					return false
				}
				ran.add(requestIDOf(r))
				if n >= first {
					_, _ = io.WriteString(nc, strings.ReplaceAll(stray, "ID", requestIDOf(r)))
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
		Entry("a refusal that is cut after the name of a header, kept connection", refusal+"Retry-After: ", 1),
		Entry("a refusal that is cut after the name of a header, new connection", refusal+"Retry-After: ", 0),
		Entry("a misdirected one that is cut after the name of a header", "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ", 1),
		Entry("a refusal that is cut after a line", refusal, 1),
		Entry("a refusal that is cut in the name of a header", refusal+"Retry-Af", 1),
		Entry("a refusal that is cut in its body", refusal+"Content-Length: 400\r\n\r\nfull", 1),
		Entry("a refusal with an empty ID", refusal+"Attempt-Id: \r\nContent-Length: 0\r\n\r\n", 1),
		Entry("a refusal with an empty ID and that of another request", refusal+"Attempt-Id: \r\nAttempt-Id: other\r\nContent-Length: 0\r\n\r\n", 1),
		Entry("a refusal of HTTP/1.0", "HTTP/1.0 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n", 1),
		Entry("a refusal that ends with its connection", refusal+"Connection: close\r\n\r\n", 1),
		Entry("an empty line", "\r\n", 1),
		Entry("a line of text", "busy\r\n", 1),
		Entry("an answer without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 1),
	)
})
