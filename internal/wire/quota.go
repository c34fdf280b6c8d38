package wire

import "math"

// Bounds of the fields of Items about quotas. What exceeds them is dropped on receipt.
const (
	MaxQuotaAsks = 64
	// maxQuotaUnits exceeds any burst and any cost of a request.
	maxQuotaUnits = 1e12
	maxFleetSize  = 1 << 16
)

// QuotaAsk asks the owner of the quota of a workspace for units, or returns some to it.
type QuotaAsk struct {
	// Number identifies the ask among those of the sender, whose numbers increase, also
	// after a restart.
	Number    uint64 `msgpack:"n"`
	Workspace string `msgpack:"w"`
	// Needed are the units of a request that waits, Expected further units that the
	// requests of the next second need, and Held the unused units of the sender's lease.
	Needed   float64 `msgpack:"u,omitempty"`
	Expected float64 `msgpack:"e,omitempty"`
	Held     float64 `msgpack:"h,omitempty"`
	// Returned are units that the sender has given up. There is no reply to an ask that
	// has them.
	Returned float64 `msgpack:"r,omitempty"`
	// Claim is true if the sender asks whether the receiver also takes it for the owner.
	Claim bool `msgpack:"c,omitempty"`
}

// QuotaGrant is the reply to a QuotaAsk.
type QuotaGrant struct {
	Number uint64 `msgpack:"n"`
	// Granted is true if Units contain the needed units, and in the reply to a claim if the
	// sender agrees. Units that exceed the needed ones are part of the lease.
	Granted bool    `msgpack:"g,omitempty"`
	Units   float64 `msgpack:"u,omitempty"`
	// RetryAfterMS is when the needed units would be granted. Full is true if no others
	// are granted before.
	RetryAfterMS int64 `msgpack:"a,omitempty"`
	Full         bool  `msgpack:"f,omitempty"`
	// NotOwner is true if the sender does not grant units of this workspace now, and in the
	// reply to a claim if it can't tell who is the owner.
	NotOwner bool `msgpack:"x,omitempty"`
}

// FleetSize is the largest number of entries that the sender knew within the last hour, and
// the time since then.
type FleetSize struct {
	Entries int   `msgpack:"n"`
	AgeMS   int64 `msgpack:"a,omitempty"`
	// UptimeMS is the time since the sender's start, 0 from a former build.
	UptimeMS int64 `msgpack:"u,omitempty"`
}

// HasQuotas reports whether the message is about quotas.
func (x *Items) HasQuotas() bool {
	return len(x.QuotaAsks) > 0 || len(x.QuotaGrants) > 0 || x.FleetSize != nil
}

// BoundQuotas drops what exceeds the bounds or is malformed.
func (x *Items) BoundQuotas() {
	x.QuotaAsks = keep(x.QuotaAsks, MaxQuotaAsks, func(a *QuotaAsk) bool {
		return validName(a.Workspace) && validUnits(a.Needed) && validUnits(a.Expected) && validUnits(a.Held) && validUnits(a.Returned)
	})
	x.QuotaGrants = keep(x.QuotaGrants, MaxQuotaAsks, func(g *QuotaGrant) bool {
		return validUnits(g.Units) && validAge(g.RetryAfterMS)
	})
	if f := x.FleetSize; f != nil && (f.Entries < 1 || f.Entries > maxFleetSize || !validAge(f.AgeMS) || f.UptimeMS < 0) {
		x.FleetSize = nil
	}
}

func validUnits(u float64) bool { return !math.IsNaN(u) && u >= 0 && u <= maxQuotaUnits }
