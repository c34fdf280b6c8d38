//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one client attempt.
type sent struct {
	id     string
	at     time.Time
	status int // 0: the connection ended without a whole answer
	body   string
}

// clients sends requests to the front machines.
type clients struct {
	d      *deployment
	client *http.Client
	number atomic.Int64
	mu     sync.Mutex
	list   []sent
}

func newClients(d *deployment) *clients {
	return &clients{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// call sends one attempt to a front machine. prefix begins its id.
func (c *clients) call(prefix string, front int, method, path, body string, deadline time.Duration, header map[string]string) sent {
	s := sent{id: fmt.Sprintf("%s-%06d", prefix, c.number.Add(1)), at: time.Now()}
	req, err := http.NewRequest(method, "http://"+c.d.fronts[front%len(c.d.fronts)]+path, strings.NewReader(body))
	if err != nil {
		cannotRun(err)
	}
	req.Host = "rota.example"
	req.Header.Set("Attempt-Id", s.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			s.status, s.body = resp.StatusCode, string(raw)
		}
	}
	c.d.record.add("sent %.3f %s %s to front-%d: status %d", s.at.Sub(c.d.record.from).Seconds(), s.id, path, front%len(c.d.fronts)+1, s.status)
	c.mu.Lock()
	c.list = append(c.list, s)
	c.mu.Unlock()
	return s
}

// every calls f in goroutines at an interval for a time and waits for all.
func every(interval, total time.Duration, f func(n int)) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n, end := 0, time.Now().Add(total); time.Now().Before(end); n++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(n)
		}()
		<-ticker.C
	}
	wg.Wait()
}
