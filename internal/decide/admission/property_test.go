package admission_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"agatelanding.example/agatelanding/internal/decide/admission"
	"agatelanding.example/agatelanding/internal/decide/slots"
	_ "agatelanding.example/agatelanding/internal/rapidseed"
)

// model is a reference for the state of a queue after any sequence of calls.
type model struct {
	t       *rapid.T
	cfg     admission.Config
	queue   *admission.Queue
	at      time.Duration
	next    int
	waiting []*admission.Item
	running []*admission.Item
	absent  map[slots.Key]bool
}

func (m *model) now() time.Time { return epoch.Add(m.at) }

func (m *model) ready(i *admission.Item) bool { return !m.absent[i.Adapter] }

func (m *model) countWaiting(match func(*admission.Item) bool) (n int) {
	for _, i := range m.waiting {
		if match(i) {
			n++
		}
	}
	return n
}

func (m *model) startable(i *admission.Item) bool {
	return !i.AwaitsRun && m.ready(i) && !m.now().After(i.FirstTokenDeadline)
}

// removeFrom removes an item from a list and reports whether it was there.
func removeFrom(list *[]*admission.Item, item *admission.Item) bool {
	for n, i := range *list {
		if i.ID == item.ID {
			*list = append((*list)[:n:n], (*list)[n+1:]...)
			return true
		}
	}
	return false
}

func (m *model) draw(list []*admission.Item) *admission.Item {
	if len(list) == 0 {
		m.t.Skip("the list is empty")
	}
	return rapid.SampledFrom(list).Draw(m.t, "item")
}

func (m *model) offer(t *rapid.T) {
	m.next++
	item := admission.Item{
		ID: id(m.next), Adapter: adapter(rapid.IntRange(0, 4).Draw(t, "adapter")),
		Long: rapid.Bool().Draw(t, "long"), AwaitsRun: rapid.Bool().Draw(t, "held"),
		FirstTokenDeadline: m.now().Add(time.Duration(rapid.IntRange(-100, 20000).Draw(t, "budget ms")) * time.Millisecond),
	}
	item.Class = fmt.Sprint(item.Long)
	if d := m.queue.Admit(m.now(), item, 0); d.Result == admission.Admitted {
		m.waiting = append(m.waiting, &item)
	} else if d.RetryAfter <= 0 {
		t.Fatalf("refusal %d has no positive RetryAfter", d.Result)
	}
}

func (m *model) start(t *rapid.T) {
	longBefore := 0
	for _, i := range m.running {
		if i.Long {
			longBefore++
		}
	}
	shortWaiting := m.countWaiting(func(i *admission.Item) bool { return !i.Long })
	item, ok := m.queue.Next(m.now(), m.ready)
	if !ok {
		belowLimit := len(m.running) < m.queue.Limit()
		if belowLimit && m.countWaiting(func(i *admission.Item) bool { return !i.Long && m.startable(i) }) > 0 {
			t.Fatal("nothing started below the limit although a short item could")
		}
		return
	}
	// A first token at the start keeps the latest start of later items equal to
	// their deadline.
	m.queue.FirstToken(m.now(), item.ID)
	if !removeFrom(&m.waiting, item) {
		t.Fatalf("%v started without waiting", item.ID)
	}
	if !m.startable(item) {
		t.Fatalf("%v started although it is held, its adapter is absent or its deadline has passed", item.ID)
	}
	longLimit := int(m.cfg.MaxLongShare * float64(m.cfg.MaxRunning))
	if m.cfg.MaxLongShare > 0 {
		longLimit = max(longLimit, 1)
	}
	if item.Long && shortWaiting > 0 && longBefore >= longLimit {
		t.Fatalf("%d long items run, %d allowed while short work waits", longBefore+1, longLimit)
	}
	if m.running = append(m.running, item); len(m.running) > m.cfg.MaxRunning {
		t.Fatalf("%d items run, more than MaxRunning", len(m.running))
	}
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"offer":  m.offer,
		"offer2": m.offer,
		"start":  m.start,
		"start2": m.start,
		"finish": func(t *rapid.T) {
			item := m.draw(m.running)
			removeFrom(&m.running, item)
			m.queue.Finished(m.now(), item.ID, admission.Outcome{Tokens: 10, Failed: rapid.Bool().Draw(t, "failed")})
		},
		"remove": func(t *rapid.T) {
			item := m.draw(m.waiting)
			removeFrom(&m.waiting, item)
			if !m.queue.Remove(item.ID) || m.queue.Remove(item.ID) {
				t.Fatalf("Remove of %v must return true once and then false", item.ID)
			}
		},
		"release": func(t *rapid.T) {
			item := m.draw(m.waiting)
			item.AwaitsRun = false
			m.queue.Release(item.ID)
		},
		"expire": func(t *rapid.T) {
			for _, item := range m.queue.RemoveExpired(m.now()) {
				if !removeFrom(&m.waiting, item) {
					t.Fatalf("%v expired without waiting", item.ID)
				}
			}
			if m.countWaiting(func(i *admission.Item) bool { return m.now().After(i.FirstTokenDeadline) }) > 0 {
				t.Fatal("an item stays past its deadline")
			}
		},
		"load or evict": func(t *rapid.T) {
			key := adapter(rapid.IntRange(0, 4).Draw(t, "adapter"))
			m.absent[key] = !m.absent[key]
			if rapid.Bool().Draw(t, "tell") {
				m.queue.AdapterReady(key)
			}
		},
		"configure": func(t *rapid.T) {
			m.cfg = drawConfig(t)
			m.queue.Configure(m.cfg)
		},
		"time passes": func(t *rapid.T) {
			m.at += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
		},
		"": m.check,
	}
}

