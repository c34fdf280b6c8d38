package admission

// AdapterQueues returns the number of adapter queues that the queue keeps, idle
// ones included.
func (q *Queue) AdapterQueues() int { return len(q.lanes[short].queues) + len(q.lanes[long].queues) }
