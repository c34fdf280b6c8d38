package upstream

import (
	"bufio"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of a response. A line of a few bytes takes
	// more than 100 in memory.
	maxHeadBytes = 64 << 10
	maxHeadLines = 256
	// freeHeadBytes of each head take no room.
	freeHeadBytes = 8 << 10
	// defaultHeadRoom bounds what all heads of a pool take beyond freeHeadBytes each, from
	// their arrival to the end of their responses.
	defaultHeadRoom = 8 << 20
)

// headLimiter reads from a connection and bounds the bytes and the lines of a head.
type headLimiter struct {
	nc net.Conn
	// room is what is left of the room of the pool, and taken what this head has taken of it.
	room  *atomic.Int64
	taken int64
	// active is true while a head is read. remaining is the number of bytes left for it,
	// besides those that the reader held when it began.
	active    bool
	remaining int
	// lines counts the lines of the head and lineBytes the bytes of the present one. complete
	// is true after the empty line that ends it.
	lines, lineBytes int
	complete         bool
}

// start begins a head, of which the reader may hold the first bytes.
func (l *headLimiter) start(br *bufio.Reader) {
	l.active, l.remaining = true, maxHeadBytes
	l.lines, l.lineBytes, l.complete = 0, 0, false
	buffered, _ := br.Peek(br.Buffered())
	l.count(buffered)
}

// end removes the bounds. It returns ErrOverBounds instead of err if one was exceeded.
func (l *headLimiter) end(err error) error {
	l.active = false
	if l.lines > maxHeadLines || err != nil && l.remaining <= 0 {
		return ErrOverBounds
	}
	return err
}

// release gives back the room of the head at the end of its response.
func (l *headLimiter) release() {
	l.room.Add(l.taken)
	l.taken = 0
}

// count counts the lines of a part of the head.
func (l *headLimiter) count(part []byte) {
	for _, b := range part {
		switch {
		case l.complete:
			return
		case b == '\n':
			l.complete = l.lineBytes == 0
			l.lines++
			l.lineBytes = 0
		case b != '\r':
			l.lineBytes++
		}
	}
}

// take takes room for bytes of the head.
func (l *headLimiter) take(bytes int) bool {
	l.taken += int64(bytes)
	return l.room.Add(-int64(bytes)) >= 0
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.active {
		return l.nc.Read(p)
	}
	if l.remaining <= 0 || l.lines > maxHeadLines {
		return 0, ErrOverBounds
	}
	n, err := l.nc.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	l.count(p[:n])
	if used := maxHeadBytes - l.remaining; used > freeHeadBytes && !l.take(min(n, used-freeHeadBytes)) {
		l.remaining = 0
		return 0, ErrOverBounds
	}
	return n, err
}

// protocolName begins the status lines that statusLine matches.
const protocolName = "HTTP/1."

var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// holdsStatusLine reports whether the reason or a header field of a response holds a status
// line. Then the head of the response was cut, and the rest, with its ID, is that of another one.
func holdsStatusLine(resp *http.Response) bool {
	holds := func(text string) bool { return strings.Contains(text, protocolName) && statusLine.MatchString(text) }
	if holds(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, holds) {
			return true
		}
	}
	return false
}

// hasKnownStatus reports whether the status of a response is one that HTTP has: an interim one
// without a body, or a final one. Requests ask for no upgrade, so that 101 is neither.
func hasKnownStatus(resp *http.Response) bool {
	switch code := resp.StatusCode; {
	case !strings.HasPrefix(resp.Status, strconv.Itoa(code)):
		// A sign or leading zeros.
		return false
	case code == http.StatusSwitchingProtocols:
		return false
	case code >= 100 && code < 200:
		return resp.Header.Get("Content-Length") == "" && resp.Header.Get("Transfer-Encoding") == "" && len(resp.TransferEncoding) == 0
	default:
		return code >= 200 && code < 600
	}
}
