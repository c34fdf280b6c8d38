package edge_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rawRequest returns a request with its first header lines and the rest of it.
func rawRequest(path, id, rest string) string {
	text := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 5000\r\n"
	if id != "" {
		text += "Attempt-Id: " + id + "\r\n"
	}
	return text + rest
}

// answersOn reads the responses on a connection until it ends, or none has come for a second.
func answersOn(nc net.Conn) (statuses []int, ids []string) {
	br := bufio.NewReader(nc)
	for {
		_ = nc.SetReadDeadline(time.Now().Add(time.Second))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
		if err != nil {
			return statuses, ids
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses, ids = append(statuses, resp.StatusCode), append(ids, resp.Header.Get("Attempt-Id"))
	}
}

var _ = Describe("The rest of the body of a request that was answered before its body was read", func() {
	// hidden is a request inside a body.
	hidden := rawRequest("/call/1", "hidden", "Content-Length: 1\r\n\r\nx")
	const inChunks = "Transfer-Encoding: chunked\r\n\r\n"
	var (
		f   *fleet
		ran *runCount
		t   *scriptedTarget
	)
	BeforeEach(func() {
		f, ran = newFleet(0, 0), &runCount{}
		t = &scriptedTarget{script: func(nc net.Conn, r *http.Request, n int) bool {
			if !readBody(r) {
				return false
			}
			ran.add(requestIDOf(r))
			return answer(nc, requestIDOf(r))
		}}
		f.startScripted(t)
		f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}, {"name": "none"}}},
			route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": 1}),
			route("short", "/short/", "non_idempotent", "raw", map[string]any{"timeout_ms": 300}),
			route("none", "/none/", "non_idempotent", "none", nil))
		f.start()
	})
	// Guards against a target that runs what a caller sent as part of a body, and against a
	// promise for a request that ran.
	DescribeTable("is taken for no request", func(path, id, head, rest string, pause time.Duration, status int) {
		nc, err := net.Dial("tcp", f.settings[0].Listen)
		Expect(err).NotTo(HaveOccurred())
		defer nc.Close()
		_, err = io.WriteString(nc, rawRequest(path, id, head))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(pause)
		// The entry may have closed the connection.
		_, _ = io.WriteString(nc, rest)
		statuses, ids := answersOn(nc)
		Expect(ids).NotTo(ContainElement("hidden"))
		Expect(ran.of("hidden")).To(BeZero())
		if status != 0 {
			Expect(statuses).To(HaveExactElements(status))
			Expect(ran.requests()).To(BeZero())
		}
		a := f.call(context.Background(), 0, "POST", "/call/1", nil, "x")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(ran.of(a.id)).To(Equal(1))
	},
		Entry("unknown route, chunks behind the answer", "/nowhere/", "a", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", 100*time.Millisecond, 404),
		Entry("unknown route, chunks at once", "/nowhere/", "a", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", time.Duration(0), 404),
		Entry("unknown route, chunks after the entry waits no longer", "/nowhere/", "a", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", 1300*time.Millisecond, 404),
		Entry("unknown route, more chunks than the entry reads", "/nowhere/", "a", inChunks, chunk(strings.Repeat("x", 300_000))+chunk(hidden)+"0\r\n\r\n", time.Duration(0), 404),
		Entry("unknown route, a chunk without a size", "/nowhere/", "a", inChunks+"1\r\nx\r\n", hidden, 100*time.Millisecond, 404),
		Entry("unknown route, a chunk that is longer than its size", "/nowhere/", "a", inChunks, "1\r\nxx"+hidden, 100*time.Millisecond, 404),
		Entry("unknown route, with a length", "/nowhere/", "a", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)), hidden, 100*time.Millisecond, 404),
		Entry("without an ID", "/call/1", "", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", 100*time.Millisecond, 400),
		Entry("a body that stands still", "/short/1", "a", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", 500*time.Millisecond, 408),
		Entry("a body with a length that stands still", "/short/1", "a", fmt.Sprintf("Content-Length: %d\r\n\r\nx", len(hidden)+1), hidden, 500*time.Millisecond, 408),
		Entry("a body that stands still, a request behind it", "/short/1", "a", inChunks+"1\r\nx\r\n", hidden, 500*time.Millisecond, 408),
		Entry("a body that arrives as its time ends", "/short/1", "a", inChunks+"1\r\nx\r\n", chunk(hidden)+"0\r\n\r\n", 300*time.Millisecond, 0),
		Entry("a body over the limit", "/call/1", "a", inChunks, chunk(strings.Repeat("x", 70_000))+chunk(hidden)+"0\r\n\r\n", time.Duration(0), 413),
		Entry("a length over the limit", "/call/1", "a", "Content-Length: 70000\r\n\r\n", strings.Repeat(hidden, 100), 100*time.Millisecond, 413),
		Entry("a chunk without a size", "/call/1", "a", inChunks+"1\r\nx\r\n", hidden, 100*time.Millisecond, 400),
		Entry("a chunk that is longer than its size", "/call/1", "a", inChunks, "1\r\nxx"+hidden, 100*time.Millisecond, 400),
		Entry("a service without targets", "/none/1", "a", inChunks+chunk(hidden), chunk(hidden)+"0\r\n\r\n", 100*time.Millisecond, 503),
	)
	// Guards against the rest of a body that is taken for a request by an entry that stops.
	It("is taken for no request: an entry that stops", func() {
		nc, err := net.Dial("tcp", f.settings[0].Listen)
		Expect(err).NotTo(HaveOccurred())
		defer nc.Close()
		_, _ = io.WriteString(nc, rawRequest("/call/1", "a", inChunks+"1\r\nx\r\n"))
		time.Sleep(50 * time.Millisecond)
		go f.entries[0].Shutdown(context.Background())
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(nc, chunk(hidden)+"0\r\n\r\n")
		statuses, _ := answersOn(nc)
		Expect(ran.of("hidden")).To(BeZero())
		if len(statuses) > 0 && ran.of("a") > 0 {
			Expect(statuses[0]).NotTo(BeElementOf(408, 421, 429, 503))
		}
	})
})
