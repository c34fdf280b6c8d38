package wire

// Bounds of ServiceDemands. What exceeds them is dropped on receipt.
const (
	MaxServiceDemands   = 64
	maxDemandHundredths = 1e6
)

// ServiceDemand is the demand of the sender for the plain services of a pool, in
// hundredths of a request at once: the average of those that it has at the targets or in its
// queue.
type ServiceDemand struct {
	Pool       string `msgpack:"p"`
	Hundredths int    `msgpack:"r,omitempty"`
}

// BoundServiceDemands drops what exceeds the bounds or is malformed.
func (x *Items) BoundServiceDemands() {
	x.ServiceDemands = keep(x.ServiceDemands, MaxServiceDemands, func(d *ServiceDemand) bool {
		return validName(d.Pool) && d.Hundredths >= 0 && d.Hundredths <= maxDemandHundredths
	})
}
