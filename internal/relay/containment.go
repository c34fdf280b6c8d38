package relay

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
)

// errQuarantined ends an attempt that has not begun when the request, or a part of its
// prompt, is quarantined.
var errQuarantined = errors.New("the request is quarantined")

// watchQuarantine ends the request when it or a part of its prompt is quarantined, unless
// a target has begun to answer it. It reports whether that is so already.
func (x *callerRequest) watchQuarantine(end context.CancelCauseFunc) (stop func(), blocked bool) {
	stop = x.h.Containment.Watch(x.identity, func(cause Cause) {
		x.quarantined.Store(&cause)
		if !x.began.Load() {
			end(errQuarantined)
		}
	})
	cause, blocked := x.h.Containment.Blocked(x.identity)
	if blocked {
		x.quarantined.Store(&cause)
	}
	return stop, blocked
}

// turnPollInterval is the time between two looks whether a request may be sent.
const turnPollInterval = 25 * time.Millisecond

// awaitTurn waits until a request that may have crashed targets may be sent, and returns
// the only target that may get it, empty for any.
func (x *callerRequest) awaitTurn(ctx context.Context, deadline time.Time) (target string, refused *steering.Refused) {
	suspected := func(retryAfter time.Duration) (string, *steering.Refused) {
		return "", &steering.Refused{Code: result.RequestSuspected, RetryAfter: retryAfter}
	}
	turn := x.h.Containment.Turn(x.identity, x.poolName)
	if turn.Once && x.sends.MayHaveRun() {
		return "", &steering.Refused{Code: result.RequestQuarantined}
	}
	if turn.NeedsPermit {
		granted, retryAfter := x.h.Containment.Permit(x.identity, deadline)
		if !granted || ctx.Err() != nil {
			return suspected(retryAfter)
		}
		turn = x.h.Containment.Turn(x.identity, x.poolName)
	}
	for turn.Wait {
		select {
		case <-ctx.Done():
			return suspected(turnPollInterval)
		case <-time.After(turnPollInterval):
		}
		if time.Now().After(deadline) {
			return suspected(turnPollInterval)
		}
		turn = x.h.Containment.Turn(x.identity, x.poolName)
	}
	return turn.Target, nil
}

// refuseQuarantined ends a request because it, or a part of its prompt, is quarantined.
func (x *callerRequest) refuseQuarantined(cause Cause) {
	code, detail := result.PromptQuarantined, "part "+cause.Part
	if cause.Digest == "" {
		x.requestLog().With("part", cause.Part).Info("refused for a quarantined part")
	} else {
		code, detail = result.RequestQuarantined, "digest "+cause.Digest[:min(len(cause.Digest), shownDigestBytes)]
		x.requestLog().With("digest", cause.Digest).Info("refused as a quarantined request")
	}
	retryAfter := time.Duration(0)
	if !x.sends.MayHaveRun() {
		retryAfter = callerRetryAfter(quarantineRetryAfter, x.remaining(), rand.Float64())
	}
	x.writeRefusal(result.Refuse(code, retryAfter, detail))
}

// beganAnswer records that the target of the present attempt began to answer.
func (x *callerRequest) beganAnswer() {
	x.began.Store(true)
	x.h.Containment.Began(x.identity)
}

// targetBroke reports to the containment that a target ended the connection before its
// answer was whole. ctx is that of the attempt: an attempt that was ended here says
// nothing of the target. It reports whether the answer had not begun.
func (x *callerRequest) targetBroke(ctx context.Context, target *catalog.Target, began bool, sentAt time.Time) (beforeBegin bool) {
	if context.Cause(ctx) != nil {
		return false
	}
	x.h.Containment.Broken(target, x.identity, began, sentAt)
	return !began && len(x.identity.Parts()) > 0
}
