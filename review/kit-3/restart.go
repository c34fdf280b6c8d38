//go:build review3

package main

import (
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// badPart crashes each engine that begins to answer a request with it. Bad prompts have it
	// behind their first part, and are sound otherwise.
	badPart = "bad05eed"
	// The times are counted from the first request: bad requests come from badFrom on, an engine
	// crashes at each of crashesAt, and the process of an entry is killed at killAt.
	badFrom = 8 * time.Second
	killAt  = 44 * time.Second
	// The rule compares the sound requests from checkFrom to the end with those before badFrom.
	checkFrom = 54 * time.Second
	playTime  = 66 * time.Second
)

var crashesAt = []time.Duration{22 * time.Second, 27 * time.Second, 32 * time.Second, 37 * time.Second}

// playRestart sends streams whose prompts share nine parts to two entries, and beside them some with
// a part that crashes engines. The trouble is that the four engines crash for another reason, one
// after the other, and that the process of one entry is then killed.
func playRestart(d *deployment, trouble bool) (bool, error) {
	const sharedParts = 9
	d.publish(oneModel, 15000, 600, 2, true)
	var engines []*engine
	for i := range 4 {
		zone := fmt.Sprintf("z%d", 1+i%2)
		e, err := d.startEngine(i+1, zone, oneModel, "large", memoryMB, adapterSlots)
		if err != nil {
			return false, err
		}
		e.prefill, e.crashPart = 500*time.Millisecond, badPart
		engines = append(engines, e)
		if err := d.startTarget(e.ip, zone, e.addr); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	var shared []string
	for i := range sharedParts {
		shared = append(shared, fmt.Sprintf("5a1d%04x:20", i))
	}
	sound := strings.Join(shared, ",")
	bad := shared[0] + "," + badPart + ":20," + strings.Join(shared[1:], ",")
	var wg sync.WaitGroup
	var before, after tally
	began := time.Now()
	var stopped atomic.Bool
	wg.Go(func() {
		time.Sleep(badFrom)
		for n := 0; !stopped.Load(); n++ {
			id := fmt.Sprintf("%016x", rand.Uint64())
			front := d.fronts[n%len(d.fronts)]
			wg.Go(func() {
				result, text := stream(front, id, "large", bad+","+id+":20", streamEvents)
				d.line("%s bad: %s %s", id, result, text)
			})
			time.Sleep(time.Second)
		}
	})
	if trouble {
		for i, at := range crashesAt {
			time.AfterFunc(at, func() {
				d.line("%s crashes for another reason", engines[i].id)
				engines[i].crash()
			})
		}
		time.AfterFunc(killAt, func() {
			d.line("%s is killed", d.entries[0].name)
			d.entries[0].signal(syscall.SIGKILL)
		})
	}
	for n := 0; time.Since(began) < playTime; n++ {
		id, front, sent := fmt.Sprintf("%016x", rand.Uint64()), d.fronts[n%len(d.fronts)], time.Since(began)
		wg.Go(func() {
			result, text := stream(front, id, "large", sound+","+id+":20", streamEvents)
			if result != "whole" {
				d.line("%s sound, sent at %.3f: %s %s", id, sent.Seconds(), result, text)
			}
			switch {
			case sent < badFrom:
				before.add(result)
			case sent >= checkFrom:
				after.add(result)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	stopped.Store(true)
	wg.Wait()
	crashes := 0
	for _, e := range engines {
		e.mu.Lock()
		crashes += e.partCrashes
		e.mu.Unlock()
	}
	d.line("crashes for the part: %d; sound requests before it came: %v, from %v on: %v", crashes, &before, checkFrom, &after)
	if before.share() < 0.5 || before.sent < 20 || after.sent < 20 {
		return false, fmt.Errorf("too few sound requests were served before")
	}
	return after.share() < before.share()/2, nil
}

// tally counts requests, and those that were served at the first attempt.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if result == "whole" {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(1, t.sent)) }

func (t *tally) String() string { return fmt.Sprintf("%d of %d served", t.served, t.sent) }
