//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// weightStore makes loads of adapters take longer while many are under way over all engines: 250 ms
// while no more than eight are, longer in proportion beyond.
type weightStore struct {
	mu      sync.Mutex
	endings []time.Time
}

// next returns how long a load takes that begins now.
func (w *weightStore) next() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.endings = slices.DeleteFunc(w.endings, func(end time.Time) bool { return !end.After(now) })
	took := 250 * time.Millisecond * time.Duration(max(8, len(w.endings)+1)) / 8
	w.endings = append(w.endings, now.Add(took))
	return took
}

// handler serves the engine for the process beside it, with the load times of the weight store.
func (w *weightStore) handler(s *server) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/order" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(bytes.NewReader(body))
			if bytes.Contains(body, []byte(`"op":"load"`)) {
				s.Replica.LoadTime = w.next()
			}
		}
		s.Replica.ServeHTTP(rw, r)
	})
}

// takeUps lets a quarter of the engines crash while two software versions serve side by side, and
// takes the streams up that break. attempts is how often a client tries.
func takeUps(d *deployment, trouble bool, attempts int) bool {
	const (
		events, adapters = 60, 3000
		eventTime        = 30 * time.Millisecond
		// For each engine, as many streams a second as on the site.
		perSecond = 60
		// Few adapters get most of the requests, and many get few: (flattened + k) to the power of
		// -skew for the k-th.
		skew, flattened = 1.2, 10
		deadline        = 15 * time.Second
		downTime        = 4 * time.Second
		crashAfter      = 12 * time.Second
		length          = 20 * time.Second
	)
	weights := &weightStore{}
	var v1 []*server
	for i := range 8 {
		s := d.addEngineBehind(downTime, weights.handler)
		s.Replica.Events, s.Replica.EventTime = events, eventTime
		s.Replica.SoftwareVersion = fmt.Sprint("v", 1+i%2)
		if i%2 == 0 {
			v1 = append(v1, s)
		}
		d.register(s)
	}
	d.addFronts(3)
	d.publish(7, route("query", "/query/", "stream", engineName, 2, true, deadline))
	d.start()
	c := newClients(d)
	zipf := rand.NewZipf(rand.New(rand.NewSource(time.Now().UnixNano())), skew, flattened, adapters-1)
	// stream sends one attempt. It returns the last event that the client has, and when it is worth
	// trying again.
	stream := func(n, adapter int, resumes string, after int) (id string, status, last int, wait time.Duration) {
		id, last = fmt.Sprintf("s-%06d", c.number.Add(1)), after
		req, err := http.NewRequest("POST", "http://"+d.fronts[n%len(d.fronts)]+"/query/2f", strings.NewReader(fmt.Sprint("q", n)))
		if err != nil {
			cannotRun(err)
		}
		req.Host = "rota.example"
		standin.SetRequest(req.Header, id, deadline)
		req.Header.Set("Model", fmt.Sprintf("%s/a%d", modelName, adapter))
		req.Header.Set("Token-Usage", "826,300")
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("a1:119,b%02x:79,d%06x:628", n%95, n))
		if resumes != "" {
			standin.SetTakeUp(req.Header, resumes, after)
		}
		resp, err := c.client.Do(req)
		if err != nil {
			return id, 0, last, 0
		}
		defer resp.Body.Close()
		for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
			if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
				last, _ = strconv.Atoi(text)
			}
		}
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return id, resp.StatusCode, last, time.Duration(seconds * float64(time.Second))
	}
	var mu sync.Mutex
	var crashAt time.Time
	began, fresh, takenUp, wentOn := 0, 0, 0, 0
	time.AfterFunc(crashAfter, func() {
		mu.Lock()
		crashAt = time.Now()
		mu.Unlock()
		if trouble {
			v1[0].Crash()
			v1[1].Crash()
		}
	})
	every(time.Second/perSecond, length, func(n int) {
		mu.Lock()
		adapter, afterCrash := int(zipf.Uint64()), !crashAt.IsZero()
		mu.Unlock()
		first, status, last, _ := stream(n, adapter, "", 0)
		d.record.add("%s adapter a%d: status %d, %d of %d events", first, adapter, status, last, events)
		mu.Lock()
		if afterCrash {
			fresh++
			if last > 0 {
				began++
			}
		}
		mu.Unlock()
		if last == 0 || last == events {
			return
		}
		got := last
		for try := 1; try <= attempts && got == last; try++ {
			id, status, after, wait := stream(n+try, adapter, first, last)
			got = after
			d.record.add("%s takes %s up after event %d: status %d, %d of %d events, retry after %v", id, first, last, status, got, events, wait)
			time.Sleep(wait)
		}
		mu.Lock()
		defer mu.Unlock()
		takenUp++
		if got > last {
			wentOn++
		}
	})
	serving := 0
	for _, s := range v1[2:] {
		for _, r := range s.Replica.Runs() {
			if r.Started.After(crashAt) && r.Ended {
				serving++
			}
		}
	}
	d.record.say("of %d streams that broke and were taken up, %d went on; of %d new streams after the crash %d began; the two replicas of v1 that were left ended %d streams after it", takenUp, wentOn, fresh, began, serving)
	return takenUp >= 12 && float64(wentOn)/float64(takenUp) < 0.5*float64(began)/float64(max(1, fresh))
}
