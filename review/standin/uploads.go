//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// memoryLimit is memory_mb of a front machine.
const memoryLimit = 284 << 20

// watchMemory kills the process of a machine that exceeds its memory, as the platform does.
func (f *fleet) watchMemory(m *machine, peak *atomic.Int64) {
	pages := int64(os.Getpagesize())
	for {
		select {
		case <-f.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		pid := 0
		if m.cmd != nil && m.cmd.Process != nil {
			pid = m.cmd.Process.Pid
		}
		m.mu.Unlock()
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
		fields := strings.Fields(string(raw))
		if err != nil || len(fields) < 2 {
			continue
		}
		resident, _ := strconv.ParseInt(fields[1], 10, 64)
		if resident *= pages; resident > peak.Load() {
			peak.Store(resident)
		}
		if resident > memoryLimit {
			record("the process of %s has %d MB, over its limit of %d MB, and is killed", m.name, resident>>20, memoryLimit>>20)
			m.kill()
			time.Sleep(restartDelay)
		}
	}
}

// keptClient sends one request after the other on a connection that it keeps open. lost counts
// the requests that a replica got and whose connection ended without a byte of an answer.
func (f *fleet) keptClient(m *machine, until time.Time, lost, sent *atomic.Int64) {
	for time.Now().Before(until) {
		c, err := net.DialTimeout("tcp", m.front, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		lines := bufio.NewReader(c)
		for n := 0; time.Now().Before(until); n++ {
			id := newID()
			q, _ := http.NewRequest("POST", "http://"+host+"/lohu930/2f", strings.NewReader("ask"))
			for name, value := range prompt(20, "5c1e07a2", id) {
				q.Header.Set(name, value)
			}
			q.Header.Set("Attempt-Id", id)
			q.Header.Set("Deadline-Ms", "15000")
			record("%s sent to %s as number %d on its connection", id, m.name, n)
			sent.Add(1)
			if q.Write(c) != nil {
				break
			}
			resp, err := http.ReadResponse(lines, q)
			if err != nil {
				record("%s: the connection ends without an answer: %v", id, err)
				if n > 0 && reached(id) {
					lost.Add(1)
				}
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			record("%s: status %d, whole %v", id, resp.StatusCode, err == nil)
			if err != nil || resp.Close {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		_ = c.Close()
	}
}

// reached reports whether a replica got an attempt.
func reached(id string) bool {
	for _, x := range allRuns() {
		if x.attempt == id {
			return true
		}
	}
	return false
}

// uploadBodies has clients send requests with bodies of the largest size that the limits of
// the configuration allow, over links of their own.
func uploadBodies(f *fleet, trouble bool) (broken bool) {
	const (
		keptClients = 24
		calmTime    = 6 * time.Second
		burstTime   = 4500 * time.Millisecond
		afterTime   = 9 * time.Second
		// calmInterval and burstInterval are the times between two requests at one machine: 11 a
		// second, and 2.4 times as many in the burst.
		burstInterval = 38 * time.Millisecond
		calmInterval  = 91 * time.Millisecond
		bodyBytes     = 4194304
		bodyParts     = 64
		uploadTime    = 6 * time.Second
	)
	for range 8 {
		f.addReplica(engines, "v1", true).prefill = 400 * time.Millisecond
	}
	f.addFronts(4)
	f.putConfig(
		route{"/lohu930/", "stream", engines, 15 * time.Second, 600 * time.Millisecond, 0, 2, true},
		route{"/pufi791/", "stream", engines, 20 * time.Second, time.Second, 0, 1, false},
	)
	f.start()
	m := f.fronts[0]
	var peak, lost, sent, uploaded atomic.Int64
	go f.watchMemory(m, &peak)
	var clients sync.WaitGroup
	end := time.Now().Add(calmTime + burstTime + afterTime)
	for n := range keptClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			// The clients' requests are spread over the second that each takes.
			time.Sleep(time.Duration(n) * time.Second / keptClients)
			f.keptClient(m, end, &lost, &sent)
		}()
	}
	time.Sleep(calmTime)
	interval := calmInterval
	if trouble {
		interval = burstInterval
		record("many users come at once")
	}
	part := strings.Repeat("x", bodyBytes/bodyParts)
	every(interval, burstTime, func(int) {
		uploaded.Add(1)
		id := newID()
		c, err := net.DialTimeout("tcp", m.front, time.Second)
		if err != nil {
			return
		}
		defer c.Close()
		header := prompt(20, "5c1e07a2", id)
		record("%s sent to %s with a body of %d bytes", id, m.name, bodyBytes)
		fmt.Fprintf(c, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nContent-Length: %d\r\n", host, id, bodyBytes)
		for name, value := range header {
			fmt.Fprintf(c, "%s: %s\r\n", name, value)
		}
		fmt.Fprint(c, "\r\n")
		for range bodyParts {
			if _, err := io.WriteString(c, part); err != nil {
				record("%s: %v", id, err)
				return
			}
			time.Sleep(uploadTime / bodyParts)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			record("%s: %v", id, err)
			return
		}
		record("%s: status %d", id, resp.StatusCode)
	})
	clients.Wait()
	record("%d uploads; the process of %s took up to %d MB; %d of %d requests on kept connections had reached a replica when their connection ended without an answer", uploaded.Load(), m.name, peak.Load()>>20, lost.Load(), sent.Load())
	return lost.Load() > 3
}
