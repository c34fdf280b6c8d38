// Package upstream sends requests to targets over persistent HTTP/1.1
// connections.
//
// Unlike http.Transport it never sends a request twice, reports whether any part
// of a request may have been sent, matches each response to its request and skips
// an extra response to an earlier one. A Pool is safe for concurrent use.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/internal/decide/resend"
)

// DialTimeout bounds the time to connect. Within a region a connection takes a
// few milliseconds; after a failed attempt to reach a target there must be time
// to try another one.
const DialTimeout = 150 * time.Millisecond

// Match is whether a response belongs to a request.
type Match = resend.Match

// Values of Match.
const (
	// ThisRequest is named by the response, and no other.
	ThisRequest = resend.ThisRequest
	// OtherRequest is named, or several are. The response is passed over.
	OtherRequest = resend.OtherRequest
	// NoRequest is named. The response is that to the pending request, and its connection is
	// not used again, because a repetition of it could not be told from the response to the
	// next request. After a refusal the connection is closed instead, and the request counts
	// as sent.
	NoRequest = resend.NoRequest
)

// Request is a request as it is sent to a target.
type Request struct {
	Method string
	// URI is the path and query as the caller wrote them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ID is that by which responses name the request. A connection on which a refusal has named
	// a request does not carry it. It may be empty: then that does not hold.
	ID string
	// NamedIDs returns the IDs that a response names. Without it only refusals of the pending
	// request count as naming one.
	NamedIDs func(*http.Response) []string
	// Refuses reports whether a response says that its request was not run. Without it that
	// is told by the status alone.
	Refuses func(*http.Response) bool
	// MatchesAnswer returns whether a response belongs to this request.
	MatchesAnswer func(*http.Response) Match
	// MaySend reports, once there is a connection, whether the request may still be sent. Without
	// it that always holds.
	MaySend func() bool
	// Usage is set by Do to the connection on which the request was sent, unless it is nil.
	Usage *Usage
}

// Error reports a request without a response.
type Error struct {
	// MaybeSent is false if it is certain that no part of the request was sent.
	MaybeSent bool
	Cause     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.MaybeSent {
		return "no response: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// ErrWithheld is the cause of the error for a request that MaySend does not allow any more.
var ErrWithheld = errors.New("the request may not be sent any more")

// Counter counts events of the pool.
type Counter interface{ Count(name string) }

// Pool holds the connections to all targets.
type Pool struct {
	counter Counter
	// headRoom is what is left of the room of large heads.
	headRoom atomic.Int64
	mu       sync.Mutex
	hosts    map[string]*host
}

// NewPool returns an empty pool.
func NewPool(counter Counter) *Pool {
	p := &Pool{counter: counter, hosts: make(map[string]*host)}
	p.headRoom.Store(defaultHeadRoom)
	return p
}

// WithHeadRoom bounds the bytes that the heads of all responses take together, beyond the
// first 8 KiB of each. It is called before the first use of the pool.
func (p *Pool) WithHeadRoom(bytes int64) *Pool {
	p.headRoom.Store(bytes)
	return p
}

// host holds the connections to one address.
type host struct {
	pool    *Pool
	address string
	mu      sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
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

// countSkipped counts a skipped extra response.
func (h *host) countSkipped() { h.pool.counter.Count("extra_answers_skipped") }

// take returns the most recently used idle connection that may carry a request, or nil. It
// closes those that have expired.
func (h *host) take(now time.Time, id string) *conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		reusable := c.reusable(now)
		if reusable && !c.refusals.MayCarry(id) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if reusable {
			return c
		}
		go c.close()
	}
	return nil
}

// release makes c available for the next request.
func (h *host) release(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.idle = append(h.idle, c)
}

// remove takes a closed connection out of the idle ones.
func (h *host) remove(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, other := range h.idle {
		if other == c {
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

// Do sends a request once and returns its response as soon as the head has
// arrived. The caller must read the body to its end or close it. If ctx ends
// before that, the connection is closed.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*http.Response, *Error) {
	h := p.host(address)
	rt := &roundTrip{
		req: &http.Request{Method: r.Method}, id: r.ID, matches: r.MatchesAnswer, refuses: r.Refuses, namedIDs: r.NamedIDs,
		response: make(chan responseOrError, 1), bodyDone: make(chan struct{}), written: make(chan struct{}),
	}
	c := h.take(time.Now(), r.ID)
	if c == nil || !c.begin(rt) {
		var err error
		if c, err = h.connect(ctx); err != nil {
			return nil, &Error{Cause: err}
		}
		if !c.begin(rt) {
			// The target has closed it already.
			return nil, &Error{Cause: net.ErrClosed}
		}
	}
	if r.MaySend != nil && !r.MaySend() {
		c.close()
		return nil, &Error{Cause: ErrWithheld}
	}
	if r.Usage != nil {
		*r.Usage = rt.usage
	}
	rt.detach = context.AfterFunc(ctx, func() {
		rt.finishBody(false)
		c.close()
	})
	if err := c.write(rt, r.head(), r.Body); err != nil {
		rt.detach()
		rt.finishBody(false)
		c.close()
		return nil, &Error{MaybeSent: true, Cause: err}
	}
	select {
	case got := <-rt.response:
		if got.err != nil {
			rt.detach()
			return nil, &Error{MaybeSent: true, Cause: got.err}
		}
		return got.resp, nil
	case <-ctx.Done():
		return nil, &Error{MaybeSent: true, Cause: context.Cause(ctx)}
	}
}

// head returns the request line and the header of the request.
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
