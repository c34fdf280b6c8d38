package upstream_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/upstream"
)

var _ = Describe("A request that is refused again and again", func() {
	// Guards against a connection for each send of a request that is refused.
	It("does not keep a connection for each of its sends", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			fmt.Fprintf(nc, "HTTP/1.1 503 X\r\nId: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		}))
		p := upstream.NewPool(&counter{})
		for range 300 {
			r := request("same")
			r.ID = "same"
			resp, failure := p.Do(context.Background(), t.address(), r)
			Expect(failure).To(BeNil())
			_, _ = io.ReadAll(resp.Body)
		}
		GinkgoWriter.Printf("connections: %d\n", t.conns.Load())
		Expect(t.conns.Load()).To(BeNumerically("<", 100))
	})
})

var _ = Describe("A connection that is reset at once", func() {
	// Guards against a request that waits for its deadline although its connection has ended.
	It("ends a request with a long body at once", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		go func() {
			for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
				_ = nc.(*net.TCPConn).SetLinger(0)
				_ = nc.Close()
			}
		}()
		p := upstream.NewPool(&counter{})
		slow := 0
		began := time.Now()
		n := 0
		for ; n < 40000 && time.Since(began) < 15*time.Second; n++ {
			r := request("a")
			r.Body = bytes.Repeat([]byte("x"), 40<<10)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			at := time.Now()
			_, failure := p.Do(ctx, l.Addr().String(), r)
			Expect(failure).NotTo(BeNil())
			if time.Since(at) > 400*time.Millisecond {
				slow++
			}
			cancel()
		}
		GinkgoWriter.Printf("%d of %d requests waited for their deadline\n", slow, n)
		Expect(slow).To(BeZero())
	})
})
