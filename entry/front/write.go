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

// Headers of answers.
const (
	AdapterHeader  = "X-Agate-Adapter"
	VersionHeader  = "X-Agate-Version"
	TargetHeader   = "X-Agate-Target"
	RevisionHeader = "X-Agate-Revision"
)

func outcomeError(o *dispatch.Outcome) *result.Error {
	return &result.Error{Code: o.Code, Detail: o.Detail, RetryAfter: o.RetryAfter}
}

// writeWhole waits for the end of a call and writes its answer at once.
func (f *Front) writeWhole(w http.ResponseWriter, r *http.Request, call *dispatch.Call, answer *router.Answer) {
	for answer.Outcome() == nil {
		select {
		case <-answer.Changed():
		case <-r.Context().Done():
			f.System.Root.Send(f.Router, &router.Abort{Number: call.Number})
			return
		}
	}
	data, outcome := answer.Take()
	if outcome.Code != result.OK {
		writeFailure(w, outcomeError(outcome))
		return
	}
	f.observe(call)
	size := 0
	for _, d := range data {
		size += len(d)
	}
	f.answerHeader(w, call, outcome)
	w.Header().Set("Content-Type", outcome.ContentType)
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(f.WriteTimeout))
	w.WriteHeader(outcome.Status)
	for _, d := range data {
		if _, err := w.Write(d); err != nil {
			return
		}
	}
}

func (f *Front) answerHeader(w http.ResponseWriter, call *dispatch.Call, o *dispatch.Outcome) {
	h := w.Header()
	h.Set(RevisionHeader, strconv.FormatUint(call.Revision, 10))
	h.Set(AdapterHeader, call.Route.Adapter)
	h.Set(VersionHeader, call.Route.Version)
	if o != nil {
		h.Set(TargetHeader, o.Target)
	}
}

func (f *Front) observe(call *dispatch.Call) {
	f.Metrics.Observe("answer_ms", time.Since(call.Arrived).Milliseconds())
}

// writeStream passes an answer on as it arrives. An answer that fails after
// its start ends with an error event and a broken connection, so that no
// caller takes it for whole.
func (f *Front) writeStream(w http.ResponseWriter, r *http.Request, call *dispatch.Call, answer *router.Answer) {
	control := http.NewResponseController(w)
	started := false
	for {
		data, outcome := answer.Take()
		if len(data) > 0 && !started {
			started = true
			f.Metrics.Observe("first_token_ms", time.Since(call.Arrived).Milliseconds())
			f.answerHeader(w, call, nil)
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
		case <-answer.Changed():
		case <-r.Context().Done():
			f.System.Root.Send(f.Router, &router.Abort{Number: call.Number})
			return
		}
	}
}

func (f *Front) writeData(w http.ResponseWriter, control *http.ResponseController, data [][]byte) bool {
	_ = control.SetWriteDeadline(time.Now().Add(f.WriteTimeout))
	for _, d := range data {
		if _, err := w.Write(d); err != nil {
			return false
		}
	}
	return control.Flush() == nil
}

func (f *Front) endStream(w http.ResponseWriter, call *dispatch.Call, o *dispatch.Outcome, started bool) {
	switch {
	case o.Code == result.OK:
		f.observe(call)
		if !started {
			w.WriteHeader(http.StatusOK)
		}
	case !started:
		writeFailure(w, outcomeError(o))
	default:
		body, _ := json.Marshal(errorBody(outcomeError(o)))
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", body)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
