package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"agatelanding.example/agatelanding/entry/router"
	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/result"
)

// Response headers.
const (
	AdapterHeader  = "X-Agate-Adapter"
	VersionHeader  = "X-Agate-Version"
	TargetHeader   = "X-Agate-Target"
	RevisionHeader = "X-Agate-Revision"
)

func outcomeError(o *dispatch.Outcome) *result.Error {
	return &result.Error{Code: o.Code, Detail: o.Detail, RetryAfter: o.RetryAfter}
}

// writeWhole waits for the end of a call and writes its whole response.
func (f *Front) writeWhole(w http.ResponseWriter, r *http.Request, call *dispatch.Call, response *router.ResponseBuffer) {
	for response.Outcome() == nil {
		select {
		case <-response.Changed():
		case <-r.Context().Done():
			f.System.Root.Send(f.Router, &router.Abort{Number: call.Number})
			return
		}
	}
	data, outcome := response.Take()
	if outcome.Code != result.OK {
		writeErrorResponse(w, outcomeError(outcome))
		return
	}
	f.observeLatency(call)
	length := 0
	for _, d := range data {
		length += len(d)
	}
	f.setResponseHeaders(w, call, outcome)
	w.Header().Set("Content-Type", outcome.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(length))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.WriteTimeout))
	w.WriteHeader(outcome.HTTPStatus)
	for _, d := range data {
		if _, err := w.Write(d); err != nil {
			return
		}
	}
}

// setResponseHeaders names the configuration revision, the adapter and the target
// of a call. o is nil while the call has no outcome.
func (f *Front) setResponseHeaders(w http.ResponseWriter, call *dispatch.Call, o *dispatch.Outcome) {
	h := w.Header()
	h.Set(RevisionHeader, strconv.FormatUint(call.Revision, 10))
	h.Set(AdapterHeader, call.Route.Adapter)
	h.Set(VersionHeader, call.Route.Version)
	if o != nil {
		h.Set(TargetHeader, o.Target)
	}
}

func (f *Front) observeLatency(call *dispatch.Call) {
	f.Metrics.Observe("answer_ms", time.Since(call.ArrivedAt).Milliseconds())
}

// writeStream writes a response as it arrives. A response that fails after its
// start ends with an error event and an aborted connection, so that no caller
// takes it for complete.
func (f *Front) writeStream(w http.ResponseWriter, r *http.Request, call *dispatch.Call, response *router.ResponseBuffer) {
	control := http.NewResponseController(w)
	started := false
	for {
		data, outcome := response.Take()
		if len(data) > 0 && !started {
			started = true
			f.Metrics.Observe("first_token_ms", time.Since(call.ArrivedAt).Milliseconds())
			f.setResponseHeaders(w, call, nil)
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(http.StatusOK)
		}
		if len(data) > 0 && !f.writeData(w, control, data) {
			f.System.Root.Send(f.Router, &router.Abort{Number: call.Number})
			return
		}
		if outcome != nil {
			f.endStream(w, call, outcome, started)
			return
		}
		select {
		case <-response.Changed():
		case <-r.Context().Done():
			f.System.Root.Send(f.Router, &router.Abort{Number: call.Number})
			return
		}
	}
}

// writeData writes and flushes data. It reports whether that succeeded.
func (f *Front) writeData(w http.ResponseWriter, control *http.ResponseController, data [][]byte) bool {
	_ = control.SetWriteDeadline(time.Now().Add(f.WriteTimeout))
	for _, d := range data {
		if _, err := w.Write(d); err != nil {
			return false
		}
	}
	return control.Flush() == nil
}

// endStream ends a response with the outcome of its call. started is true if
// data went to the caller.
func (f *Front) endStream(w http.ResponseWriter, call *dispatch.Call, o *dispatch.Outcome, started bool) {
	switch {
	case o.Code == result.OK:
		f.observeLatency(call)
		if !started {
			w.WriteHeader(http.StatusOK)
		}
	case !started:
		writeErrorResponse(w, outcomeError(o))
	default:
		body, _ := json.Marshal(newErrorBody(outcomeError(o)))
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
