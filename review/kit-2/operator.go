//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// release is the route of the releases of gates.
func release(service string) map[string]any {
	return route("release", "/release/", "non_idempotent", service, 1, false, 1500*time.Millisecond)
}

// storeMoves lets the platform's store move to another address, which the settings files name
// from then on. A later configuration moves a route to another service.
func storeMoves(d *deployment, trouble bool) bool {
	const applyTime = 2 * time.Second
	for range 3 {
		d.addServiceOf(serviceName, crashDown)
		d.addServiceOf(otherName, crashDown)
	}
	old, oldAddress := d.listenStore()
	d.storeAddr = oldAddress
	d.addFronts(3)
	d.publish(7, release(serviceName))
	d.start()
	c := newClients(d)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(100*time.Millisecond, 32*time.Second, func(n int) {
			c.call("release", n, "POST", fmt.Sprintf("/release/%d", n), "{}", 1500*time.Millisecond, nil)
		})
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		_, address := d.listenStore()
		for _, p := range d.processes {
			raw, err := os.ReadFile(p.settings)
			if err == nil {
				err = replaceFile(p.settings, strings.ReplaceAll(string(raw), oldAddress, address))
			}
			if err != nil {
				cannotRun(err)
			}
			p.signal(syscall.SIGHUP)
		}
		d.record.say("the store serves at %s too; the settings files name it, and SIGHUP was sent", address)
		// Both addresses serve for longer than a change of settings takes.
		time.Sleep(5 * time.Second)
		_ = old.Close()
		d.record.say("the store no longer serves at %s", oldAddress)
	} else {
		time.Sleep(5 * time.Second)
	}
	// Longer than contact_ms after the last change.
	time.Sleep(contactTime + 2*time.Second)
	d.publish(9, release(otherName))
	acked := time.Now()
	wg.Wait()
	sentAt := map[string]time.Time{}
	late := 0
	for _, s := range c.list {
		sentAt[s.id] = s.at
		if s.at.After(acked.Add(applyTime)) {
			late++
		}
	}
	wrong := 0
	for _, r := range d.arrivals() {
		d.record.add("run %.3f %s at %s", r.Started.Sub(d.record.from).Seconds(), r.ID, r.Replica)
		if strings.HasPrefix(r.Replica, "i-"+serviceName) && sentAt[r.ID].After(acked.Add(applyTime)) {
			wrong++
		}
	}
	d.record.say("of %d requests sent later than %v after the acknowledgement of version 9, %d ran at the service of version 7 (0 are allowed)", late, applyTime, wrong)
	return wrong > 0
}

// listenStore serves the store at one more address. Its connections end when it is closed.
func (d *deployment) listenStore() (*http.Server, string) {
	l, err := net.Listen("tcp", d.ip(200, 2)+":0")
	if err != nil {
		cannotRun(err)
	}
	s := &http.Server{Handler: d.store}
	go func() { _ = s.Serve(l) }()
	d.closers = append(d.closers, func() { _ = s.Close() })
	return s, l.Addr().String()
}

// replaceFile replaces a file at once.
func replaceFile(path, text string) error {
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// keyTaken takes a key away by a configuration that also adds a tenant with a name.
func keyTaken(d *deployment, newTenant string) bool {
	const revokeTime = 5 * time.Second
	d.bounds = kvootBounds
	tenant := func(name string, keys ...string) map[string]any {
		return map[string]any{"name": name, "api_keys": keys, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 100000, "burst": 100000}
	}
	for range 3 {
		d.addService(crashDown)
	}
	d.addFronts(3)
	d.tenants = []map[string]any{tenant("kvoot", "key-old", "key-kept")}
	d.publish(7, release(serviceName))
	d.start()
	c := newClients(d)
	call := func(kind, key string) func(n int) {
		return func(n int) {
			c.call(kind, n, "POST", fmt.Sprintf("/release/%s/%d", kind, n), "{}", 1500*time.Millisecond, map[string]string{"Authorization": "Bearer " + key})
		}
	}
	const length = 25 * time.Second
	var wg sync.WaitGroup
	for kind, key := range map[string]string{"old": "key-old", "kept": "key-kept", "new": "key-new"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			every(200*time.Millisecond, length, call(kind, key))
		}()
	}
	time.Sleep(4 * time.Second)
	d.tenants = []map[string]any{tenant("kvoot", "key-kept"), tenant(newTenant, "key-new")}
	d.publish(9, release(serviceName))
	acked := time.Now()
	wg.Wait()
	late, statuses := map[string]bool{}, map[string]map[int]int{"old": {}, "kept": {}, "new": {}}
	for _, s := range c.list {
		if s.at.After(acked.Add(revokeTime)) {
			kind, _, _ := strings.Cut(s.id, "-")
			statuses[kind][s.status]++
			late[s.id] = kind == "old"
		}
	}
	ran := 0
	for _, r := range d.arrivals() {
		d.record.add("run %.3f %s at %s for tenant %q", r.Started.Sub(d.record.from).Seconds(), r.ID, r.Replica, r.Workspace)
		if late[r.ID] {
			ran++
		}
	}
	d.record.say("sent later than %v after the acknowledgement of version 9, by status: key taken away %v, key kept %v, new key %v", revokeTime, statuses["old"], statuses["kept"], statuses["new"])
	d.record.say("%d of the requests with the key that was taken away ran (0 are allowed)", ran)
	return ran > 0
}

