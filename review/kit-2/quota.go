//go:build review2

package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// quotaAfterKill lets one tenant send more than its quota while all front machines are killed
// once.
func quotaAfterKill(d *deployment, trouble bool) bool {
	const (
		rate, burst    = 2000.0, 4000.0
		prompt, answer = 15000, 1000
		window         = 8 * time.Second
		bound          = (rate*8+burst)*(1+0.25) + 17000
	)
	d.bounds = kvootBounds
	for range 3 {
		d.addEngine(crashDown)
	}
	d.addFronts(3)
	d.tenants = []map[string]any{{"name": "kvoot", "api_keys": []string{"key"}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": rate, "burst": burst}}
	d.publish(7, route("draft", "/draft/", "stream", engineName, 1, false, 12*time.Second))
	d.start()
	c := newClients(d)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(100*time.Millisecond, 24*time.Second, func(n int) {
			c.call("hot", n, "POST", fmt.Sprintf("/draft/%d", n), "{}", 12*time.Second, map[string]string{
				"Authorization": "Bearer key", "Model": fmt.Sprintf("%s/a%d", modelName, n%3), "Token-Usage": fmt.Sprintf("%d,%d", prompt, answer), "Prompt-Prefix": fmt.Sprintf("a1:1000,d%06x:%d", n, prompt-1000),
			})
		})
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		for _, p := range d.processes {
			if strings.HasPrefix(p.name, "front") {
				p.signal(syscall.SIGKILL)
			}
		}
		d.record.say("all front machines are killed at once")
	}
	wg.Wait()
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	for _, s := range c.list {
		sentAt[s.id] = s.at
		statuses[s.status]++
	}
	type use struct{ sent, ran time.Time }
	var uses []use
	for _, r := range d.arrivals() {
		uses = append(uses, use{sentAt[r.ID], r.Started})
		d.record.add("run %.3f %s at %s for tenant %q", r.Started.Sub(d.record.from).Seconds(), r.ID, r.Replica, r.Workspace)
	}
	sort.Slice(uses, func(i, j int) bool { return uses[i].sent.Before(uses[j].sent) })
	most := 0
	for i := range uses {
		sum := 0
		for _, u := range uses[i:] {
			if u.ran.Before(uses[i].sent.Add(window)) {
				sum += prompt + answer
			}
		}
		most = max(most, sum)
	}
	d.record.say("by status %v; at most %d tokens were sent and ran in %v (%.0f are allowed)", statuses, most, window, bound)
	return float64(most) > bound
}
