package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

var _ = Describe("A target that pauses before its answer is complete", func() {
	// ask returns the failure of a request, nil if it was answered. The target writes
	// the parts with a pause between two.
	ask := func(pause time.Duration, parts ...string) *upstream.Error {
		t := newTarget(respondToEach(func(nc net.Conn, _ *http.Request) {
			for i, part := range parts {
				if i > 0 {
					time.Sleep(pause)
				}
				fmt.Fprint(nc, part)
			}
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		resp, failure := upstream.NewPool(&counter{}).Do(ctx, t.address(), request("a"))
		if failure == nil {
			_ = resp.Body.Close()
		}
		return failure
	}
	const answer = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok"

	// Guards against the end of a request whose target falls silent for a second or so
	// and goes on.
	DescribeTable("is waited for", func(pause time.Duration, parts ...string) {
		Expect(ask(pause, parts...)).To(BeNil())
	},
		Entry("inside the head", 2200*time.Millisecond, answer[:20], answer[20:]),
		Entry("inside the body of an answer to another request", 1200*time.Millisecond, "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 2\r\n\r\no", "k"+answer),
		Entry("between two interim answers", 5500*time.Millisecond, "HTTP/1.1 103 Early\r\n\r\n", answer),
	)

	// Guards against a bound for each head alone, which many heads multiply.
	It("is given up when its pauses add up", func() {
		const interim = "3 Early\r\n\r\nHTTP/1.1 10"
		began := time.Now()
		failure := ask(1200*time.Millisecond, "HTTP/1.1 10", interim, interim, interim, interim, interim, interim, interim)
		Expect(failure).NotTo(BeNil())
		Expect(failure.Cause).To(MatchError(upstream.ErrOverBounds))
		Expect(time.Since(began)).To(BeNumerically("<", 8*time.Second))
	})
})
