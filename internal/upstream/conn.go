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
)

const (
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// target sends no timeout in Keep-Alive.
	defaultIdleTimeout = 4 * time.Second
	// maxSkippedBytes bounds the body of an extra answer that is skipped before
	// the next answer is read.
	maxSkippedBytes = 1 << 20
	// maxInlineBodyBytes is the largest body that is sent before the answer is
	// awaited. It fits into the send buffers, so that writing it does not block
	// on a target that does not read.
	maxInlineBodyBytes = 32 << 10
)

var errUnexpectedBytes = errors.New("the target sent bytes that belong to no request")

// answer is what the reader goroutine sends to the waiting exchange: the answer
// of the target or the error that ended the wait.
type answer struct {
	resp *http.Response
	err  error
}

// exchange is one request and the answer to it.
type exchange struct {
	req *http.Request
	// belongs reports whether an answer belongs to the request.
	belongs  func(*http.Response) bool
	answered chan answer
	// bodyDone is closed when the body of the answer has been read or dropped.
	bodyDone     chan struct{}
	bodyDoneOnce sync.Once
	// bodyComplete is true if the body was read to its end.
	bodyComplete bool
	// written is closed when the request was sent in full or sending failed.
	written chan struct{}
	// detach separates the connection from the context of the exchange, so
	// that a later cancellation does not affect the next request.
	detach func() bool
}

// finishBody records that the body of the answer has been read or dropped.
func (ex *exchange) finishBody(complete bool) {
	ex.bodyDoneOnce.Do(func() {
		ex.bodyComplete = complete
		close(ex.bodyDone)
	})
}

// conn is one connection to a target. One goroutine reads from it until it is
// closed, so that a close or unexpected bytes are noticed while it is idle.
type conn struct {
	nc   net.Conn
	br   *bufio.Reader
	host *host

	mu sync.Mutex
	// pending is the exchange that waits for an answer, nil while the
	// connection is idle.
	pending     *exchange
	closed      bool
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(nc net.Conn, h *host) *conn {
	c := &conn{nc: nc, br: bufio.NewReaderSize(nc, 8<<10), host: h, idleTimeout: defaultIdleTimeout}
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

// begin makes ex the pending exchange. It returns false if the connection is
// closed.
func (c *conn) begin(ex *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = ex
	return true
}

// current returns the pending exchange, or nil.
func (c *conn) current() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// write sends a request. A body longer than maxInlineBodyBytes is sent while the
// answer is awaited, because a target may answer before it has read the body.
func (c *conn) write(ex *exchange, head, body []byte) error {
	if len(body) <= maxInlineBodyBytes {
		defer close(ex.written)
		_, err := c.nc.Write(append(head, body...))
		return err
	}
	go func() {
		defer close(ex.written)
		if _, err := c.nc.Write(head); err == nil {
			_, err = io.Copy(c.nc, bytes.NewReader(body))
			if err != nil {
				c.close()
			}
		}
	}()
	return nil
}

// readLoop reads the answers on the connection until it ends.
func (c *conn) readLoop() {
	for {
		_, err := c.br.Peek(1)
		ex := c.current()
		if err == nil && ex == nil {
			err = errUnexpectedBytes
		}
		if err != nil {
			c.close()
			if ex = c.current(); ex != nil {
				ex.answered <- answer{err: err}
			}
			return
		}
		if !c.readAnswer(ex) {
			c.close()
			return
		}
	}
}

// readAnswer reads one answer, sends it to the exchange and waits until its body
// has been read. It returns false if the connection cannot be used any more.
func (c *conn) readAnswer(ex *exchange) bool {
	resp, err := http.ReadResponse(c.br, ex.req)
	if err != nil {
		c.close()
		ex.answered <- answer{err: err}
		return false
	}
	if resp.StatusCode < 200 {
		return true
	}
	if !ex.belongs(resp) {
		return c.skipExtra(ex, resp)
	}
	timeout := keepAlive(resp)
	reusable := !resp.Close && timeout > 0
	resp.Body = &answerBody{ReadCloser: resp.Body, exchange: ex}
	ex.answered <- answer{resp: resp}
	<-ex.bodyDone
	select {
	case <-ex.written:
	default:
		// The target would take the rest of the body for the next request.
		reusable = false
	}
	if !ex.bodyComplete || !reusable {
		return false
	}
	c.mu.Lock()
	c.pending, c.idleSince, c.idleTimeout = nil, time.Now(), timeout
	c.mu.Unlock()
	c.host.release(c)
	return true
}

// skipExtra skips an extra answer to an earlier request. It returns false if the
// connection cannot be used any more.
func (c *conn) skipExtra(ex *exchange, resp *http.Response) bool {
	hasLength := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if hasLength && err == nil && n < maxSkippedBytes && !resp.Close {
		c.host.countSkipped()
		return true
	}
	c.close()
	ex.answered <- answer{err: errUnexpectedBytes}
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

// answerBody reports the end of an answer to its exchange.
type answerBody struct {
	io.ReadCloser
	exchange *exchange
}

func (b *answerBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		b.exchange.detach()
		b.exchange.finishBody(err == io.EOF)
	}
	return n, err
}

// Close drops the rest of an answer. The connection is not reused unless the
// answer was read to its end before.
func (b *answerBody) Close() error {
	b.exchange.detach()
	b.exchange.finishBody(false)
	return nil
}
