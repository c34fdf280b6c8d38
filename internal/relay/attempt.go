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
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// maxEventBytes bounds one event of a stream, and the bytes between two events
	// that are no event, such as comments.
	maxEventBytes = 128 << 10
	// maxDeclineBytes and maxDeclineTime bound what is read of the body of a decline
	// so that the connection can be used again.
	maxDeclineBytes = 64 << 10
	maxDeclineTime  = 100 * time.Millisecond
)

// errSilent ends an attempt whose target was silent when another one was granted.
var errSilent = errors.New("no response or event in time; another target takes the request")

// streamStats holds the figures of a stream for log lines and metrics.
type streamStats struct {
	// events counts the events sent to the caller.
	events int
	// firstEventDelay is the time from the arrival of the request to its first
	// event.
	firstEventDelay time.Duration
	// maxPause is the longest time between two events.
	maxPause time.Duration
	// lastEventAt is when the last event was sent to the caller.
	lastEventAt time.Time
}

// attempt sends the request to one target and relays its response. done is true
// if the response was sent to the caller; otherwise mayHaveRun is true if the
// target may have run the request, and next is the target that was granted while this
// one was silent, nil if there is none.
func (x *callerRequest) attempt(ctx context.Context, target *grantedTarget) (done, mayHaveRun bool, next *grantedTarget) {
	grant, requestNumber := target.grant, target.requestNumber
	x.requestNumber, x.targetID, x.adapterVersion, x.grant = requestNumber, grant.Target.ID, grant.Version, grant
	x.triedTargets = append(x.triedTargets, grant.Target.ID)
	x.history.sends++
	x.began = false
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := x.newReplacement(func() { cancel(errSilent) })
	silence.start()
	// A panic ends the request, so that no other target is needed.
	needed := false
	defer func() { next = silence.end(needed) }()
	done, mayHaveRun = x.send(ctx, grant, requestNumber, silence)
	needed = !done
	return done, mayHaveRun, nil
}

// send sends the request to the target of an attempt and relays its response.
func (x *callerRequest) send(ctx context.Context, grant steering.Grant, requestNumber uint64, silence *replacement) (done, mayHaveRun bool) {
	resp, failure := x.h.Upstream.Do(ctx, grant.Target.Address, x.upstreamRequest(grant))
	if failure != nil {
		return false, x.handleNoResponse(requestNumber, failure)
	}
	defer resp.Body.Close()
	if n := x.h.Dialect.ParseNotice(resp); n != (steering.Notice{}) {
		x.h.Broker.Notified(grant.Target, n)
	}
	switch x.h.Dialect.Classify(resp, x.meta.AttemptID) {
	case Declined:
		x.handleDeclined(requestNumber, resp)
		return false, false
	case Untrusted:
		x.logBroken(errUntrusted)
		x.failAttempt(requestNumber, steering.ResponseBroken, result.AnswerCut)
		return false, true
	case Failed:
		return x.handleFailed(requestNumber, resp)
	}
	if x.route.Kind != catalog.Stream {
		return x.relayWhole(requestNumber, resp)
	}
	return x.relayStream(ctx, requestNumber, resp, silence)
}

// upstreamRequest builds the request to the granted target. A stream that has
// started continues after the last event that the caller got.
func (x *callerRequest) upstreamRequest(grant steering.Grant) *upstream.Request {
	fields := UpstreamFields{Target: grant.Target.ID, Remaining: x.remaining(), Version: grant.Version, Priority: -1}
	if x.history.streamStarted {
		fields.LastEventID = x.lastEventID
	}
	id := x.meta.AttemptID
	return &upstream.Request{
		Method: x.r.Method, URI: x.requestURI(), Host: x.r.Host, Header: x.h.Dialect.UpstreamHeader(x.r.Header, fields), Body: x.body,
		MatchesAnswer: func(resp *http.Response) bool { return x.h.Dialect.MatchesRequest(resp, id) },
	}
}

// failAttempt records the code of a failed attempt and reports its outcome to the
// broker.
func (x *callerRequest) failAttempt(requestNumber uint64, outcome steering.Outcome, code result.Code) {
	x.history.lastCode = code
	if outcome == steering.ResponseBroken && !x.began {
		x.h.Metrics.Count("answers_broken_before_first_event")
	}
	x.h.Broker.Done(requestNumber, outcome)
}

