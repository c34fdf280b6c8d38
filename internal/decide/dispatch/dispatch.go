package dispatch

import (
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/decide/membership"
	"agatelanding.example/agatelanding/internal/decide/picker"
	"agatelanding.example/agatelanding/internal/decide/placement"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// Dispatcher holds the state of one entry.
type Dispatcher struct {
	cfg     Config
	rec     Recorder
	rng     *rand.Rand
	retry   *retry.Policy
	members *membership.Tracker

	snapshot *tables.Snapshot
	rankers  map[string]*placement.Ranker
	targets  map[string]*target
	calls    map[uint64]*call
	grants   []wire.LoadGrant
	actions  []Action
}

// New returns a dispatcher without a configuration.
func New(cfg Config, rec Recorder) *Dispatcher {
	rng := rand.New(rand.NewSource(cfg.Seed))
	return &Dispatcher{
		cfg: cfg, rec: rec, rng: rng,
		retry:   retry.New(cfg.Retry, rng),
		members: membership.New(),
		targets: make(map[string]*target),
		calls:   make(map[uint64]*call),
	}
}

func (d *Dispatcher) take() []Action {
	actions := d.actions
	d.actions = nil
	return actions
}

func (d *Dispatcher) act(a Action) { d.actions = append(d.actions, a) }

// SetSnapshot puts a configuration in force.
func (d *Dispatcher) SetSnapshot(now time.Time, s *tables.Snapshot) []Action {
	d.snapshot = s
	d.rankers = make(map[string]*placement.Ranker)
	seen := make(map[string]bool)
	for name, pool := range s.Pools() {
		d.rankers[name] = rankerOf(pool)
		for _, t := range pool.Targets {
			seen[t.Name] = true
			d.setTarget(name, t)
		}
	}
	for name := range d.targets {
		if !seen[name] {
			delete(d.targets, name)
			d.act(Disconnect{Target: name})
		}
	}
	d.members.Forget(func(name string) bool { return seen[name] })
	for name, t := range d.targets {
		if d.members.Status(name).Connected {
			d.sendPool(t)
		}
	}
	return d.take()
}

func rankerOf(pool *tables.Pool) *placement.Ranker {
	list := make([]placement.Target, len(pool.Targets))
	for i, t := range pool.Targets {
		list[i] = placement.Target{Name: t.Name, FailureDomain: t.FailureDomain}
	}
	return placement.NewRanker(list)
}

func (d *Dispatcher) setTarget(pool string, row tables.Target) {
	t, ok := d.targets[row.Name]
	if !ok || t.Address != row.Address {
		t = &target{resident: make(map[string]time.Time)}
		d.targets[row.Name] = t
		d.act(Connect{Target: row.Name, Address: row.Address})
	}
	t.Target = row
	t.pool = pool
}

// sendPool gives a target its pool's row.
func (d *Dispatcher) sendPool(t *target) {
	row, err := d.snapshot.PoolRowJSON(t.pool)
	if err != nil {
		return
	}
	d.act(Send{Target: t.Name, Message: &wire.PoolUpdate{
		Revision: d.snapshot.Revision, Digest: d.snapshot.PoolDigest(t.pool),
		Row: row, LoadMembers: d.snapshot.LoadMembers(),
	}})
}

// SessionUp records a session with a target.
func (d *Dispatcher) SessionUp(now time.Time, name string, hello *wire.Hello) []Action {
	t, ok := d.targets[name]
	if !ok {
		d.act(Disconnect{Target: name})
		return d.take()
	}
	d.members.SessionUp(now, name, hello.Incarnation)
	if hello.State == wire.StateLeaving {
		d.members.Leaving(name)
	}
	sameProcess := t.incarnation == hello.Incarnation
	t.incarnation = hello.Incarnation
	d.heard(hello.Revision)
	d.sendPool(t)
	for _, c := range d.calls {
		if c.target != name || c.phase != phaseResuming {
			continue
		}
		if !sameProcess {
			d.failed(now, c, d.lostCode(c), 0, "the target process restarted")
			continue
		}
		c.phase = phaseRunning
		c.wakeAt = c.totalDeadline()
		d.rec.Count("resumed_answers")
		d.act(Send{Target: name, Message: &wire.Resume{ID: d.id(c), From: c.answer.Next()}})
	}
	return d.take()
}

// SessionDown records the loss of a session. Requests that were not sent go
// elsewhere; running ones wait for a new session to the same process.
func (d *Dispatcher) SessionDown(now time.Time, name string) []Action {
	d.members.SessionDown(name)
	for _, c := range d.calls {
		if c.target != name {
			continue
		}
		switch c.phase {
		case phaseReserving:
			d.failed(now, c, result.SessionLost, 0, "")
		case phaseRunning:
			c.phase = phaseResuming
			c.wakeAt = now.Add(ResumeWait)
		}
	}
	return d.take()
}

// lostCode is the code of a running attempt whose end is not known.
func (d *Dispatcher) lostCode(c *call) result.Code {
	if c.Route.Repeatable {
		return result.AnswerCut
	}
	return result.OutcomeUnknown
}

// TargetLeaving records that a target stops.
func (d *Dispatcher) TargetLeaving(name string) []Action {
	d.members.Leaving(name)
	return d.take()
}

// ListLeaving records what the VM list says of a target.
func (d *Dispatcher) ListLeaving(name string, leaving bool) { d.members.ListLeaving(name, leaving) }

// heard notes the revision that a target holds.
func (d *Dispatcher) heard(revision uint64) {
	if d.snapshot != nil && revision > d.snapshot.Revision {
		d.act(Refresh{Revision: revision})
	}
}

// Submit takes a new call.
func (d *Dispatcher) Submit(now time.Time, in *Call) []Action {
	c := &call{Call: in, tried: make(map[string]bool)}
	d.calls[in.Number] = c
	d.retry.Admit()
	d.start(now, c)
	return d.take()
}

// Abort ends a call whose caller is gone.
func (d *Dispatcher) Abort(now time.Time, number uint64) []Action {
	c, ok := d.calls[number]
	if !ok {
		return d.take()
	}
	if c.phase == phaseReserving || c.phase == phaseRunning {
		d.act(Send{Target: c.target, Message: &wire.Cancel{ID: d.id(c)}})
	}
	d.finish(c, Outcome{Code: result.CallerGone})
	return d.take()
}

func (d *Dispatcher) id(c *call) wire.AttemptID {
	return wire.AttemptID{
		Request: wire.RequestID{Entry: d.cfg.Entry, Incarnation: d.cfg.Incarnation, Number: c.Number},
		Attempt: c.attempt,
	}
}

// start begins an attempt.
func (d *Dispatcher) start(now time.Time, c *call) {
	left := c.firstTokenDeadline().Sub(now)
	if left <= 0 {
		d.finish(c, Outcome{Code: result.DeadlinePassed, RetryAfter: c.retryAfter})
		return
	}
	name, ok := d.pick(now, c)
	if !ok {
		code := result.NoTarget
		if c.lastCode != result.OK {
			code = c.lastCode
		}
		d.finish(c, Outcome{Code: code, RetryAfter: max(c.retryAfter, baseRetryAfter), Detail: "no further target"})
		return
	}
	c.attempt++
	c.target = name
	c.tried[name] = true
	c.phase = phaseReserving
	c.answer = reassembly.New(c.attempt)
	c.sentAt = now
	c.wakeAt = now.Add(min(ReserveTimeout, left))
	d.targets[name].inFlight++
	d.act(Send{Target: name, Message: d.reserve(c, left)})
}

const baseRetryAfter = 200 * time.Millisecond

func (d *Dispatcher) reserve(c *call, left time.Duration) *wire.Reserve {
	return &wire.Reserve{
		ID: d.id(c), Pool: c.Pool.Name, Adapter: c.Route.Adapter, Version: c.Route.Version,
		Class: c.Class.Name, BudgetMS: left.Milliseconds(), Tokens: c.Tokens,
		Repeatable: c.Route.Repeatable, Key: c.Key, KeyTimeMS: c.KeyTimeMS, BodyDigest: c.BodyDigest,
		Revision: c.Revision, PoolDigest: c.PoolDigest, PrefixHash: c.PrefixHash,
	}
}

// pick chooses a target. A call that may not be repeated goes to the home of
// its key and nowhere else.
func (d *Dispatcher) pick(now time.Time, c *call) (string, bool) {
	ranker, ok := d.rankers[c.Pool.Name]
	if !ok {
		return "", false
	}
	if !c.Route.Repeatable {
		home := c.Pool.Targets[ranker.Rank(c.Key, 1)[0]].Name
		return home, d.members.Usable(home)
	}
	if d.cfg.Pick == picker.Random {
		return d.pickRandom(c)
	}
	key := c.Pool.BaseModel + "/" + c.Route.Adapter
	if c.Route.Adapter == "" {
		key = c.Method + c.Path
	}
	candidates := d.candidates(now, c, ranker.Rank(key, len(c.Pool.Targets)))
	i, ok := picker.Pick(candidates)
	if !ok {
		return "", false
	}
	return candidates[i].Name, true
}

// candidates describes the first ranks that are usable.
func (d *Dispatcher) candidates(now time.Time, c *call, ranks []int) []picker.Candidate {
	list := make([]picker.Candidate, 0, candidateCount)
	for _, index := range ranks {
		row := c.Pool.Targets[index]
		t, ok := d.targets[row.Name]
		if !ok || row.Draining || !d.members.Usable(row.Name) || c.tried[row.Name] {
			continue
		}
		_, resident := t.resident[residencyKey(c.Route)]
		list = append(list, picker.Candidate{
			Name: row.Name, Rank: len(list), Usable: true, InFlight: t.inFlight,
			Queued: t.load.Queued, Running: t.load.Running, Limit: t.load.Limit,
			Latency: t.latency, Resident: resident,
		})
		if len(list) == candidateCount {
			break
		}
	}
	return list
}

func residencyKey(r *tables.Route) string { return r.Adapter + "@" + r.Version }
