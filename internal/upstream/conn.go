package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/decide/resend"
)

const (
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// target sends no timeout in Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// maxSkippedBytes bounds the body of an extra response that is skipped before
	// the next response is read.
	maxSkippedBytes = 1 << 20
	// maxInlineBodyBytes is the largest body that is sent before the response is
	// awaited. It fits into the send buffers, so that writing it does not block
	// on a target that does not read.
	maxInlineBodyBytes = 32 << 10
	// receiveBufferBytes and sendBufferBytes bound what the kernel keeps of answers whose
	// callers read slowly, and of bodies whose targets do; it doubles them. Without a bound
	// it may keep some MB of each. Within a region they do not limit the rate.
	receiveBufferBytes = 64 << 10
	sendBufferBytes    = 128 << 10
	// maxInterimResponses bounds the responses with a status below 200, and
	// maxExtraResponses those to earlier requests, before the one that is awaited.
	maxInterimResponses = 8
	maxExtraResponses   = 3
	// maxReadTime bounds the time to read all heads and extra responses of a round
	// trip, each from its first byte to its end. A target may fall silent for about a
	// second anywhere and go on.
	maxReadTime = 5 * time.Second
)

var errUnexpectedBytes = errors.New("the target sent bytes that belong to no request")

// ErrOverBounds is the cause of an Error if the target sent more bytes, or took longer
// to send them, than any response to the request can need.
var ErrOverBounds = errors.New("the response exceeds its bounds")

// responseOrError is what the reader goroutine sends to the waiting round trip: the
// response of the target or the error that ended the wait.
type responseOrError struct {
	resp *http.Response
	err  error
}

// roundTrip is one request and the response to it.
type roundTrip struct {
	req *http.Request
	id  string
	// refuses and namedIDs are those of the Request, nil for none.
	refuses  func(*http.Response) bool
	namedIDs func(*http.Response) []string
	// matches returns whether a response belongs to the request.
	matches  func(*http.Response) Match
	response chan responseOrError
	// usage is that of the connection at the begin of the round trip.
	usage Usage
	// bodyDone is closed when the body of the response has been read or dropped.
	bodyDone     chan struct{}
	bodyDoneOnce sync.Once
	// recycle makes the connection available for the next request and reports whether
	// that is possible, nil if it is not. recycled is its result. Both belong to readLoop
	// until the response is sent, then to finishBody until bodyDone is closed.
	recycle  func() bool
	recycled bool
	// interim and extra count the responses that were passed over, and readTime is the
	// part of maxReadTime that was used. Only readLoop uses them.
	interim, extra int
	readTime       time.Duration
	// written is closed when the request was sent in full or sending failed.
	written chan struct{}
	// detach separates the connection from the context of the round trip, so
	// that a later cancellation does not affect the next request.
	detach func() bool
}

// finishBody records that the body of the response has been read to its end or dropped.
// After a complete body the connection is available before the reader knows of the end:
// its next request must not open another one.
func (rt *roundTrip) finishBody(complete bool) {
	rt.bodyDoneOnce.Do(func() {
		rt.recycled = complete && rt.recycle != nil && rt.recycle()
		close(rt.bodyDone)
	})
}

// isRefusal reports whether a response says that its request was not run.
func (rt *roundTrip) isRefusal(resp *http.Response) bool {
	return resend.PromisesNotRun(resp.StatusCode) || rt.refuses != nil && rt.refuses(resp)
}

// named returns the IDs that a response names, as far as they are known.
func (rt *roundTrip) named(resp *http.Response) []string {
	if rt.namedIDs == nil {
		return nil
	}
	return rt.namedIDs(resp)
}

// conn is one connection to a target. One goroutine reads from it until it is
// closed, so that a close or unexpected bytes are noticed while it is idle.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	host *host
	// head bounds what br reads while a head is read. Only readLoop uses it.
	head headLimiter
	// refusals are those so far. Only readLoop changes them, while the connection is not
	// idle.
	refusals resend.Refusals

	mu sync.Mutex
	// usage is that of the next request.
	usage Usage
	// pending is the round trip that waits for a response, nil while the
	// connection is idle.
	pending     *roundTrip
	closed      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(nc net.Conn, h *host) *conn {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBufferBytes)
		_ = tcp.SetWriteBuffer(sendBufferBytes)
	}
	c := &conn{nc: nc, host: h, usage: newUsage(), idleTimeout: defaultIdleTimeout, head: headLimiter{nc: nc, room: &h.pool.headRoom}}
	c.br = bufio.NewReaderSize(&c.head, freeHeadBytes)
	go c.readLoop()
	return c
}

// reusable reports whether the connection may carry another request.
func (c *conn) reusable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && now.Sub(c.idleSince) < c.idleTimeout
}

func (c *conn) close() {
	c.mu.Lock()
	wasClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	_ = c.nc.Close()
	if !wasClosed {
		c.host.remove(c)
	}
}

// begin makes rt the pending round trip. It returns false if the connection is
// closed.
func (c *conn) begin(rt *roundTrip) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rt.usage = c.usage
	if c.closed {
		return false
	}
	c.usage.Carried++
	c.pending = rt
	return true
}

