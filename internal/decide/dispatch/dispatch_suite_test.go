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

// propertyChecks is the number of random runs. Hedges that win or lose occur
// in about one run of 25.
const propertyChecks = "300"

func TestDispatch(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = f.Value.Set(propertyChecks)
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var start = time.Unix(1_000_000, 0)

// recorder counts by name.
type recorder map[string]int

func (r recorder) Refused(code result.Code)   { r["refused_"+code.String()]++ }
func (r recorder) Retried(code result.Code)   { r[retry.Counter(code)]++ }
func (r recorder) NotRetried(stop retry.Stop) { r[stop.Counter()]++ }
func (r recorder) Count(name string)          { r[name]++ }

const (
	entryName   = "entry"
	incarnation = 7
)

// snapshot has an engine pool "e" of n targets with adapters and a service
// pool "s" of two targets.
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

// newCall joins a call with its route. A model of "" is the service call that
// runs once.
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
		Number: number, Revision: s.Revision, Route: route, Pool: pool, PoolDigest: s.PoolDigest(pool.Name), Class: class,
		Method: "POST", Path: "/pay", Stream: stream, Key: fmt.Sprint("key-", number), Arrived: now,
	}
}

// bed runs a script of events against a dispatcher and logs its actions.
type bed struct {
	d    *dispatch.Dispatcher
	rec  recorder
	now  time.Time
	snap *tables.Snapshot
	// sent holds the targets of the attempts at call 1, from 1.
	sent         []string
	ids          []wire.AttemptID
	incarnations map[string]int64
	log          []string
}

func newBed(snap *tables.Snapshot, cfg dispatch.Config) *bed {
	cfg.Entry, cfg.Incarnation = entryName, incarnation
	b := &bed{rec: recorder{}, now: start, snap: snap, incarnations: make(map[string]int64)}
	b.d = dispatch.New(cfg, b.rec)
	b.take(b.d.SetSnapshot(b.now, snap))
	b.log = nil
	return b
}

// take logs actions and opens the sessions that are asked for.
func (b *bed) take(actions []dispatch.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.Send:
			b.sentMessage(a)
		case dispatch.Deliver:
			b.log = append(b.log, "deliver "+string(a.Data))
		case dispatch.Discard:
			b.log = append(b.log, "discard")
		case dispatch.Finish:
			b.log = append(b.log, "finish "+a.Outcome.Code.String())
		case dispatch.Connect:
			b.log = append(b.log, "connect")
			b.up(a.Target)
		case dispatch.Disconnect:
			b.log = append(b.log, "disconnect")
		case dispatch.Refresh:
			b.log = append(b.log, "refresh")
		}
	}
}

func (b *bed) up(name string) {
	if b.incarnations[name] == 0 {
		b.incarnations[name] = 1
	}
	b.take(b.d.SessionUp(b.now, name, &wire.Hello{Incarnation: b.incarnations[name], State: wire.StateServing}))
}

func (b *bed) sentMessage(a dispatch.Send) {
	switch m := a.Message.(type) {
	case *wire.Reserve:
		if m.ID.Request.Number == 1 {
			b.sent, b.ids = append(b.sent, a.Target), append(b.ids, m.ID)
		}
		line := fmt.Sprint("reserve ", m.ID.Attempt)
		if m.Revision > 1 {
			line += fmt.Sprint(" at revision ", m.Revision)
		}
		b.log = append(b.log, line)
	case *wire.Run:
		b.log = append(b.log, fmt.Sprint("run ", m.ID.Attempt))
	case *wire.Cancel:
		b.log = append(b.log, fmt.Sprint("cancel ", m.ID.Attempt))
	case *wire.Resume:
		b.log = append(b.log, fmt.Sprintf("resume %d from %d", m.ID.Attempt, m.From))
	case *wire.LoadGrant:
		b.log = append(b.log, fmt.Sprintf("grant %d to %s", m.Period, a.Target))
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

// piece is chunk i of an attempt's answer.
func piece(attempt, i int) []byte { return fmt.Appendf(nil, "%d.%d", attempt, i) }

func checksum(attempt, n int) (sum uint32) {
	for i := range n {
		sum = reassembly.Checksum(sum, piece(attempt, i))
	}
	return sum
}

// run performs a script: events separated by semicolons. The first number of
// an event is an attempt at call 1.
func (b *bed) run(script string) {
	for _, line := range strings.Split(script, ";") {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		b.event(words)
	}
}

func (b *bed) event(words []string) {
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
		b.take(b.d.Submit(b.now, newCall(b.snap, b.now, 1, model, stream)))
		return
	case "abort":
		b.take(b.d.Abort(b.now, 1))
		return
	case "wait":
		b.now = b.now.Add(time.Duration(number(1)) * time.Millisecond)
		b.take(b.d.Tick(b.now))
		return
	case "table":
		b.snap = snapshot(b.snap.Revision+1, number(1), 1)
		b.take(b.d.SetSnapshot(b.now, b.snap))
		return
	}
	n := number(1)
	b.targetEvent(words[0], b.sent[n-1], n, b.ids[n-1], number(2), word(2), codeNamed(word(3)))
}

func (b *bed) targetEvent(event, target string, n int, id wire.AttemptID, count int, text string, code result.Code) {
	message := func(m any) { b.take(b.d.Message(b.now, target, m)) }
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
		message(&wire.Chunk{ID: id, Sequence: uint32(count), Data: piece(n, count)})
	case "end":
		message(&wire.End{ID: id, Code: code, Chunks: uint32(count), Checksum: checksum(n, count), Adapter: adapter, Version: version})
	case "damaged":
		message(&wire.End{ID: id, Chunks: uint32(count), Checksum: 1, Adapter: adapter, Version: version})
	case "wrong":
		message(&wire.End{ID: id, Chunks: uint32(count), Checksum: checksum(n, count), Adapter: "a1", Version: "1"})
	case "newer":
		message(&wire.Pong{Load: wire.LoadReport{Revision: 99}})
	case "down":
		b.take(b.d.SessionDown(b.now, target))
	case "up":
		b.up(target)
	case "restart":
		b.incarnations[target]++
		b.up(target)
	case "leaving":
		b.take(b.d.TargetLeaving(target))
	default:
		panic("unknown event " + event)
	}
}

// openAttempts counts what the dispatcher believes is in flight at targets.
func (b *bed) openAttempts() (n int) {
	for _, t := range b.d.Targets(b.now) {
		n += t.InFlight
	}
	return n
}

// expectLog compares the log, in which the same words count, with a script.
func (b *bed) expectLog(want string) {
	GinkgoHelper()
	var list []string
	for _, line := range strings.Split(want, ";") {
		if line = strings.TrimSpace(line); line != "" {
			list = append(list, line)
		}
	}
	Expect(b.log).To(Equal(list))
	if strings.Contains(want, "finish") {
		Expect(b.d.InFlight()).To(BeZero(), "open calls")
		Expect(b.openAttempts()).To(BeZero(), "open attempts")
	}
}
