package admission

// Flows returns the number of flows that the queue keeps, idle ones included.
func (q *Queue) Flows() int { return len(q.lanes[short].flows) + len(q.lanes[long].flows) }
