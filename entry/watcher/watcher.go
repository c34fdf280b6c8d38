// Package watcher keeps the configuration of an entry up to date. It watches
// the configuration service, asks other entries at start and when a newer
// revision is heard of, and reads the VM list.
//
// One goroutine owns the acceptance gate. A snapshot in force is published
// through a callback; no failure of the platform takes it back.
package watcher

import (
	"context"
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/decide/acceptance"
	"agatelanding.example/agatelanding/internal/platform"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// watchWait is how long a watch waits at the service.
	watchWait = 30 * time.Second
	// callTimeout bounds one call to the platform or to a peer.
	callTimeout = 3 * time.Second
	// listInterval is the time between two looks at the VM list.
	listInterval = 5 * time.Second
	// peerInterval is the time between two questions to a random peer, so
	// that an entry that cannot reach the service still moves forward.
	peerInterval = 5 * time.Second
	// refreshPeers is the number of peers asked after a newer revision was
	// heard of.
	refreshPeers = 2
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// startPeers and startTargets are the numbers of entries and target
	// processes that a new process asks for the revision they hold before it
	// trusts the service. Two witnesses are enough for a floor.
	startPeers   = 8
	startTargets = 4
)

// Watcher is the configuration watcher of one entry.
type Watcher struct {
	// Name is the name of this entry in the VM list.
	Name    string
	Config  *platform.Config
	VMs     *platform.VMList
	Peers   PeerClient
	Metrics *telemetry.Metrics
	// Publish is called with each snapshot that comes into force.
	Publish func(*tables.Snapshot)
	// ListStates is called with the VMs that are leaving.
	ListStates func(leaving map[string]bool)

	gate    acceptance.Gate
	current *tables.Snapshot
	refresh chan uint64
	peers   []platform.VM
	targets []platform.VM
	// offered is the last manifest of the service, which is offered again
	// when the claim of a single peer stops counting.
	offered []byte
	log     *telemetry.Logger
}

// Refresh asks for a newer revision that another process was heard to hold.
// It does not block.
func (w *Watcher) Refresh(revision uint64) {
	select {
	case w.refresh <- revision:
	default:
	}
}

// Provision prepares the watcher; call it before Run and Refresh.
func (w *Watcher) Provision() {
	w.refresh = make(chan uint64, 1)
	w.log = telemetry.For("watcher")
}

// change is the result of a watch.
type change struct {
	value   platform.Value
	changed bool
	err     error
}

// Run works until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.readList(ctx)
	w.askPeers(ctx, w.peers, startPeers)
	w.askPeers(ctx, w.targets, startTargets)
	changes := make(chan change)
	go w.watch(ctx, changes)
	lists := time.NewTicker(listInterval)
	defer lists.Stop()
	peers := time.NewTicker(peerInterval)
	defer peers.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-changes:
			w.offerFromService(ctx, c)
		case revision := <-w.refresh:
			if revision > w.gate.Current().Revision {
				w.askPeers(ctx, w.peers, refreshPeers)
			}
		case <-lists.C:
			w.readList(ctx)
		case <-peers.C:
			w.askPeers(ctx, w.peers, 1)
			w.offerAgain(ctx)
		}
	}
}

// offerAgain offers the service's manifest again to a process that has nothing
// in force once the wait for a single peer's claim is over.
func (w *Watcher) offerAgain(ctx context.Context) {
	if w.current == nil && w.offered != nil && !time.Now().Before(w.gate.RetryAt()) {
		w.offer(w.offered, w.fetchFromService(ctx))
	}
}

// watch reads the manifest whenever it changes. A failure is tried again
// after an exponential delay with jitter.
func (w *Watcher) watch(ctx context.Context, changes chan<- change) {
	var index uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+callTimeout)
		value, changed, err := w.Config.Watch(callCtx, tables.ManifestKey, index, watchWait)
		cancel()
		if err == nil && !changed {
			backoff = minBackoff
			continue
		}
		select {
		case changes <- change{value: value, changed: changed, err: err}:
		case <-ctx.Done():
			return
		}
		if err == nil {
			index = value.Index
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff/2+time.Duration(rand.Int63n(int64(backoff))))
		backoff = min(2*backoff, maxBackoff)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *Watcher) offerFromService(ctx context.Context, c change) {
	if c.err != nil {
		w.Metrics.Count("config_service_failures")
		w.log.With("error", c.err).Debug("the configuration service does not answer")
		return
	}
	w.offered = c.value.Data
	w.offer(c.value.Data, w.fetchFromService(ctx))
}

func (w *Watcher) fetchFromService(ctx context.Context) func(key string) ([]byte, error) {
	return func(key string) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		v, err := w.Config.Get(callCtx, key)
		return v.Data, err
	}
}

