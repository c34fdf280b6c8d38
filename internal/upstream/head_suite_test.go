package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

var _ = Describe("The head of a response", func() {
	// open sends a request to a target that answers with further header lines, and returns
	// the response with its body unread.
	open := func(p *upstream.Pool, lines string) (*http.Response, *upstream.Error) {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 400\r\n%s\r\n%s", r.Header.Get("Id"), lines, strings.Repeat("\n", 400))
		}))
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		DeferCleanup(cancel)
		return p.Do(ctx, t.address(), request("a"))
	}
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "x%d:\r\n", i)
		}
		return b.String()
	}
	overBounds := func(_ *http.Response, failure *upstream.Error) {
		ExpectWithOffset(1, failure).NotTo(BeNil())
		ExpectWithOffset(1, failure.Cause).To(MatchError(upstream.ErrOverBounds))
	}

	// Guards against lines of a few bytes that take much more in memory.
	It("has a bound on its lines", func() {
		p := upstream.NewPool(&counter{})
		_, failure := open(p, lines(250))
		Expect(failure).To(BeNil())
		overBounds(open(p, lines(300)))
		overBounds(open(p, lines(10_000)))
	})

	// Guards against heads that are within their bound one by one and exceed the memory
	// together.
	It("shares room with others until the end of its response", func() {
		p := upstream.NewPool(&counter{}).WithHeadRoom(40 << 10)
		long := "Long: " + strings.Repeat("x", 40<<10) + "\r\n"
		first, failure := open(p, long)
		Expect(failure).To(BeNil())
		overBounds(open(p, long))
		_, failure = open(p, lines(10))
		Expect(failure).To(BeNil())
		Expect(first.Body.Close()).To(Succeed())
		Eventually(func() bool { _, failure := open(p, long); return failure == nil }).Should(BeTrue())
	})
})