func (m *model) check(t *rapid.T) {
	n := 0
	m.queue.EachWaiting(func(i *admission.Item) {
		if n >= len(m.waiting) || m.waiting[n].ID != i.ID {
			t.Fatalf("item %d of EachWaiting is %v, which is not the next waiting item by arrival", n, i.ID)
		}
		n++
	})
	if n != len(m.waiting) || m.queue.Waiting() != n || m.queue.Running() != len(m.running) {
		t.Fatalf("EachWaiting lists %d items; Waiting returns %d, want %d; Running returns %d, want %d",
			n, m.queue.Waiting(), len(m.waiting), m.queue.Running(), len(m.running))
	}
}

func drawConfig(t *rapid.T) admission.Config {
	return admission.Config{
		MaxRunning:   rapid.IntRange(1, 6).Draw(t, "running"),
		MaxWaiting:   rapid.IntRange(1, 40).Draw(t, "queue"),
		MaxLongShare: rapid.SampledFrom([]float64{0, 0.25, 0.5, 1}).Draw(t, "long share"),
	}
}

// TestInterleavings checks that no sequence of calls loses an item, starts it
// twice, too early or too late, starts nothing although an item could start within
// the limit, or lets long items run in place of short ones.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawConfig(t)
		m := &model{t: t, cfg: cfg, absent: make(map[slots.Key]bool), queue: admission.New(cfg, rand.New(rand.NewSource(1)))}
		// One short sequence rarely has enough long items to exceed their share.
		for range 10 {
			t.Repeat(m.actions())
		}
	})
}

// TestHotAdapterStarvesNone checks that an adapter with most of the requests
// does not take the starts of adapters that have less than an equal part of them.
func TestHotAdapterStarvesNone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := load{
			seed: rapid.Int64Range(1, 1<<30).Draw(t, "seed"), length: 80 * time.Second, adapters: engineSlots,
			rate: steady(rapid.Float64Range(20, 100).Draw(t, "rate")), hotShare: 0.97,
			budget: time.Duration(rapid.IntRange(1000, 10000).Draw(t, "budget ms")) * time.Millisecond,
		}
		checkColdAdapters(t, l)
	})
}

// TestMissedDeadlinesLeaveReserve repeats a failure of TestHotAdapterStarvesNone
// (seed 450788). Missed deadlines of the hot adapter had raised the safety fraction
// of the lane so far that the reserve of the other adapters was not usable.
func TestMissedDeadlinesLeaveReserve(t *testing.T) {
	checkColdAdapters(t, load{
		seed: 820408, length: 80 * time.Second, adapters: engineSlots, rate: steady(58.375), hotShare: 0.97, budget: 1014 * time.Millisecond,
	})
}

// TestDrainingBacklogLeavesShares repeats a failure of TestHotAdapterStarvesNone
// (seed 1168233). While the backlog of the hot adapter drained, few requests were
// admitted, and a few of another adapter counted as an equal part of the recent
// work.
func TestDrainingBacklogLeavesShares(t *testing.T) {
	checkColdAdapters(t, load{
		seed: 23, length: 80 * time.Second, adapters: engineSlots, rate: steady(100), hotShare: 0.97, budget: 10 * time.Second,
	})
}

// checkColdAdapters fails if an adapter other than the hot one, adapter 0, has
// over two answers in time less than 90% of its requests.
func checkColdAdapters(t interface{ Fatalf(string, ...any) }, l load) {
	o := runTrace(staticLimit, l.trace(), 20*time.Second, l.length)
	for a := 1; a < l.adapters; a++ {
		if o.answeredByAdapter[a]*10 < o.offeredByAdapter[a]*9-20 {
			t.Fatalf("adapter %d: %d of %d requests answered in time, want about nine in ten; hot adapter: %d of %d", a, o.answeredByAdapter[a], o.offeredByAdapter[a], o.answeredByAdapter[0], o.offeredByAdapter[0])
		}
	}
}
