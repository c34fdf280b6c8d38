package router

import "agatelanding.example/agatelanding/internal/decide/dispatch"

// Deliver appends data. With Finish it lets a test stand in for the router.
func (b *ResponseBuffer) Deliver(data []byte) bool { return b.deliver(data) }

// Finish sets the outcome.
func (b *ResponseBuffer) Finish(o dispatch.Outcome) { b.finish(o) }
