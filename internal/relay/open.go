package relay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quarantine"
	"agatelanding.example/agatelanding/internal/decide/resend"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/upstream"
)

// openedResponse is a response of a target that has begun: the first event of a stream
// has arrived, or the whole of another response.
type openedResponse struct {
	// ctx bounds the response, and end ends it.
	ctx     context.Context
	end     context.CancelCauseFunc
	resp    *http.Response
	events  *eventReader
	whole   *wholeResponse
	buffers buffers
}

func (o *openedResponse) close() {
	o.end(nil)
	if o.resp != nil {
		_ = o.resp.Body.Close()
	}
	if o.events != nil {
		o.events.close()
	}
	o.buffers.release()
}

// newReplacement returns the search for a target that replaces a silent one of the
// present attempt. ctx is that of the request.
func (x *callerRequest) newReplacement(ctx context.Context, endAttempt func()) *replacement {
	sends, silentTarget := x.sends, x.targetID
	return &replacement{
		ctx: ctx, timeout: attemptTimeout(x.route, x.sends.Counts().PossibleRuns), maxOverlap: maxOverlap(x.route), endAttempt: endAttempt, release: x.release,
		mayReplace: func(failed resend.Counts) bool { return sends.MayReplace(x.remaining(), failed) },
		open: func(searchCtx context.Context, resumeAfter string, failed []string, sent func()) openOutcome {
			excluded := append(slices.Clone(sends.Excluded()), failed...)
			return x.openElsewhere(ctx, searchCtx, resumeAfter, silentTarget, excluded, sent)
		},
	}
}

// release gives up a target that is not needed, with the response that it has begun.
func (x *callerRequest) release(target *grantedTarget) {
	if target.opened != nil {
		target.opened.close()
	}
	x.h.Broker.Done(target.requestNumber, steering.Abandoned)
}

// openElsewhere sends the request to a target other than the silent one and those excluded,
// and waits until it begins to answer. ctx bounds the response, search only the wait. It
// runs beside the attempt and uses no field that the attempt changes.
func (x *callerRequest) openElsewhere(ctx, search context.Context, resumeAfter, silentTarget string, excluded []string, sending func()) openOutcome {
	if !x.h.RetryBudget.CanSpend(time.Now(), x.poolName) {
		x.h.Metrics.NotRetried(retry.StopBudget)
		return openOutcome{}
	}
	if x.h.Containment.Turn(x.identity, x.poolName) != (quarantine.Turn{}) {
		x.h.Metrics.Count("silent_attempts_kept")
		return openOutcome{}
	}
	grant, requestNumber, refused := x.h.Broker.Acquire(search, x.targetRequest(time.Now(), excluded))
	if refused != nil {
		x.h.Metrics.Count("silent_attempts_kept")
		return openOutcome{}
	}
	if !x.mayRepeat() {
		x.h.Broker.Done(requestNumber, steering.Abandoned)
		x.h.Metrics.Count("silent_attempts_kept")
		return openOutcome{}
	}
	if !x.h.RetryBudget.TrySpend(time.Now(), x.poolName) {
		x.h.Metrics.NotRetried(retry.StopBudget)
		x.h.Broker.Done(requestNumber, steering.Abandoned)
		return openOutcome{}
	}
	x.h.Metrics.Retried(result.AnswerCut)
	o := &openedResponse{buffers: buffers{pool: x.h.Buffers}}
	o.ctx, o.end = context.WithCancelCause(ctx)
	stop := context.AfterFunc(search, func() { o.end(context.Canceled) })
	sentAt := time.Now()
	sent := x.h.Containment.Sent(x.identity, grant.Target.ID)
	sending()
	outcome, mayHaveRun := x.open(o, grant, resumeAfter)
	sent()
	if !stop() && outcome == 0 {
		outcome, mayHaveRun = steering.Abandoned, true
	}
	overlap := time.Since(sentAt)
	if bound := maxOverlap(x.route); bound > 0 {
		overlap = min(overlap, bound)
	}
	x.h.Metrics.Observe("two_targets_ms", overlap.Milliseconds())
	x.h.Log.With("id", x.meta.AttemptID).With("entry", x.h.EntryName).With("number", requestNumber).With("target", grant.Target.ID).
		With("silent_target", silentTarget).With("after_event", resumeAfter).With("overlap_ms", overlap.Milliseconds()).
		With("began", outcome == 0).Info("sent elsewhere, because the target is silent")
	if outcome != 0 {
		broken := outcome == steering.ResponseBroken && x.targetBroke(o.ctx, grant.Target, false, sentAt)
		o.close()
		x.h.Broker.Done(requestNumber, outcome)
		return openOutcome{tried: grant.Target.ID, mayHaveRun: mayHaveRun, brokeBeforeBegin: broken}
	}
	x.h.Metrics.Count("attempts_ended_by_silence")
	return openOutcome{target: &grantedTarget{grant: grant, requestNumber: requestNumber, opened: o}}
}

// open sends the request and waits for the begin of the response. It returns the outcome
// of a send that failed, else 0, and whether the target may have run the request.
func (x *callerRequest) open(o *openedResponse, grant steering.Grant, resumeAfter string) (outcome steering.Outcome, mayHaveRun bool) {
	if !x.sentTo(grant.Target) || x.keyRefusal() != result.OK {
		return steering.Abandoned, false
	}
	sentAt := time.Now()
	resp, failure := x.h.Upstream.Do(o.ctx, grant.Target.Address, x.upstreamRequest(grant, resumeAfter))
	switch {
	case failure != nil && errors.Is(failure.Cause, upstream.ErrWithheld):
		x.h.Metrics.Count("sends_withheld")
		return steering.Abandoned, false
	case failure != nil && !failure.MaybeSent:
		return steering.Unreachable, false
	case failure != nil && o.ctx.Err() != nil:
		return steering.Abandoned, true
	case failure != nil:
		return steering.ResponseBroken, true
	}
	o.resp = resp
	class := x.h.Dialect.Classify(resp, x.meta.AttemptID)
	x.h.passOnNotice(grant, resp, class, sentAt)
	switch class {
	case Declined:
		mayHaveRun = x.sends.Policy().MayHaveRun(x.refusalEvidence(resp), false)
		if wrongTarget, _ := x.h.Dialect.ParseDecline(resp); wrongTarget {
			return steering.WrongIncarnation, mayHaveRun
		}
		return steering.Declined, mayHaveRun
	case Untrusted:
		return steering.ResponseBroken, true
	case Failed:
		return steering.Answered, true
	}
	var err error
	if x.route.Kind == catalog.Stream {
		o.events = newEventReader(resp, resumeAfter, x.h.Buffers, grant.Target.ID)
		err = o.events.peek()
	} else {
		var body [][]byte
		body, err = o.buffers.read(resp.Body, resp.ContentLength, grant.Target.ID, func() { _ = resp.Body.Close() })
		o.whole = &wholeResponse{status: resp.StatusCode, header: x.h.Dialect.CallerHeader(resp.Header), body: body}
	}
	switch {
	case err == nil:
		return 0, true
	case o.ctx.Err() != nil:
		return steering.Abandoned, true
	}
	return steering.ResponseBroken, true
}
