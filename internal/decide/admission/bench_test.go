package admission_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/decide/admission"
)

// BenchmarkQueue measures the cost of a request in a queue that holds n others
// of 1,000 adapters: Admit, Next and Finished of one item, Admit and Remove of
// another. With 8 resident adapters no item of another adapter starts. "idle"
// adds a call of Next that finds free slots but only items of absent adapters:
// it checks each of these adapters.
func BenchmarkQueue(b *testing.B) {
	for _, fifo := range []bool{false, true} {
		for _, resident := range []int{1000, engineSlots} {
			for _, idle := range []bool{false, true} {
				if resident != engineSlots && idle || resident == engineSlots && fifo {
					continue // A FIFO queue stops at the first absent adapter.
				}
				for _, n := range []int{100, 1000, 10000} {
					b.Run(fmt.Sprintf("fifo=%t/resident=%d/idle=%t/n=%d", fifo, resident, idle, n), func(b *testing.B) {
						benchmarkQueue(b, fifo, idle, resident, n)
					})
				}
			}
		}
	}
}

func benchmarkQueue(b *testing.B, fifo, idle bool, resident, n int) {
	const adapters = 1000
	running := engineRunning
	if idle {
		running = 1 << 30
	}
	q := admission.New(admission.Config{
		MaxRunning: running, MaxWaiting: 1 << 30, FIFO: fifo, StaticLimit: true,
	}, rand.New(rand.NewSource(1)))
	residents := make(map[string]bool)
	for a := range resident {
		residents[adapter(a).Adapter] = true
	}
	ready := func(i *admission.Item) bool { return residents[i.Adapter.Adapter] }
	templates := make([]admission.Item, adapters)
	for a := range templates {
		templates[a] = admission.Item{Adapter: adapter(a), Class: "short"}
	}
	next, now := 0, epoch
	offer := func(a int) {
		next++
		now = now.Add(time.Microsecond)
		item := templates[a]
		item.ID, item.FirstTokenDeadline = id(next), now.Add(1e6*time.Hour)
		q.Admit(now, item, 0)
	}
	for i := range n {
		offer(i % adapters)
	}
	var started []*admission.Item
	for item, ok := q.Next(now, ready); ok; item, ok = q.Next(now, ready) {
		started = append(started, item)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		offer(i % resident)
		if len(started) > 0 {
			q.Finished(now, started[0].ID, admission.Outcome{Tokens: 40})
			started = started[1:]
		}
		if item, ok := q.Next(now, ready); ok {
			started = append(started, item)
		}
		if idle {
			q.Next(now, ready)
		}
		offer(i % adapters)
		q.Remove(id(next))
	}
}
