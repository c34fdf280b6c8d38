package ratelimit_test

import (
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/ratelimit"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// contactTime is the time after which entries in touch must obey, and excusedTime that
	// for which a restart, freeze or cut excuses an entry after its end.
	contactTime = 3 * time.Second
	excusedTime = 3 * time.Second
	window      = 4 * time.Second
	replyWait   = 300 * time.Millisecond
	limitedID   = "limited"
	// maxSeeds is the number of entries that each one knows from its settings.
	maxSeeds = 3
)

// event is something that happens at a time of the simulation.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// fleet simulates entries in front of the targets of one pool of plain services, of which
// one names a rate, and the messages between entries.
type fleet struct {
	rng     *rand.Rand
	elapsed time.Duration
	queue   events
	count   int
	entries []*simEntry
	// others is the number of targets that name no rate.
	others int
	// rate is what the limited target names, 0 for nothing.
	rate float64
	// arrivals holds the requests that reached the limited target.
	arrivals []arrival
	refused  int
	// answered counts the requests that a target has answered.
	answered int
}

type arrival struct {
	at    time.Duration
	entry int
}

// simEntry is one entry. Its mesh tells it of the entries that it reaches after a delay.
type simEntry struct {
	f           *fleet
	number      int
	incarnation int
	steering    *steering.Steering
	sharing     *ratelimit.Sharing
	// reaches holds the entries that it is connected with, and known those that it has
	// heard of.
	reaches map[int]bool
	known   map[int]bool
	limits  []wire.RateLimit
	pending map[uint64]func(bool, time.Duration)
	// asks holds the last ask of each request, and owners the entry that got it.
	asks        map[uint64]ratelimit.Ask
	owners      map[uint64]string
	lastAsk     uint64
	lastRequest uint64
	// stoppedUntil is the end of a freeze, cut the entries that it cannot reach. Its
	// requests between excusedFrom and excusedUntil are excused.
	stoppedUntil              time.Duration
	cut                       map[int]bool
	excusedFrom, excusedUntil []time.Duration
}

func newSimFleet(seed int64, entries, others int) *fleet {
	f := &fleet{rng: rand.New(rand.NewSource(seed)), others: others}
	for i := range entries {
		e := &simEntry{f: f, number: i, cut: map[int]bool{}}
		f.entries = append(f.entries, e)
		e.start()
	}
	return f
}

func (f *fleet) now() time.Time { return start.Add(f.elapsed) }

func (f *fleet) after(d time.Duration, do func()) {
	f.count++
	heap.Push(&f.queue, event{at: f.elapsed + d, number: f.count, do: do})
}

func (f *fleet) run(until time.Duration) {
	for f.queue.Len() > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(event)
		f.elapsed = e.at
		e.do()
	}
	f.elapsed = until
}

