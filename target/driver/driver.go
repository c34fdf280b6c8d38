// Package driver performs the actions of the scheduler that concern the engine
// or plain service of a target process: the orders to the engine and the
// execution of requests. Each runs in a goroutine of its own and sends its
// result to the core as a message.
package driver

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"golang.org/x/sync/errgroup"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/authority"
	"agatelanding.example/agatelanding/internal/decide/scheduler"
	"agatelanding.example/agatelanding/internal/decide/slots"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// orderTimeout bounds a probe of the engine, the setting of the fencing
	// number with the cancellations that follow it, an unload, and the
	// cancellation of an abandoned run.
	orderTimeout = 2 * time.Second
	// loadTimeout bounds an adapter load, because the weight store may be slow. It
	// is shorter than slots.OrderResultTimeout, because a later result would be
	// taken for that of a newer order for the same adapter.
	loadTimeout = slots.OrderResultTimeout - 5*time.Second
)

// ProbeResult is the result of a probe of the engine.
type ProbeResult struct {
	State scheduler.ProbeResult
	Err   error
}

// FenceResult is the result of setting the fencing number at the engine. The
// engine refuses orders with a lower number, so that the process that set the
// highest one has authority over the engine.
type FenceResult struct {
	State scheduler.ProbeResult
	Fence uint64
	Err   error
}

// LoadResult is the result of a load order.
type LoadResult struct {
	Key slots.Key
	Err error
}

// UnloadResult is the result of an unload order.
type UnloadResult struct {
	Key slots.Key
	Err error
}

// Chunk is a part of an answer.
type Chunk struct {
	ID   wire.AttemptID
	Data []byte
}

// Driver performs actions. Only one goroutine may call Perform.
type Driver struct {
	// Engine is nil beside a plain service, Service is nil beside an engine.
	Engine    *clients.Engine
	Service   *clients.Service
	BaseModel func() string
	// Incarnation distinguishes this process from earlier ones beside the same
	// engine. It is part of the ID of every run.
	Incarnation int64

	system *actor.ActorSystem
	core   *actor.PID
	log    *telemetry.Logger

	mu sync.Mutex
	// cancels holds a function for each execution that stops it.
	cancels map[wire.AttemptID]context.CancelFunc
}

// Bind sets the actor that receives the results.
func (d *Driver) Bind(system *actor.ActorSystem, core *actor.PID) {
	d.system, d.core, d.log = system, core, telemetry.For("driver")
	d.cancels = make(map[wire.AttemptID]context.CancelFunc)
}

func (d *Driver) report(message any) { d.system.Root.Send(d.core, message) }

// Perform starts an action and returns at once.
func (d *Driver) Perform(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.ProbeEngine:
		go d.probe(a.ProbeNumber)
	case scheduler.SetFence:
		go d.takeFence(a)
	case scheduler.LoadAdapter:
		go d.load(a)
	case scheduler.UnloadAdapter:
		go d.unload(a)
	case scheduler.Execute:
		ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
		d.mu.Lock()
		d.cancels[a.ID] = cancel
		d.mu.Unlock()
		go d.execute(ctx, a)
	case scheduler.CancelExecution:
		d.cancel(a.ID)
	}
}

func (d *Driver) probe(number uint64) {
	if d.Engine == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	state, err := d.Engine.State(ctx)
	if err != nil {
		d.report(&ProbeResult{Err: err})
		return
	}
	probed := &ProbeResult{State: stateOf(state)}
	probed.State.ProbeNumber = number
	d.report(probed)
}

func stateOf(s *clients.EngineState) scheduler.ProbeResult {
	return scheduler.ProbeResult{
		Fence:    authority.FenceState{Incarnation: s.Incarnation, Fence: s.Fence, ChecksFence: s.ChecksFence},
		Resident: s.Adapters(),
	}
}

func (d *Driver) takeFence(order scheduler.SetFence) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	state, err := d.Engine.SetFence(ctx, order.Fence)
	if err == nil {
		err = d.cancelUnwantedRuns(ctx, state.Running, order.EndRuns)
	}
	if err != nil {
		d.report(&FenceResult{Fence: order.Fence, Err: err})
		return
	}
	d.report(&FenceResult{State: stateOf(state), Fence: order.Fence})
}

// cancelUnwantedRuns cancels those of runIDs that an earlier process beside
// this engine started. If endOwnRuns (EndRuns of scheduler.SetFence) is set, it
// also cancels those of this process. The callers of these runs have been answered
// or moved to another target, but the engine would continue the runs and refuse to
// unload their adapters until they end. takeFence reports success only when the
// runs are cancelled, so that no later order concerns an adapter that they use.
func (d *Driver) cancelUnwantedRuns(ctx context.Context, runIDs []string, endOwnRuns bool) error {
	var group errgroup.Group
	for _, id := range runIDs {
		if d.isOrphan(id) || endOwnRuns && strings.HasPrefix(id, d.ownRunIDPrefix()) {
			group.Go(func() error { return d.Engine.Cancel(ctx, id) })
		}
	}
	return group.Wait()
}

func (d *Driver) load(a scheduler.LoadAdapter) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	d.report(&LoadResult{Key: a.Adapter, Err: d.Engine.Load(ctx, a.Adapter, a.FencingStamp)})
}

func (d *Driver) unload(a scheduler.UnloadAdapter) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	d.report(&UnloadResult{Key: a.Adapter, Err: d.Engine.Unload(ctx, a.Adapter, a.FencingStamp)})
}

func (d *Driver) cancel(id wire.AttemptID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cancel, ok := d.cancels[id]; ok {
		cancel()
	}
}

// finish releases the context of an execution and reports its completion.
func (d *Driver) finish(id wire.AttemptID, c scheduler.Completion) {
	d.mu.Lock()
	if cancel, ok := d.cancels[id]; ok {
		cancel()
		delete(d.cancels, id)
	}
	d.mu.Unlock()
	c.ID = id
	d.report(&c)
}
