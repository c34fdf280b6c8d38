//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// takeUpAfterKill has clients take up their streams after all processes of the system were
// killed, while two software versions of the engines serve side by side.
func takeUpAfterKill(f *fleet, trouble bool) (broken bool) {
	const streams = 24
	for i := range 8 {
		f.addReplica(engines, []string{"v1", "v2"}[i/4], true)
	}
	f.addFronts(4)
	f.putConfig(route{"/lohu930/", "stream", engines, 15 * time.Second, 600 * time.Millisecond, 0, 2, true})
	f.start()

	// delays are the times from the end of the connection to each attempt to take the
	// stream up.
	delays := []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second, 7 * time.Second}
	var mu sync.Mutex
	var clients sync.WaitGroup
	takenUp, wentOn := 0, 0
	for n := range streams {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := call{method: "POST", path: "/lohu930/2f", body: "ask", deadline: 15 * time.Second, header: prompt(190, "5c1e07a2", newID()), leaveAfter: 2100 * time.Millisecond}
			first := f.send(f.pick(n), c)
			record("stream %d began: %v", n, first)
			if first.lastEvent == 0 {
				return
			}
			brokeAt, counted := time.Now(), false
			c.resumes, c.lastEvent, c.leaveAfter = first.id, first.lastEvent, 0
			for i, delay := range delays {
				time.Sleep(time.Until(brokeAt.Add(delay)))
				c.deadline = 15*time.Second - time.Since(first.sent)
				m := f.pick(n + i + 1)
				inTouch := m.inTouch(time.Now())
				o := f.send(m, c)
				record("stream %d taken up after event %d, in touch %v: %v", n, c.lastEvent, inTouch, o)
				mu.Lock()
				if inTouch && !counted {
					counted = true
					takenUp++
				}
				if inTouch && o.whole && o.status == http.StatusOK {
					wentOn++
				}
				mu.Unlock()
				if o.whole && o.status == http.StatusOK {
					return
				}
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.killAll()
	}
	// New streams begin at the same time as those that are taken up by machines in touch.
	time.Sleep(5 * time.Second)
	var began atomic.Int64
	var newClients sync.WaitGroup
	for n := range streams {
		newClients.Add(1)
		go func() {
			defer newClients.Done()
			time.Sleep(time.Duration(n) * 100 * time.Millisecond)
			o := f.send(f.pick(n), call{method: "POST", path: "/lohu930/2f", body: "ask", deadline: 15 * time.Second, header: prompt(20, "5c1e07a2", newID())})
			record("new stream %d: %v", n, o)
			if o.lastEvent > 0 {
				began.Add(1)
			}
		}()
	}
	newClients.Wait()
	clients.Wait()
	record("%d of %d new streams began; %d streams were taken up at machines in touch, %d of them went on", began.Load(), streams, takenUp, wentOn)
	return takenUp >= 12 && float64(wentOn)/float64(takenUp) < 0.5*float64(began.Load())/streams
}

// crashes counts crashes that a request causes. It is safe for concurrent use.
type crashes struct {
	mu sync.Mutex
	at []time.Time
}

func (c *crashes) add(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, time.Now().Add(after))
}

// afterNumber returns the time of a crash by its number, and false if there were fewer.
func (c *crashes) afterNumber(n int) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.at) < n {
		return time.Time{}, false
	}
	return c.at[n-1], true
}

// sentLate counts the runs that match and that were sent later than contactTime after crash
// number n.
func (c *crashes) sentLate(n int, matches func(run) bool) int {
	at, ok := c.afterNumber(n)
	if !ok {
		return 0
	}
	late := 0
	for _, x := range allRuns() {
		if matches(x) && x.began.After(at.Add(contactTime)) {
			late++
		}
	}
	return late
}

// every calls f at an interval until a time has passed.
func every(interval, total time.Duration, f func(n int)) {
	end := time.Now().Add(total)
	for n := 0; time.Now().Before(end); n++ {
		go f(n)
		time.Sleep(interval)
	}
}

const (
	crashInterval = 4500 * time.Millisecond
	crashTotal    = 60 * time.Second
)

// partCase is a variant of crashingPart.
type partCase struct {
	// parts is the number of parts before the one that crashes engines.
	parts int
	// crashAfter is the time of work after which it does so. The first event of a stream is
	// sent after 87 ms.
	crashAfter time.Duration
	// oneSession is true if all requests with that part are turns of one session, so that they
	// have the last part in common.
	oneSession bool
}

