package relay

import (
	"net/http"
	"time"

	"agatelanding.example/agatelanding/internal/decide/steering"
)

// passOnNotice tells the broker what a target says of itself in the head of a response to
// a request that was sent at a time. That a target names no rate any more is taken from a
// response of its own only: a declining one may be another process's.
func (h *Handler) passOnNotice(grant steering.Grant, resp *http.Response, class ResponseClass, sentAt time.Time) {
	n := h.Dialect.ParseNotice(resp)
	if grant.RateLimited && n.RateLimit == 0 && !n.MalformedRateLimit && (class == Succeeded || class == Failed) {
		n.NoRateLimitSentAt = sentAt
	}
	if n != (steering.Notice{}) {
		h.Broker.Notified(grant.Target, n)
	}
}
