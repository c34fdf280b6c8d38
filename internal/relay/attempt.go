package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/upstream"
)

const (
	// maxWhole bounds an answer that is not a stream.
	maxWhole = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
)

var errStalled = errors.New("no answer within the limit of an attempt")

// streamStats describes a stream for logs and reports.
type streamStats struct {
	events int
	first  time.Duration
	pause  time.Duration
	last   time.Time
}

// attempt sends the request to one target. done is true when the caller has
// its answer; otherwise ran tells whether the target may have run the request.
func (x *exchange) attempt(ctx context.Context, grant steering.Grant, number uint64) (done, ran bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	guard := newStallGuard(attemptLimit(x.route, &x.history), func() { cancel(errStalled) })
	defer guard.stop()
	resp, failure := x.h.Targets.Do(ctx, grant.Target.Address, x.request(grant))
	if failure != nil {
		return false, x.noAnswer(number, failure)
	}
	defer resp.Body.Close()
	switch x.h.Dialect.Classify(resp, x.meta.ID) {
	case Declined:
		x.declined(number, resp)
		return false, false
	case Forged:
		x.failedWith(number, steering.Broke, result.AnswerCut)
		return false, true
	case Failed:
		return x.failed(number, resp)
	}
	if x.route.Kind != catalog.Stream {
		return x.whole(number, resp)
	}
	return x.streamed(number, resp, guard)
}

func (x *exchange) request(grant steering.Grant) *upstream.Request {
	send := Send{Target: grant.Target.ID, Left: x.left(), Version: grant.Version, Priority: -1}
	if x.history.delivered {
		send.LastEvent = x.lastEvent
	}
	id := x.meta.ID
	return &upstream.Request{
		Method: x.r.Method, URI: x.uri(), Host: x.r.Host, Header: x.h.Dialect.Outgoing(x.r.Header, send), Body: x.body,
		Belongs: func(resp *http.Response) bool { return x.h.Dialect.Belongs(resp, id) },
	}
}

func (x *exchange) failedWith(number uint64, outcome steering.Outcome, code result.Code) {
	x.history.cause = code
	x.h.Broker.Done(number, outcome)
}

// noAnswer records an attempt without an answer.
func (x *exchange) noAnswer(number uint64, failure *upstream.Error) (ran bool) {
	switch {
	case !failure.Sent:
		x.failedWith(number, steering.Unreached, result.EngineUnavailable)
	case x.r.Context().Err() != nil:
		x.failedWith(number, steering.Abandoned, result.CallerGone)
	default:
		x.failedWith(number, steering.Broke, result.AnswerCut)
	}
	x.h.Log.With("id", x.meta.ID).With("entry", x.h.Entry).With("number", x.number).With("target", x.target).With("sent", failure.Sent).With("error", failure.Cause).Info("no answer from the target")
	return failure.Sent
}

func (x *exchange) declined(number uint64, resp *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxEvent))
	wrong, after := x.h.Dialect.Declined(resp)
	x.history.retryAfter = after
	outcome := steering.Declined
	if wrong {
		outcome = steering.Moved
	}
	x.failedWith(number, outcome, result.QueueFull)
	x.h.Log.With("id", x.meta.ID).With("entry", x.h.Entry).With("number", x.number).With("target", x.target).With("status", resp.StatusCode).With("version", x.version).Info("the target declined")
}

// failed takes a failure that the target answered. It is kept as the answer in
// case no other target does better.
func (x *exchange) failed(number uint64, resp *http.Response) (done, ran bool) {
	answer, err := x.read(resp)
	if err != nil {
		x.failedWith(number, steering.Broke, result.AnswerCut)
		return false, true
	}
	x.failedWith(number, steering.Answered, result.EngineFailed)
	x.history.failure = answer
	return false, true
}