// crashingPart sends prompts of which one part crashes each engine that begins to write an
// answer on it. No two of these requests are alike. Sound requests hold all other parts.
func crashingPart(v partCase) func(f *fleet, trouble bool) (broken bool) {
	const bad = "bad0c0de"
	holds := func(h http.Header) bool { return strings.Contains(h.Get("Prompt-Prefix"), bad) }
	var shared []string
	for i := range v.parts {
		shared = append(shared, fmt.Sprintf("5c1e07a%d", i+1))
	}
	ask := func(f *fleet, n int, path string, parts ...string) result {
		parts = append(append([]string(nil), shared...), parts...)
		return f.send(f.pick(n), call{method: "POST", path: path, body: "ask " + newID(), deadline: 15 * time.Second, header: prompt(60, parts...)})
	}
	return func(f *fleet, trouble bool) (broken bool) {
		var seen crashes
		for range 8 {
			r := f.addReplica(engines, "v1", true)
			r.crashOn = func(q *http.Request, _ []byte) (time.Duration, bool) {
				if !trouble || !holds(q.Header) {
					return 0, false
				}
				seen.add(v.crashAfter)
				return v.crashAfter, true
			}
		}
		f.addFronts(4)
		f.putConfig(
			route{"/lohu930/", "stream", engines, 15 * time.Second, 600 * time.Millisecond, 0, 2, true},
			route{"/pufi791/", "stream", engines, 20 * time.Second, time.Second, 0, 1, false},
		)
		f.start()
		var sound, served atomic.Int64
		go every(200*time.Millisecond, crashTotal, func(n int) {
			sound.Add(1)
			o := ask(f, n, "/pufi791/2f", newID())
			record("sound request: %v", o)
			if o.whole && o.status == http.StatusOK {
				served.Add(1)
			}
		})
		every(crashInterval, crashTotal, func(n int) {
			parts := []string{bad, newID()}
			if v.oneSession {
				parts = append(parts, "5e5510")
			}
			record("request with the part: %v", ask(f, n, "/lohu930/2f", parts...))
		})
		late := seen.sentLate(5, func(x run) bool { return holds(x.header) })
		record("%d runs of requests with the part; %d reached engines later than %v after the fifth crash; %d of %d sound requests were served", len(seen.at), late, contactTime, served.Load(), sound.Load())
		return late > 3
	}
}

// requestCase is a variant of crashingRequest.
type requestCase struct {
	// traced is true if the clients' tracing library adds headers of its own to each attempt.
	traced bool
	// killed is true if all processes are killed in the middle.
	killed bool
}

// crashingRequest sends one request again and again that crashes each replica that runs it.
// Its path, caller and body are the same each time.
func crashingRequest(v requestCase) func(f *fleet, trouble bool) (broken bool) {
	const path = "/puxa403/plot/17"
	return func(f *fleet, trouble bool) (broken bool) {
		var seen crashes
		for range 4 {
			r := f.addReplica(services, "v1", false)
			r.crashOn = func(q *http.Request, _ []byte) (time.Duration, bool) {
				// The kill is the disruption of its variant.
				if !trouble && !v.killed || q.URL.Path != path {
					return 0, false
				}
				seen.add(10 * time.Millisecond)
				return 10 * time.Millisecond, true
			}
		}
		f.addFronts(4)
		f.putConfig(
			route{"/puxa403/", "idempotent", services, 800 * time.Millisecond, 150 * time.Millisecond, 2, 2, false},
			route{"/gate/", "non_idempotent", services, 800 * time.Millisecond, 150 * time.Millisecond, 2, 1, false},
		)
		f.start()
		var sound, served atomic.Int64
		go every(40*time.Millisecond, crashTotal, func(n int) {
			sound.Add(1)
			o := f.send(f.pick(n), call{method: "POST", path: "/gate/" + newID(), body: "open", deadline: 1500 * time.Millisecond})
			record("sound request: %v", o)
			if o.whole && o.status == http.StatusOK {
				served.Add(1)
			}
		})
		if trouble && v.killed {
			// The next request is sent when the machines are in touch again.
			time.AfterFunc(7*crashInterval+100*time.Millisecond, f.killAll)
		}
		every(crashInterval, crashTotal, func(n int) {
			header := map[string]string{"User-Agent": "keeper/1.0"}
			if v.traced {
				header["X-B3-Traceid"], header["X-B3-Spanid"], header["X-B3-Sampled"] = newID(), newID(), "1"
			}
			record("the crashing request: %v", f.send(f.pick(n), call{method: "POST", path: path, body: "plot 17", deadline: 1500 * time.Millisecond, header: header}))
		})
		late := seen.sentLate(3, func(x run) bool { return x.path == path && f.inTouch(x.began) })
		record("%d runs of the crashing request; it reached replicas %d times later than %v after the third crash; %d of %d sound requests were served", len(seen.at), late, contactTime, served.Load(), sound.Load())
		return late > 3
	}
}

