package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/decide/retry"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/wire"
)

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const poolName = "pool"

// fleetTables returns tables of a size. Addresses only need the right form.
func fleetTables(routes, targets int) (*tables.RouteTable, *tables.PoolTable) {
	pool := tables.Pool{
		Name: poolName, Kind: tables.KindEngine, BaseModel: "base", Slots: 8, MaxRunning: 32, QueueLimit: 500, LongShare: 0.25,
		Classes: []tables.Class{{Name: "short", FirstTokenMS: 570, TotalMS: 30000}, {Name: "long", FirstTokenMS: 3000, TotalMS: 300000, Long: true}},
	}
	for i := range targets {
		pool.Targets = append(pool.Targets, tables.Target{
			Name: fmt.Sprintf("target-%04d", i), Address: fmt.Sprintf("127.0.%d.%d:7100", i/250, 1+i%250),
			FailureDomain: fmt.Sprintf("domain-%02d", i%16),
		})
	}
	table := &tables.RouteTable{}
	for i := range routes {
		name := fmt.Sprintf("adapter-%05d", i)
		table.Routes = append(table.Routes, tables.Route{
			Model: name, Adapter: name, Version: "v1", Pool: poolName, Class: "short", Repeatable: true,
		})
	}
	return table, &tables.PoolTable{
		WeightStore: tables.WeightStore{LoadsPerSecond: 4.5, MaxInFlight: 8, LoadMS: 250}, Pools: []tables.Pool{pool},
	}
}

func buildSnapshot(routes, targets int) (*tables.Snapshot, error) {
	r, p := fleetTables(routes, targets)
	s, faults := tables.Build(1, r, p)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return s, nil
}

// TableRows measures what routes cost an entry.
func TableRows(sizes []int) ([]Series, error) {
	memory := Series{What: "snapshot memory", Size: "routes", Unit: "bytes"}
	assemble := Series{What: "assemble a snapshot", Size: "routes", Unit: "ms"}
	manifest := Series{What: "manifest", Size: "routes", Unit: "bytes"}
	change := Series{What: "bytes read for one changed row", Size: "routes", Unit: "bytes"}
	for _, n := range sizes {
		built, err := buildSnapshot(n, 12)
		if err != nil {
			return nil, err
		}
		data, parts := built.Manifest(), built.Parts()
		before := heapBytes()
		started := time.Now()
		s, faults := tables.Assemble(data, parts)
		took := time.Since(started)
		if len(faults) > 0 {
			return nil, faults[0]
		}
		memory.add(n, heapBytes()-before)
		runtime.KeepAlive(s)
		assemble.add(n, float64(took.Microseconds())/1000)
		manifest.add(n, float64(len(data)))
		bytes, err := changeBytes(n, built)
		if err != nil {
			return nil, err
		}
		change.add(n, bytes)
	}
	return []Series{memory, assemble, manifest, change}, nil
}

func (s *Series) add(size int, value float64) {
	s.Sizes = append(s.Sizes, float64(size))
	s.Values = append(s.Values, value)
}

// changeBytes returns the manifest and the parts that change with one row.
func changeBytes(n int, old *tables.Snapshot) (float64, error) {
	r, p := fleetTables(n, 12)
	r.Routes[n/2].Version = "v2"
	changed, faults := tables.Build(2, r, p)
	if len(faults) > 0 {
		return 0, faults[0]
	}
	total := len(changed.Manifest())
	for key, data := range changed.Parts() {
		if _, ok := old.Part(key); !ok {
			total += len(data)
		}
	}
	return float64(total), nil
}

// silent drops all counts.
type silent struct{}

func (silent) Refused(result.Code)   {}
func (silent) Retried(result.Code)   {}
func (silent) NotRetried(retry.Stop) {}
func (silent) Count(string)          {}

// Targets measures what targets cost an entry's decisions.
func Targets(sizes []int) ([]Series, error) {
	row := Series{What: "pool row sent to a target", Size: "targets", Unit: "bytes"}
	memory := Series{What: "entry's view of its targets", Size: "targets", Unit: "bytes"}
	decision := Series{What: "one request through the dispatcher", Size: "targets", Unit: "ns"}
	for _, n := range sizes {
		s, err := buildSnapshot(3000, n)
		if err != nil {
			return nil, err
		}
		data, err := s.PoolRowJSON(poolName)
		if err != nil {
			return nil, err
		}
		row.add(n, float64(len(data)))
		before := heapBytes()
		d := newDispatcher(s)
		memory.add(n, heapBytes()-before)
		decision.add(n, timeRequests(d, s, 3000))
		runtime.KeepAlive(d)
	}
	return []Series{row, memory, decision}, nil
}

// Adapters measures what adapters in use cost an entry.
func Adapters(sizes []int) ([]Series, error) {
	memory := Series{What: "entry's view after a request for each adapter", Size: "adapters", Unit: "bytes"}
	decision := Series{What: "one request through the dispatcher", Size: "adapters", Unit: "ns"}
	for _, n := range sizes {
		s, err := buildSnapshot(n, 1100)
		if err != nil {
			return nil, err
		}
		d := newDispatcher(s)
		before := heapBytes()
		decision.add(n, timeRequests(d, s, n))
		memory.add(n, heapBytes()-before)
		runtime.KeepAlive(d)
	}
	return []Series{memory, decision}, nil
}