// handleNoResponse records an attempt without a response. It reports whether the
// target may have run the request.
func (x *callerRequest) handleNoResponse(requestNumber uint64, failure *upstream.Error) (mayHaveRun bool) {
	switch {
	case !failure.MaybeSent:
		x.failAttempt(requestNumber, steering.Unreachable, result.EngineUnavailable)
	case x.r.Context().Err() != nil:
		x.failAttempt(requestNumber, steering.Abandoned, result.CallerGone)
	default:
		x.failAttempt(requestNumber, steering.ResponseBroken, result.AnswerCut)
	}
	if errors.Is(failure.Cause, upstream.ErrOverBounds) {
		x.h.Metrics.Count("answers_over_bounds")
	}
	x.withBreak(x.attemptLog().With("sent", failure.MaybeSent), failure.Cause).Info("no answer from the target")
	return failure.MaybeSent
}

// handleDeclined records that the target did not run the request. It reads a short
// body so that the connection can be used again.
func (x *callerRequest) handleDeclined(requestNumber uint64, resp *http.Response) {
	timer := time.AfterFunc(maxDeclineTime, func() { _ = resp.Body.Close() })
	_, _ = io.CopyN(io.Discard, resp.Body, maxDeclineBytes)
	timer.Stop()
	wrongTarget, retryAfter := x.h.Dialect.ParseDecline(resp)
	x.history.requestedDelay = retryAfter
	outcome := steering.Declined
	if wrongTarget {
		outcome = steering.WrongIncarnation
	}
	x.failAttempt(requestNumber, outcome, result.QueueFull)
	x.attemptLog().With("status", resp.StatusCode).With("version", x.adapterVersion).With("retry_after_ms", retryAfter.Milliseconds()).Info("the target declined")
}

// handleFailed records a failure response of the target. The response is kept
// and goes to the caller if no other target succeeds.
func (x *callerRequest) handleFailed(requestNumber uint64, resp *http.Response) (done, mayHaveRun bool) {
	whole, err := x.readResponse(resp)
	if err != nil {
		x.failAttempt(requestNumber, steering.ResponseBroken, result.AnswerCut)
		return false, true
	}
	x.failAttempt(requestNumber, steering.Answered, result.EngineFailed)
	x.history.failureResponse = whole
	return false, true
}

// readResponse reads a response to its end. It returns an error if the response
// ends early or is too large.
func (x *callerRequest) readResponse(resp *http.Response) (*wholeResponse, error) {
	x.began = true
	body, err := x.buffers.read(resp.Body, resp.ContentLength)
	if err != nil {
		x.logBroken(err)
		return nil, err
	}
	return &wholeResponse{status: resp.StatusCode, header: x.h.Dialect.CallerHeader(resp.Header), body: body}, nil
}

// attemptLog returns a logger with the fields that identify the present attempt in
// the logs of all processes.
func (x *callerRequest) attemptLog() *telemetry.Logger {
	return x.h.Log.With("id", x.meta.AttemptID).With("entry", x.h.EntryName).
		With("number", x.requestNumber).With("target", x.targetID)
}

// logStreamBroke writes a line for a stream without an end. endedBy tells whether the
// target or this entry ended it.
func (x *callerRequest) logStreamBroke(ctx context.Context, err error) {
	endedBy := "target"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSilent):
		endedBy = "silence"
	case cause != nil:
		endedBy = "deadline"
	}
	x.withBreak(x.requestLog(), err).With("ended_by", endedBy).With("events", x.streamStats.events).Info("the stream broke")
}

// logBroken writes a line for a response that is no whole answer.
func (x *callerRequest) logBroken(err error) {
	if errors.Is(err, upstream.ErrOverBounds) {
		x.h.Metrics.Count("answers_over_bounds")
	}
	x.withBreak(x.attemptLog(), err).Info("the answer of the target is not whole")
}

