package edge_test

import (
	"context"
	"io"
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("An answer without length and chunks", func() {
	// Guards against an answer that was cut off and seems whole to the caller.
	DescribeTable("ends with its connection", func(path string, body string, reset bool, status int, whole bool) {
		f := newFleet(0, 0)
		address, _, _ := serveRaw(func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, head(200, id, "\r\n")+body)
			if reset {
				_ = nc.(*net.TCPConn).SetLinger(0)
			}
		})
		f.store.RegisterAddress("raw", address, 8)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 1}),
			route("flow", "/flow/", "stream", "raw", map[string]any{"max_attempts": 1, "resumable": false}))
		f.start()
		a := f.call(context.Background(), 0, "POST", path, nil, "")
		Expect(a.status).To(Equal(status))
		if whole {
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(body))
		} else if status == 200 {
			Expect(a.err).To(HaveOccurred())
		}
	},
		Entry("a stream", "/flow/", standin.Event("x", 1)+standin.Event("x", 2), false, 200, true),
		Entry("a stream that ends inside an event", "/flow/", standin.Event("x", 1)+"id: 2\nda", false, 200, false),
		Entry("a stream that ends before its first event", "/flow/", "", false, 502, false),
		Entry("a body", "/call/", "body", false, 200, true),
		Entry("a body whose connection is reset", "/call/", "body", true, 502, false),
	)
})
