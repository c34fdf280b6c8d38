//go:build review

package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// partBesideCrashes sends requests with one of two parts that crash engines, while engines crash
// again and again for another reason (entry 1 of KNOWN-RED.txt).
func partBesideCrashes(f *fleet, trouble bool) (broken bool) {
	const (
		bad         = "bad0c0de"
		badParts    = 2
		badInterval = 2 * time.Second
		// A quarter of the engines is down for two seconds each time, which is the largest
		// dose of the site.
		crashCount    = 3
		crashInterval = 4500 * time.Millisecond
		crashDown     = 2 * time.Second
		total         = 60 * time.Second
	)
	holds := func(h http.Header, part int) bool {
		return strings.Contains(h.Get("Prompt-Prefix"), fmt.Sprint(bad, part))
	}
	// seen are the crashes by their parts.
	var seen [badParts]crashes
	for range 12 {
		r := f.addReplica(engines, "v1", true)
		r.downTime = crashDown
		r.crashOn = func(q *http.Request, _ []byte) (time.Duration, bool) {
			for part := range badParts {
				if trouble && holds(q.Header, part) {
					seen[part].add(80 * time.Millisecond)
					return 80 * time.Millisecond, true
				}
			}
			return 0, false
		}
	}
	f.addFronts(4)
	f.putConfig(route{"/pufi791/", "stream", engines, 20 * time.Second, time.Second, 0, 1, false})
	f.start()
	ask := func(n int, parts ...string) result {
		return f.send(f.pick(n), call{method: "POST", path: "/pufi791/2f", body: "ask " + newID(), deadline: 20 * time.Second, header: prompt(60, append([]string{"5c1e07a1"}, parts...)...)})
	}
	var sound, served atomic.Int64
	go every(80*time.Millisecond, total, func(n int) {
		sound.Add(1)
		o := ask(n, newID())
		record("sound request: %v", o)
		if o.whole && o.status == http.StatusOK {
			served.Add(1)
		}
	})
	if trouble {
		go every(crashInterval, total, func(int) {
			for _, i := range rand.Perm(len(f.replicas))[:crashCount] {
				f.replicas[i].crash(f.replicas[i].identity())
			}
		})
	}
	every(badInterval, total, func(n int) { record("request with the part: %v", ask(n, fmt.Sprint(bad, n%badParts), newID())) })
	time.Sleep(3 * time.Second)
	for part := range badParts {
		late := seen[part].sentLate(5, func(x run) bool { return holds(x.header, part) })
		record("part %d: %d runs of requests with it; %d reached engines later than %v after the fifth crash", part, len(seen[part].at), late, contactTime)
		broken = broken || late > 3
	}
	record("%d of %d sound requests were served", served.Load(), sound.Load())
	return broken
}

// requestBehindQueues sends one request again and again that crashes each replica that runs it.
// Requests wait at the replicas for up to a second before they run, and some sound ones are
// popular (entry 2 of KNOWN-RED.txt).
func requestBehindQueues(f *fleet, trouble bool) (broken bool) {
	const (
		path     = "/puxa403/plot/17"
		interval = time.Second
		total    = 60 * time.Second
		popular  = 6
	)
	var seen crashes
	for range 6 {
		r := f.addReplica(services, "v1", false)
		r.workTime = 100 * time.Millisecond
		r.queueTime = func() time.Duration { return time.Duration(rand.Int63n(int64(time.Second))) }
		r.crashOn = func(q *http.Request, _ []byte) (time.Duration, bool) {
			if !trouble || q.URL.Path != path {
				return 0, false
			}
			seen.add(5 * time.Millisecond)
			return 5 * time.Millisecond, true
		}
	}
	f.addFronts(4)
	f.putConfig(route{"/puxa403/", "idempotent", services, 3 * time.Second, 300 * time.Millisecond, 2, 2, false})
	f.start()
	var sound, served, quarantined atomic.Int64
	go every(30*time.Millisecond, total, func(n int) {
		sound.Add(1)
		o := f.send(f.pick(n), call{method: "GET", path: fmt.Sprint("/puxa403/popular/", n%popular), deadline: 3 * time.Second})
		record("sound request: %v", o)
		if o.whole && o.status == http.StatusOK {
			served.Add(1)
		}
		if strings.Contains(o.body, "request_quarantined") {
			quarantined.Add(1)
		}
	})
	every(interval, total, func(n int) {
		record("the crashing request: %v", f.send(f.pick(n), call{method: "POST", path: path, body: "plot 17", deadline: 3 * time.Second}))
	})
	time.Sleep(3 * time.Second)
	late := seen.sentLate(3, func(x run) bool { return x.path == path })
	record("%d runs of the crashing request; it reached replicas %d times later than %v after the third crash; %d of %d sound requests were served, %d refused as crashing ones", len(seen.at), late, contactTime, served.Load(), sound.Load(), quarantined.Load())
	return late > 3
}
