package dispatch_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/reassembly"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// propertyChecks is the number of random runs of the property test. Hedges that
// win or lose occur in about one run of 25, and the test requires both.
const propertyChecks = "300"

func TestDispatch(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(propertyChecks)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var start = time.Unix(1_000_000, 0)

// recorder counts decisions by name.
type recorder map[string]int

func (r recorder) Refused(code result.Code)         { r["refused_"+code.String()]++ }
func (r recorder) Retried(code result.Code)         { r[retry.RetriedCounter(code)]++ }
func (r recorder) NotRetried(stop retry.StopReason) { r[stop.Counter()]++ }
func (r recorder) Count(name string)                { r[name]++ }

const (
	entryName   = "entry"
	incarnation = 7
)

// snapshot returns a configuration with an engine pool "e" of n targets, routes
// to the given number of adapters, and a service pool "s" of two targets.
func snapshot(revision uint64, n, adapters int, change ...func(*tables.RouteTable, *tables.PoolTable)) *tables.Snapshot {
	classes := []tables.Class{{Name: "short", FirstTokenMS: 2000, TotalMS: 20_000}}
	engines := tables.Pool{Name: "e", Kind: tables.KindEngine, BaseModel: "m", Slots: 8, MaxRunning: 8, QueueLimit: 32, Classes: classes}
	for i := range n {
		engines.Targets = append(engines.Targets, tables.Target{
			Name: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 1000+i), FailureDomain: fmt.Sprintf("d%d", i%4)})
	}
	services := tables.Pool{Name: "s", Kind: tables.KindService, MaxRunning: 8, QueueLimit: 32, Classes: classes}
	for i := range 2 {
		services.Targets = append(services.Targets, tables.Target{
			Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), FailureDomain: fmt.Sprintf("d%d", i)})
	}
	routes := &tables.RouteTable{Routes: []tables.Route{
		{Path: "/pay", Pool: "s", Class: "short"}, {Model: "base", Pool: "e", Class: "short", Repeatable: true}}}
	for i := range adapters {
		routes.Routes = append(routes.Routes, tables.Route{Model: fmt.Sprintf("a%d", i), Adapter: fmt.Sprintf("a%d", i), Version: "1",
			Pool: "e", Class: "short", Repeatable: true})
	}
	pools := &tables.PoolTable{
		WeightStore: tables.WeightStore{LoadsPerSecond: 4.5, MaxInFlight: 8, LoadMS: 250},
		Pools:       []tables.Pool{engines, services},
	}
	for _, f := range change {
		f(routes, pools)
	}
	s, faults := tables.Build(revision, routes, pools)
	if len(faults) > 0 {
		panic(faults[0])
	}
	return s
}

// newCall returns a call with its route. An empty model stands for the service
// call, which may not be repeated.
func newCall(s *tables.Snapshot, now time.Time, number uint64, model string, stream bool) *dispatch.Call {
	route, ok := s.RouteModel(model)
	if model == "" {
		route, ok = s.RoutePath("/pay")
	}
	if !ok {
		panic("no route for " + model)
	}
	pool, _ := s.Pool(route.Pool)
	class, _ := pool.ClassByName(route.Class)
	return &dispatch.Call{
		Number: number, Revision: s.Revision, Route: route, Pool: pool, TargetListDigest: s.TargetListDigest(pool.Name), Class: class,
		Method: "POST", Path: "/pay", Stream: stream, IdempotencyKey: fmt.Sprint("key-", number), ArrivedAt: now,
	}
}

// harness runs scripts of events on a dispatcher and logs its actions as text.
type harness struct {
	d    *dispatch.Dispatcher
	rec  recorder
	now  time.Time
	snap *tables.Snapshot
	// attemptTargets and attemptIDs hold the targets and the IDs of the
	// attempts of call 1, in order.
	attemptTargets []string
	attemptIDs     []wire.AttemptID
	incarnations   map[string]int64
	log            []string
}

func newHarness(snap *tables.Snapshot, cfg dispatch.Config) *harness {
	cfg.Entry, cfg.Incarnation = entryName, incarnation
	h := &harness{rec: recorder{}, now: start, snap: snap, incarnations: make(map[string]int64)}
	h.d = dispatch.New(cfg, h.rec)
	h.perform(h.d.SetSnapshot(h.now, snap))
	h.log = nil
	return h
}

// perform logs actions and opens the sessions that they request.
func (h *harness) perform(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			h.recordSend(a)
		case dispatch.Deliver:
			h.log = append(h.log, "deliver "+string(a.Data))
		case dispatch.Discard:
			h.log = append(h.log, "discard")
		case dispatch.Finish:
			h.log = append(h.log, "finish "+a.Outcome.Code.String())
		case dispatch.Connect:
			h.log = append(h.log, "connect")
			h.openSession(a.Target)
		case dispatch.Disconnect:
			h.log = append(h.log, "disconnect")
		case dispatch.RefreshConfiguration:
			h.log = append(h.log, "refresh")
		}
	}
}

func (h *harness) openSession(name string) {
	if h.incarnations[name] == 0 {
		h.incarnations[name] = 1
	}
	h.perform(h.d.SessionUp(h.now, name, &wire.Hello{Incarnation: h.incarnations[name], State: wire.StateServing}))
}