func newDispatcher(s *tables.Snapshot) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{Entry: "entry", Incarnation: 1, Retry: retry.DefaultConfig(), Seed: 1}, silent{})
	now := time.Unix(1_800_000_000, 0)
	d.SetSnapshot(now, s)
	pool, _ := s.Pool(poolName)
	for _, t := range pool.Targets {
		d.SessionUp(now, t.Name, &wire.Hello{Process: t.Name, Incarnation: 1, State: wire.StateServing, Revision: 1})
	}
	return d
}

// timeRequests runs requests for n adapters in turn through reserve, run and
// end, and returns the mean time of one.
func timeRequests(d *dispatch.Dispatcher, s *tables.Snapshot, n int) float64 {
	pool, _ := s.Pool(poolName)
	class, _ := pool.ClassByName("short")
	now := time.Unix(1_800_000_000, 0)
	count := max(n, 20_000)
	started := time.Now()
	for i := range count {
		route, _ := s.RouteModel(fmt.Sprintf("adapter-%05d", i%n))
		now = now.Add(time.Millisecond)
		actions := d.Submit(now, &dispatch.Call{
			Number: uint64(i + 1), Revision: 1, Route: route, Pool: pool, Class: class, Tokens: 16, Arrived: now,
		})
		answer(d, now, actions)
	}
	mean := float64(time.Since(started).Nanoseconds()) / float64(count)
	// The requests come at 1,000 a second, far above an entry's share. What is
	// kept for a while after a request must not count as memory of adapters.
	d.Tick(now.Add(settleTime))
	return mean
}

// settleTime is longer than any timer of a request.
const settleTime = 10 * time.Minute

// answer plays the target of a request.
func answer(d *dispatch.Dispatcher, now time.Time, actions []dispatch.Action) {
	for _, action := range actions {
		send, ok := action.(dispatch.Send)
		if !ok {
			continue
		}
		switch m := send.Message.(type) {
		case *wire.Reserve:
			answer(d, now, d.Message(now, send.Target, &wire.Reserved{ID: m.ID, Load: wire.LoadReport{Limit: 32, State: wire.StateServing}}))
		case *wire.Run:
			answer(d, now, d.Message(now, send.Target, &wire.End{ID: m.ID, Status: 200, Load: wire.LoadReport{Limit: 32, State: wire.StateServing}}))
		}
	}
}

// MessageSizes returns the encoded size of each kind of message in bytes, with
// its frame header.
func MessageSizes() map[string]int {
	id := wire.AttemptID{Request: wire.RequestID{Entry: "entry-17", Incarnation: 1 << 60, Number: 1 << 20}, Attempt: 1}
	load := wire.LoadReport{Running: 20, Queued: 30, Limit: 32, StartDelayMS: 200, LoadsWaiting: 2, LoadUrgency: 1003, Incarnation: 1 << 60, Revision: 9000, State: wire.StateServing}
	sizes := make(map[string]int)
	for name, m := range map[string]any{
		"Hello":         &wire.Hello{Protocol: 1, Process: "target-0001", Role: wire.RoleTarget, Incarnation: 1 << 60, Revision: 9000, FailureDomain: "domain-01", State: wire.StateServing},
		"Reserve":       &wire.Reserve{ID: id, Pool: "rota-assistant", Adapter: "adapter-00001", Version: "v1", Class: "short", BudgetMS: 570, Tokens: 300, Repeatable: true, Revision: 9000, PoolDigest: 1 << 62, PrefixHash: 1 << 62},
		"Reserved":      &wire.Reserved{ID: id, Load: load},
		"Refused":       &wire.Refused{ID: id, Code: result.BudgetExceeded, RetryAfterMS: 300, Load: load},
		"Run":           &wire.Run{ID: id, Method: "POST", Path: "/v1/completions", Body: make([]byte, 1000)},
		"Chunk":         &wire.Chunk{ID: id, Sequence: 100, Data: make([]byte, 120)},
		"End":           &wire.End{ID: id, Status: 200, ContentType: "text/event-stream", Chunks: 300, Checksum: 1 << 31, Adapter: "adapter-00001", Version: "v1", Load: load},
		"Ping":          &wire.Ping{Sequence: 1000, Revision: 9000},
		"Pong":          &wire.Pong{Sequence: 1000, Load: load},
		"RevisionQuery": &wire.RevisionQuery{Digest: 1 << 62},
		"RevisionReply": &wire.RevisionReply{Revision: 9000},
		"Grant":         &wire.LoadGrant{Minter: "target-0001", Period: 1 << 30, ExpiresMS: 1 << 41},
	} {
		data, err := msgpack.Marshal(m)
		if err == nil {
			sizes[name] = len(data) + 5
		}
	}
	return sizes
}
