//go:build review2

package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const crashDown = 2 * time.Second

// crashingRequest sends one request that crashes each replica that runs it again and again. All
// attempts have the same path, caller and body; a header of the client's tracing differs.
func crashingRequest(d *deployment, trouble, sameHeader bool) bool {
	const path, body = "/release/gate-17", `{"gate":17,"open":true}`
	for range 6 {
		s := d.addService(crashDown)
		if trouble {
			s.CrashUnder(func(r standin.Run) bool { return r.URI == path }, 20*time.Millisecond)
		}
	}
	d.addFronts(3)
	d.publish(7, route("release", "/release/", "non_idempotent", serviceName, 1, false, 1500*time.Millisecond))
	d.start()
	c := newClients(d)
	var wg sync.WaitGroup
	wg.Add(1)
	const length = 40 * time.Second
	go func() {
		defer wg.Done()
		every(100*time.Millisecond, length, func(n int) {
			c.call("sound", n, "POST", fmt.Sprintf("/release/gate-%d", 1000+n), "{}", 1500*time.Millisecond, map[string]string{"User-Agent": "keeper"})
		})
	}()
	every(time.Second, length, func(n int) {
		trace := fmt.Sprintf("corr-%d", n)
		if sameHeader {
			trace = "corr"
		}
		c.call("crash", n, "POST", path, body, 1500*time.Millisecond, map[string]string{"User-Agent": "ditch-console", "X-Correlation-Id": trace})
	})
	wg.Wait()
	return judgeCrashes(d, c, "crash", 3, "a request that crashes replicas")
}

// crashingPart sends requests of which one part of the prompt, never the last, crashes each
// replica that begins to answer it. parts is the number of parts and position that of the
// crashing one. The replica crashes after the head of its answer or, with afterEvent, after the
// first event.
func crashingPart(d *deployment, trouble bool, parts, position int, afterEvent bool) bool {
	const bad = "bad0"
	for range 6 {
		s := d.addEngine(crashDown)
		switch {
		case trouble && afterEvent:
			s.CrashUnder(func(r standin.Run) bool { return slices.Contains(r.Parts, bad) }, 5*time.Millisecond)
		case trouble:
			s.CrashOn(bad)
		}
	}
	d.addFronts(3)
	d.publish(7, route("query", "/query/", "stream", engineName, 2, true, 15*time.Second))
	d.start()
	c := newClients(d)
	prompt := func(n int, own string, crashes bool) string {
		var list []string
		for i := range parts - 1 {
			id := fmt.Sprintf("a%02d", i)
			switch {
			case i == position && crashes:
				id = bad
			case i == position:
				id = fmt.Sprintf("c%02d", n%5)
			}
			list = append(list, id+":40")
		}
		return strings.Join(append(list, own+":120"), ",")
	}
	header := func(n int, own string, crashes bool) map[string]string {
		return map[string]string{"Model": fmt.Sprintf("%s/a%d", modelName, n%6), "Token-Usage": fmt.Sprintf("%d,60", 40*(parts-1)+120), "Prompt-Prefix": prompt(n, own, crashes), "User-Agent": "console"}
	}
	var wg sync.WaitGroup
	wg.Add(1)
	const length = 40 * time.Second
	go func() {
		defer wg.Done()
		every(100*time.Millisecond, length, func(n int) {
			c.call("sound", n, "POST", "/query/2f", fmt.Sprint("question ", n), 15*time.Second, header(n, fmt.Sprintf("d%06x", n), false))
		})
	}()
	every(time.Second, length, func(n int) {
		c.call("crash", n, "POST", "/query/2f", fmt.Sprint("other question ", n), 15*time.Second, header(n, fmt.Sprintf("e%06x", n), true))
	})
	wg.Wait()
	return judgeCrashes(d, c, "crash", 5, "requests with a part that crashes replicas")
}

// judgeCrashes checks the rule BUDGET on requests that crash replicas: of those with a prefix, no
// more than three reach replicas that were sent later than contactTime after a number of crashes.
func judgeCrashes(d *deployment, c *clients, prefix string, number int, what string) (broken bool) {
	for _, r := range d.arrivals() {
		if strings.HasPrefix(r.ID, prefix) {
			d.record.add("run %.3f %s at %s (whole: %t)", r.Started.Sub(d.record.from).Seconds(), r.ID, r.Replica, r.Ended)
		}
	}
	statuses := map[int]int{}
	for _, s := range c.list {
		if strings.HasPrefix(s.id, "sound") {
			statuses[s.status]++
		}
	}
	crashes := d.crashes()
	d.record.say("%d crashes; sound requests by status (0: no answer): %v", len(crashes), statuses)
	if len(crashes) < number {
		d.record.say("fewer than %d crashes: the rule holds", number)
		return false
	}
	from := crashes[number-1].Add(contactTime)
	sentAt := map[string]time.Time{}
	for _, s := range c.list {
		sentAt[s.id] = s.at
	}
	var late []string
	total := 0
	for _, r := range d.arrivals() {
		if strings.HasPrefix(r.ID, prefix) && sentAt[r.ID].After(from) {
			late = append(late, r.ID)
		}
	}
	for _, s := range c.list {
		if strings.HasPrefix(s.id, prefix) && s.at.After(from) {
			total++
		}
	}
	slices.Sort(late)
	d.record.say("crash number %d at %.3f s; of %d of %s that were sent later than %v after it, %d reached replicas (3 are allowed)", number, crashes[number-1].Sub(d.record.from).Seconds(), total, what, contactTime, len(late))
	return len(late) > 3
}