func (h *harness) recordSend(a dispatch.Send) {
	switch m := a.Message.(type) {
	case *wire.Reserve:
		if m.ID.Request.Number == 1 {
			h.attemptTargets, h.attemptIDs = append(h.attemptTargets, a.Target), append(h.attemptIDs, m.ID)
		}
		line := fmt.Sprint("reserve ", m.ID.Attempt)
		if m.Revision > 1 {
			line += fmt.Sprint(" at revision ", m.Revision)
		}
		h.log = append(h.log, line)
	case *wire.Run:
		h.log = append(h.log, fmt.Sprint("run ", m.ID.Attempt))
	case *wire.Cancel:
		h.log = append(h.log, fmt.Sprint("cancel ", m.ID.Attempt))
	case *wire.Resume:
		h.log = append(h.log, fmt.Sprintf("resume %d from %d", m.ID.Attempt, m.From))
	case *wire.LoadGrant:
		h.log = append(h.log, fmt.Sprintf("grant %d to %s", m.Period, a.Target))
	}
}

func codeNamed(name string) result.Code {
	for _, info := range result.All() {
		if info.Name == name {
			return info.Code
		}
	}
	return result.OK
}

// chunkData returns chunk i of an attempt's answer.
func chunkData(attempt, i int) []byte { return fmt.Appendf(nil, "%d.%d", attempt, i) }

func checksum(attempt, n int) (sum uint32) {
	for i := range n {
		sum = reassembly.Checksum(sum, chunkData(attempt, i))
	}
	return sum
}

// runScript runs a script of events separated by semicolons, such as "submit;
// reserved 1; end 1 0". Events of the entry:
//
//   - submit [once|base] [stream]: submits call 1. With once it may not be
//     repeated, with base it needs no adapter, otherwise it needs adapter a0.
//   - abort: aborts call 1.
//   - wait MS: advances the time and runs a Tick.
//   - table N: puts the next configuration with N engine targets in force.
//
// Events of a target, where A is the number of an attempt of call 1:
//
//   - reserved A, refused A CODE: the answers to a Reserve.
//   - chunk A I: chunk I of the answer.
//   - end A N [CODE]: the end of an answer of N chunks, with CODE or ok.
//   - damaged A N, wrong A N: an end with a wrong checksum, or of another
//     adapter.
//   - newer A: a load report with a newer revision.
//   - down A, up A: the session ends, or a new one opens.
//   - restart A: a session with a new process opens.
//   - leaving A: the target announces that it is leaving.
func (h *harness) runScript(script string) {
	for _, line := range strings.Split(script, ";") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		h.runEvent(words)
	}
}

func (h *harness) runEvent(words []string) {
	number := func(i int) (n int) {
		if i < len(words) {
			_, _ = fmt.Sscan(words[i], &n)
		}
		return n
	}
	word := func(i int) string {
		if i < len(words) {
			return words[i]
		}
		return ""
	}
	switch words[0] {
	case "submit":
		stream := word(1) == "stream" || word(2) == "stream"
		model := map[string]string{"once": "", "base": "base"}[word(1)]
		if word(1) != "once" && word(1) != "base" {
			model = "a0"
		}
		h.perform(h.d.Submit(h.now, newCall(h.snap, h.now, 1, model, stream)))
		return
	case "abort":
		h.perform(h.d.Abort(h.now, 1))
		return
	case "wait":
		h.now = h.now.Add(time.Duration(number(1)) * time.Millisecond)
		h.perform(h.d.Tick(h.now))
		return
	case "table":
		h.snap = snapshot(h.snap.Revision+1, number(1), 1)
		h.perform(h.d.SetSnapshot(h.now, h.snap))
		return
	}
	n := number(1)
	h.runTargetEvent(words[0], h.attemptTargets[n-1], n, h.attemptIDs[n-1], number(2), word(2), codeNamed(word(3)))
}

func (h *harness) runTargetEvent(event, target string, n int, id wire.AttemptID, count int, text string, code result.Code) {
	message := func(m any) { h.perform(h.d.HandleMessage(h.now, target, m)) }
	adapter, version := "a0", "1"
	if target[0] == 's' {
		adapter, version = "", ""
	}
	switch event {
	case "reserved":
		message(&wire.Reserved{ID: id})
	case "refused":
		message(&wire.Refused{ID: id, Code: codeNamed(text), RetryAfterMS: 7})
	case "chunk":
		message(&wire.Chunk{ID: id, Sequence: uint32(count), Data: chunkData(n, count)})
	case "end":
		message(&wire.End{ID: id, Code: code, Chunks: uint32(count), Checksum: checksum(n, count), Adapter: adapter, Version: version})
	case "damaged":
		message(&wire.End{ID: id, Chunks: uint32(count), Checksum: 1, Adapter: adapter, Version: version})
	case "wrong":
		message(&wire.End{ID: id, Chunks: uint32(count), Checksum: checksum(n, count), Adapter: "a1", Version: "1"})
	case "newer":
		message(&wire.Pong{Load: wire.LoadReport{Revision: 99}})
	case "down":
		h.perform(h.d.SessionLost(h.now, target))
	case "up":
		h.openSession(target)
	case "restart":
		h.incarnations[target]++
		h.openSession(target)
	case "leaving":
		h.perform(h.d.SetTargetLeaving(target))
	default:
		panic("unknown event " + event)
	}
}

// openAttempts returns the number of open attempts at all targets.
func (h *harness) openAttempts() (n int) {
	for _, t := range h.d.Targets(h.now) {
		n += t.OpenAttempts
	}
	return n
}

// expectLog compares the log with a list of lines separated by semicolons. If
// the list has a finish, no call and no attempt may be open.
func (h *harness) expectLog(want string) {
	GinkgoHelper()
	var list []string
	for _, line := range strings.Split(want, ";") {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	Expect(h.log).To(Equal(list))
	if strings.Contains(want, "finish") {
		Expect(h.d.OpenCalls()).To(BeZero(), "open calls")
		Expect(h.openAttempts()).To(BeZero(), "open attempts")
	}
}
