package relay

import "sync"

// attemptCounts counts the open requests by the ID of the caller's attempt. It is safe for
// concurrent use and holds nothing of requests that have ended.
type attemptCounts struct {
	mu   sync.Mutex
	open map[string]int
}

// add changes the count of an ID and returns the new one.
func (c *attemptCounts) add(id string, change int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[string]int)
	}
	count := c.open[id] + change
	if count == 0 {
		delete(c.open, id)
	} else {
		c.open[id] = count
	}
	return count
}