// current returns the pending round trip, or nil.
func (c *conn) current() *roundTrip {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// write sends a request. A body longer than maxInlineBodyBytes is sent while the
// response is awaited, because a target may respond before it has read the body.
func (c *conn) write(rt *roundTrip, head, body []byte) error {
	if len(body) <= maxInlineBodyBytes {
		defer close(rt.written)
		_, err := c.nc.Write(append(head, body...))
		return err
	}
	go func() {
		defer close(rt.written)
		if _, err := c.nc.Write(head); err == nil {
			_, err = io.Copy(c.nc, bytes.NewReader(body))
			if err != nil {
				c.close()
			}
		}
	}()
	return nil
}

// readLoop reads the responses on the connection until it ends.
func (c *conn) readLoop() {
	for {
		_, err := c.br.Peek(1)
		rt := c.current()
		if err == nil && rt == nil {
			err = errUnexpectedBytes
		}
		if err != nil {
			c.close()
			if rt = c.current(); rt != nil {
				rt.response <- responseOrError{err: err}
			}
			return
		}
		if !c.readResponse(rt) {
			c.close()
			return
		}
	}
}

// readResponse reads one response, sends it to the round trip and waits until its
// body has been read. It returns false if the connection cannot be used any more.
func (c *conn) readResponse(rt *roundTrip) bool {
	var resp *http.Response
	defer c.head.release()
	err := c.readInTime(rt, func() (err error) {
		c.head.start(c.br)
		resp, err = http.ReadResponse(c.br, rt.req)
		return c.head.end(err)
	})
	if err == nil && (holdsStatusLine(resp) || !hasKnownStatus(resp)) {
		err = errUnexpectedBytes
	}
	if err == nil && resp.StatusCode < 200 {
		if rt.interim++; rt.interim <= maxInterimResponses {
			return true
		}
		err = ErrOverBounds
	}
	if err != nil {
		c.close()
		rt.response <- responseOrError{err: err}
		return false
	}
	match := rt.matches(resp)
	switch c.refusals.Received(rt.id, match, rt.isRefusal(resp), rt.named(resp)...) {
	case resend.Distrust:
		c.close()
		rt.response <- responseOrError{err: errUnexpectedBytes}
		return false
	case resend.Skip:
		return c.skipExtra(rt, resp)
	}
	if timeout := keepAlive(resp); !resp.Close && timeout > 0 && match == ThisRequest {
		rt.recycle = func() bool { return c.recycle(rt, timeout) }
	}
	resp.Body = &responseBody{ReadCloser: resp.Body, roundTrip: rt}
	rt.response <- responseOrError{resp: resp}
	<-rt.bodyDone
	return rt.recycled
}

// recycle makes the connection available for the next request. It returns false if it
// cannot be used any more.
func (c *conn) recycle(rt *roundTrip, timeout time.Duration) bool {
	select {
	case <-rt.written:
	default:
		// The target would take the rest of the body for the next request.
		return false
	}
	if c.refusals.Full() || c.br.Buffered() > 0 {
		// What follows the response was not asked for by the next request.
		return false
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	c.pending, c.idleSince, c.idleTimeout = nil, time.Now(), timeout
	c.mu.Unlock()
	c.host.release(c)
	return true
}

// readInTime calls read with the rest of maxReadTime as its deadline. It returns
// ErrOverBounds if that is exceeded.
func (c *conn) readInTime(rt *roundTrip, read func() error) error {
	began := time.Now()
	_ = c.nc.SetReadDeadline(began.Add(maxReadTime - rt.readTime))
	err := read()
	_ = c.nc.SetReadDeadline(time.Time{})
	rt.readTime += time.Since(began)
	if err != nil && rt.readTime >= maxReadTime {
		// http.ReadResponse does not return the error of a read inside a line.
		return ErrOverBounds
	}
	return err
}

// skipExtra skips an extra response to an earlier request. It returns false if the
// connection cannot be used any more.
func (c *conn) skipExtra(rt *roundTrip, resp *http.Response) bool {
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	var n int64
	err := c.readInTime(rt, func() (err error) {
		n, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		return err
	})
	rt.extra++
	overBounds := n == maxSkippedBytes || errors.Is(err, ErrOverBounds) || rt.extra > maxExtraResponses
	if hasLength && err == nil && !overBounds && !resp.Close {
		c.host.countSkipped()
		return true
	}
	c.close()
	if err = errUnexpectedBytes; overBounds {
		err = ErrOverBounds
	}
	rt.response <- responseOrError{err: err}
	return false
}

// keepAlive returns how long an idle connection may be reused: half of the
// timeout that the target sends, because the target started to count earlier.
func keepAlive(resp *http.Response) time.Duration {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second / 2
		}
	}
	return defaultIdleTimeout
}

// responseBody reports the end of a response to its round trip.
type responseBody struct {
	io.ReadCloser
	roundTrip *roundTrip
}

func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		// If the context has ended meanwhile, the connection is about to be closed.
		detached := b.roundTrip.detach()
		b.roundTrip.finishBody(err == io.EOF && detached)
	}
	return n, err
}

// Close drops the rest of a response. The connection is not reused unless the
// response was read to its end before.
func (b *responseBody) Close() error {
	b.roundTrip.detach()
	b.roundTrip.finishBody(false)
	return nil
}
