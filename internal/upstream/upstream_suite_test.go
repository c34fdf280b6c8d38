package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/knownred"
	"agatelanding.example/agatelanding/internal/upstream"
)

func TestUpstream(t *testing.T) {
	RegisterFailHandler(Fail)
	knownred.RunSpecs(t, "upstream")
}

// counter records how often each name was counted.
type counter struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *counter) Count(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = make(map[string]int)
	}
	c.n[name]++
}

func (c *counter) get(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[name]
}

// target runs a script on each connection.
type target struct {
	listener net.Listener
	conns    atomic.Int64
}

func newTarget(script func(nc net.Conn, r *bufio.Reader)) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	t := &target{listener: l}
	DeferCleanup(l.Close)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			t.conns.Add(1)
			go func() {
				defer nc.Close()
				script(nc, bufio.NewReader(nc))
			}()
		}
	}()
	return t
}

func (t *target) address() string { return t.listener.Addr().String() }

// respondToEach returns a script that responds to every request of a connection.
func respondToEach(respond func(nc net.Conn, r *http.Request)) func(net.Conn, *bufio.Reader) {
	return func(nc net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			respond(nc, r)
		}
	}
}

func reply(nc net.Conn, id, body string) {
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func matches(id string) func(*http.Response) upstream.Match {
	return func(r *http.Response) upstream.Match {
		switch r.Header.Get("Id") {
		case id:
			return upstream.ThisRequest
		case "":
			return upstream.NoRequest
		}
		return upstream.OtherRequest
	}
}

func request(id string) *upstream.Request {
	return &upstream.Request{
		Method: "POST", URI: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		MatchesAnswer: matches(id),
	}
}

func do(p *upstream.Pool, t *target, id string) (string, *upstream.Error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, failure := p.Do(ctx, t.address(), request(id))
	if failure != nil {
		return "", failure
	}
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(data), nil
}

var _ = Describe("A pool", func() {
	var p *upstream.Pool
	var c *counter
	BeforeEach(func() {
		c = &counter{}
		p = upstream.NewPool(c)
	})

	It("reuses a connection", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) { reply(nc, r.Header.Get("Id"), "for "+r.Header.Get("Id")) }))
		for i := range 50 {
			id := fmt.Sprint(i)
			Expect(do(p, t, id)).To(Equal("for " + id))
		}
		Expect(t.conns.Load()).To(Equal(int64(1)))
	})

	// A faulty target sends a second response after a complete one. The next
	// caller must not get it.
	It("skips an extra response that arrives with the next request", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			id := r.Header.Get("Id")
			if id == "second" {
				reply(nc, "first", "extra")
			}
			reply(nc, id, "for "+id)
		}))
		Expect(do(p, t, "first")).To(Equal("for first"))
		time.Sleep(5 * time.Millisecond)
		Expect(do(p, t, "second")).To(Equal("for second"))
		Expect(c.get("extra_answers_skipped")).To(Equal(1))
	})

	// Guards against an earlier refusal that is taken for the response to the next request.
	It("does not use a connection again after a response that names no request", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) { reply(nc, "", "for "+r.Header.Get("Id")) }))
		for i := range 3 {
			Expect(do(p, t, fmt.Sprint(i))).To(Equal(fmt.Sprint("for ", i)))
		}
		Expect(t.conns.Load()).To(Equal(int64(3)))
	})

	It("takes no response without a name after a refusal with one", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			id := r.Header.Get("Id")
			if id == "second" {
				id = ""
			}
			fmt.Fprintf(nc, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		}))
		Expect(do(p, t, "first")).To(BeEmpty())
		_, failure := do(p, t, "second")
		Expect(failure).NotTo(BeNil())
		Expect(failure.MaybeSent).To(BeTrue())
	})

	It("drops a connection with unexpected bytes before the next request", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) {
			reply(nc, r.Header.Get("Id"), "ok")
			fmt.Fprint(nc, "garbage")
		}))
		Expect(do(p, t, "a")).To(Equal("ok"))
		time.Sleep(20 * time.Millisecond)
		Expect(do(p, t, "b")).To(Equal("ok"))
		Expect(t.conns.Load()).To(Equal(int64(2)))
	})

	// No request is sent twice, because a non-idempotent request may have run.
	It("reports a request without a response as sent, and sends it once", func() {
		var requests atomic.Int64
		t := newTarget(func(nc net.Conn, br *bufio.Reader) {
			for i := 0; ; i++ {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				requests.Add(1)
				if i > 0 {
					return
				}
				reply(nc, r.Header.Get("Id"), "ok")
			}
		})
		Expect(do(p, t, "a")).To(Equal("ok"))
		time.Sleep(5 * time.Millisecond)
		_, failure := do(p, t, "b")
		Expect(failure).NotTo(BeNil())
		Expect(failure.MaybeSent).To(BeTrue())
		Expect(requests.Load()).To(Equal(int64(2)))
	})

	It("reports a refused connection as not sent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		_, failure := p.Do(context.Background(), address, request("a"))
		Expect(failure).NotTo(BeNil())
		Expect(failure.MaybeSent).To(BeFalse())
	})

	// The target must stop its work for a caller that has disconnected.
	It("closes the connection when the context ends", func() {
		closed := make(chan struct{})
		t := newTarget(func(nc net.Conn, br *bufio.Reader) {
			_, _ = http.ReadRequest(br)
			_, _ = io.Copy(io.Discard, br)
			close(closed)
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		_, failure := p.Do(ctx, t.address(), request("a"))
		Expect(failure).NotTo(BeNil())
		Eventually(closed).Should(BeClosed())
	})

	It("does not close a connection that has served its request when its context ends later", func() {
		t := newTarget(respondToEach(func(nc net.Conn, r *http.Request) { reply(nc, r.Header.Get("Id"), "ok") }))
		ctx, cancel := context.WithCancel(context.Background())
		resp, failure := p.Do(ctx, t.address(), request("a"))
		Expect(failure).To(BeNil())
		_, _ = io.ReadAll(resp.Body)
		cancel()
		time.Sleep(20 * time.Millisecond)
		Expect(do(p, t, "b")).To(Equal("ok"))
		Expect(t.conns.Load()).To(Equal(int64(1)))
	})

	// A target may respond before it has read a long body. It must not take the
	// rest of the body for the next request.
	It("does not reuse a connection whose request body was not sent in full", func() {
		t := newTarget(func(nc net.Conn, br *bufio.Reader) {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			reply(nc, r.Header.Get("Id"), "early")
			time.Sleep(300 * time.Millisecond)
		})
		long := request("a")
		long.Body = bytes.Repeat([]byte("x"), 32<<20)
		resp, failure := p.Do(context.Background(), t.address(), long)
		Expect(failure).To(BeNil())
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("early"))
		time.Sleep(10 * time.Millisecond)
		Expect(do(p, t, "b")).To(Equal("early"))
		Expect(t.conns.Load()).To(Equal(int64(2)))
	})

	// Guards against a response that is cut off and taken for a complete one.
	It("reports a response that is cut off", func() {
		t := newTarget(func(nc net.Conn, br *bufio.Reader) {
			r, _ := http.ReadRequest(br)
			fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100\r\n\r\nshort", r.Header.Get("Id"))
		})
		resp, failure := p.Do(context.Background(), t.address(), request("a"))
		Expect(failure).To(BeNil())
		_, err := io.ReadAll(resp.Body)
		Expect(err).To(HaveOccurred())
	})
})
