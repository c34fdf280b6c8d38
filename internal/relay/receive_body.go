package relay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/bodybudget"
	"agatelanding.example/agatelanding/internal/result"
)

const (
	// defaultMaxBodyBytes bounds a body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// growth is the factor by which the buffer of a body without a length grows. Both the
	// old and the new buffer take room while the bytes are copied.
	growth = 4
	// roomRetryAfter is the Retry-After of a request without room for its body.
	roomRetryAfter = 500 * time.Millisecond
	// lineBytes is what a line of a head takes in memory besides its bytes, with what reading
	// it leaves to the collector. A head within 16 KiB can have 3,000 lines and was seen to
	// take 250 KB.
	lineBytes = 192
	// discardTime bounds how long net/http reads the rest of the body of a request that was
	// refused before its body was read, so that the connection can be used again.
	discardTime = time.Second
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// timeout returns the time that a request may take on a route.
func (x *callerRequest) timeout(route *catalog.Route) time.Duration {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.meta.CallerTimeout > 0 {
		timeout = min(timeout, x.meta.CallerTimeout)
	}
	return timeout
}

// readBody reads the body of the request within a number of bytes, and until a deadline at
// the latest. After a refusal the connection is closed, because the rest of the body may
// follow.
func (x *callerRequest) readBody(limit int64, deadline time.Time) ([]byte, error) {
	if err := x.takeHeadRoom(); err != nil {
		return nil, err
	}
	if x.r.Body == nil || x.r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if x.r.ContentLength > limit {
		x.h.Metrics.Count("bodies_over_limit")
		x.dropConnection()
		return nil, result.New(result.BodyTooLarge, "")
	}
	control := http.NewResponseController(x.w)
	x.bodyRoom = x.h.Bodies.add(remoteIP(x.r.RemoteAddr), func() { _ = control.SetReadDeadline(past) })
	_ = control.SetReadDeadline(deadline)
	body, err := x.receiveBody(limit, deadline)
	if err != nil {
		// From here on the interrupt is not called any more and dropConnection sets the
		// last deadline.
		x.releaseBody()
		x.dropConnection()
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// takeHeadRoom takes room for a head of many lines. Such a request does not wait for room: it
// would keep its head meanwhile.
func (x *callerRequest) takeHeadRoom() error {
	lines := 0
	for _, values := range x.r.Header {
		lines += len(values)
	}
	if lines*lineBytes <= bodybudget.FreeBytes {
		return nil
	}
	if x.headRoom = x.h.Bodies.try(remoteIP(x.r.RemoteAddr), int64(lines*lineBytes)); x.headRoom == nil {
		x.dropConnection()
		return result.Refuse(result.NoRoomForBody, roomRetryAfter, "")
	}
	return nil
}

// receiveBody reads the body into one buffer: of the announced length, or of one that grows.
func (x *callerRequest) receiveBody(limit int64, deadline time.Time) ([]byte, error) {
	size := min(limit, bodybudget.FreeBytes)
	if x.r.ContentLength > 0 {
		size = x.r.ContentLength
	}
	if err := x.askRoom(size, deadline); err != nil {
		return nil, err
	}
	buffer, total, room := make([]byte, size), 0, x.h.Bodies
	var extra [1]byte
	for {
		// The extra byte tells the end of a body that fills its buffer.
		dest := buffer[total:]
		if len(dest) == 0 {
			dest = extra[:]
		}
		n, err := x.r.Body.Read(dest)
		room.received(x.bodyRoom, n)
		if n > 0 && total == len(buffer) {
			if size == limit {
				x.h.Metrics.Count("bodies_over_limit")
				return nil, result.New(result.BodyTooLarge, "")
			}
			if err := x.askRoom(min(growth*size, limit), deadline); err != nil {
				return nil, err
			}
			larger := make([]byte, min(growth*size, limit))
			copy(larger, buffer)
			larger[total] = extra[0]
			room.giveBack(x.bodyRoom, size)
			buffer, size = larger, int64(len(larger))
		}
		total += n
		switch {
		case err == io.EOF && !room.complete(x.bodyRoom):
			// The interrupt has come too late for this read, and may end the next one.
			return nil, result.Refuse(result.BodyTooSlow, roomRetryAfter, "")
		case err == io.EOF:
			return buffer[:total], nil
		case err != nil:
			return nil, x.bodyError(err)
		}
	}
}

// askRoom waits for room for a buffer.
func (x *callerRequest) askRoom(bytes int64, deadline time.Time) error {
	switch x.h.Bodies.ask(x.bodyRoom, bytes, deadline) {
	case bodybudget.Granted:
		return nil
	case bodybudget.TooSlow:
		return result.Refuse(result.BodyTooSlow, roomRetryAfter, "")
	}
	return result.Refuse(result.NoRoomForBody, roomRetryAfter, "")
}

// bodyError returns the refusal for a body that could not be read.
func (x *callerRequest) bodyError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if x.h.Bodies.refusal(x.bodyRoom) == 0 {
			x.h.Metrics.Count("bodies_past_deadline")
		}
		return result.Refuse(result.BodyTooSlow, roomRetryAfter, "")
	}
	return result.New(result.BadRequest, "the body could not be read")
}

// releaseBody gives back the room of the body at the end of the request. The body is held
// until then, because it may be sent again.
func (x *callerRequest) releaseBody() {
	if x.bodyRoom != nil {
		x.h.Bodies.release(x.bodyRoom)
		x.bodyRoom = nil
	}
	if x.headRoom != nil {
		x.h.Bodies.release(x.headRoom)
		x.headRoom = nil
	}
}

// dropConnection makes the server close the connection after the answer without reading the
// rest of the body. MaxBytesReader is the only way to tell net/http to send the end of the
// answer and wait for a moment before it closes: a close with bytes unread would discard the
// answer at the caller.
func (x *callerRequest) dropConnection() {
	x.dropped = true
	// net/http keeps the request until the connection is closed.
	x.r.Header = nil
	_ = http.NewResponseController(x.w).SetReadDeadline(past)
	var one [1]byte
	_, _ = http.MaxBytesReader(x.w, io.NopCloser(strings.NewReader("x")), 0).Read(one[:])
}

// boundDiscard bounds the time for which net/http reads what is left of the body of a request
// that was refused.
func (x *callerRequest) boundDiscard() {
	if !x.dropped && x.bodyRoom == nil && x.r.Body != nil && x.r.Body != http.NoBody {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(discardTime))
	}
}

// remoteIP returns the IP address of a caller.
func remoteIP(address string) string {
	if host, _, err := net.SplitHostPort(address); err == nil {
		return host
	}
	return address
}
