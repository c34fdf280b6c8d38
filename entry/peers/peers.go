// Package peers connects the entries with each other. An entry that has read the store
// sends what changed to the others, so that they need not read it. An entry that gets
// no answers from the store queries others. Both hold only changes, so that their
// traffic does not grow with the size of the state. Entries find each other
// through seeds, the configured addresses of entries, and send each other the
// addresses of the entries that they have found.
//
// Package edge uses these connections, which stay open. The entries of package entry
// use those of package watcher instead, one for each query.
package peers

import (
	"cmp"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agatelanding.example/agatelanding/internal/boottime"
	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/viewtrust"
	"agatelanding.example/agatelanding/internal/telemetry"
	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = time.Second
	// redialInterval is the time between two attempts to connect to a peer.
	redialInterval = time.Second
	// startTime is the time after the start for which StartRedialInterval applies.
	startTime = 2 * time.Second
	// keepAliveInterval is the time between two keep-alive messages, and
	// idleTimeout the time without any message after which a connection is
	// closed.
	keepAliveInterval = time.Second
	idleTimeout       = 3 * time.Second
	// maxQueuedMessages bounds the messages that wait to be written to a slow
	// peer. A connection with more is closed and opened again.
	maxQueuedMessages = 64
	// unreachablePeerTTL is how long the address of a peer without a connection
	// stays known. Seeds stay known without limit.
	unreachablePeerTTL = 60 * time.Second
	// maxBatchBytes bounds the keys and values in one message, which must fit
	// into a frame of wire.MaxFrameBytes bytes.
	maxBatchBytes = 512 << 10
	// maxSentItemBytes bounds the key and value of an item that is sent. The store has items
	// that do not fit into a frame with the other fields.
	maxSentItemBytes = wire.MaxFrameBytes - 4<<10
	// maxAcceptedConns bounds the connections that peers have opened, unless MaxAccepted does.
	maxAcceptedConns = 1024
)

// State is what one entry sends another of the published state.
type State struct {
	Items []wire.Item
	// Complete is the position up to which no item is missing, zero if further parts
	// follow.
	Complete catalog.Position
	// Since is zero in a reply, whose items follow the position in the query. In a
	// broadcast they follow Since. The sender read them Age before they were received, and sent
	// them Late before.
	Since catalog.Position
	Age   time.Duration
	Late  time.Duration
	// HasUnreadable is true if Items include configurations that the sender cannot decode.
	HasUnreadable bool
}

// Mesh is the set of connections with other entries. It may be used by any
// goroutine.
type Mesh struct {
	// Address is the address at which other entries reach this one.
	Address string
	// Seeds are addresses of entries, possibly stale.
	Seeds []string
	// MaxAccepted bounds the connections that peers have opened, 0 for maxAcceptedConns.
	MaxAccepted int
	// StartRedialInterval replaces redialInterval in the first seconds, if it is not 0: after
	// the loss of many entries each one comes up while others do not listen yet.
	StartRedialInterval time.Duration
	// Hello returns the message that opens a connection.
	Hello func() wire.Hello
	// StateAfter returns the state of this entry: the items that changed after a
	// position.
	StateAfter func(after catalog.Position) State
	// ReceiveState takes a part of the state of a peer.
	ReceiveState func(s State)
	// CurrentEvidence returns the evidence of this entry for a peer that has just
	// connected, the newest first, and ReceiveEvidence takes that of a peer. Both may
	// be nil.
	CurrentEvidence func() Evidence
	ReceiveEvidence func(e Evidence)
	// CurrentLimits returns the rates of targets for a peer that has just connected, and
	// ReceiveLimits takes a message about rates from the peer at an address. Both may be
	// nil.
	CurrentLimits func() []wire.RateLimit
	ReceiveLimits func(from string, x *wire.Items)
	// ViewAge returns the age of this entry's view and up to where it has all changes, and
	// ReceiveViewAge takes a peer's reply to a question of this entry. Both may be nil.
	ViewAge        func() (age time.Duration, at catalog.Position, known bool)
	ReceiveViewAge func(s viewtrust.Stamp)
	// ReceiveDemands takes changed demands for plain services from the peer at an address.
	// It may be nil.
	ReceiveDemands func(from string, demands []wire.ServiceDemand)
	// ReceiveQuotas takes a message about quotas from the peer at an address. It may be nil.
	ReceiveQuotas func(from string, x *wire.Items)
	Log           *telemetry.Logger

	mu sync.Mutex
	// lastSeen holds the known addresses of peers and when each was last
	// connected or, before the first connection, when it became known.
	lastSeen map[string]time.Time
	conns    map[*peerConn]bool
	// unsent is the evidence that waits to be sent; evidencePending is true if a timer
	// sends it. evidenceBytes, and furtherBytes of further parts, were sent in the second
	// that began at evidenceSecond, the last of them at evidenceSentAt.
	unsent          Evidence
	evidencePending bool
	evidenceSecond  time.Time
	evidenceBytes   int
	furtherBytes    int
	evidenceSentAt  time.Time
	// demands holds the demand of this entry for each pool of plain services, unless zero.
	demands map[string]int
}

