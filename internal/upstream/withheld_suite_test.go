package upstream_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

// Guards against a request that is sent after its target has left, because it waited for a
// connection.
var _ = Describe("A request that may not be sent any more once there is a connection", func() {
	It("is not sent, on a new connection and on a kept one", func() {
		var received atomic.Int64
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			received.Add(1)
			reply(nc, "a", "ok")
		}))
		p := upstream.NewPool(&counter{})
		withheld := request("a")
		withheld.MaySend = func() bool { return false }
		for range 2 {
			_, failure := p.Do(context.Background(), t.address(), withheld)
			Expect(failure).NotTo(BeNil())
			Expect(failure.Cause).To(MatchError(upstream.ErrWithheld))
			Expect(failure.MaybeSent).To(BeFalse())

			resp, failure := p.Do(context.Background(), t.address(), request("a"))
			Expect(failure).To(BeNil())
			Expect(resp.Body.Close()).To(Succeed())
		}
		Consistently(received.Load).WithTimeout(200 * time.Millisecond).Should(BeEquivalentTo(2))
	})
})
