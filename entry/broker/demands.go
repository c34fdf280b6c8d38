package broker

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/decide/serviceshare"
	"agatelanding.example/agatelanding/internal/decide/steering"
	"agatelanding.example/agatelanding/internal/wire"
)

// membersInterval is how often the connections with other entries are taken into account.
const membersInterval = 500 * time.Millisecond

// Demands passes the demand for plain services on to the other entries.
type Demands interface {
	// DemandPeers returns the addresses of this entry and of the connected entries that
	// report their demand, and the number of known entries.
	DemandPeers() (connected []string, known int)
	ReportDemands(changed []wire.ServiceDemand)
}

// receivedDemands passes on the demand of another entry.
type receivedDemands struct {
	from    string
	demands []wire.ServiceDemand
}

// getServiceShares requests the shares of the plain services.
type getServiceShares struct{}

// ReceiveDemands takes the demand of another entry for plain services.
func (b *Broker) ReceiveDemands(from string, demands []wire.ServiceDemand) {
	b.root.Send(b.pid, &receivedDemands{from: from, demands: demands})
}

// ServiceShares returns the share and the use of each plain service.
func (b *Broker) ServiceShares() ([]serviceshare.Status, error) {
	reply, err := b.root.RequestFuture(b.pid, &getServiceShares{}, time.Second).Result()
	if err != nil {
		return nil, err
	}
	list, _ := reply.([]serviceshare.Status)
	return list, nil
}

func (b *brokerActor) receiveDemands(now time.Time, m *receivedDemands) []steering.Action {
	list := make([]serviceshare.Demand, 0, len(m.demands))
	for _, d := range m.demands {
		list = append(list, serviceshare.Demand{Pool: d.Pool, Requests: float64(d.Hundredths) / 100})
	}
	return b.steering.ReceiveDemands(now, m.from, list)
}

func (b *brokerActor) reportDemands(demands []serviceshare.Demand) {
	list := make([]wire.ServiceDemand, 0, len(demands))
	for _, d := range demands {
		list = append(list, wire.ServiceDemand{Pool: d.Pool, Hundredths: int(math.Ceil(100 * d.Requests))})
	}
	b.demands.ReportDemands(list)
}

// updateMembers takes the present connections with other entries into account.
func (b *brokerActor) updateMembers(now time.Time) {
	if now.Sub(b.membersAt) < membersInterval {
		return
	}
	b.membersAt = now
	connected, known := b.demands.DemandPeers()
	b.steering.SetEntries(now, connected, known)
	if len(connected) != b.members {
		b.log.With("reporting", len(connected)).With("known", known).Info("services: entries that report their demand")
		b.members = len(connected)
	}
}
