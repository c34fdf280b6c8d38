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

// heapBytes returns the size of the live heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

const poolName = "pool"

// fleetTables returns tables with a number of routes and targets. Nothing listens at
// the addresses.
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

// buildSnapshot returns the snapshot of fleetTables at revision 1, or the first
// fault of the tables.
func buildSnapshot(routes, targets int) (*tables.Snapshot, error) {
	r, p := fleetTables(routes, targets)
	s, faults := tables.Build(1, r, p)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return s, nil
}

// MeasureRoutes measures the cost of routes at an entry: the memory of a snapshot,
// the time to assemble it from its parts, the size of its manifest, and the bytes
// to read after a change of one route.
func MeasureRoutes(sizes []int) ([]Series, error) {
	memory := Series{Quantity: "snapshot memory", Size: "routes", Unit: "bytes"}
	assemble := Series{Quantity: "assemble a snapshot", Size: "routes", Unit: "ms"}
	manifest := Series{Quantity: "manifest", Size: "routes", Unit: "bytes"}
	change := Series{Quantity: "bytes read for one changed row", Size: "routes", Unit: "bytes"}
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
		bytes, err := changedBytes(n, built)
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

// changedBytes returns the size of the manifest and of the parts that change with
// one row.
func changedBytes(n int, old *tables.Snapshot) (float64, error) {
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

// discardRecorder drops all counts of the dispatcher.
type discardRecorder struct{}

func (discardRecorder) Refused(result.Code)         {}
func (discardRecorder) Retried(result.Code)         {}
func (discardRecorder) NotRetried(retry.StopReason) {}
func (discardRecorder) Count(string)                {}

// MeasureTargets measures the cost of targets at an entry.
func MeasureTargets(sizes []int) ([]Series, error) {
	row := Series{Quantity: "pool row sent to a target", Size: "targets", Unit: "bytes"}
	memory := Series{Quantity: "entry's view of its targets", Size: "targets", Unit: "bytes"}
	decision := Series{Quantity: "one request through the dispatcher", Size: "targets", Unit: "ns"}
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
		decision.add(n, meanRequestNanos(d, s, 3000))
		runtime.KeepAlive(d)
	}
	return []Series{row, memory, decision}, nil
}

// MeasureAdapters measures the cost of adapters in use at an entry.
func MeasureAdapters(sizes []int) ([]Series, error) {
	memory := Series{Quantity: "entry's view after a request for each adapter", Size: "adapters", Unit: "bytes"}
	decision := Series{Quantity: "one request through the dispatcher", Size: "adapters", Unit: "ns"}
	for _, n := range sizes {
		s, err := buildSnapshot(n, 1100)
		if err != nil {
			return nil, err
		}
		d := newDispatcher(s)
		before := heapBytes()
		decision.add(n, meanRequestNanos(d, s, n))
		memory.add(n, heapBytes()-before)
		runtime.KeepAlive(d)
	}
	return []Series{memory, decision}, nil
}

// newDispatcher returns a dispatcher with the snapshot and open sessions to all
// targets.
func newDispatcher(s *tables.Snapshot) *dispatch.Dispatcher {
	d := dispatch.New(dispatch.Config{Entry: "entry", Incarnation: 1, Retry: retry.DefaultConfig(), Seed: 1}, discardRecorder{})
	now := time.Unix(1_800_000_000, 0)
	d.SetSnapshot(now, s)
	pool, _ := s.Pool(poolName)
	for _, t := range pool.Targets {
		d.SessionUp(now, t.Name, &wire.Hello{Process: t.Name, Incarnation: 1, State: wire.StateServing, Revision: 1})
	}
	return d
}

// meanRequestNanos sends requests for n adapters in rotation through the
// dispatcher, from reserve to end, and returns the mean time of one in nanoseconds.
func meanRequestNanos(d *dispatch.Dispatcher, s *tables.Snapshot, n int) float64 {
	pool, _ := s.Pool(poolName)
	class, _ := pool.ClassByName("short")
	now := time.Unix(1_800_000_000, 0)
	count := max(n, 20_000)
	started := time.Now()
	for i := range count {
		route, _ := s.RouteModel(fmt.Sprintf("adapter-%05d", i%n))
		now = now.Add(time.Millisecond)
		actions := d.Submit(now, &dispatch.Call{
			Number: uint64(i + 1), Revision: 1, Route: route, Pool: pool, Class: class, EstimatedTokens: 16, ArrivedAt: now,
		})
		replyAsTarget(d, now, actions)
	}
	mean := float64(time.Since(started).Nanoseconds()) / float64(count)
	// The dispatcher keeps some state for a while after a request. The loop
	// submits 1,000 requests per second of virtual time, far above the share of
	// one entry, so that this state is large. The tick discards it, because it
	// must not count as memory of adapters.
	d.Tick(now.Add(settleDuration))
	return mean
}

// settleDuration is longer than any timer of a request.
const settleDuration = 10 * time.Minute

// replyAsTarget sends the replies of a target to the dispatcher's messages.
func replyAsTarget(d *dispatch.Dispatcher, now time.Time, actions []dispatch.Action) {
	for _, action := range actions {
		send, ok := action.(dispatch.Send)
		if !ok {
			continue
		}
		switch m := send.Message.(type) {
		case *wire.Reserve:
			replyAsTarget(d, now, d.HandleMessage(now, send.Target, &wire.Reserved{ID: m.ID, Load: wire.LoadReport{Limit: 32, State: wire.StateServing}}))
		case *wire.Run:
			replyAsTarget(d, now, d.HandleMessage(now, send.Target, &wire.End{ID: m.ID, Status: 200, Load: wire.LoadReport{Limit: 32, State: wire.StateServing}}))
		}
	}
}

// MessageSizes returns the encoded size in bytes of an example of each kind of
// message, including the frame header of 5 bytes.
func MessageSizes() map[string]int {
	id := wire.AttemptID{Request: wire.RequestID{Entry: "entry-17", Incarnation: 1 << 60, Number: 1 << 20}, Attempt: 1}
	load := wire.LoadReport{Running: 20, Queued: 30, Limit: 32, StartDelayMS: 200, AdapterLoadsWaiting: 2, AdapterLoadUrgency: 1003, Incarnation: 1 << 60, Revision: 9000, State: wire.StateServing}
	sizes := make(map[string]int)
	for name, m := range map[string]any{
		"Hello":         &wire.Hello{Protocol: 1, Process: "target-0001", Role: wire.RoleTarget, Incarnation: 1 << 60, Revision: 9000, FailureDomain: "domain-01", State: wire.StateServing},
		"Reserve":       &wire.Reserve{ID: id, Pool: "rota-assistant", Adapter: "adapter-00001", Version: "v1", Class: "short", BudgetMS: 570, EstimatedTokens: 300, Repeatable: true, Revision: 9000, TargetListDigest: 1 << 62, PrefixHash: 1 << 62},
		"Reserved":      &wire.Reserved{ID: id, Load: load},
		"Refused":       &wire.Refused{ID: id, Code: result.BudgetExceeded, RetryAfterMS: 300, Load: load},
		"Run":           &wire.Run{ID: id, Method: "POST", Path: "/v1/completions", Body: make([]byte, 1000)},
		"Chunk":         &wire.Chunk{ID: id, Sequence: 100, Data: make([]byte, 120)},
		"End":           &wire.End{ID: id, Status: 200, ContentType: "text/event-stream", Chunks: 300, Checksum: 1 << 31, Adapter: "adapter-00001", Version: "v1", Load: load},
		"Ping":          &wire.Ping{Sequence: 1000, Revision: 9000},
		"Pong":          &wire.Pong{Sequence: 1000, Load: load},
		"PoolUpdate":    &wire.PoolUpdate{Revision: 9000, Digest: 1 << 62, RowHash: 1 << 62},
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
