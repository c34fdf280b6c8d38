// Package quotas lets the entries share the quotas of workspaces. An entry takes leases of
// units from the owner of a quota and charges requests to them, so that a request normally
// waits for no message. Package quota decides who owns a quota and which requests run.
package quotas

import (
	"context"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/quota"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// batchTime is the time for which asks to other entries are collected after others were
	// sent. A connection is closed when 64 messages wait, so that an entry which asks for
	// each of 500 requests a second must not send one message for each.
	batchTime = 5 * time.Millisecond
	// statusCount is the number of workspaces on the status page.
	statusCount = 10
	// logInterval is the shortest time between two log lines about the same event.
	logInterval = time.Second
)

// Mesh is the set of connections with other entries.
type Mesh interface {
	// QuotaPeers returns the addresses of this entry and of the connected entries that grant
	// units of quotas, sorted, and the number of known entries.
	QuotaPeers() (connected []string, known int)
	// SendTo sends a message to one entry.
	SendTo(address string, x *wire.Items)
}

// Exchange charges requests to quotas, takes leases from their owners, and grants those of
// the quotas that this entry owns. It is safe for concurrent use.
type Exchange struct {
	// Address is the address at which other entries reach this one.
	Address string
	Mesh    Mesh
	// QuotaOf returns the quota with an ID (catalog.Workspace.QuotaID) in the configuration in
	// force, the zero value if there is none.
	QuotaOf func(id string) catalog.Quota
	Bounds  quota.Bounds
	Metrics *telemetry.Metrics
	Log     *telemetry.Logger

	mu    sync.Mutex
	entry *quota.Entry
	// waiting holds the requests that wait for a reply, by the numbers of their asks.
	waiting map[uint64]chan quota.Outcome
	// unsent holds the asks to send, by the entry that they go to. collecting is true while
	// a timer is going to send them.
	unsent     map[string][]wire.QuotaAsk
	collecting bool
	logged     map[string]time.Time
}

// Start prepares the exchange. It must be called before the other methods.
func (e *Exchange) Start() {
	e.entry = quota.NewEntry(now(), quota.Config{
		Self: e.Address, FirstNumber: uint64(time.Now().UnixNano()), Bounds: e.Bounds, QuotaOf: e.QuotaOf, Recorder: recorder{e},
	})
	e.waiting, e.unsent, e.logged = make(map[uint64]chan quota.Outcome), make(map[string][]wire.QuotaAsk), make(map[string]time.Time)
}

// Run follows the connections and ends leases until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(quota.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.tick()
		case <-ctx.Done():
			return
		}
	}
}

func (e *Exchange) tick() {
	connected, known := e.Mesh.QuotaPeers()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry.SetMembers(now(), connected, known)
	e.entry.Tick(now())
	e.send()
}

// now returns the present time of a clock that also runs while the process is suspended.
func now() time.Time { return time.Unix(0, 0).Add(boottime.Now()) }

// SetBounds changes the bounds.
func (e *Exchange) SetBounds(b quota.Bounds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry.SetBounds(b)
}

// Charge charges units to the workspace, waiting at most quota.AnswerTimeout for the owner
// of its quota, and not at all if the lease suffices. refund gives back what was charged if
// the request has not run; only its first call counts. If ok is false the request is over
// the quota, and fits after retryAfter.
func (e *Exchange) Charge(ctx context.Context, w *catalog.Workspace, units float64) (refund func(), retryAfter time.Duration, ok bool) {
	if w == nil || !w.Quota.Limited() {
		return func() {}, 0, true
	}
	chargedAt := now()
	e.mu.Lock()
	o := e.entry.Charge(chargedAt, w.QuotaID(), w.Quota, units)
	var reply chan quota.Outcome
	if o.Waits != 0 {
		reply = make(chan quota.Outcome, 1)
		e.waiting[o.Waits] = reply
	}
	e.send()
	e.mu.Unlock()
	if reply != nil {
		o = e.wait(ctx, o.Waits, reply)
	}
	if !o.Admitted {
		return func() {}, o.RetryAfter, false
	}
	var once sync.Once
	return func() {
		once.Do(func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.entry.Refund(now(), chargedAt, w.QuotaID(), units, o.FromShare)
			e.send()
		})
	}, 0, true
}

