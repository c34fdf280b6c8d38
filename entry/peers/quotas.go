package peers

import "agatelanding.example/agatelanding/internal/wire"

// QuotaPeers returns the addresses of this entry and of the connected entries that grant
// units of quotas, sorted, and the number of known entries.
func (m *Mesh) QuotaPeers() (connected []string, known int) {
	return m.peersWhere(func(c *peerConn) bool { return c.grantsQuotas })
}

// receiveQuotas passes on a message about quotas. Without the address of the peer, its asks
// could not be answered.
func (m *Mesh) receiveQuotas(c *peerConn, x *wire.Items) {
	m.mu.Lock()
	from := c.address
	m.mu.Unlock()
	if from != "" {
		m.ReceiveQuotas(from, x)
	}
}
