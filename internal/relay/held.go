package relay

// heldResponse is a failure response that goes to its caller if no other target succeeds. It
// gives up its body if another response needs the room meanwhile. Its methods do nothing for nil.
type heldResponse struct {
	pool   *BufferPool
	status int
	// whole is nil once it was dropped, and taken what it holds of the pool. The pool's mutex
	// protects them.
	whole *wholeResponse
	taken int64
}

// hold makes a response one that is held, with what this request has taken from the pool since
// it had taken before.
func (b *buffers) hold(whole *wholeResponse, before int64) *heldResponse {
	h := &heldResponse{pool: b.pool, status: whole.status, whole: whole, taken: b.taken - before}
	b.taken = before
	if h.taken > 0 {
		b.pool.mu.Lock()
		defer b.pool.mu.Unlock()
		b.pool.held[h] = true
	}
	return h
}

// claim returns the response, whose room goes to b, or nil if it was dropped.
func (h *heldResponse) claim(b *buffers) *wholeResponse {
	if h == nil {
		return nil
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	delete(h.pool.held, h)
	whole := h.whole
	b.taken += h.taken
	h.whole, h.taken = nil, 0
	return whole
}

// release drops the response. It does nothing after claim.
func (h *heldResponse) release() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.drop()
}

// drop gives back the room of the response. The pool's mutex must be held.
func (h *heldResponse) drop() {
	delete(h.pool.held, h)
	h.pool.free += h.taken
	h.whole, h.taken = nil, 0
}

// dropHeld drops the largest response that is held, and reports whether there was one. p.mu must
// be held.
func (p *BufferPool) dropHeld() bool {
	var largest *heldResponse
	for h := range p.held {
		if largest == nil || h.taken > largest.taken {
			largest = h
		}
	}
	if largest == nil {
		return false
	}
	p.metrics.Count("held_answers_dropped")
	largest.drop()
	return true
}
