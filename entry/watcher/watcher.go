// Package watcher keeps the configuration of an entry up to date. It watches the
// configuration service, reads the VM list, and queries other entries for their
// snapshot: at start, every peerQueryInterval, and when another process holds a
// newer revision.
//
// One goroutine owns the acceptance gate, which decides whether a snapshot is
// put in force. At start the revisions that peers hold, their claims, set a
// lower bound for the first snapshot. A claim that only a single peer makes
// counts until acceptance.SingleClaimTimeout after the first offer of a
// snapshot, and no claim counts once a snapshot is in force; see package
// acceptance. The watcher passes each snapshot that is put in force to a
// callback. The snapshot stays in force until a newer one replaces it, whatever
// fails on the platform.
package watcher

import (
	"context"
	"math/rand"
	"time"

	"agatelanding.example/agatelanding/internal/clients"
	"agatelanding.example/agatelanding/internal/decide/acceptance"
	"agatelanding.example/agatelanding/internal/result"
	"agatelanding.example/agatelanding/internal/tables"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// watchWait is how long the service holds a watch open while nothing
	// changes.
	watchWait = 30 * time.Second
	// callTimeout bounds one call to the platform or to a peer.
	callTimeout = 3 * time.Second
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = 5 * time.Second
	// peerQueryInterval is the time between two queries to a random entry. They
	// give newer snapshots to an entry that cannot reach the service.
	peerQueryInterval = 5 * time.Second
	// maxRefreshEntries bounds the entries that are queried when another process
	// holds a newer revision.
	maxRefreshEntries = 2
	// minBackoff and maxBackoff bound the delay after a failed watch, before
	// jitter is added.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxStartEntries and maxStartTargets bound the entries and target processes
	// that a new process queries before it accepts a snapshot from the service.
	// The claims of two of them are enough to refuse an older snapshot.
	maxStartEntries = 8
	maxStartTargets = 4
)

// Watcher is the configuration watcher of one entry.
type Watcher struct {
	// Name is the name of this entry in the VM list.
	Name string
	// Config reads the configuration service, VMs the VM list.
	Config *clients.ConfigClient
	VMs    *clients.VMList
	// Peers connects to the other entries and the target processes.
	Peers   PeerClient
	Metrics *telemetry.Metrics
	// Publish is called with each snapshot that is put in force.
	Publish func(*tables.Snapshot)
	// SetLeaving is called after each read of the VM list. leaving has a key
	// for the VM of each listed target; its value reports whether the VM is
	// leaving.
	SetLeaving func(leaving map[string]bool)

	// gate decides whether a snapshot is put in force.
	gate acceptance.Gate
	// current is the snapshot in force, or nil.
	current *tables.Snapshot
	refresh chan uint64
	// entries and targets are the VMs of the other entries and of the target
	// processes in the VM list.
	entries []clients.VM
	targets []clients.VM
	// serviceManifest is the last manifest from the service. It is offered again
	// when acceptance.SingleClaimTimeout has passed after the first offer and the
	// claim of a single peer no longer counts.
	serviceManifest []byte
	log             *telemetry.Logger
}

// Refresh makes the watcher query other entries if revision, which another process
// holds, is newer than the one in force. It does not block.
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

// watchResult is the result of a watch: a changed value or an error.
type watchResult struct {
	value   clients.Value
	changed bool
	err     error
}

// Run keeps the configuration up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.readVMList(ctx)
	w.queryPeers(ctx, w.entries, maxStartEntries)
	w.queryPeers(ctx, w.targets, maxStartTargets)
	results := make(chan watchResult)
	go w.watch(ctx, results)
	vmListTicker := time.NewTicker(vmListInterval)
	defer vmListTicker.Stop()
	peerTicker := time.NewTicker(peerQueryInterval)
	defer peerTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-results:
			w.offerFromService(ctx, r)
		case revision := <-w.refresh:
			if revision > w.gate.Current().Revision {
				w.queryPeers(ctx, w.entries, maxRefreshEntries)
			}
		case <-vmListTicker.C:
			w.readVMList(ctx)
		case <-peerTicker.C:
			w.queryPeers(ctx, w.entries, 1)
			w.reofferManifest(ctx)
		}
	}
}

// reofferManifest offers the service's last manifest again while no snapshot is in
// force, once the claim of a single peer no longer counts.
func (w *Watcher) reofferManifest(ctx context.Context) {
	if w.current == nil && w.serviceManifest != nil && !time.Now().Before(w.gate.OfferAgainAt()) {
		w.offer(w.serviceManifest, w.fetchFromService(ctx))
	}
}

