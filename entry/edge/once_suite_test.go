package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("A request that may run once, whose connection ends", func() {
	// Guards against a second send of a request that its target may have run.
	DescribeTable("reaches one target", func(attempts, bodyBytes int, readBody float64, reset, keep bool) {
		f := newFleet(0, 0)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": attempts}),
			route("once", "/once/", "stream", "raw", map[string]any{"max_attempts": attempts, "resumable": false}))
		var reached atomic.Int64
		serve := func(nc net.Conn) {
			defer nc.Close()
			br := bufio.NewReader(nc)
			for n := 0; ; n++ {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				if keep && n == 0 {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(nc, head(200, standin.RequestID(r.Header), "Content-Length: 2\r\n\r\nok"))
					continue
				}
				reached.Add(1)
				_, _ = io.CopyN(io.Discard, r.Body, int64(readBody*float64(bodyBytes)))
				if reset {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
				return
			}
		}
		for i := range 3 {
			l := listen("127.0.0.1:0")
			DeferCleanup(l.Close)
			go func() {
				for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
					go serve(nc)
				}
			}()
			f.store.RegisterAddress(fmt.Sprintf("raw-%d", i), l.Addr().String(), 8)
		}
		f.start()
		for _, path := range []string{"/call/1", "/once/1"} {
			for range 6 {
				before := reached.Load()
				a := f.call(context.Background(), 0, "POST", path, nil, strings.Repeat("x", bodyBytes))
				Expect(reached.Load()-before).To(BeNumerically("<=", 1), path)
				if reached.Load() > before {
					Expect(a.status).To(Equal(502), path)
				}
			}
		}
		Expect(reached.Load()).To(BeNumerically(">", 0))
	},
		Entry("before its body is read", 2, 60000, 0.0, true, false),
		Entry("in its body", 2, 60000, 0.5, true, false),
		Entry("in its body, one attempt", 1, 60000, 0.5, false, false),
		Entry("in its body, five attempts", 5, 60000, 0.5, true, false),
		Entry("after its body, by a reset", 2, 600, 1.0, true, false),
		Entry("after its body, five attempts", 5, 600, 1.0, false, false),
		Entry("on a kept connection, before its body is read", 2, 60000, 0.0, true, true),
		Entry("on a kept connection, after its body", 5, 600, 1.0, false, true),
	)
})