// delay returns the time that a message takes.
func (f *fleet) delay() time.Duration {
	ms := 1 + 4*f.rng.Float64()
	if f.rng.Intn(50) == 0 {
		ms += 40 * f.rng.Float64()
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (e *simEntry) address() string { return fmt.Sprintf("e%03d", e.number) }

// start begins an incarnation that knows nothing.
func (e *simEntry) start() {
	e.incarnation++
	e.steering = steering.New(steering.Config{Entry: e.address(), Incarnation: int64(e.incarnation), Random: e.f.rng.Float64}, simRecorder{})
	e.sharing = ratelimit.NewSharing(e.f.now(), e.address())
	e.reaches, e.known, e.limits = map[int]bool{}, map[int]bool{}, nil
	e.pending, e.asks, e.owners = map[uint64]func(bool, time.Duration){}, map[uint64]ratelimit.Ask{}, map[uint64]string{}
	e.perform(e.steering.SetView(e.f.now(), e.f.view()))
	for i := range min(maxSeeds, len(e.f.entries)) {
		if i != e.number {
			e.known[i] = true
		}
	}
	e.updateMembers()
	e.dial()
	e.every(time.Second, e.dial)
	e.every(25*time.Millisecond, func() {
		e.perform(e.steering.Tick(e.f.now()))
	})
	e.every(5*time.Millisecond, func() { e.reply(e.sharing.Tick(e.f.now())) })
}

// dial connects to the entries that it is not connected with.
func (e *simEntry) dial() {
	for _, o := range e.f.entries {
		if !e.reaches[o.number] {
			e.connect(o)
		}
	}
}

// every calls do at an interval while the incarnation runs.
func (e *simEntry) every(interval time.Duration, do func()) {
	incarnation := e.incarnation
	var again func()
	again = func() {
		if e.incarnation == incarnation {
			e.awake(do)
			e.f.after(interval, again)
		}
	}
	e.f.after(time.Duration(e.f.rng.Int63n(int64(interval))), again)
}

// awake calls do now, or after the end of a freeze.
func (e *simEntry) awake(do func()) {
	if wait := e.stoppedUntil - e.f.elapsed; wait > 0 {
		incarnation := e.incarnation
		e.f.after(wait, func() {
			if e.incarnation == incarnation {
				do()
			}
		})
		return
	}
	do()
}

// connect makes two entries find each other, each after a delay of its own.
func (e *simEntry) connect(o *simEntry) {
	if o == e || e.cut[o.number] || o.cut[e.number] {
		return
	}
	for _, pair := range [][2]*simEntry{{e, o}, {o, e}} {
		from, to := pair[0], pair[1]
		incarnations := [2]int{from.incarnation, to.incarnation}
		e.f.after(time.Duration(e.f.rng.Int63n(int64(time.Second))), func() {
			if from.cut[to.number] || to.cut[from.number] || incarnations != [2]int{from.incarnation, to.incarnation} {
				return
			}
			from.reaches[to.number], from.known[to.number] = true, true
			from.updateMembers()
			limits := slices.Clone(from.limits)
			from.send(to, func() { to.receive(limits) })
		})
	}
}

// disconnect makes each of two entries miss the other after a time.
func (e *simEntry) disconnect(o *simEntry, within time.Duration) {
	for _, pair := range [][2]*simEntry{{e, o}, {o, e}} {
		from, to := pair[0], pair[1]
		incarnation := from.incarnation
		e.f.after(time.Duration(e.f.rng.Int63n(int64(within))), func() {
			if from.incarnation == incarnation {
				delete(from.reaches, to.number)
				from.updateMembers()
			}
		})
	}
}

func (e *simEntry) updateMembers() {
	connected := []string{e.address()}
	for n := range e.reaches {
		connected = append(connected, e.f.entries[n].address())
	}
	slices.Sort(connected)
	e.reply(e.sharing.SetMembers(e.f.now(), connected, len(e.known)+1))
}

// send delivers a message to another entry, unless it is lost.
func (e *simEntry) send(to *simEntry, deliver func()) {
	incarnations := [2]int{e.incarnation, to.incarnation}
	e.f.after(e.f.delay(), func() {
		if incarnations == [2]int{e.incarnation, to.incarnation} && !e.cut[to.number] && !to.cut[e.number] {
			to.awake(deliver)
		}
	})
}

func (e *simEntry) receive(limits []wire.RateLimit) {
	e.limits = append(e.limits, limits...)
	if len(e.limits) > 50 {
		e.limits = e.limits[len(e.limits)-50:]
	}
	e.perform(e.steering.ReceiveRateLimits(e.f.now(), limits))
}

func (e *simEntry) perform(actions []steering.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case steering.Granted:
			e.sendRequest(a.Number, a.Grant)
		case steering.Refused:
			e.f.refused++
		case steering.AskPermit:
			e.ask(a)
		case steering.WithdrawAsk:
			e.withdraw(a.Number)
		case steering.BroadcastRateLimit:
			e.limits = append(e.limits, a.Limit)
			for n := range e.reaches {
				to := e.f.entries[n]
				e.send(to, func() { to.receive([]wire.RateLimit{a.Limit}) })
			}
		}
	}
}

