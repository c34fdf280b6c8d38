package router

import "agatelanding.example/agatelanding/internal/decide/dispatch"

// Deliver and Finish let a test play the router.
func (a *Answer) Deliver(data []byte) bool { return a.deliver(data) }

// Finish ends the answer.
func (a *Answer) Finish(o dispatch.Outcome) { a.finish(o) }
