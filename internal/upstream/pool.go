// Package upstream carries requests to targets over HTTP/1.1 connections that
// are used again.
//
// Unlike http.Transport it never sends a request twice, tells whether any of a
// request has left, matches each answer to its request and passes over an
// extra answer to an earlier one. A Pool may be used by any goroutine.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// DialTimeout bounds a new connection. Within a region it takes a few
// milliseconds; a target that is cut off must leave time for another one.
const DialTimeout = 150 * time.Millisecond

// Request is a request as it goes to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Belongs tells whether an answer is that to this request.
	Belongs func(*http.Response) bool
}

// Error is a request without an answer.
type Error struct {
	// Sent is false if certainly nothing of the request has left.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return "no answer: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Counter counts events of the pool.
type Counter interface{ Count(name string) }

// Pool holds the connections to all targets.
type Pool struct {
	counter Counter
	mu      sync.Mutex
	hosts   map[string]*host
}

// NewPool returns an empty pool.
func NewPool(counter Counter) *Pool {
	return &Pool{counter: counter, hosts: make(map[string]*host)}
}

// host holds the connections to one address.
type host struct {
	pool    *Pool
	address string
	mu      sync.Mutex
	idle    []*conn
}

func (p *Pool) host(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[address]
	if !ok {
		h = &host{pool: p, address: address}
		p.hosts[address] = h
	}
	return h
}

func (h *host) skipped() { h.pool.counter.Count("extra_answers_skipped") }

// take returns the idle connection that was used last.
func (h *host) take(now time.Time) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.fresh(now) {
			return c
		}
		go c.close()
	}
	return nil
}

func (h *host) release(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = append(h.idle, c)
}

func (h *host) closed(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, x := range h.idle {
		if x == c {
			h.idle = append(h.idle[:i], h.idle[i+1:]...)
			return
		}
	}
}

func (h *host) connect(ctx context.Context) (*conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		return nil, err
	}
	h.pool.counter.Count("connections_opened")
	return newConn(nc, h), nil
}

// Do sends a request once and returns the head of its answer. The connection
// ends with ctx; until then the body must be read to its end or closed.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, *Error) {
	h := p.host(address)
	wait := &pending{
		req: &http.Request{Method: r.Method}, belongs: r.Belongs,
		got: make(chan answer, 1), read: make(chan struct{}), written: make(chan struct{}),
	}
	c := h.take(time.Now())
	if c == nil || !c.begin(wait) {
		var err error
		if c, err = h.connect(ctx); err != nil {
			return nil, &Error{Cause: err}
		}
		c.begin(wait)
	}
	wait.stop = context.AfterFunc(ctx, func() {
		wait.finish(false)
		c.close()
	})
	if err := c.write(wait, r.head(), r.Body); err != nil {
		wait.stop()
		wait.finish(false)
		c.close()
		return nil, &Error{Sent: true, Cause: err}
	}
	select {
	case a := <-wait.got:
		if a.err != nil {
			wait.stop()
			return nil, &Error{Sent: true, Cause: a.err}
		}
		return a.resp, nil
	case <-ctx.Done():
		return nil, &Error{Sent: true, Cause: context.Cause(ctx)}
	}
}

func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
