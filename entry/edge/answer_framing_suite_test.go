package edge_test

import (
	"bufio"
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

// framing returns the status of the response to a request on a connection of its own, and
// whether its body has a length, comes in chunks or ends with the connection.
func (f *fleet) framing(request string) (status int, framing string) {
	GinkgoHelper()
	nc, err := net.Dial("tcp", f.settings[0].Listen)
	Expect(err).NotTo(HaveOccurred())
	defer nc.Close()
	_, err = io.WriteString(nc, request)
	Expect(err).NotTo(HaveOccurred())
	_ = nc.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	switch {
	case len(resp.TransferEncoding) > 0:
		return resp.StatusCode, resp.TransferEncoding[0]
	case resp.ContentLength >= 0:
		return resp.StatusCode, "length"
	}
	return resp.StatusCode, "connection"
}

var _ = Describe("The body of an answer", func() {
	const length, chunks = "length", "chunked"
	short, long := "busy", strings.Repeat("overload", 300)
	framed := func(text string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text) }
	inChunks := func(text string) string { return chunked + chunk(text) + "0\r\n\r\n" }
	const wholeBody, bodyInChunks, halfABody = "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"

	// Guards against refusals of an entry that callers cannot tell from a target's answer in chunks.
	DescribeTable("has a length if the entry refuses", func(path, id, rest string, status int) {
		f := newFleet(0, 0)
		t := &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			readBody(r)
			_, err := io.WriteString(nc, full.text(requestIDOf(r)))
			return err == nil
		}}
		f.startScripted(t)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}, {"name": "none"}}},
			route("call", "/call/", "non_idempotent", "raw", nil),
			route("short", "/short/", "non_idempotent", "raw", map[string]any{"timeout_ms": 300}),
			route("none", "/none/", "non_idempotent", "none", nil))
		f.start()
		gotStatus, got := f.framing(rawRequest(path, id, rest))
		Expect(gotStatus).To(Equal(status))
		Expect(got).To(Equal(length))
	},
		Entry("as a target is full", "/call/1", "a", wholeBody, 503),
		Entry("as a target is full, a body in chunks", "/call/1", "a", bodyInChunks, 503),
		Entry("as there is no target", "/none/1", "a", wholeBody, 503),
		Entry("as there is no target, a body in chunks", "/none/1", "a", bodyInChunks, 503),
		Entry("an unknown route, half a body in chunks", "/nowhere/", "a", halfABody, 404),
		Entry("a request without an ID", "/call/1", "", halfABody, 400),
		Entry("a body that stands still", "/short/1", "a", halfABody, 408),
		Entry("a body with a length that stands still", "/short/1", "a", "Content-Length: 9\r\n\r\nx", 408),
	)

	// Guards against an answer of a target that reaches its caller with other bytes or without
	// its end.
	DescribeTable("of a target", func(rest string, ends bool, want string) {
		f := newFleet(0, 0)
		var status atomic.Int64
		t := &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			readBody(r)
			_, err := io.WriteString(nc, head(int(status.Load()), requestIDOf(r), rest))
			return err == nil && !ends
		}}
		f.startScripted(t)
		f.configureOnce(1)
		f.start()
		for _, s := range []int64{200, 500} {
			status.Store(s)
			for _, body := range []string{wholeBody, bodyInChunks} {
				gotStatus, got := f.framing(rawRequest("/call/1", "a", body))
				Expect(gotStatus).To(BeEquivalentTo(s))
				Expect(got).To(Equal(want))
			}
		}
		status.Store(503)
		gotStatus, got := f.framing(rawRequest("/call/1", "a", bodyInChunks))
		GinkgoWriter.Printf("own 503: %d, %s\n", gotStatus, got)
		Expect(gotStatus).To(Equal(http.StatusBadGateway))
		Expect(got).To(Equal(length))
	},
		Entry("has a length if it has one there", framed(short), false, length),
		Entry("comes in chunks if it is long and has a length there", framed(long), false, chunks),
		Entry("has a length if it is short and comes in chunks", inChunks(short), false, length),
		Entry("comes in chunks if it is long and does so", inChunks(long), false, chunks),
		Entry("has a length if it is short and ends with its connection", "\r\n"+short, true, length),
		Entry("comes in chunks if it is long and ends with its connection", "\r\n"+long, true, chunks),
	)
})