// read reads an answer in full. One that ends early is an error.
func (x *exchange) read(resp *http.Response) (*wholeAnswer, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxWhole+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxWhole {
		return nil, errors.New("the answer is over the limit")
	}
	return &wholeAnswer{status: resp.StatusCode, header: x.h.Dialect.Incoming(resp.Header), body: data}, nil
}

func (x *exchange) whole(number uint64, resp *http.Response) (done, ran bool) {
	answer, err := x.read(resp)
	if err != nil {
		x.failedWith(number, steering.Broke, result.AnswerCut)
		return false, true
	}
	x.h.Broker.Done(number, steering.Answered)
	x.deliver(answer)
	return true, true
}

// streamed passes the events of a stream on as they arrive. Only whole events
// are passed, so that the stream can continue at another target.
func (x *exchange) streamed(number uint64, resp *http.Response, guard *stallGuard) (done, ran bool) {
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	first := true
	for {
		event, err := readEvent(reader)
		if err == nil {
			guard.touch()
			if first {
				first = false
				x.h.Broker.FirstEvent(number)
			}
			if !x.pass(resp, event) {
				x.h.Broker.Done(number, steering.Abandoned)
				x.log("the caller does not read")
				panic(http.ErrAbortHandler)
			}
			continue
		}
		if err == io.EOF && len(event) == 0 {
			x.h.Broker.Done(number, steering.Answered)
			x.endStream(resp)
			return true, true
		}
		if x.r.Context().Err() != nil {
			x.failedWith(number, steering.Abandoned, result.CallerGone)
		} else {
			x.failedWith(number, steering.Broke, result.AnswerCut)
			x.log("the stream broke")
		}
		return false, true
	}
}

// endStream ends a stream that is complete.
func (x *exchange) endStream(resp *http.Response) {
	if !x.history.delivered {
		x.startStream(resp)
	}
	x.h.Metrics.Observe("answer_ms", time.Since(x.arrived).Milliseconds())
	x.logEnd(result.OK, resp.StatusCode)
}

func (x *exchange) startStream(resp *http.Response) {
	header := x.w.Header()
	for name, values := range x.h.Dialect.Incoming(resp.Header) {
		header[name] = values
	}
	x.w.WriteHeader(resp.StatusCode)
	x.history.delivered = true
}

// pass sends one event to the caller. An event that the caller has already is
// left out.
func (x *exchange) pass(resp *http.Response, event []byte) bool {
	id := eventID(event)
	if id != "" && id == x.lastEvent && x.history.delivered {
		return true
	}
	now := time.Now()
	if !x.history.delivered {
		x.startStream(resp)
		x.stream.first = now.Sub(x.arrived)
		x.h.Metrics.Observe("first_event_ms", x.stream.first.Milliseconds())
	} else if !x.stream.last.IsZero() {
		x.stream.pause = max(x.stream.pause, now.Sub(x.stream.last))
	}
	x.stream.events++
	x.stream.last = now
	if id != "" {
		x.lastEvent = id
	}
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(now.Add(writeTimeout))
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return control.Flush() == nil
}

var errEventSize = errors.New("an event is over the limit")

// readEvent returns the next event with the empty line that ends it. At the
// end of the stream it returns what is left and io.EOF.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return event, err
		case len(event) > maxEvent:
			return event, errEventSize
		case len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line):
			return event, nil
		}
	}
}

// eventID returns the ID of an event, or "".
func eventID(event []byte) string {
	for _, line := range bytes.Split(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// stallGuard ends an attempt that gives nothing for too long.
type stallGuard struct {
	limit time.Duration
	timer *time.Timer
}

func newStallGuard(limit time.Duration, end func()) *stallGuard {
	g := &stallGuard{limit: limit}
	if limit > 0 {
		g.timer = time.AfterFunc(limit, end)
	}
	return g
}

func (g *stallGuard) touch() {
	if g.timer != nil {
		g.timer.Reset(g.limit)
	}
}

func (g *stallGuard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
}
