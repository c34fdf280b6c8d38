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

// cutTarget answers the requests of a connection and ends the connection after the first bytes
// of an answer. It is safe for concurrent use.
type cutTarget struct {
	// answer is the answer with ID for the ID of the request, bytes how much of it is sent.
	answer string
	bytes  atomic.Int64
	// keep makes the target answer the first request of each connection in full, reset makes
	// it reset the connection.
	keep, reset bool
	requests    atomic.Int64
}

func (t *cutTarget) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := standin.RequestID(r.Header)
		if t.keep && n == 0 && t.bytes.Load() == 0 {
			_, _ = io.WriteString(nc, head(200, id, "Content-Length: 2\r\n\r\nok"))
			continue
		}
		t.requests.Add(1)
		answer := strings.ReplaceAll(t.answer, "ID", id)
		_, _ = io.WriteString(nc, answer[:min(len(answer), int(t.bytes.Load()))])
		if t.reset {
			_ = nc.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

var _ = Describe("A target that closes in the middle of its answer's head", func() {
	const framed, inChunks, unframed = "Content-Length: 2\r\n\r\nok", chunked + "2\r\nok\r\n0\r\n\r\n", "\r\nok"
	// Guards against a success with an empty or short body that seems whole.
	DescribeTable("gives no caller a success", func(rest, interim string, keep, reset bool) {
		f := newFleet(0, 0)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", nil), route("look", "/look/", "idempotent", "raw", nil),
			route("events", "/events/", "stream", "raw", nil), route("once", "/once/", "stream", "raw", map[string]any{"resumable": false}))
		whole := interim + head(200, "ID", rest)
		t := &cutTarget{answer: whole, keep: keep, reset: reset}
		l := listen("127.0.0.1:0")
		DeferCleanup(l.Close)
		go func() {
			for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
				go t.serve(nc)
			}
		}()
		f.store.RegisterAddress("raw-0", l.Addr().String(), 8)
		f.start()
		for n := range strings.Index(whole, rest) + strings.Index(rest, "\r\n\r\n") + 4 {
			for _, path := range []string{"/call/1", "/look/1", "/events/1", "/once/1"} {
				if keep {
					t.bytes.Store(0)
					f.call(context.Background(), 0, "GET", "/look/1", nil, "")
				}
				t.bytes.Store(int64(n))
				before := t.requests.Load()
				a := f.call(context.Background(), 0, "POST", path, nil, "x")
				Expect(a.status < 200 || a.status > 299 || a.err != nil).To(BeTrue(), fmt.Sprintf("%s after %d bytes: %d %q", path, n, a.status, a.body))
				Expect(a.body).NotTo(ContainSubstring("Attempt-Id"))
				Expect(t.requests.Load()-before).To(BeNumerically("<=", 1), path)
			}
		}
	},
		Entry("with a length", framed, "", false, false),
		Entry("in chunks", inChunks, "", false, false),
		Entry("without a length", unframed, "", false, false),
		Entry("with a length, by a reset", framed, "", false, true),
		Entry("without a length, by a reset", unframed, "", false, true),
		Entry("with a length, on a kept connection", framed, "", true, false),
		Entry("without a length, on a kept connection, by a reset", unframed, "", true, true),
		Entry("after an interim answer", framed, "HTTP/1.1 103 Early\r\n\r\n", false, false),
		Entry("without a length, after an interim answer", unframed, "HTTP/1.1 103 Early\r\n\r\n", false, false),
	)

	// Guards against a stream or body in chunks that seems whole without its last line.
	DescribeTable("gives no caller a whole body if the end of the chunks is missing", func(path, end string) {
		f := newFleet(0, 0)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
			route("call", "/call/", "non_idempotent", "raw", nil), route("once", "/once/", "stream", "raw", map[string]any{"resumable": false}))
		address, _, requests := serveRaw(func(nc net.Conn, id string) {
			_, _ = io.WriteString(nc, head(200, id, eventStream)+chunk(numbered(1))+end)
		})
		f.store.RegisterAddress("raw-0", address, 8)
		f.start()
		a := f.call(context.Background(), 0, "GET", path, nil, "")
		Expect(a.status != 200 || a.err != nil).To(BeTrue(), a.body)
		Expect(requests.Load()).To(BeEquivalentTo(1))
	},
		Entry("a call without the last chunk", "/call/1", ""),
		Entry("a call without the last line", "/call/1", "0\r\n"),
		Entry("a call without half of the last line", "/call/1", "0\r\n\r"),
		Entry("a call without the end of its trailer", "/call/1", "0\r\nX-End: 1\r\n"),
		Entry("a stream without the last chunk", "/once/1", ""),
		Entry("a stream without the last line", "/once/1", "0\r\n"),
		Entry("a stream without half of the last line", "/once/1", "0\r\n\r"),
		Entry("a stream without the end of its trailer", "/once/1", "0\r\nX-End: 1\r\n"),
	)
})