// offer assembles a snapshot and puts it in force if the gate accepts it. Only
// parts that the current snapshot lacks are fetched.
func (w *Watcher) offer(manifest []byte, fetch func(key string) ([]byte, error)) {
	snapshot, err := w.assemble(manifest, fetch)
	if err != nil {
		w.reject(err)
		return
	}
	version := acceptance.Version{Revision: snapshot.Revision, Digest: snapshot.Digest}
	if version == w.gate.Current() {
		return
	}
	if code := w.gate.Offer(time.Now(), version); code != result.OK {
		w.reject(result.Newf(code, "revision %d; in force %d", snapshot.Revision, w.gate.Current().Revision))
		return
	}
	w.Metrics.Gauge("configuration_conflicts", int64(w.gate.Conflicts()))
	w.current = snapshot
	w.log.With("revision", snapshot.Revision).With("routes", snapshot.Routes()).Info("configuration in force")
	w.Metrics.Gauge("configuration_revision", int64(snapshot.Revision))
	w.Publish(snapshot)
}

func (w *Watcher) assemble(manifest []byte, fetch func(key string) ([]byte, error)) (*tables.Snapshot, error) {
	m, err := tables.ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	if m.Revision < w.gate.Current().Revision {
		return nil, result.Newf(result.RevisionTooLow, "revision %d; in force %d", m.Revision, w.gate.Current().Revision)
	}
	parts := make(map[string][]byte)
	for _, ref := range m.Refs() {
		if w.holds(ref.Key) {
			continue
		}
		data, err := fetch(ref.Key)
		if err != nil {
			return nil, result.Wrap(result.PartMissing, err)
		}
		parts[ref.Key] = data
	}
	snapshot, faults := tables.AssembleAfter(w.current, manifest, parts)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return snapshot, nil
}

func (w *Watcher) holds(key string) bool {
	if w.current == nil {
		return false
	}
	_, ok := w.current.Part(key)
	return ok
}

func (w *Watcher) reject(err error) {
	w.Metrics.Count("config_rejected_" + result.CodeOf(err).String())
	w.log.Error(err, "configuration refused; the old one stays in force")
}

// readList reads the VM list. A failure changes nothing.
func (w *Watcher) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := w.VMs.List(callCtx)
	if err != nil {
		w.Metrics.Count("vm_list_failures")
		return
	}
	leaving := make(map[string]bool)
	var peers, targets []platform.VM
	for _, vm := range vms {
		switch {
		case vm.Role == platform.VMTarget:
			leaving[vm.Name] = vm.State == platform.VMLeaving
			targets = append(targets, vm)
		case vm.Role == platform.VMEntry && vm.Name != w.Name:
			peers = append(peers, vm)
		}
	}
	w.forgetGone(peers, targets)
	w.peers, w.targets = peers, targets
	w.ListStates(leaving)
}

// forgetGone withdraws the claims of VMs that are no longer listed.
func (w *Watcher) forgetGone(lists ...[]platform.VM) {
	listed := make(map[string]bool)
	for _, list := range lists {
		for _, vm := range list {
			listed[vm.Name] = true
		}
	}
	for _, old := range [][]platform.VM{w.peers, w.targets} {
		for _, vm := range old {
			if !listed[vm.Name] {
				w.gate.Forget(vm.Name)
			}
		}
	}
}

// answered is what a peer says, on a connection that stays open for parts.
type answered struct {
	vm    platform.VM
	peer  *Peer
	reply *wire.RevisionReply
}

// askPeers asks some processes at once for their revision and takes a newer
// snapshot. Processes that do not answer cost one timeout together.
func (w *Watcher) askPeers(ctx context.Context, peers []platform.VM, count int) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	asked := rand.Perm(len(peers))[:min(count, len(peers))]
	answers := make(chan answered, len(asked))
	digest := w.gate.Current().Digest
	for _, i := range asked {
		go func() { answers <- w.ask(ctx, peers[i], digest) }()
	}
	for range asked {
		if a := <-answers; a.reply != nil {
			w.hear(a)
		} else {
			w.Metrics.Count("peer_failures")
		}
	}
}

func (w *Watcher) ask(ctx context.Context, vm platform.VM, digest uint64) answered {
	peer, err := w.Peers.Dial(ctx, vm.Name, vm.Address)
	if err != nil {
		return answered{vm: vm}
	}
	reply, err := peer.Revision(digest)
	if err != nil {
		peer.Close()
		return answered{vm: vm}
	}
	return answered{vm: vm, peer: peer, reply: reply}
}

// hear takes a peer's answer into account.
func (w *Watcher) hear(a answered) {
	defer a.peer.Close()
	peer, reply := a.peer, a.reply
	w.gate.Heard(a.vm.Name, reply.Revision)
	if len(reply.Manifest) == 0 || reply.Revision < w.gate.Current().Revision {
		return
	}
	if w.current != nil && string(reply.Manifest) == string(w.current.Manifest()) {
		return
	}
	w.offer(reply.Manifest, peer.Part)
}
