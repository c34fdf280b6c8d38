package relay

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/upstream"
)

// maxSendFields is the number of fields of a record, with the one that marks it.
const maxSendFields = 22

// maxBufferedBody is the length up to which net/http sends a body with Content-Length rather
// than in chunks.
const maxBufferedBody = 2048

// sendRecord holds what is logged of one send of a request that may run once.
type sendRecord struct {
	// usage is filled by upstream.Pool.Do.
	usage upstream.Usage
	// fields are those that are known so far.
	fields telemetry.Fields
	// evidence is what the send has left, Inconclusive until recordEvidence.
	evidence resend.Evidence
	// answered is true once the whole answer has arrived.
	answered bool
}

// pastSend is what recordPromise tells of a send.
type pastSend struct {
	target     string
	startedMS  int64
	connection uint64
	evidence   resend.Evidence
}

// String returns the send in the form TARGET@STARTED#CONNECTION:EVIDENCE. A connection of 0
// means none.
func (s pastSend) String() string {
	return fmt.Sprintf("%s@%d#%d:%s", s.target, s.startedMS, s.connection, s.evidence)
}

// beginSendRecord begins the record of the present attempt. Repeatable requests have none: two
// attempts at one may run beside each other.
func (x *callerRequest) beginSendRecord() {
	if x.route.Repeatable() {
		return
	}
	target := x.grant.Target
	fields := make(telemetry.Fields, maxSendFields)
	fields["id"], fields["entry"], fields["number"], fields["route"] = x.meta.AttemptID, x.h.EntryName, x.requestNumber, x.route.Name
	fields["target"], fields["target_started_ms"], fields["send"] = target.ID, target.StartedAtMS, x.sends.Counts().Sends
	if x.sentView.known {
		fields["view"], fields["view_age_ms"] = x.sentView.at.Revision, x.sentView.age.Milliseconds()
	}
	x.sendRecord = &sendRecord{fields: fields}
}

// connection returns where the connection of the send is recorded, nil for nowhere.
func (r *sendRecord) connection() *upstream.Usage {
	if r == nil {
		return nil
	}
	return &r.usage
}

// failed records a send without a response.
func (r *sendRecord) failed(failure *upstream.Error) {
	if r != nil {
		r.fields["sent"], r.fields["error"] = failure.MaybeSent, failure.Cause.Error()
	}
}

// responded records the head of the response and what it means for the request. named is
// true if it names the request, and no other.
func (r *sendRecord) responded(resp *http.Response, class ResponseClass, named bool) {
	if r != nil {
		r.fields["sent"], r.fields["status"], r.fields["response"], r.fields["named"] = true, resp.StatusCode, class.String(), named
	}
}

// complete records that the whole answer has arrived.
func (r *sendRecord) complete() {
	if r != nil {
		r.answered = true
	}
}

// recordEvidence records what the present attempt has left as evidence. It reports whether its target may
// have run the request.
func (x *callerRequest) recordEvidence(e resend.Evidence) (mayHaveRun bool) {
	if x.sendRecord != nil {
		x.sendRecord.evidence = e
		x.sendRecord.fields["evidence"] = e.String()
	}
	return x.sends.End(e)
}

// logSend logs the record of the present attempt, if it has one that was not logged yet.
func (x *callerRequest) logSend(done bool) {
	r := x.sendRecord
	if r == nil {
		return
	}
	x.sendRecord = nil
	believed := "not_run"
	switch {
	case done || r.answered:
		believed = "answered"
	case x.sends.LastMayHaveRun():
		believed = "may_have_run"
	}
	stop := x.sendStop(done || r.answered)
	fields := r.fields
	if r.usage.Connection != 0 {
		fields["connection"], fields["kept"], fields["carried"] = r.usage.Connection, r.usage.Kept(), r.usage.Carried
	}
	fields["believed"], fields["again"], fields["ms"] = believed, stop == "", time.Since(x.sentAt).Milliseconds()
	if stop != "" {
		fields["stop"] = stop
	}
	x.pastSends = append(x.pastSends, pastSend{x.targetID, x.grant.Target.StartedAtMS, r.usage.Connection, r.evidence})
	x.h.Log.Record("send ended", fields)
}

// sendStop returns why the request is not sent once more, empty if it may be.
func (x *callerRequest) sendStop(answered bool) string {
	switch {
	case answered:
		return "answered"
	case x.r.Context().Err() != nil:
		return "caller_left"
	case x.endedByStop():
		return "stopping"
	case x.quarantined.Load() != nil:
		return "quarantined"
	}
	return x.sends.Stop(x.remaining())
}

// recordPromise counts and logs that a caller was told that its request, which may run once,
// has not run, although it was sent.
func (x *callerRequest) recordPromise(code result.Code, status, bodyBytes int) {
	if len(x.pastSends) == 0 || !resend.PromisesNotRun(status) {
		return
	}
	sends := make([]string, len(x.pastSends))
	for i, s := range x.pastSends {
		sends[i] = s.String()
		x.h.Metrics.PromisedAfterSend(status, s.evidence.String())
	}
	form := "length"
	if bodyBytes > maxBufferedBody {
		form = "chunks"
	}
	x.h.Log.Record("refused after a send", telemetry.Fields{
		"id": x.meta.AttemptID, "entry": x.h.EntryName, "number": x.requestNumber, "status": status, "sends": strings.Join(sends, ","),
		"reason": code.String(), "route": x.route.Name, "form": form, "ms": time.Since(x.arrived).Milliseconds(),
	})
}

// recordSendAgain logs the decision to send a request that may run once to one more target.
func (x *callerRequest) recordSendAgain() {
	if x.route.Repeatable() {
		return
	}
	x.h.Log.Record("to be sent again", telemetry.Fields{
		"id": x.meta.AttemptID, "entry": x.h.EntryName, "number": x.requestNumber, "target": x.targetID, "send": x.sends.Counts().Sends,
		"ran": x.sends.Counts().PossibleRuns, "reason": x.history.lastCode.String(), "left_ms": x.remaining().Milliseconds(),
	})
}
