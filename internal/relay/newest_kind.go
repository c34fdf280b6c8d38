package relay

import "agatelanding.example/agatelanding/internal/decide/resend"

// mayRepeat reports whether the configuration in force lets the request run again. A route that
// it does not have forbids nothing. It is safe for concurrent use.
func (x *callerRequest) mayRepeat() bool {
	view := x.h.View()
	if view == nil || view.Config == nil {
		return true
	}
	route, ok := view.Config.Match(x.r.Host, x.r.URL.EscapedPath())
	return !ok || route.Repeatable()
}

// applyNewestKind makes a request one that may run once if the configuration in force says so,
// although that of its arrival did not. The reverse does not hold: the request keeps the
// promise under which it arrived.
func (x *callerRequest) applyNewestKind() {
	if !x.sends.Policy().Repeatable || x.mayRepeat() {
		return
	}
	x.h.Metrics.Count("repeats_forbidden_by_config")
	x.sends.ForbidRepeats()
	if held := x.history.failureResponse; held != nil && resend.PromisesNotRun(held.status) {
		held.release()
	}
}
