package relay

import (
	"context"
	"time"

	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
)

// targetRequest returns the request to the broker for a target that is not among those
// tried.
func (x *callerRequest) targetRequest(now time.Time, tried []string) steering.Request {
	attemptID := x.meta.AttemptID
	if len(attemptID) > maxListedAttemptBytes {
		attemptID = ""
	}
	return steering.Request{
		AttemptID: attemptID, Pool: x.poolName, Model: x.meta.Model, Adapter: x.meta.Adapter, PromptTokens: x.meta.PromptTokens, AnswerTokens: x.meta.AnswerTokens, EndBy: x.deadline,
		PromptParts: x.meta.PromptParts, PartTokens: x.meta.PartTokens,
		Priority: x.priority(), FirstEventDue: x.arrived.Add(x.route.LatencyTarget), Deadline: now.Add(maxTargetWait(x.route, x.remaining())), ExcludedTargets: tried,
		AvoidedTargets: x.h.Containment.Isolate(x.identity), SoftwareVersion: x.requiredVersion(),
	}
}

// acquire waits until the broker grants a target that was not tried. It returns nil
// after it has ended the request, if the broker refuses or the retry budget is spent.
func (x *callerRequest) acquire(ctx context.Context) *grantedTarget {
	started := time.Now()
	request := x.targetRequest(started, x.sends.Excluded())
	request.RejectedBy = x.sends.Returnable()
	only, refused := x.awaitTurn(ctx, request.Deadline)
	if refused != nil {
		x.waited += time.Since(started)
		x.handleRefusal(refused)
		return nil
	}
	request.OnlyTarget = only
	grant, requestNumber, refused := x.acquireOther(ctx, request)
	if refused != nil && only == "" && x.sends.MayReturn(x.remaining()) {
		x.h.Metrics.Count("streams_returned")
		request.OnlyTarget, request.ExcludedTargets = x.sends.Return(), nil
		grant, requestNumber, refused = x.h.Broker.Acquire(ctx, request)
	}
	x.waited += time.Since(started)
	x.requestNumber = requestNumber
	if refused != nil {
		x.handleRefusal(refused)
		return nil
	}
	if x.endedByStop() {
		// The place may be that of another request that the stop has ended.
		x.h.Broker.Done(requestNumber, steering.Abandoned)
		x.giveUp()
		return nil
	}
	if x.applyNewestKind(); !x.sends.MaySendTo(grant.Target.ID) {
		x.h.Broker.Done(requestNumber, steering.Abandoned)
		x.giveUp()
		return nil
	}
	if x.sends.Counts().Sends > 0 && !x.h.RetryBudget.TrySpend(time.Now(), x.poolName) {
		x.h.Metrics.NotRetried(retry.StopBudget)
		x.h.Broker.Done(requestNumber, steering.Abandoned)
		x.giveUp()
		return nil
	}
	return &grantedTarget{grant: grant, requestNumber: requestNumber}
}

// acquireOther acquires a target that was not tried, if one more may get the request.
func (x *callerRequest) acquireOther(ctx context.Context, request steering.Request) (steering.Grant, uint64, *steering.Refused) {
	if x.sends.Counts().Sends > 0 && !x.sends.MaySendAgain(x.remaining()) {
		return steering.Grant{}, 0, &steering.Refused{Code: x.history.lastCode}
	}
	return x.h.Broker.Acquire(ctx, request)
}

// handleRefusal ends a request for which the broker grants no target.
func (x *callerRequest) handleRefusal(refused *steering.Refused) {
	if x.r.Context().Err() != nil {
		x.abandon("caller left while waiting")
	}
	if refused.Code == result.StreamVersionGone && x.versions != nil && !x.versions.hasBegun() {
		refused.Code = result.NoTarget
	}
	if !x.sends.MayHaveRun() {
		x.history.lastCode = refused.Code
		x.history.requestedDelay = refused.RetryAfter
	}
	x.giveUp()
}