func (e *simEntry) ask(a steering.AskPermit) {
	e.lastAsk++
	ask := a.Ask
	ask.Number = e.lastAsk
	e.pending[ask.Number] = func(granted bool, retryAfter time.Duration) {
		e.perform(e.steering.Permitted(e.f.now(), a.Number, ask.Key.Target, granted, retryAfter))
	}
	e.f.after(ask.Deadline.Sub(e.f.now())+replyWait, func() { e.awake(func() { e.finish(ask.Number, false, 250*time.Millisecond) }) })
	owner := e.sharing.Owner(ask.Key)
	e.asks[a.Number], e.owners[a.Number] = ask, owner
	if owner == e.address() {
		e.reply(e.sharing.Ask(e.f.now(), ask, true))
		return
	}
	wait := ask.Deadline.Sub(e.f.now())
	for _, o := range e.f.entries {
		if o.address() == owner {
			ask.From = e.address()
			e.send(o, func() {
				ask.Deadline = e.f.now().Add(wait)
				o.reply(o.sharing.Ask(e.f.now(), ask, false))
			})
		}
	}
}

// withdraw withdraws the last ask of a request.
func (e *simEntry) withdraw(request uint64) {
	ask, owner := e.asks[request], e.owners[request]
	delete(e.pending, ask.Number)
	if owner == e.address() {
		e.sharing.Withdraw(ask.Key, "", ask.Number)
		return
	}
	for _, o := range e.f.entries {
		if o.address() == owner {
			e.send(o, func() { o.sharing.Withdraw(ask.Key, e.address(), ask.Number) })
		}
	}
}

func (e *simEntry) reply(replies []ratelimit.Reply) {
	for _, r := range replies {
		if r.Ask.From == "" {
			e.f.after(0, func() { e.awake(func() { e.finish(r.Ask.Number, r.Granted, r.RetryAfter) }) })
			continue
		}
		for _, o := range e.f.entries {
			if o.address() == r.Ask.From {
				e.send(o, func() { o.finish(r.Ask.Number, r.Granted, r.RetryAfter) })
			}
		}
	}
}

func (e *simEntry) finish(number uint64, granted bool, retryAfter time.Duration) {
	if reply, ok := e.pending[number]; ok {
		delete(e.pending, number)
		reply(granted, retryAfter)
	}
}

// sendRequest sends a request to its target, which answers after a while.
func (e *simEntry) sendRequest(number uint64, g steering.Grant) {
	f, incarnation, sentAt := e.f, e.incarnation, e.f.now()
	f.after(f.delay(), func() {
		isLimited := g.Target.ID == limitedID
		if isLimited {
			f.arrivals = append(f.arrivals, arrival{f.elapsed, e.number})
		}
		rate := f.rate
		f.after(20*time.Millisecond+time.Duration(f.rng.Int63n(int64(80*time.Millisecond))), func() {
			if e.incarnation != incarnation {
				return
			}
			e.awake(func() {
				f.answered++
				n := steering.Notice{}
				if isLimited && rate > 0 {
					n.RateLimit = rate
				} else if g.RateLimited {
					n.NoRateLimitSentAt = sentAt
				}
				if n != (steering.Notice{}) {
					actions, _ := e.steering.Notified(f.now(), g.Target, n)
					e.perform(actions)
				}
				e.perform(e.steering.Done(f.now(), number, steering.Answered))
			})
		})
	})
}

