package relay

import (
	"context"
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/result"
)

const (
	// keysRetryAfter is the Retry-After of an entry whose keys may be out of date. Another
	// entry may know the present ones.
	keysRetryAfter = 250 * time.Millisecond
	// maxRoutePriority bounds the priority of a route within that of a workspace.
	maxRoutePriority = 15
)

// caller is what the key of a request says of its caller.
type caller struct {
	// keysInUse is true if the configuration has workspaces, and checked if the route needs
	// a key.
	keysInUse bool
	checked   bool
	// workspace is that of the key, nil without one.
	workspace *catalog.Workspace
}

// name returns the name of the workspace, empty without one.
func (c *caller) name() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// authenticate finds the workspace of the request. The age of the keys is looked at before
// the view is loaded, so that a view that is replaced meanwhile is never trusted by the age
// of its successor.
func (x *callerRequest) authenticate(route *catalog.Route) error {
	trusted := x.h.keysTrusted()
	view := x.h.View()
	if view == nil || view.Config == nil || !view.Config.HasWorkspaces() {
		return nil
	}
	x.caller.keysInUse = true
	workspace, known := view.Config.WorkspaceOf(x.meta.Key)
	switch {
	case route.Public:
		if known && !workspace.Closed {
			x.caller.workspace = workspace
		}
		return nil
	case !trusted:
		return result.Refuse(result.KeysOutdated, keysRetryAfter, "")
	case !known && x.mayBeOutdated(view):
		return result.Refuse(result.KeysOutdated, keysRetryAfter, "the key may be newer than the configuration")
	case !known && view.Config.KeysIncomplete() && x.meta.Key != "":
		return result.Refuse(result.ItemClosed, closedRetryAfter, "the key may be one that cannot be read")
	case !known:
		return result.New(result.Unauthorized, "")
	case workspace.Closed:
		return result.Refuse(result.ItemClosed, closedRetryAfter, "the workspace cannot be used")
	}
	x.caller.workspace, x.caller.checked = workspace, true
	return nil
}

// keysTrusted reports whether no key of the view has been withdrawn for too long.
func (h *Handler) keysTrusted() bool { return h.KeysTrusted == nil || h.KeysTrusted() }

// keyRefusal returns why the key of the request may no longer be used, OK if it may.
func (x *callerRequest) keyRefusal() result.Code {
	if !x.caller.checked {
		return result.OK
	}
	if !x.h.keysTrusted() {
		return result.KeysOutdated
	}
	view := x.h.View()
	if !view.Config.HasWorkspaces() {
		return result.OK
	}
	workspace, known := view.Config.WorkspaceOf(x.meta.Key)
	switch {
	case known && workspace.Closed:
		return result.ItemClosed
	case !known || workspace.Name != x.caller.workspace.Name:
		return result.Unauthorized
	}
	return result.OK
}

// keyRetryAfter returns the Retry-After of a request whose key may no longer be used.
func keyRetryAfter(code result.Code) time.Duration {
	if code == result.ItemClosed {
		return closedRetryAfter
	}
	return keysRetryAfter
}

// refuseKey ends a request whose key may no longer be used before its next send.
func (x *callerRequest) refuseKey(code result.Code) {
	x.history.lastCode, x.history.requestedDelay = code, keyRetryAfter(code)
	x.giveUp()
}

// charge charges the request to the quota of its workspace. It returns a refusal if the
// request is over the quota.
func (x *callerRequest) charge(ctx context.Context) error {
	if !x.caller.checked || x.h.Quotas == nil || !x.caller.workspace.Quota.Limited() {
		return nil
	}
	began := time.Now()
	refund, retryAfter, ok := x.h.Quotas.Charge(ctx, x.caller.workspace, x.units())
	x.waited += time.Since(began)
	if !ok {
		x.history.lastCode = result.QuotaExceeded
		return result.Refuse(result.QuotaExceeded, callerRetryAfter(retryAfter, x.remaining(), rand.Float64()), "")
	}
	x.refund = refund
	return nil
}

// units returns what the request costs in the unit of its workspace's quota.
func (x *callerRequest) units() float64 {
	quota := x.caller.workspace.Quota
	switch {
	case !quota.CountsTokens:
		return 1
	case x.meta.HasTokens:
		return float64(x.meta.Tokens)
	}
	return quota.PlainTokens
}

// settleCharge gives back what the request was charged if no target can have run it.
func (x *callerRequest) settleCharge() {
	if x.refund != nil && x.sends.ProvenNotRun() {
		x.refund()
	}
}

// priority returns the priority of the request: that of its workspace goes before that of
// its route.
func (x *callerRequest) priority() int {
	if x.caller.workspace == nil {
		return x.route.Priority
	}
	return x.caller.workspace.Priority*(maxRoutePriority+1) + min(max(x.route.Priority, 0), maxRoutePriority)
}
