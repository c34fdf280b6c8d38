package peers

import (
	"slices"

	"agatelanding.example/agatelanding/internal/wire"
)

// DemandPeers returns the addresses of this entry and of the connected entries that report
// their demand for plain services, sorted, and the number of known entries.
func (m *Mesh) DemandPeers() (connected []string, known int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	connected = []string{m.Address}
	for c := range m.conns {
		if c.address != "" && c.reportsDemand {
			connected = append(connected, c.address)
		}
	}
	slices.Sort(connected)
	return slices.Compact(connected), len(m.lastSeen) + 1
}

// ReportDemands sends changed demands of this entry for plain services to all connected
// entries, and keeps them for those that connect later.
func (m *Mesh) ReportDemands(changed []wire.ServiceDemand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.demands == nil {
		m.demands = make(map[string]int)
	}
	for _, d := range changed {
		if d.Hundredths > 0 {
			m.demands[d.Pool] = d.Hundredths
		} else {
			delete(m.demands, d.Pool)
		}
	}
	message := &wire.Items{ServiceDemands: changed}
	sent := make(map[string]bool)
	for c := range m.conns {
		if c.address != "" && c.reportsDemand && !sent[c.address] {
			sent[c.address] = true
			m.enqueue(c, message)
		}
	}
}

// peerReportsDemand records that a peer reports its demand, and sends it that of this
// entry.
func (m *Mesh) peerReportsDemand(c *peerConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.reportsDemand {
		return
	}
	c.reportsDemand = true
	x := &wire.Items{}
	for pool, hundredths := range m.demands {
		x.ServiceDemands = append(x.ServiceDemands, wire.ServiceDemand{Pool: pool, Hundredths: hundredths})
	}
	if len(x.ServiceDemands) > 0 {
		m.enqueue(c, x)
	}
}

// receiveDemands passes on the demand of a peer whose address is known.
func (m *Mesh) receiveDemands(c *peerConn, x *wire.Items) {
	m.mu.Lock()
	from := c.address
	m.mu.Unlock()
	x.BoundServiceDemands()
	if from != "" && len(x.ServiceDemands) > 0 {
		m.ReceiveDemands(from, x.ServiceDemands)
	}
}
