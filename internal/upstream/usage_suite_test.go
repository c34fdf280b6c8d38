package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

// Guards against a log from which nobody can tell on which connection a request went.
var _ = Describe("The usage of a connection", func() {
	send := func(p *upstream.Pool, address string) (upstream.Usage, *upstream.Error) {
		var usage upstream.Usage
		r := request("a")
		r.Usage = &usage
		resp, failure := p.Do(context.Background(), address, r)
		if failure == nil {
			_, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
		}
		return usage, failure
	}

	It("has the number of the connection and of the requests before", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) { reply(nc, "a", "ok") }))
		p := upstream.NewPool(&counter{})
		first, failure := send(p, t.address())
		Expect(failure).To(BeNil())
		Expect(first.Connection).NotTo(BeZero())
		Expect(first.Kept()).To(BeFalse())
		for before := 1; before <= 3; before++ {
			next, failure := send(p, t.address())
			Expect(failure).To(BeNil())
			Expect(next).To(Equal(upstream.Usage{Connection: first.Connection, Carried: before}))
			Expect(next.Kept()).To(BeTrue())
		}
		other, _ := send(upstream.NewPool(&counter{}), t.address())
		Expect(other.Carried).To(BeZero())
		Expect(other.Connection).NotTo(Equal(first.Connection))
	})

	It("is known of a request without a response", func() {
		t := newTarget(func(_ net.Conn, br *bufio.Reader) { _, _ = http.ReadRequest(br) })
		usage, failure := send(upstream.NewPool(&counter{}), t.address())
		Expect(failure).NotTo(BeNil())
		Expect(usage.Connection).NotTo(BeZero())
	})

	It("is empty if there was no connection", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		usage, failure := send(upstream.NewPool(&counter{}), address)
		Expect(failure.MaybeSent).To(BeFalse())
		Expect(usage).To(Equal(upstream.Usage{}))
	})
})
