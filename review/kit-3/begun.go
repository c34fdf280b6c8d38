//go:build review3

package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// writtenPart is a part on which an engine crashes writtenTime after the first event of its
	// answer.
	writtenPart = "77d1a3c4"
	writtenTime = 5 * time.Millisecond
	// By the rule, no more than maxLate requests with the part reach engines later than
	// contactTime after the fifth crash.
	crashesUntil = 5
	maxLate      = 3
)

// playBegun sends streams to four engines, and beside them one a second with a part of its own
// between the shared ones. The trouble is that engines crash on that part, right after the first
// event.
func playBegun(d *deployment, trouble bool) (bool, error) {
	d.publish(oneModel, 15000, 600, 2, true)
	var engines []*engine
	for i := range 4 {
		zone := fmt.Sprintf("z%d", 1+i%2)
		e, err := d.startEngine(i+1, zone, oneModel, "large", memoryMB, adapterSlots)
		if err != nil {
			return false, err
		}
		if trouble {
			e.writtenPart = writtenPart
		}
		engines = append(engines, e)
		if err := d.startTarget(e.ip, zone, e.addr); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	const badFrom, duration = 4 * time.Second, 45 * time.Second
	var wg sync.WaitGroup
	var sound tally
	var sentLate atomic.Int64
	var mu sync.Mutex
	late := map[string]bool{}
	crashed := func() (times []time.Time) {
		for _, e := range engines {
			e.mu.Lock()
			times = append(times, e.partCrashTimes...)
			e.mu.Unlock()
		}
		return times
	}
	began := time.Now()
	var stopped atomic.Bool
	wg.Go(func() {
		time.Sleep(badFrom)
		var fifthAt time.Time
		for n := 0; !stopped.Load(); n++ {
			id := fmt.Sprintf("%016x", rand.Uint64())
			front := d.fronts[n%len(d.fronts)]
			if fifthAt.IsZero() && len(crashed()) >= crashesUntil {
				fifthAt = time.Now()
				d.line("%d crashes so far", crashesUntil)
			}
			if !fifthAt.IsZero() && time.Since(fifthAt) > contactTime {
				sentLate.Add(1)
				mu.Lock()
				late[id] = true
				mu.Unlock()
			}
			wg.Go(func() {
				result, text := stream(front, id, "large", "5c1e07a2:20,"+writtenPart+":20,"+id+":20", streamEvents)
				d.line("%s with the part: %s %s", id, result, text)
			})
			time.Sleep(time.Second)
		}
	})
	for n := 0; time.Since(began) < duration; n++ {
		id, front := fmt.Sprintf("%016x", rand.Uint64()), d.fronts[n%len(d.fronts)]
		wg.Go(func() {
			result, text := stream(front, id, "large", "5c1e07a2:20,"+id+":20", streamEvents)
			if result != "whole" {
				d.line("%s sound: %s %s", id, result, strings.TrimSpace(text))
			}
			sound.add(result)
		})
		time.Sleep(50 * time.Millisecond)
	}
	stopped.Store(true)
	wg.Wait()
	reached := 0
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			if late[r.id] {
				d.line("%s reached %s at %.3f", r.id, e.id, r.started.Sub(d.began).Seconds())
				reached++
			}
		}
		e.mu.Unlock()
	}
	d.line("crashes for the part: %d; requests with it sent later than %v after the fifth: %d, which reached engines %d times, %d are allowed; sound requests: %v", len(crashed()), contactTime, sentLate.Load(), reached, maxLate, &sound)
	if sound.served == 0 {
		return false, fmt.Errorf("no sound request was served")
	}
	return trouble && reached > maxLate, nil
}