// wait waits for the reply to an ask.
func (e *Exchange) wait(ctx context.Context, number uint64, reply chan quota.Outcome) quota.Outcome {
	timer := time.NewTimer(quota.AnswerTimeout)
	defer timer.Stop()
	select {
	case o := <-reply:
		return o
	case <-timer.C:
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case o := <-reply:
		return o
	default:
	}
	delete(e.waiting, number)
	if ctx.Err() != nil {
		e.entry.Abandon(number)
		return quota.Outcome{}
	}
	o, _ := e.entry.Unanswered(now(), number)
	e.send()
	return o
}

// Receive handles a message from the entry at an address.
func (e *Exchange) Receive(from string, x *wire.Items) {
	x.BoundQuotas()
	received := now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.FleetSize != nil {
		e.entry.ReceiveFleetSize(received, from, x.FleetSize)
	}
	for i := range x.QuotaAsks {
		e.entry.ReceiveAsk(received, from, &x.QuotaAsks[i])
	}
	for i := range x.QuotaGrants {
		if done := e.entry.ReceiveGrant(received, from, &x.QuotaGrants[i]); done != nil {
			if reply := e.waiting[done.Number]; reply != nil {
				delete(e.waiting, done.Number)
				reply <- done.Outcome
			}
		}
	}
	e.send()
}

// send sends messages. Replies go at once, all to the same entry in one message. Asks go at
// once if none were sent within batchTime, else together. The caller holds mu.
func (e *Exchange) send() {
	messages := e.entry.Messages()
	if len(messages) == 0 {
		return
	}
	grants := make(map[string][]wire.QuotaGrant)
	for _, m := range messages {
		switch {
		case m.Ask != nil:
			e.unsent[m.To] = append(e.unsent[m.To], *m.Ask)
		case m.Grant != nil:
			grants[m.To] = append(grants[m.To], *m.Grant)
		default:
			e.Mesh.SendTo(m.To, &wire.Items{FleetSize: m.Fleet})
		}
	}
	for to, list := range grants {
		e.Mesh.SendTo(to, &wire.Items{QuotaGrants: list})
	}
	if !e.collecting {
		e.sendAsks()
	}
}

// sendAsks sends the asks that were collected, and collects further ones if there were any.
func (e *Exchange) sendAsks() {
	e.collecting = len(e.unsent) > 0
	if !e.collecting {
		return
	}
	for to, list := range e.unsent {
		for ; len(list) > wire.MaxQuotaAsks; list = list[wire.MaxQuotaAsks:] {
			e.Mesh.SendTo(to, &wire.Items{QuotaAsks: list[:wire.MaxQuotaAsks:wire.MaxQuotaAsks]})
		}
		e.Mesh.SendTo(to, &wire.Items{QuotaAsks: list})
	}
	clear(e.unsent)
	time.AfterFunc(batchTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.sendAsks()
	})
}

// Status returns the use and the limit of the busiest workspaces at this entry.
func (e *Exchange) Status() []quota.Status {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry.Status(now(), statusCount)
}

// recorder counts and logs for an Exchange, whose mu the caller holds.
type recorder struct{ e *Exchange }

func (r recorder) Count(name string) { r.e.Metrics.Count(name) }

func (r recorder) Owns(workspace string, owns bool) {
	if owns {
		r.log("this entry grants the quota of a workspace", workspace)
	} else {
		r.log("this entry no longer grants the quota of a workspace", workspace)
	}
}

func (r recorder) FellBack(workspace string) {
	r.log("no owner replies, this entry spends its share of a quota", workspace)
}

func (r recorder) log(event, workspace string) {
	if at := now(); at.Sub(r.e.logged[event]) >= logInterval {
		r.e.logged[event] = at
		r.e.Log.With("workspace", workspace).Info(event)
	}
}