// peerConn is the connection with one peer.
type peerConn struct {
	conn *wire.Conn
	// queue holds messages, and Evidence, whose ages are those at the time of writing.
	queue chan any
	// address is the address at which the peer accepts connections. It is
	// empty until the peer has sent it on a connection that the peer opened.
	address string
	// peerClock is the last time in microseconds that the peer has sent of its clock.
	peerClock atomic.Int64
	// clock converts times of the peer's clock. Only the goroutine that reads uses it.
	clock viewtrust.PeerClock
	// reportsDemand is true if the peer has said that it reports its demand for services.
	reportsDemand bool
	// grantsPermits is true if the peer has said that it grants permits, and grantsQuotas if
	// it has said so of units of quotas.
	grantsPermits, grantsQuotas bool
}

// Run opens and accepts connections until ctx ends. listener may be nil.
func (m *Mesh) Run(ctx context.Context, listener net.Listener) {
	m.mu.Lock()
	m.lastSeen = make(map[string]time.Time)
	m.conns = make(map[*peerConn]bool)
	m.mu.Unlock()
	m.AddAddresses(m.Seeds)
	if listener != nil {
		go m.accept(ctx, listener)
	}
	ticker := time.NewTicker(cmp.Or(m.StartRedialInterval, redialInterval))
	defer ticker.Stop()
	afterStart := time.After(startTime)
	for {
		for _, address := range m.unconnected() {
			go m.dial(ctx, address)
		}
		select {
		case <-afterStart:
			ticker.Reset(redialInterval)
		case <-ticker.C:
			m.BroadcastEvidence(Evidence{})
		case <-ctx.Done():
			m.closeAll()
			return
		}
	}
}

// AddAddresses adds addresses of entries to those that are known.
func (m *Mesh) AddAddresses(addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range addresses {
		if _, ok := m.lastSeen[a]; !ok && a != m.Address {
			m.lastSeen[a] = time.Now()
		}
	}
}

// EntryCount returns the number of known entries, including this one.
func (m *Mesh) EntryCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.lastSeen) + 1
}

// unconnected returns the known addresses without a connection. It removes those
// that had none for unreachablePeerTTL, except seeds.
func (m *Mesh) unconnected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for c := range m.conns {
		if c.address != "" {
			m.lastSeen[c.address] = now
		}
	}
	// For a connected address lastSeen is now, for every other one it is earlier.
	var list []string
	for address, seen := range m.lastSeen {
		if now.Sub(seen) > unreachablePeerTTL && !slices.Contains(m.Seeds, address) {
			delete(m.lastSeen, address)
			continue
		}
		if now.Sub(seen) > 0 {
			list = append(list, address)
		}
	}
	return list
}

// dial connects to a peer and runs the connection.
func (m *Mesh) dial(ctx context.Context, address string) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		m.serve(ctx, nc, address)
	}
}

// accept serves connections until the listener closes. It closes those above MaxAccepted.
func (m *Mesh) accept(ctx context.Context, listener net.Listener) {
	places := make(chan struct{}, cmp.Or(m.MaxAccepted, maxAcceptedConns))
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			m.Log.With("peer", nc.RemoteAddr()).Warn("too many connections; refusing one of another entry")
			_ = nc.Close()
			continue
		}
		go func() {
			defer func() { <-places }()
			m.serve(ctx, nc, "")
		}()
	}
}

