package peers

import (
	"slices"

	"agatelanding.example/agatelanding/internal/wire"
)

// PermitPeers returns the addresses of this entry and of the connected entries that grant
// permits, sorted, and the number of known entries.
func (m *Mesh) PermitPeers() (connected []string, known int) {
	return m.peersWhere(func(c *peerConn) bool { return c.grantsPermits })
}

func (m *Mesh) peersWhere(grants func(c *peerConn) bool) (connected []string, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected = []string{m.Address}
	for c := range m.conns {
		if c.address != "" && grants(c) {
			connected = append(connected, c.address)
		}
	}
	slices.Sort(connected)
	return slices.Compact(connected), len(m.lastSeen) + 1
}

// SendTo sends a message to the entry at an address, if it is connected.
func (m *Mesh) SendTo(address string, x *wire.Items) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.conns {
		if c.address == address {
			m.enqueue(c, x)
			return
		}
	}
}

// SendToAll sends a message to all connected entries.
func (m *Mesh) SendToAll(x *wire.Items) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent := make(map[string]bool)
	for c := range m.conns {
		if c.address == "" || !sent[c.address] {
			sent[c.address] = true
			m.enqueue(c, x)
		}
	}
}

// receiveLimits passes on a message about rates. Without the address of the peer, its
// asks could not be answered.
func (m *Mesh) receiveLimits(c *peerConn, x *wire.Items) {
	m.mu.Lock()
	from := c.address
	m.mu.Unlock()
	if from == "" {
		x.PermitAsks = nil
	}
	m.ReceiveLimits(from, x)
}

// sendInitialLimits sends the known rates on a new connection.
func (m *Mesh) sendInitialLimits(c *peerConn) {
	if m.CurrentLimits == nil {
		return
	}
	if limits := m.CurrentLimits(); len(limits) > 0 {
		m.enqueue(c, &wire.Items{RateLimits: limits})
	}
}
