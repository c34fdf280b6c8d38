package edge_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/platform/standin"
)

// runCount counts what targets ran, by the ID of the request. It is safe for concurrent use.
type runCount struct {
	mu  sync.Mutex
	ran map[string]int
}

func (c *runCount) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ran == nil {
		c.ran = make(map[string]int)
	}
	c.ran[id]++
}

func (c *runCount) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ran[id]
}

func (c *runCount) requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ran)
}

// expectOnce checks what targets ran of a request that may run once.
func (c *runCount) expectOnce(a response) {
	GinkgoHelper()
	Expect(c.of(a.id)).To(BeNumerically("<=", 1), "runs of %s, answered %d %s", a.id, a.status, a.body)
	if c.of(a.id) > 0 {
		Expect(a.status).NotTo(BeElementOf(408, 421, 429, 503), "%s has run: %s", a.id, a.body)
	}
}

// scriptedTarget is a target of the pool "raw" whose script handles each request of a
// connection, n from 0. The script reads the body; the connection ends when it returns false.
type scriptedTarget struct {
	script func(nc net.Conn, r *http.Request, n int) bool
	// greeting is written to a new connection.
	greeting string
	// busy counts the requests that the script handles.
	busy atomic.Int64

	mu      sync.Mutex
	l       net.Listener
	open    map[net.Conn]bool
	address string
}

// start makes the target listen at its address, or at a free one.
func (t *scriptedTarget) start() {
	address := t.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l := listen(address)
	t.mu.Lock()
	t.l, t.open, t.address = l, make(map[net.Conn]bool), l.Addr().String()
	t.mu.Unlock()
	go func() {
		for nc, err := l.Accept(); err == nil; nc, err = l.Accept() {
			go t.serve(l, nc)
		}
	}()
}

func (t *scriptedTarget) serve(l net.Listener, nc net.Conn) {
	t.mu.Lock()
	crashed := t.l != l
	t.open[nc] = !crashed
	t.mu.Unlock()
	defer nc.Close()
	if crashed {
		return
	}
	_, _ = io.WriteString(nc, t.greeting)
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		t.busy.Add(1)
		ok := t.script(nc, r, n)
		t.busy.Add(-1)
		if !ok {
			return
		}
	}
}

// crash closes the listener and resets all connections.
func (t *scriptedTarget) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.l == nil {
		return
	}
	_ = t.l.Close()
	t.l = nil
	for nc := range t.open {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
}

// startScripted starts and lists targets of the pool "raw".
func (f *fleet) startScripted(targets ...*scriptedTarget) {
	for i, t := range targets {
		t.start()
		DeferCleanup(t.crash)
		f.store.RegisterAddress(fmt.Sprintf("raw-%d", i), t.address, 8)
	}
}

// awaitIdle waits until no target handles a request.
func awaitIdle(targets ...*scriptedTarget) {
	GinkgoHelper()
	Eventually(func() (busy int64) {
		for _, t := range targets {
			busy += t.busy.Load()
		}
		return busy
	}).Within(5 * time.Second).ProbeEvery(10 * time.Millisecond).Should(BeZero())
}

// configureOnce publishes a route "/call/" to the pool "raw" whose requests may run once.
func (f *fleet) configureOnce(maxAttempts int) {
	f.configure(2, map[string]any{"services": []map[string]any{{"name": "raw"}}},
		route("call", "/call/", "non_idempotent", "raw", map[string]any{"max_attempts": maxAttempts}))
}

// answer writes a whole response to the request with the ID.
func answer(nc net.Conn, id string) bool {
	_, err := io.WriteString(nc, head(200, id, "Content-Length: 2\r\n\r\nok"))
	return err == nil
}

// refusalWithoutID returns a response that says that its request has not run and names none.
func refusalWithoutID(status string) string {
	return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"
}

// readBody reads the body of a request and reports whether it is whole.
func readBody(r *http.Request) bool {
	_, err := io.Copy(io.Discard, r.Body)
	return err == nil
}

// requestIDOf returns the ID of a request at a target.
func requestIDOf(r *http.Request) string { return standin.RequestID(r.Header) }
