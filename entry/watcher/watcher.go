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
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/internal/decide/acceptance"
	"agatelanding.example/agatelanding/internal/platform"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
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
	minBackoff   = 200 * time.Millisecond
	maxBackoff   = 5 * time.Second
	// startPeers is the number of peers that a new process asks for the
	// highest revision before it trusts the service.
	startPeers = 8
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
	peers   atomic.Pointer[[]platform.VM]
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
	w.peers.Store(&[]platform.VM{})
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
	w.askPeers(ctx, startPeers)
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
				w.gate.Heard(revision)
				w.askPeers(ctx, 2)
			}
		case <-lists.C:
			w.readList(ctx)
		case <-peers.C:
			w.askPeers(ctx, 1)
		}
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
	fetch := func(key string) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		v, err := w.Config.Get(callCtx, key)
		return v.Data, err
	}
	w.offer(c.value.Data, fetch)
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
	if code := w.gate.Offer(version); code != result.OK {
		w.reject(result.Newf(code, "revision %d; in force %d, heard of %d", snapshot.Revision, w.gate.Current().Revision, w.gate.Floor()))
		return
	}
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
	if m.Revision < w.gate.Floor() {
		return nil, result.Newf(result.RevisionTooLow, "revision %d; heard of %d", m.Revision, w.gate.Floor())
	}
	parts := make(map[string][]byte)
	for _, ref := range m.Refs() {
		if data, ok := w.held(ref.Key); ok {
			parts[ref.Key] = data
			continue
		}
		data, err := fetch(ref.Key)
		if err != nil {
			return nil, result.Wrap(result.PartMissing, err)
		}
		parts[ref.Key] = data
	}
	snapshot, faults := tables.Assemble(manifest, parts)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return snapshot, nil
}

func (w *Watcher) held(key string) ([]byte, bool) {
	if w.current == nil {
		return nil, false
	}
	return w.current.Part(key)
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
	var peers []platform.VM
	for _, vm := range vms {
		switch {
		case vm.Role == platform.VMTarget:
			leaving[vm.Name] = vm.State == platform.VMLeaving
		case vm.Role == platform.VMEntry && vm.Name != w.Name:
			peers = append(peers, vm)
		}
	}
	w.peers.Store(&peers)
	w.ListStates(leaving)
}

// askPeers asks some peers for their revision and takes a newer snapshot.
func (w *Watcher) askPeers(ctx context.Context, count int) {
	peers := *w.peers.Load()
	for _, i := range rand.Perm(len(peers))[:min(count, len(peers))] {
		w.askPeer(ctx, peers[i])
	}
}

func (w *Watcher) askPeer(ctx context.Context, vm platform.VM) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peer, err := w.Peers.Dial(callCtx, vm.Name, vm.Address)
	if err != nil {
		w.Metrics.Count("peer_failures")
		return
	}
	defer peer.Close()
	reply, err := peer.Revision()
	if err != nil {
		w.Metrics.Count("peer_failures")
		return
	}
	w.gate.Heard(reply.Revision)
	if len(reply.Manifest) == 0 || reply.Revision < w.gate.Current().Revision {
		return
	}
	if w.current != nil && string(reply.Manifest) == string(w.current.Manifest()) {
		return
	}
	w.offer(reply.Manifest, peer.Part)
}