// lateCrash sends one request again and again that crashes each engine that runs it, after
// three seconds of its stream.
func lateCrash(f *fleet, trouble bool) (broken bool) {
	const (
		path          = "/pufi791/brief/17"
		lateCrashTime = 3 * time.Second
		// streamTime is how long the stream takes if nothing crashes.
		streamTime = 5500 * time.Millisecond
	)
	var seen crashes
	for range 8 {
		r := f.addReplica(engines, "v1", true)
		r.crashOn = func(q *http.Request, _ []byte) (time.Duration, bool) {
			if !trouble || q.URL.Path != path {
				return 0, false
			}
			seen.add(lateCrashTime)
			return lateCrashTime, true
		}
	}
	f.addFronts(4)
	f.putConfig(route{"/pufi791/", "stream", engines, 20 * time.Second, time.Second, 0, 1, false})
	f.start()
	var sound, served atomic.Int64
	go every(250*time.Millisecond, crashTotal, func(n int) {
		c := call{method: "POST", path: "/pufi791/brief/1" + newID(), body: "ask", deadline: 20 * time.Second, header: prompt(60, "5c1e07a2", newID())}
		sound.Add(1)
		o := f.send(f.pick(n), c)
		record("sound request: %v", o)
		if o.whole && o.status == http.StatusOK {
			served.Add(1)
		}
	})
	every(crashInterval, crashTotal, func(n int) {
		c := call{method: "POST", path: path, body: "brief 17", deadline: 20 * time.Second, header: prompt(190, "5c1e07a2", "17171717")}
		record("the crashing request: %v", f.send(f.pick(n), c))
	})
	time.Sleep(streamTime)
	late := seen.sentLate(3, func(x run) bool { return x.path == path })
	record("%d runs of the crashing request; it reached engines %d times later than %v after the third crash; %d of %d sound requests were served", len(seen.at), late, contactTime, served.Load(), sound.Load())
	return late > 3
}

// twoRuns mutes some of the answers of one engine, which goes on with its work. The engine to
// which a stream goes on falls silent for a second before it goes on.
func twoRuns(f *fleet, trouble bool) (broken bool) {
	const (
		muteTime   = 6500 * time.Millisecond
		muteShare  = 0.45
		soundQuiet = 1200 * time.Millisecond
	)
	var muted *replica
	var muteUntil atomic.Int64
	var count atomic.Int64
	for i := range 8 {
		r := f.addReplica(engines, "v1", true)
		if i == 0 {
			muted = r
		}
		r.quietBefore = func(q *http.Request, event int) time.Duration {
			from := q.Header.Get("Last-Event-Id")
			switch {
			case from == "" && event == 10 && r == muted && time.Now().UnixNano() < muteUntil.Load() && float64(count.Add(1)%20) < 20*muteShare:
				return time.Until(time.Unix(0, muteUntil.Load()))
			case from != "" && event == lastOf(from)+1:
				return soundQuiet
			}
			return 0
		}
	}
	f.addFronts(4)
	f.putConfig(route{"/lohu930/", "stream", engines, 15 * time.Second, 600 * time.Millisecond, 0, 2, true})
	f.start()
	if trouble {
		muteUntil.Store(time.Now().Add(muteTime).UnixNano())
		record("engine %s is muted for %v", muted.identity(), muteTime)
	}
	var clients sync.WaitGroup
	every(30*time.Millisecond, 6*time.Second, func(n int) {
		clients.Add(1)
		defer clients.Done()
		o := f.send(f.pick(n), call{method: "POST", path: "/lohu930/2f", body: "ask", deadline: 15 * time.Second, header: prompt(58, "5c1e07a2", newID())})
		record("stream: %v", o)
	})
	clients.Wait()
	byAttempt := make(map[string][]run)
	for _, x := range allRuns() {
		byAttempt[x.attempt] = append(byAttempt[x.attempt], x)
	}
	wentOn, overlaps := 0, 0
	for id, list := range byAttempt {
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			if after.working.IsZero() || before.replica == after.replica {
				continue
			}
			wentOn++
			if overlap := before.ended.Sub(after.working); overlap > 400*time.Millisecond {
				overlaps++
				record("%s goes on at %s after event %s, while %s works on it for %v more", id, after.replica, after.from, before.replica, overlap.Round(time.Millisecond))
			}
		}
	}
	record("%d streams went on at another engine, at %d of them the engine before worked on for more than 400 ms", wentOn, overlaps)
	return overlaps > 0
}