// headsGrow raises max_header_bytes by a configuration and sends heads within the new bound.
func headsGrow(d *deployment, trouble bool) bool {
	const applyTime = 2 * time.Second
	for range 3 {
		d.addService(crashDown)
	}
	d.addFronts(3)
	if !trouble {
		d.headBytes = 65536
	}
	d.publish(7, release(serviceName))
	d.start()
	d.headBytes = 65536
	d.publish(9, release(serviceName))
	time.Sleep(contactTime + applyTime)
	c := newClients(d)
	padding := strings.Repeat("x", 40<<10)
	every(50*time.Millisecond, 15*time.Second, func(n int) {
		header := map[string]string{}
		if n%4 == 0 {
			header["Cookie"] = padding
		}
		c.call("release", n, "POST", fmt.Sprintf("/release/%d", n), "{}", 1500*time.Millisecond, header)
	})
	denied := 0
	for _, s := range c.list {
		if s.status >= 300 && s.status < 500 && s.status != 408 && s.status != 421 && s.status != 429 {
			denied++
		}
	}
	allowed := 5 + len(c.list)/500
	d.record.say("%d of %d requests were ended with a 3xx or 4xx although every configuration allows them (%d are allowed)", denied, len(c.list), allowed)
	return denied > allowed
}

// otherWriter lets another writer put entries under the keys of replicas of one service. They name
// another service and lack fields of a replica's entry, so that they name no replica to use. The
// replicas go on writing their own entries.
func otherWriter(d *deployment, trouble bool) bool {
	var others []*server
	for range 3 {
		d.addServiceOf(serviceName, crashDown)
		others = append(others, d.addServiceOf(otherName, crashDown))
	}
	d.addFronts(3)
	d.publish(7, release(serviceName), route("lookup", "/lookup/", "idempotent", otherName, 1, false, 1500*time.Millisecond))
	d.start()
	c := newClients(d)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(20*time.Millisecond, 15*time.Second, func(n int) {
			if n%2 == 0 {
				c.call("release", n, "POST", fmt.Sprintf("/release/%d", n), "{}", 1500*time.Millisecond, nil)
				return
			}
			c.call("lookup", n, "GET", fmt.Sprintf("/lookup/%d", n), "", 1500*time.Millisecond, nil)
		})
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		for range 5 {
			for _, s := range others {
				// Of the fields of an entry, version, slots, cold_remaining_ms, seq and born are missing.
				d.store.Put("servers/"+s.Replica.ID, map[string]any{"service": serviceName, "address": s.Address, "zone": s.zone, "state": "ready"})
				d.record.add("another writer puts servers/%s with the service %s and without version, slots, cold_remaining_ms, seq and born", s.Replica.ID, serviceName)
			}
			time.Sleep(time.Second)
		}
	}
	wg.Wait()
	statuses := map[int]int{}
	for _, s := range c.list {
		statuses[s.status]++
	}
	wrong := 0
	for _, s := range d.servers {
		for _, r := range s.Replica.Runs() {
			d.record.add("run %.3f %s at %s of the service %s", r.Started.Sub(d.record.from).Seconds(), r.ID, r.Replica, s.pool)
			if strings.HasPrefix(r.ID, "release") && s.pool != serviceName {
				wrong++
			}
		}
	}
	d.record.say("requests by status: %v; %d requests for the service %s were run by the service %s (0 are allowed)", statuses, wrong, serviceName, otherName)
	return wrong > 0
}
