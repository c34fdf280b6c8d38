package relay

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"agatelanding.example/agatelanding/internal/upstream"
)

// eventReader reads the events of a stream. One goroutine at a time uses it.
type eventReader struct {
	resp   *http.Response
	reader *bufio.Reader
	// peeked is an event that was read and not returned yet.
	peeked []byte
	began  bool
	// preceding holds what the target sent between the last two events with an ID, such
	// as comments. It is passed on with the next event: alone it shows no progress, and a
	// stream that continues at another target must not contain it.
	preceding []byte
}

func newEventReader(resp *http.Response) *eventReader {
	return &eventReader{resp: resp, reader: bufio.NewReaderSize(resp.Body, 4<<10)}
}

// peek reads the next event, which next then returns.
func (e *eventReader) peek() error {
	event, err := e.next()
	if err == nil {
		e.peeked = event
	}
	return err
}

// next returns the next event with an ID. It returns io.EOF at the end of a whole stream.
func (e *eventReader) next() ([]byte, error) {
	if event := e.peeked; event != nil {
		e.peeked = nil
		return event, nil
	}
	e.preceding = nil
	for {
		event, err := readEvent(e.reader)
		switch {
		case err == io.EOF && (len(event) > 0 || !e.began && endsWithConnection(e.resp)):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		case eventID(event) != "":
			e.began = true
			return event, nil
		}
		if e.preceding = append(e.preceding, event...); len(e.preceding) > maxEventBytes {
			return nil, upstream.ErrOverBounds
		}
	}
}

// endsWithConnection reports whether only the end of its connection ends a response. Then
// the end of the target cannot be told from that of a response without a body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// readEvent returns the next event with the empty line that ends it. At the
// end of the stream it returns the remaining bytes and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case len(event) > maxEventBytes:
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
