package dispatch_test

import (
	"fmt"
	"math/rand"

	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/wire"
)

// fakeJob is a reservation or an execution of a request at a fake target.
type fakeJob struct {
	reserve *wire.Reserve
	running bool
	chunks  [][]byte
	end     *wire.End
}

// fakeTarget simulates a target process. Like a real one, it reports a request
// as not run only if this process received the request and did not run it.
type fakeTarget struct {
	name        string
	incarnation int64
	connected   bool
	jobs        map[wire.AttemptID]*fakeJob
	// attemptOrder holds the attempts in the order of their reservations,
	// so that a failing run can be repeated.
	attemptOrder []wire.AttemptID
	// records holds the jobs by idempotency key, and lostKeys the keys
	// whose records an earlier process of the target held.
	records  map[string]*fakeJob
	lostKeys map[string]bool
	// toTarget and toEntry are the messages in flight on the session, and
	// lateMessages are those to the entry on sessions that ended.
	toTarget, toEntry, lateMessages []any
	// faultFree is true while the target refuses no request.
	faultFree bool
	// onExecute is called with the reservation of each execution.
	onExecute func(*wire.Reserve)
}

func newFakeTarget(name string, onExecute func(*wire.Reserve)) *fakeTarget {
	return &fakeTarget{name: name, incarnation: 1, faultFree: true, jobs: make(map[wire.AttemptID]*fakeJob),
		records: make(map[string]*fakeJob), lostKeys: make(map[string]bool), onExecute: onExecute}
}

func (f *fakeTarget) reply(message any) {
	if f.connected {
		f.toEntry = append(f.toEntry, message)
	}
}

// endSession ends the session. It drops reservations that do not run, and keeps
// the messages in flight to the entry as late messages.
func (f *fakeTarget) endSession() {
	f.connected = false
	f.lateMessages = append(f.lateMessages, f.toEntry...)
	f.toEntry, f.toTarget = nil, nil
	for id, j := range f.jobs {
		if !j.running && j.end == nil {
			f.drop(id, j)
		}
	}
}

// drop removes a job and its record.
func (f *fakeTarget) drop(id wire.AttemptID, j *fakeJob) {
	delete(f.jobs, id)
	if f.records[j.reserve.Key] == j {
		delete(f.records, j.reserve.Key)
	}
}

// restart ends the session and starts a new process without jobs and records.
func (f *fakeTarget) restart() {
	f.endSession()
	f.incarnation++
	clear(f.jobs)
	f.attemptOrder = nil
	for key := range f.records {
		f.lostKeys[key] = true
	}
	clear(f.records)
}

var fakeRefusals = []result.Code{result.QueueFull, result.BudgetExceeded, result.AdapterLoadFailed, result.TargetLeaving, result.StaleConfiguration}

// draw returns a random number from 0 to limit, or 0 while the target is fault
// free.
func (f *fakeTarget) draw(rng *rand.Rand, limit int) int {
	if f.faultFree {
		return 0
	}
	return rng.Intn(limit + 1)
}

// handle processes a message from the entry.
func (f *fakeTarget) handle(rng *rand.Rand, message any) {
	switch m := message.(type) {
	case *wire.Reserve:
		f.reserve(rng, m)
	case *wire.Run:
		f.run(rng, m)
	case *wire.Cancel:
		f.cancel(m)
	case *wire.Resume:
		f.resume(m)
	}
}

func (f *fakeTarget) reserve(rng *rand.Rand, m *wire.Reserve) {
	if f.jobs[m.ID] != nil {
		return
	}
	j := &fakeJob{reserve: m}
	if !m.Repeatable {
		if f.lostKeys[m.Key] {
			f.reply(&wire.Refused{ID: m.ID, Code: result.KeyUnknown})
			return
		}
		if r := f.records[m.Key]; r != nil {
			f.replay(m, r)
			return
		}
	}
	if pick := f.draw(rng, 19) - 15; pick >= 0 {
		f.reply(&wire.Refused{ID: m.ID, Code: fakeRefusals[pick], RetryAfterMS: 5})
		return
	}
	f.jobs[m.ID] = j
	f.attemptOrder = append(f.attemptOrder, m.ID)
	if !m.Repeatable {
		f.records[m.Key] = j
	}
	f.reply(&wire.Reserved{ID: m.ID})
}

