package admission

// Flows returns the number of adapters that the queue remembers.
func (q *Queue) Flows() int { return len(q.lane[short].flows) + len(q.lane[long].flows) }