// serve runs one connection until it ends. address is empty if the peer opened the
// connection.
func (m *Mesh) serve(ctx context.Context, nc net.Conn, address string) {
	c := &peerConn{conn: wire.NewConn(nc), queue: make(chan any, maxQueuedMessages), address: address}
	defer c.conn.Close()
	if _, err := c.conn.Handshake(m.Hello()); err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.Close() })
	defer stop()
	m.register(c)
	defer m.unregister(c)
	go m.write(c)
	for {
		message, err := c.conn.Read(idleTimeout)
		if err != nil {
			return
		}
		switch x := message.(type) {
		case *wire.ItemsQuery:
			m.answer(c, x)
		// wire.Items carries items, the addresses of entries, evidence, rates, quotas, demands, or
		// nothing but the age of the view as a keep-alive message.
		case *wire.Items:
			if len(x.Peers) > 0 {
				m.receiveAddresses(c, x)
			}
			c.observeClock(x.View)
			if len(x.Items) > 0 || x.CompleteRevision > 0 || x.UpToRevision > 0 {
				m.ReceiveState(c.stateOf(x))
			}
			if x.HasEvidence() && m.ReceiveEvidence != nil {
				m.ReceiveEvidence(evidenceOf(x, time.Now()))
			}
			if x.ReportsDemand && m.ReceiveDemands != nil {
				m.peerReportsDemand(c)
			}
			if len(x.ServiceDemands) > 0 && m.ReceiveDemands != nil {
				m.receiveDemands(c, x)
			}
			if x.HasRateLimits() && m.ReceiveLimits != nil {
				m.receiveLimits(c, x)
			}
			// After the state, which the stamp may be about.
			m.receiveViewStamp(c, x.View)
			if x.HasQuotas() && m.ReceiveQuotas != nil {
				m.receiveQuotas(c, x)
			}
		default:
			return
		}
	}
}

// answer sends the items that changed after the revision of the query.
func (m *Mesh) answer(c *peerConn, q *wire.ItemsQuery) {
	state := m.StateAfter(catalog.Position{Era: q.Era, Revision: q.AfterRevision})
	items := slices.DeleteFunc(state.Items, func(i wire.Item) bool { return len(i.Key)+len(i.Value) > maxSentItemBytes })
	if len(items) < len(state.Items) {
		// The peer has to read the store for the others.
		state.Complete = catalog.Position{}
	}
	list := batches(items)
	if len(list) == 0 {
		list = [][]wire.Item{nil}
	}
	for i, batch := range list {
		reply := &wire.Items{Items: batch, HasUnreadable: state.HasUnreadable}
		if i == len(list)-1 {
			reply.CompleteRevision, reply.Era = state.Complete.Revision, state.Complete.Era
		}
		m.enqueue(c, reply)
	}
}

// stateOf returns the part of a peer's state in a message.
func (c *peerConn) stateOf(x *wire.Items) State {
	s := State{Items: x.Items, Complete: catalog.Position{Era: x.Era, Revision: x.CompleteRevision}, HasUnreadable: x.HasUnreadable}
	switch {
	case x.UpToRevision > 0:
		s.Complete.Revision = x.UpToRevision
		s.Since = catalog.Position{Era: x.Era, Revision: x.SinceRevision}
		s.Age = c.ageOf(x)
		s.Late = s.Age - time.Duration(x.AgeMS)*time.Millisecond
	case x.CompleteRevision == 0:
		s.Complete = catalog.Position{}
	}
	return s
}