// watch reads the manifest whenever it changes and sends the results. After a
// failure it waits for a delay that grows exponentially, with jitter.
func (w *Watcher) watch(ctx context.Context, results chan<- watchResult) {
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
		case results <- watchResult{value: value, changed: changed, err: err}:
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

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// offerFromService offers the manifest that a watch returned.
func (w *Watcher) offerFromService(ctx context.Context, r watchResult) {
	if r.err != nil {
		w.Metrics.Count("config_service_failures")
		w.log.With("error", r.err).Debug("the configuration service does not answer")
		return
	}
	w.serviceManifest = r.value.Data
	w.offer(r.value.Data, w.fetchFromService(ctx))
}

// fetchFromService returns a function that reads a part from the service.
func (w *Watcher) fetchFromService(ctx context.Context) func(key string) ([]byte, error) {
	return func(key string) ([]byte, error) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		v, err := w.Config.Get(callCtx, key)
		return v.Data, err
	}
}

// offer assembles the snapshot of a manifest and puts it in force if the gate
// accepts it. It fetches only the parts that the snapshot in force lacks.
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
	w.log.With("revision", snapshot.Revision).With("routes", snapshot.RouteCount()).Info("configuration in force")
	w.Metrics.Gauge("configuration_revision", int64(snapshot.Revision))
	w.Publish(snapshot)
}

// assemble builds the snapshot of a manifest unless its revision is too low.
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
		if w.hasPart(ref.Key) {
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

// hasPart reports whether the snapshot in force has a part.
func (w *Watcher) hasPart(key string) bool {
	if w.current == nil {
		return false
	}
	_, ok := w.current.Part(key)
	return ok
}

// reject counts and logs a snapshot that is not put in force.
func (w *Watcher) reject(err error) {
	w.Metrics.Count("config_rejected_" + result.CodeOf(err).String())
	w.log.Error(err, "configuration refused; the configuration in force does not change")
}

// readVMList reads the VM list. After a failure the entries and targets of the last
// list stay.
func (w *Watcher) readVMList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	vms, err := w.VMs.List(callCtx)
	if err != nil {
		w.Metrics.Count("vm_list_failures")
		return
	}
	leaving := make(map[string]bool)
	var entries, targets []clients.VM
	for _, vm := range vms {
		switch {
		case vm.Role == clients.VMTarget:
			leaving[vm.Name] = vm.State == clients.VMLeaving
			targets = append(targets, vm)
		case vm.Role == clients.VMEntry && vm.Name != w.Name:
			entries = append(entries, vm)
		}
	}
	w.forgetUnlisted(entries, targets)
	w.entries, w.targets = entries, targets
	w.SetLeaving(leaving)
}

// forgetUnlisted removes the claims of the VMs that are not in the new lists, so
// that they no longer hold back a snapshot.
func (w *Watcher) forgetUnlisted(lists ...[]clients.VM) {
	listed := make(map[string]bool)
	for _, list := range lists {
		for _, vm := range list {
			listed[vm.Name] = true
		}
	}
	for _, list := range [][]clients.VM{w.entries, w.targets} {
		for _, vm := range list {
			if !listed[vm.Name] {
				w.gate.RemoveClaim(vm.Name)
			}
		}
	}
}

// peerReply is the result of a query for a peer's revision. reply is nil if the peer
// did not reply; otherwise conn is open, so that parts can be fetched.
type peerReply struct {
	vm    clients.VM
	conn  *PeerConn
	reply *wire.RevisionReply
}

// queryPeers queries up to count random peers for their revision and offers their
// manifests to the gate. The queries run in parallel, so that peers that do not
// reply delay it by one timeout together.
func (w *Watcher) queryPeers(ctx context.Context, peers []clients.VM, count int) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	chosen := rand.Perm(len(peers))[:min(count, len(peers))]
	replies := make(chan peerReply, len(chosen))
	digest := w.gate.Current().Digest
	for _, i := range chosen {
		go func() { replies <- w.queryPeer(ctx, peers[i], digest) }()
	}
	for range chosen {
		if r := <-replies; r.reply != nil {
			w.handleReply(r)
		} else {
			w.Metrics.Count("peer_failures")
		}
	}
}

// queryPeer queries one peer for its revision.
func (w *Watcher) queryPeer(ctx context.Context, vm clients.VM, digest uint64) peerReply {
	conn, err := w.Peers.Dial(ctx, vm.Name, vm.Address)
	if err != nil {
		return peerReply{vm: vm}
	}
	reply, err := conn.Revision(digest)
	if err != nil {
		conn.Close()
		return peerReply{vm: vm}
	}
	return peerReply{vm: vm, conn: conn, reply: reply}
}

// handleReply records the revision that a peer holds, and offers the peer's manifest
// if it may be newer than the one in force.
func (w *Watcher) handleReply(r peerReply) {
	defer r.conn.Close()
	conn, reply := r.conn, r.reply
	w.gate.RecordClaim(r.vm.Name, reply.Revision)
	if len(reply.Manifest) == 0 || reply.Revision < w.gate.Current().Revision {
		return
	}
	if w.current != nil && string(reply.Manifest) == string(w.current.Manifest()) {
		return
	}
	w.offer(reply.Manifest, conn.Part)
}