// relayWhole reads a response that is not a stream and sends it to the caller.
func (x *callerRequest) relayWhole(requestNumber uint64, resp *http.Response) (done, mayHaveRun bool) {
	whole, err := x.readResponse(resp)
	if err != nil {
		x.failAttempt(requestNumber, steering.ResponseBroken, result.AnswerCut)
		return false, true
	}
	x.h.Broker.Done(requestNumber, steering.Answered)
	x.writeResponse(whole)
	return true, true
}

// relayStream sends the events of a stream to the caller as they arrive. It sends
// whole events only, so that the stream can continue at another target.
func (x *callerRequest) relayStream(ctx context.Context, requestNumber uint64, resp *http.Response, silence *replacement) (done, mayHaveRun bool) {
	reader := bufio.NewReaderSize(resp.Body, 4<<10)
	first := true
	// notEvents holds what the target sent since the last event with an ID, such as
	// comments. It is passed on with the next event: alone it shows no progress, and a
	// stream that continues at another target must not contain it.
	var notEvents []byte
	for {
		event, err := readEvent(reader)
		if err == nil && eventID(event) == "" {
			if notEvents = append(notEvents, event...); len(notEvents) <= maxEventBytes {
				continue
			}
			err = upstream.ErrOverBounds
		}
		if err == nil {
			silence.progressed()
			if first {
				first, x.began = false, true
				x.h.Broker.FirstEvent(requestNumber)
			}
			if !x.writeEvent(resp, event, notEvents) {
				x.h.Broker.Done(requestNumber, steering.Abandoned)
				x.log("writing to the caller failed")
				panic(http.ErrAbortHandler)
			}
			notEvents = nil
			continue
		}
		if err == io.EOF && first && endsWithConnection(resp) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF && len(event) == 0 {
			x.h.Broker.Done(requestNumber, steering.Answered)
			x.endStream(resp, notEvents)
			return true, true
		}
		if x.r.Context().Err() != nil {
			x.failAttempt(requestNumber, steering.Abandoned, result.CallerGone)
		} else {
			x.failAttempt(requestNumber, steering.ResponseBroken, result.AnswerCut)
			if errors.Is(err, upstream.ErrOverBounds) {
				x.logBroken(err)
			}
			x.logStreamBroke(ctx, err)
		}
		return false, true
	}
}

// endsWithConnection reports whether only the end of its connection ends a response. Then
// the end of the target cannot be told from that of a response without a body.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// endStream completes a stream with what followed the last event. A stream without
// events still sends its header.
func (x *callerRequest) endStream(resp *http.Response, notEvents []byte) {
	if !x.history.streamStarted {
		x.startStream(resp)
	}
	_ = http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = x.w.Write(notEvents)
	x.h.Metrics.Observe("answer_ms", time.Since(x.arrived).Milliseconds())
	x.logEnd(result.OK, resp.StatusCode)
}

// startStream sends the response header to the caller.
func (x *callerRequest) startStream(resp *http.Response) {
	header := x.w.Header()
	for name, values := range x.h.Dialect.CallerHeader(resp.Header) {
		header[name] = values
	}
	x.w.WriteHeader(resp.StatusCode)
	x.history.streamStarted = true
}

// writeEvent sends one event to the caller, after what preceded it, and reports
// whether that succeeded. It skips an event that the caller already has, that is, one
// with the ID of the last event sent.
func (x *callerRequest) writeEvent(resp *http.Response, event, preceding []byte) bool {
	id := eventID(event)
	if id != "" && id == x.lastEventID && x.history.streamStarted {
		return true
	}
	now := time.Now()
	if !x.history.streamStarted {
		x.startStream(resp)
		x.streamStats.firstEventDelay = now.Sub(x.arrived)
		x.h.Metrics.Observe("first_event_ms", x.streamStats.firstEventDelay.Milliseconds())
	} else if !x.streamStats.lastEventAt.IsZero() {
		x.streamStats.maxPause = max(x.streamStats.maxPause, now.Sub(x.streamStats.lastEventAt))
	}
	x.streamStats.events++
	x.streamStats.lastEventAt = now
	if id != "" {
		x.lastEventID = id
	}
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(now.Add(writeTimeout))
	if len(preceding) > 0 {
		event = append(preceding, event...)
	}
	if _, err := x.w.Write(event); err != nil {
		return false
	}
	return control.Flush() == nil
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
