package relay

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

// errQuarantined ends an attempt that has not begun when a part of its prompt is
// quarantined.
var errQuarantined = errors.New("a part of the prompt is quarantined")

// watchQuarantine ends the request when a part of its prompt is quarantined, unless a
// target has begun to answer it. It reports whether one is already.
func (x *callerRequest) watchQuarantine(end context.CancelCauseFunc) (stop func(), blocked bool) {
	stop = x.h.Containment.Watch(x.meta.PromptParts, func(part string) {
		x.quarantinedPart.Store(&part)
		if !x.began.Load() {
			end(errQuarantined)
		}
	})
	part, blocked := x.h.Containment.Blocked(x.meta.PromptParts)
	if blocked {
		x.quarantinedPart.Store(&part)
	}
	return stop, blocked
}

// refuseQuarantined ends a request because of a quarantined part.
func (x *callerRequest) refuseQuarantined(part string) {
	x.requestLog().With("part", part).Info("refused for a quarantined part")
	retryAfter := time.Duration(0)
	if x.history.possibleRuns == 0 {
		retryAfter = callerRetryAfter(quarantineRetryAfter, x.remaining(), rand.Float64())
	}
	x.writeRefusal(result.Refuse(result.PromptQuarantined, retryAfter, "part "+part))
}

// beganAnswer records that the target of the present attempt began to answer.
func (x *callerRequest) beganAnswer() {
	x.began.Store(true)
	x.h.Containment.Began(x.meta.PromptParts)
}

// targetBroke reports to the containment that a target ended the connection before its
// answer was whole. ctx is that of the attempt: an attempt that was ended here says
// nothing of the target. It reports whether the answer had not begun.
func (x *callerRequest) targetBroke(ctx context.Context, target *catalog.Target, began bool, sentAt time.Time) (beforeBegin bool) {
	parts := x.meta.PromptParts
	if len(parts) == 0 || context.Cause(ctx) != nil {
		return false
	}
	if began {
		parts = nil
	}
	x.h.Containment.Broken(target, parts, sentAt)
	return !began
}