// demand sends requests at random entries until the end of the run.
func (f *fleet) demand(perSecond float64) {
	var next func()
	next = func() {
		e := f.entries[f.rng.Intn(len(f.entries))]
		if e.stoppedUntil <= f.elapsed {
			e.lastRequest++
			number, incarnation := e.lastRequest+uint64(e.incarnation)<<32, e.incarnation
			e.perform(e.steering.Acquire(f.now(), steering.Request{Number: number, Pool: "p", Priority: f.rng.Intn(3), Deadline: f.now().Add(time.Second)}))
			if f.rng.Intn(10) == 0 {
				// The caller leaves.
				f.after(200*time.Millisecond, func() {
					if e.incarnation == incarnation {
						e.perform(e.steering.Done(f.now(), number, steering.Abandoned))
					}
				})
			}
		}
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.after(0, next)
}

// excuse excuses the requests of an entry until a while after a time.
func (e *simEntry) excuse(d time.Duration) {
	e.excusedFrom = append(e.excusedFrom, e.f.elapsed)
	e.excusedUntil = append(e.excusedUntil, e.f.elapsed+d+excusedTime)
}

func (e *simEntry) isExcused(at time.Duration) bool {
	for i := range e.excusedFrom {
		if at >= e.excusedFrom[i] && at <= e.excusedUntil[i] {
			return true
		}
	}
	return false
}

// restart ends an entry and starts it again after a time, with nothing.
func (e *simEntry) restart(after time.Duration) {
	e.excuse(after)
	e.incarnation++
	for _, o := range e.f.entries {
		if o != e {
			o.disconnect(e, 50*time.Millisecond)
		}
	}
	e.f.after(after, e.start)
}

func (e *simEntry) freeze(d time.Duration) {
	e.excuse(d)
	e.stoppedUntil = e.f.elapsed + d
}

// cutOff separates an entry from all others for a time. Connections end when they have
// been silent for 3 s.
func (e *simEntry) cutOff(d time.Duration) {
	e.excuse(d)
	for _, o := range e.f.entries {
		if o != e {
			e.cut[o.number] = true
			if d > 3*time.Second {
				e.f.after(2500*time.Millisecond, func() { e.disconnect(o, 500*time.Millisecond) })
			}
		}
	}
	e.f.after(d, func() { clear(e.cut) })
}

// most returns the most requests at the limited target in a window that begins after a
// time, without those of excused entries.
func (f *fleet) most(from time.Duration) int {
	var times []time.Duration
	for _, a := range f.arrivals {
		if a.at >= from && !f.entries[a.entry].isExcused(a.at) {
			times = append(times, a.at)
		}
	}
	most := 0
	for i, first := range times {
		n, _ := slices.BinarySearch(times[i:], first+window)
		most = max(most, n)
	}
	return most
}

// fewest returns the fewest requests at the limited target in 10 s between two times.
func (f *fleet) fewest(from, to time.Duration) int {
	fewest := len(f.arrivals)
	for begin := from; begin+10*time.Second <= to; begin += 250 * time.Millisecond {
		n := 0
		for _, a := range f.arrivals {
			if a.at >= begin && a.at < begin+10*time.Second {
				n++
			}
		}
		fewest = min(fewest, n)
	}
	return fewest
}

func (f *fleet) view() *catalog.View {
	v := &catalog.View{
		Config:  catalog.NewConfig(1, nil, map[string]*catalog.Pool{"p": {Name: "p"}}, catalog.Limits{}),
		Targets: map[string]*catalog.Target{}, Pools: map[string][]*catalog.Target{},
	}
	for i := range f.others + 1 {
		t := &catalog.Target{ID: limitedID, Pool: "p", MaxRunning: 400, StartedAtMS: 1}
		if i > 0 {
			t = &catalog.Target{ID: fmt.Sprintf("other-%d", i), Pool: "p", MaxRunning: 400, StartedAtMS: 1}
		}
		v.Targets[t.ID] = t
		v.Pools["p"] = append(v.Pools["p"], t)
	}
	return v
}

type simRecorder struct{}

func (simRecorder) Count(string)        {}
func (simRecorder) Retried(result.Code) {}
