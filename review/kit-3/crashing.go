//go:build review3

package main

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// crashingPath is that of the request under which replicas crash, after crashWork of work.
	// They are back after crashTime.
	crashingPath = "/turn/crash"
	crashWork    = 20 * time.Millisecond
	// contactTime is contact_ms, and maxRetries the number of retries that may reach replicas
	// later than that after the third crash.
	contactTime = 3 * time.Second
	maxRetries  = 3
)

// playCrashing sends an idempotent request under which replicas of a plain service crash, again and
// again, beside sound ones. The trouble is that all processes of the system are killed at once,
// after the fourth crash.
func playCrashing(d *deployment, trouble bool) (bool, error) {
	d.store.Put("op/config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "r-lookup", "hostname": "ficu95.example", "prefix": "/turn/", "kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
			"service": "ledger", "max_attempts": 2, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{
			{"name": "ledger", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			{"name": "assistant", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 64, "kv_capacity": 134670, "stride": 5, "weights_mb": memoryMB, "adapter_slots": adapterSlots, "loads_per_s": 4.5, "models": oneModel}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var replicas []*standin.Replica
	var servers []*standin.Server
	for i := range 4 {
		zone := fmt.Sprintf("z%d", i+1)
		r := standin.NewReplica(fmt.Sprintf("s-%d", i+1), "", 0)
		r.Slots, r.MaxRequests, r.WorkTime = 6, 30, 30*time.Millisecond
		s, err := standin.Serve(fmt.Sprintf("127.2.%d.%d:%d", d.net, 11+i, d.port+8), r)
		if err != nil {
			return false, err
		}
		d.stops = append(d.stops, s.Close)
		s.CrashUnder(func(run standin.Run) bool { return run.URI == crashingPath }, crashWork)
		register := func() { d.store.Register(r, "ledger", s.Address, zone, "ready") }
		s.RestartAfter(crashTime, nil, register)
		register()
		replicas, servers = append(replicas, r), append(servers, s)
		e, err := d.startEngine(i+1, zone, oneModel, "large", memoryMB, adapterSlots)
		if err != nil {
			return false, err
		}
		if err := d.startTarget(e.ip, zone, e.addr); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(4); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	crashes := func() (list []time.Time) {
		for _, s := range servers {
			list = append(list, s.Crashes()...)
		}
		return list
	}
	var wg sync.WaitGroup
	done := make(chan struct{})
	wg.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
			wg.Go(func() { d.lookup(d.fronts[n%len(d.fronts)], fmt.Sprintf("/turn/%d", n)) })
		}
	})
	defer func() {
		close(done)
		wg.Wait()
	}()
	for n := 0; len(crashes()) < 4 && n < 6; n++ {
		d.lookup(d.fronts[n%len(d.fronts)], crashingPath)
		time.Sleep(1500 * time.Millisecond)
	}
	if len(crashes()) < 3 {
		return false, fmt.Errorf("the request has not crashed three replicas")
	}
	third := time.Now()
	d.line("%d crashes so far", len(crashes()))
	if trouble {
		d.line("all processes are killed")
		for _, p := range append(append([]*process(nil), d.entries...), d.targets...) {
			p.signal(syscall.SIGKILL)
		}
	}
	// From here on the machines are in touch again, and the replicas are back.
	time.Sleep(2*contactTime + time.Second)
	from := time.Now()
	for n := range 8 {
		d.lookup(d.fronts[n%len(d.fronts)], crashingPath)
		time.Sleep(2500 * time.Millisecond)
	}
	retries := 0
	for _, r := range replicas {
		for _, run := range r.Runs() {
			if run.URI == crashingPath && run.Started.After(from) {
				d.line("reaches %s at %.3f, %.1f s after the third crash", r.ID, run.Started.Sub(d.began).Seconds(), run.Started.Sub(third).Seconds())
				retries++
			}
		}
	}
	d.line("the request reached replicas %d times later than %v after it had crashed the third, %d are allowed", retries, contactTime, maxRetries)
	return retries > maxRetries, nil
}

// lookup sends an idempotent request.
func (d *deployment) lookup(front, path string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+front+path, nil)
	if err != nil {
		return
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	req.Host = "ficu95.example"
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", "1500")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		d.line("%s %s: no answer", id, path)
		return
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK || path == crashingPath {
		d.line("%s %s: status %d %s", id, path, resp.StatusCode, strings.TrimSpace(string(body)))
	}
}
