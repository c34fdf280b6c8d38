package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"

	"agatelanding.example/agatelanding/internal/upstream"
)

// errNoContinuation ends a response that does not go on with a stream after its last event.
var errNoContinuation = errors.New("the response does not continue the stream")

// eventReader reads the events of a stream. One goroutine at a time uses it.
type eventReader struct {
	// after is the ID of the event that the response continues after, or of the last one
	// returned since. It is empty for a stream from its start, whose bytes are passed on as
	// they are.
	after  string
	resp   *http.Response
	reader *bufio.Reader
	// peeked is an event that was read and not returned yet.
	peeked []byte
	began  bool
	// preceding holds what the target sent between the last two events with an ID, such
	// as comments. It is passed on with the next event: alone it shows no progress, and a
	// stream that continues at another target must not contain it.
	preceding []byte
	// room is what the present event and what precedes it take.
	room *targetRead
}

func newEventReader(resp *http.Response, after string, pool *BufferPool, target string) *eventReader {
	return &eventReader{
		after: after, resp: resp, reader: bufio.NewReaderSize(resp.Body, 4<<10),
		room: pool.startRead(target, func() { _ = resp.Body.Close() }),
	}
}

// close gives back the room.
func (e *eventReader) close() { e.room.end(false) }

// peek reads the next event, which next then returns.
func (e *eventReader) peek() error {
	event, err := e.next()
	if err == nil {
		e.peeked = event
	}
	return err
}

// next returns the next event with an ID. It returns io.EOF at the end of a whole stream. A
// response that continues a stream has at least one event above the last one: without it, the
// end of the stream cannot be told from a failure of the target.
func (e *eventReader) next() ([]byte, error) {
	if event := e.peeked; event != nil {
		e.peeked = nil
		return event, nil
	}
	if e.after != "" && !e.began && !isEventStream(e.resp) {
		return nil, errNoContinuation
	}
	e.preceding = nil
	e.room.keep(0)
	for {
		event, err := e.readEvent()
		id := eventID(event)
		switch {
		case err != nil && e.room.interrupted():
			return nil, upstream.ErrOverBounds
		case err == io.EOF && (len(event) > 0 || !e.began && endsWithConnection(e.resp)):
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF && e.after != "" && !e.began:
			return nil, errNoContinuation
		case err != nil:
			return nil, err
		case id != "" && e.after == "":
			e.began = true
			return event, nil
		case id != "" && id == e.after:
			// The target repeats the last event.
			e.preceding = nil
			continue
		case id != "" && !follows(id, e.after):
			return nil, errNoContinuation
		case id != "":
			if !e.began {
				// What precedes the first event is not part of the stream.
				e.preceding = nil
			}
			e.began, e.after = true, id
			return event, nil
		}
		if e.preceding = append(e.preceding, event...); len(e.preceding) > maxEventBytes {
			return nil, upstream.ErrOverBounds
		}
	}
}

// isEventStream reports whether a response is a whole stream of events by its head.
func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream" && resp.StatusCode == http.StatusOK
}

// follows reports whether an event ID is above another one. IDs that are no numbers have no
// order.
func follows(id, last string) bool {
	a, errA := strconv.ParseUint(id, 10, 64)
	b, errB := strconv.ParseUint(last, 10, 64)
	return errA != nil || errB != nil || a > b
}

// endsWithConnection reports whether only the end of its connection ends a response. Then
// the end of the target cannot be told from that of a response without a body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readEvent returns the next event with the empty line that ends it. At the
// end of the stream it returns the remaining bytes and io.EOF.
func (e *eventReader) readEvent() ([]byte, error) {
	var event []byte
	for {
		line, err := e.reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes || !e.room.keep(2*(len(e.preceding)+len(event))):
			return event, upstream.ErrOverBounds
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
	}
}

// eventID returns the value of the id field of an event, or "" if it has none.
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}
