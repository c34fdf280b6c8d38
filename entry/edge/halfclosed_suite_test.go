package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

var _ = Describe("A caller that closes its sending side", func() {
	const slots = 4
	// Guards against an answer that seems whole although the entry gave the request up.
	DescribeTable("gets no whole answer for a request that was given up", func(path string, begun string, others int) {
		f := newFleet(0, 0)
		address, _, requests := serveRaw(func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, begun)
			_, _ = io.Copy(io.Discard, nc)
		})
		f.store.RegisterAddress("raw", address, slots)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 1}),
			route("flow", "/flow/", "stream", "raw", map[string]any{"max_attempts": 1, "resumable": false}))
		f.start()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for range others {
			go f.call(ctx, 0, "POST", path, nil, "")
		}
		Eventually(requests.Load).Should(BeEquivalentTo(others))

		nc, err := net.Dial("tcp", f.settings[0].Listen)
		Expect(err).NotTo(HaveOccurred())
		defer nc.Close()
		fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: half\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n", path)
		time.Sleep(200 * time.Millisecond)
		Expect(nc.(*net.TCPConn).CloseWrite()).To(Succeed())
		_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(resp != nil).To(Equal(begun != ""))
		Expect(requests.Load()).To(BeEquivalentTo(min(others+1, slots)))
	},
		Entry("without an answer", "/call/", "", 0),
		Entry("in a stream", "/flow/", head(200, "half", chunked)+chunk(standin.Event("half", 1)), 0),
		Entry("while it waits for a target", "/call/", "", slots),
	)
})
