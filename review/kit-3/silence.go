//go:build review3

package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

const (
	// silenceTime is how long an engine falls silent, and silenceEvery the time between two
	// silences.
	silenceTime  = 1600 * time.Millisecond
	silenceEvery = 6 * time.Second
	// longStream is the number of events of a stream that takes 3 s.
	longStream = 100
	// overlapTime is for how long two engines may work on a stream by the rule.
	overlapTime = 400 * time.Millisecond
)

// playSilence sends streams that may be resumed to eight engines. One of them goes on with a run
// whose connection has closed. The trouble is that one of them falls silent for a moment, every few
// seconds, and goes on.
func playSilence(d *deployment, trouble bool) (bool, error) {
	d.publish(oneModel, 15000, 600, 2, true)
	var engines []*engine
	for i := range 8 {
		zone := fmt.Sprintf("z%d", 1+i%2)
		e, err := d.startEngine(i+1, zone, oneModel, "large", memoryMB, adapterSlots)
		if err != nil {
			return false, err
		}
		// Most replicas drop a request when its connection closes; one does not.
		e.events, e.keeps = longStream, i == 0
		engines = append(engines, e)
		if err := d.startTarget(e.ip, zone, e.addr); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)

	const duration = 24 * time.Second
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	began, nextSilence := time.Now(), 3*time.Second
	for n := 0; time.Since(began) < duration; n++ {
		if trouble && time.Since(began) > nextSilence {
			nextSilence += silenceEvery
			engines[0].silence(silenceTime)
			d.line("%s is silent for %v", engines[0].id, silenceTime)
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		front := d.fronts[n%len(d.fronts)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			result, _ := stream(front, id, "large", "5c1e07a2:150,"+id+":50", longStream)
			d.line("%s: %s", id, result)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		}()
		time.Sleep(80 * time.Millisecond)
	}
	wg.Wait()
	// The engines may still work on streams that have gone on elsewhere.
	time.Sleep(6 * time.Second)
	twice := d.overlaps(engines)
	d.line("answers: %v; streams that went on while the engine before worked on them for more than %v: %d", results, overlapTime, twice)
	if results["whole"] == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return twice > 0, nil
}

// overlaps returns the number of streams that an engine went on with while the one before was at
// work on them for longer than overlapTime.
func (d *deployment) overlaps(engines []*engine) (twice int) {
	byID := map[string][]streamRun{}
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.runs {
			byID[r.id] = append(byID[r.id], *r)
		}
		e.mu.Unlock()
	}
	for id, runs := range byID {
		for _, first := range runs {
			for _, next := range runs {
				if next.engine == first.engine || !next.started.After(first.started) {
					continue
				}
				overlap := first.ended.Sub(next.started)
				d.line("%s ran at %s from %.3f to %.3f and went on after event %d at %s at %.3f: overlap %.3f s", id, first.engine, first.started.Sub(d.began).Seconds(), first.ended.Sub(d.began).Seconds(), next.after, next.engine, next.started.Sub(d.began).Seconds(), overlap.Seconds())
				if overlap > overlapTime {
					twice++
				}
			}
		}
	}
	return twice
}
