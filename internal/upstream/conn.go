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
	// defaultIdle is how long an idle connection is used again if the target
	// does not say how long it keeps one.
	defaultIdle = 4 * time.Second
	// maxSkip bounds the body of an answer to an earlier request that is
	// skipped before the next one is read.
	maxSkip = 1 << 20
	// inlineBody is the size of a body that fits into the send buffers, so
	// that writing it does not block on a target that does not read.
	inlineBody = 32 << 10
)

var errStray = errors.New("the target sent bytes that belong to no request")

// answer is what the reader hands to the waiting exchange.
type answer struct {
	resp *http.Response
	err  error
}

// pending is the exchange that waits for an answer.
type pending struct {
	req     *http.Request
	belongs func(*http.Response) bool
	got     chan answer
	// read is closed when the body of the answer has been read or dropped.
	read chan struct{}
	once sync.Once
	// whole is true if the body was read to its end.
	whole bool
	// written is closed when the request was sent in full.
	written chan struct{}
	// stop releases the connection from the context of the exchange, so that
	// a later cancellation does not hit the next request.
	stop func() bool
}

func (p *pending) finish(whole bool) {
	p.once.Do(func() {
		p.whole = whole
		close(p.read)
	})
}

// conn is one connection to a target. One goroutine reads it for its whole
// life, so that a close or stray bytes are noticed while it is idle.
type conn struct {
	nc    net.Conn
	br    *bufio.Reader
	owner *host

	mu        sync.Mutex
	pending   *pending
	dead      bool
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(nc net.Conn, owner *host) *conn {
	c := &conn{nc: nc, br: bufio.NewReaderSize(nc, 8<<10), owner: owner, idleLimit: defaultIdle}
	go c.read()
	return c
}

// fresh tells whether the connection may carry another request.
func (c *conn) fresh(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.dead && now.Sub(c.idleSince) < c.idleLimit
}

func (c *conn) close() {
	c.mu.Lock()
	dead := c.dead
	c.dead = true
	c.mu.Unlock()
	_ = c.nc.Close()
	if !dead {
		c.owner.closed(c)
	}
}

// begin makes p the exchange that waits for the next answer.
func (c *conn) begin(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return false
	}
	c.pending = p
	return true
}

func (c *conn) current() *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

// write sends a request. A long body is sent while the answer is awaited,
// because a target may answer before it has read the body.
func (c *conn) write(p *pending, head, body []byte) error {
	if len(body) <= inlineBody {
		defer close(p.written)
		_, err := c.nc.Write(append(head, body...))
		return err
	}
	go func() {
		defer close(p.written)
		if _, err := c.nc.Write(head); err == nil {
			_, err = io.Copy(c.nc, bytes.NewReader(body))
			if err != nil {
				c.close()
			}
		}
	}()
	return nil
}

// read serves the answers of the connection until it ends.
func (c *conn) read() {
	for {
		_, err := c.br.Peek(1)
		p := c.current()
		if err == nil && p == nil {
			err = errStray
		}
		if err != nil {
			c.close()
			if p = c.current(); p != nil {
				p.got <- answer{err: err}
			}
			return
		}
		if !c.serve(p) {
			c.close()
			return
		}
	}
}

// serve reads one answer and hands it over. It returns false when the
// connection cannot be used any more.
func (c *conn) serve(p *pending) bool {
	resp, err := http.ReadResponse(c.br, p.req)
	if err != nil {
		c.close()
		p.got <- answer{err: err}
		return false
	}
	if resp.StatusCode < 200 {
		return true
	}
	if !p.belongs(resp) {
		return c.skip(p, resp)
	}
	limit := keepAlive(resp)
	reusable := !resp.Close && limit > 0
	resp.Body = &body{ReadCloser: resp.Body, p: p}
	p.got <- answer{resp: resp}
	<-p.read
	select {
	case <-p.written:
	default:
		// The rest of the body would be taken for the next request.
		reusable = false
	}
	if !p.whole || !reusable {
		return false
	}
	c.mu.Lock()
	c.pending, c.idleSince, c.idleLimit = nil, time.Now(), limit
	c.mu.Unlock()
	c.owner.release(c)
	return true
}

// skip passes over an extra answer to an earlier request.
func (c *conn) skip(p *pending, resp *http.Response) bool {
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkip))
	if framed && err == nil && n < maxSkip && !resp.Close {
		c.owner.skipped()
		return true
	}
	c.close()
	p.got <- answer{err: errStray}
	return false
}

// keepAlive returns how long an idle connection may be used again: half of
// what the target says, because its clock started earlier.
func keepAlive(resp *http.Response) time.Duration {
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second / 2
		}
	}
	return defaultIdle
}

// body reports the end of an answer to its connection.
type body struct {
	io.ReadCloser
	p *pending
}

func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err != nil {
		b.p.stop()
		b.p.finish(err == io.EOF)
	}
	return n, err
}

// Close drops what is left of an answer; the connection is then not used
// again.
func (b *body) Close() error {
	b.p.stop()
	b.p.finish(false)
	return nil
}