// Broadcast sends a part of the state to all connected peers.
func (m *Mesh) Broadcast(s State) {
	message := &wire.Items{
		Items: s.Items, Era: s.Complete.Era, SinceRevision: s.Since.Revision, UpToRevision: s.Complete.Revision, AgeMS: s.Age.Milliseconds(),
		ReadAtUS: (boottime.Now() - s.Age).Microseconds(), HasUnreadable: s.HasUnreadable,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	sent := make(map[string]bool)
	for c := range m.conns {
		// Two peers that dialed each other at the same time have two connections.
		if c.address != "" && !sent[c.address] {
			sent[c.address] = true
			m.enqueue(c, message)
		}
	}
}

// enqueue passes a message to the writer of a connection. It closes the connection
// if the queue is full.
func (m *Mesh) enqueue(c *peerConn, message any) {
	select {
	case c.queue <- message:
	default:
		_ = c.conn.Close()
	}
}

// QueryPeers queries up to count connected peers for the items that changed after a
// position, and returns how many it queried. Their replies go to ReceiveState.
func (m *Mesh) QueryPeers(count int, after catalog.Position) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	queried := 0
	for c := range m.conns {
		if queried == count {
			break
		}
		if c.address != "" {
			queried++
			m.enqueue(c, &wire.ItemsQuery{AfterRevision: after.Revision, Era: after.Era})
		}
	}
	return queried
}

// receiveAddresses adds the addresses that a peer sent in wire.Items. The first is
// the peer's own. If it was unknown, the other connected entries get it: those that
// connected to this entry before do not have it.
func (m *Mesh) receiveAddresses(c *peerConn, x *wire.Items) {
	addresses := x.Peers
	m.mu.Lock()
	c.grantsPermits, c.grantsQuotas = c.grantsPermits || x.GrantsPermits, c.grantsQuotas || x.GrantsQuotas
	first := c.address == ""
	c.address = addresses[0]
	if _, known := m.lastSeen[c.address]; !known && c.address != m.Address {
		for other := range m.conns {
			if other != c {
				m.enqueue(other, &wire.Items{Peers: []string{m.Address, c.address}})
			}
		}
	}
	m.mu.Unlock()
	m.AddAddresses(addresses)
	if first {
		m.Log.With("peer", addresses[0]).Info("peer reached")
	}
}

// register adds a connection and sends the known addresses and the evidence on it.
func (m *Mesh) register(c *peerConn) {
	m.mu.Lock()
	m.conns[c] = true
	peers := []string{m.Address}
	for address := range m.lastSeen {
		peers = append(peers, address)
	}
	m.mu.Unlock()
	c.queue <- &wire.Items{
		Peers: peers, GrantsPermits: m.ReceiveLimits != nil, GrantsQuotas: m.ReceiveQuotas != nil, ReportsDemand: m.ReceiveDemands != nil,
	}
	m.sendInitialEvidence(c)
	m.sendInitialLimits(c)
}

// batches splits items into lists of about maxBatchBytes at most. A larger item is
// in a list of its own.
func batches(items []wire.Item) [][]wire.Item {
	var list [][]wire.Item
	size := 0
	for _, item := range items {
		if len(list) == 0 || size+len(item.Value) > maxBatchBytes {
			list, size = append(list, nil), 0
		}
		list[len(list)-1] = append(list[len(list)-1], item)
		size += len(item.Value) + len(item.Key)
	}
	return list
}

// unregister removes a connection and ends its writer.
func (m *Mesh) unregister(c *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, c)
	// Nothing sends to the queue from here on: QueryPeers finds the connection in
	// conns under the lock, and answer runs in the goroutine that calls
	// unregister.
	close(c.queue)
}

// write writes queued messages and after each keepAliveInterval a keep-alive message. It ends when the queue is closed.
func (m *Mesh) write(c *peerConn) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		var message any
		select {
		case queued, open := <-c.queue:
			if !open {
				return
			}
			message = queued
			switch x := queued.(type) {
			case Evidence:
				message = x.items(time.Now())
			case *wire.Items:
				message = m.withViewStamp(c, x)
			}
		case <-ticker.C:
			message = &wire.Items{View: m.viewStamp(c)}
		}
		if err := c.conn.Write(message); err != nil {
			m.mu.Lock()
			address := c.address
			m.mu.Unlock()
			m.Log.With("peer", address).With("error", err).Debug("writing to another entry failed")
			_ = c.conn.Close()
		}
	}
}

func (m *Mesh) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		_ = c.conn.Close()
	}
}