// replay answers a request with a key that has a record: with the recorded
// answer, or a refusal while the first request with the key runs.
func (f *fakeTarget) replay(m *wire.Reserve, r *fakeJob) {
	if r.end == nil {
		f.reply(&wire.Refused{ID: m.ID, Code: result.KeyInProgress})
		return
	}
	for i, data := range r.chunks {
		f.reply(&wire.Chunk{ID: m.ID, Sequence: uint32(i), Data: data})
	}
	end := *r.end
	end.ID = m.ID
	f.reply(&end)
}

func (f *fakeTarget) run(rng *rand.Rand, m *wire.Run) {
	j := f.jobs[m.ID]
	if j == nil {
		f.reply(&wire.End{ID: m.ID, Code: result.UnknownReservation})
		return
	}
	if j.running || j.end != nil {
		return
	}
	if f.draw(rng, 9) == 9 {
		f.drop(m.ID, j)
		f.reply(&wire.End{ID: m.ID, Code: []result.Code{result.DeadlinePassed, result.ReservationExpired}[rng.Intn(2)]})
		return
	}
	j.running = true
	f.onExecute(j.reserve)
}

func (f *fakeTarget) cancel(m *wire.Cancel) {
	j := f.jobs[m.ID]
	switch {
	case j == nil || j.end != nil:
	case !j.running:
		f.drop(m.ID, j)
		f.reply(&wire.End{ID: m.ID, Code: result.CancelledNotRun})
	case j.reserve.Repeatable:
		f.finish(j, result.Cancelled)
	}
}

func (f *fakeTarget) resume(m *wire.Resume) {
	j := f.jobs[m.ID]
	if j == nil || int(m.From) > len(j.chunks) {
		f.reply(&wire.End{ID: m.ID, Code: result.UnknownReservation})
		return
	}
	for i := int(m.From); i < len(j.chunks); i++ {
		f.reply(&wire.Chunk{ID: m.ID, Sequence: uint32(i), Data: j.chunks[i]})
	}
	if j.end != nil {
		f.reply(j.end)
	}
}

func (f *fakeTarget) finish(j *fakeJob, code result.Code) {
	sum := uint32(0)
	for _, data := range j.chunks {
		sum = reassembly.Checksum(sum, data)
	}
	j.running = false
	j.end = &wire.End{ID: j.reserve.ID, Code: code, Chunks: uint32(len(j.chunks)), Checksum: sum,
		Adapter: j.reserve.Adapter, Version: j.reserve.Version}
	f.reply(j.end)
}

// chunk sends the next chunk of an answer. Its data occurs in no other attempt.
func (f *fakeTarget) chunk(id wire.AttemptID, j *fakeJob) {
	data := fmt.Appendf(nil, "<%s %d %d.%d>", f.name, f.incarnation, id.Attempt, len(j.chunks))
	f.reply(&wire.Chunk{ID: id, Sequence: uint32(len(j.chunks)), Data: data})
	j.chunks = append(j.chunks, data)
}

// advance lets the running job that was reserved first send a chunk or its end,
// or do nothing.
func (f *fakeTarget) advance(rng *rand.Rand) {
	for _, id := range f.attemptOrder {
		j := f.jobs[id]
		if j == nil || !j.running {
			continue
		}
		switch step := rng.Intn(10); {
		case step < 5:
			f.chunk(id, j)
		case step < 8:
			f.finish(j, result.OK)
		case step == 8 && j.reserve.Repeatable:
			f.finish(j, result.EngineFailed)
		case step == 9 && j.reserve.Adapter != "":
			f.finish(j, result.OK)
			j.end.Adapter = "another"
		}
		return
	}
}
